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

// The number of counts does not grow with the number of revisions, and no call is lost or counted twice while Counts
// folds old revisions concurrently.
func TestCallCounterFoldsOldRevisions(t *testing.T) {
	counter := NewCallCounter(1000)
	result := func(revision uint64) *CallResult {
		return &CallResult{
			Plan: &plan.Plan{
				Route:   &config.Route{Name: "r"},
				Service: "shop",
				Verdict: plan.Verdict{Flag: "f", Version: "1", Reason: flag.ReasonFallthrough, ConfigRevision: revision},
			},
			Response: &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: 200},
		}
	}
	const goroutines, revisions, calls = 4, 200, 5
	var counting sync.WaitGroup
	for range goroutines {
		counting.Go(func() {
			for revision := uint64(1); revision <= revisions; revision++ {
				for range calls {
					counter.Add(result(revision), time.Millisecond)
				}
			}
		})
	}
	counting.Go(func() {
		for revision := uint64(1); revision <= revisions; revision++ {
			counter.Counts(revision)
		}
	})
	counting.Wait()
	sum := func() (total uint64, counts int) {
		for _, count := range counter.Counts(revisions) {
			total += count.Calls
			counts++
		}
		return total, counts
	}
	total, counts := sum()
	if total != goroutines*revisions*calls {
		t.Errorf("Counts: got %d calls in all, want %d", total, goroutines*revisions*calls)
	}
	// The current revision, separateRevisions before it, and revision 0 have one count each.
	if counts > separateRevisions+2 {
		t.Errorf("Counts: got %d counts, want at most %d", counts, separateRevisions+2)
	}
}
