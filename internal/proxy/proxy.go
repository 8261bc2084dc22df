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
	"meadowhinge/internal/defect"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/journal"
	"meadowhinge/internal/link"
	"meadowhinge/internal/options"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Ratios to the lease.
const (
	renewParts  = session.LeaseParts
	tellParts   = 4 * session.LeaseParts // counts must come in well before a bad version has done much harm
	countParts  = 2                      // counts of verdicts are for operators to read
	countLeases = 2                      // and so seldom where a proxy serves in doubt
	pollParts   = 2
	sweepParts  = 4 // a proxy silent for this part of a lease, while others are heard, is dropped
	dialParts   = 16
	retryParts  = 40
	gapParts    = session.LeaseParts     // how long after its end a lease is still waited for
	lagParts    = 2 * session.LeaseParts // a feed this far behind is left for another
	claimPause  = 64                     // how long a refusal waits for its claim to be let go
	tallyLines  = 4096
	eventsKept  = 256
	workersMost = 256
)

// overrunParts is the part of a lease for which a repeatable call may go on at
// its worker once its caller is known to be gone.
const overrunParts = 16

// Server runs a proxy.
type Server struct {
	schema.DRPCHopUnimplementedServer
	options     *schema.ProxyOptions                // as they were at the start
	live        atomic.Pointer[schema.ProxyOptions] // as they are now, where they may change
	life        uint64                              // tells this life from others; settled before any session
	incarnation uint64                              // of what is told of this proxy, above all that was seen of it; 0 until it is settled; guarded by lock
	address     string
	lease       time.Duration
	ends        *link.Ends
	log         logr.Logger
	started     time.Time
	road        *dispatch.Road // this machine's link, as far as it is known how much it carries
	speaks      link.Peer
	speeches    running

	journal *journal.Journal[Event, Picture]
	workers *dispatch.Workers
	runner  *dispatch.Runner
	carrier *dispatch.Carrier
	tally   *dispatch.Tally
	left    dispatch.Departures // of callers while their calls were under way
	calls   atomic.Int64        // in flight, of callers here
	hops    atomic.Int64        // in flight, from other proxies
	facts   *dispatch.Soundness
	trials  *dispatch.Trials

	lock     sync.Mutex
	granted  *session.Gate
	gate     gate // whether this proxy may decide calls
	cores    map[string]*schema.Core
	seats    int           // how many core seats there are
	behind   time.Duration // since when some registry knew a newer setup than the one applied; 0 for never
	feedAt   int
	members  atomic.Int64
	told     int64          // proxies that the registry knows to live; guarded by lock
	tie      *session.Tie   // with which registry this proxy is in session; guarded by lock
	vouched  time.Duration  // of what time the setup here is known to have been the newest; 0 for never; guarded by lock
	fleet    *session.Fleet // how many share the budgets; guarded by lock
	counter  uint64
	tellNow  chan struct{}
	lookNow  chan struct{}                // the setup is another
	asking   map[string]chan *claimTicket // claims on their way, by registry; guarded by lock
	linked   context.Context              // ends with this proxy's links
	lastCame atomic.Int64                 // when the last call came, since this proxy was told to end
	overAt   atomic.Int64                 // when this proxy is over, once it was told to end
	closing  atomic.Bool                  // no dispatch is taken any more
	draining *atomic.Bool
}

