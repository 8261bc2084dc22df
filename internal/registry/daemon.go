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

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/defect"
	"meadowhinge/internal/link"
	"meadowhinge/internal/options"
	"meadowhinge/internal/session"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	pollParts  = 2  // longest wait of one poll of a feed
	retryParts = 40 // pause after a call that failed
	batchParts = 400

	windowLeases = 4 // that a claim must stand at the least
)

// Server runs a registry.
type Server struct {
	schema.DRPCRegistryUnimplementedServer
	options *schema.RegistryOptions                // as they were at the start
	live    atomic.Pointer[schema.RegistryOptions] // as they are now, where they may change
	order   []string                               // of the seats as set; nil where the stores agree on them
	speech  OperatorSpeech
	lease   time.Duration
	address string
	ends    *link.Ends
	log     logr.Logger
	started time.Time
	born    uint64

	lock   sync.Mutex
	table  *Table
	claims *Claims
	state  setup.State
	setup  *setup.Setup // compiled; of an earlier state unless fresh
	fresh  bool
	fleet  *session.Fleet
	cores  map[string]*schema.Core
	agreed []*schema.Core // the seats as the store beside has them, where no order rules
	moved  chan struct{}
	beat   chan struct{} // closed and replaced whenever sessions are due a sign of life
	store  schema.DRPCStoreClient

	offerSerial uint64
	offers      map[string]*offered // changes on their way, by what they ask for
	steering    steering            // guarded by lock
	stale       atomic.Uint64       // steps refused because a later epoch had the release duty
}

// Option changes how a registry runs.
type Option func(*Server)

// WithOperatorSpeech lets operators speak otherwise than in the product's own pages.
func WithOperatorSpeech(speech OperatorSpeech) Option {
	return func(s *Server) { s.speech = speech }
}

// Values of settings.
const (
	plainLinks  = "plain"
	afterStable = "stable"
)

// endsOf opens this registry's links as the settings have them.
func endsOf(given *schema.RegistryOptions) (*link.Ends, error) {
	from := link.WithFrom(given.Listen)
	if given.Links == plainLinks {
		return link.Plain("registry", given.Seat, nil, from), nil
	}
	return link.Load(given.Certificate, given.Authority, from)
}

