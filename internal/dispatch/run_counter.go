package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// RunCounter counts the results of the requests that this proxy sent to its local workers, by version and route.
// Rollouts evaluate versions by these counts, because connections between proxies, and their failures, do not affect
// them. It is safe for concurrent use.
type RunCounter struct {
	counts    *xsync.Map[runCountKey, *RunCount]
	maxCounts int // counts beyond which a new key is not counted
}

// runCountKey identifies the requests that are counted together. versionRevision is the revision at which the version
// was configured. A version that is configured again gets new counts, so that earlier results do not count against it.
type runCountKey struct {
	service, version, route string
	versionRevision         uint64
}

// RunCount counts the requests of one version and route. All counts but inFlight only grow while the process lives.
type RunCount struct {
	calls, failures, totalNanos atomic.Uint64                             // totalNanos is the total duration in nanoseconds
	histogram                   [release.LatencyBucketCount]atomic.Uint32 // calls that did not fail, by latency bucket
	inFlight                    atomic.Int32                              // requests begun and not ended
	connectionLostAt            atomic.Int64                              // last broken connection, in nanoseconds on the process clock; 0 for none
}

// NewRunCounter returns a counter for about maxCounts pairs of a version and a route. Requests of further ones are not
// counted.
func NewRunCounter(maxCounts int) *RunCounter {
	return &RunCounter{counts: xsync.NewMap[runCountKey, *RunCount](), maxCounts: maxCounts}
}

// Begin records that a request is sent to a worker of a version. [RunCount.End] must be called on the result when the
// request ends. The result is nil if the request is not counted.
func (r *RunCounter) Begin(service, version, route string, versionRevision uint64) *RunCount {
	key := runCountKey{service, version, route, versionRevision}
	count, found := r.counts.Load(key)
	if !found {
		if r.counts.Size() >= r.maxCounts {
			return nil
		}
		count, _ = r.counts.LoadOrCompute(key, func() (*RunCount, bool) { return &RunCount{}, false })
	}
	count.inFlight.Add(1)
	return count
}

// connectionLossWindow is the time after a broken connection within which the next one is not counted. A worker that
// exits breaks all of its connections at once, which is no more evidence against its version than one broken
// connection.
const connectionLossWindow = 100 * time.Millisecond

// End records the response to a request, and the time since Begin that it took. Requests that did not run, or whose
// callers disconnected, are not counted, and neither are broken connections within connectionLossWindow of the one
// before. If c is nil, End does nothing.
func (c *RunCount) End(now, took time.Duration, response *schema.ForwardResponse) {
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

// Report returns the counts of the services for which include returns true.
func (r *RunCounter) Report(include func(service string) bool) []*schema.WorkCount {
	var reported []*schema.WorkCount
	r.counts.Range(func(key runCountKey, runCount *RunCount) bool {
		if !include(key.service) {
			return true
		}
		reported = append(reported, runCount.report(key))
		return true
	})
	return reported
}

// report returns the count as a message. Its histogram ends at the last bucket that is not empty.
func (c *RunCount) report(key runCountKey) *schema.WorkCount {
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
