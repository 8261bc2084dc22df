package registry

import (
	"fmt"
	"testing"

	"meadowhinge/schema"
)

// A proxy that is configured with another lease is granted none: it would rely on a longer one than this registry keeps, or be
// taken for dead. Mismatches are listed until they are gone, and no more than a bound of them.
func TestSettingMismatches(t *testing.T) {
	state := newFleetStates(1)[0]
	renew := &schema.LeaseRequest{Proxy: "p", Incarnation: 1, Applied: 1, LeaseNanos: int64(2 * testLease)}
	reply := state.RenewLease(testLease, renew)
	if reply.Granted || reply.Reason != "LEASE_DIFFERS" || len(state.SettingMismatches()) != 1 {
		t.Errorf("%v, %v", reply, state.SettingMismatches())
	}
	renew.LeaseNanos = int64(testLease)
	if reply := state.RenewLease(testLease, renew); !reply.Granted || len(state.SettingMismatches()) != 0 {
		t.Errorf("%v, %v", reply, state.SettingMismatches())
	}
	for i := range 2 * maxSettingMismatches {
		state.CompareSetting(fmt.Sprint("proxy ", i), "lease", "1s", "8s", true)
	}
	if len(state.SettingMismatches()) != maxSettingMismatches {
		t.Errorf("%d mismatches are listed", len(state.SettingMismatches()))
	}
}
