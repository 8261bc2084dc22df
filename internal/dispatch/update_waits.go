package dispatch

import (
	"context"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/plan"
)

// updateWaitDivisor is the part of the time left for which a call waits, at either proxy, for an update of the lease, the
// configuration or the directory before it is refused.
const updateWaitDivisor = 8

// assumedDeadlineDivisor is the part of the longest deadline that a call whose caller gives none is assumed to have.
const assumedDeadlineDivisor = 8

// targetWaitDivisor is the part of the latency target for which a call may wait for updates of the directory: a
// caller refused within a fourth of it still has time to call again.
const targetWaitDivisor = 8

// configWaitDivisor is the part of the time left for which a call waits for a configuration that another proxy has.
const configWaitDivisor = 2

// awaitLease holds a call back for a moment: most gaps between leases are shorter than that.
func (f *Forwarder) awaitLease(ctx context.Context, call *Call) bool {
	waitCtx, cancel := context.WithTimeout(ctx, f.assumedDeadline(&call.Request)/updateWaitDivisor)
	defer cancel()
	return f.AwaitLease(waitCtx)
}

// assumedDeadline returns the time that a call likely has, where no plan can be made that would say so.
func (f *Forwarder) assumedDeadline(request *plan.Request) time.Duration {
	maxDeadline := f.limits.Load().PlanOptions.MaxDeadline
	if request.CallerDeadline > 0 {
		return min(request.CallerDeadline, maxDeadline)
	}
	return maxDeadline / assumedDeadlineDivisor
}

// awaitNewerConfig waits for a configuration that another proxy is known to have. A proxy under a lease lags
// only so far behind, so the configuration is about to arrive; if it does not, this proxy's stream is at fault.
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
	// Others have had the revision for a while. Of all calls that wait for it, one reports the lag.
	if !isCurrent(f.View()) && f.lagReportedRevision.Swap(newestRevision) != newestRevision {
		f.OnConfigLag()
	}
	if !isCurrent(f.View()) {
		f.AwaitView(waitCtx, isCurrent)
	}
}

// awaitUntriedWorkers waits a moment for a worker that the call has not tried, and reports whether there is one.
// It does not wait where known workers refused for lack of capacity: their caller is refused at once.
func (a *attemptSequence) awaitUntriedWorkers(ctx context.Context) bool {
	if a.pinnedInstance != "" {
		return false
	}
	// The condition holds only what it needs, so that the attemptSequence itself stays on the stack.
	f, callPlan, excluded := a.forwarder, a.result.Plan, a.progress.excluded
	hasUntried := func(view *plan.View) bool { return hasUntriedWorker(view, callPlan, excluded) }
	if hasUntried(f.View()) {
		return true
	}
	wait := a.remaining() / updateWaitDivisor
	if callPlan.LatencyTarget > 0 {
		wait = min(wait, callPlan.LatencyTarget/targetWaitDivisor)
	}
	if wait <= 0 || isCapacityRefusal(a.progress.lastResponse) {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	f.AwaitView(waitCtx, hasUntried)
	return hasUntried(f.View())
}

// hasUntriedWorker reports whether another plan by a view could have a candidate that is not excluded.
func hasUntriedWorker(view *plan.View, callPlan *plan.Plan, excluded map[string]bool) bool {
	if view.Config.Revision != callPlan.Verdict.ConfigRevision {
		return true
	}
	service := view.Config.Services[callPlan.Service]
	for _, version := range [2]string{callPlan.Verdict.Version, fallbackOf(service)} {
		pool := view.Directory[callPlan.Service][version]
		for i := range pool {
			if !excluded[pool[i].Instance] {
				return true
			}
		}
	}
	return false
}

// fallbackOf returns a service's fallback version, empty for a service that is not configured.
func fallbackOf(service *config.Service) string {
	if service == nil {
		return ""
	}
	return service.Fallback
}
