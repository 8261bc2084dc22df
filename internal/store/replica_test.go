package store

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

func TestLeadershipFollowsMemberOrder(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	for _, name := range founderNames {
		if leader := c.replicas[name].Status().Leader; leader != "a" {
			t.Errorf("%s takes %q for the leader", name, leader)
		}
	}
	c.propose("b", "t1", "one")
	if got := c.replies["t1"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Fatalf("a change at another replica: %v", got)
	}
	c.down["a"] = true
	c.advance(5 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("after a is lost, %q holds leadership", leader)
	}
	c.propose("c", "t2", "two")
	if committed, state := c.replicas["c"].Committed(); committed != 2 || state["segment/one"] == nil || state["segment/two"] == nil {
		t.Errorf("committed %d with %d items", committed, len(state))
	}
	c.down["b"] = true
	c.advance(5 * time.Second)
	c.propose("c", "t3", "three")
	if got := c.replies["t3"]; !got.GetUndecided() {
		t.Errorf("without a majority: %v", got)
	}
	// An id that was decided gets its first outcome, whoever is asked and however often.
	c.down["a"], c.down["b"] = false, false
	c.advance(5 * time.Second)
	c.propose("a", "t4", "one")
	if got := c.replies["t4"]; got.GetOutcome().GetVersion().GetSequence() != 1 {
		t.Errorf("the first id again: %v", got)
	}
}

// A change passed to a leader that dies is given back as undecided, once it stays silent, so
// that the registry can ask again; it is not waited for until the operator gives up.
func TestForwardedChangeExpires(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	c.down["a"] = true
	c.propose("b", "t1", "one")
	if c.replies["t1"] != nil {
		t.Fatal("answered though the leader is dead")
	}
	c.advance(2 * time.Second)
	if got := c.replies["t1"]; !got.GetUndecided() {
		t.Errorf("after the silence bound: %v", got)
	}
	c.advance(3 * time.Second)
	c.propose("b", "t2", "one")
	if got := c.replies["t2"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("asked again: %v", got)
	}
}

// A replica that comes back empty counts only when it has read both others.
func TestEmptyMemberReadsBothOthers(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	c.propose("a", "t1", "one")
	c.replicas["c"] = NewReplica(testConfig("c"), 99, nil)
	c.down["b"] = true
	c.advance(5 * time.Second)
	if c.replicas["c"].Status().Member {
		t.Error("counted after reading one of two")
	}
	c.propose("a", "t2", "two")
	if got := c.replies["t2"]; got != nil && !got.GetUndecided() {
		t.Errorf("a majority was made with an empty replica: %v", got)
	}
	c.down["b"] = false
	c.advance(5 * time.Second)
	if committed, _ := c.replicas["c"].Committed(); !c.replicas["c"].Status().Member || committed == 0 {
		t.Errorf("not refilled: %+v", c.replicas["c"].Status())
	}
}

// A leader whose disk stalls lets leadership go, and takes it again when the disk is back.
func TestStalledDiskLosesLeadership(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	c.stalled = "a"
	c.propose("a", "t", "one")
	c.advance(6 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("%q holds leadership while the disk of a stalls", leader)
	}
	c.stalled = ""
	for _, write := range c.stalledWrites {
		c.act("a", c.replicas["a"].Persisted(c.now, write.WriteID))
	}
	c.advance(6 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "a" {
		t.Errorf("%q holds leadership after the disk of a came back", leader)
	}
}

// Bounds that are changed while a replica runs count from then on: a replica unheard for the new bound is
// dead, and who the members are and how many copies a change needs is as it was.
func TestSetLimits(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	for _, name := range founderNames {
		cfg := testConfig(name)
		cfg.HeartbeatTimeout, cfg.StaticMembers, cfg.ToleratedLosses, cfg.Name = 300*time.Millisecond, []string{"x"}, 2, "x"
		c.act(name, c.replicas[name].SetLimits(c.now, cfg))
		if current := c.replicas[name].config; current.Name != name || len(current.StaticMembers) != 3 || current.ToleratedLosses != 0 || current.HeartbeatTimeout != cfg.HeartbeatTimeout {
			t.Errorf("%s goes by %v", name, current)
		}
	}
	c.down["a"] = true
	c.advance(time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("a second after a is lost, %q holds leadership", leader)
	}
}
