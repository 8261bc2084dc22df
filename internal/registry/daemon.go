package registry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"meadowhinge/internal/config"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/internal/session"
	"meadowhinge/internal/statuspage"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	pollWaitDivisor   = 2  // longest wait of one poll of a feed
	retryPauseDivisor = 40 // pause after a call that failed
	batchDivisor      = 400

	minWindowLeases = 4 // that a claim must stand at the least
)

// Server runs a registry.
type Server struct {
	schema.DRPCRegistryUnimplementedServer
	initialOptions    *schema.RegistryOptions                // as they were at the start
	liveOptions       atomic.Pointer[schema.RegistryOptions] // as they are now, where they may change
	memberOrder       []string                               // of the seats as set; nil where the stores agree on them
	operatorAPI       OperatorAPI
	leaseDuration     time.Duration
	advertisedAddress string
	rpcTransport      *transport.Transport
	log               logr.Logger
	startedAt         time.Time
	incarnation       uint64

	lock          sync.Mutex
	fleetState    *FleetState
	reservations  *ReservationTable
	configState   config.State
	snapshot      *config.Snapshot // compiled; of an earlier state unless fresh
	snapshotFresh bool
	fleetSize     *session.FleetSize
	coreMembers   map[string]*schema.CoreMember
	agreedMembers []*schema.CoreMember // the seats as the store beside has them, where no order rules
	stateChanged  chan struct{}
	heartbeatTick chan struct{} // closed and replaced whenever sessions are due a sign of life
	store         schema.DRPCStoreClient

	changeSerial   uint64
	pendingChanges map[string]*pendingChange // changes on their way, by what they ask for
	rollout        rolloutState              // guarded by lock
	staleSteps     atomic.Uint64             // steps refused because a later epoch had the release duty
}

// Option changes how a registry runs.
type Option func(*Server)

// WithOperatorAPI lets operators speak otherwise than in the product's own pages.
func WithOperatorAPI(api OperatorAPI) Option {
	return func(s *Server) { s.operatorAPI = api }
}

// Values of settings.
const (
	linksPlaintext         = "plain"
	acknowledgeAfterCommit = "stable"
)

// newTransport opens this registry's links as the settings have them.
func newTransport(opts *schema.RegistryOptions) (*transport.Transport, error) {
	localAddress := transport.WithLocalAddress(opts.Listen)
	if opts.Links == linksPlaintext {
		return transport.NewPlaintext("registry", opts.Seat, nil, localAddress), nil
	}
	return transport.NewTLS(opts.Certificate, opts.Authority, localAddress)
}

