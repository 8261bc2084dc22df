package store

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// folders hands out incarnations.
var folders uint64 = 100

// rise starts a seat that is found by its name, with the disk that it had or an empty one.
func (w *trio) rise(name string, founding bool, losses int) {
	options := trioOptions(name)
	options.Order, options.Seeds, options.Losses = nil, trioOrder, losses
	if founding && slices.Contains(trioOrder, name) {
		options.Founders = trioOrder
	}
	options.Raise = founding && options.Founders == nil
	if len(w.disks[name]) == 0 {
		folders++
		w.disks[name] = []*schema.Record{Birth(options, folders)}
	}
	w.seats[name] = NewSeat(options, 0, w.disks[name])
	w.down[name] = false
	if !slices.Contains(w.order, name) {
		w.order = append(slices.Clone(w.order), name)
	}
}

// newCore is a core founded from three seeds, and of more seats that want one.
func newCore(losses int, more ...string) *trio {
	w := newTrio()
	for _, name := range append(slices.Clone(trioOrder), more...) {
		w.rise(name, true, losses)
	}
	w.pass(5 * time.Second)
	return w
}

// names tells the seats as one of them knows them, and how many there should be.
func (w *trio) names(at string) string {
	var names []string
	status := w.seats[at].Status()
	for _, seat := range status.Seats.GetSeats() {
		names = append(names, seat.Seat)
	}
	return fmt.Sprint(strings.Join(names, " "), " of ", status.Seats.GetWanted())
}

func (w *trio) holds(t *testing.T, want string, names ...string) {
	t.Helper()
	for _, at := range names {
		if got := w.names(at); got != want {
			t.Errorf("%s takes the seats to be %q, want %q", at, got, want)
		}
	}
}

func (w *trio) accepts(t *testing.T, at, id string) {
	t.Helper()
	w.offer(at, id, id)
	if got := w.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("%s at %s: %v", id, at, got)
	}
}

// A seat that is alone is a majority by itself: it decides, and it answers where it stands.
func TestOneSeatAlone(t *testing.T) {
	w := newTrio()
	clear(w.seats)
	w.order = nil
	options := trioOptions("a")
	options.Order, options.Seeds, options.Founders = nil, []string{"a"}, []string{"a"}
	w.seats["a"], w.order = NewSeat(options, 0, []*schema.Record{Birth(options, 1)}), []string{"a"}
	w.pass(5 * time.Second)
	w.accepts(t, "a", "one")
	for _, action := range w.seats["a"].Stand(w.now, "stand") {
		if back, answered := action.(ReplyBarrier); answered && !back.Back.Undecided && back.Back.Stable == 1 {
			return
		}
	}
	t.Error("the seat does not tell where it stands")
}

// Seats beyond the seeds raise the number that is wanted; a yes then needs three copies.
func TestSeatsBeyondTheSeeds(t *testing.T) {
	w := newCore(2, "d", "e")
	w.holds(t, "a b c d e of 5", "a", "b", "c", "d", "e")
	w.down["d"], w.down["e"] = true, true
	w.accepts(t, "c", "one")
	w.down["c"] = true
	w.offer("a", "t2", "two")
	if got := w.replies["t2"]; got != nil && !got.Undecided {
		t.Errorf("two of five gave a yes: %v", got)
	}
	// Two disks are lost at once; the three that are left refill them.
	w.disks["d"], w.disks["e"] = nil, nil
	w.down["c"] = false
	w.pass(3 * time.Second)
	w.rise("d", false, 2)
	w.rise("e", false, 2)
	w.pass(4 * time.Second)
	w.holds(t, "a b c d e of 5", "a", "c")
	if !w.seats["d"].member() || !w.seats["e"].member() {
		t.Error("refilled seats do not count")
	}
	w.accepts(t, "e", "three")
}

// A machine that is gone for good gives its seat to the one that comes in its place, soon; should
// it come back after all, it is kept level and disturbs nobody.
func TestSuccessor(t *testing.T) {
	for _, gone := range trioOrder {
		t.Run(gone, func(t *testing.T) {
			w := newCore(1)
			w.accepts(t, "a", "one")
			w.down[gone] = true
			w.rise("d", false, 1)
			w.pass(4 * time.Second)
			left := slices.DeleteFunc(slices.Clone(trioOrder), func(name string) bool { return name == gone })
			want := strings.Join(left, " ") + " d of 3"
			w.holds(t, want, append(left, "d")...)
			w.accepts(t, "d", "two")
			epoch := w.seats["d"].Status().Epoch
			w.down[gone] = false
			w.pass(10 * time.Second)
			w.holds(t, want, append(left, "d")...)
			status := w.seats[gone].Status()
			if now := w.seats["d"].Status().Epoch; now != epoch || status.Counted {
				t.Errorf("%s came back: epoch %d after %d, counted %t", gone, now, epoch, status.Counted)
			}
			if status.Stable != w.seats["d"].Status().Stable {
				t.Errorf("%s is not kept level: %d", gone, status.Stable)
			}
			// It stands ready for the next that is lost, and changes go on with it.
			w.down[left[1]] = true
			w.pass(6 * time.Second)
			w.accepts(t, left[0], "three")
			if !w.seats[gone].member() {
				t.Errorf("%s got no seat: %s", gone, w.names(left[0]))
			}
		})
	}
}

