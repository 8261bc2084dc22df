package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Call is a caller's request as the proxy beside the caller received it. It is not changed once it is forwarded.
type Call struct {
	Request     plan.Request
	Target      string // path with query
	HeaderBlock []byte // the headers that are passed on, see [AppendField]
	Body        []byte
}

// CallResult is what a call came to: a response, or an error with a code and an outcome.
type CallResult struct {
	ID             string // unique in the fleet
	Response       *schema.ForwardResponse
	Plan           *plan.Plan // nil when no plan could be made
	Attempts       int        // attempts that were sent to a proxy
	WorkerAttempts int        // attempts that reached a worker, or may have
	Err            error      // an errs.Error unless a worker answered

	reservation *schema.KeyReservation // the key reservation last requested for this call, nil for none
}

// Sender sends one attempt to the proxy beside a worker. An error with the code errs.PeerConnectFailed proves that
// nothing was sent; any other leaves open whether the worker ran the request.
type Sender func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error)

// KeyReserver requests an idempotency key from the registries, or releases it. It returns their decision and,
// on a conflict, the existing reservation of the other request.
type KeyReserver func(ctx context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation)

// Forwarder is the caller's side of a call: it makes a plan and carries it out. The exported fields are set before
// [Forwarder.Init] and not changed afterwards, except that Incarnation may be replaced until the first call; Forward may
// then be called concurrently.
type Forwarder struct {
	Name        string // of this proxy
	Incarnation uint64 // of this proxy's process
	Limits             // at the start; those in force are in limits, set by SetLimits
	// View returns the current configuration and directory.
	View func() *plan.View
	// AwaitView waits until the view satisfies ready, or ctx ends.
	AwaitView func(ctx context.Context, ready func(*plan.View) bool)
	// AwaitLease waits until this proxy holds a lease, or ctx ends. It reports whether the proxy holds one.
	AwaitLease func(ctx context.Context) bool
	// NoAttemptTimeout lets one attempt of an idempotent call take all the time left. It is set where Send itself
	// detects an unresponsive proxy, so that a long wait can only mean a slow worker.
	NoAttemptTimeout bool
	// FreeProxyRefusals charges the retry budget only for attempts after one that reached a worker. A call that
	// only proxies have refused may look for its first worker without charge.
	FreeProxyRefusals bool
	// OnConfigLag is called when another proxy has a configuration that does not arrive at this one.
	OnConfigLag func()
	HasLease    func() bool          // whether this proxy may decide under the configuration that it has
	FleetSize   func() int           // proxies in the fleet
	Now         func() time.Duration // the clock of the process
	Random      plan.Random
	Send        Sender
	Outliers    *OutlierDetector
	Canaries    *CanaryGuard
	Counter     *CallCounter
	// ReserveKey reserves an idempotency key at the registries, or releases it.
	ReserveKey KeyReserver
	// KeyReleaseTimeout is how long a refusal may wait for the release of its key reservation.
	KeyReleaseTimeout time.Duration

	limits              atomic.Pointer[Limits] // in force
	local               plan.LocalState
	retryBudgets        *xsync.Map[string, *RetryBudget] // by service
	idempotency         *IdempotencyCache
	serial              atomic.Uint64 // of the last call
	newestRevision      atomic.Uint64 // the newest revision by which another proxy refused an older plan
	lagReportedRevision atomic.Uint64 // the last revision for which OnConfigLag was called
}

// Limits bound the plans and the retries of a forwarder.
type Limits struct {
	PlanOptions plan.Options
	RetryRatio  float64 // retries per call of a service, in any window
	RetryFloor  float64 // retries in any window that the fleet may make in addition
	// RetryWindow is the window in which retries are bounded, 0 for DefaultRetryWindow.
	RetryWindow time.Duration
	// FailureRetryFraction is the fraction of the retry budget for calls that a worker answered with a failure.
	FailureRetryFraction float64
}

// SetLimits sets the limits for what is planned and retried from now on.
func (f *Forwarder) SetLimits(limits Limits) { f.limits.Store(&limits) }

// Init makes the forwarder ready for calls. It retains at most maxKeys idempotency keys.
func (f *Forwarder) Init(maxKeys int) *Forwarder {
	f.limits.Store(&f.Limits)
	f.retryBudgets = xsync.NewMap[string, *RetryBudget]()
	f.idempotency = NewIdempotencyCache(maxKeys)
	f.local = &LocalState{f.Outliers, f.Canaries}
	return f
}

// returnMarginDivisor is the part of a call's time that is reserved for the way back to the caller.
const returnMarginDivisor = 32

// Forward plans a call and carries it out. The caller has disconnected when ctx ends: a queued call is dropped
// then, and an idempotent one ends where it runs. A non-idempotent call runs to its end once a worker has it,
// and one under an idempotency key is not affected, for its result is retained for repeats.
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
		// A refusal that comes with a plan, as a policy's does, is counted under the plan's verdict.
		if callPlan != nil {
			result.Plan = callPlan
			result.Response = notExecuted(errs.CodeOf(err), 0)
			f.Counter.Add(result, f.Now()-startedAt)
		}
		return result
	}
	result.Plan = callPlan
	f.retryBudget(callPlan.Service).RecordCall(startedAt)
	result.Response = f.executePlan(ctx, call, result, startedAt)
	f.Counter.Add(result, f.Now()-startedAt)
	if result.Response.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		result.Err = errs.New(errs.Code(result.Response.ErrorCode), callPlan.Service)
	}
	return result
}

// executePlan carries out the plan of a call within its deadline.
func (f *Forwarder) executePlan(ctx context.Context, call *Call, result *CallResult, startedAt time.Duration) *schema.ForwardResponse {
	keyed := result.Plan.UsesIdempotencyKey(&call.Request)
	if keyed {
		ctx = context.WithoutCancel(ctx)
	}
	boundedCtx, cancel := context.WithTimeout(ctx, result.Plan.Deadline)
	defer cancel()
	if keyed {
		return f.forwardKeyed(boundedCtx, ctx, call, result, startedAt)
	}
	response, _ := f.attemptCandidates(boundedCtx, call, result, startedAt, "")
	return response
}

// newID returns an id that no other proxy, and no other incarnation of this one, gives to a call.
func (f *Forwarder) newID() string {
	id := append(make([]byte, 0, 64), f.Name...)
	id = strconv.AppendUint(append(id, '-'), f.Incarnation, 16)
	return string(strconv.AppendUint(append(id, '-'), f.serial.Add(1), 16))
}

// makePlan makes a plan whose deadline leaves time for the way back to the caller.
func (f *Forwarder) makePlan(request *plan.Request) (*plan.Plan, error) {
	callPlan, err := plan.Make(f.View(), request, f.limits.Load().PlanOptions, f.local, f.Now(), f.Random)
	if callPlan != nil {
		callPlan.Deadline -= callPlan.Deadline / returnMarginDivisor
	}
	return callPlan, err
}
