package proxy

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/session"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Workers that describe themselves before the proxy's incarnation is settled do not keep its own
// picture from what it tells afterwards, whatever that incarnation is.
func TestHeartbeatsBeforeIncarnationIsEstablished(t *testing.T) {
	rpcTransport := transport.NewPlaintext("proxy", "p", nil)
	t.Cleanup(rpcTransport.Close)
	// Incarnations are drawn, so one try in two would hide it.
	for range 32 {
		s := newServer(rpcTransport, &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}, &schema.ProxyOptions{Name: "p", Seeds: "127.0.0.1:9", Lease: int64(time.Second)})
		s.publishWorkers()
		s.sourceIncarnation = session.NextIncarnation(0)
		s.publishWorkers()
		if source := s.journal.View().Vector()["p"]; source.GetIncarnation() != s.sourceIncarnation {
			t.Fatalf("the own picture is of incarnation %d, not %d", source.GetIncarnation(), s.sourceIncarnation)
		}
	}
}
