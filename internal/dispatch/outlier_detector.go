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
	fullEjectionDivisor         = 64   // a worker without capacity comes last for this part of an ejection, unless it reports a time
	refusalAveragingDivisor     = 8    // each response moves the refusal rate by this part
	baselineAveragingDivisor    = 16.0 // each report moves the baseline load by this part
	serviceTimeAveragingDivisor = 8    // each report moves the service time by this part

	// A worker that accepts few calls of a route is offered maxOffersPerAccept times as many as it accepts, as seen over
	// 1/offerWindowDivisor of an ejection: each refusal costs the worker and its network as much as it costs the
	// caller, who learns of it sooner here.
	maxOffersPerAccept = 2
	offerWindowDivisor = 2
	assumedAccepts     = 1 // calls that a worker is assumed to have accepted in addition

	// A proxy that owes responses and sends none for unresponsiveServiceTimes times the worker's service time, and
	// for 1/unresponsiveEjectionDivisor of an ejection, comes last until it sends one. If it owes only one response it
	// gets twice the time, because a single call may just take long.
	unresponsiveServiceTimes    = 4
	unresponsiveEjectionDivisor = 25
)

// OutlierDetector records what this process sees of workers, by instance, and ejects those that fail. It implements the
// part of plan.LocalState that is about workers. It is safe for concurrent use.
type OutlierDetector struct {
	workers            *xsync.Map[string, *workerState]  // by instance
	unreachableProxies *xsync.Map[string, time.Duration] // until when a proxy that was not reached counts as unreachable
	unreachableCount   atomic.Int64                      // approximate size of unreachableProxies, so that it is rarely looked into
	maxFailures        atomic.Int64                      // consecutive failures that eject a worker
	ejectionNanos      atomic.Int64                      // how long an ejection lasts
}

// NewOutlierDetector returns a detector that ejects a worker for a time after maxFailures consecutive failures.
func NewOutlierDetector(maxFailures int64, ejection time.Duration) *OutlierDetector {
	d := &OutlierDetector{
		workers:            xsync.NewMap[string, *workerState](),
		unreachableProxies: xsync.NewMap[string, time.Duration](),
	}
	d.SetLimits(maxFailures, ejection)
	return d
}

// SetLimits sets other limits. What is known of workers is kept.
func (d *OutlierDetector) SetLimits(maxFailures int64, ejection time.Duration) {
	d.maxFailures.Store(maxFailures)
	d.ejectionNanos.Store(int64(ejection))
}

func (d *OutlierDetector) ejection() time.Duration { return time.Duration(d.ejectionNanos.Load()) }

// stateOf returns the state of a worker, added if there is none.
func (d *OutlierDetector) stateOf(instance string) *workerState {
	if state, found := d.workers.Load(instance); found {
		return state
	}
	state, _ := d.workers.LoadOrCompute(instance, func() (*workerState, bool) { return &workerState{}, false })
	return state
}

// Stats returns what this process knows of a worker.
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
	if isUnresponsive(&stats, sinceResponse, d.ejection()) {
		stats.Ejected = true
	}
	state.estimateOtherLoad(&stats, worker, now)
	return stats
}

// isUnresponsive reports whether a worker owes responses and has sent none for too long.
func isUnresponsive(stats *plan.EndpointStats, sinceResponse, ejection time.Duration) bool {
	if stats.InFlight <= 0 || stats.ServiceTime <= 0 {
		return false
	}
	expected := stats.ServiceTime + stats.ServiceTime/time.Duration(stats.InFlight)
	return sinceResponse > max(unresponsiveServiceTimes*expected, ejection/unresponsiveEjectionDivisor)
}

// RecordRun records how a call ended that a worker beside this process ran, whichever proxy forwarded it.
func (d *OutlierDetector) RecordRun(instance string, now time.Duration, failed bool) {
	state := d.stateOf(instance)
	state.lock.Lock()
	state.localCalls.add(now, d.ejection(), failed)
	state.lock.Unlock()
}

// RunCounts returns what is reported to other proxies of the calls that a worker beside this process ran recently; zeros
// if none failed.
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

