package release

import (
	"math"
	"math/bits"
	"time"
)

// Bounds of what a sound and a bad version are taken for, as parts of calls that end badly.
const (
	healthyRateFloor    = 0.06 // a sound version may fail so often while nothing of the old one's does
	healthyRateMultiple = 1.5  // and so many times as often as the old one
	healthyRateMargin   = 0.03 // and this much beyond
	badRateMargin       = 0.2  // a bad one fails so much more often than a sound one may
	badRateMultiple     = 2
	maxBadRate          = 0.95
	slowBuckets         = 4     // two doublings: as slow as this beyond the old version's median is as bad as a failure
	medianMinCalls      = 20    // calls of the old version on a route, to know its median
	recentDecay         = 0.8   // part of what came of late that is kept from look to look
	recentMinCalls      = 20    // calls of the old version of late, to know how it fares just now
	maxAlikeProbability = 0.001 // how unlikely it must be that the old version, of late, fails as the new one does
	allRoutes           = ""    // what stands for all routes together
)

// LatencyBucketCount is into how many steps the time of a call falls.
const LatencyBucketCount = 32

// firstBucketBits is below the length, in bits, of the longest time that falls into the first step.
const firstBucketBits = 10

// LatencyBucket is the step that a time falls into: two for each doubling, from a millisecond up.
func LatencyBucket(latency time.Duration) int {
	micros := uint64(max(1, latency.Microseconds()))
	bitLength := bits.Len64(micros)
	if bitLength <= firstBucketBits {
		return 0
	}
	return min(LatencyBucketCount-1, 2*(bitLength-firstBucketBits)-1+int(micros>>(bitLength-2)&1))
}

// outcomeCounts is calls that ended, and those of them that ended badly.
type outcomeCounts struct{ total, bad float64 }

func (o *outcomeCounts) add(other outcomeCounts) {
	o.total, o.bad = o.total+other.total, o.bad+other.bad
}

func (o outcomeCounts) badRate() float64 {
	if o.total == 0 {
		return 0
	}
	return o.bad / o.total
}

// FailureEvidence weighs, call by call, how much likelier what was seen is of a bad version than of a
// sound one. It never falls below nothing, so a version that turns bad late is found as soon as
// one that always was; and it is kept by route, so that one bad route shows.
type FailureEvidence struct {
	routes     map[string]*routeEvidence
	lastCounts VersionCounts
}

// routeEvidence is the suspicion on one route.
type routeEvidence struct {
	cusum                float64
	logOdds              float64       // as the sum, but that it may fall: below nothing, the version is likelier sound
	recentOld, recentNew outcomeCounts // of late
}

// LogOdds is how much likelier it is, on the whole, that the version is bad than that it is sound,
// as a logarithm; a difference of two tells what was seen between.
func (e *FailureEvidence) LogOdds() float64 {
	if overall := e.routes[allRoutes]; overall != nil {
		return overall.logOdds
	}
	return 0
}

// slowBucket is the first step of time that is too slow on a route, beyond all if it can't be known.
func slowBucket(baseline CallStats) int {
	calls, cumulative := uint64(0), uint64(0)
	for _, count := range baseline.LatencyBuckets {
		calls += count
	}
	for bucket, count := range baseline.LatencyBuckets {
		if cumulative += count; cumulative*2 < calls || calls < medianMinCalls {
			continue
		}
		// Where the median lies high in its step, the steps beyond begin at less than so many times it.
		if high := 2*cumulative - calls; high < count {
			bucket++
		}
		return bucket + slowBuckets
	}
	return LatencyBucketCount
}

// outcomesOf is a count with what came too late among what ended badly.
func outcomesOf(stats CallStats, slowFrom int) outcomeCounts {
	bad := stats.Failures
	for bucket := slowFrom; bucket < LatencyBucketCount; bucket++ {
		bad += stats.LatencyBuckets[bucket]
	}
	return outcomeCounts{float64(stats.Calls), float64(min(bad, stats.Calls))}
}

