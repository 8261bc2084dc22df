package release

import "math"

// Parameters of the two hypotheses. Each is a rate of bad calls, as a fraction of calls, derived from the old
// version's rate.
const (
	healthyRateFloor    = 0.06 // rate allowed to a healthy version even if the old one never fails
	healthyRateMultiple = 1.5  // multiple of the old version's rate that a healthy version may have
	healthyRateMargin   = 0.03 // rate that a healthy version may have in addition to that multiple
	maxHealthyRate      = 0.5  // upper limit of the healthy rate
	badRateMargin       = 0.2  // smallest difference between the bad and the healthy rate
	badRateMultiple     = 2    // smallest ratio of the bad to the healthy rate
	maxBadRate          = 0.95 // upper limit of the bad rate, which keeps ln(1 - rate) finite
)

// Parameters of the comparison with the old version's recent calls.
const (
	recentDecay               = 0.8   // factor applied to recent counts at each observation
	recentMinCalls            = 20    // recent calls of the old version from which its recent rate is used
	baselineSignificanceLevel = 0.001 // p-value up to which the old version is taken to fail less often than the new one
)

// allRoutes is the key of the evidence on all routes together.
const allRoutes = ""

// outcomeCounts counts ended calls, and the bad ones among them, which failed or were too slow. Counts become
// fractional when they decay.
type outcomeCounts struct{ total, bad float64 }

// add adds the counts of other to o.
func (o *outcomeCounts) add(other outcomeCounts) {
	o.total += other.total
	o.bad += other.bad
}

// decayAndAdd multiplies the counts by recentDecay and adds new outcomes.
func (o *outcomeCounts) decayAndAdd(fresh outcomeCounts) {
	o.total = recentDecay*o.total + fresh.total
	o.bad = recentDecay*o.bad + fresh.bad
}

// badRate returns the fraction of calls that were bad, 0 without calls.
func (o outcomeCounts) badRate() float64 {
	if o.total == 0 {
		return 0
	}
	return o.bad / o.total
}

// outcomesOf counts as bad the failures and the calls in latency bucket slowFrom or above.
func outcomesOf(stats CallStats, slowFrom int) outcomeCounts {
	bad := stats.Failures
	for bucket := slowFrom; bucket < LatencyBucketCount; bucket++ {
		bad += stats.LatencyBuckets[bucket]
	}
	return outcomeCounts{total: float64(stats.Calls), bad: float64(min(bad, stats.Calls))}
}

// FailureEvidence is a sequential test, call by call, of the hypothesis that the new version is bad against
// the hypothesis that it is healthy. It keeps a CUSUM of log-likelihood ratios (Page's test) for each route and
// for all routes together: the sum of ln(P(call | bad) / P(call | healthy)), reset to 0 whenever it becomes
// negative. Because of the reset, earlier good calls do not delay the detection of a version that turns bad
// late. Each route has its own sum, so that one bad route is detected among many good ones.
//
// The zero value is ready to use. It is not safe for concurrent use.
type FailureEvidence struct {
	routes     map[string]*routeEvidence // evidence by route; allRoutes is the key of the overall evidence
	lastCounts VersionCounts             // counts passed to the last call of Observe
}

// routeEvidence is the evidence on one route, or on all together.
type routeEvidence struct {
	cusum     float64       // sum of log-likelihood ratios, reset to 0 when negative
	logOdds   float64       // sum of log-likelihood ratios without reset; negative if "healthy" is likelier
	recentOld outcomeCounts // outcomes of the old version, decayed by recentDecay at each observation
	recentNew outcomeCounts // outcomes of the new version, decayed by recentDecay at each observation
}

// LogOdds returns the natural logarithm of the likelihood ratio of "bad" to "healthy" over all calls so far.
// The difference between two readings is the evidence of the calls in between.
func (e *FailureEvidence) LogOdds() float64 {
	if overall := e.routes[allRoutes]; overall != nil {
		return overall.logOdds
	}
	return 0
}

