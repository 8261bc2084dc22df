package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Ratios of outlier detection. A divisor n stands for the fraction 1/n.
const (
	fullEjectionDivisor         = 64   // a worker without capacity is tried last for 1/64 of an ejection if it reports no time
	refusalAveragingDivisor     = 8    // weight of one response in the refusal rate is 1/8
	baselineAveragingDivisor    = 16.0 // weight of one report in the baseline load is 1/16
	serviceTimeAveragingDivisor = 8    // weight of one report in the service time is 1/8

	// A worker that refuses many calls of a route is offered at most maxOffersPerAccept times as many as it accepts,
	// measured over 1/offerWindowDivisor of an ejection. A call that the worker refuses costs the worker and its network
	// as much as it costs the caller. If this proxy skips the worker instead, the caller also learns of the refusal
	// sooner.
	maxOffersPerAccept = 2
	offerWindowDivisor = 2
	assumedAccepts     = 1 // accepted calls that are assumed in addition to those counted

	// A worker with calls in flight is unresponsive if no response has come for unresponsiveServiceTimes times its
	// service time, and for 1/unresponsiveEjectionDivisor of an ejection. It is tried last until a response comes. With n
	// calls in flight the service time counts 1+1/n times, twice for a single call, because one call may simply take
	// long.
	unresponsiveServiceTimes    = 4
	unresponsiveEjectionDivisor = 25
)

// OutlierDetector records the health and load of workers as this process observes them, and ejects workers that fail.
// An ejected worker is tried last. The detector implements the part of plan.LocalState that is about workers. It is
// safe for concurrent use.
type OutlierDetector struct {
	workers            *xsync.Map[string, *workerState]  // keyed by instance
	unreachableProxies *xsync.Map[string, time.Duration] // keyed by proxy: the end of the time it counts as unreachable
	unreachableCount   atomic.Int64                      // approximate size of unreachableProxies; 0 saves the lookup
	maxFailures        atomic.Int64                      // consecutive failures that eject a worker
	ejectionNanos      atomic.Int64                      // duration of an ejection, in nanoseconds
}

// NewOutlierDetector returns a detector that ejects a worker after maxFailures consecutive failures, for the duration
// ejection.
func NewOutlierDetector(maxFailures int64, ejection time.Duration) *OutlierDetector {
	d := &OutlierDetector{
		workers:            xsync.NewMap[string, *workerState](),
		unreachableProxies: xsync.NewMap[string, time.Duration](),
	}
	d.SetLimits(maxFailures, ejection)
	return d
}

// SetLimits replaces the limits given to [NewOutlierDetector]. The state of workers and ejections under way are kept.
func (d *OutlierDetector) SetLimits(maxFailures int64, ejection time.Duration) {
	d.maxFailures.Store(maxFailures)
	d.ejectionNanos.Store(int64(ejection))
}

// ejection returns the duration of an ejection.
func (d *OutlierDetector) ejection() time.Duration { return time.Duration(d.ejectionNanos.Load()) }

// stateOf returns the state of a worker, and adds one if there is none.
func (d *OutlierDetector) stateOf(instance string) *workerState {
	if state, found := d.workers.Load(instance); found {
		return state
	}
	state, _ := d.workers.LoadOrCompute(instance, func() (*workerState, bool) { return &workerState{}, false })
	return state
}

