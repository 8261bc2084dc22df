package store

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// lastIncarnation hands out incarnations.
var lastIncarnation uint64 = 100

// start starts a replica that is found by its name, with the disk that it had or an empty one.
func (w *trio) start(name string, founding bool, losses int) {
	cfg := trioConfig(name)
	cfg.StaticMembers, cfg.Seeds, cfg.ToleratedLosses = nil, trioMembers, losses
	if founding && slices.Contains(trioMembers, name) {
		cfg.Founders = trioMembers
	}
	cfg.ExpandsMembership = founding && cfg.Founders == nil
	if len(w.disks[name]) == 0 {
		lastIncarnation++
		w.disks[name] = []*schema.Record{InitialRecord(cfg, lastIncarnation)}
	}
	w.replicas[name] = NewReplica(cfg, 0, w.disks[name])
	w.down[name] = false
	if !slices.Contains(w.order, name) {
		w.order = append(slices.Clone(w.order), name)
	}
}

// newCore is a core founded from three seeds, and of more members that want one.
func newCore(losses int, more ...string) *trio {
	w := newTrio()
	for _, name := range append(slices.Clone(trioMembers), more...) {
		w.start(name, true, losses)
	}
	w.advance(5 * time.Second)
	return w
}

// memberNames tells the members as one of them knows them, and how many there should be.
func (w *trio) memberNames(at string) string {
	var names []string
	status := w.replicas[at].Status()
	for _, member := range status.Membership.GetMembers() {
		names = append(names, member.Id)
	}
	return fmt.Sprint(strings.Join(names, " "), " of ", status.Membership.GetTargetSize())
}

func (w *trio) expectMembers(t *testing.T, want string, names ...string) {
	t.Helper()
	for _, at := range names {
		if got := w.memberNames(at); got != want {
			t.Errorf("%s takes the members to be %q, want %q", at, got, want)
		}
	}
}

func (w *trio) expectAccepted(t *testing.T, at, id string) {
	t.Helper()
	w.propose(at, id, id)
	if got := w.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("%s at %s: %v", id, at, got)
	}
}

// A replica that is alone is a majority by itself: it decides, and it answers where it stands.
func TestSingleMember(t *testing.T) {
	w := newTrio()
	clear(w.replicas)
	w.order = nil
	cfg := trioConfig("a")
	cfg.StaticMembers, cfg.Seeds, cfg.Founders = nil, []string{"a"}, []string{"a"}
	w.replicas["a"], w.order = NewReplica(cfg, 0, []*schema.Record{InitialRecord(cfg, 1)}), []string{"a"}
	w.advance(5 * time.Second)
	w.expectAccepted(t, "a", "one")
	for _, action := range w.replicas["a"].ReadIndex(w.now, "stand") {
		if reply, answered := action.(ReadIndexReady); answered && !reply.Result.Undecided && reply.Result.Committed == 1 {
			return
		}
	}
	t.Error("the replica does not tell where it stands")
}

// Seats beyond the seeds raise the number that is wanted; a yes then needs three copies.
func TestMembersBeyondTheSeeds(t *testing.T) {
	w := newCore(2, "d", "e")
	w.expectMembers(t, "a b c d e of 5", "a", "b", "c", "d", "e")
	w.down["d"], w.down["e"] = true, true
	w.expectAccepted(t, "c", "one")
	w.down["c"] = true
	w.propose("a", "t2", "two")
	if got := w.replies["t2"]; got != nil && !got.Undecided {
		t.Errorf("two of five gave a yes: %v", got)
	}
	// Two disks are lost at once; the three that are left refill them.
	w.disks["d"], w.disks["e"] = nil, nil
	w.down["c"] = false
	w.advance(3 * time.Second)
	w.start("d", false, 2)
	w.start("e", false, 2)
	w.advance(4 * time.Second)
	w.expectMembers(t, "a b c d e of 5", "a", "c")
	if !w.replicas["d"].isMember() || !w.replicas["e"].isMember() {
		t.Error("refilled members do not count")
	}
	w.expectAccepted(t, "e", "three")
}

// A machine that is gone for good gives its replica to the one that comes in its place, soon; should
// it come back after all, it is kept up to date and disturbs nobody.
func TestReplacementMember(t *testing.T) {
	for _, gone := range trioMembers {
		t.Run(gone, func(t *testing.T) {
			w := newCore(1)
			w.expectAccepted(t, "a", "one")
			w.down[gone] = true
			w.start("d", false, 1)
			w.advance(4 * time.Second)
			remaining := slices.DeleteFunc(slices.Clone(trioMembers), func(name string) bool { return name == gone })
			want := strings.Join(remaining, " ") + " d of 3"
			w.expectMembers(t, want, append(remaining, "d")...)
			w.expectAccepted(t, "d", "two")
			term := w.replicas["d"].Status().Term
			w.down[gone] = false
			w.advance(10 * time.Second)
			w.expectMembers(t, want, append(remaining, "d")...)
			status := w.replicas[gone].Status()
			if now := w.replicas["d"].Status().Term; now != term || status.Member {
				t.Errorf("%s came back: epoch %d after %d, counted %t", gone, now, term, status.Member)
			}
			if status.Committed != w.replicas["d"].Status().Committed {
				t.Errorf("%s is not kept up to date: %d", gone, status.Committed)
			}
			// It stands ready for the next that is lost, and changes go on with it.
			w.down[remaining[1]] = true
			w.advance(6 * time.Second)
			w.expectAccepted(t, remaining[0], "three")
			if !w.replicas[gone].isMember() {
				t.Errorf("%s did not become a member: %s", gone, w.memberNames(remaining[0]))
			}
		})
	}
}

