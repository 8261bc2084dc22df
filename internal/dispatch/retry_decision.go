package dispatch

import (
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

func (f *Forwarder) retryBudget(service string) *RetryBudget {
	limits := f.limits.Load()
	budget, _ := f.retryBudgets.LoadOrCompute(service, func() (*RetryBudget, bool) { return NewRetryBudget(limits.RetryRatio, limits.RetryWindow), false })
	if budget.limits.Load() != limits {
		budget.setLimits(f.Now(), limits)
	}
	return budget
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