// Run serves a registry until ctx ends.
func Run(ctx context.Context, frame *daemon.Frame, given *schema.RegistryOptions, changes ...Option) error {
	ends, err := endsOf(given)
	if err != nil {
		return err
	}
	defer ends.Close()
	if self := ends.Self(); self.Role != "registry" || self.Name != given.Seat {
		return defect.New(defect.BadOptions, fmt.Sprintf("certificate is for %s %q, not registry %q", self.Role, self.Name, given.Seat))
	}
	// A claim must outlive every call that may still run under it, and the leases of that time.
	if given.KeyWindow < windowLeases*given.Lease {
		return defect.New(defect.BadOptions, fmt.Sprintf("key-window: must be at least %d leases", windowLeases))
	}
	address := given.Advertise
	if address == "" {
		address = given.Listen
	}
	if given.Order == "" {
		// Without an order a seat is named by where it stands, as its store names it.
		given.Seat = ipOf(address)
	}
	s := &Server{options: given, order: options.List(given.Order), lease: time.Duration(given.Lease), address: address, ends: ends, log: frame.Log,
		started: time.Now(), born: session.NextIncarnation(0), state: setup.State{}, cores: map[string]*schema.Core{}, moved: make(chan struct{}), beat: make(chan struct{}), offers: map[string]*offered{}, steering: steering{rivals: map[string]*rival{}, writing: map[string]bool{}}}
	for _, change := range changes {
		change(s)
	}
	s.live.Store(proto.Clone(given).(*schema.RegistryOptions))
	s.fleet = session.NewFleet(given.SourcesMost, s.lease)
	s.table = NewTable(TableOptions{Seat: given.Seat, Lease: s.lease, SourcesMost: int(given.SourcesMost), CountsMost: int(given.CountsMost), Leaseless: s.stableIsEnough()})
	s.claims = NewClaims(ClaimsOptions{Lease: s.lease, Window: time.Duration(given.KeyWindow), Most: int(given.ClaimsMost), Seats: len(s.seats())})
	s.table.Among(len(s.seats()))
	s.setup, _ = setup.Compile(s.state, 0)
	s.cores[given.Seat] = &schema.Core{Seat: given.Seat, Address: address, Incarnation: s.born, Area: given.Area}
	frame.Follow(ctx, s.lease, func(now proto.Message) { s.live.Store(now.(*schema.RegistryOptions)) })
	s.store = schema.NewDRPCStoreClient(ends.To(ctx, given.Store))

	listener, err := net.Listen("tcp", given.Listen)
	if err != nil {
		return defect.Wrap(err, defect.BadOptions, "listen")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterRegistry(mux, s); err != nil {
		return defect.Wrap(err, defect.Internal, "mux")
	}
	frame.Page("/certificate", ends.Certificate)
	frame.Page("/traffic", func() any { return ends.Traffic() })
	frame.Page("/status", func() any { status, _ := s.Look(ctx, nil); return status })
	if err := frame.Probe(given.ProbeListen, s.soundness); err != nil {
		return err
	}
	go s.follow(ctx)
	go s.catchUp(ctx)
	go s.steer(ctx)
	go s.fillClaims(ctx)
	go s.pullFromAll(ctx)
	go s.beats(ctx)
	outward, err := s.serveOperators(given.OperatorListen)
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- ends.Serve(ctx, listener, mux, "proxy", "registry") }()
	frame.Log.V(1).Info("registry up", "seat", given.Seat, "listen", given.Listen)
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	frame.Draining.Store(true)
	if err := <-served; err != nil {
		return err
	}
	draining, cancel := context.WithTimeout(context.Background(), time.Duration(s.given().Drain))
	defer cancel()
	return defect.Wrap(outward.ShutdownWithContext(draining), defect.Internal, "operators still waiting at the end of the drain time")
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

func (s *Server) soundness() daemon.Soundness {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.table.Grants(s.now()) {
		return daemon.Soundness{Reason: "REGISTRY_YOUNG"}
	}
	return daemon.Soundness{Ready: true}
}

// announce wakes whoever waits for news; the caller holds the lock.
func (s *Server) announce() {
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *Server) pause(ctx context.Context, parts int) {
	select {
	case <-ctx.Done():
	case <-time.After(s.lease / time.Duration(parts)):
	}
}

// quickRetries are made after ever longer pauses, before retryParts counts: where the whole
// machine has just started, its store is up a moment after its registry, and its seat finds the
// others a moment later still.
const quickRetries = 5

// retryAfter is the part of a lease to pause for after so many failures in a row.
func retryAfter(failures int) int { return retryParts << max(0, quickRetries-failures) }

// follow keeps the stable setup from this machine's store.
func (s *Server) follow(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		s.lock.Lock()
		after := s.table.stable
		s.lock.Unlock()
		bounded, cancel := context.WithTimeout(ctx, s.lease)
		back, err := s.store.Follow(bounded, &schema.FollowRequest{After: after, WaitNanos: int64(s.lease / session.BeatParts)})
		cancel()
		if err != nil {
			failures++
			s.pause(ctx, retryAfter(failures))
			continue
		}
		failures = 0
		s.take(back)
	}
}

// take applies stable news; older news, as from a store that was refilled, changes nothing.
func (s *Server) take(back *schema.FollowReply) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(back.Cores) > 0 && !sameCores(s.agreed, back.Cores) {
		s.log.V(1).Info("the seats are others", "seats", len(back.Cores))
		s.agreed = back.Cores
		s.table.Among(len(s.seats()))
		s.announce()
	}
	if back.Vouched && back.Committed >= s.table.stable {
		s.table.Vouch(s.now() - time.Duration(back.AgeNanos))
	}
	if back.Committed <= s.table.stable {
		return
	}
	s.state = s.state.Taking(back.Items, back.Whole)
	s.fresh = false // compiled again when somebody next asks for it
	s.table.SetStable(s.now(), back.Committed)
	s.announce()
}

