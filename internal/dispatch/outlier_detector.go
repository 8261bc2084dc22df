package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Ratios of what is known of workers.
const (
	fullEjectionDivisor         = 64   // the part of an ejection for which a worker without room is tried last, if not told
	refusalAveragingDivisor     = 8    // the part of news that goes into how many are refused
	baselineAveragingDivisor    = 16.0 // the part of news that goes into the usual load
	serviceTimeAveragingDivisor = 8    // the part of news that goes into the pace

	// A proxy that owes answers and gives none for so many times what its worker takes, and so
	// long a part of an ejection, is tried last until it gives one; twice as many if it owes one
	// alone, for one call may just take long.
	// Where a worker takes few calls of a route, it is asked this many times as many as it takes, as
	// seen over this part of an ejection: what it would turn away costs it and its link as much
	// as what it tells of it, and the caller is told sooner.
	maxOffersPerAccept = 2
	offerWindowDivisor = 2
	assumedAccepts     = 1 // calls that it is taken to have taken besides

	unresponsiveServiceTimes    = 4
	unresponsiveEjectionDivisor = 25
)

// OutlierDetector keeps facts of workers by instance; it implements plan.LocalState.
type OutlierDetector struct {
	workers            *xsync.Map[string, *workerState]
	unreachableProxies *xsync.Map[string, time.Duration] // proxies that were not reached, and until when that counts
	unreachableCount   atomic.Int64                      // how many these are, about
	maxFailures        atomic.Int64
	ejectionNanos      atomic.Int64 // for how long
}

// NewOutlierDetector ejects a worker for a time after so many failures in a row.
func NewOutlierDetector(maxFailures int64, ejection time.Duration) *OutlierDetector {
	d := &OutlierDetector{workers: xsync.NewMap[string, *workerState](), unreachableProxies: xsync.NewMap[string, time.Duration]()}
	d.SetLimits(maxFailures, ejection)
	return d
}

// SetLimits sets other bounds; what is known of workers stays.
func (d *OutlierDetector) SetLimits(maxFailures int64, ejection time.Duration) {
	d.maxFailures.Store(maxFailures)
	d.ejectionNanos.Store(int64(ejection))
}

func (d *OutlierDetector) ejection() time.Duration { return time.Duration(d.ejectionNanos.Load()) }

func (d *OutlierDetector) stateOf(instance string) *workerState {
	if state, found := d.workers.Load(instance); found {
		return state
	}
	state, _ := d.workers.LoadOrCompute(instance, func() (*workerState, bool) { return &workerState{}, false })
	return state
}

// Stats gives what this process knows of a worker.
func (d *OutlierDetector) Stats(worker *plan.Endpoint, now time.Duration) plan.EndpointStats {
	stats := plan.EndpointStats{Slots: worker.Slots, ServiceTime: worker.ServiceTime}
	unreachable := d.unreachableCount.Load() > 0 && d.isProxyUnreachable(worker.Proxy, now)
	state, found := d.workers.Load(worker.Instance)
	if !found {
		stats.OtherInFlight = float64(worker.Running + worker.Waiting)
		stats.Unreachable, stats.Ejected = unreachable, unreachable
		return stats
	}
	stats.InFlight = int(state.inFlight.Load())
	sinceResponse := now - time.Duration(state.lastResponseAt.Load())
	stats.Full = int64(now) < state.fullUntil.Load()
	stats.Unreachable = unreachable || state.disowned.Load()
	stats.Ejected = stats.Unreachable || int64(now) < state.ejectedUntil.Load()
	state.lock.Lock()
	defer state.lock.Unlock()
	stats.RecentCalls, stats.RecentFailures = state.recentCalls(now, d.ejection())
	if state.serviceTime > 0 {
		stats.ServiceTime = state.serviceTime
	}
	if stats.InFlight > 0 && stats.ServiceTime > 0 && sinceResponse > max(unresponsiveServiceTimes*(stats.ServiceTime+stats.ServiceTime/time.Duration(stats.InFlight)), d.ejection()/unresponsiveEjectionDivisor) {
		stats.Ejected = true
	}
	if !state.hasLoad {
		if state.ownCalls.calls > 0 {
			// Its answers tell no load, and what the directory says is older than most calls last: by it
			// all would go to the same worker at once. Only what this process has there is sure.
			stats.Slots, stats.OtherInFlight = 0, 0
		} else {
			stats.OtherInFlight = float64(worker.Running + worker.Waiting)
		}
		return stats
	}
	// Of what the last answer and the directory told, the later counts; and the older it is, the
	// more it gives way to what is usual, for the calls it counted are over by then.
	stats.Slots = state.slots
	otherInFlight, reportedAt := state.otherInFlight, state.loadReportedAt
	if worker.ReportedAt > reportedAt {
		otherInFlight, reportedAt = max(0, float64(worker.Running+worker.Waiting-stats.InFlight)), worker.ReportedAt
	}
	age := float64(now-reportedAt) / float64(max(stats.ServiceTime, time.Millisecond))
	stats.OtherInFlight = state.baselineInFlight + (otherInFlight-state.baselineInFlight)/(1+max(0, age))
	return stats
}

