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

// Call is a caller's request as the caller's proxy received it. It does not change once it is forwarded.
type Call struct {
	Request     plan.Request // the parts of the request that the plan depends on
	Target      string       // path with query
	HeaderBlock []byte       // headers to pass on to the worker, see [AppendField]
	Body        []byte       // complete body of the request
}

// CallResult is the result of a call: the response if a worker answered, and otherwise an error.
type CallResult struct {
	ID             string                  // id of the call, unique in the fleet
	Response       *schema.ForwardResponse // nil if the call was refused without a plan
	Plan           *plan.Plan              // the last plan of the call; nil if none could be made
	Attempts       int                     // attempts that were sent to a proxy
	WorkerAttempts int                     // attempts that reached a worker, or may have
	Err            error                   // nil if a worker answered, otherwise an errs.Error

	reservation *schema.KeyReservation // key reservation last requested for this call; nil if none is
}

// Sender sends one attempt to the candidate's proxy. An error with the code errs.PeerConnectFailed proves that nothing
// was sent. After any other error the worker may have run the request.
type Sender func(ctx context.Context, candidate plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error)

// KeyReserver reserves an idempotency key at the registries, or releases it if reservation.Release is set. It returns
// their decision and, on a conflict, the existing reservation of the other request.
type KeyReserver func(ctx context.Context, reservation *schema.KeyReservation) (session.ReservationOutcome, *schema.KeyReservation)

// Forwarder plans calls and sends them to workers. The exported fields are set before [Forwarder.Init] and not changed
// afterwards, except that Incarnation may be replaced until the first call. Forward may then be called concurrently.
type Forwarder struct {
	Name        string // name of this proxy
	Incarnation uint64 // incarnation of this proxy, another one for each of its processes
	Limits             // initial limits; SetLimits replaces those in force and leaves these unchanged
	// View returns the current configuration and directory.
	View func() *plan.View
	// AwaitView waits until ready is true for the view, or until ctx ends.
	AwaitView func(ctx context.Context, ready func(*plan.View) bool)
	// AwaitLease waits for a short time until HasLease is true, or until ctx ends. It reports whether HasLease is true.
	AwaitLease func(ctx context.Context) bool
	// NoAttemptTimeout lets one attempt of an idempotent call take all the time left. It is set if Send itself detects
	// an unresponsive proxy, so that a long wait can only mean a slow worker.
	NoAttemptTimeout bool
	// FreeProxyRejections charges the retry budget only for attempts after one that reached a worker. A call that
	// only proxies have refused may look for its first worker without charge.
	FreeProxyRejections bool
	// OnConfigLag is called once for each configuration that another proxy has and that does not arrive at this one in
	// time.
	OnConfigLag func()
	// HasLease reports whether this proxy may decide by its configuration: it holds a lease, or it serves without a lease
	// and has a configuration.
	HasLease  func() bool
	FleetSize func() int           // returns the number of proxies in the fleet
	Now       func() time.Duration // returns the process clock
	Random    plan.Random          // source of the random choices in plans and in ShouldSkip
	Send      Sender               // sends one attempt
	Outliers  *OutlierDetector     // health and load of the workers
	Canaries  *CanaryGuard         // canary versions that may be used
	Counter   *CallCounter         // counts of the calls of this proxy
	// ReserveKey reserves an idempotency key at the registries, or releases it.
	ReserveKey KeyReserver
	// KeyReleaseTimeout is how long a call waits at most for the release of its key reservation.
	KeyReleaseTimeout time.Duration

	limits              atomic.Pointer[Limits]           // the limits in force
	local               plan.LocalState                  // Outliers and Canaries together, set by Init
	retryBudgets        *xsync.Map[string, *RetryBudget] // keyed by service
	idempotency         *IdempotencyCache                // results of calls that carry an idempotency key
	serial              atomic.Uint64                    // serial number of the last call
	newestRevision      atomic.Uint64                    // newest configuration revision by which another proxy refused an older plan
	lagReportedRevision atomic.Uint64                    // last revision for which OnConfigLag was called
}

// Limits bound the plans and the retries of a forwarder.
type Limits struct {
	PlanOptions plan.Options // options of all plans
	RetryRatio  float64      // retries per call of a service, in any window
	RetryFloor  float64      // retries per service, in any window, that the fleet may make in addition to the ratio
	// RetryWindow is the length of the window in which retries are bounded. 0 stands for DefaultRetryWindow.
	RetryWindow time.Duration
	// FailureRetryFraction is the fraction of the retry budget that calls answered with a failure may use. 0 turns
	// retries of failures off.
	FailureRetryFraction float64
}

// SetLimits replaces the limits for later plans and retries.
func (f *Forwarder) SetLimits(limits Limits) { f.limits.Store(&limits) }

// Init makes the forwarder ready for calls, and returns it. It retains at most maxKeys idempotency keys.
func (f *Forwarder) Init(maxKeys int) *Forwarder {
	f.limits.Store(&f.Limits)
	f.retryBudgets = xsync.NewMap[string, *RetryBudget]()
	f.idempotency = NewIdempotencyCache(maxKeys)
	f.local = &LocalState{f.Outliers, f.Canaries}
	return f
}

// returnMarginDivisor sets the part of a call's time that is reserved for sending the response back to the caller:
// 1/returnMarginDivisor of it.
const returnMarginDivisor = 32

// Forward plans a call and executes the plan. ctx ends when the caller disconnects. A queued call is then dropped, and
// the run of an idempotent call is canceled. A non-idempotent call runs to its end once a worker has it. A call with an
// idempotency key is not affected, because its result is retained for repeats.
func (f *Forwarder) Forward(ctx context.Context, call *Call) *CallResult {
	startedAt := f.Now()
	result := &CallResult{ID: f.newID()}
	if !f.HasLease() && !f.awaitLease(ctx, call) {
		result.Err = errs.New(errs.NoLease, "this proxy holds no lease, so its configuration may be outdated")
		return result
	}
	callPlan, err := f.makePlan(&call.Request)
	if err != nil {
		result.Err = err
		// A refusal that comes with a plan, such as a refusal by a policy, is counted under the plan's verdict.
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

// executePlan makes the attempts of a call within the plan's deadline, and returns the response of the call.
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

// newID returns an id that is unique among the calls of all proxies and of all incarnations of this one.
func (f *Forwarder) newID() string {
	id := append(make([]byte, 0, 64), f.Name...)
	id = strconv.AppendUint(append(id, '-'), f.Incarnation, 16)
	return string(strconv.AppendUint(append(id, '-'), f.serial.Add(1), 16))
}

// makePlan makes a plan and shortens its deadline by the time reserved for sending the response back to the caller.
func (f *Forwarder) makePlan(request *plan.Request) (*plan.Plan, error) {
	callPlan, err := plan.New(f.View(), request, f.limits.Load().PlanOptions, f.local, f.Now(), f.Random)
	if callPlan != nil {
		callPlan.Deadline -= callPlan.Deadline / returnMarginDivisor
	}
	return callPlan, err
}
