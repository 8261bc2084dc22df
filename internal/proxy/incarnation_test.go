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

// Workers that register before the proxy's incarnation is established do not keep its own mesh state from what it
// publishes afterwards, whatever that incarnation is.
func TestHeartbeatsBeforeIncarnationIsEstablished(t *testing.T) {
	rpcTransport := transport.NewPlaintext("proxy", "p", nil)
	t.Cleanup(rpcTransport.Close)
	// Incarnations are random, so that every second attempt would hide the fault.
	for range 32 {
		environment := &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}
		opts := &schema.ProxyOptions{Name: "p", Seeds: "127.0.0.1:9", Lease: int64(time.Second)}
		s := newServer(rpcTransport, environment, opts)
		s.publishWorkers()
		s.sourceIncarnation = session.NextIncarnation(0)
		s.publishWorkers()
		if source := s.journal.View().Vector()["p"]; source.GetIncarnation() != s.sourceIncarnation {
			t.Fatalf("the mesh state has incarnation %d, not %d", source.GetIncarnation(), s.sourceIncarnation)
		}
	}
}
