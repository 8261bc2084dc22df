package store

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

func TestLeadershipFollowsMemberOrder(t *testing.T) {
	w := newTrio()
	w.advance(5 * time.Second)
	for _, name := range trioMembers {
		if leader := w.replicas[name].Status().Leader; leader != "a" {
			t.Errorf("%s takes %q for the leader", name, leader)
		}
	}
	w.propose("b", "t1", "one")
	if got := w.replies["t1"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Fatalf("a change at another replica: %v", got)
	}
	w.down["a"] = true
	w.advance(5 * time.Second)
	if leader := w.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("after a is lost, %q holds leadership", leader)
	}
	w.propose("c", "t2", "two")
	if committed, state := w.replicas["c"].Committed(); committed != 2 || state["segment/one"] == nil || state["segment/two"] == nil {
		t.Errorf("committed %d with %d items", committed, len(state))
	}
	w.down["b"] = true
	w.advance(5 * time.Second)
	w.propose("c", "t3", "three")
	if got := w.replies["t3"]; !got.GetUndecided() {
		t.Errorf("without a majority: %v", got)
	}
	// An id that was decided gets its first outcome, whoever is asked and however often.
	w.down["a"], w.down["b"] = false, false
	w.advance(5 * time.Second)
	w.propose("a", "t4", "one")
	if got := w.replies["t4"]; got.GetOutcome().GetVersion().GetSequence() != 1 {
		t.Errorf("the first id again: %v", got)
	}
}

// A change passed to a leader that dies is given back as undecided, once it stays silent, so
// that the registry can ask again; it is not waited for until the operator gives up.
func TestForwardedChangeExpires(t *testing.T) {
	w := newTrio()
	w.advance(5 * time.Second)
	w.down["a"] = true
	w.propose("b", "t1", "one")
	if w.replies["t1"] != nil {
		t.Fatal("answered though the leader is dead")
	}
	w.advance(2 * time.Second)
	if got := w.replies["t1"]; !got.GetUndecided() {
		t.Errorf("after the silence bound: %v", got)
	}
	w.advance(3 * time.Second)
	w.propose("b", "t2", "one")
	if got := w.replies["t2"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("asked again: %v", got)
	}
}

// A replica that comes back empty counts only when it has read both others.
func TestEmptyMemberReadsBothOthers(t *testing.T) {
	w := newTrio()
	w.advance(5 * time.Second)
	w.propose("a", "t1", "one")
	w.replicas["c"] = NewReplica(trioConfig("c"), 99, nil)
	w.down["b"] = true
	w.advance(5 * time.Second)
	if w.replicas["c"].Status().Member {
		t.Error("counted after reading one of two")
	}
	w.propose("a", "t2", "two")
	if got := w.replies["t2"]; got != nil && !got.GetUndecided() {
		t.Errorf("a majority was made with an empty replica: %v", got)
	}
	w.down["b"] = false
	w.advance(5 * time.Second)
	if committed, _ := w.replicas["c"].Committed(); !w.replicas["c"].Status().Member || committed == 0 {
		t.Errorf("not refilled: %+v", w.replicas["c"].Status())
	}
}

// A leader whose disk stalls lets leadership go, and takes it again when the disk is back.
func TestStalledDiskLosesLeadership(t *testing.T) {
	w := newTrio()
	w.advance(5 * time.Second)
	w.stalled = "a"
	w.propose("a", "t", "one")
	w.advance(6 * time.Second)
	if leader := w.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("%q holds leadership while the disk of a stalls", leader)
	}
	w.stalled = ""
	for _, write := range w.stalledWrites {
		w.act("a", w.replicas["a"].Persisted(w.now, write.WriteID))
	}
	w.advance(6 * time.Second)
	if leader := w.replicas["c"].Status().Leader; leader != "a" {
		t.Errorf("%q holds leadership after the disk of a came back", leader)
	}
}

// Bounds that are changed while a replica runs count from then on: a replica unheard for the new bound is
// dead, and who the members are and how many copies a change needs is as it was.
func TestSetLimits(t *testing.T) {
	w := newTrio()
	w.advance(5 * time.Second)
	for _, name := range trioMembers {
		cfg := trioConfig(name)
		cfg.HeartbeatTimeout, cfg.StaticMembers, cfg.ToleratedLosses, cfg.Name = 300*time.Millisecond, []string{"x"}, 2, "x"
		w.act(name, w.replicas[name].SetLimits(w.now, cfg))
		if current := w.replicas[name].config; current.Name != name || len(current.StaticMembers) != 3 || current.ToleratedLosses != 0 || current.HeartbeatTimeout != cfg.HeartbeatTimeout {
			t.Errorf("%s goes by %v", name, current)
		}
	}
	w.down["a"] = true
	w.advance(time.Second)
	if leader := w.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("a second after a is lost, %q holds leadership", leader)
	}
}
