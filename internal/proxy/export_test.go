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
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// StandaloneProxy is a proxy without registries: its picture is given to it.
type StandaloneProxy struct {
	*Server
	CallerAddress string // where its callers' listener is

	stop func()
}

// StartStandaloneProxy starts a proxy on loopback that serves by what it is told.
func StartStandaloneProxy(t testing.TB, opts *schema.ProxyOptions, caller string, extensionOptions ...Option) *StandaloneProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts.Advertise, opts.Doubt, opts.Links = listener.Addr().String(), staleModeServe, linkModePlaintext
	rpcTransport := transport.NewPlaintext("proxy", opts.Name, []string{caller})
	server := newServer(rpcTransport, &daemon.Environment{Draining: &atomic.Bool{}}, opts, extensionOptions...)
	ctx, cancel := context.WithCancel(context.Background())
	server.linkContext = ctx
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, server); err != nil {
		t.Fatal(err)
	}
	go func() { _ = rpcTransport.Serve(ctx, listener, mux, "proxy") }()
	opened, err := server.openCallerListener(caller, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop := sync.OnceFunc(func() {
		opened.shutDown(closedChannel)
		cancel()
		rpcTransport.Close()
	})
	t.Cleanup(stop)
	return &StandaloneProxy{Server: server, CallerAddress: opened.listener.Addr().String(), stop: stop}
}

var closedChannel = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// Apply gives the proxy a setup and what other proxies tell of their workers.
func (p *StandaloneProxy) Apply(sequence uint64, items []*schema.Item, sources ...*schema.Source) {
	p.journal.Append(Event{At: p.now(), ConfigRevision: sequence, Items: items, Complete: true, Sources: sources})
}

// Source is what the proxy tells of itself.
func (p *StandaloneProxy) Source() *schema.Source { return p.localSource() }

// Workers are those beside the proxy.
func (p *StandaloneProxy) Workers() *dispatch.Workers { return p.workers }

// ChangeOptions gives the proxy other settings while it runs.
func (p *StandaloneProxy) ChangeOptions(change func(*schema.ProxyOptions)) {
	opts := proto.Clone(p.currentOptions()).(*schema.ProxyOptions)
	change(opts)
	p.applyOptions(opts)
}

// Registries are where it looks for registries.
func (p *StandaloneProxy) Registries() []string { return p.registryAddresses() }

// Stop ends the proxy at once, as its process's end would.
func (p *StandaloneProxy) Stop() { p.stop() }

// Disconnects are the proxy's counts of callers that left.
func (p *StandaloneProxy) Disconnects() dispatch.DisconnectCounts { return p.disconnects.Counts() }

// QueuedCalls is how many calls wait for the worker beside the proxy.
func (p *StandaloneProxy) QueuedCalls() uint32 {
	queued := uint32(0)
	for _, worker := range p.workers.List() {
		_, queued, _, _ = p.workers.Load(worker.Instance)
	}
	return queued
}

// HeaderValue returns the first field of a name in the response.
func (r *Response) HeaderValue(name string) string {
	return dispatch.FieldOf(r.headerBlock, name)
}
