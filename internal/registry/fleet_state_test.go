package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

const testLease = 8 * time.Second

// newFleetStates is three registries' tables, up for longer than a lease.
func newFleetStates(revisions ...uint64) []*FleetState {
	var states []*FleetState
	for i, revision := range revisions {
		state := NewFleetState(FleetStateOptions{MemberID: string(rune('a' + i)), Lease: testLease, MaxSources: 4, MaxCounts: 4})
		state.MarkCaughtUp()
		state.SetCommitted(0, revision)
		states = append(states, state)
	}
	return states
}

// renewAll renews at the tables and gives the lease that comes of it.
func renewAll(tables []*FleetState, now time.Duration, incarnation, applied, newestKnown uint64) *session.Lease {
	lease := session.NewLease(testLease)
	for _, table := range tables {
		if reply := table.RenewLease(now, &schema.LeaseRequest{Proxy: "p", Incarnation: incarnation, Applied: applied, Received: newestKnown}); reply.Granted {
			lease.RecordGrant(reply.Member, 3, now)
		}
	}
	return lease
}

// A proxy that used a setup which only one registry has is restarted, and that registry is
// lost. Only because it told a majority first do the others refuse it the setup before.
func TestRestartNeverFallsBack(t *testing.T) {
	for _, reported := range []bool{true, false} {
		tables := newFleetStates(9, 8, 8)
		if !renewAll(tables[1:], testLease, 1, 8, 0).IsValid(testLease) {
			t.Fatal("no lease at the old setup")
		}
		if reported {
			renewAll(tables[1:2], testLease, 1, 8, 9)
		}
		fellBack := renewAll(tables[1:], testLease+time.Second, 2, 8, 0).IsValid(testLease + time.Second)
		if fellBack == reported {
			t.Errorf("told %v: fell back %v", reported, fellBack)
		}
	}
}

// In every order of a fence reaching the registries and a lagging proxy asking them, no
// lease below the fence stands once the fence is done.
func TestEveryOrderOfFenceAndLease(t *testing.T) {
	orders := 0
	var walk func(done []int)
	walk = func(done []int) {
		if len(done) == 6 {
			orders++
			tables := newFleetStates(8, 8, 8)
			lease, fence := session.NewLease(testLease), NewAcknowledgement(3)
			acknowledged := false
			for _, step := range done {
				table := tables[step%3]
				if step < 3 {
					// Steps 0 to 2 are the proxy, still at 8, asking each registry.
					if reply := table.RenewLease(testLease, &schema.LeaseRequest{Proxy: "p", Incarnation: 1, Applied: 8}); reply.Granted {
						lease.RecordGrant(reply.Member, 3, testLease)
					}
				} else {
					acknowledged = fence.Record(table.SetFence(testLease, 9)) || acknowledged
				}
				if acknowledged && lease.IsValid(testLease) {
					t.Errorf("order %v: a lease at 8 stands after the yes to 9", done)
				}
			}
			return
		}
		for step := range 6 {
			alreadyDone := false
			for _, doneStep := range done {
				alreadyDone = alreadyDone || doneStep == step
			}
			if !alreadyDone {
				walk(append(done[:len(done):len(done)], step))
			}
		}
	}
	walk(nil)
	if orders != 720 {
		t.Errorf("%d orders of 720", orders)
	}
}

func TestLeaseRules(t *testing.T) {
	young := NewFleetState(FleetStateOptions{MemberID: "a", Lease: testLease, MaxSources: 4, MaxCounts: 4})
	young.SetCommitted(0, 5)
	renew := &schema.LeaseRequest{Proxy: "p", Incarnation: 1, Applied: 5}
	if young.RenewLease(testLease-1, renew).Granted || young.SetFence(testLease-1, 5).Authoritative {
		t.Error("a registry younger than a lease granted or counted")
	}
	if young.RenewLease(testLease, renew).Granted {
		t.Error("a registry that has not caught up granted")
	}
	young.MarkCaughtUp()
	if !young.RenewLease(testLease, renew).Granted {
		t.Error("a registry that is old enough and caught up refused")
	}
	// A stable change may be lagged behind for an eighth of a lease, and no longer.
	young.SetCommitted(testLease, 6)
	if !young.RenewLease(testLease+testLease/session.RenewalsPerLease, renew).Granted || young.RenewLease(testLease+testLease/session.RenewalsPerLease+1, renew).Granted {
		t.Error("the bound on lagging is not kept")
	}
	// The lease granted last still stands, so a fence names it until it runs out.
	if len(young.SetFence(testLease+testLease/session.RenewalsPerLease+1, 6).Laggards) != 1 || len(young.SetFence(2*testLease+testLease/session.RenewalsPerLease, 6).Laggards) != 0 {
		t.Error("a laggard is listed too short or too long")
	}
}

