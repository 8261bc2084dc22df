package registry

import (
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// canaryGrantDivisor is the fraction of a lease for which canary grants are passed on after the rollout controller gave them.
const canaryGrantDivisor = 2 * session.RenewalsPerLease

// SetCanaryGrants replaces the grants that the rollout controller hands out. The caller no longer changes the slice.
func (f *FleetState) SetCanaryGrants(now time.Duration, grants []*schema.Canary) {
	f.canaryGrants = grants
	f.canaryGrantsAt = now
}

// CanaryGrants is what this registry may pass on to its proxies: a block without end, a grant only while the controller is
// heard from, so that a canary ends when nobody watches it.
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
