package plan

import (
	"math"
)

// assessFailures tells whether a worker is lost for now, or else whether it is passed by this time for failing
// more than the others do. As what was seen of it fades, it gets its calls back by and by.
func (p *picker) assessFailures(stats *EndpointStats, calls, failures float64) (ejected, avoid bool) {
	otherRate := failures / (calls + assumedSuccesses)
	switch {
	case stats.Unreachable, stats.Ejected && otherRate < commonFailureRate:
		return true, false
	case stats.RecentFailures == 0:
		return false, false
	}
	failureRate := stats.RecentFailures / (stats.RecentCalls + assumedSuccesses)
	excess := failureRate - otherRate
	// Few calls have to fail by much to be believed; of many, what is beyond doubt is enough.
	certainExcess := excess - failureStandardErrors*math.Sqrt(failureRate*(1-failureRate)/(stats.RecentCalls+assumedSuccesses))
	probability := max((excess-excessFailureStart)/(excessFailureAlways-excessFailureStart), certainExcess/excessFailureStart)
	return false, probability > 0 && (probability >= 1 || p.random() < probability)
}

// likelyFull tells whether a worker that had no room for a call a moment ago has likely none for this
// one: what one route's aim does not allow, another's may.
func (p *picker) likelyFull(rated *ratedEndpoint) bool {
	return rated.stats.Slots == 0 || p.latencyTarget <= 0 || rated.expectedWait+fullServiceTimes*float64(rated.stats.ServiceTime) > float64(p.latencyTarget)
}
