package session

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestAwaitWithinGrace checks that a call waits for a renewal within the grace period after a lease's expiry, and
// does not wait at all after that period.
func TestAwaitWithinGrace(t *testing.T) {
	const duration = 8 * time.Second
	for name, test := range map[string]struct {
		sinceExpiry time.Duration // time from the lease's expiry to the call; negative while the lease is valid
		renewsAfter time.Duration // time from the call to the renewal; 0 means no renewal
		wantOpen    bool
		maxWait     time.Duration // longest time that the call may wait
	}{
		"within grace, renewed":                {10 * time.Millisecond, 300 * time.Millisecond, true, 300 * time.Millisecond},
		"within grace, not renewed":            {10 * time.Millisecond, 0, false, duration/renewalGraceDivisor - 10*time.Millisecond},
		"after grace, not renewed":             {3 * time.Second, 0, false, 0},
		"after grace, renewed after the call":  {3 * time.Second, 300 * time.Millisecond, false, 0},
		"valid lease is open without any wait": {-time.Second, 0, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				processStart := time.Now()
				now := func() time.Duration { return time.Since(processStart) }
				gate := NewLeaseGate(duration, now)
				if gate.IsOpen() || gate.AwaitWithinGrace(t.Context()) {
					t.Error("IsOpen() or AwaitWithinGrace() before the first lease = true, want both false")
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
					t.Errorf("AwaitWithinGrace() = %t after %v, want %t within %v", got, now()-startedAt, test.wantOpen, test.maxWait)
				}
				time.Sleep(duration)
			})
		})
	}
}
