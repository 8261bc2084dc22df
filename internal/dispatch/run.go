package dispatch

import (
	"bytes"
	"context"
	"hash/crc32"
	"io"
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
	Now      func() time.Duration
	Speech   WorkerSpeech // nil for our own
	seen     *Seen
	memory   *Memory
}

// waitParts is the part of the time left that a dispatch may wait for news before it is refused.
const waitParts = 8

// NewRunner keeps so many request ids and keys.
func NewRunner(runner Runner, remembered int) *Runner {
	if runner.Speech == nil {
		runner.Speech = OwnSpeech{}
	}
	runner.seen, runner.memory = NewSeen(remembered), NewMemory(remembered)
	return &runner
}

// Run checks a dispatch and runs it once; every refusal here is proof that it was not run.
func (r *Runner) Run(ctx context.Context, peer link.Peer, carry *schema.Carry) *schema.Carried {
	arrived := r.Now()
	carried := r.check(ctx, peer, carry, arrived)
	carried.Request = carry.Request
	return carried
}

func (r *Runner) check(ctx context.Context, peer link.Peer, carry *schema.Carry, arrived time.Duration) *schema.Carried {
	left := func() time.Duration { return time.Duration(carry.LeftNanos) - (r.Now() - arrived) }
	if !peer.Speaks(carry.Caller) {
		return notRun(defect.NotAllowed, 0)
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
	bounded, cancel := context.WithTimeout(ctx, left()/waitParts)
	r.AwaitSetup(bounded, carry.Setup)
	cancel()
	// Without a lease this proxy cannot know whether the version is still allowed.
	if !r.Leased() {
		return notRun(defect.NoLease, 0)
	}
	view := r.View()
	if r.Outdated(carry.Setup) {
		return notRun(defect.StalePlan, view.Setup.Sequence)
	}
	service := view.Setup.Services[carry.Service]
	if service == nil || !service.Allows(carry.Version) || !service.AllowsCaller(carry.Caller) {
		return notRun(defect.VersionBarred, view.Setup.Sequence)
	}
	if _, _, refusal := r.Workers.find(carry); refusal != "" {
		return notRun(refusal, view.Setup.Sequence)
	}
	if carry.Once && carry.Idempotency != "" {
		key := keyOf(carry.Caller, carry.Service, carry.Route, carry.Idempotency)
		return clone(r.memory.Do(ctx, key, printOf(carry.Target, carry.Body), func(string) (*schema.Carried, string) {
			return r.hand(ctx, carry, left), ""
		}))
	}
	return r.hand(ctx, carry, left)
}

// clone lets an answer from memory carry the id of the request it now answers.
func clone(carried *schema.Carried) *schema.Carried {
	return &schema.Carried{Ending: carried.Ending, Defect: carried.Defect, Status: carried.Status, Headers: carried.Headers,
		Body: carried.Body, Length: carried.Length, Checksum: carried.Checksum, Setup: carried.Setup}
}

// hand gives the request to the worker; from the first byte on, it may have run.
func (r *Runner) hand(ctx context.Context, carry *schema.Carry, left func() time.Duration) *schema.Carried {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.DisableNormalizing()
	request.Header.SetMethod(carry.Method)
	request.SetRequestURI(carry.Target)
	for _, header := range carry.Headers {
		request.Header.Add(header.Name, header.Value)
	}
	request.SetBodyRaw(carry.Body)
	leased, remaining := r.Leased(), left()
	// The registration is looked up last of all, so that a worker that left meanwhile gets nothing.
	held, token, refusal := r.Workers.find(carry)
	switch {
	case refusal != "":
		return notRun(refusal, 0)
	case remaining <= 0 || ctx.Err() != nil:
		return notRun(defect.HorizonPast, 0)
	case !leased:
		return notRun(defect.NoLease, 0)
	}
	r.Speech.Dress(request, carry, Registered{Instance: held.instance, Address: held.address, Token: token, Service: carry.Service, Version: carry.Version}, remaining)
	response.StreamBody = true
	response.SkipBody = carry.Method == fasthttp.MethodHead
	err := held.client.DoTimeout(request, response, remaining)
	if err != nil {
		return outcomeOfError(err)
	}
	switch said := r.Speech.Read(&response.Header, carry); {
	case said.Elsewhere:
		r.Workers.disown(held)
		return notRun(defect.WrongInstance, 0)
	case said.NotRun:
		_ = response.CloseBodyStream()
		return notRun(defect.BufferFull, 0)
	}
	return answerOf(carry, response, r.Speech, r.Workers.options.BodyMost)
}

// outcomeOfError tells what an error from the client proves: only a connection that never
// opened proves that the worker saw nothing.
func outcomeOfError(err error) *schema.Carried {
	if defect.KindOf(err) == defect.WorkerUnopened || err == fasthttp.ErrNoFreeConns || err == fasthttp.ErrDialTimeout {
		return notRun(defect.WorkerUnopened, 0)
	}
	if err == fasthttp.ErrTimeout {
		return unknown(defect.HorizonPast)
	}
	if err == fasthttp.ErrBodyTooLarge {
		return unknown(defect.BadAnswer)
	}
	return unknown(defect.WorkerLost)
}

// bodiless answers have no body, whatever their headers say.
func bodiless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// answerOf checks that an answer is whole before it counts as one.
func answerOf(carry *schema.Carry, response *fasthttp.Response, speech WorkerSpeech, most int) *schema.Carried {
	// The length is read before the body, for the library puts its own in place of it after.
	length, status := response.Header.ContentLength(), response.StatusCode()
	var body []byte
	if bodiless(carry.Method, status) {
		_ = response.CloseBodyStream()
	} else {
		// A body that ends when its connection does cannot be told from one cut short.
		const endsWithConnection = -2
		if length == endsWithConnection {
			_ = response.CloseBodyStream()
			return unknown(defect.BadAnswer)
		}
		stream := response.BodyStream()
		if stream == nil {
			stream = bytes.NewReader(response.Body())
		}
		read, err := io.ReadAll(io.LimitReader(stream, int64(most)+1))
		closed := response.CloseBodyStream()
		if err != nil || closed != nil || len(read) > most || (length >= 0 && len(read) != length) {
			return unknown(defect.BadAnswer)
		}
		body = read
	}
	if status < 200 || status > 599 {
		return unknown(defect.BadAnswer)
	}
	if !speech.Sound(&response.Header, body) {
		return unknown(defect.BadAnswer)
	}
	carried := &schema.Carried{Ending: schema.Ending_ENDING_ANSWERED, Status: int32(status), Body: body,
		Length: uint64(len(body)), Checksum: crc32.ChecksumIEEE(body)}
	for name, value := range response.Header.All() {
		if speech.Passes(name, true) {
			carried.Headers = append(carried.Headers, &schema.Header{Name: string(name), Value: string(value)})
		}
	}
	return carried
}
