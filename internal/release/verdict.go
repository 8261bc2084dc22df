package release

import "math"

// exceedsAllowedRate reports whether the new version's failure rate is above the one that the old version's rate
// allows.
func (o Options) exceedsAllowedRate(newRate, oldRate float64) bool {
	return newRate > o.FailureRateMultiple*oldRate+o.FailureRateMargin
}

// standardError returns the standard error of the difference between two versions' failure rates under the
// hypothesis that they are equal: sqrt(p*(1-p)*(1/n1 + 1/n2)), where p is the pooled failure rate. The term
// of an old version without calls is omitted. The new version must have calls.
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

// baselineWeightLimit limits the calls of the baseline that are added to the old version's calls in the
// window, as a multiple of MinCalls.
const baselineWeightLimit = 10

// IsFailing reports whether the new version fails or is slow compared with the old one, on all routes
// together or on a single one, and returns a verdict that says how. A fault that affects both versions alike
// does not count against the new one. The baseline holds all counts, by route, of an old version that no longer gets
// enough calls for a comparison. It is nil otherwise.
func (o Options) IsFailing(counts VersionCounts, baseline map[string]CallStats) (verdict string, failing bool) {
	if verdict, failing = o.compareVersions(total(counts.Old), total(counts.New), total(baseline), onAllRoutes); failing {
		return verdict, true
	}
	for route, newStats := range counts.New {
		oldStats := counts.Old[route]
		// An old version without calls on the route is represented by its calls on all others.
		if oldStats.Calls == 0 {
			oldStats = total(counts.Old)
		}
		if verdict, failing = o.compareVersions(oldStats, newStats, baseline[route], onRoute(route)); failing {
			return verdict, true
		}
	}
	return "", false
}

// compareVersions compares the two versions by counts of one route or of all. where names the routes in the
// verdict.
func (o Options) compareVersions(oldStats, newStats, baseline CallStats, where string) (verdict string, failing bool) {
	oldStats.add(baseline.cappedAt(baselineWeightLimit * o.MinCalls))
	oldRate, newRate := oldStats.failureRate(), newStats.failureRate()
	if newStats.Failures >= o.FailureThreshold && o.exceedsAllowedRate(newRate, oldRate) &&
		newRate-oldRate > o.MinStandardErrors*standardError(oldStats, newStats) {
		return "fails " + where, true
	}
	if newStats.Calls >= o.MinCalls && oldStats.Calls >= o.MinCalls &&
		newStats.meanLatency() > o.LatencyMultiple*oldStats.meanLatency() {
		return "is slow " + where, true
	}
	return "", false
}

// onAllRoutes names all routes together in a verdict. It is part of stored reasons.
const onAllRoutes = "on the whole"

// onRoute names one route in a verdict. The text is part of stored reasons.
func onRoute(route string) string { return "on route " + route }

// busyRouteMultiple gives the number of the old version's calls, as a multiple of MinCalls, from which a route
// is busy. A ramp plan waits until the new version has enough calls on every busy route.
const busyRouteMultiple = 10

// isProven reports whether the new version has received at least MinCalls calls on every busy route of the old
// one, and its failure rate there is within the allowed one. Routes with few calls are ignored, because they
// would delay a plan forever. Without any busy route, the new version's calls on all routes are counted together.
func (o Options) isProven(counts VersionCounts) bool {
	anyBusyRoute := false
	for route, oldStats := range counts.Old {
		if oldStats.Calls < busyRouteMultiple*o.MinCalls {
			continue
		}
		anyBusyRoute = true
		newStats := counts.New[route]
		if newStats.Calls < o.MinCalls || o.exceedsAllowedRate(newStats.failureRate(), oldStats.failureRate()) {
			return false
		}
	}
	return anyBusyRoute || total(counts.New).Calls >= o.MinCalls
}
