package dispatch

import (
	"sync"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Lines do not grow with the number of setups, and no call is counted twice or lost, while
// others count.
func TestCallCounterFoldsOldRevisions(t *testing.T) {
	tally := NewCallCounter(1000)
	result := func(sequence uint64) *CallResult {
		return &CallResult{Plan: &plan.Plan{Route: &config.Route{Name: "r"}, Service: "shop", Verdict: plan.Verdict{Flag: "f", Version: "1", Reason: flag.ReasonFallthrough, ConfigRevision: sequence}},
			Response: &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200}}
	}
	const threads, setups, calls = 4, 200, 5
	var counting sync.WaitGroup
	for range threads {
		counting.Go(func() {
			for sequence := uint64(1); sequence <= setups; sequence++ {
				for range calls {
					tally.Add(result(sequence), time.Millisecond)
				}
			}
		})
	}
	counting.Go(func() {
		for sequence := uint64(1); sequence <= setups; sequence++ {
			tally.Counts(sequence)
		}
	})
	counting.Wait()
	sum := func() (total uint64, lines int) {
		for _, line := range tally.Counts(setups) {
			total += line.Calls
			lines++
		}
		return total, lines
	}
	total, lines := sum()
	if total != threads*setups*calls {
		t.Errorf("counted %d calls of %d", total, threads*setups*calls)
	}
	if lines > separateRevisions+2 {
		t.Errorf("%d lines are left", lines)
	}
}
