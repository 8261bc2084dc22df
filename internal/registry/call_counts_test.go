package registry

import (
	"testing"

	"meadowhinge/schema"
)

// The counts of each incarnation of a proxy are kept once, whichever reports arrive twice or out of order.
func TestCountsAreNotDoubled(t *testing.T) {
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
		t.Errorf("counted %d calls, not 7 and 4", sum)
	}
}
