package registry

import "time"

// testLease is the lease duration of states that tests drive without a server, on simulated time.
const testLease = 8 * time.Second

// newFleetStates returns one state for each committed revision, of registries a, b and so on. All have caught up.
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
