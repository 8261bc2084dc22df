package dispatch

import (
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// minWorkerFailureRate is the failure rate of a worker, as a fraction of its recent calls, from which a failure is
// attributed to the worker. At a lower rate it is attributed to the call itself.
const minWorkerFailureRate = 0.05

// retryBudget returns the retry budget of a service, updated to the limits in force.
func (f *Forwarder) retryBudget(service string) *RetryBudget {
	limits := f.limits.Load()
	budget, _ := f.retryBudgets.LoadOrCompute(service, func() (*RetryBudget, bool) {
		return NewRetryBudget(limits.RetryRatio, limits.RetryWindow), false
	})
	if budget.limits.Load() != limits {
		budget.setLimits(f.Now(), limits)
	}
	return budget
}

// retryFloorPerProxy returns this proxy's equal share of Limits.RetryFloor: the retries per service, in any window, that
// the whole fleet may make in addition to the ratio.
func (f *Forwarder) retryFloorPerProxy() float64 {
	return f.limits.Load().RetryFloor / float64(max(1, f.FleetSize()))
}

// mayAttempt reports whether the call may be sent again, or for the first time, within its route's maximum number of
// attempts and the retry budget. A retry that it allows is charged to the budget, unless mayRetryFailure has already
// charged it.
func (f *Forwarder) mayAttempt(result *CallResult, progress *callProgress) bool {
	if progress.prepaid {
		progress.prepaid = false
		return true
	}
	if maxAttemptsReached(result) {
		return false
	}
	attemptsBefore := result.Attempts
	if f.FreeProxyRejections {
		attemptsBefore = result.WorkerAttempts
	}
	return attemptsBefore == 0 || f.retryBudget(result.Plan.Service).Allow(f.Now(), f.retryFloorPerProxy(), 1)
}

// maxAttemptsReached reports whether as many attempts have reached workers, or may have, as the route allows. It is
// false for a route without a maximum.
func maxAttemptsReached(result *CallResult) bool {
	maxAttempts := result.Plan.Route.MaxAttempts
	return maxAttempts > 0 && result.WorkerAttempts >= maxAttempts
}

// mayRetryFailure reports whether a call that a worker answered with a failure is retried on another worker. If so, it
// charges the retry budget, of which such retries may use the fraction Limits.FailureRetryFraction.
//
// A retry needs an idempotent call without an earlier failure response, an attempt left under the route's maximum, and
// time for another run within the deadline and the latency target. No endpoint may have refused the call and reported
// when it expects capacity: without spare capacity, a second run would take it from other callers. Two kinds of failure
// are not retried:
//   - failures of a version other than the fallback, because they must count against that version;
//   - failures of a worker that hardly ever fails, because the call itself is the likely cause, and another worker would
//     fail as well.
func (f *Forwarder) mayRetryFailure(
	result *CallResult, progress *callProgress, response *schema.ForwardResponse, remaining time.Duration,
) bool {
	callPlan, limits := result.Plan, f.limits.Load()
	switch {
	case limits.FailureRetryFraction <= 0 || callPlan.Class != config.ClassIdempotent:
		return false
	case response.Status < minFailureStatus || progress.hasAnswer() || progress.fullEndpoints > 0:
		return false
	case callPlan.Verdict.Version != f.View().Config.FallbackVersion(callPlan.Service):
		return false
	case response.Slots > 0 && float64(response.RecentFailures) < minWorkerFailureRate*float64(response.RecentRuns):
		return false
	case maxAttemptsReached(result):
		return false
	case remaining < time.Duration(response.ServiceTimeNanos):
		return false
	case callPlan.LatencyTarget > 0 && remainingTarget(callPlan, remaining) < response.ServiceTimeNanos:
		return false
	}
	progress.prepaid = f.retryBudget(callPlan.Service).Allow(f.Now(), f.retryFloorPerProxy(), limits.FailureRetryFraction)
	return progress.prepaid
}
