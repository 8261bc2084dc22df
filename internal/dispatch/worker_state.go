package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// workerState is what this process has seen of a worker. Times are on the clock of the process, in nanoseconds.
type workerState struct {
	inFlight            atomic.Int64 // calls from this process
	consecutiveFailures atomic.Int64
	ejectedUntil        atomic.Int64
	fullUntil           atomic.Int64 // without capacity until then
	lastResponseAt      atomic.Int64 // when its proxy last responded, or when the first of the calls in flight was sent
	disowned            atomic.Bool  // its proxy does not know it any more, or it is draining: it never comes back

	lock sync.Mutex // guards the fields below
	// The calls of this process; those of all callers as the worker's proxy reported them; and those of all callers
	// as this process saw them, where it is that proxy.
	ownCalls, reportedCalls, localCalls callRecord
	// The load that the worker's proxy last reported, less the calls of this process.
	loadReportedAt   time.Duration
	hasLoad          bool // a load was reported
	slots            int
	otherInFlight    float64       // calls of others, as of loadReportedAt
	baselineInFlight float64       // moving mean of otherInFlight
	serviceTime      time.Duration // as reported, or else as measured from here; 0 for not known
	refusalRate      float64       // part of the recent calls that were refused for lack of capacity
	// acceptance is by route, for routes of which the worker has refused calls recently.
	acceptance map[string]*routeAcceptance
}

// recentCalls returns how many calls the worker had recently and how many of them failed, from the record with the most
// calls: each caller's proxy alone sees few. Calls that are lost on the way to the worker's proxy are counted against
// that proxy, see MarkUnreachable. The caller holds the lock.
func (s *workerState) recentCalls(now, window time.Duration) (calls, failed float64) {
	calls, failed = s.ownCalls.decayed(now, window)
	for _, other := range [2]*callRecord{&s.reportedCalls, &s.localCalls} {
		if more, moreFailed := other.decayed(now, window); more > calls {
			calls, failed = more, moreFailed
		}
	}
	return calls, failed
}

// observeLoad records the load that was reported with a response.
func (s *workerState) observeLoad(now, took time.Duration, response *schema.ForwardResponse) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.refusalRate -= s.refusalRate / refusalAveragingDivisor
	if isCapacityRefusal(response) {
		s.refusalRate += 1.0 / refusalAveragingDivisor
	}
	// The worker's proxy knows best how long the worker takes: what is measured here includes network and queue.
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
	offered, accepted float64
	updatedAt         time.Duration
}

// fade decays the counts to a moment, to 1/e in a window.
func (a *routeAcceptance) fade(now, window time.Duration) {
	if now > a.updatedAt {
		decay := math.Exp(-float64(now-a.updatedAt) / float64(window))
		a.offered *= decay
		a.accepted *= decay
		a.updatedAt = now
	}
}

// estimateOtherLoad fills in the worker's slots and the calls of others there. Of the last response and the directory,
// the later report counts. The older the report is, the more it gives way to the baseline, because the calls that it
// counted are over by now. The caller holds the lock.
func (s *workerState) estimateOtherLoad(stats *plan.EndpointStats, worker *plan.Endpoint, now time.Duration) {
	switch {
	case !s.hasLoad && s.ownCalls.calls > 0:
		// The worker's responses report no load, and the directory's report is older than most calls last: by it,
		// all proxies would pick the same worker at once. Only the calls of this process are certain.
		stats.Slots, stats.OtherInFlight = 0, 0
		return
	case !s.hasLoad:
		stats.OtherInFlight = float64(worker.Running + worker.Waiting)
		return
	}
	stats.Slots = s.slots
	otherInFlight, reportedAt := s.otherInFlight, s.loadReportedAt
	if worker.ReportedAt > reportedAt {
		otherInFlight = max(0, float64(worker.Running+worker.Waiting-stats.InFlight))
		reportedAt = worker.ReportedAt
	}
	age := float64(now-reportedAt) / float64(max(stats.ServiceTime, time.Millisecond))
	stats.OtherInFlight = s.baselineInFlight + (otherInFlight-s.baselineInFlight)/(1+max(0, age))
}
