package release

import "math"

// exceedsBaseline reports whether a failure rate is above what the old version's rate allows.
func (o Options) exceedsBaseline(newRate, oldRate float64) bool {
	return newRate > o.FailureRateMultiple*oldRate+o.FailureRateMargin
}

// standardError is the standard error of the difference between two versions' failure rates under the
// hypothesis that they are equal: sqrt(p*(1-p)*(1/n1 + 1/n2)), with p the failure rate of both together.
// An old version without calls leaves its term out. The new version must have calls.
func standardError(oldStats, newStats CallStats) float64 {
	combined := oldStats
	combined.add(newStats)
	rate := combined.failureRate()
	inverseCalls := 1 / float64(newStats.Calls)
	if oldStats.Calls > 0 {
		inverseCalls += 1 / float64(oldStats.Calls)
	}
	return math.Sqrt(rate * (1 - rate) * inverseCalls)
}

// baselineWeightLimit bounds the weight of the baseline beside the old version's calls in the window,
// as a multiple of MinCalls.
const baselineWeightLimit = 10

// IsFailing reports whether the new version fails or is slow compared with the old one, on all routes
// together or on one of them, and in what way. A fault that hits both versions alike does not
// count against the new one. The baseline, by route, is what was counted of an old version that no longer
// gets enough calls to be compared with; it is nil otherwise.
func (o Options) IsFailing(counts VersionCounts, baseline map[string]CallStats) (verdict string, failing bool) {
	if verdict, failing = o.compareVersions(total(counts.Old), total(counts.New), total(baseline), onAllRoutes); failing {
		return verdict, true
	}
	for route, newStats := range counts.New {
		oldStats := counts.Old[route]
		// An old version without calls on the route is known by its calls on the others only.
		if oldStats.Calls == 0 {
			oldStats = total(counts.Old)
		}
		if verdict, failing = o.compareVersions(oldStats, newStats, baseline[route], onRoute(route)); failing {
			return verdict, true
		}
	}
	return "", false
}

// compareVersions compares the two versions on one route or on all; where completes the verdict.
func (o Options) compareVersions(oldStats, newStats, baseline CallStats, where string) (verdict string, failing bool) {
	oldStats.add(baseline.cappedAt(baselineWeightLimit * o.MinCalls))
	oldRate, newRate := oldStats.failureRate(), newStats.failureRate()
	if newStats.Failures >= o.FailureThreshold && o.exceedsBaseline(newRate, oldRate) &&
		newRate-oldRate > o.MinStandardErrors*standardError(oldStats, newStats) {
		return "fails " + where, true
	}
	if newStats.Calls >= o.MinCalls && oldStats.Calls >= o.MinCalls &&
		newStats.meanLatency() > o.LatencyMultiple*oldStats.meanLatency() {
		return "is slow " + where, true
	}
	return "", false
}

// onAllRoutes and onRoute say where a version fails. They are part of stored reasons.
const onAllRoutes = "on the whole"

func onRoute(route string) string { return "on route " + route }

// busyRouteMultiple is the multiple of MinCalls that the old version must have had on a route for a ramp
// to wait until the new version is known there.
const busyRouteMultiple = 10

// isProven reports whether the new version has had enough calls on every busy route of the old one, and
// does not fail more often there. Routes with few calls do not count, or they would hold a plan up
// for ever; without any busy route, the new version's calls on all routes count.
func (o Options) isProven(counts VersionCounts) bool {
	anyBusyRoute := false
	for route, oldStats := range counts.Old {
		if oldStats.Calls < busyRouteMultiple*o.MinCalls {
			continue
		}
		anyBusyRoute = true
		newStats := counts.New[route]
		if newStats.Calls < o.MinCalls || o.exceedsBaseline(newStats.failureRate(), oldStats.failureRate()) {
			return false
		}
	}
	return anyBusyRoute || total(counts.New).Calls >= o.MinCalls
}