// Run serves a registry until ctx ends.
func Run(ctx context.Context, frame *daemon.Environment, opts *schema.RegistryOptions, runOptions ...Option) error {
	rpcTransport, err := newTransport(opts)
	if err != nil {
		return err
	}
	defer rpcTransport.Close()
	if self := rpcTransport.Self(); self.Role != "registry" || self.Name != opts.Seat {
		return errs.New(errs.InvalidOptions, fmt.Sprintf("certificate is for %s %q, not registry %q", self.Role, self.Name, opts.Seat))
	}
	// A claim must outlive every call that may still run under it, and the leases of that time.
	if opts.KeyWindow < minWindowLeases*opts.Lease {
		return errs.New(errs.InvalidOptions, fmt.Sprintf("key-window: must be at least %d leases", minWindowLeases))
	}
	address := opts.Advertise
	if address == "" {
		address = opts.Listen
	}
	if opts.Order == "" {
		// Without an order a seat is named by where it stands, as its store names it.
		opts.Seat = ipOf(address)
	}
	s := &Server{initialOptions: opts, memberOrder: options.SplitList(opts.Order), leaseDuration: time.Duration(opts.Lease), advertisedAddress: address, rpcTransport: rpcTransport, log: frame.Log,
		startedAt: time.Now(), incarnation: session.NextIncarnation(0), configState: config.State{}, coreMembers: map[string]*schema.CoreMember{}, stateChanged: make(chan struct{}), heartbeatTick: make(chan struct{}), pendingChanges: map[string]*pendingChange{}, rollout: rolloutState{predecessors: map[string]*predecessor{}, stepsInFlight: map[string]bool{}}}
	for _, applyOption := range runOptions {
		applyOption(s)
	}
	s.liveOptions.Store(proto.Clone(opts).(*schema.RegistryOptions))
	s.fleetSize = session.NewFleetSize(opts.SourcesMost, s.leaseDuration)
	s.fleetState = NewFleetState(FleetStateOptions{MemberID: opts.Seat, Lease: s.leaseDuration, MaxSources: int(opts.SourcesMost), MaxCounts: int(opts.CountsMost), WithoutLeases: s.acknowledgesAfterCommit()})
	s.reservations = NewReservationTable(ReservationOptions{Lease: s.leaseDuration, Window: time.Duration(opts.KeyWindow), MaxReservations: int(opts.ClaimsMost), MemberCount: len(s.members())})
	s.fleetState.SetMemberCount(len(s.members()))
	s.snapshot, _ = config.Compile(s.configState, 0)
	s.coreMembers[opts.Seat] = &schema.CoreMember{Id: opts.Seat, Address: address, Incarnation: s.incarnation, Zone: opts.Area}
	frame.WatchSettings(ctx, s.leaseDuration, func(updated proto.Message) { s.liveOptions.Store(updated.(*schema.RegistryOptions)) })
	s.store = schema.NewDRPCStoreClient(rpcTransport.Conn(ctx, opts.Store))

	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return errs.Wrap(err, errs.InvalidOptions, "listen")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterRegistry(mux, s); err != nil {
		return errs.Wrap(err, errs.Internal, "mux")
	}
	frame.AddPage("/certificate", rpcTransport.Certificate)
	frame.AddPage("/traffic", func() any { return rpcTransport.Traffic() })
	frame.AddPage("/status", func() any { return statuspage.RegistryOf(s.registryStatus()) })
	if err := frame.ServeProbes(opts.ProbeListen, s.readiness); err != nil {
		return err
	}
	go s.followStore(ctx)
	go s.catchUp(ctx)
	go s.runRolloutController(ctx)
	go s.recoverReservations(ctx)
	go s.syncWithPeers(ctx)
	go s.runHeartbeats(ctx)
	operatorServer, err := s.serveOperators(opts.OperatorListen)
	if err != nil {
		return err
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- rpcTransport.Serve(ctx, listener, mux, "proxy", "registry") }()
	frame.Log.V(1).Info("registry up", "seat", opts.Seat, "listen", opts.Listen)
	select {
	case <-ctx.Done():
	case err := <-serveResult:
		return err
	}
	frame.Draining.Store(true)
	if err := <-serveResult; err != nil {
		return err
	}
	draining, cancel := context.WithTimeout(context.Background(), time.Duration(s.currentOptions().Drain))
	defer cancel()
	return errs.Wrap(operatorServer.ShutdownWithContext(draining), errs.Internal, "operators still waiting at the end of the drain time")
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

func (s *Server) readiness() daemon.Readiness {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.fleetState.GrantsLeases(s.now()) {
		return daemon.Readiness{Reason: reasonRegistryYoung}
	}
	return daemon.Readiness{Ready: true}
}

// broadcastChange wakes whoever waits for news; the caller holds the lock.
func (s *Server) broadcastChange() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

func (s *Server) waitLeaseFraction(ctx context.Context, divisor int) {
	select {
	case <-ctx.Done():
	case <-time.After(s.leaseDuration / time.Duration(divisor)):
	}
}

// quickRetries are made after ever longer pauses, before retryPauseDivisor counts: where the whole
// machine has just started, its store is up a moment after its registry, and its seat finds the
// others a moment later still.
const quickRetries = 5

// backoffDivisor is the part of a lease to pause for after so many failures in a row.
func backoffDivisor(failures int) int { return retryPauseDivisor << max(0, quickRetries-failures) }

// followStore keeps the stable setup from this machine's store.
func (s *Server) followStore(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		s.lock.Lock()
		after := s.fleetState.committedRevision
		s.lock.Unlock()
		bounded, cancel := context.WithTimeout(ctx, s.leaseDuration)
		reply, err := s.store.Follow(bounded, &schema.FollowRequest{AfterSequence: after, WaitNanos: int64(s.leaseDuration / session.HeartbeatsPerLease)})
		cancel()
		if err != nil {
			failures++
			s.waitLeaseFraction(ctx, backoffDivisor(failures))
			continue
		}
		failures = 0
		s.applyCommitted(reply)
	}
}

