package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/link"
	"meadowhinge/schema"
)

// Lone is a proxy without registries: its picture is given to it.
type Lone struct {
	*Server
	Callers string // where its callers' listener is

	end func()
}

// StartLone starts a proxy on loopback that serves by what it is told.
func StartLone(t testing.TB, given *schema.ProxyOptions, caller string, changes ...Option) *Lone {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	given.Advertise, given.Doubt, given.Links = listener.Addr().String(), doubtServe, linksPlain
	ends := link.Plain("proxy", given.Name, []string{caller})
	server := build(ends, &daemon.Frame{Draining: &atomic.Bool{}}, given, changes...)
	ctx, cancel := context.WithCancel(context.Background())
	server.linked = ctx
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, server); err != nil {
		t.Fatal(err)
	}
	go func() { _ = ends.Serve(ctx, listener, mux, "proxy") }()
	opened, err := server.open(caller, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	end := sync.OnceFunc(func() {
		opened.finish(closed)
		cancel()
		ends.Close()
	})
	t.Cleanup(end)
	return &Lone{Server: server, Callers: opened.listener.Addr().String(), end: end}
}

var closed = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// Learn gives the proxy a setup and what other proxies tell of their workers.
func (l *Lone) Learn(sequence uint64, items []*schema.Item, sources ...*schema.Source) {
	l.journal.Append(Event{At: l.now(), Setup: sequence, Items: items, Whole: true, Sources: sources})
}

// Source is what the proxy tells of itself.
func (l *Lone) Source() *schema.Source { return l.source() }

// Workers are those beside the proxy.
func (l *Lone) Workers() *dispatch.Workers { return l.workers }

// Change gives the proxy other settings while it runs.
func (l *Lone) Change(change func(*schema.ProxyOptions)) {
	now := proto.Clone(l.given()).(*schema.ProxyOptions)
	change(now)
	l.follow(now)
}

// Registries are where it looks for registries.
func (l *Lone) Registries() []string { return l.registries() }

// End ends the proxy at once, as its process's end would.
func (l *Lone) End() { l.end() }

// Departures are the proxy's counts of callers that left.
func (l *Lone) Departures() dispatch.DepartureCounts { return l.left.Counts() }

// Waiting is how many calls wait for the worker beside the proxy.
func (l *Lone) Waiting() uint32 {
	waiting := uint32(0)
	for _, worker := range l.workers.List() {
		_, waiting, _, _ = l.workers.Load(worker.Instance)
	}
	return waiting
}
