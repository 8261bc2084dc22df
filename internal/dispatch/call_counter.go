package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/schema"
)

// callCountKey identifies the calls that are counted together.
type callCountKey struct {
	flag, service, variation, reason, rule, route, outcome string
	configRevision                                         uint64 // 0 for all revisions without counts of their own
}

// callCount is the count for one key. nanos is the total duration of the calls, in nanoseconds. Calls whose callers
// disconnected are not counted as failures.
type callCount struct{ calls, failures, nanos atomic.Uint64 }

// CallCounter counts calls by verdict and outcome. Counts only grow while the process lives. Recent configuration
// revisions have counts of their own, and those of older revisions are added up under revision 0. It is safe for
// concurrent use.
type CallCounter struct {
	counts    *xsync.Map[callCountKey, *callCount]
	maxCounts int // counts beyond which a new key is counted under revision 0

	// foldLock is held shared while a count is incremented, and exclusively while Counts folds old revisions, so that no
	// count is removed between its lookup and its increment.
	foldLock sync.RWMutex
}

// separateRevisions is how many revisions before the current one have counts of their own.
const separateRevisions = 4

// NewCallCounter returns a counter that holds about maxCounts counts. Once it holds as many, calls with a new key are
// counted under revision 0.
func NewCallCounter(maxCounts int) *CallCounter {
	return &CallCounter{counts: xsync.NewMap[callCountKey, *callCount](), maxCounts: maxCounts}
}

// outcomeCanceled is the outcome under which calls whose callers disconnected are counted. It appears only in counts.
const outcomeCanceled = "called-off"

// outcomeLabel returns the outcome under which a call is counted.
func outcomeLabel(response *schema.ForwardResponse) string {
	if isCanceled(response) {
		return outcomeCanceled
	}
	return outcomeNames[response.Outcome]
}

// Add counts one call, which took the given time, by its verdict and outcome. A call that a split assigned to a service
// is also counted under the split's verdict. The result must have a plan and a response.
func (c *CallCounter) Add(result *CallResult, took time.Duration) {
	c.foldLock.RLock()
	defer c.foldLock.RUnlock()
	verdict, outcome := &result.Plan.Verdict, outcomeLabel(result.Response)
	c.add(callCountKey{
		flag:           verdict.Flag,
		service:        result.Plan.Service,
		variation:      verdict.Version,
		reason:         string(verdict.Reason),
		rule:           verdict.RuleID,
		route:          result.Plan.Route.Name,
		outcome:        outcome,
		configRevision: verdict.ConfigRevision,
	}, result, took)
	// The variation of a split is a service, not a version of one, so the split's count names no service.
	if split := &result.Plan.Split; split.Flag != "" {
		c.add(callCountKey{
			flag:           split.Flag,
			variation:      split.Version,
			reason:         string(split.Reason),
			route:          result.Plan.Route.Name,
			outcome:        outcome,
			configRevision: split.ConfigRevision,
		}, result, took)
	}
}

// add counts a call under a key. The caller holds foldLock shared.
func (c *CallCounter) add(key callCountKey, result *CallResult, took time.Duration) {
	// New revisions would add counts without bound. Beyond maxCounts they share the counts of revision 0.
	if _, found := c.counts.Load(key); !found && c.counts.Size() >= c.maxCounts {
		key.configRevision = 0
	}
	count := c.countOf(key)
	count.calls.Add(1)
	count.nanos.Add(uint64(took))
	if !isCanceled(result.Response) && isFailure(result.Response) {
		count.failures.Add(1)
	}
}

// Counts returns all counts, after adding those of revisions more than separateRevisions before the current one to
// revision 0.
func (c *CallCounter) Counts(currentRevision uint64) []*schema.VerdictCount {
	c.foldLock.Lock()
	defer c.foldLock.Unlock()
	c.counts.Range(func(key callCountKey, count *callCount) bool {
		if key.configRevision != 0 && key.configRevision+separateRevisions < currentRevision {
			c.counts.Delete(key)
			key.configRevision = 0
			sum := c.countOf(key)
			sum.calls.Add(count.calls.Load())
			sum.failures.Add(count.failures.Load())
			sum.nanos.Add(count.nanos.Load())
		}
		return true
	})
	var counts []*schema.VerdictCount
	c.counts.Range(func(key callCountKey, count *callCount) bool {
		counts = append(counts, &schema.VerdictCount{
			Flag:       key.flag,
			Service:    key.service,
			Variation:  key.variation,
			Reason:     key.reason,
			Rule:       key.rule,
			Route:      key.route,
			Outcome:    key.outcome,
			Revision:   key.configRevision,
			Calls:      count.calls.Load(),
			Failures:   count.failures.Load(),
			TotalNanos: count.nanos.Load(),
		})
		return true
	})
	return counts
}

// countOf returns the count of a key, and adds one if there is none.
func (c *CallCounter) countOf(key callCountKey) *callCount {
	count, _ := c.counts.LoadOrCompute(key, func() (*callCount, bool) { return &callCount{}, false })
	return count
}
