package store

import (
	"testing"
	"time"
)

// A replica whose disk fails gives up leadership, acknowledges nothing, and takes part again once a complete snapshot is
// on its disk.
func TestRefusingDisk(t *testing.T) {
	c := newFoundedCore(1)
	c.stalled = "a" // its writes do not complete
	c.propose("a", "one", "one")
	c.act("a", c.replicas["a"].DiskFailed(c.now))
	c.advance(time.Second)
	if now := c.replicas["c"].Status().Leader; now != "b" {
		t.Errorf("%q leads though the disk of a fails", now)
	}
	c.expectAccepted(t, "b", "two")
	c.stalled, c.stalledWrites = "", nil
	c.act("a", c.replicas["a"].RewriteSnapshot(c.now))
	c.advance(3 * time.Second)
	c.down["b"] = true
	c.advance(4 * time.Second)
	c.expectAccepted(t, "a", "three")
	if _, state := c.replicas["a"].Committed(); state["segment/two"] == nil {
		t.Error("what was acknowledged meanwhile is missing")
	}
}
