package dispatch

import (
	"context"
	"errors"
	"hash/crc32"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/link"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Namespace is the prefix of our own headers; none of them is taken from outside.
const Namespace = "Meadowhinge-"

// Headers between a proxy, its workers and its callers.
const (
	HeaderToken   = Namespace + "Token"
	HeaderCaller  = Namespace + "Caller"
	HeaderRequest = Namespace + "Request"
	HeaderVersion = Namespace + "Version"
	HeaderReason  = Namespace + "Reason"
	HeaderOutcome = Namespace + "Outcome"
	HeaderSetup   = Namespace + "Setup"
	HeaderTries   = Namespace + "Tries"
	HeaderRefused = Namespace + "Refused" // a worker's word that it did not run what was not meant for it
	HeaderHorizon = Namespace + "Horizon-Ms"
)

// Runner is the worker's side of a dispatch.
type Runner struct {
	Workers *Workers
	View    func() *plan.View
	// AwaitSetup waits a little for this proxy's setup to reach a sequence.
	AwaitSetup func(ctx context.Context, sequence uint64)
	// Outdated tells whether a setup was replaced here so long ago that no caller under a
	// lease may still plan by it.
	Outdated func(sequence uint64) bool
	Leased   func() bool
	// Doubting goes on by what is known here, however old: what is allowed here is not held up
	// for a newer setup.
	Doubting bool
	Now      func() time.Duration
	Works    *Works
	// Soundness keeps what workers here came to, to be told with each answer; nil for not at all.
	Soundness *Soundness
	// Departures counts calls whose callers left; nil for not at all. A repeatable run may go on for
	// OverrunMost after that was known.
	Departures  *Departures
	OverrunMost time.Duration
	Speech      WorkerSpeech // nil for our own
	seen        *Seen
	memory      *Memory
	kept        *turns
}

// worksMost is how many lines of work a runner keeps.
const worksMost = 1024

// failedFrom is the least status with which a worker says that it failed.
const failedFrom = 500

// A call has run out of time where less than this part of what it was given is left, and far longer than
// calls take where it ran for so many times its worker's pace.
const (
	shortParts   = marginParts / 2
	overdueTimes = 3
)

// waitParts is the part of the time left that a dispatch may wait for news before it is refused.
const waitParts = 8

// NewRunner keeps so many request ids and keys.
func NewRunner(runner Runner, remembered int) *Runner {
	if runner.Speech == nil {
		runner.Speech = OwnSpeech{}
	}
	runner.seen, runner.memory, runner.kept = NewSeen(remembered), NewMemory(remembered), &turns{kept: map[string]*keptTurn{}}
	if runner.Works == nil {
		runner.Works = NewWorks(worksMost)
	}
	if runner.Departures == nil {
		runner.Departures = &Departures{}
	}
	return &runner
}

// Run checks a dispatch and runs it once; every refusal here is proof that it was not run.
func (r *Runner) Run(ctx context.Context, peer link.Peer, carry *schema.Carry) *schema.Carried {
	arrived := r.Now()
	carried := r.check(ctx, peer, carry, arrived)
	carried.Request = carry.Request
	// Whoever calls next does well to know how full the worker is.
	running, waiting, slots, pace := r.Workers.Load(carry.Instance)
	carried.Running, carried.Waiting, carried.Slots, carried.PaceNanos = running, waiting, slots, int64(pace)
	if r.Soundness != nil && slots > 0 {
		carried.Ran, carried.Failed = r.Soundness.Record(carry.Instance, r.Now())
	}
	return carried
}

func (r *Runner) check(ctx context.Context, peer link.Peer, carry *schema.Carry, arrived time.Duration) *schema.Carried {
	left := func() time.Duration { return time.Duration(carry.LeftNanos) - (r.Now() - arrived) }
	if !peer.Speaks(carry.Caller) {
		return notRun(defect.NotAllowed, 0)
	}
	if carry.Enquiry {
		return r.keep(ctx, carry, arrived, left)
	}
	if crc32.ChecksumIEEE(carry.Body) != carry.Checksum {
		return notRun(defect.Malformed, 0)
	}
	if carry.Recall {
		// Nothing is run, so neither lease nor worker matters, only who asks.
		bounded, cancel := context.WithTimeout(ctx, left())
		defer cancel()
		return clone(r.memory.Recall(bounded, keyOf(carry.Caller, carry.Service, carry.Route, carry.Idempotency), printOf(carry.Target, carry.Body)))
	}
	// Noted before anything can refuse it: what is refused here as not run must not run when it
	// comes a second time, by then perhaps under a lease again.
	if !r.seen.First(carry.Request) {
		return unknown(defect.Repeated)
	}
	if !r.Doubting {
		r.awaitSetup(ctx, carry, left())
	}
	// Without a lease this proxy cannot know whether the version is still allowed.
	if !r.Leased() {
		return notRun(defect.NoLease, 0)
	}
	view := r.View()
	if r.Outdated(carry.Setup) {
		return notRun(defect.StalePlan, view.Setup.Sequence)
	}
	if !allows(view, carry) {
		// The setup that the plan was made from may be on its way here.
		r.awaitSetup(ctx, carry, left())
		if view = r.View(); !allows(view, carry) {
			return notRun(defect.VersionBarred, view.Setup.Sequence)
		}
	}
	if _, _, refusal := r.Workers.find(carry); refusal != "" {
		return notRun(refusal, view.Setup.Sequence)
	}
	if carry.Once && carry.Idempotency != "" {
		key := keyOf(carry.Caller, carry.Service, carry.Route, carry.Idempotency)
		return clone(r.memory.Do(ctx, key, printOf(carry.Target, carry.Body), func(string) (*schema.Carried, string) {
			return r.hand(ctx, carry, arrived, left), ""
		}))
	}
	return r.hand(ctx, carry, arrived, left)
}

func allows(view *plan.View, carry *schema.Carry) bool {
	service := view.Setup.Services[carry.Service]
	return service != nil && service.Allows(carry.Version) && service.AllowsCaller(carry.Caller)
}

// awaitSetup waits a little for the setup that a plan was made from, if it is not here yet.
func (r *Runner) awaitSetup(ctx context.Context, carry *schema.Carry, left time.Duration) {
	if r.View().Setup.Sequence >= carry.Setup {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, left/waitParts)
	defer cancel()
	r.AwaitSetup(bounded, carry.Setup)
}

// clone lets an answer from memory carry the id of the request it now answers.
func clone(carried *schema.Carried) *schema.Carried {
	return &schema.Carried{Ending: carried.Ending, Defect: carried.Defect, Status: carried.Status, Head: carried.Head,
		Body: carried.Body, Length: carried.Length, Checksum: carried.Checksum, Setup: carried.Setup}
}

// askOf is what a dispatch asks of the buffer before its worker.
func askOf(carry *schema.Carry, arrived time.Duration) Ask {
	ask := Ask{Route: carry.Route, Rank: carry.Rank, Horizon: arrived + time.Duration(carry.LeftNanos)}
	if carry.AimNanos != 0 {
		ask.Aim = arrived + time.Duration(carry.AimNanos)
	}
	return ask
}

// await lets a request wait for its turn; nil: it has it.
func (r *Runner) await(ctx context.Context, held *localWorker, carry *schema.Carry, arrived time.Duration, left func() time.Duration) *schema.Carried {
	turn, waiter := held.buffer.Arrive(r.Now(), askOf(carry, arrived))
	if waiter != nil {
		turn = held.buffer.Await(ctx, waiter, left())
	}
	if turn.Kind == "" {
		return nil
	}
	if turn.Kind == defect.CallerGone {
		r.Departures.Dropped.Add(1)
	}
	carried := notRun(turn.Kind, 0)
	carried.BackNanos = int64(turn.Back)
	return carried
}

// keep answers an enquiry: it waits as the request would, and its turn is then kept for the request
// for a part of the time left, so that no body comes which is then refused. Nothing is run.
func (r *Runner) keep(ctx context.Context, carry *schema.Carry, arrived time.Duration, left func() time.Duration) *schema.Carried {
	held, _, refusal := r.Workers.find(carry)
	if refusal != "" {
		return notRun(refusal, r.View().Setup.Sequence)
	}
	if refused := r.await(ctx, held, carry, arrived, left); refused != nil {
		return refused
	}
	// Nobody comes for a turn whose caller has left meanwhile.
	if ctx.Err() != nil {
		held.buffer.End(r.Now(), "", Unrun, 0)
		return notRun(endOf(ctx), 0)
	}
	r.kept.add(carry.Request, held.buffer, r.Now, left()/keptParts)
	return notRun("", 0)
}

// hand lets a request wait for its turn, and gives it to the worker.
func (r *Runner) hand(ctx context.Context, carry *schema.Carry, arrived time.Duration, left func() time.Duration) *schema.Carried {
	held, _, refusal := r.Workers.find(carry)
	if refusal != "" {
		return notRun(refusal, 0)
	}
	if !r.kept.take(carry.Request, held.buffer) {
		if refusal := r.await(ctx, held, carry, arrived, left); refusal != nil {
			return refusal
		}
	}
	began, given := r.Now(), left()
	over := handover{result: Unrun}
	// From here on it is the worker's time, and its version's doing.
	work := r.Works.Begin(carry.Service, carry.Version, carry.Route, r.View().Setup.Stated(carry.Service, carry.Version))
	caller := r.Departures.followCaller(ctx, !carry.Once, r.OverrunMost, r.Now)
	carried := r.give(ctx, held, carry, left, &over)
	now := r.Now()
	r.noteDeparture(caller, carry, carried, over.sentAt, now)
	if over.result == Answered && carried.Status >= failedFrom {
		over.result = Failed
	}
	// How a call would have ended that had not the time calls take is not known.
	cutShort := over.result != Answered && left() < given/shortParts && now-began < overdueTimes*held.buffer.Pace()
	if ran := carried.Ending != schema.Ending_ENDING_NOT_RUN; ran && r.Soundness != nil && !cutShort && !calledOff(carried) {
		r.Soundness.Ran(carry.Instance, now, over.result != Answered)
	}
	held.buffer.Left(len(carried.Head) + len(carried.Body))
	held.buffer.End(now, carry.Route, over.result, now-began)
	work.End(now, now-began, carried)
	return carried
}

// noteDeparture counts what became of a call whose caller left while it was handed over or run.
func (r *Runner) noteDeparture(caller *departure, carry *schema.Carry, carried *schema.Carried, sentAt, now time.Duration) {
	at, left := caller.end()
	if left && sentAt > at+r.OverrunMost {
		r.Departures.HandedLate.Add(1)
	}
	switch {
	case !left:
	case carried.Ending == schema.Ending_ENDING_NOT_RUN:
		r.Departures.Dropped.Add(1)
	case carry.Once:
		r.Departures.Kept.Add(1)
	default:
		if calledOff(carried) {
			r.Departures.Stopped.Add(1)
		}
		r.Departures.lasted(now - at)
	}
}

// marginParts is the part of the time left that a worker is not given: its word that time ran
// out for it then still comes, and the connection stays.
const marginParts = 64

// handover is how a request was handed to a worker.
type handover struct {
	result Result
	sentAt time.Duration // when its first byte was sent, 0 for not at all
}

// give gives a request to the worker; from the first byte on, it may have run.
func (r *Runner) give(ctx context.Context, held *localWorker, carry *schema.Carry, left func() time.Duration, over *handover) *schema.Carried {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.DisableNormalizing()
	request.Header.SetMethod(carry.Method)
	request.SetRequestURI(carry.Target)
	for name, value := range Fields(carry.Head) {
		request.Header.AddBytesKV(name, value)
	}
	request.SetBodyRaw(carry.Body)
	leased, remaining := r.Leased(), left()
	// The registration is looked up last of all, so that a worker that left meanwhile gets nothing.
	now, token, refusal := r.Workers.find(carry)
	switch {
	case refusal != "":
		return notRun(refusal, 0)
	case now != held:
		return notRun(defect.WrongInstance, 0)
	case remaining <= 0 || ctx.Err() != nil:
		return notRun(endOf(ctx), 0)
	case !leased:
		return notRun(defect.NoLease, 0)
	}
	r.Speech.Dress(request, carry, Registered{Instance: held.instance, Address: held.address, Token: token, Service: carry.Service, Version: carry.Version}, remaining-remaining/marginParts)
	response.Header.DisableNormalizing()
	response.Header.SetNoDefaultContentType(true)
	x := exchange{request: request, response: response, until: time.Now().Add(remaining), most: r.Workers.options.BodyMost, room: r.Workers.room,
		bodiless: func(status int) bool { return bodiless(carry.Method, status) },
		read:     func(header *fasthttp.ResponseHeader) Said { return r.Speech.Read(header, carry) }}
	defer x.leave()
	x.ctx = ctx
	// What may not be repeated runs to its end, whoever waits for it.
	if carry.Once {
		x.ctx = context.WithoutCancel(ctx)
	}
	err := held.conns.hand(ctx, &x)
	over.sentAt = x.sentAt
	switch kind := defect.KindOf(err); {
	case err != nil && x.sentAt == 0 && ctx.Err() != nil:
		return notRun(endOf(ctx), 0)
	// A call that is given up as its time ends has run out of time, and that says something of its worker.
	case kind == defect.CallerGone && left() <= remaining/shortParts:
		return unknown(defect.HorizonPast)
	case err != nil && kind == defect.WorkerUnopened:
		// Where nobody listens there is no worker any more; should there be, its next word tells.
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.Workers.disown(held)
		}
		return notRun(kind, 0)
	case err != nil:
		return unknown(kind)
	case x.said.Elsewhere:
		r.Workers.disown(held)
		return metBy(notRun(defect.WrongInstance, 0))
	case x.said.NotRun:
		over.result = Turned
		return metBy(notRun(defect.BufferFull, 0))
	case !r.Speech.Sound(&response.Header, x.body):
		return unknown(defect.BadAnswer)
	}
	over.result = Answered
	carried := &schema.Carried{Ending: schema.Ending_ENDING_ANSWERED, Status: int32(response.StatusCode()), Body: x.body,
		Length: uint64(len(x.body)), Checksum: crc32.ChecksumIEEE(x.body)}
	for name, value := range response.Header.All() {
		if r.Speech.Passes(name, true) {
			carried.Head = AppendField(carried.Head, name, value)
		}
	}
	return carried
}

// metBy says of a refusal that it is a worker's own: the request came to it all the same.
func metBy(carried *schema.Carried) *schema.Carried {
	carried.Met = true
	return carried
}

// bodiless answers have no body, whatever their headers say.
func bodiless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
