package registry

import (
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// canaryGrantDivisor sets how long canary grants are forwarded after the rollout controller last sent them: a lease
// divided by canaryGrantDivisor.
const canaryGrantDivisor = 2 * session.RenewalsPerLease

// SetCanaryGrants replaces the stored canary grants by those that the rollout controller sent at now. The caller must
// not change the slice afterwards.
func (f *FleetState) SetCanaryGrants(now time.Duration, grants []*schema.Canary) {
	f.canaryGrants = grants
	f.canaryGrantsAt = now
}

// CanaryGrants returns the grants that this registry may forward to its proxies. A block is forwarded indefinitely. A
// grant is forwarded only while the rollout controller keeps sending it, so that a canary ends when nothing monitors
// it.
func (f *FleetState) CanaryGrants(now time.Duration) []*schema.Canary {
	var forwarded []*schema.Canary
	fresh := now-f.canaryGrantsAt <= f.options.Lease/canaryGrantDivisor
	for _, grant := range f.canaryGrants {
		if fresh || grant.Blocked {
			forwarded = append(forwarded, grant)
		}
	}
	return forwarded
}
