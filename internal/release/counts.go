package release

import (
	"time"

	"meadowhinge/schema"
)

// CallStats is what was counted of a version, on one route or on several together.
type CallStats struct {
	Calls          uint64                     // that ended
	Failures       uint64                     // of those calls
	TotalLatency   time.Duration              // of those calls
	LatencyBuckets [LatencyBucketCount]uint64 // calls that did not fail, by LatencyBucket
	InFlight       uint64                     // calls that have not ended, by the latest reports
}

func (c *CallStats) add(other CallStats) {
	c.Calls += other.Calls
	c.Failures += other.Failures
	c.TotalLatency += other.TotalLatency
	c.InFlight += other.InFlight
	for bucket, count := range other.LatencyBuckets {
		c.LatencyBuckets[bucket] += count
	}
}

// minus is what was counted after an earlier count. A counter that fell, because a proxy's counts
// vanished with it, gives 0. InFlight is no counter, and stays.
func (c CallStats) minus(earlier CallStats) CallStats {
	difference := CallStats{
		Calls:        c.Calls - min(earlier.Calls, c.Calls),
		Failures:     c.Failures - min(earlier.Failures, c.Failures),
		TotalLatency: c.TotalLatency - min(earlier.TotalLatency, c.TotalLatency),
		InFlight:     c.InFlight,
	}
	for bucket, count := range c.LatencyBuckets {
		difference.LatencyBuckets[bucket] = count - min(earlier.LatencyBuckets[bucket], count)
	}
	return difference
}

// cappedAt scales a count down to at most maxCalls calls. Latency buckets and calls in flight are left
// out: no caller uses them.
func (c CallStats) cappedAt(maxCalls uint64) CallStats {
	if c.Calls <= maxCalls {
		return c
	}
	fraction := float64(maxCalls) / float64(c.Calls)
	return CallStats{
		Calls:        maxCalls,
		Failures:     uint64(fraction * float64(c.Failures)),
		TotalLatency: time.Duration(fraction * float64(c.TotalLatency)),
	}
}

// failureRate is the fraction of calls that failed, 0 without calls.
func (c CallStats) failureRate() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Calls)
}

// meanLatency is in nanoseconds, 0 without calls.
func (c CallStats) meanLatency() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.TotalLatency) / float64(c.Calls)
}

// total adds up the counts of all routes.
func total(byRoute map[string]CallStats) (totals CallStats) {
	for _, stats := range byRoute {
		totals.add(stats)
	}
	return totals
}

// VersionCounts is what was counted of one service's versions, since the proxies started or in a window.
type VersionCounts struct {
	Old    map[string]CallStats // of the fallback version, by route
	New    map[string]CallStats // of the version that is judged, by route
	Others CallStats            // of any other version, which may be bad itself and so is no baseline
}

// Since is what was counted after an earlier count.
func (v VersionCounts) Since(earlier VersionCounts) VersionCounts {
	return VersionCounts{
		Old:    subtractByRoute(v.Old, earlier.Old),
		New:    subtractByRoute(v.New, earlier.New),
		Others: v.Others.minus(earlier.Others),
	}
}

func subtractByRoute(now, earlier map[string]CallStats) map[string]CallStats {
	difference := map[string]CallStats{}
	for route, stats := range now {
		difference[route] = stats.minus(earlier[route])
	}
	return difference
}

// allVersions adds up the service's calls at all its versions.
func (v VersionCounts) allVersions() CallStats {
	totals := total(v.Old)
	totals.add(total(v.New))
	totals.add(v.Others)
	return totals
}

// NewPercent is the new version's percentage of the service's calls, 0 to 100; 0 without calls.
func (v VersionCounts) NewPercent() float64 {
	totals := v.allVersions()
	if totals.Calls == 0 {
		return 0
	}
	return 100 * float64(total(v.New).Calls) / float64(totals.Calls)
}

// GatherVersionCounts adds up what the proxies counted of a service: of the given version, as stated in
// the given configuration revision, and of the fallback version that it is compared with.
func GatherVersionCounts(sources []*schema.SourceCounts, service, version string, revision uint64, fallback string) VersionCounts {
	counts := VersionCounts{Old: map[string]CallStats{}, New: map[string]CallStats{}}
	for _, source := range sources {
		for _, work := range source.WorkCounts {
			if work.Service != service {
				continue
			}
			stats := callStatsOf(work, isReportCurrent(source))
			var byRoute map[string]CallStats
			switch {
			case work.Version == version && work.PlanSequence == revision:
				byRoute = counts.New
			case work.Version == version:
				// Counted under an earlier statement of the version, which may have been another build.
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

// callStatsOf converts a proxy's count. Calls in flight count only if the proxy reported them lately:
// a proxy that has ended has none.
func callStatsOf(work *schema.WorkCount, current bool) CallStats {
	stats := CallStats{
		Calls:        work.Calls,
		Failures:     work.Failures,
		TotalLatency: time.Duration(work.TotalNanos),
	}
	for bucket, count := range work.LatencyHistogram {
		stats.LatencyBuckets[min(bucket, LatencyBucketCount-1)] += uint64(count)
	}
	if current {
		stats.InFlight = uint64(work.InFlight)
	}
	return stats
}
