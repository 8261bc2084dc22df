package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// renewAll renews a proxy's lease at the registries and gives the lease that their replies make.
func renewAll(states []*FleetState, now time.Duration, incarnation, applied, newestKnown uint64) *session.Lease {
	lease := session.NewLease(testLease)
	request := &schema.LeaseRequest{Proxy: "p", Incarnation: incarnation, Applied: applied, Received: newestKnown}
	for _, state := range states {
		if reply := state.RenewLease(now, request); reply.Granted {
			lease.RecordGrant(reply.Member, 3, now)
		}
	}
	return lease
}

// A proxy that used a revision which only one registry holds restarts, and that registry is lost. The other registries refuse the
// restarted proxy a lease at the revision before, but only because the proxy reported the newer one to a majority first.
func TestRestartNeverFallsBack(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprint("reported ", reported), func(t *testing.T) {
			states := newFleetStates(9, 8, 8)
			if !renewAll(states[1:], testLease, 1, 8, 0).IsValid(testLease) {
				t.Fatal("no lease at the older revision")
			}
			if reported {
				renewAll(states[1:2], testLease, 1, 8, 9)
			}
			fellBack := renewAll(states[1:], testLease+time.Second, 2, 8, 0).IsValid(testLease + time.Second)
			if fellBack == reported {
				t.Errorf("fell back %v", fellBack)
			}
		})
	}
}

// A registry grants leases once it is older than a lease and has caught up; a proxy may lag behind a commit for the time between
// two renewals; and a fence lists a laggard for as long as its lease is valid.
func TestLeaseRules(t *testing.T) {
	young := NewFleetState(FleetStateOptions{MemberID: "a", Lease: testLease, MaxSources: 4, MaxCounts: 4})
	young.SetCommitted(0, 5)
	renew := &schema.LeaseRequest{Proxy: "p", Incarnation: 1, Applied: 5}
	if young.RenewLease(testLease-1, renew).Granted || young.SetFence(testLease-1, 5).Authoritative {
		t.Error("a registry younger than a lease granted one or counted for a fence")
	}
	if young.RenewLease(testLease, renew).Granted {
		t.Error("a registry that has not caught up granted a lease")
	}
	young.SetCaughtUp()
	if !young.RenewLease(testLease, renew).Granted {
		t.Error("a registry that is old enough and has caught up refused a lease")
	}
	const renewalInterval = testLease / session.RenewalsPerLease
	young.SetCommitted(testLease, 6)
	mayLagUntil := testLease + renewalInterval
	if !young.RenewLease(mayLagUntil, renew).Granted || young.RenewLease(mayLagUntil+1, renew).Granted {
		t.Error("the bound on lagging is not kept")
	}
	// The lease granted last was granted at mayLagUntil.
	if len(young.SetFence(mayLagUntil+1, 6).Laggards) != 1 || len(young.SetFence(mayLagUntil+testLease, 6).Laggards) != 0 {
		t.Error("a laggard is listed for too short or too long")
	}
}

// A grant counts from when it was requested, and the lease ends with the grant that is the last needed for a majority.
func TestLeaseCountsFromRequest(t *testing.T) {
	lease := session.NewLease(testLease)
	lease.RecordGrant("a", 3, time.Second)
	if lease.IsValid(time.Second) {
		t.Error("one grant of three made a lease")
	}
	lease.RecordGrant("a", 3, 3*time.Second)
	lease.RecordGrant("b", 3, 2*time.Second)
	if end := lease.ExpiresAt(); end > 2*time.Second+testLease || !lease.IsValid(2*time.Second) {
		t.Errorf("the lease ends at %v", end)
	}
}
