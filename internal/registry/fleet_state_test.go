package registry

import "time"

// testLease is the lease of the states that tests drive without a server; their time is made up.
const testLease = 8 * time.Second

// newFleetStates is the states of registries a, b and so on, which have caught up, each at a committed revision.
func newFleetStates(revisions ...uint64) []*FleetState {
	var states []*FleetState
	for i, revision := range revisions {
		state := NewFleetState(FleetStateOptions{
			MemberID:   string(rune('a' + i)),
			Lease:      testLease,
			MaxSources: 4,
			MaxCounts:  4,
		})
		state.SetCaughtUp()
		state.SetCommitted(0, revision)
		states = append(states, state)
	}
	return states
}