// Observe takes the counts since the proxies started, and tests the calls that were added since the last
// observation. It returns the strongest evidence of all routes as a fraction of Options.RollbackLogOdds, and
// the verdict for it. The version must be stopped if the strength is 1 or more. allCalls says that the plan
// gives the new version all calls, so that there is no old version to compare it with.
func (e *FailureEvidence) Observe(options Options, counts VersionCounts, allCalls bool) (strength float64, verdict string) {
	sinceLast := counts.Since(e.lastCounts)
	e.lastCounts = counts
	var fresh, baseline, recent outcomeCounts
	for route, stats := range sinceLast.New {
		slowFrom := slowBucket(counts.Old[route])
		freshOnRoute := outcomesOf(stats, slowFrom)
		baselineOnRoute := outcomesOf(counts.Old[route], slowFrom)
		recentOnRoute := outcomesOf(sinceLast.Old[route], slowFrom)
		e.routeEvidenceFor(route).observe(freshOnRoute, baselineOnRoute, recentOnRoute)
		fresh.add(freshOnRoute)
		baseline.add(baselineOnRoute)
		recent.add(recentOnRoute)
	}
	overall := e.routeEvidenceFor(allRoutes)
	overall.observe(fresh, baseline, recent)
	return e.strongestEvidence(options, overall, allCalls)
}

// routeEvidenceFor returns the evidence on a route, and creates it on first use.
func (e *FailureEvidence) routeEvidenceFor(route string) *routeEvidence {
	if e.routes == nil {
		e.routes = map[string]*routeEvidence{}
	}
	if e.routes[route] == nil {
		e.routes[route] = &routeEvidence{}
	}
	return e.routes[route]
}

// strongestEvidence returns the strongest evidence of all routes, except those where the old version's recent
// calls fail as often: a fault that affects both versions counts against neither. The recent calls of both
// cover the same time, so that such a fault begins for both in the same observation. No route is excepted if the
// plan gives the new version all calls, or if the old version gets too few.
func (e *FailureEvidence) strongestEvidence(options Options, overall *routeEvidence, allCalls bool) (strength float64, verdict string) {
	oldHasFewCalls := allCalls || overall.recentOld.total*sparseBaselineRatio < overall.recentNew.total
	for route, evidence := range e.routes {
		oldOutcomes := evidence.recentOld
		// An old version without recent calls on the route is represented by its recent calls on all routes.
		if oldOutcomes.total < 1 {
			oldOutcomes = overall.recentOld
		}
		routeStrength := evidence.cusum / options.RollbackLogOdds
		if routeStrength <= strength {
			continue
		}
		if oldHasFewCalls || binomialCDF(oldOutcomes, evidence.recentNew.badRate()) <= baselineSignificanceLevel {
			strength, verdict = routeStrength, "fails or is slow "+describeRoute(route)
		}
	}
	return strength, verdict
}

// observe adds the evidence of fresh calls of the new version. baseline holds all calls of the old version and
// recent its latest ones. The old version's rate is the higher of the rates of the two.
func (e *routeEvidence) observe(fresh, baseline, recent outcomeCounts) {
	e.recentOld.decayAndAdd(recent)
	e.recentNew.decayAndAdd(fresh)
	oldRate := baseline.badRate()
	if e.recentOld.total >= recentMinCalls {
		oldRate = max(oldRate, e.recentOld.badRate())
	}
	healthyRate := min(maxHealthyRate, max(healthyRateFloor, healthyRateMultiple*oldRate+healthyRateMargin))
	badRate := min(maxBadRate, max(healthyRate+badRateMargin, badRateMultiple*healthyRate))
	// The likelihood ratio of a bad call is badRate/healthyRate, that of a good one (1-badRate)/(1-healthyRate).
	logLikelihoodRatio := fresh.bad*math.Log(badRate/healthyRate) +
		(fresh.total-fresh.bad)*math.Log((1-badRate)/(1-healthyRate))
	e.cusum = max(0, e.cusum+logLikelihoodRatio)
	e.logOdds += logLikelihoodRatio
}

// describeRoute names a key of FailureEvidence.routes in a verdict.
func describeRoute(route string) string {
	if route == allRoutes {
		return onAllRoutes
	}
	return onRoute(route)
}
