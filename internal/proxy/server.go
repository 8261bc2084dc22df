package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/journal"
	"meadowhinge/internal/options"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/internal/statuspage"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	renewalsPerLease         = session.RenewalsPerLease
	reportsPerLease          = 4 * session.RenewalsPerLease // counts must come in well before a bad version has done much harm
	verdictReportsPerLease   = 2                            // counts of verdicts are for operators to read
	staleVerdictReportLeases = 2                            // and so seldom where a proxy serves in doubt
	longPollDivisor          = 2
	sourceTimeoutDivisor     = 4 // a proxy silent for this part of a lease, while others are heard, is dropped
	dialTimeoutDivisor       = 16
	retryPauseDivisor        = 40
	renewalGraceDivisor      = session.RenewalsPerLease     // how long after its end a lease is still waited for
	feedLagDivisor           = 2 * session.RenewalsPerLease // a feed this far behind is left for another
	keyReleaseTimeoutDivisor = 64                           // how long a refusal waits for its claim to be let go
	maxCallCounts            = 4096
	maxRetainedEvents        = 256
	maxLocalWorkers          = 256
)

// overrunDivisor is the part of a lease for which a repeatable call may go on at
// its worker once its caller is known to be gone.
const overrunDivisor = 16

// Server runs a proxy.
type Server struct {
	schema.DRPCHopUnimplementedServer
	initialOptions     *schema.ProxyOptions                // as they were at the start
	liveOptions        atomic.Pointer[schema.ProxyOptions] // as they are now, where they may change
	processIncarnation uint64                              // tells this life from others; settled before any session
	sourceIncarnation  uint64                              // of what is told of this proxy, above all that was seen of it; 0 until it is settled; guarded by lock
	address            string
	leaseDuration      time.Duration
	transport          *transport.Transport
	log                logr.Logger
	startedAt          time.Time
	uplink             *dispatch.Uplink // this machine's link, as far as it is known how much it carries
	localPeer          transport.Peer
	extensions         running

	journal           *journal.Journal[Event, MeshState]
	workers           *dispatch.Workers
	runner            *dispatch.Runner
	forwarder         *dispatch.Forwarder
	callCounter       *dispatch.CallCounter
	disconnects       dispatch.Disconnects // of callers while their calls were under way
	callsInFlight     atomic.Int64         // in flight, of callers here
	peerCallsInFlight atomic.Int64         // in flight, from other proxies
	outliers          *dispatch.OutlierDetector
	canaries          *dispatch.CanaryGuard

	lock              sync.Mutex
	leaseGate         *session.LeaseGate
	servingGate       servingGate // whether this proxy may decide calls
	coreMembers       map[string]*schema.CoreMember
	coreSize          int           // how many core seats there are
	behindSince       time.Duration // since when some registry knew a newer setup than the one applied; 0 for never
	registryRotation  int
	fleetSize         atomic.Int64
	reportedFleetSize int64                     // proxies that the registry knows to live; guarded by lock
	registrySelector  *session.RegistrySelector // with which registry this proxy is in session; guarded by lock
	freshAsOf         time.Duration             // of what time the setup here is known to have been the newest; 0 for never; guarded by lock
	fleetSizeEstimate *session.FleetSize        // how many share the budgets; guarded by lock
	sourceCounter     uint64
	reportNow         chan struct{}
	configChanged     chan struct{}                       // the setup is another
	reservationQueues map[string]chan *pendingReservation // claims on their way, by registry; guarded by lock
	linkContext       context.Context                     // ends with this proxy's links
	lastCallAt        atomic.Int64                        // when the last call came, since this proxy was told to end
	shutdownDeadline  atomic.Int64                        // when this proxy is over, once it was told to end
	rejectsPeerCalls  atomic.Bool                         // no dispatch is taken any more
	draining          *atomic.Bool
}

