package store

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// The first member that reaches a majority leads, every member forwards changes to it, and a change id keeps its first
// outcome at whichever member it is proposed again.
func TestLeadershipFollowsMemberOrder(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	for _, name := range founderNames {
		if leader := c.replicas[name].Status().Leader; leader != "a" {
			t.Errorf("leader at %s = %q, want a", name, leader)
		}
	}
	c.propose("b", "t1", "one")
	if got := c.replies["t1"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Fatalf("Propose at follower b got reply %v, want it accepted", got)
	}
	c.down["a"] = true
	c.advance(5 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("leader after the loss of a = %q, want b", leader)
	}
	c.propose("c", "t2", "two")
	if committed, state := c.replicas["c"].Committed(); committed != 2 || state["segment/one"] == nil || state["segment/two"] == nil {
		t.Errorf("committed sequence = %d with %d items, want 2 with segments one and two", committed, len(state))
	}
	c.down["b"] = true
	c.advance(5 * time.Second)
	c.propose("c", "t3", "three")
	if got := c.replies["t3"]; !got.GetUndecided() {
		t.Errorf("Propose without a majority got reply %v, want undecided", got)
	}
	// A change id that has been decided gets its first outcome again.
	c.down["a"], c.down["b"] = false, false
	c.advance(5 * time.Second)
	c.propose("a", "t4", "one")
	if got := c.replies["t4"]; got.GetOutcome().GetVersion().GetSequence() != 1 {
		t.Errorf("Propose with a decided change id got reply %v, want the outcome of sequence 1", got)
	}
}

// A change forwarded to a leader that fails is answered as undecided after the heartbeat timeout, so that the registry
// retries it instead of waiting until the operator gives up.
func TestForwardedChangeExpires(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	c.down["a"] = true
	c.propose("b", "t1", "one")
	if c.replies["t1"] != nil {
		t.Fatalf("Propose forwarded to a failed leader got reply %v before the heartbeat timeout, want none", c.replies["t1"])
	}
	c.advance(2 * time.Second)
	if got := c.replies["t1"]; !got.GetUndecided() {
		t.Errorf("Propose forwarded to a failed leader got reply %v after the heartbeat timeout, want undecided", got)
	}
	c.advance(3 * time.Second)
	c.propose("b", "t2", "one")
	if got := c.replies["t2"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("Propose under the new leader got reply %v, want it accepted", got)
	}
}

// An empty replica of a static list becomes a member only once both other replicas have reported whether they have
// state. One of two is not enough: it may lack what the other one has committed.
func TestEmptyStaticMemberNeedsStateOfAllOthers(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	c.propose("a", "t1", "one")
	c.replicas["c"] = NewReplica(testConfig("c"), 99, nil)
	c.down["b"] = true
	c.advance(5 * time.Second)
	if c.replicas["c"].Status().Member {
		t.Error("Status().Member of the empty replica c = true, want false until b has reported its state")
	}
	c.propose("a", "t2", "two")
	if got := c.replies["t2"]; got != nil && !got.GetUndecided() {
		t.Errorf("Propose with a and the empty replica c got reply %v, want none or undecided", got)
	}
	c.down["b"] = false
	c.advance(5 * time.Second)
	if committed, _ := c.replicas["c"].Committed(); !c.replicas["c"].Status().Member || committed == 0 {
		t.Errorf("status of c after b is back = %+v, want a member with committed content", c.replicas["c"].Status())
	}
}

// A leader whose disk stalls loses leadership, and leads again once the disk has recovered.
func TestStalledDiskLosesLeadership(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	c.stalled = "a"
	c.propose("a", "t", "one")
	c.advance(6 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("leader while the disk of a stalls = %q, want b", leader)
	}
	c.stalled = ""
	for _, write := range c.stalledWrites {
		c.execute("a", c.replicas["a"].Persisted(c.now, write.WriteID))
	}
	c.advance(6 * time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "a" {
		t.Errorf("leader after the disk of a has recovered = %q, want a", leader)
	}
}

// Limits that are changed while a replica runs take effect at once: a leader that is not heard for the new heartbeat
// timeout is replaced. Name, member list and tolerated losses stay as they were.
func TestSetLimitsTakesEffectAtOnce(t *testing.T) {
	c := newStaticCore()
	c.advance(5 * time.Second)
	for _, name := range founderNames {
		cfg := testConfig(name)
		cfg.HeartbeatTimeout, cfg.StaticMembers, cfg.ToleratedLosses, cfg.Name = 300*time.Millisecond, []string{"x"}, 2, "x"
		c.execute(name, c.replicas[name].SetLimits(c.now, cfg))
		current := c.replicas[name].config
		if current.Name != name || len(current.StaticMembers) != 3 || current.ToleratedLosses != 0 || current.HeartbeatTimeout != cfg.HeartbeatTimeout {
			t.Errorf("configuration of %s after SetLimits = %+v, want only the heartbeat timeout changed, to %v",
				name, current, cfg.HeartbeatTimeout)
		}
	}
	c.down["a"] = true
	c.advance(time.Second)
	if leader := c.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("leader one second after the loss of a = %q, want b", leader)
	}
}
