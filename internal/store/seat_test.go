package store

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/schema"
)

// trio is three seats on one clock, with links that lose nothing and disks that take no time.
type trio struct {
	now     time.Duration
	seats   map[string]*Seat
	down    map[string]bool
	replies map[string]*schema.Submitted // by ticket
	stalled string                       // the seat whose disk does not come back
	waiting []Persist                    // on it
	order   []string                     // in which they tick
	disks   map[string][]*schema.Record
	sent    int // bytes of letters
	wholes  int // letters with a whole state in them
}

var trioOrder = []string{"a", "b", "c"}

func trioOptions(name string) Options {
	return Options{Name: name, Order: trioOrder, Address: name, Silence: 1500 * time.Millisecond, Stall: 2 * time.Second, EntriesMost: 8, OutcomesMost: 64, BufferMost: 16, DroppedMost: 12}
}

func newTrio() *trio {
	made := &trio{seats: map[string]*Seat{}, down: map[string]bool{}, replies: map[string]*schema.Submitted{}, order: trioOrder, disks: map[string][]*schema.Record{}}
	for i, name := range trioOrder {
		made.seats[name] = NewSeat(trioOptions(name), uint64(i+1), nil)
	}
	return made
}

func (w *trio) act(from string, actions []Action) {
	for _, action := range actions {
		switch one := action.(type) {
		case Send:
			w.sent += proto.Size(one.Letter)
			if one.Letter.GetInstall().GetDigest() != nil || one.Letter.GetPromised().GetDigest() != nil {
				w.wholes++
			}
			if to := one.Letter.To; w.seats[to] != nil && !w.down[to] && !w.down[from] {
				w.act(to, w.seats[to].Deliver(w.now, proto.Clone(one.Letter).(*schema.SeatLetter)))
			}
		case Persist:
			if from == w.stalled {
				w.waiting = append(w.waiting, one)
			} else {
				if one.Whole {
					w.disks[from] = nil
				}
				w.disks[from] = append(w.disks[from], one.Record)
				w.act(from, w.seats[from].Synced(w.now, one.Mark))
			}
		case Reply:
			w.replies[one.Submitted.Ticket] = one.Submitted
		}
	}
}

// pass lets time go by, each seat ticking as often as its daemon lets it.
func (w *trio) pass(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += 75 * time.Millisecond {
		for _, name := range w.order {
			if !w.down[name] {
				w.act(name, w.seats[name].Tick(w.now))
			}
		}
	}
}

func (w *trio) offer(at, ticket, id string) {
	w.act(at, w.seats[at].Offer(w.now, &schema.Submit{Ticket: ticket, Change: &schema.Change{Id: id,
		Items: []*schema.Item{{Kind: "segment", Name: id, Body: []byte(`{"salt":""}`)}}}}))
}

func TestDutyFallsInOrder(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	for _, name := range trioOrder {
		if holder := w.seats[name].Status().Holder; holder != "a" {
			t.Errorf("%s takes %q for the holder", name, holder)
		}
	}
	w.offer("b", "t1", "one")
	if got := w.replies["t1"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Fatalf("a change at another seat: %v", got)
	}
	w.down["a"] = true
	w.pass(5 * time.Second)
	if holder := w.seats["c"].Status().Holder; holder != "b" {
		t.Errorf("after a is lost, %q holds the duty", holder)
	}
	w.offer("c", "t2", "two")
	if stable, state := w.seats["c"].Stable(); stable != 2 || state["segment/one"] == nil || state["segment/two"] == nil {
		t.Errorf("stable %d with %d items", stable, len(state))
	}
	w.down["b"] = true
	w.pass(5 * time.Second)
	w.offer("c", "t3", "three")
	if got := w.replies["t3"]; !got.GetUndecided() {
		t.Errorf("without a majority: %v", got)
	}
	// An id that was decided gets its first outcome, whoever is asked and however often.
	w.down["a"], w.down["b"] = false, false
	w.pass(5 * time.Second)
	w.offer("a", "t4", "one")
	if got := w.replies["t4"]; got.GetOutcome().GetVersion().GetSequence() != 1 {
		t.Errorf("the first id again: %v", got)
	}
}

// A change passed to a holder that dies is given back as undecided, once it stays silent, so
// that the registry can ask again; it is not waited for until the operator gives up.
func TestForwardedChangeIsGivenBack(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	w.down["a"] = true
	w.offer("b", "t1", "one")
	if w.replies["t1"] != nil {
		t.Fatal("answered though the holder is dead")
	}
	w.pass(2 * time.Second)
	if got := w.replies["t1"]; !got.GetUndecided() {
		t.Errorf("after the silence bound: %v", got)
	}
	w.pass(3 * time.Second)
	w.offer("b", "t2", "one")
	if got := w.replies["t2"]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("asked again: %v", got)
	}
}

// A seat that comes back empty counts only when it has read both others.
func TestEmptySeatReadsBothOthers(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	w.offer("a", "t1", "one")
	w.seats["c"] = NewSeat(trioOptions("c"), 99, nil)
	w.down["b"] = true
	w.pass(5 * time.Second)
	if w.seats["c"].Status().Counted {
		t.Error("counted after reading one of two")
	}
	w.offer("a", "t2", "two")
	if got := w.replies["t2"]; got != nil && !got.GetUndecided() {
		t.Errorf("a majority was made with an empty seat: %v", got)
	}
	w.down["b"] = false
	w.pass(5 * time.Second)
	if stable, _ := w.seats["c"].Stable(); !w.seats["c"].Status().Counted || stable == 0 {
		t.Errorf("not refilled: %+v", w.seats["c"].Status())
	}
}

// A holder whose disk stalls lets the duty go, and takes it again when the disk is back.
func TestStalledDiskLosesTheDuty(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	w.stalled = "a"
	w.offer("a", "t", "one")
	w.pass(6 * time.Second)
	if now := w.seats["c"].Status().Holder; now != "b" {
		t.Errorf("%q holds the duty while the disk of a stalls", now)
	}
	w.stalled = ""
	for _, one := range w.waiting {
		w.act("a", w.seats["a"].Synced(w.now, one.Mark))
	}
	w.pass(6 * time.Second)
	if now := w.seats["c"].Status().Holder; now != "a" {
		t.Errorf("%q holds the duty after the disk of a came back", now)
	}
}

// Bounds that are changed while a seat runs count from then on: a seat unheard for the new bound is
// dead, and who the seats are and how many copies a change needs is as it was.
func TestSeatsTakeOtherBounds(t *testing.T) {
	w := newTrio()
	w.pass(5 * time.Second)
	for _, name := range trioOrder {
		options := trioOptions(name)
		options.Silence, options.Order, options.Losses, options.Name = 300*time.Millisecond, []string{"x"}, 2, "x"
		w.act(name, w.seats[name].Rebound(w.now, options))
		if kept := w.seats[name].options; kept.Name != name || len(kept.Order) != 3 || kept.Losses != 0 || kept.Silence != options.Silence {
			t.Errorf("%s goes by %v", name, kept)
		}
	}
	w.down["a"] = true
	w.pass(time.Second)
	if holder := w.seats["c"].Status().Holder; holder != "b" {
		t.Errorf("a second after a is lost, %q holds the duty", holder)
	}
}
