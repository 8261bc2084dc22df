// Package release steers release plans: from what was counted of the old and the new version
// to the next set point, or to a stop. It is a step function; the registry that has the
// release duty drives it.
package release

import (
	"math"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// The states of a plan.
const (
	StateCanary     = "trial" // the new version gets little, until enough is known of it on each route
	StateRamping    = "ramp"  // its share rises over the plan's time
	StateHolding    = "hold"  // its share stays, as the operator wants or for want of evidence
	StateDone       = "done"  // the target is reached
	StateRolledBack = "back"  // turned back: the flag is off
)

// reasonOperatorRollback is the reason of a plan that the operator turned back.
const reasonOperatorRollback = "the operator turned it back"

// Options bound the steering.
type Options struct {
	CanaryPercent       float64 // percent that a version gets before it is known
	MinCalls            uint64  // of the new version on a route, to know it there
	FailureThreshold    uint64  // of the new version since its trial began, before it may be turned back
	FailureRateMargin   float64 // failures as a part of calls that the new version may have above the old
	FailureRateMultiple float64 // and as a multiple of the old version's
	MinStandardErrors   float64 // standard errors by which it must exceed the old version's, or it may be chance
	LatencyMultiple     float64 // mean time as a multiple of the old version's that counts as failing
	RampSteps           int     // that a ramp is made in
	RollbackLogOdds     float64 // logarithm of how much likelier than not a version must be bad to be stopped
	MaxBadFraction      float64 // part of a service's calls that a bad version may get in a plan's time, 0 for no such bound
	BadCallsMargin      float64 // and calls beyond it
	CanaryEndFraction   float64 // part of its time after which a plan by its term leaves the trial
}

// Defaults are the settings' presets.
var Defaults = Options{CanaryPercent: 10, MinCalls: 30, FailureThreshold: 15, FailureRateMargin: 0.02, FailureRateMultiple: 2, MinStandardErrors: 5, LatencyMultiple: 5, RampSteps: 20, RollbackLogOdds: 12, CanaryEndFraction: 0.6}

// CallStats is what was seen of a version on a route.
type CallStats struct {
	Calls, Failures uint64
	TotalLatency    time.Duration
	LatencyBuckets  [LatencyBucketCount]uint64 // calls that did not fail, by how long they took
	InFlight        uint64                     // under way now
}

func (c *CallStats) add(other CallStats) {
	c.Calls, c.Failures, c.TotalLatency, c.InFlight = c.Calls+other.Calls, c.Failures+other.Failures, c.TotalLatency+other.TotalLatency, c.InFlight+other.InFlight
	for bucket, count := range other.LatencyBuckets {
		c.LatencyBuckets[bucket] += count
	}
}

func (c CallStats) failureRate() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Calls)
}

func (c CallStats) meanLatency() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.TotalLatency) / float64(c.Calls)
}

// standardError is the standard error of the difference of two versions' rates, were they alike.
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

// VersionCounts is what was counted of a service's versions: by route of its fallback version, the
// old one, and of the new one that is judged; in all of any other, which may be bad itself and
// so says nothing of what is usual.
type VersionCounts struct {
	Old, New map[string]CallStats
	Others   CallStats
}

// inFlightMaxAge is how long what a proxy told to be under way counts: a dead one says no more of it.
const inFlightMaxAge = time.Second

// GatherVersionCounts sorts what proxies saw of the workers beside them into evidence of one version, as it
// was stated, against another.
func GatherVersionCounts(sources []*schema.SourceCounts, service, version string, revision uint64, fallback string) VersionCounts {
	counts := VersionCounts{Old: map[string]CallStats{}, New: map[string]CallStats{}}
	for _, source := range sources {
		for _, work := range source.WorkCounts {
			if work.Service != service {
				continue
			}
			stats := CallStats{Calls: work.Calls, Failures: work.Failures, TotalLatency: time.Duration(work.TotalNanos)}
			for bucket, count := range work.LatencyHistogram {
				stats.LatencyBuckets[min(bucket, LatencyBucketCount-1)] += uint64(count)
			}
			if time.Duration(source.AgeNanos) <= inFlightMaxAge {
				stats.InFlight = uint64(work.InFlight)
			}
			var byRoute map[string]CallStats
			switch {
			case work.Version == version && work.PlanSequence == revision:
				byRoute = counts.New
			// What was learned of a version under another statement says nothing under this one.
			case work.Version == version:
				continue
			case work.Version == fallback:
				byRoute = counts.Old
			default:
				counts.Others.add(stats)
				continue
			}
			routeStats := byRoute[work.Route]
			routeStats.add(stats)
			byRoute[work.Route] = routeStats
		}
	}
	return counts
}