// applyCommitted applies stable news; older news, as from a store that was refilled, changes nothing.
func (s *Server) applyCommitted(reply *schema.FollowReply) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(reply.Members) > 0 && !sameMembers(s.agreedMembers, reply.Members) {
		s.log.V(1).Info("the seats are others", "seats", len(reply.Members))
		s.agreedMembers = reply.Members
		s.fleetState.SetMemberCount(len(s.members()))
		s.broadcastChange()
	}
	if reply.StalenessKnown && reply.Committed >= s.fleetState.committedRevision {
		s.fleetState.ConfirmCurrent(s.now() - time.Duration(reply.StalenessNanos))
	}
	if reply.Committed <= s.fleetState.committedRevision {
		return
	}
	s.configState = s.configState.Apply(reply.Items, reply.Complete)
	s.snapshotFresh = false // compiled again when somebody next asks for it
	s.fleetState.SetCommitted(s.now(), reply.Committed)
	s.broadcastChange()
}

// catchUp learns what was stable when this registry started; until then it grants nothing.
func (s *Server) catchUp(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/session.RenewalsPerLease)
		readIndex, err := s.store.ReadIndex(bounded, &schema.Empty{})
		cancel()
		if err == nil && !readIndex.Undecided {
			if readIndex.Empty {
				s.lock.Lock()
				s.reservations.MarkNeverUsed()
				s.lock.Unlock()
			}
			for ctx.Err() == nil {
				s.lock.Lock()
				reached := s.fleetState.committedRevision >= readIndex.Committed
				if reached {
					s.fleetState.MarkCaughtUp()
					s.broadcastChange()
				}
				stateChanged := s.stateChanged
				s.lock.Unlock()
				if reached {
					return
				}
				select {
				case <-stateChanged:
				case <-ctx.Done():
				}
			}
		}
		s.waitLeaseFraction(ctx, backoffDivisor(failures))
	}
}

// syncWithPeers keeps this registry level with all others, wherever they are at the time.
func (s *Server) syncWithPeers(ctx context.Context) {
	cancelByAddress := map[string]context.CancelFunc{}
	for {
		s.lock.Lock()
		addresses, stateChanged := s.peerAddresses(), s.stateChanged
		s.lock.Unlock()
		for address, stop := range cancelByAddress {
			if !addresses[address] {
				stop()
				delete(cancelByAddress, address)
			}
		}
		for address := range addresses {
			if cancelByAddress[address] == nil {
				bounded, cancel := context.WithCancel(ctx)
				cancelByAddress[address] = cancel
				go s.syncWithPeer(bounded, address)
			}
		}
		select {
		case <-stateChanged:
		case <-ctx.Done():
			return
		}
	}
}

// peerAddresses is where the other registries are, or may be; the caller holds the lock.
func (s *Server) peerAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, member := range s.reachableMembers() {
		addresses[member.Address] = true
	}
	// Who the seats are is known for good once the stores have told it.
	if s.agreedMembers == nil {
		for _, seed := range options.SplitList(s.currentOptions().Seeds) {
			addresses[seed] = true
		}
	}
	delete(addresses, s.advertisedAddress)
	return addresses
}

