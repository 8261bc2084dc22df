package store

import (
	"fmt"
	"testing"
	"time"
)

// A change of the leader sends the whole state to nobody who has it, and an idle core says little.
func TestMessageVolume(t *testing.T) {
	w := newCore(1)
	for i := range 40 {
		w.expectAccepted(t, "c", fmt.Sprint("change-", i))
	}
	w.snapshotsSent = 0
	w.down["a"] = true
	w.advance(3 * time.Second)
	w.expectAccepted(t, "c", "more")
	w.down["a"] = false
	w.advance(5 * time.Second)
	if leader := w.replicas["c"].Status().Leader; leader != "a" || w.snapshotsSent > 0 {
		t.Errorf("%q holds leadership; the whole state was sent %d times", leader, w.snapshotsSent)
	}
	w.bytesSent = 0
	w.advance(10 * time.Second)
	// Names, address and incarnation of a message go once over a wire, and are most of these bytes.
	if w.bytesSent > 10*1000 {
		t.Errorf("an idle core sends %d bytes in ten seconds", w.bytesSent)
	}
}