// catchUp learns what was stable when this registry started; until then it grants nothing.
func (s *Server) catchUp(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		bounded, cancel := context.WithTimeout(ctx, s.lease/session.LeaseParts)
		back, err := s.store.ReadIndex(bounded, &schema.Nothing{})
		cancel()
		if err == nil && !back.Undecided {
			if back.Unused {
				s.lock.Lock()
				s.claims.Unused()
				s.lock.Unlock()
			}
			for ctx.Err() == nil {
				s.lock.Lock()
				reached := s.table.stable >= back.Committed
				if reached {
					s.table.SetCurrent()
					s.announce()
				}
				moved := s.moved
				s.lock.Unlock()
				if reached {
					return
				}
				select {
				case <-moved:
				case <-ctx.Done():
				}
			}
		}
		s.pause(ctx, retryAfter(failures))
	}
}

// pullFromAll keeps this registry level with all others, wherever they are at the time.
func (s *Server) pullFromAll(ctx context.Context) {
	pulling := map[string]context.CancelFunc{}
	for {
		s.lock.Lock()
		addresses, moved := s.peers(), s.moved
		s.lock.Unlock()
		for address, stop := range pulling {
			if !addresses[address] {
				stop()
				delete(pulling, address)
			}
		}
		for address := range addresses {
			if pulling[address] == nil {
				bounded, cancel := context.WithCancel(ctx)
				pulling[address] = cancel
				go s.keepLevel(bounded, address)
			}
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return
		}
	}
}

// peers is where the other registries are, or may be; the caller holds the lock.
func (s *Server) peers() map[string]bool {
	addresses := map[string]bool{}
	for _, core := range s.coreList() {
		addresses[core.Address] = true
	}
	// Who the seats are is known for good once the stores have told it.
	if s.agreed == nil {
		for _, seed := range options.List(s.given().Seeds) {
			addresses[seed] = true
		}
	}
	delete(addresses, s.address)
	return addresses
}

// pullFrom keeps this registry level with the one at an address.
func (s *Server) pullFrom(ctx context.Context, seed string) {
	for ctx.Err() == nil {
		s.lock.Lock()
		pull := &schema.Pull{Node: "registry/" + s.options.Seat, Vector: s.table.Vector(), WaitNanos: int64(s.lease / pollParts), Core: s.cores[s.options.Seat],
			LeaseNanos: int64(s.lease), Order: s.options.Order}
		s.lock.Unlock()
		bounded, cancel := context.WithTimeout(ctx, s.lease)
		pulled, err := schema.NewDRPCRegistryClient(s.ends.To(bounded, seed)).Feed(bounded, pull)
		cancel()
		if err != nil {
			s.pause(ctx, retryParts)
			continue
		}
		s.lock.Lock()
		changed := false
		for _, source := range pulled.Sources {
			changed = s.table.Merge(s.now(), source) || changed
		}
		for _, core := range pulled.Cores {
			changed = s.learnCore(core) || changed
		}
		if changed {
			s.announce()
		}
		s.lock.Unlock()
	}
}

// sameCores tells whether two lists name the same seats at the same places.
func sameCores(a, b []*schema.Core) bool {
	return slices.EqualFunc(a, b, func(a, b *schema.Core) bool {
		return a.Seat == b.Seat && a.Address == b.Address && a.Area == b.Area && a.Incarnation == b.Incarnation
	})
}

