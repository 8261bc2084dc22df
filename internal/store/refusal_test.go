package store

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/schema"
)

// dependentChange returns a change that is invalid until a service exists. All copies of it have one id.
func dependentChange() *schema.Change {
	return &schema.Change{Id: "dependent", ByOperatorVersion: true, Items: []*schema.Item{
		{Kind: "route", Name: "cards", OperatorVersion: 9, Body: []byte(`{"service":"cards","prefix":"/","horizon":"1s"}`)},
	}}
}

// expectRuling proposes a change at a replica and checks the ruling on it.
func (c *testCore) expectRuling(t *testing.T, at string, change *schema.Change, want schema.Ruling) {
	t.Helper()
	ticket := fmt.Sprint("ticket-", len(c.replies))
	c.execute(at, c.replicas[at].Propose(c.now, &schema.Proposal{Ticket: ticket, Change: change}))
	if got := c.replies[ticket].GetOutcome().GetRuling(); got != want {
		t.Errorf("ruling on %s proposed at %s = %v, want %v", change.Id, at, got, want)
	}
}

// refuseDependent has the dependent change refused at replica b, and then adds the service that would make it valid.
func (c *testCore) refuseDependent(t *testing.T) {
	t.Helper()
	c.expectRuling(t, "b", dependentChange(), schema.Ruling_RULING_INVALID)
	c.expectRuling(t, "b", &schema.Change{Id: "enabler", ByOperatorVersion: true, Items: []*schema.Item{
		{Kind: "service", Name: "cards", OperatorVersion: 9, Body: []byte(`{"callers":["client"]}`)},
	}}, schema.Ruling_RULING_ACCEPTED)
}

// A copy of a refused change gets the first refusal at every replica, also once it would be valid, and after each fault
// that replaces the leader, the processes or a disk.
func TestRefusedChangeStaysRefused(t *testing.T) {
	for name, fault := range map[string]func(c *testCore){
		"no fault":      func(*testCore) {},
		"new leader":    func(c *testCore) { c.down["a"] = true },
		"former leader": func(c *testCore) { c.down["a"] = true; c.advance(5 * time.Second); c.down["a"] = false },
		"restart of all": func(c *testCore) {
			for _, name := range founderNames {
				c.start(name, false, 1)
			}
		},
		"lost disk": func(c *testCore) { c.disks["a"] = nil; c.start("a", false, 1) },
		"log compacted into a snapshot": func(c *testCore) {
			for i := range 3 * testConfig("a").MaxEntries {
				c.propose("b", fmt.Sprint("other-", i), fmt.Sprint("other-", i))
			}
			for _, name := range founderNames {
				c.start(name, false, 1)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFoundedCore(1)
			c.refuseDependent(t)
			fault(c)
			c.advance(8 * time.Second)
			for _, name := range founderNames {
				if !c.down[name] {
					c.expectRuling(t, name, dependentChange(), schema.Ruling_RULING_INVALID)
				}
			}
		})
	}
}

// A change that waited at a replica that was frozen, and one that the replica had forwarded to a leader that was frozen,
// get the refusal that the others decided meanwhile.
func TestCopyAtFrozenReplicaGetsRefusal(t *testing.T) {
	for name, frozen := range map[string]string{"frozen follower": "c", "frozen leader": "a"} {
		t.Run(name, func(t *testing.T) {
			c := newFoundedCore(1)
			c.down[frozen] = true
			c.advance(5 * time.Second)
			c.refuseDependent(t)
			c.down[frozen] = false
			// The first step after the freeze is the proposal: this replica has heard nothing of the others yet.
			c.execute(frozen, c.replicas[frozen].Propose(c.now, &schema.Proposal{Ticket: "late", Change: dependentChange()}))
			c.advance(5 * time.Second)
			if late := c.replies["late"]; late.GetOutcome().GetRuling() == schema.Ruling_RULING_ACCEPTED {
				t.Errorf("reply to the late copy = %v, want it refused or undecided", late)
			}
			c.expectRuling(t, frozen, dependentChange(), schema.Ruling_RULING_INVALID)
			if _, state := c.replicas["b"].Committed(); state["route/cards"] != nil {
				t.Error("the route of the refused change is committed, want it absent")
			}
		})
	}
}

// A refusal is remembered until MaxOutcomes other changes have been decided after it, at every replica.
func TestRefusalIsRememberedForMaxOutcomes(t *testing.T) {
	c := newFoundedCore(1)
	c.refuseDependent(t)
	remembered := testConfig("a").MaxOutcomes
	for i := 2; i < remembered; i++ {
		c.propose("b", fmt.Sprint("other-", i), fmt.Sprint("other-", i))
	}
	c.expectRuling(t, "c", dependentChange(), schema.Ruling_RULING_INVALID)
	c.propose("b", "last", "last")
	c.expectRuling(t, "c", dependentChange(), schema.Ruling_RULING_ACCEPTED)
	for _, name := range founderNames {
		if got := len(c.replicas[name].outcomes); got > remembered {
			t.Errorf("%s remembers %d outcomes, want at most %d", name, got, remembered)
		}
	}
}
