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
	c := newStaticCore()
	clear(c.replicas)
	c.order = nil
	cfg := testConfig("a")
	cfg.StaticMembers, cfg.Seeds, cfg.Founders = nil, []string{"a"}, []string{"a"}
	c.replicas["a"], c.order = NewReplica(cfg, 0, []*schema.Record{InitialRecord(cfg, 1)}), []string{"a"}
	c.advance(5 * time.Second)
	c.expectAccepted(t, "a", "one")
	for _, action := range c.replicas["a"].ReadIndex(c.now, "stand") {
		if reply, answered := action.(ReadIndexReady); answered && !reply.Result.Undecided && reply.Result.Committed == 1 {
			return
		}
	}
	t.Error("the replica does not tell where it stands")
}

// Seats beyond the seeds raise the number that is wanted; a yes then needs three copies.
func TestMembersBeyondTheSeeds(t *testing.T) {
	c := newFoundedCore(2, "d", "e")
	c.expectMembers(t, "a b c d e of 5", "a", "b", "c", "d", "e")
	c.down["d"], c.down["e"] = true, true
	c.expectAccepted(t, "c", "one")
	c.down["c"] = true
	c.propose("a", "t2", "two")
	if got := c.replies["t2"]; got != nil && !got.Undecided {
		t.Errorf("two of five gave a yes: %v", got)
	}
	// Two disks are lost at once; the three that are left refill them.
	c.disks["d"], c.disks["e"] = nil, nil
	c.down["c"] = false
	c.advance(3 * time.Second)
	c.start("d", false, 2)
	c.start("e", false, 2)
	c.advance(4 * time.Second)
	c.expectMembers(t, "a b c d e of 5", "a", "c")
	if !c.replicas["d"].isMember() || !c.replicas["e"].isMember() {
		t.Error("refilled members do not count")
	}
	c.expectAccepted(t, "e", "three")
}

// A machine that is gone for good gives its replica to the one that comes in its place, soon; should
// it come back after all, it is kept up to date and disturbs nobody.
func TestReplacementMember(t *testing.T) {
	for _, gone := range founderNames {
		t.Run(gone, func(t *testing.T) {
			c := newFoundedCore(1)
			c.expectAccepted(t, "a", "one")
			c.down[gone] = true
			c.start("d", false, 1)
			c.advance(4 * time.Second)
			remaining := slices.DeleteFunc(slices.Clone(founderNames), func(name string) bool { return name == gone })
			want := strings.Join(remaining, " ") + " d of 3"
			c.expectMembers(t, want, append(remaining, "d")...)
			c.expectAccepted(t, "d", "two")
			term := c.replicas["d"].Status().Term
			c.down[gone] = false
			c.advance(10 * time.Second)
			c.expectMembers(t, want, append(remaining, "d")...)
			status := c.replicas[gone].Status()
			if now := c.replicas["d"].Status().Term; now != term || status.Member {
				t.Errorf("%s came back: epoch %d after %d, counted %t", gone, now, term, status.Member)
			}
			if status.Committed != c.replicas["d"].Status().Committed {
				t.Errorf("%s is not kept up to date: %d", gone, status.Committed)
			}
			// It stands ready for the next that is lost, and changes go on with it.
			c.down[remaining[1]] = true
			c.advance(6 * time.Second)
			c.expectAccepted(t, remaining[0], "three")
			if !c.replicas[gone].isMember() {
				t.Errorf("%s did not become a member: %s", gone, c.memberNames(remaining[0]))
			}
		})
	}
}

// A replica that comes back empty under its name never counts with what its lost folder had said.
func TestEmptyFolderIsAnotherMember(t *testing.T) {
	c := newFoundedCore(1)
	c.down["c"] = true
	c.expectAccepted(t, "a", "one")
	// Only a and b hold it. a loses its disk, and b is away: nobody may make a majority.
	c.down["b"] = true
	c.disks["a"] = nil
	c.start("a", false, 1)
	c.down["c"] = false
	c.advance(10 * time.Second)
	for _, at := range []string{"a", "c"} {
		if leader := c.replicas[at].Status().Leader; leader != "" {
			t.Errorf("%s takes %q for the leader", at, leader)
		}
	}
	c.down["b"] = false
	c.advance(5 * time.Second)
	c.expectMembers(t, "b c a of 3", "a", "b", "c")
	c.expectAccepted(t, "a", "two")
	if _, state := c.replicas["c"].Committed(); state["segment/one"] == nil {
		t.Error("what was acknowledged is lost")
	}
}
