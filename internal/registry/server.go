package registry

import (
	"context"
	"net"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/session"
	"meadowhinge/internal/statuspage"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// server is a registry process: its components and the state that they share. Its fields do not change after newServer.
// The mutable state is in sharedState, and in the components whose declarations say so.
type server struct {
	config      *serverConfig
	options     *liveOptions
	transport   *transport.Transport
	log         logr.Logger
	environment *daemon.Environment

	state *sharedState

	configSync  *configSync
	peerSync    *peerSync
	recovery    *reservationRecovery
	sessions    *sessionServer
	rollouts    *rolloutDriver
	rpc         *rpcService
	status      *statusReporter
	operatorAPI *operatorServer
}

// Option configures a registry beyond its settings: see Run.
type Option func(*extensions)

// extensions are the additions to a registry that Options set.
type extensions struct {
	operatorAPI OperatorAPI // nil for none
}

// WithOperatorAPI installs an additional HTTP API for operators, which gets every request before the registry's own.
func WithOperatorAPI(api OperatorAPI) Option {
	return func(e *extensions) { e.operatorAPI = api }
}

// Run runs a registry until ctx ends, and then until the operators' requests in flight are answered or the drain time
// is over. It fails with errs.InvalidOptions if the options are invalid or a listen address cannot be used, and
// otherwise with the error that stopped the registry. It does not change opts.
func Run(ctx context.Context, environment *daemon.Environment, opts *schema.RegistryOptions, runOptions ...Option) error {
	rpcTransport, err := newTransport(opts)
	if err != nil {
		return err
	}
	defer rpcTransport.Close()
	if err := checkIdentity(rpcTransport.Self(), opts.Seat); err != nil {
		return err
	}
	cfg, err := newServerConfig(opts)
	if err != nil {
		return err
	}
	s := newServer(ctx, environment, cfg, newLiveOptions(opts), rpcTransport, runOptions)
	environment.WatchSettings(ctx, cfg.lease, s.options.update)
	return s.run(ctx)
}

// newServer builds a registry without starting it: nothing runs or listens yet.
func newServer(ctx context.Context, environment *daemon.Environment, cfg *serverConfig, live *liveOptions,
	rpcTransport *transport.Transport, runOptions []Option,
) *server {
	var extended extensions
	for _, applyOption := range runOptions {
		applyOption(&extended)
	}
	log := environment.Log
	state := newSharedState(cfg, live, session.NextIncarnation(0))
	store := schema.NewDRPCStoreClient(rpcTransport.Conn(ctx, cfg.storeAddress))
	peers := newPeerClients(state, rpcTransport)
	changeAcknowledger := newAcknowledger(state, peers)
	submitter := newChangeSubmitter(state, live, store, changeAcknowledger, log)
	rollouts := newRolloutDriver(state, live, store, peers, submitter, log)
	status := newStatusReporter(state, rpcTransport, rollouts)
	sessions := newSessionServer(state, log)
	return &server{
		config:      cfg,
		options:     live,
		transport:   rpcTransport,
		log:         log,
		environment: environment,
		state:       state,
		configSync:  newConfigSync(state, store, log),
		peerSync:    newPeerSync(state, peers, log),
		recovery:    newReservationRecovery(state, peers),
		sessions:    sessions,
		rollouts:    rollouts,
		rpc:         newRPCService(state, rpcTransport, sessions, status),
		status:      status,
		operatorAPI: &operatorServer{
			state:        state,
			options:      live,
			store:        store,
			peers:        peers,
			acknowledger: changeAcknowledger,
			backend:      newOperatorBackend(submitter),
			status:       status,
			additional:   extended.operatorAPI,
		},
	}
}

// run starts the registry, and serves until ctx ends or serving fails.
func (s *server) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.config.listenAddress)
	if err != nil {
		return errs.Wrap(err, errs.InvalidOptions, "listen")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterRegistry(mux, s.rpc); err != nil {
		return errs.Wrap(err, errs.Internal, "registering the RPC service")
	}
	s.addStatusPages()
	if err := s.environment.ServeProbes(s.config.probeListenAddress, s.status.readiness); err != nil {
		return err
	}
	s.startLoops(ctx)
	operators, err := s.operatorAPI.listen(ctx, s.config.operatorListenAddress)
	if err != nil {
		return err
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- s.transport.Serve(ctx, listener, mux, "proxy", "registry") }()
	s.log.V(1).Info("registry serving", "member", s.config.memberID, "address", s.config.listenAddress)
	return s.serveUntilDone(ctx, serveResult, operators)
}

// addStatusPages adds the registry's pages to the probe listener.
func (s *server) addStatusPages() {
	s.environment.AddPage("/certificate", s.transport.Certificate)
	s.environment.AddPage("/traffic", func() any { return s.transport.Traffic() })
	s.environment.AddPage("/status", func() any { return statuspage.RegistryOf(s.status.current()) })
}

// startLoops starts the background goroutines, which run until ctx ends or their work is complete.
func (s *server) startLoops(ctx context.Context) {
	go s.configSync.followStore(ctx)
	go s.configSync.catchUp(ctx)
	go s.rollouts.run(ctx)
	go s.recovery.run(ctx)
	go s.peerSync.run(ctx)
	go s.sessions.runHeartbeats(ctx)
}

// serveUntilDone waits until ctx ends or serving RPCs fails. After ctx has ended, it waits for the RPC server to stop
// and then, at most for the drain time, for the operators' requests in flight.
func (s *server) serveUntilDone(ctx context.Context, serveResult <-chan error, operators *fasthttp.Server) error {
	select {
	case <-ctx.Done():
	case err := <-serveResult:
		return err
	}
	s.environment.Draining.Store(true)
	if err := <-serveResult; err != nil {
		return err
	}
	draining, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.drainTimeout())
	defer cancel()
	return errs.Wrap(operators.ShutdownWithContext(draining), errs.Internal, "operator requests still in flight after the drain time")
}
