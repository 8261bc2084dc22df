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

// maxPlanRounds is how often a plan is made anew within one call before it is given up.
const maxPlanRounds = 4

// returnMarginDivisor is the part of the time a caller gives that is kept for the way back to it.
const returnMarginDivisor = 32

// targetWaitDivisor is the part of the aim for which a call may wait for news of workers: refused
// sooner than a fourth of it, a caller still has time to ask again.
const targetWaitDivisor = 8

// configWaitDivisor is the part of the time left for which a setup is awaited that another proxy has.
const configWaitDivisor = 2

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

// awaitLease holds a call back for a moment: most gaps between leases are shorter than that.
func (f *Forwarder) awaitLease(ctx context.Context, call *Call) bool {
	waitCtx, cancel := context.WithTimeout(ctx, f.assumedDeadline(&call.Request)/updateWaitDivisor)
	defer cancel()
	return f.AwaitLease(waitCtx)
}

func (f *Forwarder) assumedDeadline(request *plan.Request) time.Duration {
	if request.CallerDeadline > 0 {
		return min(request.CallerDeadline, f.limits.Load().PlanOptions.MaxDeadline)
	}
	return f.limits.Load().PlanOptions.MaxDeadline / updateWaitDivisor
}

func (f *Forwarder) makePlan(request *plan.Request) (*plan.Plan, error) {
	callPlan, err := plan.Make(f.View(), request, f.limits.Load().PlanOptions, f.local, f.Now(), f.Random)
	if callPlan != nil {
		callPlan.Deadline -= callPlan.Deadline / returnMarginDivisor
	}
	return callPlan, err
}

func (f *Forwarder) retryBudget(service string) *RetryBudget {
	limits := f.limits.Load()
	budget, _ := f.retryBudgets.LoadOrCompute(service, func() (*RetryBudget, bool) { return NewRetryBudget(limits.RetryRatio, limits.RetryWindow), false })
	if budget.limits.Load() != limits {
		budget.setLimits(f.Now(), limits)
	}
	return budget
}

// versionBlocked tells whether the plan's version may not be used any more.
func (f *Forwarder) versionBlocked(view *plan.View, callPlan *plan.Plan) bool {
	version := callPlan.Verdict.Version
	return version != view.Config.FallbackOf(callPlan.Service) && f.Canaries.VersionBlocked(callPlan.Service, version, f.Now())
}

// isListed tells whether a worker is still in the directory.
func isListed(view *plan.View, service, version, instance string) bool {
	for _, endpoint := range view.Directory[service][version] {
		if endpoint.Instance == instance {
			return true
		}
	}
	return false
}

// maxFullEndpoints is how many workers without room a call is taken to.
const maxFullEndpoints = 2

// callProgress is one call's way through its candidates.
type callProgress struct {
	lastResponse  *schema.ForwardResponse // how it ended last; once unknown, it stays that
	excluded      map[string]bool         // instances not to be tried again
	fullEndpoints int                     // how many told when they will have room
	retryAfter    int64                   // the soonest that any of these has room, 0 for not told
	prepaid       bool                    // the next try is
}

// endWith is how the whole call ends if it ends now: once a dispatch ended unknown, or with a failure
// for an answer, no later refusal may make it "not run".
func (p *callProgress) endWith(kind errs.Code) *schema.ForwardResponse {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		p.lastResponse = notExecuted(kind, 0)
	}
	return p.lastWithRetryAfter()
}

// hasAnswer tells whether a worker has answered, with a failure.
func (p *callProgress) hasAnswer() bool {
	return p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED
}

// lastWithRetryAfter is how the call ends with its last dispatch.
func (p *callProgress) lastWithRetryAfter() *schema.ForwardResponse {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && p.retryAfter > 0 {
		p.lastResponse.RetryAfterNanos = p.retryAfter
	}
	return p.lastResponse
}

func (p *callProgress) exclude(instance string) {
	if p.excluded == nil {
		p.excluded = map[string]bool{}
	}
	p.excluded[instance] = true
}

// recordRefusal notes a refusal that proves that nothing ran.
func (p *callProgress) recordRefusal(response *schema.ForwardResponse) {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		p.lastResponse = response
	}
	if response.RetryAfterNanos <= 0 {
		return
	}
	p.fullEndpoints++
	if p.retryAfter == 0 || response.RetryAfterNanos < p.retryAfter {
		p.retryAfter = response.RetryAfterNanos
	}
}

// mayAttempt tells whether a call may be tried once more, by what its route lets and by the fleet's
// budget.
func (f *Forwarder) mayAttempt(result *CallResult, progress *callProgress) bool {
	if progress.prepaid {
		progress.prepaid = false
		return true
	}
	if maxAttempts := result.Plan.Route.MaxAttempts; maxAttempts > 0 && result.WorkerAttempts >= maxAttempts {
		return false
	}
	attemptsBefore := result.Attempts
	if f.FreeProxyRefusals {
		attemptsBefore = result.WorkerAttempts
	}
	return attemptsBefore == 0 || f.retryBudget(result.Plan.Service).Allow(f.Now(), f.retryFloorPerProxy(), 1)
}

