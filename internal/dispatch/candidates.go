package dispatch

import (
	"context"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// maxPlanRounds is how often a plan is made within one call before the call is given up.
const maxPlanRounds = 4

// maxFullEndpoints is how many endpoints without capacity a call is sent to.
const maxFullEndpoints = 2

// attemptSequence is the attempts of one call: it goes through the candidates of its plan, and of plans made later. It
// belongs to the goroutine of the call.
type attemptSequence struct {
	forwarder *Forwarder
	call      *Call
	result    *CallResult
	startedAt time.Duration // when the call came in, on the clock of the process
	// pinnedInstance is the only instance that may get the call, empty for any.
	pinnedInstance string
	progress       callProgress
}

// nextStep says how a call goes on after one of its steps.
type nextStep int

const (
	stepProceed       nextStep = iota // the step found nothing against the candidate
	stepNextCandidate                 // go on with the next candidate of the plan
	stepReplan                        // the plan is outdated: make another one
	stepDone                          // the call is over, with the response of the step
)

// step is the result of one step: how to go on and, if the call is done, with which response. Instance is where
// the response came from; it is empty where no further attempt under the same idempotency key needs to know.
type step struct {
	next     nextStep
	response *schema.ForwardResponse
	instance string
}

// doneWith ends a call with a response that is bound to no instance.
func doneWith(response *schema.ForwardResponse) step { return step{next: stepDone, response: response} }

// attemptCandidates tries the candidates in order until one answers or nothing more may be done. It returns the
// response of the last attempt and the instance it came from, or [anotherProxy].
func (f *Forwarder) attemptCandidates(
	ctx context.Context, call *Call, result *CallResult, startedAt time.Duration, pinnedInstance string,
) (*schema.ForwardResponse, string) {
	attempts := attemptSequence{
		forwarder:      f,
		call:           call,
		result:         result,
		startedAt:      startedAt,
		pinnedInstance: pinnedInstance,
		progress:       callProgress{lastResponse: notExecuted(errs.NoWorker, 0)},
	}
	return attempts.run(ctx)
}

// run makes plans and tries their candidates until the call is over.
func (a *attemptSequence) run(ctx context.Context) (*schema.ForwardResponse, string) {
	for replans := range maxPlanRounds {
		// A refusal by another proxy for an outdated configuration would hit the next call as well.
		a.forwarder.awaitNewerConfig(ctx, a.remaining())
		if err := a.ensureCurrentPlan(replans); err != nil {
			return a.progress.endWith(errs.CodeOf(err)), ""
		}
		last := a.tryEndpoints(ctx)
		if last.next == stepDone {
			return last.response, last.instance
		}
		// No candidate is left: an update with other workers may be on its way.
		if last.next != stepReplan && (a.progress.hasAnswer() || !a.awaitUntriedWorkers(ctx)) {
			break
		}
	}
	return a.progress.lastWithRetryAfter(), ""
}

// remaining returns the time left until the call's deadline; 0 or less if it has passed.
func (a *attemptSequence) remaining() time.Duration {
	return a.result.Plan.Deadline - (a.forwarder.Now() - a.startedAt)
}

// ensureCurrentPlan makes the plan again after the first time, or if the configuration has changed since: a plan
// is carried out only under the configuration that it was made from.
func (a *attemptSequence) ensureCurrentPlan(replans int) error {
	if view := a.forwarder.View(); replans == 0 && view.Config.Revision == a.result.Plan.Verdict.ConfigRevision {
		return nil
	}
	callPlan, err := a.forwarder.makePlan(&a.call.Request)
	if err != nil {
		return err
	}
	a.result.Plan = callPlan
	return nil
}

// tryEndpoints tries the candidates of the plan in order. It returns a step that is done or asks for another
// plan, or stepNextCandidate if it has come to the end of them.
func (a *attemptSequence) tryEndpoints(ctx context.Context) step {
	candidates := a.result.Plan.Candidates
	for i := range candidates {
		if last := a.attemptCandidate(ctx, &candidates[i]); last.next != stepNextCandidate {
			return last
		}
	}
	return step{next: stepNextCandidate}
}

// attemptCandidate sends the call to a candidate unless something speaks against it. The order of the checks is part
// of the contract: the key is reserved before the checks that a wait for the registries could outdate.
func (a *attemptSequence) attemptCandidate(ctx context.Context, candidate *plan.Endpoint) step {
	if !a.admits(candidate) {
		return step{next: stepNextCandidate}
	}
	if a.needsReservation(candidate) {
		response, reserved := a.reserveKey(ctx, candidate)
		if !reserved {
			return step{next: stepDone, response: response, instance: anotherProxy}
		}
	}
	remaining := a.remaining()
	if checked := a.precheck(ctx, candidate, remaining); checked.next != stepProceed {
		return checked
	}
	if skipped := a.skipOverloaded(candidate); skipped.next != stepProceed {
		return skipped
	}
	if !a.forwarder.mayAttempt(a.result, &a.progress) {
		return doneWith(a.progress.lastWithRetryAfter())
	}
	a.result.Attempts++
	response := a.sendAttempt(ctx, candidate, remaining)
	switch response.Outcome {
	case schema.CallOutcome_CALL_OUTCOME_ANSWERED:
		return a.onAnswered(candidate, response)
	case schema.CallOutcome_CALL_OUTCOME_UNKNOWN:
		return a.onUnknown(candidate, response)
	default:
		return a.onNotExecuted(candidate, response)
	}
}

// admits reports whether a candidate may get an attempt of this call at all.
func (a *attemptSequence) admits(candidate *plan.Endpoint) bool {
	pinnedElsewhere := a.pinnedInstance != "" && candidate.Instance != a.pinnedInstance
	return !pinnedElsewhere && !a.progress.excluded[candidate.Instance]
}

// needsReservation reports whether the idempotency key must be reserved before the attempt: a key is reserved for
// the very worker that the call goes to, and again for another one.
func (a *attemptSequence) needsReservation(candidate *plan.Endpoint) bool {
	return a.pinnedInstance == "" &&
		a.result.Plan.UsesIdempotencyKey(&a.call.Request) &&
		a.result.reservation.GetInstance() != candidate.Instance
}

// precheck checks last of all that this proxy may still decide, by the plan it has, to send the call.
func (a *attemptSequence) precheck(ctx context.Context, candidate *plan.Endpoint, remaining time.Duration) step {
	f, callPlan := a.forwarder, a.result.Plan
	view := f.View()
	switch {
	case remaining <= 0 || ctx.Err() != nil:
		return doneWith(a.progress.endWith(contextErrorCode(ctx)))
	case !f.HasLease():
		return doneWith(a.progress.endWith(errs.NoLease))
	case view.Config.Revision != callPlan.Verdict.ConfigRevision || f.versionBlocked(view, callPlan):
		return step{next: stepReplan}
	case !isListed(view, callPlan.Service, callPlan.Verdict.Version, candidate.Instance):
		return step{next: stepNextCandidate}
	}
	return step{next: stepProceed}
}

// skipOverloaded skips a candidate that has refused most calls of the route lately. A pinned call is not skipped,
// for no other worker can refuse it, nor is a worker beside this proxy, which costs nothing to try.
func (a *attemptSequence) skipOverloaded(candidate *plan.Endpoint) step {
	f := a.forwarder
	retryAfter, skip := f.Outliers.ShouldSkip(candidate.Instance, a.result.Plan.Route.Name, f.Now(), f.Random)
	if !skip || a.pinnedInstance != "" || candidate.Proxy == f.Name {
		return step{next: stepProceed}
	}
	refusal := notExecuted(errs.QueueFull, 0)
	refusal.RetryAfterNanos = int64(retryAfter)
	a.progress.recordRefusal(refusal)
	a.progress.exclude(candidate.Instance)
	if a.progress.fullEndpoints >= maxFullEndpoints || a.progress.hasAnswer() {
		return doneWith(a.progress.lastWithRetryAfter())
	}
	return step{next: stepNextCandidate}
}

// onAnswered ends the call with a worker's answer, or goes on if the answer is a failure that may be retried.
func (a *attemptSequence) onAnswered(candidate *plan.Endpoint, response *schema.ForwardResponse) step {
	a.result.WorkerAttempts++
	if !a.forwarder.mayRetryFailure(a.result, &a.progress, response, a.remaining()) {
		return step{next: stepDone, response: response, instance: candidate.Instance}
	}
	a.progress.lastResponse = response
	a.progress.exclude(candidate.Instance)
	return step{next: stepNextCandidate}
}

// onUnknown goes on after an attempt that may have run, which only an idempotent call does.
func (a *attemptSequence) onUnknown(candidate *plan.Endpoint, response *schema.ForwardResponse) step {
	a.result.WorkerAttempts++
	// A failure response of an earlier attempt is still an answer, and better than none.
	if a.progress.hasAnswer() {
		return doneWith(a.progress.lastWithRetryAfter())
	}
	a.progress.lastResponse = response
	a.progress.exclude(candidate.Instance)
	if a.result.Plan.Class == config.ClassNonIdempotent {
		return step{next: stepDone, response: response, instance: candidate.Instance}
	}
	return step{next: stepNextCandidate}
}

// onNotExecuted goes on after a refusal, which proves that nothing ran.
func (a *attemptSequence) onNotExecuted(candidate *plan.Endpoint, response *schema.ForwardResponse) step {
	if response.ReachedWorker {
		a.result.WorkerAttempts++
	}
	a.progress.recordRefusal(response)
	if a.progress.hasAnswer() {
		return doneWith(a.progress.lastWithRetryAfter())
	}
	if a.configIsBehind(response) {
		newest := &a.forwarder.newestRevision
		newest.Store(max(newest.Load(), response.Revision))
		return step{next: stepReplan}
	}
	a.progress.exclude(candidate.Instance)
	// Candidates are ordered by expected capacity. If some of the first report that they have none, the
	// others have none either, and are spared the attempt.
	if a.progress.fullEndpoints >= maxFullEndpoints {
		return doneWith(a.progress.lastWithRetryAfter())
	}
	return step{next: stepNextCandidate}
}

// configIsBehind reports whether a proxy refused the call by a newer configuration, under which the plan is too
// old or its version not allowed. Such a call is planned again by that configuration and not refused.
func (a *attemptSequence) configIsBehind(refusal *schema.ForwardResponse) bool {
	code := errs.Code(refusal.ErrorCode)
	return code == errs.StalePlan || (code == errs.VersionNotAllowed && refusal.Revision > a.result.Plan.Verdict.ConfigRevision)
}

// versionBlocked reports whether the plan's version may not be used any more.
func (f *Forwarder) versionBlocked(view *plan.View, callPlan *plan.Plan) bool {
	version := callPlan.Verdict.Version
	return version != view.Config.FallbackOf(callPlan.Service) && f.Canaries.VersionBlocked(callPlan.Service, version, f.Now())
}

// isListed reports whether a worker is still in the directory.
func isListed(view *plan.View, service, version, instance string) bool {
	for _, endpoint := range view.Directory[service][version] {
		if endpoint.Instance == instance {
			return true
		}
	}
	return false
}
