package release

import (
	"math"
	"time"

	"meadowhinge/schema"
)

// FleetObservation is the input of one round of Reconcile: the fleet as the registry with rollout control
// observes it.
type FleetObservation struct {
	// Counts holds the counts of each proxy process since it started. Reconcile may replace elements of the
	// slice and retains the elements. It does not modify the counts that they point to.
	Counts []*schema.SourceCounts
	// ReportingFraction is the fraction of the fleet's proxies, 0 to 1, that reported recently. It may exceed 1
	// if a proxy reported to two registries.
	ReportingFraction float64
	// Workers holds the registered workers, by service and version.
	Workers map[[2]string]WorkerPool
	// KnownFor returns how long this registry has known a configuration revision.
	KnownFor func(sequence uint64) time.Duration
}

// WorkerPool summarizes the workers of one version of a service.
type WorkerPool struct {
	Workers int // number of workers
	Slots   int // total concurrency limit of the workers; 0 if any worker does not report its own
}

// maxReportAge is the age above which a proxy's last report no longer reflects its current state. The proxy's
// calls in flight then do not count, and no plan waits for the proxy.
const maxReportAge = time.Second

// isReportCurrent reports whether a proxy's last report is recent enough to reflect its current state.
func isReportCurrent(source *schema.SourceCounts) bool {
	return time.Duration(source.AgeNanos) <= maxReportAge
}

// proxiesBehind returns the number of proxies that reported recently and have not applied a configuration
// revision yet.
func (o FleetObservation) proxiesBehind(sequence uint64) int {
	count := 0
	for _, source := range o.Counts {
		if isReportCurrent(source) && source.Applied < sequence {
			count++
		}
	}
	return count
}

// sourceKey identifies one process of a proxy. The counters of each process start at 0.
type sourceKey struct {
	proxy       string
	incarnation uint64
}

// withLastCounts returns the counts with the last known ones substituted for proxies that did not report, or
// reported fewer calls than before. That happens when a registry becomes unreachable and its proxies' counts
// are missing. With the substitution no sum falls.
func (c *Controller) withLastCounts(counts []*schema.SourceCounts) []*schema.SourceCounts {
	reported := map[sourceKey]bool{}
	for i, source := range counts {
		key := sourceKey{source.Proxy, source.Incarnation}
		reported[key] = true
		if last := c.lastCounts[key]; last != nil && totalCalls(last) > totalCalls(source) {
			source = &schema.SourceCounts{
				Proxy:       source.Proxy,
				Incarnation: source.Incarnation,
				WorkCounts:  last.WorkCounts,
				Applied:     source.Applied,
				AgeNanos:    source.AgeNanos,
			}
			counts[i] = source
		}
		c.lastCounts[key] = source
	}
	for key, last := range c.lastCounts {
		if !reported[key] {
			// At this age, the calls in flight and the applied revision are ignored.
			counts = append(counts, &schema.SourceCounts{
				Proxy:       last.Proxy,
				Incarnation: last.Incarnation,
				WorkCounts:  last.WorkCounts,
				AgeNanos:    math.MaxInt64,
			})
		}
	}
	return counts
}

// totalCalls returns the number of ended calls in a proxy's counts.
func totalCalls(source *schema.SourceCounts) (calls uint64) {
	for _, work := range source.WorkCounts {
		calls += work.Calls
	}
	return calls
}

// meanInFlight returns the mean number of calls in flight during a window, by Little's law: the total latency
// of all calls divided by the length of the window.
func meanInFlight(stats CallStats, window time.Duration) float64 {
	if window <= 0 {
		return 0
	}
	return float64(stats.TotalLatency) / float64(window)
}