// RecordRun notes how a call ended that a worker beside this process ran, whoever's it was.
func (d *OutlierDetector) RecordRun(instance string, now time.Duration, failed bool) {
	state := d.stateOf(instance)
	state.lock.Lock()
	state.localCalls.add(now, d.ejection(), failed)
	state.lock.Unlock()
}

// RunCounts is what others are to be told of the calls that a worker beside this process ran of late;
// nothing where none failed.
func (d *OutlierDetector) RunCounts(instance string, now time.Duration) (ran, failed uint32) {
	state, found := d.workers.Load(instance)
	if !found {
		return 0, 0
	}
	state.lock.Lock()
	calls, recentFailed := state.localCalls.decayed(now, d.ejection())
	state.lock.Unlock()
	if failed = uint32(math.Round(recentFailed)); failed == 0 {
		return 0, 0
	}
	return uint32(math.Round(calls)), failed
}

// isProxyUnreachable tells whether a proxy gave no answer of late.
func (d *OutlierDetector) isProxyUnreachable(proxy string, now time.Duration) bool {
	until, unreachable := d.unreachableProxies.Load(proxy)
	return unreachable && now < until
}

// MarkDisowned notes that a worker's own proxy refused for it. An instance is never used again, so
// this holds until the directory drops it.
func (d *OutlierDetector) MarkDisowned(instance string) { d.stateOf(instance).disowned.Store(true) }

// MarkUnreachable notes that a proxy gave no answer. One miss is enough: unlike a worker's error
// it says the same of every worker behind it, and each further try would hang as long.
func (d *OutlierDetector) MarkUnreachable(proxy string, now time.Duration) {
	if _, wasUnreachable := d.unreachableProxies.LoadAndStore(proxy, now+d.ejection()); !wasUnreachable {
		d.unreachableCount.Add(1)
	}
}

// MarkReachable notes that a proxy answered.
func (d *OutlierDetector) MarkReachable(proxy string) {
	if d.unreachableCount.Load() == 0 {
		return
	}
	if _, wasUnreachable := d.unreachableProxies.LoadAndDelete(proxy); wasUnreachable {
		d.unreachableCount.Add(-1)
	}
}

// BeginCall notes a call sent to a worker.
func (d *OutlierDetector) BeginCall(instance string, now time.Duration) {
	state := d.stateOf(instance)
	if state.inFlight.Add(1) == 1 {
		state.lastResponseAt.Store(int64(now))
	}
}

