package registry

import (
	"fmt"
	"testing"

	"meadowhinge/schema"
)

// TestLeaseMismatchIsRefusedAndListed checks that a proxy configured with another lease duration gets no lease. It
// would rely on a longer lease than this registry grants, or count as lost. A mismatch is listed until it is resolved,
// and the list is bounded.
func TestLeaseMismatchIsRefusedAndListed(t *testing.T) {
	state := newFleetStates(1)[0]
	renew := &schema.LeaseRequest{Proxy: "p", Incarnation: 1, Applied: 1, LeaseNanos: int64(2 * testLease)}
	reply := state.RenewLease(testLease, renew)
	if reply.Granted || reply.Reason != "LEASE_DIFFERS" || len(state.SettingMismatches()) != 1 {
		t.Errorf("RenewLease with another lease duration: got %v with mismatches %q, want LEASE_DIFFERS with 1 mismatch",
			reply, state.SettingMismatches())
	}
	renew.LeaseNanos = int64(testLease)
	if reply := state.RenewLease(testLease, renew); !reply.Granted || len(state.SettingMismatches()) != 0 {
		t.Errorf("RenewLease with the same lease duration: got %v with mismatches %q, want a grant with no mismatch",
			reply, state.SettingMismatches())
	}
	for i := range 2 * maxSettingMismatches {
		state.CompareSetting(fmt.Sprint("proxy ", i), "lease", "1s", "8s", true)
	}
	if len(state.SettingMismatches()) != maxSettingMismatches {
		t.Errorf("number of mismatches listed for %d proxies: got %d, want %d",
			2*maxSettingMismatches, len(state.SettingMismatches()), maxSettingMismatches)
	}
}