// Stats returns the health and load of a worker as far as this process knows them. For a worker that this process has
// not called, it returns what the directory reports.
func (d *OutlierDetector) Stats(worker *plan.Endpoint, now time.Duration) plan.EndpointStats {
	stats := plan.EndpointStats{Slots: worker.Slots, ServiceTime: worker.ServiceTime}
	unreachable := d.unreachableCount.Load() > 0 && d.isProxyUnreachable(worker.Proxy, now)
	state, found := d.workers.Load(worker.Instance)
	if !found {
		stats.OtherInFlight = float64(worker.ActiveRequests + worker.QueuedRequests)
		stats.Unreachable, stats.Ejected = unreachable, unreachable
		return stats
	}
	stats.InFlight = int(state.inFlight.Load())
	sinceResponse := now - time.Duration(state.lastResponseAt.Load())
	stats.AtCapacity = int64(now) < state.fullUntil.Load()
	stats.Unreachable = unreachable || state.retired.Load()
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

// isUnresponsive reports whether a worker has calls in flight and no response has come for too long. sinceResponse is
// the time since its last response, or since its first call in flight was sent.
func isUnresponsive(stats *plan.EndpointStats, sinceResponse, ejection time.Duration) bool {
	if stats.InFlight <= 0 || stats.ServiceTime <= 0 {
		return false
	}
	expected := stats.ServiceTime + stats.ServiceTime/time.Duration(stats.InFlight)
	return sinceResponse > max(unresponsiveServiceTimes*expected, ejection/unresponsiveEjectionDivisor)
}

// RecordRun records how a call ended that a local worker ran, whichever proxy forwarded it.
func (d *OutlierDetector) RecordRun(instance string, now time.Duration, failed bool) {
	state := d.stateOf(instance)
	state.lock.Lock()
	state.localCalls.add(now, d.ejection(), failed)
	state.lock.Unlock()
}

// RunCounts returns how many calls a local worker ran recently and how many of them failed, for the report to other
// proxies. It returns zeros if none failed.
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

// isProxyUnreachable reports whether an attempt to reach a proxy has failed within the duration of an ejection, and no
// response has come from it since.
func (d *OutlierDetector) isProxyUnreachable(proxy string, now time.Duration) bool {
	until, unreachable := d.unreachableProxies.Load(proxy)
	return unreachable && now < until
}

// MarkRetired records that the worker's proxy refused a call because the worker is deregistered or draining. Instances
// are not reused, so this holds until the directory drops the worker.
func (d *OutlierDetector) MarkRetired(instance string) { d.stateOf(instance).retired.Store(true) }

// MarkUnreachable records that a proxy was not reached. All workers behind it are ejected at once, because the proxy's
// failure affects each of them and each further attempt would hang as long.
func (d *OutlierDetector) MarkUnreachable(proxy string, now time.Duration) {
	if _, wasUnreachable := d.unreachableProxies.LoadAndStore(proxy, now+d.ejection()); !wasUnreachable {
		d.unreachableCount.Add(1)
	}
}

// MarkReachable records that a proxy responded, which ends the effect of [OutlierDetector.MarkUnreachable].
func (d *OutlierDetector) MarkReachable(proxy string) {
	if d.unreachableCount.Load() == 0 {
		return
	}
	if _, wasUnreachable := d.unreachableProxies.LoadAndDelete(proxy); wasUnreachable {
		d.unreachableCount.Add(-1)
	}
}

// BeginCall records that a call is sent to a worker. EndCall, CancelCall or RecordResponse must follow.
func (d *OutlierDetector) BeginCall(instance string, now time.Duration) {
	state := d.stateOf(instance)
	if state.inFlight.Add(1) == 1 {
		state.lastResponseAt.Store(int64(now))
	}
}

// EndCall records how a call ended. It ejects the worker after as many consecutive failures as the limits set.
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

// CancelCall records that a call ended because its caller disconnected, which says nothing about the worker's health.
func (d *OutlierDetector) CancelCall(instance string) { d.stateOf(instance).inFlight.Add(-1) }

// RecordResponse records the response to a call: how the call ended, the reported load, and whether there was capacity.
// elapsed is the time since the call was sent.
func (d *OutlierDetector) RecordResponse(instance string, now, elapsed time.Duration, response *schema.ForwardResponse) {
	if state := d.stateOf(instance); isCapacityRefusal(response) {
		// A lack of capacity says nothing about the worker's health: the worker is only tried last until it has some.
		state.inFlight.Add(-1)
		retryAfter := time.Duration(response.RetryAfterNanos)
		if retryAfter <= 0 {
			retryAfter = d.ejection() / fullEjectionDivisor
		}
		state.fullUntil.Store(int64(now + min(retryAfter, d.ejection())))
	} else {
		d.EndCall(instance, now, isFailure(response))
	}
	// The state is looked up again, because Retain may have dropped it as soon as no call was in flight.
	state := d.stateOf(instance)
	if response.Slots > 0 || response.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		state.lastResponseAt.Store(int64(now))
	}
	state.observeLoad(now, elapsed, response)
}

// RefusalRate returns the fraction of the recent calls to a worker that were refused for lack of capacity.
func (d *OutlierDetector) RefusalRate(instance string) float64 {
	state := d.stateOf(instance)
	state.lock.Lock()
	defer state.lock.Unlock()
	return state.refusalRate
}

// RecordOffer records whether a worker accepted a call of a route. The call was accepted unless the response is a
// refusal for lack of capacity.
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
	acceptance.decay(now, d.ejection()/offerWindowDivisor)
	if acceptance.offered++; !full {
		acceptance.accepted++
	}
}

// ShouldSkip reports whether a worker is not offered a call because it refused many calls of the route. If so, it also
// returns the time after which capacity is expected. The more calls were refused, the more are skipped, at random. A
// skipped offer counts as made, so that the offers settle at about maxOffersPerAccept times the accepted calls.
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
	acceptance.decay(now, d.ejection()/offerWindowDivisor)
	excess := acceptance.offered - maxOffersPerAccept*(acceptance.accepted+assumedAccepts)
	if excess <= 0 || random() >= excess/(acceptance.offered+1) {
		return 0, false
	}
	acceptance.offered++
	return max(time.Duration(state.fullUntil.Load())-now, d.ejection()/fullEjectionDivisor), true
}

// Retain drops the state of workers that are not in listed, so that memory does not grow as workers are replaced. The
// state of a worker with calls in flight is kept until a later call of Retain.
func (d *OutlierDetector) Retain(listed map[string]bool) {
	d.workers.Range(func(instance string, state *workerState) bool {
		if !listed[instance] && state.inFlight.Load() == 0 {
			d.workers.Delete(instance)
		}
		return true
	})
}
