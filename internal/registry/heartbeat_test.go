package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
)

// However updates fall between heartbeat ticks, and though ticks come a little early or late, no node in session waits longer than
// it was promised; and without updates no heartbeat is sent before it is due.
func TestHeartbeatsAreNeverDelayed(t *testing.T) {
	const interval = testLease / session.HeartbeatsPerLease
	for _, ticks := range []int{1, peerHeartbeatTicks} {
		t.Run(fmt.Sprint("every ", ticks), func(t *testing.T) {
			promised := time.Duration(ticks) * interval
			for updateAt := time.Duration(0); updateAt < promised; updateAt += interval / 7 {
				checkHeartbeats(t, promised, updateAt)
			}
		})
	}
}

// checkHeartbeats runs a session that was sent an update at updateAt, between two ticks, until its third heartbeat.
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
			t.Errorf("promised %v, update at %v: nothing sent for %v", promised, updateAt, gap)
		case heartbeats > 0 && gap < promised-2*jitter:
			t.Errorf("promised %v, update at %v: a heartbeat after %v already", promised, updateAt, gap)
		}
		lastSentAt = at
		heartbeats++
	}
}
