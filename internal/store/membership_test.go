package store

import (
	"slices"
	"strings"
	"testing"
	"time"

	"meadowhinge/schema"
)

// A single member is a majority by itself: it decides changes and answers a read index at once.
func TestSingleMemberDecidesAlone(t *testing.T) {
	c := newStaticCore()
	clear(c.replicas)
	c.order = nil
	cfg := testConfig("a")
	cfg.StaticMembers, cfg.Seeds, cfg.Founders = nil, []string{"a"}, []string{"a"}
	c.replicas["a"], c.order = NewReplica(cfg, 0, []*schema.Record{InitialRecord(cfg, 1)}), []string{"a"}
	c.advance(5 * time.Second)
	c.expectAccepted(t, "a", "one")
	actions := c.replicas["a"].ReadIndex(c.now, "read")
	for _, action := range actions {
		if reply, answered := action.(ReadIndexReady); answered && !reply.Result.Undecided && reply.Result.Committed == 1 {
			return
		}
	}
	t.Errorf("ReadIndex of a single member = %+v, want a decided ReadIndexReady with the committed sequence 1", actions)
}

// Members that join at the first start raise the target size. With two tolerated losses a commit then needs three copies.
func TestMembersBeyondTheFoundersRaiseTargetSize(t *testing.T) {
	c := newFoundedCore(2, "d", "e")
	c.expectMembers(t, "a b c d e of 5", "a", "b", "c", "d", "e")
	c.down["d"], c.down["e"] = true, true
	c.expectAccepted(t, "c", "one")
	c.down["c"] = true
	c.propose("a", "t2", "two")
	if got := c.replies["t2"]; got != nil && !got.Undecided {
		t.Errorf("Propose with two of five members up got reply %v, want none or undecided", got)
	}
	// Two disks are lost at once; the three remaining members restore them.
	c.disks["d"], c.disks["e"] = nil, nil
	c.down["c"] = false
	c.advance(3 * time.Second)
	c.start("d", false, 2)
	c.start("e", false, 2)
	c.advance(4 * time.Second)
	c.expectMembers(t, "a b c d e of 5", "a", "c")
	if !c.replicas["d"].isMember() || !c.replicas["e"].isMember() {
		t.Errorf("members after d and e came back with empty disks: d %t, e %t; want both",
			c.replicas["d"].isMember(), c.replicas["e"].isMember())
	}
	c.expectAccepted(t, "e", "three")
}

// A lost member is replaced by a replica that joins. If the lost one comes back, it becomes a learner that is kept up to
// date, does not depose the leader, and replaces the next member that is lost.
func TestLostMemberIsReplaced(t *testing.T) {
	for _, lost := range founderNames {
		t.Run(lost, func(t *testing.T) {
			c := newFoundedCore(1)
			c.expectAccepted(t, "a", "one")
			c.down[lost] = true
			c.start("d", false, 1)
			c.advance(4 * time.Second)
			remaining := slices.DeleteFunc(slices.Clone(founderNames), func(name string) bool { return name == lost })
			want := strings.Join(remaining, " ") + " d of 3"
			c.expectMembers(t, want, append(remaining, "d")...)
			c.expectAccepted(t, "d", "two")
			term := c.replicas["d"].Status().Term
			c.down[lost] = false
			c.advance(10 * time.Second)
			c.expectMembers(t, want, append(remaining, "d")...)
			status := c.replicas[lost].Status()
			if current := c.replicas["d"].Status().Term; current != term || status.Member {
				t.Errorf("after %s came back: d is in term %d, %s is a member: %t; want term %d and no member", lost, current, lost, status.Member, term)
			}
			if want := c.replicas["d"].Status().Committed; status.Committed != want {
				t.Errorf("learner %s has committed %d, want %d", lost, status.Committed, want)
			}
			// The learner replaces the next member that is lost.
			c.down[remaining[1]] = true
			c.advance(6 * time.Second)
			c.expectAccepted(t, remaining[0], "three")
			if !c.replicas[lost].isMember() {
				t.Errorf("learner %s is not a member after the loss of %s; the membership is %q, want it listed", lost, remaining[1], c.memberNames(remaining[0]))
			}
		})
	}
}

// A replica that comes back with an empty data folder under its old name never counts for what the lost folder
// acknowledged.
func TestEmptyFolderIsAnotherMember(t *testing.T) {
	c := newFoundedCore(1)
	c.down["c"] = true
	c.expectAccepted(t, "a", "one")
	// Only a and b have the change. After a has lost its disk, and while b is down, a and c must not form a majority.
	c.down["b"] = true
	c.disks["a"] = nil
	c.start("a", false, 1)
	c.down["c"] = false
	c.advance(10 * time.Second)
	for _, at := range []string{"a", "c"} {
		if leader := c.replicas[at].Status().Leader; leader != "" {
			t.Errorf("leader at %s = %q, want none while b is down", at, leader)
		}
	}
	c.down["b"] = false
	c.advance(5 * time.Second)
	c.expectMembers(t, "b c a of 3", "a", "b", "c")
	c.expectAccepted(t, "a", "two")
	if _, state := c.replicas["c"].Committed(); state["segment/one"] == nil {
		t.Error("the committed state of c lacks segment one, which was acknowledged")
	}
}
