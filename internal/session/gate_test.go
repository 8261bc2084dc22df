package session

import (
	"testing"
	"testing/synctest"
	"time"
)

// A call is held through the short gap after a lease's end, no longer; long after it, not at all.
func TestNoCallIsHeldLongAfterTheLease(t *testing.T) {
	const length = 8 * time.Second
	for name, one := range map[string]struct {
		ago    time.Duration // since the lease ended
		renews time.Duration // after the call came; 0 for never
		leased bool
		most   time.Duration
	}{
		"just after, and renewed":    {10 * time.Millisecond, 300 * time.Millisecond, true, 300 * time.Millisecond},
		"just after, not renewed":    {10 * time.Millisecond, 0, false, length/gapParts - 10*time.Millisecond},
		"long after":                 {3 * time.Second, 0, false, 0},
		"long after, renewed later":  {3 * time.Second, 300 * time.Millisecond, false, 0},
		"well within, nothing to do": {-time.Second, 0, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				now := func() time.Duration { return time.Since(began) }
				gate := NewGate(length, now)
				if gate.Open() || gate.Await(t.Context()) {
					t.Error("open before there was a lease")
				}
				grant := func(asked time.Duration) {
					gate.Granted("a", 3, asked)
					gate.Granted("b", 3, asked)
				}
				grant(0)
				time.Sleep(gate.Until() + one.ago)
				if one.renews > 0 {
					go func() {
						time.Sleep(one.renews)
						grant(now())
					}()
				}
				came := now()
				if got := gate.Await(t.Context()); got != one.leased || now()-came > one.most {
					t.Errorf("leased %v after %v, want %v within %v", got, now()-came, one.leased, one.most)
				}
				time.Sleep(length)
			})
		})
	}
}