// Run serves a proxy until ctx ends.
func Run(ctx context.Context, frame *daemon.Frame, given *schema.ProxyOptions, changes ...Option) error {
	callers := options.Pairs(given.Callers)
	ends, err := linksOf(given, callers)
	if err != nil {
		return err
	}
	defer ends.Close()
	if self := ends.Self(); self.Role != "proxy" || self.Name != given.Name {
		return defect.New(defect.BadOptions, fmt.Sprintf("certificate is for %s %q, not proxy %q", self.Role, self.Name, given.Name))
	}
	for caller := range callers {
		if !ends.Self().Speaks(caller) {
			return defect.New(defect.BadOptions, fmt.Sprintf("callers: the certificate may not speak for %q", caller))
		}
	}
	s := build(ends, frame, given, changes...)
	frame.Follow(ctx, s.lease, func(now proto.Message) { s.follow(now.(*schema.ProxyOptions)) })

	listener, err := net.Listen("tcp", given.Listen)
	if err != nil {
		return defect.Wrap(err, defect.BadOptions, "listen")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterHop(mux, s); err != nil {
		return defect.Wrap(err, defect.Internal, "mux")
	}
	frame.Page("/status", func() any { return s.status() })
	frame.Page("/certificate", ends.Certificate)
	frame.Page("/traffic", func() any { return ends.Traffic() })
	frame.Page("/events", func() any { return s.events() })
	for _, path := range s.speeches.readyAt {
		frame.ReadyAt(path)
	}
	if err := frame.Probe(given.ProbeListen, s.soundness); err != nil {
		return err
	}
	// Links to other proxies outlive the signal until the calls in flight have ended.
	linked, unlink := context.WithCancel(context.Background())
	defer unlink()
	s.join(linked)
	served := make(chan error, 1)
	go func() { served <- ends.Serve(linked, listener, mux, "proxy") }()
	beside, err := s.listen(given.WorkersListen, func(call *fasthttp.RequestCtx) { s.speeches.beats.Handle(call, s.workers) }, 1<<16,
		func(call *fasthttp.RequestCtx, err error) { daemon.Refuse(call, err, notRun, nil) })
	if err != nil {
		return err
	}
	// Callers are let in once this proxy can decide: until then a refused connection sends them
	// to another, where a taken one would only bring them a refusal.
	if !s.gate.AwaitFirst(ctx) {
		frame.Draining.Store(true)
		return s.drain(nil, beside)
	}
	var outward []*front
	for caller, address := range callers {
		server, err := s.open(caller, address)
		if err != nil {
			return err
		}
		outward = append(outward, server)
	}
	frame.Log.V(1).Info("proxy up", "name", given.Name, "listen", given.Listen)
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	frame.Draining.Store(true)
	return s.drain(outward, beside)
}

// build makes a proxy that has no listeners and no sessions yet.
func build(ends *link.Ends, frame *daemon.Frame, given *schema.ProxyOptions, changes ...Option) *Server {
	s := &Server{options: given, address: given.Advertise, lease: time.Duration(given.Lease), ends: ends,
		speeches: speechesOf(changes), log: frame.Log, started: time.Now(), cores: map[string]*schema.Core{}, tellNow: make(chan struct{}, 1), lookNow: make(chan struct{}, 1), asking: map[string]chan *claimTicket{}, draining: frame.Draining}
	s.live.Store(given)
	s.life = session.NextIncarnation(0)
	if s.address == "" {
		s.address = given.Listen
	}
	if s.road = dispatch.NewRoad(given.LinkRate, s.now); s.road != nil {
		ends.Tell(s.road.Carry)
	}
	s.members.Store(given.MembersMost)
	s.fleet = session.NewFleet(given.MembersMost, s.lease)
	s.journal = journal.New(EmptyPicture(), eventsKept, s.speeches.fold)
	s.tie = s.newTie()
	s.granted = session.NewGate(s.lease, s.now)
	s.gate = s.granted
	if serving(given) {
		s.gate = pictureGate{s.journal}
	}
	s.tally = dispatch.NewTally(tallyLines)
	s.facts = dispatch.NewSoundness(given.FailuresMost, time.Duration(given.Ejection))
	s.assemble()
	return s
}

// given are the settings in force.
func (s *Server) given() *schema.ProxyOptions { return s.live.Load() }

// follow goes on by settings that have changed. What is under way is not touched by it.
func (s *Server) follow(now *schema.ProxyOptions) {
	s.live.Store(now)
	s.facts.Rebound(now.FailuresMost, time.Duration(now.Ejection))
	s.trials.Rebound(trialsOf(now))
	s.carrier.Rebound(boundsOf(now))
	s.lock.Lock()
	defer s.lock.Unlock()
	s.tie.Seeds(options.List(now.Seeds))
}

func trialsOf(given *schema.ProxyOptions) dispatch.TrialOptions {
	return dispatch.TrialOptions{Length: time.Duration(given.Trial), Failures: given.TrialFailures, Times: given.TrialTimes, Excess: given.TrialExcess, Slow: given.TrialSlow}
}

func boundsOf(given *schema.ProxyOptions) dispatch.Bounds {
	return dispatch.Bounds{Options: plan.Options{Area: given.Area, HorizonMost: time.Duration(given.HorizonMost), Warmup: time.Duration(given.Warmup)},
		ExtraRatio: given.ExtraRatio, ExtraFloor: float64(given.ExtraFloor), ExtraWindow: time.Duration(given.ExtraWindow), ExtraFailed: given.ExtraFailed}
}

// join begins this proxy's sessions with the registries; they end with ctx.
func (s *Server) join(ctx context.Context) {
	s.linked = ctx
	go func() {
		s.settle(ctx)
		if serving(s.options) {
			go s.keepTie(ctx)
		} else {
			loops := len(options.List(s.options.Seeds))
			for i := range loops {
				go s.renew(ctx, i, loops)
			}
			go s.feed(ctx)
		}
		s.tell(ctx)
	}()
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

func (s *Server) view() *plan.View { return s.journal.View().view }

// assemble wires the two sides of a dispatch to this process.
func (s *Server) assemble() {
	given := s.options
	speaks := map[string]bool{}
	for caller := range options.Pairs(given.Callers) {
		speaks[caller] = true
	}
	s.speaks = link.Local("proxy", given.Name, speaks)
	s.workers = dispatch.NewWorkers(dispatch.WorkersOptions{Proxy: given.Name, Incarnation: s.life, Area: given.Area, Silence: given.Silence,
		Most: workersMost, ConnsMost: int(given.Buffer), BodyMost: int(given.BodyMost), Now: s.now,
		Road: s.road, Untethered: s.speeches.ids > 0, Young: youngTimes * s.speeches.ids, Dial: s.speeches.dial}, s.workersChanged)
	s.runner = dispatch.NewRunner(dispatch.Runner{Workers: s.workers, Speech: s.speeches.worker, Soundness: s.facts, Departures: &s.left, OverrunMost: s.lease / overrunParts, View: s.view, Leased: s.gate.Open, Now: s.now, Doubting: serving(given),
		AwaitSetup: func(ctx context.Context, sequence uint64) {
			s.journal.Wait(ctx, func(held Picture) bool { return held.setup.Sequence >= sequence })
		},
		Outdated: func(sequence uint64) bool {
			return !serving(given) && s.journal.View().Outdated(sequence, s.now(), s.lease/renewParts)
		}}, int(given.Remembered))
	s.trials = dispatch.NewTrials(trialsOf(given), func() int { return int(s.members.Load()) },
		func() dispatch.Guards { return s.view().Setup })
	s.carrier = (&dispatch.Carrier{Name: given.Name, Incarnation: s.life,
		Bounds: boundsOf(given),
		View:   s.view, Leased: s.gate.Open, Now: s.now, Dice: rand.Float64, Soundness: s.facts, Trials: s.trials, Tally: s.tally,
		Members: func() int { return int(s.members.Load()) },
		AwaitView: func(ctx context.Context, ready func(*plan.View) bool) {
			s.journal.Wait(ctx, func(held Picture) bool { return ready(held.view) })
		},
		AwaitLease: s.gate.Await, SendOn: s.sendOn, Patient: true, ByArrival: given.ExtraCounts == "arrivals", Lagging: s.lagging, Claim: s.claim, ClaimPause: s.lease / claimPause}).Start(int(given.Remembered))
}

// sendOn hands a dispatch to the proxy beside the worker, or to this one's own other side.
func (s *Server) sendOn(ctx context.Context, candidate plan.Candidate, carry *schema.Carry) (*schema.Carried, error) {
	if candidate.Proxy == s.options.Name {
		return s.runner.Run(ctx, s.speaks, carry), nil
	}
	return schema.NewDRPCHopClient(s.ends.To(ctx, candidate.Address)).Run(ctx, carry)
}

// Run serves a dispatch from another proxy.
func (s *Server) Run(ctx context.Context, carry *schema.Carry) (*schema.Carried, error) {
	s.came()
	defer s.hops.Add(-1)
	switch inFlight := s.hops.Add(1); {
	// Beyond the bound a dispatch is refused unrun, and so it is once this proxy is about to end.
	case inFlight > s.given().Buffer:
		return &schema.Carried{Request: carry.Request, Ending: schema.Ending_ENDING_NOT_RUN, Defect: string(defect.BufferFull)}, nil
	case s.closing.Load():
		return &schema.Carried{Request: carry.Request, Ending: schema.Ending_ENDING_NOT_RUN, Defect: string(defect.Draining)}, nil
	}
	return s.runner.Run(ctx, link.PeerOf(ctx), carry), nil
}

func (s *Server) soundness() daemon.Soundness {
	if !s.gate.Open() {
		return daemon.Soundness{Reason: string(defect.NoLease)}
	}
	return daemon.Soundness{Ready: true}
}

// Status is what a proxy says of itself.
type Status struct {
	Name     string           `json:"name"`
	Setup    uint64           `json:"setup"`
	Leased   bool             `json:"leased"`
	LeaseMS  int64            `json:"leaseMs"`
	Members  int64            `json:"members"`
	Registry string           `json:"registry,omitempty"` // with which this proxy is in session
	Vouched  bool             `json:"vouched"`            // whether the picture's age is known
	AgeMS    int64            `json:"ageMs"`              // since it was last known that nothing newer was promised to anyone
	Sources  int              `json:"sources"`
	Known    int              `json:"knownWorkers"` // in the whole mesh
	Workers  []*schema.Worker `json:"workers"`
	Refused  uint64           `json:"refusedPeers"`
	InCalls  int              `json:"callsInFlight"`
	HopCalls int              `json:"hopsInFlight"`

	Departures dispatch.DepartureCounts `json:"departures"` // of callers before their calls were answered
}

func (s *Server) status() Status {
	held := s.journal.View()
	known := 0
	for _, byVersion := range held.view.Directory {
		for _, pool := range byVersion {
			known += len(pool)
		}
	}
	registry, age, vouched := s.picture()
	return Status{Registry: registry, Vouched: vouched, AgeMS: age.Milliseconds(), Known: known, Name: s.options.Name, Setup: held.setup.Sequence, Leased: s.gate.Open(), LeaseMS: (s.granted.Until() - s.now()).Milliseconds(),
		Members: s.members.Load(), Sources: len(held.sources), Workers: s.workers.List(), Refused: s.ends.Refused.Load(),
		InCalls: int(s.calls.Load()), HopCalls: int(s.hops.Load()), Departures: s.left.Counts()}
}

// ShownEvent is an event of the journal, in short.
type ShownEvent struct {
	At      string   `json:"at"` // since the proxy started
	Setup   uint64   `json:"setup,omitempty"`
	Items   int      `json:"items,omitempty"`
	Sources []string `json:"sources,omitempty"`
}

// events lists the last events that this proxy's view was folded from.
func (s *Server) events() []ShownEvent {
	shown := []ShownEvent{}
	for _, event := range s.journal.Last() {
		one := ShownEvent{At: event.At.String(), Setup: event.Setup, Items: len(event.Items)}
		for _, source := range event.Sources {
			one.Sources = append(one.Sources, source.Name)
		}
		shown = append(shown, one)
	}
	return shown
}

func (s *Server) listen(address string, handler fasthttp.RequestHandler, bodyMost int, refuse func(*fasthttp.RequestCtx, error)) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, defect.Wrap(err, defect.BadOptions, address)
	}
	server := &fasthttp.Server{Name: "meadowhinge", NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true, Concurrency: int(s.options.Buffer) * 4,
		MaxRequestBodySize: bodyMost, ReadTimeout: time.Duration(s.options.HorizonMost), IdleTimeout: time.Minute, CloseOnShutdown: true,
		DisablePreParseMultipartForm: true, StreamRequestBody: true,
		Handler: func(call *fasthttp.RequestCtx) {
			if err := readBody(call, bodyMost); err != nil {
				refuse(call, err)
				call.SetConnectionClose()
				return
			}
			handler(call)
			// A caller told to close its connection does not meet one that was closed on it.
			if s.draining.Load() {
				call.SetConnectionClose()
			}
		},
		ErrorHandler: func(call *fasthttp.RequestCtx, err error) {
			kind := defect.Malformed
			if err == fasthttp.ErrBodyTooLarge {
				kind = defect.TooLarge
			}
			refuse(call, defect.Wrap(err, kind, "request"))
			call.SetConnectionClose()
		}}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// drainParts is how many times the bound is read and dropped of a body that is too large: a
// connection closed on unread bytes is reset, and the caller would never see the refusal.
const drainParts = 16

// notRun is the outcome's name of a request that was refused before anything was sent.
var notRun = dispatch.OutcomeName(schema.Ending_ENDING_NOT_RUN)

// readBody takes a request's body into memory if it is within the bound.
func readBody(call *fasthttp.RequestCtx, most int) error {
	if !call.Request.IsBodyStream() {
		return nil
	}
	stream := call.RequestBodyStream()
	body, err := io.ReadAll(io.LimitReader(stream, int64(most)+1))
	if err != nil {
		return defect.Wrap(err, defect.Malformed, "body")
	}
	if len(body) > most {
		_, _ = io.CopyN(io.Discard, stream, int64(most)*drainParts)
		return defect.New(defect.TooLarge, fmt.Sprintf("more than %d bytes", most))
	}
	call.Request.SetBody(body)
	return nil
}

// open listens for one caller; the listener, never a header, says who calls.
func (s *Server) open(caller, address string) (*front, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, defect.Wrap(err, defect.BadOptions, address)
	}
	made := newFront(listener, int(s.options.CallersMost), s.options.BodyMost, s.draining, s.bounds)
	made.carried = s.road.Carry
	made.departures = &s.left
	made.refuse = func(head *Head, err error, reply *Reply) { s.refuse(head, err, notRun, reply) }
	made.serve = func(ctx context.Context, head *Head, body []byte, came time.Time, reply *Reply) {
		s.serve(ctx, caller, head, body, came, reply)
	}
	go made.run()
	return made, nil
}

