package registry

import (
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// maxCountsPerSource is how many incarnations have counts here for each source that may be listed.
const maxCountsPerSource = 4

// ApplyReport records what a proxy reports: its call counts, which only grow within an incarnation, and its workers. It tells
// whether the service directory changed. The report becomes the state's: its source is marked with its home registry and, if the
// proxy shuts down, as ended.
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

// ReportedCounts gives the call counts that proxies reported here, and how many proxies reported recently. workCountsOnly leaves
// out all but the counts that versions are judged by.
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

// recentReporters counts the proxy incarnations that reported within the time between two lease renewals, and forgets those
// that have not reported for long.
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

// recordCounts keeps, for one incarnation of a proxy, the report that counted the most calls: reports may arrive twice or out
// of order. Where a report leaves counts out, those of the report before stay.
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

// MergeCounts joins the counts that several registries hold: for each incarnation of a proxy, the counts of the registry that
// counted the most calls, for one that moved between registries is counted by both.
//
// It resembles recordCounts but differs in ties: there the later report wins, here the one of the lesser age.
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

// mergeSourceCounts merges what one registry holds of a proxy's incarnation into what others hold of it.
func mergeSourceCounts(merged, reported *schema.SourceCounts) {
	if totalCalls(reported) > totalCalls(merged) {
		merged.Counts = reported.Counts
	}
	// Of two reports that count as many completed calls, the later one has the calls that are in flight now.
	more := totalWorkCalls(reported) > totalWorkCalls(merged)
	asMany := totalWorkCalls(reported) == totalWorkCalls(merged)
	if more || (asMany && reported.AgeNanos <= merged.AgeNanos) {
		merged.WorkCounts = reported.WorkCounts
	}
	merged.Applied = max(merged.Applied, reported.Applied)
	merged.AgeNanos = min(merged.AgeNanos, reported.AgeNanos)
}

// totalCalls adds up the calls of a report.
func totalCalls(counts *schema.SourceCounts) uint64 {
	var calls uint64
	for _, count := range counts.GetCounts() {
		calls += count.Calls
	}
	return calls
}

// totalWorkCalls adds up the calls that workers completed.
func totalWorkCalls(counts *schema.SourceCounts) uint64 {
	var calls uint64
	for _, work := range counts.GetWorkCounts() {
		calls += work.Calls
	}
	return calls
}