// learnCore notes where a core machine is now; of two tellings the later start wins.
func (s *Server) learnCore(core *schema.Core) bool {
	if core == nil || core.Seat == "" {
		return false
	}
	own := s.cores[s.options.Seat]
	// Where an earlier life of this registry was is believed until this one's word is the later.
	if core.Seat == s.options.Seat {
		if session.Overtaken(own.Incarnation, core.Incarnation, false) {
			s.cores[core.Seat] = &schema.Core{Seat: own.Seat, Address: own.Address, Area: own.Area, Incarnation: session.NextIncarnation(core.Incarnation)}
			return true
		}
		return false
	}
	listed := false
	for _, seat := range s.seats() {
		listed = listed || seat.Seat == core.Seat
	}
	if held := s.cores[core.Seat]; listed && (held == nil || core.Incarnation > held.Incarnation) {
		s.cores[core.Seat] = core
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

// beside gives where this registry's counterpart on another core machine is: the same port of
// that machine's IP.
func (s *Server) beside(address string) string {
	_, port, _ := net.SplitHostPort(s.address)
	return net.JoinHostPort(ipOf(address), port)
}

// seats lists the core's seats in the order in which duties fall, each with where its registry
// is reached if that is known; the caller holds the lock. Without an order they are those that
// the stores agreed on, by name; until the store beside tells, the seeds are taken for them.
func (s *Server) seats() []*schema.Core {
	var listed []*schema.Core
	for _, name := range s.order {
		listed = append(listed, &schema.Core{Seat: name})
	}
	if s.order == nil {
		for _, core := range s.agreed {
			listed = append(listed, &schema.Core{Seat: core.Seat, Address: s.beside(core.Address)})
		}
		for _, seed := range options.List(s.given().Seeds) {
			if len(s.agreed) == 0 {
				listed = append(listed, &schema.Core{Seat: ipOf(seed), Address: seed})
			}
		}
		slices.SortFunc(listed, func(a, b *schema.Core) int { return strings.Compare(a.Seat, b.Seat) })
	}
	for i, seat := range listed {
		if told := s.cores[seat.Seat]; told != nil {
			listed[i] = told
		}
	}
	return listed
}

// given are the settings in force, as far as they may change.
func (s *Server) given() *schema.RegistryOptions { return s.live.Load() }

// stableIsEnough tells whether a change is acknowledged once it is stable.
func (s *Server) stableIsEnough() bool { return s.options.AcknowledgeAfter == afterStable }

// coreList is the seats whose registry can be reached somewhere.
func (s *Server) coreList() []*schema.Core {
	return slices.DeleteFunc(s.seats(), func(core *schema.Core) bool { return core.Address == "" })
}

// isProxy tells whether the peer is the proxy it says it is.
func (s *Server) isProxy(ctx context.Context, name string) error {
	if peer := link.PeerOf(ctx); peer.Role != "proxy" || peer.Name != name {
		s.ends.Refused.Add(1)
		return defect.New(defect.Stranger, name)
	}
	return nil
}

// isRegistry tells whether the peer is another registry.
func (s *Server) isRegistry(ctx context.Context) error {
	if peer := link.PeerOf(ctx); peer.Role != "registry" {
		s.ends.Refused.Add(1)
		return defect.New(defect.Stranger, peer.Role)
	}
	return nil
}

// Lease renews a proxy's lease here.
func (s *Server) Lease(ctx context.Context, renew *schema.Renew) (*schema.Renewed, error) {
	if err := s.isProxy(ctx, renew.Proxy); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	reply := s.table.Renew(s.now(), renew)
	reply.Cores, reply.Seats = s.coreList(), uint32(len(s.seats()))
	return reply, nil
}

// Greet tells a proxy that starts which incarnation of its name was seen last.
func (s *Server) Greet(ctx context.Context, greeting *schema.Greeting) (*schema.Greeted, error) {
	if err := s.isProxy(ctx, greeting.Proxy); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return &schema.Greeted{Incarnation: s.table.Seen(greeting.Proxy), Workers: s.table.ToldOf(greeting.Proxy)}, nil
}

// Feed waits for news that a node lacks and gives it.
func (s *Server) Feed(ctx context.Context, pull *schema.Pull) (*schema.Pulled, error) {
	if pull.Core != nil {
		if err := s.isRegistry(ctx); err != nil {
			return nil, err
		}
		s.lock.Lock()
		if s.learnCore(pull.Core) {
			s.announce()
		}
		s.table.Differs(pull.Node, "lease", time.Duration(pull.LeaseNanos).String(), s.lease.String(), pull.LeaseNanos != 0)
		s.table.Differs(pull.Node, "order", pull.Order, s.options.Order, pull.Order != "")
		s.lock.Unlock()
	}
	s.lock.Lock()
	s.table.Learn(s.now(), pull.Vector)
	s.lock.Unlock()
	of := pull.Node
	if pull.Core != nil {
		of = ""
	}
	horizon := time.NewTimer(min(time.Duration(pull.WaitNanos), s.lease))
	defer horizon.Stop()
	for {
		s.lock.Lock()
		pulled := &schema.Pulled{Sources: s.table.Feed(s.now(), pull.Vector), Setup: s.table.stable, Cores: s.coreList()}
		pulled.Sources = append(pulled.Sources, s.table.Bare(pull.Vector, of)...)
		if pull.Core == nil && s.table.stable > pull.Setup {
			pulled.Items, pulled.Whole = s.state.After(pull.Setup)
			pulled.Items = unsaid(pulled.Items)
		}
		moved := s.moved
		s.lock.Unlock()
		if len(pulled.Sources) > 0 || (pull.Core == nil && pulled.Setup > pull.Setup) {
			return pulled, nil
		}
		select {
		case <-moved:
		case <-horizon.C:
			return pulled, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// unsaid leaves out of items what only operators ask for.
func unsaid(items []*schema.Item) []*schema.Item {
	bare := make([]*schema.Item, len(items))
	for i, item := range items {
		if bare[i] = item; len(item.Said) > 0 {
			bare[i] = &schema.Item{Kind: item.Kind, Name: item.Name, Version: item.Version, Body: item.Body, Deleted: item.Deleted, Given: item.Given}
		}
	}
	return bare
}

// Tell takes a proxy's workers and counts.
func (s *Server) Tell(ctx context.Context, report *schema.Report) (*schema.Told, error) {
	if err := s.isProxy(ctx, report.Proxy); err != nil {
		return nil, err
	}
	if report.Source != nil && report.Source.Name != report.Proxy {
		return nil, defect.New(defect.Stranger, report.Source.Name)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.table.Tell(s.now(), report) {
		s.announce()
	}
	return &schema.Told{Trials: s.table.Trials(s.now())}, nil
}

// Bar sets a fence for another registry.
func (s *Server) Bar(ctx context.Context, fence *schema.Fence) (*schema.Fenced, error) {
	if err := s.isRegistry(ctx); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.table.Bar(s.now(), fence.Setup), nil
}

// Counts gives the counts held here to another registry.
func (s *Server) Counts(ctx context.Context, ask *schema.CountsAsk) (*schema.CountsBack, error) {
	if err := s.isRegistry(ctx); err != nil {
		return nil, err
	}
	if ask.Duty != "" {
		s.takeTrials(ask.Trials)
	}
	return s.countsHere(ask.Works), nil
}

func (s *Server) countsHere(works bool) *schema.CountsBack {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.table.Counts(s.now(), works)
}

// Look gives this registry's status.
func (s *Server) Look(context.Context, *schema.Nothing) (*schema.RegistryStatus, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.now()
	age, known := s.table.Age(now)
	return &schema.RegistryStatus{Seat: s.options.Seat, Grants: s.table.Grants(now), Steers: s.steers(), Stable: s.table.stable, Leases: s.table.Leases(now),
		Sessions: uint32(s.table.Sessions()), Members: uint32(s.table.Members(now)), Vouched: known, AgeNanos: int64(age), Reached: s.table.Reached(now),
		StaleSteps: s.stale.Load(), RefusedPeers: s.ends.Refused.Load(),
		Claims: uint64(s.claims.Held()), ClaimsCount: s.claims.Counts(now), RefusedClaims: s.claims.Refused, Odd: s.table.Odd()}, nil
}

// keyBytes is the length of a claim's digests.
const keyBytes = 32

// Claim rules on the keys that a proxy wants to run.
func (s *Server) Claim(ctx context.Context, asked *schema.Claims) (*schema.ClaimsBack, error) {
	peer := link.PeerOf(ctx)
	s.lock.Lock()
	defer s.lock.Unlock()
	now := s.now()
	back := &schema.ClaimsBack{Seat: s.options.Seat, Seats: uint32(len(s.seats()))}
	for _, claim := range asked.Claims {
		// Only the proxy itself may claim, and only for callers that it may speak for.
		if peer.Role != "proxy" || peer.Name != claim.Proxy || !peer.Speaks(claim.Caller) || len(claim.Key) != keyBytes || len(claim.Body) != keyBytes {
			s.claims.Refused++
			back.Claimed = append(back.Claimed, &schema.Claimed{Ruled: schema.Ruled_RULED_STRANGER})
			continue
		}
		back.Claimed = append(back.Claimed, s.claims.Take(now, claim))
	}
	return back, nil
}

// Read gives another registry the claims held here.
func (s *Server) Read(ctx context.Context, ask *schema.ClaimsAsk) (*schema.ClaimsPage, error) {
	if err := s.isRegistry(ctx); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	page := s.claims.Page(s.now(), ask.After)
	page.Seat = s.options.Seat
	return page, nil
}

// fillClaims reads what the other registries hold until this one's word counts.
func (s *Server) fillClaims(ctx context.Context) {
	for ctx.Err() == nil {
		s.lock.Lock()
		now := s.now()
		counts, wait := s.claims.Counts(now), s.claims.ReadsFrom()-now
		s.lock.Unlock()
		switch {
		case counts:
			return
		case wait > 0:
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			continue
		}
		others(ctx, s, s.lease, func(ctx context.Context, peer schema.DRPCRegistryClient) (bool, error) {
			for after := uint64(0); ; {
				page, err := peer.Read(ctx, &schema.ClaimsAsk{After: after})
				if err != nil {
					return false, err
				}
				s.lock.Lock()
				s.claims.Fill(s.now(), page.Seat, page)
				s.lock.Unlock()
				if page.Last {
					return true, nil
				}
				after = page.Claims[len(page.Claims)-1].Place
			}
		})
		s.pause(ctx, retryParts)
	}
}

// others calls every other registry at once and gives the answers that came.
func others[T any](ctx context.Context, s *Server, bound time.Duration, call func(context.Context, schema.DRPCRegistryClient) (T, error)) []T {
	s.lock.Lock()
	addresses := s.peers()
	s.lock.Unlock()
	bounded, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	answers := make(chan *T, len(addresses))
	for address := range addresses {
		go func() {
			answer, err := call(bounded, schema.NewDRPCRegistryClient(s.ends.To(bounded, address)))
			if err != nil {
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	var came []T
	for range addresses {
		if answer := <-answers; answer != nil {
			came = append(came, *answer)
		}
	}
	return came
}

// acknowledge waits until no proxy can any longer use rules older than setup. It returns
// who still may when the wait ends.
func (s *Server) acknowledge(ctx context.Context, sequence uint64) []string {
	if s.stableIsEnough() {
		return nil
	}
	s.lock.Lock()
	fence := NewAcknowledgement(len(s.seats()))
	s.lock.Unlock()
	for {
		laggards := map[string]bool{}
		s.lock.Lock()
		answers := []*schema.Fenced{s.table.Bar(s.now(), sequence)}
		moved := s.moved
		s.lock.Unlock()
		answers = append(answers, others(ctx, s, s.lease/session.LeaseParts, func(ctx context.Context, peer schema.DRPCRegistryClient) (*schema.Fenced, error) {
			return peer.Bar(ctx, &schema.Fence{Setup: sequence})
		})...)
		for _, answer := range answers {
			for _, one := range answer.Laggards {
				laggards[one.Proxy] = true
			}
			if fence.Take(answer) {
				s.lock.Lock()
				if traced := s.table.traces[sequence]; traced != nil && traced.yes == 0 {
					traced.yes = s.now()
				}
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
		case <-moved:
		case <-time.After(s.lease / batchParts):
		}
	}
}