// ownFailureRatio is the part of a worker's calls below which its failures are taken for the calls' own.
const ownFailureRatio = 0.05

// retryFloorPerProxy is this proxy's part of the extra tries that the whole fleet has besides the ratio.
func (f *Forwarder) retryFloorPerProxy() float64 {
	return f.limits.Load().RetryFloor / float64(max(1, f.FleetSize()))
}

// mayRetryFailure tells whether a call that a worker answered with a failure goes to another one, and
// pays for it. It does where it may run again and can still be answered within its aim, and nobody
// has refused it: where there is no room, another run takes it from other callers. A version
// that is being judged answers for its own failures, and of a worker that hardly ever fails it is
// likely the call's own, which another would fail too.
func (f *Forwarder) mayRetryFailure(result *CallResult, progress *callProgress, response *schema.ForwardResponse, remaining time.Duration) bool {
	callPlan, limits := result.Plan, f.limits.Load()
	switch {
	case limits.FailureRetryFraction <= 0 || callPlan.Class != config.ClassIdempotent || response.Status < minFailureStatus || progress.hasAnswer() || progress.fullEndpoints > 0:
		return false
	case callPlan.Verdict.Version != f.View().Config.FallbackOf(callPlan.Service):
		return false
	case response.Slots > 0 && float64(response.RecentFailures) < ownFailureRatio*float64(response.RecentRuns):
		return false
	case callPlan.Route.MaxAttempts > 0 && result.WorkerAttempts >= callPlan.Route.MaxAttempts:
		return false
	case remaining < time.Duration(response.ServiceTimeNanos) || (callPlan.LatencyTarget > 0 && remainingTarget(callPlan, remaining) < response.ServiceTimeNanos):
		return false
	}
	progress.prepaid = f.retryBudget(callPlan.Service).Allow(f.Now(), f.retryFloorPerProxy(), limits.FailureRetryFraction)
	return progress.prepaid
}

// attemptCandidates tries the candidates in order until one answers or nothing more may be done. It
// returns how the last dispatch ended, and where.
func (f *Forwarder) attemptCandidates(ctx context.Context, call *Call, result *CallResult, startedAt time.Duration, pinnedInstance string) (*schema.ForwardResponse, string) {
	progress := &callProgress{lastResponse: notExecuted(errs.NoWorker, 0)}
	for replans := 0; replans < maxPlanRounds; replans++ {
		// What another proxy refused one call for, it would refuse the next one for too.
		f.awaitNewerConfig(ctx, result.Plan.Deadline-(f.Now()-startedAt))
		// A plan is only carried out on the setup it was made from; else it is made again.
		if view := f.View(); replans > 0 || view.Config.Revision != result.Plan.Verdict.ConfigRevision {
			callPlan, err := f.makePlan(&call.Request)
			if err != nil {
				return progress.endWith(errs.CodeOf(err)), ""
			}
			result.Plan = callPlan
		}
		replan := false
		for i := range result.Plan.Candidates {
			candidate := &result.Plan.Candidates[i]
			if (pinnedInstance != "" && candidate.Instance != pinnedInstance) || progress.excluded[candidate.Instance] {
				continue
			}
			// A key is claimed for the very worker it goes to, and claimed anew for another.
			if pinnedInstance == "" && result.Plan.Class == config.ClassNonIdempotent && call.Request.IdempotencyKey != "" && result.reservation.GetInstance() != candidate.Instance {
				if response, reserved := f.reserveKey(ctx, call, result, *candidate, startedAt); !reserved {
					return response, anotherProxy
				}
			}
			remaining := result.Plan.Deadline - (f.Now() - startedAt)
			view := f.View()
			switch {
			case remaining <= 0 || ctx.Err() != nil:
				return progress.endWith(contextErrorCode(ctx)), ""
			case !f.HasLease():
				return progress.endWith(errs.NoLease), ""
			case view.Config.Revision != result.Plan.Verdict.ConfigRevision || f.versionBlocked(view, result.Plan):
				replan = true
			case !isListed(view, result.Plan.Service, result.Plan.Verdict.Version, candidate.Instance):
				continue
			}
			if replan {
				break
			}
			// Who turns most away is asked less. Where one worker alone may have the call, only that
			// one can say that it has no room; and to ask the one beside costs nothing.
			if retryAfter, skip := f.Outliers.ShouldSkip(candidate.Instance, result.Plan.Route.Name, f.Now(), f.Random); skip && pinnedInstance == "" && candidate.Proxy != f.Name {
				response := notExecuted(errs.QueueFull, 0)
				response.RetryAfterNanos = int64(retryAfter)
				progress.recordRefusal(response)
				progress.exclude(candidate.Instance)
				if progress.fullEndpoints >= maxFullEndpoints || progress.hasAnswer() {
					return progress.lastWithRetryAfter(), ""
				}
				continue
			}
			if !f.mayAttempt(result, progress) {
				return progress.lastWithRetryAfter(), ""
			}
			result.Attempts++
			response := f.sendAttempt(ctx, call, result, *candidate, remaining, progress.fullEndpoints > 0)
			switch response.Outcome {
			case schema.CallOutcome_CALL_OUTCOME_ANSWERED:
				result.WorkerAttempts++
				if !f.mayRetryFailure(result, progress, response, result.Plan.Deadline-(f.Now()-startedAt)) {
					return response, candidate.Instance
				}
				progress.lastResponse = response
				progress.exclude(candidate.Instance)
				continue
			case schema.CallOutcome_CALL_OUTCOME_UNKNOWN:
				result.WorkerAttempts++
				// A failure for an answer is still an answer.
				if progress.hasAnswer() {
					return progress.lastWithRetryAfter(), ""
				}
				progress.lastResponse = response
				progress.exclude(candidate.Instance)
				// It may have run: only a request that bears repeating is sent again.
				if result.Plan.Class == config.ClassNonIdempotent {
					return response, candidate.Instance
				}
				continue
			}
			if response.ReachedWorker {
				result.WorkerAttempts++
			}
			progress.recordRefusal(response)
			if progress.hasAnswer() {
				return progress.lastWithRetryAfter(), ""
			}
			// The other side has a newer setup, by which the plan is too old or its version barred:
			// a proper call is then planned anew by that setup, not turned away.
			refusal := errs.Code(response.ErrorCode)
			if refusal == errs.StalePlan || (refusal == errs.VersionNotAllowed && response.Revision > result.Plan.Verdict.ConfigRevision) {
				replan = true
				f.newestRevision.Store(max(f.newestRevision.Load(), response.Revision))
				break
			}
			progress.exclude(candidate.Instance)
			// Whoever is asked first has the most room by all that is known. If some of these tell
			// that they have none, the others have none either, and are kept free of being asked.
			if progress.fullEndpoints >= maxFullEndpoints {
				return progress.lastWithRetryAfter(), ""
			}
		}
		// Nobody is left to try: news of other workers may be on its way.
		if !replan && (progress.hasAnswer() || !f.awaitUntriedWorkers(ctx, result, progress, startedAt, pinnedInstance)) {
			break
		}
	}
	return progress.lastWithRetryAfter(), ""
}

