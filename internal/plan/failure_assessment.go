package plan

import (
	"math"
)

// assessFailures reports whether a worker is ejected, or else whether it is avoided for this call because it fails more
// than the others. calls and failures are the recent ones of the other sampled workers. The decision to avoid is random,
// with a probability that rises with the excess failure rate. Recorded failures decay, so the worker gets its calls back
// gradually.
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
	// With few calls, the excess must be large to be significant. With many calls, an excess beyond the standard errors
	// is enough.
	certainExcess := excess - failureStandardErrors*math.Sqrt(failureRate*(1-failureRate)/(stats.RecentCalls+assumedSuccesses))
	probability := max((excess-excessFailureStart)/(excessFailureAlways-excessFailureStart), certainExcess/excessFailureStart)
	return false, probability > 0 && (probability >= 1 || p.random() < probability)
}

// likelyFull reports whether a worker that recently had no capacity for a call likely has none for this one either. It
// depends on the call: a worker that is too busy for one route's latency target may be fast enough for another's.
func (p *picker) likelyFull(scored *scoredEndpoint) bool {
	if scored.stats.Slots == 0 || p.latencyTarget <= 0 {
		return true
	}
	return scored.expectedWait+fullServiceTimes*float64(scored.stats.ServiceTime) > float64(p.latencyTarget)
}
