package dispatch

import (
	"context"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// maxPlanRounds is how often a plan is made anew within one call before it is given up.
const maxPlanRounds = 4

// maxFullEndpoints is how many workers without room a call is taken to.
const maxFullEndpoints = 2

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
