package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"meadowhinge/schema"
)

// workerState is what this process has seen of a worker.
type workerState struct {
	inFlight            atomic.Int64
	consecutiveFailures atomic.Int64 // in a row
	ejectedUntil        atomic.Int64 // ejected until
	fullUntil           atomic.Int64 // without room until
	lastResponseAt      atomic.Int64 // when its proxy answered last, or when calls began to wait there
	disowned            atomic.Bool  // its proxy knows it no more, or it is leaving: it never comes back

	lock sync.Mutex
	// Calls through this process; calls of all, as the worker's proxy told of them; and as this
	// process saw them, where it is that proxy.
	ownCalls, reportedCalls, localCalls callRecord
	// Its load as its proxy told it last, less what this process has there.
	loadReportedAt   time.Duration
	hasLoad          bool
	slots            int
	otherInFlight    float64       // at that time
	baselineInFlight float64       // moving mean of others
	serviceTime      time.Duration // as told, or else as seen from here; 0 for not known
	refusalRate      float64       // part of the calls of late that were refused for want of room
	// acceptance is by route, for those of which it turned calls away of late.
	acceptance map[string]*routeAcceptance
}

// recentCalls is how many calls a worker had of late and how many of them failed, by who saw the most of it:
// each caller's proxy alone sees few. What is lost on the way is the proxy's beside it, see Lost.
func (s *workerState) recentCalls(now, window time.Duration) (calls, failed float64) {
	calls, failed = s.ownCalls.decayed(now, window)
	for _, other := range [2]*callRecord{&s.reportedCalls, &s.localCalls} {
		if more, moreFailed := other.decayed(now, window); more > calls {
			calls, failed = more, moreFailed
		}
	}
	return calls, failed
}

// observeLoad takes the load that was told with an answer or a refusal.
func (s *workerState) observeLoad(now, took time.Duration, response *schema.ForwardResponse) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.refusalRate -= s.refusalRate / refusalAveragingDivisor
	if isCapacityRefusal(response) {
		s.refusalRate += 1.0 / refusalAveragingDivisor
	}
	// Its proxy knows best how long the worker takes; from here, the way and the wait are in it too.
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
	s.reportedCalls = callRecord{float64(response.RecentRuns), float64(min(response.RecentFailures, response.RecentRuns)), now}
	s.slots = int(response.Slots)
	s.otherInFlight = max(0, float64(int64(response.Running)+int64(response.Queued)-s.inFlight.Load()))
	if !s.hasLoad {
		s.baselineInFlight = s.otherInFlight
	}
	s.baselineInFlight += (s.otherInFlight - s.baselineInFlight) / baselineAveragingDivisor
	s.loadReportedAt, s.hasLoad = now, true
}

// routeAcceptance is of how many calls a worker was asked of late, and how many it took.
type routeAcceptance struct {
	offered, accepted float64
	updatedAt         time.Duration
}

func (a *routeAcceptance) fade(now, window time.Duration) {
	if now > a.updatedAt {
		decay := math.Exp(-float64(now-a.updatedAt) / float64(window))
		a.offered, a.accepted, a.updatedAt = a.offered*decay, a.accepted*decay, now
	}
}
