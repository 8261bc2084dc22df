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

// linkModePlaintext is the value of the option "links" that makes RPC connections plaintext, without certificates.
const linkModePlaintext = "plain"

// Run serves a proxy until ctx ends and the graceful shutdown is over. It fails with:
//   - errs.InvalidOptions if a listener cannot be opened or the certificate is not usable;
//   - errs.ProxyDraining if calls were cut off at the end of the drain time;
//   - the error of the peer listener if that fails while serving.
//
// If Run fails before it serves, listeners that it has opened stay open. The process is expected to exit.
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
	// The probe listener opens before the sessions start, because it reports what the proxy waits for.
	if err := environment.ServeProbes(opts.ProbeListen, s.readiness); err != nil {
		return err
	}
	// Connections to registries and other proxies outlive ctx until the calls in flight have ended.
	rpcContext, closeConnections := context.WithCancel(context.Background())
	defer closeConnections()
	s.startSessions(rpcContext)
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- rpcTransport.Serve(rpcContext, listener, mux, "proxy") }()
	workerServer, err := s.listenForWorkers(opts.WorkersListen)
	if err != nil {
		return err
	}
	// Callers' listeners open once this proxy may serve calls. Until then a refused connection sends callers to another
	// proxy, whereas an accepted one would end in an error.
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

// newTransport creates the RPC transport of this process. callers maps caller names to listener addresses. A plaintext
// transport may call on behalf of each of these names. With certificates, the certificate determines the names.
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

// checkIdentity checks that the certificate was issued for the proxy called name and permits calls on behalf of each of
// callers. It fails with errs.InvalidOptions.
func checkIdentity(rpcTransport *transport.Transport, name string, callers map[string]string) error {
	self := rpcTransport.Self()
	if self.Role != "proxy" || self.Name != name {
		return errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is for %s %q, not proxy %q", self.Role, self.Name, name))
	}
	for caller := range callers {
		if !self.MayCallAs(caller) {
			detail := fmt.Sprintf("callers: the certificate of proxy %q does not permit calls on behalf of %q", name, caller)
			return errs.New(errs.InvalidOptions, detail)
		}
	}
	return nil
}

// openPeerListener opens the listener for other proxies and creates the mux that serves the peer RPC on it. It fails
// with errs.InvalidOptions if the address cannot be listened on.
func (s *Server) openPeerListener() (net.Listener, *drpcmux.Mux, error) {
	listener, err := net.Listen("tcp", s.initialOptions.Listen)
	if err != nil {
		return nil, nil, errs.Wrap(err, errs.InvalidOptions, "open peer listener")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, s); err != nil {
		return nil, nil, errs.Wrap(err, errs.Internal, "register peer RPC")
	}
	return listener, mux, nil
}
