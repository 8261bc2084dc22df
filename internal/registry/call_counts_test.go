package registry

import (
	"testing"

	"meadowhinge/schema"
)

// TestRepeatedReportsCountOnce checks that reports which arrive twice or out of order do not change the counts. Each
// incarnation of a proxy keeps the counts of its report with the most calls.
func TestRepeatedReportsCountOnce(t *testing.T) {
	state := newFleetStates(1)[0]
	report := func(incarnation, calls uint64) {
		state.ApplyReport(0, &schema.ProxyReport{
			Proxy:       "p",
			Incarnation: incarnation,
			Counts:      []*schema.VerdictCount{{Flag: "f", Calls: calls}},
		})
	}
	for _, calls := range []uint64{3, 7, 7, 5} {
		report(1, calls)
	}
	report(2, 4)
	sum := uint64(0)
	for _, counts := range state.countsByIncarnation {
		sum += totalCalls(counts)
	}
	if sum != 11 {
		t.Errorf("calls of both incarnations: got %d, want 11, of which 7 in incarnation 1 and 4 in incarnation 2", sum)
	}
}