// Run serves a proxy until ctx ends.
func Run(ctx context.Context, environment *daemon.Environment, opts *schema.ProxyOptions, extensionOptions ...Option) error {
	callers := options.SplitPairs(opts.Callers)
	rpcTransport, err := newTransport(opts, callers)
	if err != nil {
		return err
	}
	defer rpcTransport.Close()
	if self := rpcTransport.Self(); self.Role != "proxy" || self.Name != opts.Name {
		return errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is for %s %q, not proxy %q", self.Role, self.Name, opts.Name))
	}
	for caller := range callers {
		if !rpcTransport.Self().MayCallAs(caller) {
			return errs.New(errs.InvalidOptions, fmt.Sprintf("callers: the certificate may not speak for %q", caller))
		}
	}
	s := newServer(rpcTransport, environment, opts, extensionOptions...)
	environment.WatchSettings(ctx, s.leaseDuration, func(now proto.Message) { s.applyOptions(now.(*schema.ProxyOptions)) })

	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return errs.Wrap(err, errs.InvalidOptions, "listen")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, s); err != nil {
		return errs.Wrap(err, errs.Internal, "mux")
	}
	environment.AddPage("/status", func() any { return s.status() })
	environment.AddPage("/certificate", rpcTransport.Certificate)
	environment.AddPage("/traffic", func() any { return rpcTransport.Traffic() })
	environment.AddPage("/events", func() any { return s.events() })
	for _, path := range s.extensions.readinessPaths {
		environment.AddReadinessPath(path)
	}
	if err := environment.ServeProbes(opts.ProbeListen, s.readiness); err != nil {
		return err
	}
	// Links to other proxies outlive the signal until the calls in flight have ended.
	linkContext, closeLinks := context.WithCancel(context.Background())
	defer closeLinks()
	s.startSessions(linkContext)
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- rpcTransport.Serve(linkContext, listener, mux, "proxy") }()
	workerServer, err := s.listenForWorkers(opts.WorkersListen, func(requestCtx *fasthttp.RequestCtx) { s.extensions.heartbeatHandler.Handle(requestCtx, s.workers) }, 1<<16,
		func(requestCtx *fasthttp.RequestCtx, err error) { daemon.WriteError(requestCtx, err, notExecuted, nil) })
	if err != nil {
		return err
	}
	// Callers are let in once this proxy can decide: until then a refused connection sends them
	// to another, where a taken one would only bring them a refusal.
	if !s.servingGate.AwaitFirst(ctx) {
		environment.Draining.Store(true)
		return s.shutDown(nil, workerServer)
	}
	var callerListeners []*callerListener
	for caller, address := range callers {
		opened, err := s.openCallerListener(caller, address)
		if err != nil {
			return err
		}
		callerListeners = append(callerListeners, opened)
	}
	environment.Log.V(1).Info("proxy up", "name", opts.Name, "listen", opts.Listen)
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		return err
	}
	environment.Draining.Store(true)
	return s.shutDown(callerListeners, workerServer)
}

// newServer makes a proxy that has no listeners and no sessions yet.
func newServer(rpcTransport *transport.Transport, environment *daemon.Environment, opts *schema.ProxyOptions, extensionOptions ...Option) *Server {
	s := &Server{initialOptions: opts, address: opts.Advertise, leaseDuration: time.Duration(opts.Lease), transport: rpcTransport,
		extensions: newExtensions(extensionOptions), log: environment.Log, startedAt: time.Now(), coreMembers: map[string]*schema.CoreMember{}, reportNow: make(chan struct{}, 1), configChanged: make(chan struct{}, 1), reservationQueues: map[string]chan *pendingReservation{}, draining: environment.Draining}
	s.liveOptions.Store(opts)
	s.processIncarnation = session.NextIncarnation(0)
	if s.address == "" {
		s.address = opts.Listen
	}
	if s.uplink = dispatch.NewUplink(opts.LinkRate, s.now); s.uplink != nil {
		rpcTransport.OnSent(s.uplink.RecordWrite)
	}
	s.fleetSize.Store(opts.MembersMost)
	s.fleetSizeEstimate = session.NewFleetSize(opts.MembersMost, s.leaseDuration)
	s.journal = journal.New(EmptyMeshState(), maxRetainedEvents, s.extensions.foldEvent)
	s.registrySelector = s.newRegistrySelector()
	s.leaseGate = session.NewLeaseGate(s.leaseDuration, s.now)
	s.servingGate = s.leaseGate
	if servesStale(opts) {
		s.servingGate = configGate{s.journal}
	}
	s.callCounter = dispatch.NewCallCounter(maxCallCounts)
	s.outliers = dispatch.NewOutlierDetector(opts.FailuresMost, time.Duration(opts.Ejection))
	s.wireDispatch()
	return s
}

