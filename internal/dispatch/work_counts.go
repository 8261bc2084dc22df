package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// WorkCounts counts how requests ended that this proxy handed to the workers beside it. It is what
// versions are judged by: no link between proxies, and no death of one, is in it.
type WorkCounts struct {
	counts    *xsync.Map[workCountKey, *WorkCount]
	maxCounts int
}

type workCountKey struct {
	service, version, route string
	statementSequence       uint64
}

// WorkCount is one line of the count; it only grows while the process lives.
type WorkCount struct {
	calls, failures, totalNanos atomic.Uint64
	histogram                   [release.LatencyBucketCount]atomic.Uint32
	inFlight                    atomic.Int32
	connectionLostAt            atomic.Int64
}

// NewWorkCounts keeps at most so many lines; what comes beyond them is not counted.
func NewWorkCounts(maxCounts int) *WorkCounts {
	return &WorkCounts{counts: xsync.NewMap[workCountKey, *WorkCount](), maxCounts: maxCounts}
}

// Begin notes that a request is handed to a worker of a version; plan is what was stated of it.
func (w *WorkCounts) Begin(service, version, route string, statementSequence uint64) *WorkCount {
	key := workCountKey{service, version, route, statementSequence}
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

// connectionLossWindow is within what time connections that a worker breaks are one failure: its end,
// which says no more of its version than a single one does.
const connectionLossWindow = 100 * time.Millisecond

// End notes how it ended, so long after it was handed over.
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

// Report lists the lines of the services that are asked for.
func (w *WorkCounts) Report(include func(service string) bool) []*schema.WorkCount {
	var reported []*schema.WorkCount
	w.counts.Range(func(key workCountKey, workCount *WorkCount) bool {
		if !include(key.service) {
			return true
		}
		work := &schema.WorkCount{Service: key.service, Version: key.version, Route: key.route, PlanSequence: key.statementSequence, Calls: workCount.calls.Load(),
			Failures: workCount.failures.Load(), TotalNanos: workCount.totalNanos.Load(), InFlight: uint32(max(0, workCount.inFlight.Load()))}
		for step := range workCount.histogram {
			if count := workCount.histogram[step].Load(); count > 0 {
				for len(work.LatencyHistogram) < step {
					work.LatencyHistogram = append(work.LatencyHistogram, 0)
				}
				work.LatencyHistogram = append(work.LatencyHistogram, count)
			}
		}
		reported = append(reported, work)
		return true
	})
	return reported
}
