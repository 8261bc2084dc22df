package session

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestNoCallWaitsLongAfterTheLease checks that a call waits for a renewal within the grace period after a
// lease's expiry, and does not wait at all after it.
func TestNoCallWaitsLongAfterTheLease(t *testing.T) {
	const duration = 8 * time.Second
	for name, test := range map[string]struct {
		sinceExpiry time.Duration // when the call comes; negative while the lease is valid
		renewsAfter time.Duration // after the call came; 0 for no renewal
		wantOpen    bool
		maxWait     time.Duration
	}{
		"just after, and renewed":    {10 * time.Millisecond, 300 * time.Millisecond, true, 300 * time.Millisecond},
		"just after, not renewed":    {10 * time.Millisecond, 0, false, duration/renewalGraceDivisor - 10*time.Millisecond},
		"long after":                 {3 * time.Second, 0, false, 0},
		"long after, renewed later":  {3 * time.Second, 300 * time.Millisecond, false, 0},
		"well within, nothing to do": {-time.Second, 0, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				processStart := time.Now()
				now := func() time.Duration { return time.Since(processStart) }
				gate := NewLeaseGate(duration, now)
				if gate.IsOpen() || gate.AwaitWithinGrace(t.Context()) {
					t.Error("open before there was a lease")
				}
				grant := func(requestedAt time.Duration) {
					gate.RecordGrant("a", 3, requestedAt)
					gate.RecordGrant("b", 3, requestedAt)
				}
				grant(0)
				time.Sleep(gate.ExpiresAt() + test.sinceExpiry)
				if test.renewsAfter > 0 {
					go func() {
						time.Sleep(test.renewsAfter)
						grant(now())
					}()
				}
				startedAt := now()
				if got := gate.AwaitWithinGrace(t.Context()); got != test.wantOpen || now()-startedAt > test.maxWait {
					t.Errorf("open %v after %v, want %v within %v", got, now()-startedAt, test.wantOpen, test.maxWait)
				}
				time.Sleep(duration)
			})
		})
	}
}