// A grant counts from when it was asked for, and the majority-th latest ends the lease.
func TestLeaseCountsFromAsking(t *testing.T) {
	lease := session.NewLease(testLease)
	lease.RecordGrant("a", 3, time.Second)
	if lease.IsValid(time.Second) {
		t.Error("one of three made a lease")
	}
	lease.RecordGrant("a", 3, 3*time.Second)
	lease.RecordGrant("b", 3, 2*time.Second)
	if end := lease.ExpiresAt(); end > 2*time.Second+testLease || !lease.IsValid(2*time.Second) {
		t.Errorf("the lease ends at %v", end)
	}
}

// Counts of a proxy are kept once per incarnation, whatever is told again or out of order.
func TestCountsAreNotDoubled(t *testing.T) {
	table := newFleetStates(1)[0]
	tell := func(incarnation, calls uint64) {
		table.ApplyReport(0, &schema.ProxyReport{Proxy: "p", Incarnation: incarnation, Counts: []*schema.VerdictCount{{Flag: "f", Calls: calls}}})
	}
	for _, calls := range []uint64{3, 7, 7, 5} {
		tell(1, calls)
	}
	tell(2, 4)
	sum := uint64(0)
	for _, counts := range table.countsByIncarnation {
		sum += totalCalls(counts)
	}
	if sum != 11 {
		t.Errorf("counted %d calls, not 7 and 4", sum)
	}
}

// Sources are merged by stamp; the feed gives what a vector lacks, and no more.
func TestSourcesNewerThanVector(t *testing.T) {
	table := newFleetStates(1)[0]
	source := func(name string, counter uint64) *schema.Source {
		return &schema.Source{Name: name, Version: &schema.SourceVersion{Incarnation: 1, Counter: counter}}
	}
	for _, one := range []*schema.Source{source("p", 2), source("p", 1), source("q", 1)} {
		table.MergeSource(0, one)
	}
	if newer := table.SourcesNewerThan(0, map[string]*schema.SourceVersion{"q": {Incarnation: 1, Counter: 1}}); len(newer) != 1 || newer[0].Version.Counter != 2 {
		t.Errorf("the feed gave %v", newer)
	}
	if newer := table.SourcesNewerThan(3*testLease, nil); len(newer) != 0 {
		t.Errorf("silent sources are still listed: %v", newer)
	}
}

// A proxy whose settings have another lease gets none: it would count on a longer one than is
// kept here, or be taken for dead. Status shows whose settings contradict, until they don't.
func TestSettingMismatches(t *testing.T) {
	table := newFleetStates(1)[0]
	renew := &schema.LeaseRequest{Proxy: "p", Incarnation: 1, Applied: 1, LeaseNanos: int64(2 * testLease)}
	if reply := table.RenewLease(testLease, renew); reply.Granted || reply.Reason != "LEASE_DIFFERS" || len(table.SettingMismatches()) != 1 {
		t.Errorf("%v, %v", reply, table.SettingMismatches())
	}
	renew.LeaseNanos = int64(testLease)
	if reply := table.RenewLease(testLease, renew); !reply.Granted || len(table.SettingMismatches()) != 0 {
		t.Errorf("%v, %v", reply, table.SettingMismatches())
	}
	for i := range 2 * maxSettingMismatches {
		table.CompareSetting(fmt.Sprint("proxy ", i), "lease", "1s", "8s", true)
	}
	if len(table.SettingMismatches()) != maxSettingMismatches {
		t.Errorf("%d are kept", len(table.SettingMismatches()))
	}
}
