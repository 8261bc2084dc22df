package registry

import (
	"testing"
	"time"

	"meadowhinge/internal/session"
)

// However news fall between beats, and though beats come a little early or late, nobody in session waits
// for longer than it was promised; and where there are no news, no sign comes before it is due.
func TestHeartbeatsAreNeverDelayed(t *testing.T) {
	interval, jitter := testLease/session.HeartbeatsPerLease, testLease/batchDivisor/4
	for _, ticks := range []int{1, peerHeartbeatTicks} {
		promised := time.Duration(ticks) * interval
		for offset := time.Duration(0); offset < promised; offset += interval / 7 {
			// News were told at offset, between two beats.
			at, lastSentAt := time.Duration(0), offset
			for turn, heartbeats := 1, 0; heartbeats < 3; turn++ {
				at = time.Duration(turn)*interval + time.Duration(turn%3-1)*jitter
				if at < lastSentAt || !heartbeatDue(at-lastSentAt, promised, testLease) {
					continue
				}
				switch gap := at - lastSentAt; {
				case gap > promised+2*jitter:
					t.Errorf("promised %v, news at %v: %v without a sign", promised, offset, gap)
				case heartbeats > 0 && gap < promised-2*jitter:
					t.Errorf("promised %v, news at %v: a sign after %v already", promised, offset, gap)
				}
				lastSentAt = at
				heartbeats++
			}
		}
	}
}
