package release

import (
	"time"

	"meadowhinge/schema"
)

// CallStats holds the call counts of a version, on one route or summed over several.
type CallStats struct {
	Calls          uint64                     // calls that ended
	Failures       uint64                     // ended calls that failed
	TotalLatency   time.Duration              // sum of the latencies of all ended calls
	LatencyBuckets [LatencyBucketCount]uint64 // ended calls that did not fail, indexed by LatencyBucket
	InFlight       uint64                     // calls that have not ended, by the latest reports
}

// add adds all counts of other to c.
func (c *CallStats) add(other CallStats) {
	c.Calls += other.Calls
	c.Failures += other.Failures
	c.TotalLatency += other.TotalLatency
	c.InFlight += other.InFlight
	for bucket, count := range other.LatencyBuckets {
		c.LatencyBuckets[bucket] += count
	}
}

// minus returns the increase of each counter since an earlier count. A counter that fell, because the counts of a
// proxy are missing, gives 0. InFlight is a gauge and stays as it is in c.
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

// cappedAt returns the counts scaled down to at most maxCalls calls. Scaled counts have no latency buckets and
// no calls in flight, because no caller uses them.
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

// failureRate returns the fraction of ended calls that failed, 0 without calls.
func (c CallStats) failureRate() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Calls)
}

// meanLatency returns the mean latency of ended calls in nanoseconds, 0 without calls.
func (c CallStats) meanLatency() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.TotalLatency) / float64(c.Calls)
}

// total returns the sum of the counts of all routes.
func total(byRoute map[string]CallStats) (totals CallStats) {
	for _, stats := range byRoute {
		totals.add(stats)
	}
	return totals
}

// VersionCounts holds the call counts of one service's versions, since the proxies started or in a window.
type VersionCounts struct {
	Old    map[string]CallStats // counts of the fallback version, by route
	New    map[string]CallStats // counts of the version under evaluation, by route
	Others CallStats            // counts of all other versions; no baseline, because they may be bad themselves
}

// Since returns the increase of the counts since an earlier count.
func (v VersionCounts) Since(earlier VersionCounts) VersionCounts {
	return VersionCounts{
		Old:    subtractByRoute(v.Old, earlier.Old),
		New:    subtractByRoute(v.New, earlier.New),
		Others: v.Others.minus(earlier.Others),
	}
}

// subtractByRoute returns the increase of each route's counts since earlier.
func subtractByRoute(latest, earlier map[string]CallStats) map[string]CallStats {
	difference := map[string]CallStats{}
	for route, stats := range latest {
		difference[route] = stats.minus(earlier[route])
	}
	return difference
}

// allVersions returns the sum of the counts of all versions.
func (v VersionCounts) allVersions() CallStats {
	totals := total(v.Old)
	totals.add(total(v.New))
	totals.add(v.Others)
	return totals
}

// NewPercent returns the new version's percentage of the service's calls, from 0 to 100, and 0 without calls.
func (v VersionCounts) NewPercent() float64 {
	totals := v.allVersions()
	if totals.Calls == 0 {
		return 0
	}
	return 100 * float64(total(v.New).Calls) / float64(totals.Calls)
}

// GatherVersionCounts sums the proxies' counts of a service. New holds the counts of the given version under the
// given revision, as config.Snapshot.VersionRevision returns it. Old holds those of the fallback version that it is
// compared with.
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
				// These calls were counted under another plan or stop of the version, which may have been another
				// build then.
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

// callStatsOf converts a proxy's count. Calls in flight are included only if the report is current, because a
// proxy process that has ended has none.
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
