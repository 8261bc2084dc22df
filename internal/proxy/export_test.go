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

// StandaloneProxy is a proxy without registries, whose mesh state the test supplies.
type StandaloneProxy struct {
	*Server
	CallerAddress string // address of the caller's listener

	stop func()
}

// StartStandaloneProxy starts a proxy on the loopback interface with a listener for one caller. It ends with the test.
func StartStandaloneProxy(
	tb testing.TB,
	opts *schema.ProxyOptions,
	caller string,
	extensionOptions ...Option,
) *StandaloneProxy {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	opts.Advertise, opts.Doubt, opts.Links = listener.Addr().String(), staleModeServe, linkModePlaintext
	rpcTransport := transport.NewPlaintext("proxy", opts.Name, []string{caller})
	server := newServer(rpcTransport, &daemon.Environment{Draining: &atomic.Bool{}}, opts, extensionOptions...)
	ctx, cancel := context.WithCancel(context.Background())
	server.rpcContext = ctx
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, server); err != nil {
		tb.Fatal(err)
	}
	go func() { _ = rpcTransport.Serve(ctx, listener, mux, "proxy") }()
	opened, err := server.openCallerListener(caller, "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	stop := sync.OnceFunc(func() {
		opened.shutDown(closedChannel)
		cancel()
		rpcTransport.Close()
	})
	tb.Cleanup(stop)
	return &StandaloneProxy{Server: server, CallerAddress: opened.listener.Addr().String(), stop: stop}
}

// closedChannel is a deadline of shutDown that has already passed.
var closedChannel = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// Apply applies a complete configuration and sources to the proxy's mesh state.
func (p *StandaloneProxy) Apply(revision uint64, items []*schema.Item, sources ...*schema.Source) {
	p.journal.Append(Event{At: p.now(), ConfigRevision: revision, Items: items, Complete: true, Sources: sources})
}

// Source returns the proxy and its local workers as a source, as the proxy reports it.
func (p *StandaloneProxy) Source() *schema.Source { return p.newLocalSource() }

// Workers returns the table of local workers.
func (p *StandaloneProxy) Workers() *dispatch.Workers { return p.workers }

// ChangeOptions applies change to the options of the running proxy.
func (p *StandaloneProxy) ChangeOptions(change func(*schema.ProxyOptions)) {
	opts := proto.Clone(p.currentOptions()).(*schema.ProxyOptions)
	change(opts)
	p.applyOptions(opts)
}

// Registries returns the addresses at which the proxy contacts registries.
func (p *StandaloneProxy) Registries() []string { return p.registryAddresses() }

// Stop ends the proxy at once, without a graceful shutdown.
func (p *StandaloneProxy) Stop() { p.stop() }

// Disconnects returns the counts of callers that disconnected.
func (p *StandaloneProxy) Disconnects() dispatch.DisconnectCounts { return p.disconnects.Counts() }

// QueuedCalls returns the number of calls that wait for the local worker.
func (p *StandaloneProxy) QueuedCalls() uint32 {
	queued := uint32(0)
	for _, worker := range p.workers.List() {
		_, queued, _, _ = p.workers.Load(worker.Instance)
	}
	return queued
}

// HeaderValue returns the value of the first response field called name, empty if there is none.
func (r *Response) HeaderValue(name string) string {
	return dispatch.FieldValue(r.headerBlock, name)
}
