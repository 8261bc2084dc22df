package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
)

// TestHeartbeatsKeepPromisedInterval checks that no node in session waits longer than the promised interval, apart from
// the jitter of the ticks, at whatever time between two ticks an update was sent. Without updates, no heartbeat is sent
// early.
func TestHeartbeatsKeepPromisedInterval(t *testing.T) {
	const interval = testLease / session.HeartbeatsPerLease
	for _, ticks := range []int{1, peerHeartbeatTicks} {
		t.Run(fmt.Sprint("ticks per heartbeat ", ticks), func(t *testing.T) {
			promised := time.Duration(ticks) * interval
			for updateAt := time.Duration(0); updateAt < promised; updateAt += interval / 7 {
				checkHeartbeats(t, promised, updateAt)
			}
		})
	}
}

// checkHeartbeats runs a session whose node was sent an update at updateAt, between two ticks, until the third
// heartbeat. Ticks are up to jitter early or late.
func checkHeartbeats(t *testing.T, promised, updateAt time.Duration) {
	t.Helper()
	const interval, jitter = testLease / session.HeartbeatsPerLease, testLease / batchDivisor / 4
	lastSentAt := updateAt
	for tick, heartbeats := 1, 0; heartbeats < 3; tick++ {
		at := time.Duration(tick)*interval + time.Duration(tick%3-1)*jitter
		if at < lastSentAt || !heartbeatDue(at-lastSentAt, promised, testLease) {
			continue
		}
		switch gap := at - lastSentAt; {
		case gap > promised+2*jitter:
			t.Errorf("update at %v, promised interval %v: nothing sent for %v, want at most %v",
				updateAt, promised, gap, promised+2*jitter)
		case heartbeats > 0 && gap < promised-2*jitter:
			t.Errorf("update at %v, promised interval %v: heartbeat sent after %v, want at least %v",
				updateAt, promised, gap, promised-2*jitter)
		}
		lastSentAt = at
		heartbeats++
	}
}