// isProxyUnreachable reports whether a proxy was recently not reached.
func (d *OutlierDetector) isProxyUnreachable(proxy string, now time.Duration) bool {
	until, unreachable := d.unreachableProxies.Load(proxy)
	return unreachable && now < until
}

// MarkDisowned records that a worker's own proxy refused calls for it. Instances are not reused, so this is valid until
// the directory drops the worker.
func (d *OutlierDetector) MarkDisowned(instance string) { d.stateOf(instance).disowned.Store(true) }

// MarkUnreachable records that a proxy was not reached. Once is enough: unlike a worker's failure it affects every
// worker behind that proxy, and each further attempt would hang as long.
func (d *OutlierDetector) MarkUnreachable(proxy string, now time.Duration) {
	if _, wasUnreachable := d.unreachableProxies.LoadAndStore(proxy, now+d.ejection()); !wasUnreachable {
		d.unreachableCount.Add(1)
	}
}

// MarkReachable records that a proxy responded.
func (d *OutlierDetector) MarkReachable(proxy string) {
	if d.unreachableCount.Load() == 0 {
		return
	}
	if _, wasUnreachable := d.unreachableProxies.LoadAndDelete(proxy); wasUnreachable {
		d.unreachableCount.Add(-1)
	}
}

// BeginCall records a call sent to a worker. EndCall, CancelCall or RecordResponse must follow.
func (d *OutlierDetector) BeginCall(instance string, now time.Duration) {
	state := d.stateOf(instance)
	if state.inFlight.Add(1) == 1 {
		state.lastResponseAt.Store(int64(now))
	}
}

// EndCall records how a call ended, and ejects the worker after too many consecutive failures.
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

// CancelCall records that a call ended because its caller disconnected, which says nothing of the worker.
func (d *OutlierDetector) CancelCall(instance string) { d.stateOf(instance).inFlight.Add(-1) }

// RecordResponse records the response to a call sent to a worker, which arrived after elapsed: how the call ended, the load
// that the worker's proxy reported, and whether there was capacity.
func (d *OutlierDetector) RecordResponse(instance string, now, elapsed time.Duration, response *schema.ForwardResponse) {
	if state := d.stateOf(instance); isCapacityRefusal(response) {
		// It says nothing of the worker's health: the worker only comes last until it has capacity.
		state.inFlight.Add(-1)
		retryAfter := time.Duration(response.RetryAfterNanos)
		if retryAfter <= 0 {
			retryAfter = d.ejection() / fullEjectionDivisor
		}
		state.fullUntil.Store(int64(now + min(retryAfter, d.ejection())))
	} else {
		d.EndCall(instance, now, isFailure(response))
	}
	// Looked up again, because Retain may have dropped the state as soon as no call was in flight.
	state := d.stateOf(instance)
	if response.Slots > 0 || response.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		state.lastResponseAt.Store(int64(now))
	}
	state.observeLoad(now, elapsed, response)
}

// RefusalRate returns the part of the recent calls to a worker that were refused for lack of capacity.
func (d *OutlierDetector) RefusalRate(instance string) float64 {
	state := d.stateOf(instance)
	state.lock.Lock()
	defer state.lock.Unlock()
	return state.refusalRate
}

// RecordOffer records whether a worker accepted a call of a route.
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

// ShouldSkip reports whether a worker gets no offer of a call this time, because it refused many of the route, and
// when capacity is expected. A skipped offer counts as made, so that offers settle at a multiple of what is accepted.
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
	excess := acceptance.offered - maxOffersPerAccept*(acceptance.accepted+assumedAccepts)
	if excess <= 0 || random() >= excess/(acceptance.offered+1) {
		return 0, false
	}
	acceptance.offered++
	return max(time.Duration(state.fullUntil.Load())-now, d.ejection()/fullEjectionDivisor), true
}

// Retain forgets workers that are not listed any more, so that memory does not grow with replacements. Workers with calls
// in flight are kept until a later call.
func (d *OutlierDetector) Retain(listed map[string]bool) {
	d.workers.Range(func(instance string, state *workerState) bool {
		if !listed[instance] && state.inFlight.Load() == 0 {
			d.workers.Delete(instance)
		}
		return true
	})
}
