package store

import (
	"fmt"
	"testing"
	"time"
)

// A change of the leader sends the whole state to nobody who has it, and an idle core says little.
func TestMessageVolume(t *testing.T) {
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
		t.Errorf("%q holds leadership; the whole state was sent %d times", leader, c.snapshotsSent)
	}
	c.bytesSent = 0
	c.advance(10 * time.Second)
	// Names, address and incarnation of a message go once over a wire, and are most of these bytes.
	if c.bytesSent > 10*1000 {
		t.Errorf("an idle core sends %d bytes in ten seconds", c.bytesSent)
	}
}
