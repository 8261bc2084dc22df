package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"meadowhinge/schema"
)

// outcomeNames are the outcomes as callers and operators see them.
var outcomeNames = map[schema.Ending]string{
	schema.Ending_ENDING_ANSWERED: "answered",
	schema.Ending_ENDING_NOT_RUN:  "not-run",
	schema.Ending_ENDING_UNKNOWN:  "unknown",
}

// OutcomeName is an outcome as callers see it.
func OutcomeName(ending schema.Ending) string { return outcomeNames[ending] }

type tallyKey struct {
	flag, service, variation, reason, rule, route, outcome string
	setup                                                  uint64
}

type tallyLine struct{ calls, failures, nanos atomic.Uint64 }

// Tally counts verdicts; counts only grow while the process lives. Counts of the last setups
// are kept apart; those of older ones are added up under setup 0.
type Tally struct {
	lines *xsync.Map[tallyKey, *tallyLine]
	most  int

	// folding is held shared while a line is added to, so that none is taken out meanwhile.
	folding sync.RWMutex
}

// setupsApart is for how many of the last setups counts are kept apart.
const setupsApart = 4

// NewTally keeps at most so many lines; setups beyond that are counted together as 0.
func NewTally(most int) *Tally {
	return &Tally{lines: xsync.NewMap[tallyKey, *tallyLine](), most: most}
}

// outcomeCalledOff is the outcome, in counts, of calls that ended with their caller.
const outcomeCalledOff = "called-off"

func outcomeOf(carried *schema.Carried) string {
	if calledOff(carried) {
		return outcomeCalledOff
	}
	return outcomeNames[carried.Ending]
}

// Add counts one call by its verdict and outcome.
func (t *Tally) Add(ended *Ended, took time.Duration) {
	t.folding.RLock()
	defer t.folding.RUnlock()
	verdict, outcome := &ended.Plan.Verdict, outcomeOf(ended.Carried)
	t.add(tallyKey{flag: verdict.Flag, service: ended.Plan.Service, variation: verdict.Version, reason: string(verdict.Reason), rule: verdict.RuleID,
		route: ended.Plan.Route.Name, outcome: outcome, setup: verdict.Setup}, ended, took)
	// A split's verdict is of no service's versions, so its line names none.
	if split := &ended.Plan.Split; split.Flag != "" {
		t.add(tallyKey{flag: split.Flag, variation: split.Version, reason: string(split.Reason), route: ended.Plan.Route.Name, outcome: outcome, setup: split.Setup}, ended, took)
	}
}

func (t *Tally) add(key tallyKey, ended *Ended, took time.Duration) {
	// Old setups would pile up lines without end; beyond the bound they share one line.
	if _, known := t.lines.Load(key); !known && t.lines.Size() >= t.most {
		key.setup = 0
	}
	line := t.line(key)
	line.calls.Add(1)
	line.nanos.Add(uint64(took))
	if !calledOff(ended.Carried) && (ended.Carried.Ending != schema.Ending_ENDING_ANSWERED || ended.Carried.Status >= 500) {
		line.failures.Add(1)
	}
}

// Counts lists all lines as they stand, current being the setup in use.
func (t *Tally) Counts(current uint64) []*schema.Count {
	t.folding.Lock()
	defer t.folding.Unlock()
	t.lines.Range(func(key tallyKey, line *tallyLine) bool {
		if key.setup != 0 && key.setup+setupsApart < current {
			t.lines.Delete(key)
			key.setup = 0
			sum := t.line(key)
			sum.calls.Add(line.calls.Load())
			sum.failures.Add(line.failures.Load())
			sum.nanos.Add(line.nanos.Load())
		}
		return true
	})
	var counts []*schema.Count
	t.lines.Range(func(key tallyKey, line *tallyLine) bool {
		counts = append(counts, &schema.Count{Flag: key.flag, Service: key.service, Variation: key.variation, Reason: key.reason, Rule: key.rule,
			Route: key.route, Outcome: key.outcome, Setup: key.setup, Calls: line.calls.Load(), Failures: line.failures.Load(), Nanos: line.nanos.Load()})
		return true
	})
	return counts
}

func (t *Tally) line(key tallyKey) *tallyLine {
	line, _ := t.lines.LoadOrCompute(key, func() (*tallyLine, bool) { return &tallyLine{}, false })
	return line
}
