package dispatch

import (
	"context"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// targetWaitDivisor is the part of the aim for which a call may wait for news of workers: refused
// sooner than a fourth of it, a caller still has time to ask again.
const targetWaitDivisor = 8

// configWaitDivisor is the part of the time left for which a setup is awaited that another proxy has.
const configWaitDivisor = 2

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