// currentOptions are the settings in force.
func (s *Server) currentOptions() *schema.ProxyOptions { return s.liveOptions.Load() }

// applyOptions goes on by settings that have changed. What is under way is not touched by it.
func (s *Server) applyOptions(opts *schema.ProxyOptions) {
	s.liveOptions.Store(opts)
	s.outliers.SetLimits(opts.FailuresMost, time.Duration(opts.Ejection))
	s.canaries.SetOptions(canaryOptions(opts))
	s.forwarder.SetLimits(forwarderLimits(opts))
	s.lock.Lock()
	defer s.lock.Unlock()
	s.registrySelector.SetSeeds(options.SplitList(opts.Seeds))
}

func canaryOptions(opts *schema.ProxyOptions) dispatch.CanaryOptions {
	return dispatch.CanaryOptions{GrantDuration: time.Duration(opts.Trial), MaxFailures: opts.TrialFailures, FailureRatio: opts.TrialTimes, FailureExcess: opts.TrialExcess, SlowFactor: opts.TrialSlow}
}

func forwarderLimits(opts *schema.ProxyOptions) dispatch.Limits {
	return dispatch.Limits{PlanOptions: plan.Options{Zone: opts.Area, MaxDeadline: time.Duration(opts.HorizonMost), Warmup: time.Duration(opts.Warmup)},
		RetryRatio: opts.ExtraRatio, RetryFloor: float64(opts.ExtraFloor), RetryWindow: time.Duration(opts.ExtraWindow), FailureRetryFraction: opts.ExtraFailed}
}

