package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// renewAll requests a lease for proxy p from each registry and returns the lease that results from their replies, in a
// core of three.
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

// TestRestartedProxyKeepsReportedRevision covers a proxy that received a revision which only one registry has, after
// which that registry is lost and the proxy restarts. The other registries must refuse the restarted proxy a lease at
// the revision before. They do so only because the proxy reported the newer revision to a majority first: to the lost
// registry and one more. Without that report the proxy falls back.
func TestRestartedProxyKeepsReportedRevision(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprint("reported ", reported), func(t *testing.T) {
			states := newFleetStates(9, 8, 8)
			if !renewAll(states[1:], testLease, 1, 8, 0).IsValid(testLease) {
				t.Fatal("lease at revision 8 from two of three registries, before the restart: got invalid, want valid")
			}
			if reported {
				renewAll(states[1:2], testLease, 1, 8, 9)
			}
			fellBack := renewAll(states[1:], testLease+time.Second, 2, 8, 0).IsValid(testLease + time.Second)
			if fellBack == reported {
				t.Errorf("lease at revision 8 after the restart: got valid %v, want %v", fellBack, !reported)
			}
		})
	}
}

// TestLeasesNeedCaughtUpRegistryAndProxy checks that a registry grants leases only once it has run for a lease and has
// caught up. A proxy may lag behind a commit for one renewal interval. A fence lists a laggard as long as its lease is
// valid.
func TestLeasesNeedCaughtUpRegistryAndProxy(t *testing.T) {
	young := NewFleetState(FleetStateOptions{MemberID: "a", Lease: testLease, MaxSources: 4, MaxCounts: 4})
	young.SetCommitted(0, 5)
	renew := &schema.LeaseRequest{Proxy: "p", Incarnation: 1, Applied: 5}
	if reply := young.RenewLease(testLease-1, renew); reply.Granted {
		t.Errorf("RenewLease before the registry has run for a lease: got %v, want a refusal", reply)
	}
	if reply := young.SetFence(testLease-1, 5); reply.Authoritative {
		t.Errorf("SetFence before the registry has run for a lease: got %v, want a reply that is not authoritative", reply)
	}
	if reply := young.RenewLease(testLease, renew); reply.Granted {
		t.Errorf("RenewLease before the registry has caught up: got %v, want a refusal", reply)
	}
	young.SetCaughtUp()
	if reply := young.RenewLease(testLease, renew); !reply.Granted {
		t.Errorf("RenewLease once the registry has run for a lease and caught up: got %v, want a grant", reply)
	}
	const renewalInterval = testLease / session.RenewalsPerLease
	young.SetCommitted(testLease, 6)
	mayLagUntil := testLease + renewalInterval
	if reply := young.RenewLease(mayLagUntil, renew); !reply.Granted {
		t.Errorf("RenewLease one renewal interval after a commit: got %v, want a grant", reply)
	}
	if reply := young.RenewLease(mayLagUntil+1, renew); reply.Granted {
		t.Errorf("RenewLease more than one renewal interval after a commit: got %v, want a refusal", reply)
	}
	// The last grant was at mayLagUntil, so the lease ends at mayLagUntil+testLease.
	if laggards := young.SetFence(mayLagUntil+1, 6).Laggards; len(laggards) != 1 {
		t.Errorf("SetFence while the lease is valid: got laggards %v, want 1", laggards)
	}
	if laggards := young.SetFence(mayLagUntil+testLease, 6).Laggards; len(laggards) != 0 {
		t.Errorf("SetFence at the end of the lease: got laggards %v, want none", laggards)
	}
}

// TestLeaseCountsFromRequest checks that a grant counts from the time of its request, and that the lease ends with the
// oldest grant that its majority needs.
func TestLeaseCountsFromRequest(t *testing.T) {
	lease := session.NewLease(testLease)
	lease.RecordGrant("a", 3, time.Second)
	if lease.IsValid(time.Second) {
		t.Error("lease with one grant of three: got valid, want invalid")
	}
	lease.RecordGrant("a", 3, 3*time.Second)
	lease.RecordGrant("b", 3, 2*time.Second)
	if end := lease.ExpiresAt(); end > 2*time.Second+testLease {
		t.Errorf("end of a lease with grants requested at 3s and 2s: got %v, want at most %v", end, 2*time.Second+testLease)
	}
	if !lease.IsValid(2 * time.Second) {
		t.Errorf("lease with two grants of three at 2s: got invalid, want valid; it ends at %v", lease.ExpiresAt())
	}
}
