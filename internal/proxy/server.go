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

// Intervals and timeouts as parts ("per lease", divisors) or multiples of the lease's duration.
const (
	renewalsPerLease         = session.RenewalsPerLease
	reportsPerLease          = 4 * session.RenewalsPerLease // work counts must arrive before a bad version has done much harm
	verdictReportsPerLease   = 2                            // counts of verdicts are for operators to read
	staleVerdictReportLeases = 2                            // leases between them if the proxy serves without a lease
	longPollDivisor          = 2                            // how long a registry may hold a poll
	sourceTimeoutDivisor     = 4                            // a proxy not heard from for this long, while others are, is dropped
	dialTimeoutDivisor       = 16
	retryBackoffDivisor      = 40                           // pause after a failed request to a registry
	feedLagDivisor           = 2 * session.RenewalsPerLease // a registry this far behind is left for another
	keyReleaseTimeoutDivisor = 64                           // how long a rejection waits for the release of its key reservation
	overrunDivisor           = 16                           // how long an idempotent call may run on after its caller disconnected
)

// Bounds of what is retained in memory.
const (
	maxCallCounts     = 4096
	maxRetainedEvents = 256
	maxLocalWorkers   = 256
)

// Server is a running proxy.
type Server struct {
	schema.DRPCHopUnimplementedServer

	// Identity and settings. They do not change after newServer, except liveOptions.
	initialOptions *schema.ProxyOptions                // the options at the start
	liveOptions    atomic.Pointer[schema.ProxyOptions] // the options in force; applyOptions replaces them
	address        string                              // at which other proxies reach this one
	leaseDuration  time.Duration
	startedAt      time.Time
	transport      *transport.Transport
	localPeer      transport.Peer // this proxy as the peer of its own runner
	extensions     extensions
	log            logr.Logger

	// processIncarnation distinguishes this process from earlier ones of the same name. newServer chooses one,
	// establishIncarnation replaces it before any session begins; after that it does not change. The instances of workers
	// are named by the first one.
	processIncarnation uint64

	// State of the mesh and of calls; each guards itself.
	journal           *journal.Journal[Event, MeshState]
	workers           *dispatch.Workers
	runner            *dispatch.Runner
	forwarder         *dispatch.Forwarder
	callCounter       *dispatch.CallCounter
	outliers          *dispatch.OutlierDetector
	canaries          *dispatch.CanaryGuard
	uplink            *dispatch.Uplink     // model of this machine's link; nil if its bandwidth is not known
	disconnects       dispatch.Disconnects // counts of callers that disconnected during their calls
	callsInFlight     atomic.Int64         // of callers here
	peerCallsInFlight atomic.Int64         // of other proxies
	servingGate       servingGate          // whether this proxy may decide calls
	leaseGate         *session.LeaseGate   // the lease itself; it is the servingGate of a proxy that serves under one

	// lock guards the fields of this block.
	lock sync.Mutex
	// sourceIncarnation is the incarnation of newLocalSource: processIncarnation until a registry lists this proxy under
	// a higher one, then above that one. 0 until establishIncarnation has set it.
	sourceIncarnation uint64
	sourceCounter     uint64                        // of newLocalSource, up by one each time
	coreMembers       map[string]*schema.CoreMember // the registries that made themselves known, by member ID
	coreSize          int                           // members of the core; 0 for not known yet
	behindSince       time.Duration                 // since when some registry has a newer configuration than the one applied here; 0 for none
	registryRotation  int                           // under a lease: counts the changes from one registry to the next
	registrySelector  *session.RegistrySelector     // without a lease: with which registry this proxy has its session
	freshAsOf         time.Duration                 // the configuration here was the newest one at this time; 0 for not known
	reportedFleetSize int64                         // live proxies as a registry counts them
	fleetSizeEstimate *session.FleetSize            // smooths the above
	reservationQueues map[string]chan *pendingReservation

	// Signals and values between loops.
	fleetSize     atomic.Int64  // how many proxies share limits that hold for the whole mesh
	reportNow     chan struct{} // wakes reportLoop: the workers here have changed
	configChanged chan struct{} // wakes reportLoop: the configuration has changed
	// linkContext ends when this proxy closes its connections to registries and proxies. It is a field because
	// the goroutines of reservation queues outlive the calls that start them. startSessions sets it before callers'
	// listeners open; after that it does not change.
	linkContext context.Context

	// Graceful shutdown.
	draining         *atomic.Bool // set by Run when its context ends
	lastCallAt       atomic.Int64 // time, as now counts it, of the last call since draining was set; 0 for none
	shutdownDeadline atomic.Int64 // time, as now counts it, by which the process must have ended; 0 before the shutdown
	rejectsPeerCalls atomic.Bool  // calls of other proxies are rejected; set once the shutdown no longer accepts calls
}

// newServer makes a proxy that has no listeners and no sessions yet.
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

// startSessions starts this proxy's sessions with the registries; they end with ctx.
func (s *Server) startSessions(ctx context.Context) {
	s.linkContext = ctx
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

// now is the time since this proxy started; every time.Duration that stands for a point in time is counted so.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// view is the configuration and directory by which calls are planned.
func (s *Server) view() *plan.View { return s.journal.View().view }