// startSessions begins this proxy's sessions with the registries; they end with ctx.
func (s *Server) startSessions(ctx context.Context) {
	s.linkContext = ctx
	go func() {
		s.establishIncarnation(ctx)
		if servesStale(s.initialOptions) {
			go s.maintainSession(ctx)
		} else {
			loopCount := len(options.SplitList(s.initialOptions.Seeds))
			for i := range loopCount {
				go s.renewLoop(ctx, i, loopCount)
			}
			go s.pullLoop(ctx)
		}
		s.reportLoop(ctx)
	}()
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

func (s *Server) view() *plan.View { return s.journal.View().view }

// wireDispatch wires the two sides of a dispatch to this process.
func (s *Server) wireDispatch() {
	opts := s.initialOptions
	mayCallAs := map[string]bool{}
	for caller := range options.SplitPairs(opts.Callers) {
		mayCallAs[caller] = true
	}
	s.localPeer = transport.LocalPeer("proxy", opts.Name, mayCallAs)
	s.workers = dispatch.NewWorkers(dispatch.WorkersOptions{Proxy: opts.Name, Incarnation: s.processIncarnation, Zone: opts.Area, MaxMissedHeartbeats: opts.Silence,
		MaxWorkers: maxLocalWorkers, MaxConns: int(opts.Buffer), MaxBodyBytes: int(opts.BodyMost), Now: s.now,
		Uplink: s.uplink, NoLivenessConn: s.extensions.workerIDHeartbeat > 0, DiscoveryGrace: discoveryGraceHeartbeats * s.extensions.workerIDHeartbeat, Dial: s.extensions.dialWorker}, s.publishWorkers)
	s.runner = dispatch.NewRunner(dispatch.Runner{Workers: s.workers, Codec: s.extensions.workerCodec, Outliers: s.outliers, Disconnects: &s.disconnects, MaxOverrun: s.leaseDuration / overrunDivisor, View: s.view, HasLease: s.servingGate.Open, Now: s.now, ServeStale: servesStale(opts),
		AwaitConfig: func(ctx context.Context, revision uint64) {
			s.journal.Wait(ctx, func(state MeshState) bool { return state.config.Revision >= revision })
		},
		RevisionOutdated: func(revision uint64) bool {
			return !servesStale(opts) && s.journal.View().Outdated(revision, s.now(), s.leaseDuration/renewalsPerLease)
		}}, int(opts.Remembered))
	s.canaries = dispatch.NewCanaryGuard(canaryOptions(opts), func() int { return int(s.fleetSize.Load()) },
		func() dispatch.VersionGuards { return s.view().Config })
	s.forwarder = (&dispatch.Forwarder{Name: opts.Name, Incarnation: s.processIncarnation,
		Limits: forwarderLimits(opts),
		View:   s.view, HasLease: s.servingGate.Open, Now: s.now, Random: rand.Float64, Outliers: s.outliers, Canaries: s.canaries, Counter: s.callCounter,
		FleetSize: func() int { return int(s.fleetSize.Load()) },
		AwaitView: func(ctx context.Context, ready func(*plan.View) bool) {
			s.journal.Wait(ctx, func(state MeshState) bool { return ready(state.view) })
		},
		AwaitLease: s.servingGate.Await, Send: s.forward, NoAttemptTimeout: true, FreeProxyRefusals: opts.ExtraCounts == "arrivals", OnConfigLag: s.leaveLaggingRegistry, ReserveKey: s.reserveKey, KeyReleaseTimeout: s.leaseDuration / keyReleaseTimeoutDivisor}).Init(int(opts.Remembered))
}

// forward hands a dispatch to the proxy beside the worker, or to this one's own other side.
func (s *Server) forward(ctx context.Context, endpoint plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	if endpoint.Proxy == s.initialOptions.Name {
		return s.runner.Run(ctx, s.localPeer, request), nil
	}
	return schema.NewDRPCHopClient(s.transport.Conn(ctx, endpoint.Address)).Run(ctx, request)
}

// Run serves a dispatch from another proxy.
func (s *Server) Run(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	s.recordArrival()
	defer s.peerCallsInFlight.Add(-1)
	switch inFlight := s.peerCallsInFlight.Add(1); {
	// Beyond the bound a dispatch is refused unrun, and so it is once this proxy is about to end.
	case inFlight > s.currentOptions().Buffer:
		return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.QueueFull)}, nil
	case s.rejectsPeerCalls.Load():
		return &schema.ForwardResponse{Request: request.Request, Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.ProxyDraining)}, nil
	}
	return s.runner.Run(ctx, transport.PeerFromContext(ctx), request), nil
}

func (s *Server) readiness() daemon.Readiness {
	if !s.servingGate.Open() {
		return daemon.Readiness{Reason: string(errs.NoLease)}
	}
	return daemon.Readiness{Ready: true}
}

// Status is what a proxy says of itself.
type Status struct {
	Name              string               `json:"name"`
	ConfigRevision    uint64               `json:"setup"`
	HasLease          bool                 `json:"leased"`
	LeaseMS           int64                `json:"leaseMs"`
	FleetSize         int64                `json:"members"`
	Registry          string               `json:"registry,omitempty"` // with which this proxy is in session
	StalenessKnown    bool                 `json:"vouched"`            // whether the picture's age is known
	StalenessMS       int64                `json:"ageMs"`              // since it was last known that nothing newer was promised to anyone
	Sources           int                  `json:"sources"`
	KnownWorkers      int                  `json:"knownWorkers"` // in the whole mesh
	Workers           []*statuspage.Worker `json:"workers"`
	RejectedPeers     uint64               `json:"refusedPeers"`
	CallsInFlight     int                  `json:"callsInFlight"`
	PeerCallsInFlight int                  `json:"hopsInFlight"`

	Disconnects dispatch.DisconnectCounts `json:"departures"` // of callers before their calls were answered
}

