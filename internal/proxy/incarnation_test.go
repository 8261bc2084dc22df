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

// Workers may register before the proxy has established its incarnation. If their source were published under a random
// incarnation, it could supersede what the proxy publishes afterwards, and the mesh state of the proxy would stay
// outdated.
func TestSourceBeforeEstablishedIncarnationIsSuperseded(t *testing.T) {
	rpcTransport := transport.NewPlaintext("proxy", "p", nil)
	t.Cleanup(rpcTransport.Close)
	// Incarnations are random, so a single attempt would miss the fault with a probability of one half.
	for range 32 {
		environment := &daemon.Environment{Log: logr.Discard(), Draining: &atomic.Bool{}}
		opts := &schema.ProxyOptions{Name: "p", Seeds: "127.0.0.1:9", Lease: int64(time.Second)}
		s := newServer(rpcTransport, environment, opts)
		s.publishWorkers()
		s.sourceIncarnation = session.NextIncarnation(0)
		s.publishWorkers()
		if source := s.journal.View().Vector()["p"]; source.GetIncarnation() != s.sourceIncarnation {
			t.Fatalf("incarnation of the proxy in its mesh state: %d, want %d", source.GetIncarnation(), s.sourceIncarnation)
		}
	}
}
