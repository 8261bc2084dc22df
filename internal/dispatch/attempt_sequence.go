package dispatch

import (
	"context"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// maxPlanRounds is the maximum number of plans whose candidates one call tries. The call ends after the last of them.
const maxPlanRounds = 4

// maxFullEndpoints bounds the refusals of one call by endpoints that report when they expect capacity. The call ends at
// the last of them. An endpoint that skipOverloaded skips counts as well.
const maxFullEndpoints = 2

// attemptSequence makes the attempts of one call. It goes through the candidates of the call's plan, and of plans made
// later. Only the goroutine of the call uses it.
type attemptSequence struct {
	forwarder *Forwarder
	call      *Call
	result    *CallResult
	startedAt time.Duration // arrival of the call at this proxy, on the process clock
	// pinnedInstance is the only instance that the call may be sent to; empty for any.
	pinnedInstance string
	progress       callProgress
}

// nextStep is what a call does after one of its steps.
type nextStep int

const (
	stepProceed       nextStep = iota // continue with the same candidate
	stepNextCandidate                 // continue with the next candidate of the plan
	stepReplan                        // make a new plan, because the present one is outdated
	stepDone                          // end the call with the response of the step
)

// step is the result of one step of a call: an attempt, or one of the checks before it.
type step struct {
	next     nextStep
	response *schema.ForwardResponse // the response of the call; nil unless next is stepDone
	// instance is where the response came from. It is set only if a repeat under the same idempotency key must know it.
	instance string
}

// doneWith returns a step that ends the call with a response, without an instance.
func doneWith(response *schema.ForwardResponse) step { return step{next: stepDone, response: response} }

// attemptCandidates tries the candidates in order until one answers or no further attempt may be made. It returns the
// call's response and the instance that it came from. The instance is [reservedElsewhere] if the call's key could not
// be reserved, and empty if no repeat needs to know it.
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
		// Another proxy may have refused a call because this proxy's configuration was outdated. Until the newer one
		// arrives, it would refuse this call as well.
		a.forwarder.awaitNewerConfig(ctx, a.remaining())
		if err := a.ensureCurrentPlan(replans); err != nil {
			return a.progress.responseWithCode(errs.CodeOf(err)), ""
		}
		last := a.tryEndpoints(ctx)
		if last.next == stepDone {
			return last.response, last.instance
		}
		// No candidate is left, but a directory update with other workers may be about to arrive.
		if last.next != stepReplan && (a.progress.hasAnswer() || !a.awaitUntriedWorkers(ctx)) {
			break
		}
	}
	return a.progress.finalResponse(), ""
}

// remaining returns the time left until the call's deadline. It is 0 or less once the deadline has passed.
func (a *attemptSequence) remaining() time.Duration {
	return a.result.Plan.Deadline - (a.forwarder.Now() - a.startedAt)
}

// ensureCurrentPlan makes a new plan in every round but the first. In the first round it makes one if the configuration
// has changed since the call was planned, because a plan is executed only under the configuration it was made from.
// replans is the number of rounds before this one.
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

// tryEndpoints tries the candidates of the plan in order. It returns the first step that ends the call or requires a
// new plan, and stepNextCandidate if there is none.
func (a *attemptSequence) tryEndpoints(ctx context.Context) step {
	candidates := a.result.Plan.Candidates
	for i := range candidates {
		if last := a.attemptCandidate(ctx, &candidates[i]); last.next != stepNextCandidate {
			return last
		}
	}
	return step{next: stepNextCandidate}
}