// pollPeer keeps this registry level with the one at an address.
func (s *Server) pollPeer(ctx context.Context, address string) {
	for ctx.Err() == nil {
		s.lock.Lock()
		request := &schema.FeedRequest{Node: "registry/" + s.initialOptions.Seat, Vector: s.fleetState.Vector(), WaitNanos: int64(s.leaseDuration / pollWaitDivisor), Member: s.coreMembers[s.initialOptions.Seat],
			LeaseNanos: int64(s.leaseDuration), MemberList: s.initialOptions.Order}
		s.lock.Unlock()
		bounded, cancel := context.WithTimeout(ctx, s.leaseDuration)
		response, err := schema.NewDRPCRegistryClient(s.rpcTransport.Conn(bounded, address)).Feed(bounded, request)
		cancel()
		if err != nil {
			s.waitLeaseFraction(ctx, retryPauseDivisor)
			continue
		}
		s.lock.Lock()
		changed := false
		for _, source := range response.Sources {
			changed = s.fleetState.MergeSource(s.now(), source) || changed
		}
		for _, member := range response.CoreMembers {
			changed = s.observeMember(member) || changed
		}
		if changed {
			s.broadcastChange()
		}
		s.lock.Unlock()
	}
}

// sameMembers tells whether two lists name the same seats at the same places.
func sameMembers(a, b []*schema.CoreMember) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.CoreMember) bool {
		return a.Id == b.Id && a.Address == b.Address && a.Zone == b.Zone && a.Incarnation == b.Incarnation
	})
}

// observeMember notes where a core machine is now; of two tellings the later start wins.
func (s *Server) observeMember(member *schema.CoreMember) bool {
	if member == nil || member.Id == "" {
		return false
	}
	own := s.coreMembers[s.initialOptions.Seat]
	// Where an earlier life of this registry was is believed until this one's word is the later.
	if member.Id == s.initialOptions.Seat {
		if session.IsSuperseded(own.Incarnation, member.Incarnation, false) {
			s.coreMembers[member.Id] = &schema.CoreMember{Id: own.Id, Address: own.Address, Zone: own.Zone, Incarnation: session.NextIncarnation(member.Incarnation)}
			return true
		}
		return false
	}
	listed := false
	for _, listedMember := range s.members() {
		listed = listed || listedMember.Id == member.Id
	}
	if existing := s.coreMembers[member.Id]; listed && (existing == nil || member.Incarnation > existing.Incarnation) {
		s.coreMembers[member.Id] = member
		return true
	}
	return false
}

// ipOf gives the IP of IP:port.
func ipOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// counterpartAddress gives where this registry's counterpart on another core machine is: the same port of
// that machine's IP.
func (s *Server) counterpartAddress(address string) string {
	_, port, _ := net.SplitHostPort(s.advertisedAddress)
	return net.JoinHostPort(ipOf(address), port)
}

// members lists the core's seats in the order in which duties fall, each with where its registry
// is reached if that is known; the caller holds the lock. Without an order they are those that
// the stores agreed on, by name; until the store beside tells, the seeds are taken for them.
func (s *Server) members() []*schema.CoreMember {
	var listed []*schema.CoreMember
	for _, name := range s.memberOrder {
		listed = append(listed, &schema.CoreMember{Id: name})
	}
	if s.memberOrder == nil {
		for _, member := range s.agreedMembers {
			listed = append(listed, &schema.CoreMember{Id: member.Id, Address: s.counterpartAddress(member.Address)})
		}
		for _, seed := range options.SplitList(s.currentOptions().Seeds) {
			if len(s.agreedMembers) == 0 {
				listed = append(listed, &schema.CoreMember{Id: ipOf(seed), Address: seed})
			}
		}
		slices.SortFunc(listed, func(a, b *schema.CoreMember) int { return strings.Compare(a.Id, b.Id) })
	}
	for i, member := range listed {
		if observed := s.coreMembers[member.Id]; observed != nil {
			listed[i] = observed
		}
	}
	return listed
}

