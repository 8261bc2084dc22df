package proxy

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/link"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Workers that describe themselves before the proxy's incarnation is settled do not keep its own
// picture from what it tells afterwards, whatever that incarnation is.
func TestBeatsBeforeSettling(t *testing.T) {
	ends := link.Plain("proxy", "p", nil)
	t.Cleanup(ends.Close)
	// Incarnations are drawn, so one try in two would hide it.
	for range 32 {
		s := build(ends, &daemon.Frame{Log: logr.Discard(), Draining: &atomic.Bool{}}, &schema.ProxyOptions{Name: "p", Seeds: "127.0.0.1:9", Lease: int64(time.Second)})
		s.workersChanged()
		s.incarnation = session.NextIncarnation(0)
		s.workersChanged()
		if held := s.journal.View().Vector()["p"]; held.GetIncarnation() != s.incarnation {
			t.Fatalf("the own picture is of incarnation %d, not %d", held.GetIncarnation(), s.incarnation)
		}
	}
}
