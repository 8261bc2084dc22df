package plan

import (
	"math"
)

// assessFailures reports whether a worker is ejected for now, or else whether it is avoided this time for failing more
// than the others do. calls and failures are those of the others. Recorded failures decay, so the worker gets its calls
// back gradually.
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
	// Of few calls many must fail to be significant; of many, the excess beyond the standard error is enough.
	certainExcess := excess - failureStandardErrors*math.Sqrt(failureRate*(1-failureRate)/(stats.RecentCalls+assumedSuccesses))
	probability := max((excess-excessFailureStart)/(excessFailureAlways-excessFailureStart), certainExcess/excessFailureStart)
	return false, probability > 0 && (probability >= 1 || p.random() < probability)
}

// likelyFull reports whether a worker that recently had no capacity for a call likely has none for this one: a request
// that is too late for one route's latency target may be in time for another's.
func (p *picker) likelyFull(rated *ratedEndpoint) bool {
	if rated.stats.Slots == 0 || p.latencyTarget <= 0 {
		return true
	}
	return rated.expectedWait+fullServiceTimes*float64(rated.stats.ServiceTime) > float64(p.latencyTarget)
}
