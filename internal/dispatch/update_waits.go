package dispatch

import (
	"context"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/plan"
)

// Bounds on the waits for updates. A divisor n stands for the fraction 1/n.
const (
	// updateWaitDivisor bounds, as a fraction of the time left, how long a call waits at either proxy for a lease, a
	// configuration or a directory update before it is refused.
	updateWaitDivisor = 8

	// assumedDeadlineDivisor gives the deadline that is assumed for a call without one, as a fraction of the longest
	// deadline.
	assumedDeadlineDivisor = 8

	// targetWaitDivisor bounds, as a fraction of the latency target, how long one wait of a call for directory updates
	// lasts. A caller that is refused within a fourth of the target, the length of two such waits, can still call again.
	targetWaitDivisor = 8

	// configWaitDivisor bounds, as a fraction of the time left, how long a call waits for a configuration that another
	// proxy has.
	configWaitDivisor = 2
)

// awaitLease waits until this proxy holds a lease, for at most 1/updateWaitDivisor of the assumed deadline, and reports
// whether it holds one. Most gaps between leases are shorter than that.
func (f *Forwarder) awaitLease(ctx context.Context, call *Call) bool {
	waitCtx, cancel := context.WithTimeout(ctx, f.assumedDeadline(&call.Request)/updateWaitDivisor)
	defer cancel()
	return f.AwaitLease(waitCtx)
}

// assumedDeadline returns the deadline that a call is assumed to have while no plan can be made for it.
func (f *Forwarder) assumedDeadline(request *plan.Request) time.Duration {
	maxDeadline := f.limits.Load().PlanOptions.MaxDeadline
	if request.CallerDeadline > 0 {
		return min(request.CallerDeadline, maxDeadline)
	}
	return maxDeadline / assumedDeadlineDivisor
}

// awaitNewerConfig waits for the newest configuration that another proxy is known to have, for at most
// 1/configWaitDivisor of the time left. A proxy that holds a lease lags behind only by a bounded time, so that
// configuration is about to arrive. If it has not arrived after 1/updateWaitDivisor of the time left, this proxy's
// configuration stream is at fault. The lag is then reported by OnConfigLag.
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
	// Another proxy has had the revision for some time. Of all calls that wait for it, only one reports the lag.
	if !isCurrent(f.View()) && f.lagReportedRevision.Swap(newestRevision) != newestRevision {
		f.OnConfigLag()
	}
	if !isCurrent(f.View()) {
		f.AwaitView(waitCtx, isCurrent)
	}
}

// awaitUntriedWorkers waits for a worker that the call has not tried, and reports whether there may be one. It does not
// wait if the last response is a refusal for lack of capacity, so that the caller is refused at once. A pinned call has
// no other worker to wait for.
func (a *attemptSequence) awaitUntriedWorkers(ctx context.Context) bool {
	if a.pinnedInstance != "" {
		return false
	}
	// The closure captures only what it needs, so that the attemptSequence itself stays on the stack.
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

// hasUntriedWorker reports whether a new plan from a view could have a candidate that is not excluded. It returns true
// for a view with another configuration revision, because that plan may differ in any way.
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

// fallbackOf returns a service's fallback version. It is empty if service is nil, because it is not configured.
func fallbackOf(service *config.Service) string {
	if service == nil {
		return ""
	}
	return service.Fallback
}
