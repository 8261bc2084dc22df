package store

import (
	"testing"
	"time"
)

// A replica whose disk fails loses leadership and acknowledges nothing. It takes part again once a complete snapshot is
// on its disk.
func TestFailedDiskLosesLeadership(t *testing.T) {
	c := newFoundedCore(1)
	c.stalled = "a"
	c.propose("a", "one", "one")
	c.execute("a", c.replicas["a"].DiskFailed(c.now))
	c.advance(time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("leader after the disk of a has failed = %q, want b", leader)
	}
	c.expectAccepted(t, "b", "two")
	c.stalled, c.stalledWrites = "", nil
	c.execute("a", c.replicas["a"].RewriteSnapshot(c.now))
	c.advance(3 * time.Second)
	c.down["b"] = true
	c.advance(4 * time.Second)
	c.expectAccepted(t, "a", "three")
	if _, state := c.replicas["a"].Committed(); state["segment/two"] == nil {
		t.Error("the committed state of a lacks segment two, which b acknowledged while the disk of a failed")
	}
}