// EndCall notes how a call ended.
func (d *OutlierDetector) EndCall(instance string, now time.Duration, failed bool) {
	state := d.stateOf(instance)
	state.inFlight.Add(-1)
	state.lock.Lock()
	state.ownCalls.add(now, d.ejection(), failed)
	state.lock.Unlock()
	if !failed {
		if state.consecutiveFailures.Load() != 0 {
			state.consecutiveFailures.Store(0)
		}
		return
	}
	if state.consecutiveFailures.Add(1) >= d.maxFailures.Load() {
		state.ejectedUntil.Store(int64(now + d.ejection()))
		state.consecutiveFailures.Store(0)
	}
}

// CancelCall notes that a call sent to a worker ended with its caller, which says nothing of the worker.
func (d *OutlierDetector) CancelCall(instance string) { d.stateOf(instance).inFlight.Add(-1) }

// RecordResponse takes what came back of a call sent to a worker, took being how long that was: how it
// ended, the load that the worker's proxy told with it, and whether there was room.
func (d *OutlierDetector) RecordResponse(instance string, now, elapsed time.Duration, response *schema.ForwardResponse) {
	if state := d.stateOf(instance); isCapacityRefusal(response) {
		// It says nothing of how sound the worker is, only that it is tried last until there is room.
		state.inFlight.Add(-1)
		retryAfter := time.Duration(response.RetryAfterNanos)
		if retryAfter <= 0 {
			retryAfter = d.ejection() / fullEjectionDivisor
		}
		state.fullUntil.Store(int64(now + min(retryAfter, d.ejection())))
	} else {
		d.EndCall(instance, now, isFailure(response))
	}
	state := d.stateOf(instance)
	if response.Slots > 0 || response.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		state.lastResponseAt.Store(int64(now))
	}
	state.observeLoad(now, elapsed, response)
}

// RefusalRate is the part of the calls sent to a worker of late that were refused for want of room.
func (d *OutlierDetector) RefusalRate(instance string) float64 {
	state := d.stateOf(instance)
	state.lock.Lock()
	defer state.lock.Unlock()
	return state.refusalRate
}

// RecordOffer notes whether a worker that was asked took a call of a route.
func (d *OutlierDetector) RecordOffer(instance, route string, now time.Duration, response *schema.ForwardResponse) {
	state, full := d.stateOf(instance), isCapacityRefusal(response)
	state.lock.Lock()
	defer state.lock.Unlock()
	acceptance := state.acceptance[route]
	switch {
	case acceptance == nil && !full:
		return
	case acceptance == nil:
		if state.acceptance == nil || len(state.acceptance) >= maxRoutes {
			state.acceptance = map[string]*routeAcceptance{}
		}
		acceptance = &routeAcceptance{updatedAt: now}
		state.acceptance[route] = acceptance
	}
	acceptance.fade(now, d.ejection()/offerWindowDivisor)
	if acceptance.offered++; !full {
		acceptance.accepted++
	}
}

// ShouldSkip tells whether a worker is better not asked for a call this time, as it turned so many of
// its route away, and when there may be room. What it is spared counts as asked.
func (d *OutlierDetector) ShouldSkip(instance, route string, now time.Duration, random plan.Random) (retryAfter time.Duration, skip bool) {
	state, found := d.workers.Load(instance)
	if !found {
		return 0, false
	}
	state.lock.Lock()
	defer state.lock.Unlock()
	acceptance := state.acceptance[route]
	if acceptance == nil {
		return 0, false
	}
	acceptance.fade(now, d.ejection()/offerWindowDivisor)
	if excess := acceptance.offered - maxOffersPerAccept*(acceptance.accepted+assumedAccepts); excess <= 0 || random() >= excess/(acceptance.offered+1) {
		return 0, false
	}
	acceptance.offered++
	return max(time.Duration(state.fullUntil.Load())-now, d.ejection()/fullEjectionDivisor), true
}

// Retain forgets workers that are no longer listed, so that memory does not grow with replacements.
func (d *OutlierDetector) Retain(listed map[string]bool) {
	d.workers.Range(func(instance string, state *workerState) bool {
		if !listed[instance] && state.inFlight.Load() == 0 {
			d.workers.Delete(instance)
		}
		return true
	})
}
