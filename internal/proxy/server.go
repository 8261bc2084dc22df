package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/journal"
	"meadowhinge/internal/options"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Intervals and timeouts derived from the lease duration: "per lease" is a number of times within one lease, a divisor
// gives a fraction of the lease, and "leases" is a number of leases.
const (
	renewalsPerLease = session.RenewalsPerLease
	// reportsPerLease is the number of reports of work counts, which must arrive before a faulty version does much harm.
	reportsPerLease          = 4 * session.RenewalsPerLease
	verdictReportsPerLease   = 2                            // reports of verdict counts, which only inform operators
	staleVerdictReportLeases = 2                            // lease durations between two such reports without a lease
	longPollDivisor          = 2                            // time that a registry may hold a poll
	sourceTimeoutDivisor     = 4                            // age at which a source is dropped while most others are live
	dialTimeoutDivisor       = 16                           // timeout for dialing registries and proxies
	retryBackoffDivisor      = 40                           // pause before a retry of a request to a registry
	feedLagDivisor           = 2 * session.RenewalsPerLease // lag after which a registry is left; also the check interval
	keyReleaseTimeoutDivisor = 64                           // longest wait of a call that did not run for the release of its key
	overrunDivisor           = 16                           // time an idempotent run may continue after its caller's disconnect is known
)

// Bounds on the entries retained in memory.
const (
	maxCallCounts     = 4096 // verdict counters
	maxRetainedEvents = 256  // journal events on the page /events
	maxLocalWorkers   = 256  // registered local workers
)

// Server is the state of a running proxy. It serves the peer RPC by its method [Server.Run]. [Run] creates one for a
// process.
type Server struct {
	schema.DRPCHopUnimplementedServer

	// Identity and options. They do not change after newServer, except liveOptions.
	initialOptions *schema.ProxyOptions                // options at the start
	liveOptions    atomic.Pointer[schema.ProxyOptions] // options in effect; replaced by applyOptions
	address        string                              // address at which other proxies reach this one
	leaseDuration  time.Duration                       // the option "lease"; also set when serving without a lease
	startedAt      time.Time                           // zero point of now
	transport      *transport.Transport                // RPC connections to registries and other proxies
	localPeer      transport.Peer                      // identity of this proxy as the peer of its own runner
	extensions     extensions                          // wire formats and hooks added by the program
	log            logr.Logger

	// processIncarnation distinguishes this process from earlier ones with the same name. newServer chooses one, and
	// establishIncarnation replaces it before any session begins; after that it does not change. Instance names of local
	// workers contain the one chosen by newServer.
	processIncarnation uint64

	// State of the mesh and of calls. Each field is safe for concurrent use.
	journal           *journal.Journal[Event, MeshState] // mesh state and recent events
	workers           *dispatch.Workers                  // local workers
	runner            *dispatch.Runner                   // worker side of calls
	forwarder         *dispatch.Forwarder                // caller side of calls
	callCounter       *dispatch.CallCounter              // verdict counts
	outliers          *dispatch.OutlierDetector          // ejected endpoints
	canaries          *dispatch.CanaryGuard              // grants for calls to new versions
	uplink            *dispatch.Uplink                   // model of this machine's uplink; nil if its bandwidth is unknown
	disconnects       dispatch.Disconnects               // counts of callers that disconnected during their calls
	callsInFlight     atomic.Int64                       // calls of local callers
	peerCallsInFlight atomic.Int64                       // calls forwarded by other proxies
	servingGate       servingGate                        // open while this proxy may serve calls
	leaseGate         *session.LeaseGate                 // lease of this proxy; also the servingGate under a lease

	// lock guards the fields of this block. It is never held during an RPC.
	lock sync.Mutex
	// sourceIncarnation is the incarnation in the versions of newLocalSource. It is 0 until establishIncarnation sets
	// it to processIncarnation. checkSuperseded raises it if a registry lists this proxy under a higher incarnation, or
	// lists this incarnation as ended.
	sourceIncarnation uint64
	sourceCounter     uint64                        // counter in the version that newLocalSource returned last
	coreMembers       map[string]*schema.CoreMember // announced registries by member ID
	coreSize          int                           // number of core members; 0 while unknown
	behindSince       time.Duration                 // time from which a registry had a newer configuration; 0 for none
	registryRotation  int                           // number of switches to the next registry; not used without a lease
	registrySelector  *session.RegistrySelector     // selects the registry of the current session; used only without a lease
	// freshAsOf is the time at which the configuration was last known to be the newest, 0 for never. It stays 0 under a
	// lease.
	freshAsOf         time.Duration
	reportedFleetSize int64              // number of live proxies in the last update of a session
	fleetSizeEstimate *session.FleetSize // smooths the fleet sizes that registries report
	// reservationQueues holds the reservations to be sent to each registry, by registry address.
	reservationQueues map[string]chan *pendingReservation

	// Signals and values shared between loops.
	fleetSize     atomic.Int64  // number of proxies that share mesh-wide limits
	reportNow     chan struct{} // wakes reportLoop to report workers; buffered for one signal
	configChanged chan struct{} // wakes reportLoop after a change of configuration; buffered for one signal
	// rpcContext ends when this proxy closes its connections to registries and proxies. It is a field because the
	// goroutines of the reservation queues outlive the calls that start them. startSessions sets it before the callers'
	// listeners open; after that it does not change.
	rpcContext context.Context

	// Graceful shutdown.
	draining         *atomic.Bool // whether the shutdown has begun; set by Run when its context ends
	lastCallAt       atomic.Int64 // arrival of the last call while draining, in nanoseconds on the clock of now; 0 for none
	shutdownDeadline atomic.Int64 // nanoseconds on the clock of now by which the process must have ended; 0 before the shutdown
	rejectsPeerCalls atomic.Bool  // whether calls of other proxies are rejected; set when stageAccepting ends
}

// newServer creates a proxy without listeners and sessions. Run and startSessions add them.
func newServer(
	rpcTransport *transport.Transport,
	environment *daemon.Environment,
	opts *schema.ProxyOptions,
	extensionOptions ...Option,
) *Server {
	s := &Server{
		initialOptions:     opts,
		address:            opts.Advertise,
		leaseDuration:      time.Duration(opts.Lease),
		startedAt:          time.Now(),
		transport:          rpcTransport,
		extensions:         newExtensions(extensionOptions),
		log:                environment.Log,
		processIncarnation: session.NextIncarnation(0),
		coreMembers:        map[string]*schema.CoreMember{},
		reservationQueues:  map[string]chan *pendingReservation{},
		reportNow:          make(chan struct{}, 1),
		configChanged:      make(chan struct{}, 1),
		draining:           environment.Draining,
	}
	s.liveOptions.Store(opts)
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
	if s.servesStale() {
		s.servingGate = configGate{s.journal}
	}
	s.callCounter = dispatch.NewCallCounter(maxCallCounts)
	s.outliers = dispatch.NewOutlierDetector(opts.FailuresMost, time.Duration(opts.Ejection))
	s.wireDispatch()
	return s
}

// startSessions starts the loops that exchange state with the registries. They end with ctx.
func (s *Server) startSessions(ctx context.Context) {
	s.rpcContext = ctx
	go func() {
		s.establishIncarnation(ctx)
		if s.servesStale() {
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

// now returns the time since this proxy started, on the monotonic clock. Every time.Duration in this package that
// denotes a point in time is on this clock unless its comment says otherwise.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// view returns the configuration and the directory by which calls are planned.
func (s *Server) view() *plan.View { return s.journal.View().view }
