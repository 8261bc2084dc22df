package store

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// The first member that reaches a majority leads, every member forwards changes to it, and a change id keeps its first
// outcome whichever member is asked.
func TestLeadershipFollowsMemberOrder(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	for _, name := range founderNames {
		if leader := c.replicas[name].Status().Leader; leader != "a" {
			t.Errorf("%s knows %q as the leader", name, leader)
		}
	}
	c.propose("b", "t1", "one")
	if got := c.replies["t1"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Fatalf("a change at another replica: %v", got)
	}
	c.down["a"] = true
	c.advance(5 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("after a is lost, %q leads", leader)
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
	// A change id that was decided gets its first outcome at every member.
	c.down["a"], c.down["b"] = false, false
	c.advance(5 * time.Second)
	c.propose("a", "t4", "one")
	if got := c.replies["t4"]; got.GetOutcome().GetVersion().GetSequence() != 1 {
		t.Errorf("the first id again: %v", got)
	}
}

// A change forwarded to a leader that dies is answered as undecided after the heartbeat timeout, so that the registry
// retries it rather than wait until the operator gives up.
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
		t.Errorf("after the heartbeat timeout: %v", got)
	}
	c.advance(3 * time.Second)
	c.propose("b", "t2", "one")
	if got := c.replies["t2"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("proposed again: %v", got)
	}
}

// An empty replica of a static list becomes a member only once both others have reported whether they have state.
func TestEmptyMemberReadsBothOthers(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	c.propose("a", "t1", "one")
	c.replicas["c"] = NewReplica(testConfig("c"), 99, nil)
	c.down["b"] = true
	c.advance(5 * time.Second)
	if c.replicas["c"].Status().Member {
		t.Error("became a member after the state of one of two")
	}
	c.propose("a", "t2", "two")
	if got := c.replies["t2"]; got != nil && !got.GetUndecided() {
		t.Errorf("an empty replica counted for a majority: %v", got)
	}
	c.down["b"] = false
	c.advance(5 * time.Second)
	if committed, _ := c.replicas["c"].Committed(); !c.replicas["c"].Status().Member || committed == 0 {
		t.Errorf("not restored: %+v", c.replicas["c"].Status())
	}
}

// A leader whose disk stalls gives up leadership, and leads again once the disk has recovered.
func TestStalledDiskLosesLeadership(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	c.stalled = "a"
	c.propose("a", "t", "one")
	c.advance(6 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("%q leads while the disk of a stalls", leader)
	}
	c.stalled = ""
	for _, write := range c.stalledWrites {
		c.act("a", c.replicas["a"].Persisted(c.now, write.WriteID))
	}
	c.advance(6 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "a" {
		t.Errorf("%q leads after the disk of a has recovered", leader)
	}
}

// Limits that are changed while a replica runs take effect at once: a leader unheard for the new heartbeat timeout is
// replaced. Name, members and tolerated losses stay as they were.
func TestSetLimits(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	for _, name := range founderNames {
		cfg := testConfig(name)
		cfg.HeartbeatTimeout, cfg.StaticMembers, cfg.ToleratedLosses, cfg.Name = 300*time.Millisecond, []string{"x"}, 2, "x"
		c.act(name, c.replicas[name].SetLimits(c.now, cfg))
		current := c.replicas[name].config
		if current.Name != name || len(current.StaticMembers) != 3 || current.ToleratedLosses != 0 || current.HeartbeatTimeout != cfg.HeartbeatTimeout {
			t.Errorf("%s has the configuration %v", name, current)
		}
	}
	c.down["a"] = true
	c.advance(time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("a second after a is lost, %q leads", leader)
	}
}
