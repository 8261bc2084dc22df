package store

import (
	"fmt"
	"testing"
	"time"
)

// A change of leader sends no snapshot to a member that has the state, and an idle core sends at most 1000 bytes a
// second.
func TestMessageVolumeIsBounded(t *testing.T) {
	c := newFoundedCore(1)
	for i := range 40 {
		c.expectAccepted(t, "c", fmt.Sprint("change-", i))
	}
	c.snapshotsSent = 0
	c.down["a"] = true
	c.advance(3 * time.Second)
	c.expectAccepted(t, "c", "more")
	c.down["a"] = false
	c.advance(5 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "a" || c.snapshotsSent > 0 {
		t.Errorf("leader = %q after %d snapshots sent, want a after none", leader, c.snapshotsSent)
	}
	c.bytesSent = 0
	c.advance(10 * time.Second)
	// Most of these bytes are headers, of which a stream sends only the first (peerStream.compressHeaders).
	if c.bytesSent > 10*1000 {
		t.Errorf("an idle core sent %d bytes in ten seconds, want at most %d", c.bytesSent, 10*1000)
	}
}
