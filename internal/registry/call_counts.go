package registry

import (
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// maxCountsPerSource bounds the stored call counts: this many proxy incarnations for each of MaxSources sources.
const maxCountsPerSource = 4

// ApplyReport records a proxy's report: its call counts, which only grow within an incarnation, and its workers. It
// reports whether the service directory changed. Counts of a report with more than MaxCounts lines are ignored.
//
// ApplyReport takes ownership of report. It sets the source's home registry and, if the proxy shuts down, marks the
// source as ended.
func (f *FleetState) ApplyReport(now time.Duration, report *schema.ProxyReport) bool {
	f.reportedAt[proxyIncarnation{report.Proxy, report.Incarnation}] = now
	if len(report.Counts)+len(report.WorkCounts) <= f.options.MaxCounts {
		f.recordCounts(&schema.SourceCounts{
			Proxy:       report.Proxy,
			Incarnation: report.Incarnation,
			Counts:      report.Counts,
			WorkCounts:  report.WorkCounts,
			Applied:     report.Applied,
		})
	}
	f.adoptSource(report.Source)
	if report.Source.GetShuttingDown() {
		report.Source.Version.Ended = true
	}
	return f.MergeSource(now, report.Source)
}

// ReportedCounts returns the call counts that proxies reported to this registry, and the number of proxies that
// reported within one lease renewal interval. workCountsOnly leaves out the verdict counts and keeps the work counts,
// by which the rollout controller judges versions.
func (f *FleetState) ReportedCounts(now time.Duration, workCountsOnly bool) *schema.CountsReply {
	reply := &schema.CountsReply{Reporting: uint32(f.recentReporters(now))}
	for key, stored := range f.countsByIncarnation {
		counts := &schema.SourceCounts{
			Proxy:       stored.Proxy,
			Incarnation: stored.Incarnation,
			WorkCounts:  stored.WorkCounts,
			Applied:     stored.Applied,
			AgeNanos:    int64(now - f.reportedAt[key]),
		}
		if !workCountsOnly {
			counts.Counts = stored.Counts
		}
		reply.Sources = append(reply.Sources, counts)
	}
	return reply
}

// recentReporters counts the proxy incarnations that reported within one lease renewal interval. It drops the report
// times of those that have not reported for sourceRetentionLeases leases.
func (f *FleetState) recentReporters(now time.Duration) int {
	count := 0
	for key, at := range f.reportedAt {
		if now-at <= f.options.Lease/session.RenewalsPerLease {
			count++
		} else if now-at > sourceRetentionLeases*f.options.Lease {
			delete(f.reportedAt, key)
		}
	}
	return count
}

// recordCounts keeps, for one incarnation of a proxy, the counts of the report with the most calls, since reports may
// arrive twice or out of order. It does so separately for verdict counts and work counts. If a report leaves counts
// out, the stored ones stay. Beyond maxCountsPerSource incarnations for each of MaxSources sources, it drops the
// incarnation that was added first.
func (f *FleetState) recordCounts(reported *schema.SourceCounts) {
	key := proxyIncarnation{reported.Proxy, reported.Incarnation}
	existing := f.countsByIncarnation[key]
	if existing == nil {
		existing = &schema.SourceCounts{Proxy: reported.Proxy, Incarnation: reported.Incarnation}
		f.countsByAge = append(f.countsByAge, key)
	}
	merged := &schema.SourceCounts{
		Proxy:       existing.Proxy,
		Incarnation: existing.Incarnation,
		Counts:      existing.Counts,
		WorkCounts:  existing.WorkCounts,
		Applied:     max(existing.Applied, reported.Applied),
	}
	if totalCalls(reported) > 0 && totalCalls(reported) >= totalCalls(existing) {
		merged.Counts = reported.Counts
	}
	if len(reported.WorkCounts) > 0 && totalWorkCalls(reported) >= totalWorkCalls(existing) {
		merged.WorkCounts = reported.WorkCounts
	}
	f.countsByIncarnation[key] = merged
	for len(f.countsByAge) > maxCountsPerSource*f.options.MaxSources {
		delete(f.countsByIncarnation, f.countsByAge[0])
		f.countsByAge = f.countsByAge[1:]
	}
}

// MergeCounts merges the counts that several registries hold. A proxy that moved between registries has counts at both,
// so for each proxy incarnation it keeps the counts of the registry with the most calls.
//
// It differs from recordCounts in ties, in which recordCounts keeps the report received last. Of equal work counts,
// MergeCounts keeps those with the lowest age. Of equal verdict counts, it keeps those of the first reply.
func MergeCounts(replies []*schema.CountsReply) []*schema.SourceCounts {
	byIncarnation := map[proxyIncarnation]*schema.SourceCounts{}
	var all []*schema.SourceCounts
	for _, reply := range replies {
		for _, reported := range reply.Sources {
			key := proxyIncarnation{reported.Proxy, reported.Incarnation}
			merged := byIncarnation[key]
			if merged == nil {
				merged = &schema.SourceCounts{
					Proxy:       reported.Proxy,
					Incarnation: reported.Incarnation,
					AgeNanos:    reported.AgeNanos,
				}
				byIncarnation[key] = merged
				all = append(all, merged)
			}
			mergeSourceCounts(merged, reported)
		}
	}
	return all
}

// mergeSourceCounts merges reported, one registry's counts of a proxy incarnation, into merged, the counts of the
// registries before it.
func mergeSourceCounts(merged, reported *schema.SourceCounts) {
	if totalCalls(reported) > totalCalls(merged) {
		merged.Counts = reported.Counts
	}
	// Of two reports with equally many completed calls, the later one has the current number of calls in flight.
	more := totalWorkCalls(reported) > totalWorkCalls(merged)
	asMany := totalWorkCalls(reported) == totalWorkCalls(merged)
	if more || (asMany && reported.AgeNanos <= merged.AgeNanos) {
		merged.WorkCounts = reported.WorkCounts
	}
	merged.Applied = max(merged.Applied, reported.Applied)
	merged.AgeNanos = min(merged.AgeNanos, reported.AgeNanos)
}

// totalCalls returns the sum of the calls in a report's verdict counts.
func totalCalls(counts *schema.SourceCounts) uint64 {
	var calls uint64
	for _, count := range counts.GetCounts() {
		calls += count.Calls
	}
	return calls
}

// totalWorkCalls returns the sum of the completed calls in a report's work counts.
func totalWorkCalls(counts *schema.SourceCounts) uint64 {
	var calls uint64
	for _, work := range counts.GetWorkCounts() {
		calls += work.Calls
	}
	return calls
}
