package session

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestCallsWaitOnlyWithinGrace checks that a call waits for a renewal within the grace period after a lease's expiry,
// and does not wait at all after that period.
func TestCallsWaitOnlyWithinGrace(t *testing.T) {
	const duration = 8 * time.Second
	for name, test := range map[string]struct {
		sinceExpiry time.Duration // time from the lease's expiry to the call; negative while the lease is valid
		renewsAfter time.Duration // time from the call to the renewal; 0 means no renewal
		wantOpen    bool
		maxWait     time.Duration // longest time that the call may wait
	}{
		"call within grace waits for a renewal":         {10 * time.Millisecond, 300 * time.Millisecond, true, 300 * time.Millisecond},
		"call within grace waits until its end at most": {10 * time.Millisecond, 0, false, duration/renewalGraceDivisor - 10*time.Millisecond},
		"call after grace does not wait":                {3 * time.Second, 0, false, 0},
		"call after grace does not wait for a renewal":  {3 * time.Second, 300 * time.Millisecond, false, 0},
		"call under a valid lease does not wait":        {-time.Second, 0, true, 0},
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