// attemptCandidate sends the call to a candidate unless a check rules it out. The order of the checks is part of the
// contract: the key is reserved before precheck, whose results a wait for the registries could outdate.
func (a *attemptSequence) attemptCandidate(ctx context.Context, candidate *plan.Endpoint) step {
	if !a.isEligible(candidate) {
		return step{next: stepNextCandidate}
	}
	if a.needsReservation(candidate) {
		response, reserved := a.reserveKey(ctx, candidate)
		if !reserved {
			return step{next: stepDone, response: response, instance: reservedElsewhere}
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
		return doneWith(a.progress.finalResponse())
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

// isEligible reports whether a candidate may get an attempt of this call: the call is not pinned to another instance,
// and the candidate is not excluded after an earlier attempt.
func (a *attemptSequence) isEligible(candidate *plan.Endpoint) bool {
	pinnedElsewhere := a.pinnedInstance != "" && candidate.Instance != a.pinnedInstance
	return !pinnedElsewhere && !a.progress.excluded[candidate.Instance]
}

// needsReservation reports whether the idempotency key must be reserved before the attempt. A key is reserved for the
// worker that the call is sent to, so it must be reserved again for another worker.
func (a *attemptSequence) needsReservation(candidate *plan.Endpoint) bool {
	return a.pinnedInstance == "" &&
		a.result.Plan.UsesIdempotencyKey(&a.call.Request) &&
		a.result.reservation.GetInstance() != candidate.Instance
}

// precheck checks, after any wait, that the call still has time and that this proxy may still send it by its plan. The
// proxy must have a lease, and the configuration must be the plan's. The canary guard must not block the version, and the
// directory must list the worker.
func (a *attemptSequence) precheck(ctx context.Context, candidate *plan.Endpoint, remaining time.Duration) step {
	f, callPlan := a.forwarder, a.result.Plan
	view := f.View()
	switch {
	case remaining <= 0 || ctx.Err() != nil:
		return doneWith(a.progress.responseWithCode(contextErrorCode(ctx)))
	case !f.HasLease():
		return doneWith(a.progress.responseWithCode(errs.NoLease))
	case view.Config.Revision != callPlan.Verdict.ConfigRevision || f.versionBlocked(view, callPlan):
		return step{next: stepReplan}
	case !isListed(view, callPlan.Service, callPlan.Verdict.Version, candidate.Instance):
		return step{next: stepNextCandidate}
	}
	return step{next: stepProceed}
}

// skipOverloaded skips a candidate that has recently refused most calls of the route. A pinned call does not skip its
// candidate, because no other worker can serve it. A worker of this proxy is not skipped, because trying it costs
// nothing. A skipped candidate counts as one that refused the call.
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
		return doneWith(a.progress.finalResponse())
	}
	return step{next: stepNextCandidate}
}

// onAnswered ends the call with a worker's answer, or continues if the answer is a failure that may be retried.
func (a *attemptSequence) onAnswered(candidate *plan.Endpoint, response *schema.ForwardResponse) step {
	a.result.WorkerAttempts++
	if !a.forwarder.mayRetryFailure(a.result, &a.progress, response, a.remaining()) {
		return step{next: stepDone, response: response, instance: candidate.Instance}
	}
	a.progress.lastResponse = response
	a.progress.exclude(candidate.Instance)
	return step{next: stepNextCandidate}
}

// onUnknown handles an attempt that may have run. Only an idempotent call continues after it.
func (a *attemptSequence) onUnknown(candidate *plan.Endpoint, response *schema.ForwardResponse) step {
	a.result.WorkerAttempts++
	// A failure response from an earlier attempt is an answer, which is better than none.
	if a.progress.hasAnswer() {
		return doneWith(a.progress.finalResponse())
	}
	a.progress.lastResponse = response
	a.progress.exclude(candidate.Instance)
	if a.result.Plan.Class == config.ClassNonIdempotent {
		return step{next: stepDone, response: response, instance: candidate.Instance}
	}
	return step{next: stepNextCandidate}
}

// onNotExecuted handles a refusal, which proves that nothing ran.
func (a *attemptSequence) onNotExecuted(candidate *plan.Endpoint, response *schema.ForwardResponse) step {
	if response.ReachedWorker {
		a.result.WorkerAttempts++
	}
	a.progress.recordRefusal(response)
	if a.progress.hasAnswer() {
		return doneWith(a.progress.finalResponse())
	}
	if a.configIsBehind(response) {
		newest := &a.forwarder.newestRevision
		newest.Store(max(newest.Load(), response.Revision))
		return step{next: stepReplan}
	}
	a.progress.exclude(candidate.Instance)
	// Candidates are ordered by expected capacity. If the first ones report that they have none, the others are assumed
	// to have none either, and are not tried.
	if a.progress.fullEndpoints >= maxFullEndpoints {
		return doneWith(a.progress.finalResponse())
	}
	return step{next: stepNextCandidate}
}

// configIsBehind reports whether another proxy refused the call under a newer configuration, because the plan is too old
// or its version is no longer allowed. Such a call is planned again under that configuration instead of being refused.
func (a *attemptSequence) configIsBehind(refusal *schema.ForwardResponse) bool {
	code := errs.Code(refusal.ErrorCode)
	return code == errs.StalePlan || (code == errs.VersionNotAllowed && refusal.Revision > a.result.Plan.Verdict.ConfigRevision)
}

// versionBlocked reports whether the canary guard blocks the plan's version. It never blocks the fallback version.
func (f *Forwarder) versionBlocked(view *plan.View, callPlan *plan.Plan) bool {
	version := callPlan.Verdict.Version
	return version != view.Config.FallbackVersion(callPlan.Service) && f.Canaries.VersionBlocked(callPlan.Service, version, f.Now())
}

// isListed reports whether the directory lists a worker under a service and version.
func isListed(view *plan.View, service, version, instance string) bool {
	for _, endpoint := range view.Directory[service][version] {
		if endpoint.Instance == instance {
			return true
		}
	}
	return false
}
