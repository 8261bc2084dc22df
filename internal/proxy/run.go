package proxy

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// linkModePlaintext is the value of the option "links" with which processes talk to each other without certificates.
const linkModePlaintext = "plain"

// Run serves a proxy until ctx ends and its graceful shutdown is over. An error of listeners or of the certificate
// is an errs.InvalidOptions; errs.ProxyDraining means that calls were cut short at the end of the shutdown.
//
// When Run returns an error before it serves, listeners it had opened stay open: the process ends with it.
//
//nolint:contextcheck // connections and the shutdown outlive ctx, whose end starts the shutdown
func Run(ctx context.Context, environment *daemon.Environment, opts *schema.ProxyOptions, extensionOptions ...Option) error {
	callers := options.SplitPairs(opts.Callers)
	rpcTransport, err := newTransport(opts, callers)
	if err != nil {
		return err
	}
	defer rpcTransport.Close()
	if err := checkIdentity(rpcTransport, opts.Name, callers); err != nil {
		return err
	}
	s := newServer(rpcTransport, environment, opts, extensionOptions...)
	environment.WatchSettings(ctx, s.leaseDuration, func(changed proto.Message) { s.applyOptions(changed.(*schema.ProxyOptions)) })

	listener, mux, err := s.openPeerListener()
	if err != nil {
		return err
	}
	s.registerPages(environment)
	// The probe listener comes before the sessions: it reports what the proxy waits for.
	if err := environment.ServeProbes(opts.ProbeListen, s.readiness); err != nil {
		return err
	}
	// Connections to registries and proxies outlive ctx until the calls in flight have ended.
	linkContext, closeLinks := context.WithCancel(context.Background())
	defer closeLinks()
	s.startSessions(linkContext)
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- rpcTransport.Serve(linkContext, listener, mux, "proxy") }()
	workerServer, err := s.listenForWorkers(opts.WorkersListen)
	if err != nil {
		return err
	}
	// Callers' listeners open once this proxy may decide calls: until then a refused connection sends callers
	// to another proxy, where an accepted one would bring them an error.
	if !s.servingGate.AwaitOpen(ctx) {
		environment.Draining.Store(true)
		return s.shutDown(nil, workerServer)
	}
	callerListeners, err := s.openCallerListeners(callers)
	if err != nil {
		return err
	}
	s.log.V(1).Info("proxy serving", "proxy", opts.Name, "listen", opts.Listen)
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		return err
	}
	environment.Draining.Store(true)
	return s.shutDown(callerListeners, workerServer)
}

// newTransport makes this process's side of the RPC transport; callers are the names it may call as.
func newTransport(opts *schema.ProxyOptions, callers map[string]string) (*transport.Transport, error) {
	transportOptions := []transport.Option{
		transport.WithLocalAddress(opts.Listen),
		transport.WithDialTimeout(time.Duration(opts.Lease) / dialTimeoutDivisor),
	}
	if opts.Links != linkModePlaintext {
		return transport.NewTLS(opts.Certificate, opts.Authority, transportOptions...)
	}
	var callerNames []string
	for caller := range callers {
		callerNames = append(callerNames, caller)
	}
	return transport.NewPlaintext("proxy", opts.Name, callerNames, transportOptions...), nil
}

// checkIdentity checks that the certificate is this proxy's and allows it to call as each of its callers.
func checkIdentity(rpcTransport *transport.Transport, name string, callers map[string]string) error {
	self := rpcTransport.Self()
	if self.Role != "proxy" || self.Name != name {
		return errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is for %s %q, not proxy %q", self.Role, self.Name, name))
	}
	for caller := range callers {
		if !self.MayCallAs(caller) {
			return errs.New(errs.InvalidOptions, fmt.Sprintf("callers: the certificate may not speak for %q", caller))
		}
	}
	return nil
}

// openPeerListener opens the listener for other proxies and the mux that serves the peer RPC on it.
func (s *Server) openPeerListener() (net.Listener, *drpcmux.Mux, error) {
	listener, err := net.Listen("tcp", s.initialOptions.Listen)
	if err != nil {
		return nil, nil, errs.Wrap(err, errs.InvalidOptions, "listen")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, s); err != nil {
		return nil, nil, errs.Wrap(err, errs.Internal, "mux")
	}
	return listener, mux, nil
}
