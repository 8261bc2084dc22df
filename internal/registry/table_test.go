package registry

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

const span = 8 * time.Second

// core is three registries' tables, up for longer than a lease.
func core(stable ...uint64) []*Table {
	var tables []*Table
	for i, one := range stable {
		table := NewTable(TableOptions{Seat: string(rune('a' + i)), Lease: span, SourcesMost: 4, CountsMost: 4})
		table.SetCurrent()
		table.SetStable(0, one)
		tables = append(tables, table)
	}
	return tables
}

// ask renews at the tables and gives the lease that comes of it.
func ask(tables []*Table, now time.Duration, incarnation, applied, knows uint64) *session.Lease {
	lease := session.NewLease(span)
	for _, table := range tables {
		if reply := table.Renew(now, &schema.Renew{Proxy: "p", Incarnation: incarnation, Applied: applied, Knows: knows}); reply.Granted {
			lease.Granted(reply.Seat, 3, now)
		}
	}
	return lease
}

// A proxy that used a setup which only one registry has is restarted, and that registry is
// lost. Only because it told a majority first do the others refuse it the setup before.
func TestRestartNeverFallsBack(t *testing.T) {
	for _, told := range []bool{true, false} {
		tables := core(9, 8, 8)
		if !ask(tables[1:], span, 1, 8, 0).Stands(span) {
			t.Fatal("no lease at the old setup")
		}
		if told {
			ask(tables[1:2], span, 1, 8, 9)
		}
		fellBack := ask(tables[1:], span+time.Second, 2, 8, 0).Stands(span + time.Second)
		if fellBack == told {
			t.Errorf("told %v: fell back %v", told, fellBack)
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
			tables := core(8, 8, 8)
			lease, fence := session.NewLease(span), NewAcknowledgement(3)
			yes := false
			for _, step := range done {
				table := tables[step%3]
				if step < 3 {
					// Steps 0 to 2 are the proxy, still at 8, asking each registry.
					if reply := table.Renew(span, &schema.Renew{Proxy: "p", Incarnation: 1, Applied: 8}); reply.Granted {
						lease.Granted(reply.Seat, 3, span)
					}
				} else {
					yes = fence.Take(table.Bar(span, 9)) || yes
				}
				if yes && lease.Stands(span) {
					t.Errorf("order %v: a lease at 8 stands after the yes to 9", done)
				}
			}
			return
		}
		for step := range 6 {
			taken := false
			for _, one := range done {
				taken = taken || one == step
			}
			if !taken {
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
	young := NewTable(TableOptions{Seat: "a", Lease: span, SourcesMost: 4, CountsMost: 4})
	young.SetStable(0, 5)
	renew := &schema.Renew{Proxy: "p", Incarnation: 1, Applied: 5}
	if young.Renew(span-1, renew).Granted || young.Bar(span-1, 5).Counts {
		t.Error("a registry younger than a lease granted or counted")
	}
	if young.Renew(span, renew).Granted {
		t.Error("a registry that has not caught up granted")
	}
	young.SetCurrent()
	if !young.Renew(span, renew).Granted {
		t.Error("a registry that is old enough and caught up refused")
	}
	// A stable change may be lagged behind for an eighth of a lease, and no longer.
	young.SetStable(span, 6)
	if !young.Renew(span+span/session.LeaseParts, renew).Granted || young.Renew(span+span/session.LeaseParts+1, renew).Granted {
		t.Error("the bound on lagging is not kept")
	}
	// The lease granted last still stands, so a fence names it until it runs out.
	if len(young.Bar(span+span/session.LeaseParts+1, 6).Laggards) != 1 || len(young.Bar(2*span+span/session.LeaseParts, 6).Laggards) != 0 {
		t.Error("a laggard is listed too short or too long")
	}
}

// A grant counts from when it was asked for, and the majority-th latest ends the lease.
func TestLeaseCountsFromAsking(t *testing.T) {
	lease := session.NewLease(span)
	lease.Granted("a", 3, time.Second)
	if lease.Stands(time.Second) {
		t.Error("one of three made a lease")
	}
	lease.Granted("a", 3, 3*time.Second)
	lease.Granted("b", 3, 2*time.Second)
	if end := lease.Until(); end > 2*time.Second+span || !lease.Stands(2*time.Second) {
		t.Errorf("the lease ends at %v", end)
	}
}

// Counts of a proxy are kept once per incarnation, whatever is told again or out of order.
func TestCountsAreNotDoubled(t *testing.T) {
	table := core(1)[0]
	tell := func(incarnation, calls uint64) {
		table.Tell(0, &schema.Report{Proxy: "p", Incarnation: incarnation, Counts: []*schema.Count{{Flag: "f", Calls: calls}}})
	}
	for _, calls := range []uint64{3, 7, 7, 5} {
		tell(1, calls)
	}
	tell(2, 4)
	sum := uint64(0)
	for _, counts := range table.counts {
		sum += callsIn(counts)
	}
	if sum != 11 {
		t.Errorf("counted %d calls, not 7 and 4", sum)
	}
}

// Sources are merged by stamp; the feed gives what a vector lacks, and no more.
func TestFeedByVector(t *testing.T) {
	table := core(1)[0]
	source := func(name string, counter uint64) *schema.Source {
		return &schema.Source{Name: name, Stamp: &schema.Stamp{Incarnation: 1, Counter: counter}}
	}
	for _, one := range []*schema.Source{source("p", 2), source("p", 1), source("q", 1)} {
		table.Merge(0, one)
	}
	if news := table.Feed(0, map[string]*schema.Stamp{"q": {Incarnation: 1, Counter: 1}}); len(news) != 1 || news[0].Stamp.Counter != 2 {
		t.Errorf("the feed gave %v", news)
	}
	if news := table.Feed(3*span, nil); len(news) != 0 {
		t.Errorf("silent sources are still listed: %v", news)
	}
}

// A proxy whose settings have another lease gets none: it would count on a longer one than is
// kept here, or be taken for dead. Status shows whose settings contradict, until they don't.
func TestOddSettings(t *testing.T) {
	table := core(1)[0]
	renew := &schema.Renew{Proxy: "p", Incarnation: 1, Applied: 1, LeaseNanos: int64(2 * span)}
	if reply := table.Renew(span, renew); reply.Granted || reply.Reason != "LEASE_DIFFERS" || len(table.Odd()) != 1 {
		t.Errorf("%v, %v", reply, table.Odd())
	}
	renew.LeaseNanos = int64(span)
	if reply := table.Renew(span, renew); !reply.Granted || len(table.Odd()) != 0 {
		t.Errorf("%v, %v", reply, table.Odd())
	}
	for i := range 2 * oddMost {
		table.Differs(fmt.Sprint("proxy ", i), "lease", "1s", "8s", true)
	}
	if len(table.Odd()) != oddMost {
		t.Errorf("%d are kept", len(table.Odd()))
	}
}