// currentOptions are the settings in force, as far as they may change.
func (s *Server) currentOptions() *schema.RegistryOptions { return s.liveOptions.Load() }

// acknowledgesAfterCommit tells whether a change is acknowledged once it is stable.
func (s *Server) acknowledgesAfterCommit() bool {
	return s.initialOptions.AcknowledgeAfter == acknowledgeAfterCommit
}

// reachableMembers is the seats whose registry can be reached somewhere.
func (s *Server) reachableMembers() []*schema.CoreMember {
	return slices.DeleteFunc(s.members(), func(member *schema.CoreMember) bool { return member.Address == "" })
}

// requireProxy tells whether the peer is the proxy it says it is.
func (s *Server) requireProxy(ctx context.Context, name string) error {
	if peer := transport.PeerFromContext(ctx); peer.Role != "proxy" || peer.Name != name {
		s.rpcTransport.RejectedPeers.Add(1)
		return errs.New(errs.Unauthorized, name)
	}
	return nil
}

// requireRegistry tells whether the peer is another registry.
func (s *Server) requireRegistry(ctx context.Context) error {
	if peer := transport.PeerFromContext(ctx); peer.Role != "registry" {
		s.rpcTransport.RejectedPeers.Add(1)
		return errs.New(errs.Unauthorized, peer.Role)
	}
	return nil
}

// Lease renews a proxy's lease here.
func (s *Server) Lease(ctx context.Context, request *schema.LeaseRequest) (*schema.LeaseReply, error) {
	if err := s.requireProxy(ctx, request.Proxy); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	reply := s.fleetState.RenewLease(s.now(), request)
	reply.CoreMembers, reply.CoreSize = s.reachableMembers(), uint32(len(s.members()))
	return reply, nil
}

// Greet tells a proxy that starts which incarnation of its name was seen last.
func (s *Server) Greet(ctx context.Context, greeting *schema.IncarnationRequest) (*schema.IncarnationReply, error) {
	if err := s.requireProxy(ctx, greeting.Proxy); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return &schema.IncarnationReply{Incarnation: s.fleetState.HighestIncarnation(greeting.Proxy), Workers: s.fleetState.ReportedWorkers(greeting.Proxy)}, nil
}

