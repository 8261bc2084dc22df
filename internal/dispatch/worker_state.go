package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// workerState is the health and load of one worker as this process has observed them. Times are on the process clock;
// the atomic ones are in nanoseconds.
type workerState struct {
	inFlight            atomic.Int64 // calls that this process has sent to the worker and that have not ended
	consecutiveFailures atomic.Int64 // failures since the last success or ejection
	ejectedUntil        atomic.Int64 // end of the last ejection; 0 if there was none
	fullUntil           atomic.Int64 // expected end of a lack of capacity; 0 if there was none
	lastResponseAt      atomic.Int64 // last response of the worker's proxy, or the start of the first call in flight if later
	retired             atomic.Bool  // the worker's proxy refused calls because the worker is deregistered or draining

	lock          sync.Mutex // guards the fields below
	ownCalls      callRecord // calls of this process
	reportedCalls callRecord // calls of all callers, as the worker's proxy reported them
	localCalls    callRecord // calls of all callers, as this process ran them; empty unless it is the worker's proxy

	loadReportedAt   time.Duration // time of the last response that reported the load
	hasLoad          bool          // a response has reported the load
	slots            int           // requests that the worker runs at once, as last reported
	otherInFlight    float64       // running and waiting calls of other processes, at loadReportedAt
	baselineInFlight float64       // moving mean of otherInFlight
	// serviceTime is the moving mean of the reported service time, or of the measured response time if none is reported;
	// 0 if neither is known.
	serviceTime time.Duration
	refusalRate float64 // fraction of the recent calls that were refused for lack of capacity, a moving mean
	// acceptance counts offered and accepted calls by route, for routes of which the worker has refused calls.
	acceptance map[string]*routeAcceptance
}

// recentCalls returns how many calls the worker had recently and how many of them failed, from the record with the most
// calls, because a single caller's proxy sees only few of them. Calls that were lost on the way to the worker's proxy
// are counted against that proxy, see MarkUnreachable. The caller holds the lock.
func (s *workerState) recentCalls(now, window time.Duration) (calls, failed float64) {
	calls, failed = s.ownCalls.decayed(now, window)
	for _, other := range [2]*callRecord{&s.reportedCalls, &s.localCalls} {
		if more, moreFailed := other.decayed(now, window); more > calls {
			calls, failed = more, moreFailed
		}
	}
	return calls, failed
}

// observeLoad records the load that a response reports. took is the time from sending the call to its response.
func (s *workerState) observeLoad(now, took time.Duration, response *schema.ForwardResponse) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.refusalRate -= s.refusalRate / refusalAveragingDivisor
	if isCapacityRefusal(response) {
		s.refusalRate += 1.0 / refusalAveragingDivisor
	}
	// The service time that the worker's proxy measured is preferred: the time measured here includes the network and
	// the queue.
	reported := time.Duration(response.ServiceTimeNanos)
	if reported == 0 && response.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED {
		reported = took
	}
	if s.serviceTime == 0 {
		s.serviceTime = reported
	}
	if reported > 0 {
		s.serviceTime += (reported - s.serviceTime) / serviceTimeAveragingDivisor
	}
	if response.Slots == 0 {
		return
	}
	s.reportedCalls = callRecord{
		calls:     float64(response.RecentRuns),
		failed:    float64(min(response.RecentFailures, response.RecentRuns)),
		updatedAt: now,
	}
	s.slots = int(response.Slots)
	s.otherInFlight = max(0, float64(int64(response.Running)+int64(response.Queued)-s.inFlight.Load()))
	if !s.hasLoad {
		s.baselineInFlight = s.otherInFlight
	}
	s.baselineInFlight += (s.otherInFlight - s.baselineInFlight) / baselineAveragingDivisor
	s.loadReportedAt, s.hasLoad = now, true
}

// routeAcceptance counts how many calls of a route were recently offered to a worker, and how many it accepted.
type routeAcceptance struct {
	offered, accepted float64       // decayed up to updatedAt
	updatedAt         time.Duration // time of the last decay, on the process clock
}

// decay decays both counts up to now, exponentially, to 1/e in each window.
func (a *routeAcceptance) decay(now, window time.Duration) {
	if now > a.updatedAt {
		factor := math.Exp(-float64(now-a.updatedAt) / float64(window))
		a.offered *= factor
		a.accepted *= factor
		a.updatedAt = now
	}
}

// estimateOtherLoad sets the worker's slots and the estimated calls of other processes in stats. It uses the report of
// the last response or that of the directory, whichever is later. As the report ages, the estimate approaches the
// baseline, because the calls that the report counted have ended by then. The caller holds the lock.
func (s *workerState) estimateOtherLoad(stats *plan.EndpointStats, worker *plan.Endpoint, now time.Duration) {
	switch {
	case !s.hasLoad && s.ownCalls.calls > 0:
		// The worker's responses report no load, and the directory's report is older than most calls last. If all
		// proxies used it, all would pick the same worker at once. Only the calls of this process are certain.
		stats.Slots, stats.OtherInFlight = 0, 0
		return
	case !s.hasLoad:
		stats.OtherInFlight = float64(worker.ActiveRequests + worker.QueuedRequests)
		return
	}
	stats.Slots = s.slots
	otherInFlight, reportedAt := s.otherInFlight, s.loadReportedAt
	if worker.ReportedAt > reportedAt {
		otherInFlight = max(0, float64(worker.ActiveRequests+worker.QueuedRequests-stats.InFlight))
		reportedAt = worker.ReportedAt
	}
	age := float64(now-reportedAt) / float64(max(stats.ServiceTime, time.Millisecond))
	stats.OtherInFlight = s.baselineInFlight + (otherInFlight-s.baselineInFlight)/(1+max(0, age))
}