// awaitNewerConfig waits for a setup that another proxy is known to have: a proxy under a lease lags
// only so far, so it is as good as here. If it does not come, its feed is to blame.
func (f *Forwarder) awaitNewerConfig(ctx context.Context, remaining time.Duration) {
	newestRevision := f.newestRevision.Load()
	if f.View().Config.Revision >= newestRevision {
		return
	}
	isCurrent := func(view *plan.View) bool { return view.Config.Revision >= newestRevision }
	waitCtx, cancel := context.WithTimeout(ctx, remaining/configWaitDivisor)
	defer cancel()
	shortCtx, cancelShort := context.WithTimeout(waitCtx, remaining/updateWaitDivisor)
	f.AwaitView(shortCtx, isCurrent)
	cancelShort()
	// Others have had it for a while; of all calls that wait, one is enough to leave the feed.
	if !isCurrent(f.View()) && f.lagReportedRevision.Swap(newestRevision) != newestRevision {
		f.OnConfigLag()
	}
	if !isCurrent(f.View()) {
		f.AwaitView(waitCtx, isCurrent)
	}
}

// awaitUntriedWorkers waits a moment for a worker not yet tried. Workers that are known and have no room
// are no news: a caller turned away by them is told at once.
func (f *Forwarder) awaitUntriedWorkers(ctx context.Context, result *CallResult, progress *callProgress, startedAt time.Duration, pinnedInstance string) bool {
	if pinnedInstance != "" {
		return false
	}
	hasUntried := func(view *plan.View) bool {
		if view.Config.Revision != result.Plan.Verdict.ConfigRevision {
			return true
		}
		service := view.Config.Services[result.Plan.Service]
		for _, version := range [2]string{result.Plan.Verdict.Version, fallbackOf(service)} {
			for i := range view.Directory[result.Plan.Service][version] {
				if !progress.excluded[view.Directory[result.Plan.Service][version][i].Instance] {
					return true
				}
			}
		}
		return false
	}
	if hasUntried(f.View()) {
		return true
	}
	wait := (result.Plan.Deadline - (f.Now() - startedAt)) / updateWaitDivisor
	if result.Plan.LatencyTarget > 0 {
		wait = min(wait, result.Plan.LatencyTarget/targetWaitDivisor)
	}
	if wait <= 0 || (progress.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && isCapacityRefusal(progress.lastResponse)) {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	f.AwaitView(waitCtx, hasUntried)
	return hasUntried(f.View())
}

func fallbackOf(service *config.Service) string {
	if service == nil {
		return ""
	}
	return service.Fallback
}