// Observe takes what came since the last look. It gives the strongest suspicion, 1 being certain,
// and on what it rests. alone says that the old version is to have no calls any more.
func (e *FailureEvidence) Observe(options Options, counts VersionCounts, allCalls bool) (strength float64, reason string) {
	if e.routes == nil {
		e.routes = map[string]*routeEvidence{}
	}
	sinceLast := counts.Since(e.lastCounts)
	e.lastCounts = counts
	var fresh, baseline, recent outcomeCounts
	observeRoute := func(route string, fresh, baseline, recent outcomeCounts) *routeEvidence {
		if e.routes[route] == nil {
			e.routes[route] = &routeEvidence{}
		}
		e.routes[route].observe(fresh, baseline, recent)
		return e.routes[route]
	}
	for route, stats := range sinceLast.New {
		slowFrom := slowBucket(counts.Old[route])
		freshRoute, baselineRoute, recentRoute := outcomesOf(stats, slowFrom), outcomesOf(counts.Old[route], slowFrom), outcomesOf(sinceLast.Old[route], slowFrom)
		observeRoute(route, freshRoute, baselineRoute, recentRoute)
		fresh.add(freshRoute)
		baseline.add(baselineRoute)
		recent.add(recentRoute)
	}
	overall := observeRoute(allRoutes, fresh, baseline, recent)
	// Where the old version hardly gets calls any more, only what it used to be can be known.
	oldUnused := allCalls || overall.recentOld.total*sparseBaselineRatio < overall.recentNew.total
	for route, perRoute := range e.routes {
		oldOutcomes := perRoute.recentOld
		if oldOutcomes.total < 1 {
			oldOutcomes = overall.recentOld
		}
		// What the old version, of late, may do just as well is held against nobody. Both are taken
		// over the same time, so that one trouble of all begins for both at once.
		if routeStrength := perRoute.cusum / options.RollbackLogOdds; routeStrength > strength && (oldUnused || binomialCDF(oldOutcomes, perRoute.recentNew.badRate()) <= maxAlikeProbability) {
			strength, reason = routeStrength, "fails or is slow "+describeRoute(route)
		}
	}
	return strength, reason
}

// observe weighs fresh calls of the new version against what the old one is usually and of late.
func (e *routeEvidence) observe(fresh, baseline, recent outcomeCounts) {
	e.recentOld = outcomeCounts{recentDecay*e.recentOld.total + recent.total, recentDecay*e.recentOld.bad + recent.bad}
	e.recentNew = outcomeCounts{recentDecay*e.recentNew.total + fresh.total, recentDecay*e.recentNew.bad + fresh.bad}
	rate := baseline.badRate()
	if e.recentOld.total >= recentMinCalls {
		rate = max(rate, e.recentOld.badRate())
	}
	healthyRate := min(0.5, max(healthyRateFloor, healthyRateMultiple*rate+healthyRateMargin))
	badRate := min(maxBadRate, max(healthyRate+badRateMargin, badRateMultiple*healthyRate))
	logLikelihoodRatio := fresh.bad*math.Log(badRate/healthyRate) + (fresh.total-fresh.bad)*math.Log((1-badRate)/(1-healthyRate))
	e.cusum, e.logOdds = max(0, e.cusum+logLikelihoodRatio), e.logOdds+logLikelihoodRatio
}

// binomialCDF is how likely no more than so many of calls end badly, if each does at a rate.
func binomialCDF(outcomes outcomeCounts, rate float64) float64 {
	if rate <= 0 {
		return 1
	}
	if rate = min(rate, maxBadRate); outcomes.total < 1 {
		return 1
	}
	// The binomial's terms, one from the other.
	calls, probability := math.Round(outcomes.total), 0.0
	logTerm := calls * math.Log(1-rate)
	for count := 0.0; count <= math.Round(outcomes.bad); count++ {
		probability += math.Exp(logTerm)
		logTerm += math.Log((calls-count)/(count+1)) + math.Log(rate/(1-rate))
	}
	return probability
}

func describeRoute(route string) string {
	if route == allRoutes {
		return "on the whole"
	}
	return "on route " + route
}

// meanInFlight is how many calls were so on average while so much time passed.
func meanInFlight(stats CallStats, window time.Duration) float64 {
	if window <= 0 {
		return 0
	}
	return float64(stats.TotalLatency) / float64(window)
}
