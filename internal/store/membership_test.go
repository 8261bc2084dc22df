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

// rise starts a replica that is found by its name, with the disk that it had or an empty one.
func (w *trio) rise(name string, foundingMembers bool, losses int) {
	options := trioOptions(name)
	options.Order, options.Seeds, options.Losses = nil, trioOrder, losses
	if foundingMembers && slices.Contains(trioOrder, name) {
		options.Founders = trioOrder
	}
	options.Raise = foundingMembers && options.Founders == nil
	if len(w.disks[name]) == 0 {
		folders++
		w.disks[name] = []*schema.Record{Birth(options, folders)}
	}
	w.replicas[name] = NewReplica(options, 0, w.disks[name])
	w.down[name] = false
	if !slices.Contains(w.order, name) {
		w.order = append(slices.Clone(w.order), name)
	}
}

// newCore is a core founded from three seeds, and of more members that want one.
func newCore(losses int, more ...string) *trio {
	w := newTrio()
	for _, name := range append(slices.Clone(trioOrder), more...) {
		w.rise(name, true, losses)
	}
	w.pass(5 * time.Second)
	return w
}

// names tells the members as one of them knows them, and how many there should be.
func (w *trio) names(at string) string {
	var names []string
	status := w.replicas[at].Status()
	for _, replica := range status.Membership.GetMembers() {
		names = append(names, replica.Seat)
	}
	return fmt.Sprint(strings.Join(names, " "), " of ", status.Membership.GetWanted())
}

func (w *trio) holds(t *testing.T, want string, names ...string) {
	t.Helper()
	for _, at := range names {
		if got := w.names(at); got != want {
			t.Errorf("%s takes the members to be %q, want %q", at, got, want)
		}
	}
}

func (w *trio) accepts(t *testing.T, at, id string) {
	t.Helper()
	w.propose(at, id, id)
	if got := w.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("%s at %s: %v", id, at, got)
	}
}

// A replica that is alone is a majority by itself: it decides, and it answers where it stands.
func TestOneSeatAlone(t *testing.T) {
	w := newTrio()
	clear(w.replicas)
	w.order = nil
	options := trioOptions("a")
	options.Order, options.Seeds, options.Founders = nil, []string{"a"}, []string{"a"}
	w.replicas["a"], w.order = NewReplica(options, 0, []*schema.Record{Birth(options, 1)}), []string{"a"}
	w.pass(5 * time.Second)
	w.accepts(t, "a", "one")
	for _, action := range w.replicas["a"].ReadIndex(w.now, "stand") {
		if back, answered := action.(ReadIndexReady); answered && !back.Result.Undecided && back.Result.Committed == 1 {
			return
		}
	}
	t.Error("the replica does not tell where it stands")
}

// Seats beyond the seeds raise the number that is wanted; a yes then needs three copies.
func TestSeatsBeyondTheSeeds(t *testing.T) {
	w := newCore(2, "d", "e")
	w.holds(t, "a b c d e of 5", "a", "b", "c", "d", "e")
	w.down["d"], w.down["e"] = true, true
	w.accepts(t, "c", "one")
	w.down["c"] = true
	w.propose("a", "t2", "two")
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
	if !w.replicas["d"].member() || !w.replicas["e"].member() {
		t.Error("refilled members do not count")
	}
	w.accepts(t, "e", "three")
}

// A machine that is gone for good gives its replica to the one that comes in its place, soon; should
// it come back after all, it is kept up to date and disturbs nobody.
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
			epoch := w.replicas["d"].Status().Epoch
			w.down[gone] = false
			w.pass(10 * time.Second)
			w.holds(t, want, append(left, "d")...)
			status := w.replicas[gone].Status()
			if now := w.replicas["d"].Status().Epoch; now != epoch || status.Member {
				t.Errorf("%s came back: epoch %d after %d, counted %t", gone, now, epoch, status.Member)
			}
			if status.Committed != w.replicas["d"].Status().Committed {
				t.Errorf("%s is not kept up to date: %d", gone, status.Committed)
			}
			// It stands ready for the next that is lost, and changes go on with it.
			w.down[left[1]] = true
			w.pass(6 * time.Second)
			w.accepts(t, left[0], "three")
			if !w.replicas[gone].member() {
				t.Errorf("%s did not become a member: %s", gone, w.names(left[0]))
			}
		})
	}
}

// A replica that comes back empty under its name never counts with what its lost folder had said.
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
		if leader := w.replicas[at].Status().Leader; leader != "" {
			t.Errorf("%s takes %q for the leader", at, leader)
		}
	}
	w.down["b"] = false
	w.pass(5 * time.Second)
	w.holds(t, "b c a of 3", "a", "b", "c")
	w.accepts(t, "a", "two")
	if _, state := w.replicas["c"].Committed(); state["segment/one"] == nil {
		t.Error("what was acknowledged is lost")
	}
}

// A replica whose disk refuses gives leadership away, says yes to nothing, and takes part again once
// its disk has taken the whole state.
func TestRefusingDisk(t *testing.T) {
	w := newCore(1)
	w.stalled = "a" // its disk takes nothing
	w.propose("a", "one", "one")
	w.act("a", w.replicas["a"].DiskFailed(w.now))
	w.pass(time.Second)
	if now := w.replicas["c"].Status().Leader; now != "b" {
		t.Errorf("%q holds leadership though the disk of a refuses", now)
	}
	w.accepts(t, "b", "two")
	w.stalled, w.waiting = "", nil
	w.act("a", w.replicas["a"].Rewrite(w.now))
	w.pass(3 * time.Second)
	w.down["b"] = true
	w.pass(4 * time.Second)
	w.accepts(t, "a", "three")
	if _, state := w.replicas["a"].Committed(); state["segment/two"] == nil {
		t.Error("what was acknowledged meanwhile is missing")
	}
}

// A change of the leader sends the whole state to nobody who has it, and an idle core says little.
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
	if leader := w.replicas["c"].Status().Leader; leader != "a" || w.wholes > 0 {
		t.Errorf("%q holds leadership; the whole state was sent %d times", leader, w.wholes)
	}
	w.sent = 0
	w.pass(10 * time.Second)
	// Names, address and incarnation of a message go once over a wire, and are most of these bytes.
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
		w.act("b", w.replicas["b"].Propose(w.now, &schema.Proposal{Ticket: id, Change: &schema.Change{Id: id, ByGiven: true, Items: []*schema.Item{item}}}))
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
	_, state := w.replicas["c"].Committed()
	for i := range most {
		if item := state[setup.Key("segment", fmt.Sprint("s", i))]; item == nil || !item.Deleted || item.Given != 7 {
			t.Errorf("s%d: %v", i, item)
		}
	}
	for i := range 2 * most {
		given(fmt.Sprint("more", i), 1, true)
		w.pass(100 * time.Millisecond)
	}
	_, state = w.replicas["c"].Committed()
	if _, dropped := state.Tombstones(); len(dropped) > most+most/2 {
		t.Errorf("%d tombstones are kept", len(dropped))
	}
}