// bounds are what callers may send, and how long they may take, as the setup in use states it.
func (s *Server) bounds() bounds {
	limits := &s.view().Setup.Limits
	return bounds{head: limits.HeaderMost, body: int(min(limits.BodyMost, s.options.BodyMost)), headWait: limits.HeaderWait, quiet: limits.Quiet}
}

// serve carries one call out, on its connection's own thread of control. When ctx ends its caller has left.
func (s *Server) serve(ctx context.Context, caller string, head *Head, body []byte, came time.Time, reply *Reply) {
	taken, err := s.callOf(caller, head, body)
	if err != nil {
		s.refuse(head, err, notRun, reply)
		return
	}
	// What it took to read the body is gone from the time that the caller gives.
	if taken.Request.Asked > 0 {
		taken.Request.Asked = max(1, taken.Request.Asked-time.Since(came))
	}
	taken.Request.Asked = within(taken.Request.Asked, time.Duration(s.overAt.Load()), s.now(), time.Duration(s.options.Drain))
	s.came()
	defer s.calls.Add(-1)
	if s.calls.Add(1) > s.given().Buffer {
		s.refuse(head, defect.New(defect.BufferFull, "too many calls in flight"), notRun, reply)
		return
	}
	s.answer(head, s.carrier.Carry(ctx, taken), reply)
}

