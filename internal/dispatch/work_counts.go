package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// WorkCounts counts how requests ended that this proxy sent to the workers beside it. Versions are judged by these
// counts, because no connection between proxies, and no failure of one, affects them. It is safe for concurrent use.
type WorkCounts struct {
	counts    *xsync.Map[workCountKey, *WorkCount]
	maxCounts int
}

// workCountKey is what requests have in common that are counted together. versionRevision is the revision at which
// the version was configured, so that what happened before does not count against it once it is configured again.
type workCountKey struct {
	service, version, route string
	versionRevision         uint64
}

// WorkCount counts the requests of one version and route. It only grows while the process lives.
type WorkCount struct {
	calls, failures, totalNanos atomic.Uint64
	histogram                   [release.LatencyBucketCount]atomic.Uint32 // of the calls that did not fail
	inFlight                    atomic.Int32
	connectionLostAt            atomic.Int64 // when the worker last broke a connection, 0 for never
}

// NewWorkCounts returns counts of at most maxCounts versions and routes. Requests beyond them are not counted.
func NewWorkCounts(maxCounts int) *WorkCounts {
	return &WorkCounts{counts: xsync.NewMap[workCountKey, *WorkCount](), maxCounts: maxCounts}
}

// Begin records that a request is sent to a worker of a version. It returns nil if it is not counted.
func (w *WorkCounts) Begin(service, version, route string, versionRevision uint64) *WorkCount {
	key := workCountKey{service, version, route, versionRevision}
	count, found := w.counts.Load(key)
	if !found {
		if w.counts.Size() >= w.maxCounts {
			return nil
		}
		count, _ = w.counts.LoadOrCompute(key, func() (*WorkCount, bool) { return &WorkCount{}, false })
	}
	count.inFlight.Add(1)
	return count
}

// connectionLossWindow is the time within which broken connections count as one failure: a worker that ends breaks all
// of its connections, which says no more of its version than one does.
const connectionLossWindow = 100 * time.Millisecond

// End records how a request ended, and how long it took since Begin. c may be nil.
func (c *WorkCount) End(now, took time.Duration, response *schema.ForwardResponse) {
	if c == nil {
		return
	}
	c.inFlight.Add(-1)
	if response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || isCanceled(response) {
		return
	}
	if errs.Code(response.ErrorCode) == errs.WorkerConnectionLost {
		if before := c.connectionLostAt.Swap(int64(now)); before != 0 && now-time.Duration(before) < connectionLossWindow {
			return
		}
	}
	c.totalNanos.Add(uint64(took))
	if isFailure(response) {
		c.failures.Add(1)
	} else {
		c.histogram[release.LatencyBucket(took)].Add(1)
	}
	c.calls.Add(1)
}

// Report returns the counts of the services for which include is true.
func (w *WorkCounts) Report(include func(service string) bool) []*schema.WorkCount {
	var reported []*schema.WorkCount
	w.counts.Range(func(key workCountKey, workCount *WorkCount) bool {
		if !include(key.service) {
			return true
		}
		reported = append(reported, workCount.report(key))
		return true
	})
	return reported
}

// report returns the count as it is reported, with a histogram that ends at its last bucket in use.
func (c *WorkCount) report(key workCountKey) *schema.WorkCount {
	reported := &schema.WorkCount{
		Service:      key.service,
		Version:      key.version,
		Route:        key.route,
		PlanSequence: key.versionRevision,
		Calls:        c.calls.Load(),
		Failures:     c.failures.Load(),
		TotalNanos:   c.totalNanos.Load(),
		InFlight:     uint32(max(0, c.inFlight.Load())),
	}
	for bucket := range c.histogram {
		count := c.histogram[bucket].Load()
		if count == 0 {
			continue
		}
		for len(reported.LatencyHistogram) < bucket {
			reported.LatencyHistogram = append(reported.LatencyHistogram, 0)
		}
		reported.LatencyHistogram = append(reported.LatencyHistogram, count)
	}
	return reported
}
