package release

import "math"

// The rates of bad calls that stand for a healthy and for a bad version, as fractions of calls. Both
// follow from the old version's rate.
const (
	healthyRateFloor    = 0.06 // a healthy version may fail this often even beside one that never fails
	healthyRateMultiple = 1.5  // allowed multiple of the old version's rate
	healthyRateMargin   = 0.03 // allowed beyond that multiple
	maxHealthyRate      = 0.5  // a version that fails more often is never healthy
	badRateMargin       = 0.2  // a bad version fails at least this much more often than a healthy one may
	badRateMultiple     = 2    // and at least this many times as often
	maxBadRate          = 0.95
)

// Bounds of the comparison with the old version's recent calls.
const (
	recentDecay         = 0.8   // factor by which recent counts shrink with each observation
	recentMinCalls      = 20    // recent calls of the old version from which its recent rate is known
	maxAlikeProbability = 0.001 // probability below which the old version does not fail like the new one
)

// allRoutes is the key of the evidence on all routes together.
const allRoutes = ""

// outcomeCounts counts calls that ended, and those of them that ended badly: failed or too slow. The
// numbers are fractions of calls where older ones have decayed.
type outcomeCounts struct{ total, bad float64 }

func (o *outcomeCounts) add(other outcomeCounts) {
	o.total += other.total
	o.bad += other.bad
}

// decay weighs what was counted before by recentDecay and adds new outcomes.
func (o *outcomeCounts) decay(fresh outcomeCounts) {
	o.total = recentDecay*o.total + fresh.total
	o.bad = recentDecay*o.bad + fresh.bad
}

func (o outcomeCounts) badRate() float64 {
	if o.total == 0 {
		return 0
	}
	return o.bad / o.total
}

// outcomesOf counts failures, and calls in the bucket slowFrom or above, as bad.
func outcomesOf(stats CallStats, slowFrom int) outcomeCounts {
	bad := stats.Failures
	for bucket := slowFrom; bucket < LatencyBucketCount; bucket++ {
		bad += stats.LatencyBuckets[bucket]
	}
	return outcomeCounts{total: float64(stats.Calls), bad: float64(min(bad, stats.Calls))}
}

// FailureEvidence is a sequential test of two hypotheses, call by call: that the new version is bad, or
// that it is healthy. On each route and on all together it keeps a CUSUM of log-likelihood ratios (Page's
// test): the sum of ln(P(call | bad) / P(call | healthy)), set to 0 whenever it falls below. Because of
// that bound, good calls of the past do not delay the detection of a version that turns bad late. The
// routes are apart so that one bad route shows among many good ones.
//
// The zero value is ready to use. It is not safe for concurrent use.
type FailureEvidence struct {
	routes     map[string]*routeEvidence // allRoutes included
	lastCounts VersionCounts             // as of the last observation
}

// routeEvidence is the evidence on one route, or on all together.
type routeEvidence struct {
	cusum                float64       // sum of log-likelihood ratios, never below 0
	logOdds              float64       // the same sum without the bound; below 0, "healthy" is likelier
	recentOld, recentNew outcomeCounts // decaying by recentDecay with each observation
}

// LogOdds is the logarithm of how much likelier all calls so far are under "bad" than under "healthy".
// The difference between two readings is the evidence of the calls in between.
func (e *FailureEvidence) LogOdds() float64 {
	if overall := e.routes[allRoutes]; overall != nil {
		return overall.logOdds
	}
	return 0
}

// Observe takes the counts since the proxies started, and weighs what is new in them. It returns the
// strongest evidence of all routes as a fraction of Options.RollbackLogOdds, at 1 or above of which the
// version must be stopped, and the verdict. The flag allCalls says that the plan gives the new
// version all calls, so that the old one can not be compared with.
func (e *FailureEvidence) Observe(options Options, counts VersionCounts, allCalls bool) (strength float64, verdict string) {
	sinceLast := counts.Since(e.lastCounts)
	e.lastCounts = counts
	var fresh, baseline, recent outcomeCounts
	for route, stats := range sinceLast.New {
		slowFrom := slowBucket(counts.Old[route])
		freshOnRoute := outcomesOf(stats, slowFrom)
		baselineOnRoute := outcomesOf(counts.Old[route], slowFrom)
		recentOnRoute := outcomesOf(sinceLast.Old[route], slowFrom)
		e.route(route).observe(freshOnRoute, baselineOnRoute, recentOnRoute)
		fresh.add(freshOnRoute)
		baseline.add(baselineOnRoute)
		recent.add(recentOnRoute)
	}
	overall := e.route(allRoutes)
	overall.observe(fresh, baseline, recent)
	return e.strongest(options, overall, allCalls)
}

// route is the evidence on a route, made when first asked for.
func (e *FailureEvidence) route(route string) *routeEvidence {
	if e.routes == nil {
		e.routes = map[string]*routeEvidence{}
	}
	if e.routes[route] == nil {
		e.routes[route] = &routeEvidence{}
	}
	return e.routes[route]
}

// strongest is the strongest evidence of all routes that the old version's recent calls do not explain
// as well: a fault that hits both versions counts against neither. The recent calls of both are taken
// over the same time, so that such a fault begins for both in the same observation.
func (e *FailureEvidence) strongest(options Options, overall *routeEvidence, allCalls bool) (strength float64, verdict string) {
	oldUnused := allCalls || overall.recentOld.total*sparseBaselineRatio < overall.recentNew.total
	for route, evidence := range e.routes {
		oldOutcomes := evidence.recentOld
		if oldOutcomes.total < 1 {
			oldOutcomes = overall.recentOld
		}
		routeStrength := evidence.cusum / options.RollbackLogOdds
		if routeStrength <= strength {
			continue
		}
		if oldUnused || binomialCDF(oldOutcomes, evidence.recentNew.badRate()) <= maxAlikeProbability {
			strength, verdict = routeStrength, "fails or is slow "+describeRoute(route)
		}
	}
	return strength, verdict
}

// observe weighs fresh calls of the new version. The old version's rate is that of all its calls, the
// baseline, or that of its recent calls if it is higher.
func (e *routeEvidence) observe(fresh, baseline, recent outcomeCounts) {
	e.recentOld.decay(recent)
	e.recentNew.decay(fresh)
	oldRate := baseline.badRate()
	if e.recentOld.total >= recentMinCalls {
		oldRate = max(oldRate, e.recentOld.badRate())
	}
	healthyRate := min(maxHealthyRate, max(healthyRateFloor, healthyRateMultiple*oldRate+healthyRateMargin))
	badRate := min(maxBadRate, max(healthyRate+badRateMargin, badRateMultiple*healthyRate))
	// A bad call has the ratio badRate/healthyRate, a good one (1-badRate)/(1-healthyRate).
	logLikelihoodRatio := fresh.bad*math.Log(badRate/healthyRate) +
		(fresh.total-fresh.bad)*math.Log((1-badRate)/(1-healthyRate))
	e.cusum = max(0, e.cusum+logLikelihoodRatio)
	e.logOdds += logLikelihoodRatio
}

func describeRoute(route string) string {
	if route == allRoutes {
		return onAllRoutes
	}
	return onRoute(route)
}
