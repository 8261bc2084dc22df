package store

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/schema"
)

// trio is three members on one clock, with links that lose nothing and disks that take no time.
type trio struct {
	now      time.Duration
	replicas map[string]*Replica
	down     map[string]bool
	replies  map[string]*schema.ProposalReply // by ticket
	stalled  string                           // the replica whose disk does not come back
	waiting  []Persist                        // on it
	order    []string                         // in which they tick
	disks    map[string][]*schema.Record
	sent     int // bytes of messages
	wholes   int // messages with a whole state in them
}

var trioOrder = []string{"a", "b", "c"}

func trioOptions(name string) Options {
	return Options{Name: name, Order: trioOrder, Address: name, Silence: 1500 * time.Millisecond, Stall: 2 * time.Second, EntriesMost: 8, OutcomesMost: 64, BufferMost: 16, DroppedMost: 12}
}

func newTrio() *trio {
	made := &trio{replicas: map[string]*Replica{}, down: map[string]bool{}, replies: map[string]*schema.ProposalReply{}, order: trioOrder, disks: map[string][]*schema.Record{}}
	for i, name := range trioOrder {
		made.replicas[name] = NewReplica(trioOptions(name), uint64(i+1), nil)
	}
	return made
}

func (w *trio) act(from string, actions []Action) {
	for _, action := range actions {
		switch one := action.(type) {
		case Send:
			w.sent += proto.Size(one.Message)
			if one.Message.GetBeginEpoch().GetSnapshot() != nil || one.Message.GetVote().GetSnapshot() != nil {
				w.wholes++
			}
			if to := one.Message.To; w.replicas[to] != nil && !w.down[to] && !w.down[from] {
				w.act(to, w.replicas[to].Deliver(w.now, proto.Clone(one.Message).(*schema.ReplicaMessage)))
			}
		case Persist:
			if from == w.stalled {
				w.waiting = append(w.waiting, one)
			} else {
				if one.Whole {
					w.disks[from] = nil
				}
				w.disks[from] = append(w.disks[from], one.Record)
				w.act(from, w.replicas[from].Synced(w.now, one.Mark))
			}
		case Reply:
			w.replies[one.Result.Ticket] = one.Result
		}
	}
}

// pass lets time go by, each replica ticking as often as its daemon lets it.
func (w *trio) pass(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += 75 * time.Millisecond {
		for _, name := range w.order {
			if !w.down[name] {
				w.act(name, w.replicas[name].Tick(w.now))
			}
		}
	}
}

func (w *trio) propose(at, ticket, id string) {
	w.act(at, w.replicas[at].Propose(w.now, &schema.Proposal{Ticket: ticket, Change: &schema.Change{Id: id,
		Items: []*schema.Item{{Kind: "segment", Name: id, Body: []byte(`{"salt":""}`)}}}}))
}

func TestDutyFallsInOrder(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	for _, name := range trioOrder {
		if leader := w.replicas[name].Status().Leader; leader != "a" {
			t.Errorf("%s takes %q for the leader", name, leader)
		}
	}
	w.propose("b", "t1", "one")
	if got := w.replies["t1"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Fatalf("a change at another replica: %v", got)
	}
	w.down["a"] = true
	w.pass(5 * time.Second)
	if leader := w.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("after a is lost, %q holds leadership", leader)
	}
	w.propose("c", "t2", "two")
	if committed, state := w.replicas["c"].Committed(); committed != 2 || state["segment/one"] == nil || state["segment/two"] == nil {
		t.Errorf("committed %d with %d items", committed, len(state))
	}
	w.down["b"] = true
	w.pass(5 * time.Second)
	w.propose("c", "t3", "three")
	if got := w.replies["t3"]; !got.GetUndecided() {
		t.Errorf("without a majority: %v", got)
	}
	// An id that was decided gets its first outcome, whoever is asked and however often.
	w.down["a"], w.down["b"] = false, false
	w.pass(5 * time.Second)
	w.propose("a", "t4", "one")
	if got := w.replies["t4"]; got.GetOutcome().GetVersion().GetSequence() != 1 {
		t.Errorf("the first id again: %v", got)
	}
}

// A change passed to a leader that dies is given back as undecided, once it stays silent, so
// that the registry can ask again; it is not waited for until the operator gives up.
func TestForwardedChangeIsGivenBack(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	w.down["a"] = true
	w.propose("b", "t1", "one")
	if w.replies["t1"] != nil {
		t.Fatal("answered though the leader is dead")
	}
	w.pass(2 * time.Second)
	if got := w.replies["t1"]; !got.GetUndecided() {
		t.Errorf("after the silence bound: %v", got)
	}
	w.pass(3 * time.Second)
	w.propose("b", "t2", "one")
	if got := w.replies["t2"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("asked again: %v", got)
	}
}

// A replica that comes back empty counts only when it has read both others.
func TestEmptySeatReadsBothOthers(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	w.propose("a", "t1", "one")
	w.replicas["c"] = NewReplica(trioOptions("c"), 99, nil)
	w.down["b"] = true
	w.pass(5 * time.Second)
	if w.replicas["c"].Status().Member {
		t.Error("counted after reading one of two")
	}
	w.propose("a", "t2", "two")
	if got := w.replies["t2"]; got != nil && !got.GetUndecided() {
		t.Errorf("a majority was made with an empty replica: %v", got)
	}
	w.down["b"] = false
	w.pass(5 * time.Second)
	if committed, _ := w.replicas["c"].Committed(); !w.replicas["c"].Status().Member || committed == 0 {
		t.Errorf("not refilled: %+v", w.replicas["c"].Status())
	}
}

// A leader whose disk stalls lets leadership go, and takes it again when the disk is back.
func TestStalledDiskLosesTheDuty(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	w.stalled = "a"
	w.propose("a", "t", "one")
	w.pass(6 * time.Second)
	if now := w.replicas["c"].Status().Leader; now != "b" {
		t.Errorf("%q holds leadership while the disk of a stalls", now)
	}
	w.stalled = ""
	for _, one := range w.waiting {
		w.act("a", w.replicas["a"].Synced(w.now, one.Mark))
	}
	w.pass(6 * time.Second)
	if now := w.replicas["c"].Status().Leader; now != "a" {
		t.Errorf("%q holds leadership after the disk of a came back", now)
	}
}

// Bounds that are changed while a replica runs count from then on: a replica unheard for the new bound is
// dead, and who the members are and how many copies a change needs is as it was.
func TestSeatsTakeOtherBounds(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	for _, name := range trioOrder {
		options := trioOptions(name)
		options.Silence, options.Order, options.Losses, options.Name = 300*time.Millisecond, []string{"x"}, 2, "x"
		w.act(name, w.replicas[name].Rebound(w.now, options))
		if kept := w.replicas[name].options; kept.Name != name || len(kept.Order) != 3 || kept.Losses != 0 || kept.Silence != options.Silence {
			t.Errorf("%s goes by %v", name, kept)
		}
	}
	w.down["a"] = true
	w.pass(time.Second)
	if leader := w.replicas["c"].Status().Leader; leader != "b" {
		t.Errorf("a second after a is lost, %q holds leadership", leader)
	}
}
