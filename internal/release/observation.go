package release

import (
	"math"
	"time"

	"meadowhinge/schema"
)

// FleetObservation is what a registry with rollout control sees of the fleet in one round.
type FleetObservation struct {
	// Counts are the proxies' counts since they started. Reconcile may replace elements of the slice, and
	// keeps them; it does not change what they point to.
	Counts []*schema.SourceCounts
	// ReportingFraction is the fraction of the fleet, 0 to 1, whose proxies reported lately. It may exceed 1
	// where a proxy reported to two registries.
	ReportingFraction float64
	// Workers are the registered workers, by service and version.
	Workers map[[2]string]WorkerPool
	// KnownFor is how long this registry has known a configuration revision.
	KnownFor func(sequence uint64) time.Duration
}

// WorkerPool sums up the workers of one version of a service.
type WorkerPool struct {
	Workers int
	Slots   int // concurrent calls that they take together; 0 if any worker does not report its own
}

// maxReportAge is the age from which a proxy's last report no longer tells what the proxy does now: its
// calls in flight do not count, and no plan waits for it.
const maxReportAge = time.Second

// isReportCurrent reports whether a proxy's last report is recent enough to tell what it does now.
func isReportCurrent(source *schema.SourceCounts) bool {
	return time.Duration(source.AgeNanos) <= maxReportAge
}

// proxiesBehind counts the proxies that have not applied a configuration revision yet.
func (o FleetObservation) proxiesBehind(sequence uint64) int {
	count := 0
	for _, source := range o.Counts {
		if isReportCurrent(source) && source.Applied < sequence {
			count++
		}
	}
	return count
}

// sourceKey identifies a process of a proxy; its counters start at 0.
type sourceKey struct {
	proxy       string
	incarnation uint64
}

// withLastCounts completes the counts by the last ones of proxies that did not report, or reported less
// than before: a registry that can't be reached takes its proxies' counts with it. So no sum falls.
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
			// At this age, the calls in flight and the applied revision do not count any more.
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

func totalCalls(source *schema.SourceCounts) (calls uint64) {
	for _, work := range source.WorkCounts {
		calls += work.Calls
	}
	return calls
}

// meanInFlight is the mean number of calls in flight during a window, by Little's law: the time that all
// calls took together over the length of the window.
func meanInFlight(stats CallStats, window time.Duration) float64 {
	if window <= 0 {
		return 0
	}
	return float64(stats.TotalLatency) / float64(window)
}