// callOf makes a call of a request.
func (s *Server) callOf(caller string, head *Head, body []byte) (*dispatch.Call, error) {
	taken := &dispatch.Call{Target: head.Target, Body: body}
	head.pass(func(name string) bool { return s.speeches.worker.Passes([]byte(name), false) })
	for _, field := range head.kept {
		taken.Head = dispatch.AppendField(taken.Head, field.Name, field.Value)
	}
	taken.Request = plan.Request{Caller: caller, Method: head.Method, Path: head.Path, Host: head.Host, Header: head.passed}
	if err := s.speeches.callers.Take(head, taken); err != nil {
		return nil, err
	}
	return taken, nil
}

// answer writes what became of a call.
func (s *Server) answer(head *Head, ended *dispatch.Ended, reply *Reply) {
	if ended.Err != nil {
		outcome := notRun
		if ended.Carried != nil {
			outcome = dispatch.OutcomeName(ended.Carried.Ending)
		}
		// Whoever turned the call away knows best when there is room again.
		wait := s.waitAfter(ended.Err)
		if back := time.Duration(ended.Carried.GetBackNanos()); back > 0 {
			wait = back
		}
		s.speeches.callers.Refuse(head, ended.Err, outcome, wait, reply)
	} else {
		reply.Status, reply.Body = int(ended.Carried.Status), ended.Carried.Body
		reply.fields = append(reply.fields, ended.Carried.Head...)
	}
	s.speeches.callers.Answer(ended, reply)
}