// minus is a count less what it was before. A proxy's counts can vanish with it; what is left is
// then not less than nothing.
func (c CallStats) minus(earlier CallStats) CallStats {
	difference := CallStats{Calls: c.Calls - min(earlier.Calls, c.Calls), Failures: c.Failures - min(earlier.Failures, c.Failures), TotalLatency: c.TotalLatency - min(earlier.TotalLatency, c.TotalLatency), InFlight: c.InFlight}
	for bucket, count := range c.LatencyBuckets {
		difference.LatencyBuckets[bucket] = count - min(earlier.LatencyBuckets[bucket], count)
	}
	return difference
}

// Since is the evidence that came after an earlier gathering.
func (e VersionCounts) Since(before VersionCounts) VersionCounts {
	subtract := func(now, earlier map[string]CallStats) map[string]CallStats {
		difference := map[string]CallStats{}
		for route, count := range now {
			difference[route] = count.minus(earlier[route])
		}
		return difference
	}
	return VersionCounts{Old: subtract(e.Old, before.Old), New: subtract(e.New, before.New), Others: e.Others.minus(before.Others)}
}

func total(counts map[string]CallStats) (totals CallStats) {
	for _, count := range counts {
		totals.add(count)
	}
	return totals
}

// NewPercent is the new version's part of the calls, in percent.
func (e VersionCounts) NewPercent() float64 {
	totals, newStats := total(e.Old), total(e.New)
	totals.add(newStats)
	totals.add(e.Others)
	if totals.Calls == 0 {
		return 0
	}
	return 100 * float64(newStats.Calls) / float64(totals.Calls)
}

// baselineWeightLimit is how much an old version's past may weigh, to the calls that make it known.
const baselineWeightLimit = 10

// cappedAt is a count as if it had been of at most so many calls.
func (c CallStats) cappedAt(maxCalls uint64) CallStats {
	if c.Calls <= maxCalls {
		return c
	}
	fraction := float64(maxCalls) / float64(c.Calls)
	return CallStats{Calls: maxCalls, Failures: uint64(fraction * float64(c.Failures)), TotalLatency: time.Duration(fraction * float64(c.TotalLatency))}
}

// IsFailing tells whether the new version fails, over all or on one route, and in what way. What
// hits both versions alike is not held against the new one. usual is what the old version used
// to be, where it gets no calls any more that it could be known by now.
func (o Options) IsFailing(counts VersionCounts, baseline map[string]CallStats) (string, bool) {
	compare := func(oldStats, newStats, baseline CallStats, where string) (string, bool) {
		oldStats.add(baseline.cappedAt(baselineWeightLimit * o.MinCalls))
		if newStats.Failures >= o.FailureThreshold && newStats.failureRate() > o.FailureRateMultiple*oldStats.failureRate()+o.FailureRateMargin && newStats.failureRate()-oldStats.failureRate() > o.MinStandardErrors*standardError(oldStats, newStats) {
			return "fails " + where, true
		}
		if newStats.Calls >= o.MinCalls && oldStats.Calls >= o.MinCalls && newStats.meanLatency() > o.LatencyMultiple*oldStats.meanLatency() {
			return "is slow " + where, true
		}
		return "", false
	}
	if reason, bad := compare(total(counts.Old), total(counts.New), total(baseline), "on the whole"); bad {
		return reason, true
	}
	for route, newStats := range counts.New {
		oldStats := counts.Old[route]
		// Where the old version had no call of late, how it fares elsewhere is all there is to go by.
		if oldStats.Calls == 0 {
			oldStats = total(counts.Old)
		}
		if reason, bad := compare(oldStats, newStats, baseline[route], "on route "+route); bad {
			return reason, true
		}
	}
	return "", false
}