// A seat that comes back empty under its name never counts with what its lost folder had said.
func TestEmptyFolderIsAnotherSeat(t *testing.T) {
	w := newCore(1)
	w.down["c"] = true
	w.accepts(t, "a", "one")
	// Only a and b hold it. a loses its disk, and b is away: nobody may make a majority.
	w.down["b"] = true
	w.disks["a"] = nil
	w.rise("a", false, 1)
	w.down["c"] = false
	w.pass(10 * time.Second)
	for _, at := range []string{"a", "c"} {
		if holder := w.seats[at].Status().Holder; holder != "" {
			t.Errorf("%s takes %q for the holder", at, holder)
		}
	}
	w.down["b"] = false
	w.pass(5 * time.Second)
	w.holds(t, "b c a of 3", "a", "b", "c")
	w.accepts(t, "a", "two")
	if _, state := w.seats["c"].Stable(); state["segment/one"] == nil {
		t.Error("what was acknowledged is lost")
	}
}

// A seat whose disk refuses gives the duty away, says yes to nothing, and takes part again once
// its disk has taken the whole state.
func TestRefusingDisk(t *testing.T) {
	w := newCore(1)
	w.stalled = "a" // its disk takes nothing
	w.offer("a", "one", "one")
	w.act("a", w.seats["a"].DiskFailed(w.now))
	w.pass(time.Second)
	if now := w.seats["c"].Status().Holder; now != "b" {
		t.Errorf("%q holds the duty though the disk of a refuses", now)
	}
	w.accepts(t, "b", "two")
	w.stalled, w.waiting = "", nil
	w.act("a", w.seats["a"].Rewrite(w.now))
	w.pass(3 * time.Second)
	w.down["b"] = true
	w.pass(4 * time.Second)
	w.accepts(t, "a", "three")
	if _, state := w.seats["a"].Stable(); state["segment/two"] == nil {
		t.Error("what was acknowledged meanwhile is missing")
	}
}

// A change of the holder sends the whole state to nobody who has it, and an idle core says little.
func TestWhatIsSent(t *testing.T) {
	w := newCore(1)
	for i := range 40 {
		w.accepts(t, "c", fmt.Sprint("change-", i))
	}
	w.wholes = 0
	w.down["a"] = true
	w.pass(3 * time.Second)
	w.accepts(t, "c", "more")
	w.down["a"] = false
	w.pass(5 * time.Second)
	if holder := w.seats["c"].Status().Holder; holder != "a" || w.wholes > 0 {
		t.Errorf("%q holds the duty; the whole state was sent %d times", holder, w.wholes)
	}
	w.sent = 0
	w.pass(10 * time.Second)
	// Names, address and incarnation of a letter go once over a wire, and are most of these bytes.
	if w.sent > 10*1000 {
		t.Errorf("an idle core sends %d bytes in ten seconds", w.sent)
	}
}

// Given versions never go down: tombstones that bear one stay until there are too many.
func TestGivenTombstones(t *testing.T) {
	w := newCore(1)
	serial := 0
	given := func(name string, version uint64, deleted bool) {
		t.Helper()
		serial++
		id := fmt.Sprint("given-", serial)
		item := &schema.Item{Kind: "segment", Name: name, Given: version, Deleted: deleted}
		if !deleted {
			item.Body = []byte(`{"salt":""}`)
		}
		w.act("b", w.seats["b"].Offer(w.now, &schema.Submit{Ticket: id, Change: &schema.Change{Id: id, ByGiven: true, Items: []*schema.Item{item}}}))
		if got := w.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
			t.Fatalf("%s: %v", id, got)
		}
	}
	most := trioOptions("a").DroppedMost
	for i := range most {
		given(fmt.Sprint("s", i), 5, false)
		given(fmt.Sprint("s", i), 7, true)
		w.pass(100 * time.Millisecond)
	}
	for i := range most {
		given(fmt.Sprint("s", i), 6, false)
	}
	_, state := w.seats["c"].Stable()
	for i := range most {
		if item := state[setup.Key("segment", fmt.Sprint("s", i))]; item == nil || !item.Deleted || item.Given != 7 {
			t.Errorf("s%d: %v", i, item)
		}
	}
	for i := range 2 * most {
		given(fmt.Sprint("more", i), 1, true)
		w.pass(100 * time.Millisecond)
	}
	_, state = w.seats["c"].Stable()
	if _, dropped := state.Tombstones(); len(dropped) > most+most/2 {
		t.Errorf("%d tombstones are kept", len(dropped))
	}
}