// Feed waits for news that a node lacks and gives it.
func (s *Server) Feed(ctx context.Context, request *schema.FeedRequest) (*schema.FeedReply, error) {
	if request.Member != nil {
		if err := s.requireRegistry(ctx); err != nil {
			return nil, err
		}
		s.lock.Lock()
		if s.observeMember(request.Member) {
			s.broadcastChange()
		}
		s.fleetState.CompareSetting(request.Node, "lease", time.Duration(request.LeaseNanos).String(), s.leaseDuration.String(), request.LeaseNanos != 0)
		s.fleetState.CompareSetting(request.Node, "order", request.MemberList, s.initialOptions.Order, request.MemberList != "")
		s.lock.Unlock()
	}
	s.lock.Lock()
	s.fleetState.ObserveVector(s.now(), request.Vector)
	s.lock.Unlock()
	incarnationsOf := request.Node
	if request.Member != nil {
		incarnationsOf = ""
	}
	deadline := time.NewTimer(min(time.Duration(request.WaitNanos), s.leaseDuration))
	defer deadline.Stop()
	for {
		s.lock.Lock()
		response := &schema.FeedReply{Sources: s.fleetState.SourcesNewerThan(s.now(), request.Vector), Revision: s.fleetState.committedRevision, CoreMembers: s.reachableMembers()}
		response.Sources = append(response.Sources, s.fleetState.IncarnationOnlySources(request.Vector, incarnationsOf)...)
		if request.Member == nil && s.fleetState.committedRevision > request.Revision {
			response.Items, response.Complete = s.configState.ChangesAfter(request.Revision)
			response.Items = withoutOperatorText(response.Items)
		}
		stateChanged := s.stateChanged
		s.lock.Unlock()
		if len(response.Sources) > 0 || (request.Member == nil && response.Revision > request.Revision) {
			return response, nil
		}
		select {
		case <-stateChanged:
		case <-deadline.C:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// withoutOperatorText leaves out of items what only operators ask for.
func withoutOperatorText(items []*schema.Item) []*schema.Item {
	stripped := make([]*schema.Item, len(items))
	for i, item := range items {
		if stripped[i] = item; len(item.OperatorBody) > 0 {
			stripped[i] = &schema.Item{Kind: item.Kind, Name: item.Name, Version: item.Version, Body: item.Body, Deleted: item.Deleted, OperatorVersion: item.OperatorVersion}
		}
	}
	return stripped
}

// Tell takes a proxy's workers and counts.
func (s *Server) Tell(ctx context.Context, report *schema.ProxyReport) (*schema.ReportReply, error) {
	if err := s.requireProxy(ctx, report.Proxy); err != nil {
		return nil, err
	}
	if report.Source != nil && report.Source.Name != report.Proxy {
		return nil, errs.New(errs.Unauthorized, report.Source.Name)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.fleetState.ApplyReport(s.now(), report) {
		s.broadcastChange()
	}
	return &schema.ReportReply{Canaries: s.fleetState.CanaryGrants(s.now())}, nil
}

// Bar sets a fence for another registry.
func (s *Server) Bar(ctx context.Context, fence *schema.FenceRequest) (*schema.FenceReply, error) {
	if err := s.requireRegistry(ctx); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.SetFence(s.now(), fence.Revision), nil
}

// Counts gives the counts held here to another registry.
func (s *Server) Counts(ctx context.Context, request *schema.CountsRequest) (*schema.CountsReply, error) {
	if err := s.requireRegistry(ctx); err != nil {
		return nil, err
	}
	if request.Controller != "" {
		s.setCanaryGrants(request.Canaries)
	}
	return s.localCounts(request.WorkOnly), nil
}

func (s *Server) localCounts(workCountsOnly bool) *schema.CountsReply {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fleetState.ReportedCounts(s.now(), workCountsOnly)
}

// Look gives this registry's status.
func (s *Server) Look(context.Context, *schema.Empty) (*schema.RegistryStatus, error) {
	return s.registryStatus(), nil
}

func (s *Server) registryStatus() *schema.RegistryStatus {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.now()
	age, confirmed := s.fleetState.Staleness(now)
	return &schema.RegistryStatus{Member: s.initialOptions.Seat, GrantsLeases: s.fleetState.GrantsLeases(now), MayControlRollouts: s.mayControlRollouts(), Committed: s.fleetState.committedRevision, Leases: s.fleetState.Leases(now),
		Sessions: uint32(s.fleetState.SessionCount()), FleetSize: uint32(s.fleetState.LiveProxies(now)), StalenessKnown: confirmed, StalenessNanos: int64(age), Reachable: s.fleetState.ReachableRegistries(now),
		StaleSteps: s.staleSteps.Load(), RefusedPeers: s.rpcTransport.RejectedPeers.Load(),
		KeyReservations: uint64(s.reservations.Len()), ReservationsAuthoritative: s.reservations.IsAuthoritative(now), RefusedReservations: s.reservations.Refused, ConflictingSettings: s.fleetState.SettingMismatches()}
}

// digestBytes is the length of a claim's digests.
const digestBytes = 32

// Claim rules on the keys that a proxy wants to run.
func (s *Server) Claim(ctx context.Context, request *schema.ReserveRequest) (*schema.ReserveReply, error) {
	peer := transport.PeerFromContext(ctx)
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.now()
	response := &schema.ReserveReply{Member: s.initialOptions.Seat, CoreSize: uint32(len(s.members()))}
	for _, reservation := range request.Reservations {
		// Only the proxy itself may claim, and only for callers that it may speak for.
		if peer.Role != "proxy" || peer.Name != reservation.Proxy || !peer.MayCallAs(reservation.Caller) || len(reservation.Key) != digestBytes || len(reservation.BodyDigest) != digestBytes {
			s.reservations.Refused++
			response.Replies = append(response.Replies, &schema.ReservationReply{Result: schema.ReservationResult_RESERVATION_UNAUTHORIZED})
			continue
		}
		response.Replies = append(response.Replies, s.reservations.Apply(now, reservation))
	}
	return response, nil
}

// Read gives another registry the claims held here.
func (s *Server) Read(ctx context.Context, request *schema.ReservationsRequest) (*schema.ReservationsPage, error) {
	if err := s.requireRegistry(ctx); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	page := s.reservations.Page(s.now(), request.After)
	page.Member = s.initialOptions.Seat
	return page, nil
}

// recoverReservations reads what the other registries hold until this one's word counts.
func (s *Server) recoverReservations(ctx context.Context) {
	for ctx.Err() == nil {
		s.lock.Lock()
		now := s.now()
		authoritative, wait := s.reservations.IsAuthoritative(now), s.reservations.RecoveryStartsAt()-now
		s.lock.Unlock()
		switch {
		case authoritative:
			return
		case wait > 0:
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			continue
		}
		callOtherRegistries(ctx, s, s.leaseDuration, func(ctx context.Context, peer schema.DRPCRegistryClient) (bool, error) {
			for after := uint64(0); ; {
				page, err := peer.Read(ctx, &schema.ReservationsRequest{After: after})
				if err != nil {
					return false, err
				}
				s.lock.Lock()
				s.reservations.MergePage(s.now(), page.Member, page)
				s.lock.Unlock()
				if page.Last {
					return true, nil
				}
				after = page.Reservations[len(page.Reservations)-1].Position
			}
		})
		s.waitLeaseFraction(ctx, retryPauseDivisor)
	}
}

// callOtherRegistries calls every other registry at once and gives the answers that came.
func callOtherRegistries[T any](ctx context.Context, s *Server, timeout time.Duration, call func(context.Context, schema.DRPCRegistryClient) (T, error)) []T {
	s.lock.Lock()
	addresses := s.peerAddresses()
	s.lock.Unlock()
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan *T, len(addresses))
	for address := range addresses {
		go func() {
			answer, err := call(bounded, schema.NewDRPCRegistryClient(s.rpcTransport.Conn(bounded, address)))
			if err != nil {
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	var received []T
	for range addresses {
		if answer := <-answers; answer != nil {
			received = append(received, *answer)
		}
	}
	return received
}

// awaitAcknowledgement waits until no proxy can any longer use rules older than setup. It returns
// who still may when the wait ends.
func (s *Server) awaitAcknowledgement(ctx context.Context, sequence uint64) []string {
	if s.acknowledgesAfterCommit() {
		return nil
	}
	s.lock.Lock()
	acknowledgement := NewAcknowledgement(len(s.members()))
	s.lock.Unlock()
	for {
		laggards := map[string]bool{}
		s.lock.Lock()
		answers := []*schema.FenceReply{s.fleetState.SetFence(s.now(), sequence)}
		stateChanged := s.stateChanged
		s.lock.Unlock()
		answers = append(answers, callOtherRegistries(ctx, s, s.leaseDuration/session.RenewalsPerLease, func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.FenceReply, error) {
			return peer.Bar(ctx, &schema.FenceRequest{Revision: sequence})
		})...)
		for _, answer := range answers {
			for _, laggard := range answer.Laggards {
				laggards[laggard.Proxy] = true
			}
			if acknowledgement.Record(answer) {
				s.lock.Lock()
				s.fleetState.traceAcknowledged(s.now(), sequence)
				s.lock.Unlock()
				return nil
			}
		}
		select {
		case <-ctx.Done():
			names := []string{}
			for name := range laggards {
				names = append(names, name)
			}
			return names
		case <-stateChanged:
		case <-time.After(s.leaseDuration / batchDivisor):
		}
	}
}