// A replica that comes back empty under its name never counts with what its lost folder had said.
func TestEmptyFolderIsAnotherMember(t *testing.T) {
	w := newCore(1)
	w.down["c"] = true
	w.expectAccepted(t, "a", "one")
	// Only a and b hold it. a loses its disk, and b is away: nobody may make a majority.
	w.down["b"] = true
	w.disks["a"] = nil
	w.start("a", false, 1)
	w.down["c"] = false
	w.advance(10 * time.Second)
	for _, at := range []string{"a", "c"} {
		if leader := w.replicas[at].Status().Leader; leader != "" {
			t.Errorf("%s takes %q for the leader", at, leader)
		}
	}
	w.down["b"] = false
	w.advance(5 * time.Second)
	w.expectMembers(t, "b c a of 3", "a", "b", "c")
	w.expectAccepted(t, "a", "two")
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
	w.advance(time.Second)
	if now := w.replicas["c"].Status().Leader; now != "b" {
		t.Errorf("%q holds leadership though the disk of a refuses", now)
	}
	w.expectAccepted(t, "b", "two")
	w.stalled, w.stalledWrites = "", nil
	w.act("a", w.replicas["a"].RewriteSnapshot(w.now))
	w.advance(3 * time.Second)
	w.down["b"] = true
	w.advance(4 * time.Second)
	w.expectAccepted(t, "a", "three")
	if _, state := w.replicas["a"].Committed(); state["segment/two"] == nil {
		t.Error("what was acknowledged meanwhile is missing")
	}
}

// A change of the leader sends the whole state to nobody who has it, and an idle core says little.
func TestMessageVolume(t *testing.T) {
	w := newCore(1)
	for i := range 40 {
		w.expectAccepted(t, "c", fmt.Sprint("change-", i))
	}
	w.snapshotsSent = 0
	w.down["a"] = true
	w.advance(3 * time.Second)
	w.expectAccepted(t, "c", "more")
	w.down["a"] = false
	w.advance(5 * time.Second)
	if leader := w.replicas["c"].Status().Leader; leader != "a" || w.snapshotsSent > 0 {
		t.Errorf("%q holds leadership; the whole state was sent %d times", leader, w.snapshotsSent)
	}
	w.bytesSent = 0
	w.advance(10 * time.Second)
	// Names, address and incarnation of a message go once over a wire, and are most of these bytes.
	if w.bytesSent > 10*1000 {
		t.Errorf("an idle core sends %d bytes in ten seconds", w.bytesSent)
	}
}

// Given versions never go down: tombstones that bear one stay until there are too many.
func TestOperatorVersionTombstones(t *testing.T) {
	w := newCore(1)
	serial := 0
	propose := func(name string, version uint64, deleted bool) {
		t.Helper()
		serial++
		id := fmt.Sprint("given-", serial)
		item := &schema.Item{Kind: "segment", Name: name, OperatorVersion: version, Deleted: deleted}
		if !deleted {
			item.Body = []byte(`{"salt":""}`)
		}
		w.act("b", w.replicas["b"].Propose(w.now, &schema.Proposal{Ticket: id, Change: &schema.Change{Id: id, ByOperatorVersion: true, Items: []*schema.Item{item}}}))
		if got := w.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
			t.Fatalf("%s: %v", id, got)
		}
	}
	maxTombstones := trioConfig("a").MaxOperatorTombstones
	for i := range maxTombstones {
		propose(fmt.Sprint("s", i), 5, false)
		propose(fmt.Sprint("s", i), 7, true)
		w.advance(100 * time.Millisecond)
	}
	for i := range maxTombstones {
		propose(fmt.Sprint("s", i), 6, false)
	}
	_, state := w.replicas["c"].Committed()
	for i := range maxTombstones {
		if item := state[config.Key("segment", fmt.Sprint("s", i))]; item == nil || !item.Deleted || item.OperatorVersion != 7 {
			t.Errorf("s%d: %v", i, item)
		}
	}
	for i := range 2 * maxTombstones {
		propose(fmt.Sprint("more", i), 1, true)
		w.advance(100 * time.Millisecond)
	}
	_, state = w.replicas["c"].Committed()
	if _, dropped := state.Tombstones(); len(dropped) > maxTombstones+maxTombstones/2 {
		t.Errorf("%d tombstones are kept", len(dropped))
	}
}