func (s *Server) status() Status {
	state := s.journal.View()
	knownWorkers := 0
	for _, byVersion := range state.view.Directory {
		for _, pool := range byVersion {
			knownWorkers += len(pool)
		}
	}
	registry, staleness, stalenessKnown := s.sessionState()
	return Status{Registry: registry, StalenessKnown: stalenessKnown, StalenessMS: staleness.Milliseconds(), KnownWorkers: knownWorkers, Name: s.initialOptions.Name, ConfigRevision: state.config.Revision, HasLease: s.servingGate.Open(), LeaseMS: (s.leaseGate.ExpiresAt() - s.now()).Milliseconds(),
		FleetSize: s.fleetSize.Load(), Sources: len(state.sources), Workers: statuspage.WorkersOf(s.workers.List()), RejectedPeers: s.transport.RejectedPeers.Load(),
		CallsInFlight: int(s.callsInFlight.Load()), PeerCallsInFlight: int(s.peerCallsInFlight.Load()), Disconnects: s.disconnects.Counts()}
}

// EventSummary is an event of the journal, in short.
type EventSummary struct {
	At             string   `json:"at"` // since the proxy started
	ConfigRevision uint64   `json:"setup,omitempty"`
	Items          int      `json:"items,omitempty"`
	Sources        []string `json:"sources,omitempty"`
}

// events lists the last events that this proxy's view was folded from.
func (s *Server) events() []EventSummary {
	summaries := []EventSummary{}
	for _, event := range s.journal.Recent() {
		summary := EventSummary{At: event.At.String(), ConfigRevision: event.ConfigRevision, Items: len(event.Items)}
		for _, source := range event.Sources {
			summary.Sources = append(summary.Sources, source.Name)
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

func (s *Server) listenForWorkers(address string, handler fasthttp.RequestHandler, maxBodyBytes int, writeError func(*fasthttp.RequestCtx, error)) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, address)
	}
	server := &fasthttp.Server{Name: "meadowhinge", NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true, Concurrency: int(s.initialOptions.Buffer) * 4,
		MaxRequestBodySize: maxBodyBytes, ReadTimeout: time.Duration(s.initialOptions.HorizonMost), IdleTimeout: time.Minute, CloseOnShutdown: true,
		DisablePreParseMultipartForm: true, StreamRequestBody: true,
		Handler: func(requestCtx *fasthttp.RequestCtx) {
			if err := bufferBody(requestCtx, maxBodyBytes); err != nil {
				writeError(requestCtx, err)
				requestCtx.SetConnectionClose()
				return
			}
			handler(requestCtx)
			// A caller told to close its connection does not meet one that was closed on it.
			if s.draining.Load() {
				requestCtx.SetConnectionClose()
			}
		},
		ErrorHandler: func(requestCtx *fasthttp.RequestCtx, err error) {
			code := errs.MalformedRequest
			if err == fasthttp.ErrBodyTooLarge {
				code = errs.BodyTooLarge
			}
			writeError(requestCtx, errs.Wrap(err, code, "request"))
			requestCtx.SetConnectionClose()
		}}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// bufferBody takes a request's body into memory if it is within the bound.
func bufferBody(requestCtx *fasthttp.RequestCtx, maxBytes int) error {
	if !requestCtx.Request.IsBodyStream() {
		return nil
	}
	stream := requestCtx.RequestBodyStream()
	body, err := io.ReadAll(io.LimitReader(stream, int64(maxBytes)+1))
	if err != nil {
		return errs.Wrap(err, errs.MalformedRequest, "body")
	}
	if len(body) > maxBytes {
		_, _ = io.CopyN(io.Discard, stream, int64(maxBytes)*rejectedBodyDiscardFactor)
		return errs.New(errs.BodyTooLarge, fmt.Sprintf("more than %d bytes", maxBytes))
	}
	requestCtx.Request.SetBody(body)
	return nil
}
