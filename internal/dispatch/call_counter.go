package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/schema"
)

type callCountKey struct {
	flag, service, variation, reason, rule, route, outcome string
	configRevision                                         uint64
}

type callCount struct{ calls, failures, nanos atomic.Uint64 }

// CallCounter counts verdicts; counts only grow while the process lives. Counts of the last setups
// are kept apart; those of older ones are added up under setup 0.
type CallCounter struct {
	counts    *xsync.Map[callCountKey, *callCount]
	maxCounts int

	// foldLock is held shared while a line is added to, so that none is taken out meanwhile.
	foldLock sync.RWMutex
}

// separateRevisions is for how many of the last setups counts are kept apart.
const separateRevisions = 4

// NewCallCounter keeps at most so many lines; setups beyond that are counted together as 0.
func NewCallCounter(maxCounts int) *CallCounter {
	return &CallCounter{counts: xsync.NewMap[callCountKey, *callCount](), maxCounts: maxCounts}
}

// outcomeCanceled is the outcome, in counts, of calls that ended with their caller.
const outcomeCanceled = "called-off"

func outcomeLabel(response *schema.ForwardResponse) string {
	if isCanceled(response) {
		return outcomeCanceled
	}
	return outcomeNames[response.Outcome]
}

// Add counts one call by its verdict and outcome.
func (c *CallCounter) Add(result *CallResult, took time.Duration) {
	c.foldLock.RLock()
	defer c.foldLock.RUnlock()
	verdict, outcome := &result.Plan.Verdict, outcomeLabel(result.Response)
	c.add(callCountKey{flag: verdict.Flag, service: result.Plan.Service, variation: verdict.Version, reason: string(verdict.Reason), rule: verdict.RuleID,
		route: result.Plan.Route.Name, outcome: outcome, configRevision: verdict.ConfigRevision}, result, took)
	// A split's verdict is of no service's versions, so its line names none.
	if split := &result.Plan.Split; split.Flag != "" {
		c.add(callCountKey{flag: split.Flag, variation: split.Version, reason: string(split.Reason), route: result.Plan.Route.Name, outcome: outcome, configRevision: split.ConfigRevision}, result, took)
	}
}

func (c *CallCounter) add(key callCountKey, result *CallResult, took time.Duration) {
	// Old setups would pile up lines without end; beyond the bound they share one line.
	if _, known := c.counts.Load(key); !known && c.counts.Size() >= c.maxCounts {
		key.configRevision = 0
	}
	count := c.countOf(key)
	count.calls.Add(1)
	count.nanos.Add(uint64(took))
	if !isCanceled(result.Response) && isFailure(result.Response) {
		count.failures.Add(1)
	}
}

// Counts lists all lines as they stand, current being the setup in use.
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
		counts = append(counts, &schema.VerdictCount{Flag: key.flag, Service: key.service, Variation: key.variation, Reason: key.reason, Rule: key.rule,
			Route: key.route, Outcome: key.outcome, Revision: key.configRevision, Calls: count.calls.Load(), Failures: count.failures.Load(), TotalNanos: count.nanos.Load()})
		return true
	})
	return counts
}

func (c *CallCounter) countOf(key callCountKey) *callCount {
	count, _ := c.counts.LoadOrCompute(key, func() (*callCount, bool) { return &callCount{}, false })
	return count
}