// isProven tells whether the new version has been seen enough on every route that the old one
// serves, and is no worse there.
func (o Options) isProven(counts VersionCounts) bool {
	anyBusyRoute := false
	for route, oldStats := range counts.Old {
		// A route that hardly anyone calls cannot hold a release up for ever.
		if oldStats.Calls < 10*o.MinCalls {
			continue
		}
		anyBusyRoute = true
		if newStats := counts.New[route]; newStats.Calls < o.MinCalls || newStats.failureRate() > o.FailureRateMultiple*oldStats.failureRate()+o.FailureRateMargin {
			return false
		}
	}
	return anyBusyRoute || total(counts.New).Calls >= o.MinCalls
}

// NextRampProgress decides the next progress of a plan. whole is the evidence since the plan began,
// lately what came since the last step, passed the time since then.
func (o Options) NextRampProgress(plan *config.Release, before config.Progress, sinceStart, sinceLastStep VersionCounts, elapsed time.Duration) config.Progress {
	after := before
	switch {
	// What was turned back as bad stays so; what the operator turned back, the operator may resume.
	case before.State == StateRolledBack && (before.Reason != reasonOperatorRollback || plan.Control == "back"):
		return after
	case before.State == StateRolledBack:
		before.State, after = "", config.Progress{ControllerTerm: before.ControllerTerm, Controller: before.Controller, PlanID: before.PlanID}
	case plan.Control == "back":
		after.State, after.Reason, after.Percentage, after.Weight = StateRolledBack, reasonOperatorRollback, 0, 0
		return after
	}
	for _, counts := range []VersionCounts{sinceLastStep, sinceStart} {
		if reason, bad := o.IsFailing(counts, nil); bad {
			after.State, after.Reason, after.Percentage, after.Weight = StateRolledBack, "the version "+reason, 0, 0
			return after
		}
	}
	if plan.Control == "hold" {
		after.State, after.Reason = StateHolding, "the operator holds it"
		return after
	}
	canaryPercent := min(o.CanaryPercent, plan.Target)
	switch {
	case !o.isProven(sinceStart):
		after.State, after.Reason, after.Percentage = StateCanary, "not yet seen enough on each route", canaryPercent
	case total(sinceLastStep.New).Calls < o.MinCalls/uint64(3) && before.Percentage < plan.Target:
		after.State, after.Reason = StateHolding, "too few calls to go on by"
		after.Percentage = max(before.Percentage, canaryPercent)
	default:
		after.Elapsed += int64(elapsed)
		after.Percentage = max(canaryPercent, min(plan.Target, plan.Target*float64(after.Elapsed)/float64(plan.Duration)))
		after.State, after.Reason = StateRamping, "no worse than the old version"
		if after.Percentage >= plan.Target {
			after.State, after.Reason = StateDone, "the target is reached"
		}
	}
	after.Weight = o.flagWeight(before, after, sinceLastStep.NewPercent())
	return after
}

// flagWeight turns a set point into the flag's weight. Contexts do not all call alike, so the
// share that was measured corrects it, within bounds, and never above the trial's share.
func (o Options) flagWeight(before, after config.Progress, measuredPercent float64) int {
	target := after.Percentage
	weight := target
	if before.Weight > 0 && measuredPercent > 0 && math.Abs(before.Percentage-target) < 1e-9 {
		weight = float64(before.Weight)/1000 + (target-measuredPercent)/2
	}
	weight = max(target/2, min(weight, target*1.5))
	if after.State == StateCanary {
		weight = min(weight, o.CanaryPercent)
	}
	return int(min(100, weight) * 1000)
}

// NeedsWrite tells whether a step is worth a change of setup.
func NeedsWrite(before, after config.Progress) bool {
	return before.State != after.State || before.Reason != after.Reason || math.Abs(before.Percentage-after.Percentage) >= 0.5 ||
		math.Abs(float64(before.Weight-after.Weight)) >= 500
}
