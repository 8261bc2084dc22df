package store

import (
	"slices"
	"strings"
	"testing"
	"time"

	"meadowhinge/schema"
)

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
