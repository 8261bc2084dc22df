package store

import (
	"testing"
	"time"
)

// A replica whose disk refuses gives leadership away, says yes to nothing, and takes part again once
// its disk has taken the whole state.
func TestRefusingDisk(t *testing.T) {
	w := newCore(1)
	w.stalled = "a" // its disk takes nothing
	w.propose("a", "one", "one")
	w.act("a", w.replicas["a"].DiskFailed(w.now))
	w.advance(time.Second)
	if now := w.replicas["c"].Status().Leader; now != "b" {
		t.Errorf("%q holds leadership though the disk of a refuses", now)
	}
	w.expectAccepted(t, "b", "two")
	w.stalled, w.stalledWrites = "", nil
	w.act("a", w.replicas["a"].RewriteSnapshot(w.now))
	w.advance(3 * time.Second)
	w.down["b"] = true
	w.advance(4 * time.Second)
	w.expectAccepted(t, "a", "three")
	if _, state := w.replicas["a"].Committed(); state["segment/two"] == nil {
		t.Error("what was acknowledged meanwhile is missing")
	}
}
