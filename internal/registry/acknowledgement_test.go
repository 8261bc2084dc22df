package registry

import (
	"slices"
	"testing"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// TestNoValidLeaseBelowAcknowledgedFence checks that, once the revision of a fence is acknowledged, no lease below it
// is valid. It covers every order in which the fence reaches three registries and a lagging proxy requests leases from
// them.
func TestNoValidLeaseBelowAcknowledgedFence(t *testing.T) {
	const steps = 6
	orders := 0
	var walk func(done []int)
	walk = func(done []int) {
		if len(done) == steps {
			orders++
			checkFenceOrder(t, done)
			return
		}
		for step := range steps {
			if !slices.Contains(done, step) {
				walk(append(done[:len(done):len(done)], step))
			}
		}
	}
	walk(nil)
	if orders != 720 {
		t.Errorf("orders of %d steps: got %d, want 720", steps, orders)
	}
}

// checkFenceOrder runs one order of the six steps. In steps 0 to 2 the proxy, still at revision 8, requests a lease
// from one registry each. In steps 3 to 5 the fence at revision 9 reaches one registry each.
func checkFenceOrder(t *testing.T, order []int) {
	t.Helper()
	states := newFleetStates(8, 8, 8)
	lease, acknowledgement := session.NewLease(testLease), NewAcknowledgement(3)
	acknowledged := false
	for _, step := range order {
		state := states[step%3]
		if step < 3 {
			reply := state.RenewLease(testLease, &schema.LeaseRequest{Proxy: "p", Incarnation: 1, Applied: 8})
			if reply.Granted {
				lease.RecordGrant(reply.Member, 3, testLease)
			}
		} else {
			acknowledged = acknowledgement.Record(state.SetFence(testLease, 9)) || acknowledged
		}
		if acknowledged && lease.IsValid(testLease) {
			t.Errorf("order %v, step %d: lease at revision 8 after revision 9 was acknowledged: got valid, want invalid",
				order, step)
		}
	}
}
