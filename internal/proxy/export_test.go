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

// StandaloneProxy is a proxy without registries: tests apply its mesh state.
type StandaloneProxy struct {
	*Server
	CallerAddress string // of its caller's listener

	stop func()
}

// StartStandaloneProxy starts a proxy on the loopback interface, with a listener for one caller.
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
	server.linkContext = ctx
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

// closedChannel is a deadline that has passed.
var closedChannel = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// Apply applies a complete configuration and sources to the proxy's mesh state.
func (p *StandaloneProxy) Apply(revision uint64, items []*schema.Item, sources ...*schema.Source) {
	p.journal.Append(Event{At: p.now(), ConfigRevision: revision, Items: items, Complete: true, Sources: sources})
}

// Source is the proxy as a source, as it reports itself.
func (p *StandaloneProxy) Source() *schema.Source { return p.newLocalSource() }

// Workers are those beside the proxy.
func (p *StandaloneProxy) Workers() *dispatch.Workers { return p.workers }

// ChangeOptions changes the proxy's options while it runs.
func (p *StandaloneProxy) ChangeOptions(change func(*schema.ProxyOptions)) {
	opts := proto.Clone(p.currentOptions()).(*schema.ProxyOptions)
	change(opts)
	p.applyOptions(opts)
}

// Registries are the addresses at which it looks for registries.
func (p *StandaloneProxy) Registries() []string { return p.registryAddresses() }

// Stop ends the proxy at once, as the end of its process does.
func (p *StandaloneProxy) Stop() { p.stop() }

// Disconnects are the proxy's counts of callers that disconnected.
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
