package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Call is a caller's request as the proxy beside it took it.
type Call struct {
	Request     plan.Request
	Target      string // path with query
	HeaderBlock []byte // the headers that go on, as lines
	Body        []byte
}

// CallResult is what the caller gets: an answer, or a typed defect with its outcome.
type CallResult struct {
	ID             string
	Response       *schema.ForwardResponse
	Plan           *plan.Plan // nil when no plan could be made
	Attempts       int        // dispatches sent
	WorkerAttempts int        // of these, how many came to a worker, or may have
	Err            error

	reservation *schema.KeyReservation // the claim this call may hold, as it was last asked for
}

// Sender sends one dispatch to the proxy beside a worker. An error of kind LINK_UNOPENED
// proves that nothing was sent; any other leaves it unknown.
type Sender func(ctx context.Context, candidate plan.Endpoint, carry *schema.ForwardRequest) (*schema.ForwardResponse, error)

// KeyReserver takes a claim to the registries. It tells how they ruled, and whose the key is if
// it is another request's.
type KeyReserver func(ctx context.Context, claim *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation)

// Forwarder is the caller's side: it makes a plan and carries it out.
type Forwarder struct {
	Name        string
	Incarnation uint64
	Limits      // at the start; those in force may be others
	View        func() *plan.View
	// AwaitView waits until the view satisfies ready, or ctx ends.
	AwaitView func(ctx context.Context, ready func(*plan.View) bool)
	// AwaitLease waits until this proxy may decide, or ctx ends.
	AwaitLease func(ctx context.Context) bool
	// NoAttemptTimeout lets one try of a repeatable call take all the time there is: Send itself finds
	// out about a proxy that gives no sign of life, so that silence is only a slow worker's.
	NoAttemptTimeout bool
	// FreeProxyRefusals counts as extra only what goes to a worker after another has had the request; a
	// call that was only refused by proxies is free to look for its first worker.
	FreeProxyRefusals bool
	// OnConfigLag tells that another proxy has a newer setup, which does not come to this one.
	OnConfigLag func()
	HasLease    func() bool
	FleetSize   func() int
	Now         func() time.Duration
	Random      plan.Random
	Send        Sender
	Outliers    *OutlierDetector
	Canaries    *CanaryGuard
	Counter     *CallCounter
	// ReserveKey asks the registries for an idempotency key, or lets one go.
	ReserveKey KeyReserver
	// KeyReleaseTimeout is how long a refusal may wait for its claim to be let go.
	KeyReleaseTimeout time.Duration

	limits              atomic.Pointer[Limits] // those in force
	local               plan.LocalState
	retryBudgets        *xsync.Map[string, *RetryBudget]
	idempotency         *IdempotencyCache
	serial              atomic.Uint64
	newestRevision      atomic.Uint64 // a setup that another proxy refused an older one for
	lagReportedRevision atomic.Uint64 // and the last for which the feed was left
}

// Limits are what a carrier plans and tries again within.
type Limits struct {
	PlanOptions plan.Options
	RetryRatio  float64
	RetryFloor  float64
	// RetryWindow is the time in which extra tries are bounded, 0 for the preset.
	RetryWindow time.Duration
	// FailureRetryFraction is the part of them for calls that a worker answered with a failure.
	FailureRetryFraction float64
}

// SetLimits sets other bounds for what is planned and tried again from now on.
func (f *Forwarder) SetLimits(limits Limits) { f.limits.Store(&limits) }

// Init readies the carrier; it keeps so many idempotency keys.
func (f *Forwarder) Init(maxKeys int) *Forwarder {
	f.limits.Store(&f.Limits)
	f.retryBudgets = xsync.NewMap[string, *RetryBudget]()
	f.idempotency = NewIdempotencyCache(maxKeys)
	f.local = &LocalState{f.Outliers, f.Canaries}
	return f
}

// returnMarginDivisor is the part of the time a caller gives that is kept for the way back to it.
const returnMarginDivisor = 32

// Forward plans a call and carries it out. The end of ctx is the caller's leaving: a call that waits is dropped
// then, and one that may be repeated ends where it runs. One that may not runs to its end once a worker has
// it, and one under an idempotency key is not touched at all, for its outcome is kept for those who ask again.
func (f *Forwarder) Forward(ctx context.Context, call *Call) *CallResult {
	startedAt := f.Now()
	result := &CallResult{ID: f.newID()}
	if !f.HasLease() && !f.awaitLease(ctx, call) {
		result.Err = errs.New(errs.NoLease, "this proxy cannot know the rules in force")
		return result
	}
	callPlan, err := f.makePlan(&call.Request)
	if err != nil {
		result.Err = err
		// What a policy refused has a count of its own.
		if callPlan != nil {
			result.Plan, result.Response = callPlan, notExecuted(errs.CodeOf(err), 0)
			f.Counter.Add(result, f.Now()-startedAt)
		}
		return result
	}
	result.Plan = callPlan
	f.retryBudget(callPlan.Service).RecordCall(startedAt)
	keyed := callPlan.Class == config.ClassNonIdempotent && call.Request.IdempotencyKey != ""
	if keyed {
		ctx = context.WithoutCancel(ctx)
	}
	boundedCtx, cancel := context.WithTimeout(ctx, callPlan.Deadline)
	defer cancel()
	if keyed {
		result.Response = f.forwardKeyed(boundedCtx, ctx, call, result, startedAt)
	} else {
		result.Response, _ = f.attemptCandidates(boundedCtx, call, result, startedAt, "")
	}
	f.Counter.Add(result, f.Now()-startedAt)
	if result.Response.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		result.Err = errs.New(errs.Code(result.Response.ErrorCode), callPlan.Service)
	}
	return result
}

// newID names a request as no other proxy and no other life of this one does.
func (f *Forwarder) newID() string {
	id := append(make([]byte, 0, 64), f.Name...)
	id = strconv.AppendUint(append(id, '-'), f.Incarnation, 16)
	return string(strconv.AppendUint(append(id, '-'), f.serial.Add(1), 16))
}

func (f *Forwarder) makePlan(request *plan.Request) (*plan.Plan, error) {
	callPlan, err := plan.Make(f.View(), request, f.limits.Load().PlanOptions, f.local, f.Now(), f.Random)
	if callPlan != nil {
		callPlan.Deadline -= callPlan.Deadline / returnMarginDivisor
	}
	return callPlan, err
}
