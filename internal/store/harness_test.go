package store

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/schema"
)

// testCore runs the replicas of a core on one clock. Messages and writes take no time and are never lost, except for
// the faults that a test sets.
type testCore struct {
	now           time.Duration
	replicas      map[string]*Replica              // the replicas, by name
	down          map[string]bool                  // replicas that neither tick nor send nor receive, by name
	replies       map[string]*schema.ProposalReply // the replies to proposals, by ticket
	stalled       string                           // name of the replica whose writes do not complete; empty for none
	stalledWrites []Persist                        // writes of the stalled replica
	order         []string                         // names of the replicas, in the order of their ticks
	disks         map[string][]*schema.Record      // log records, by replica name
	bytesSent     int                              // total encoded size of the messages sent
	snapshotsSent int                              // number of messages sent with a complete snapshot
}

// founderNames are the names of the founders, or of the members of the static list.
var founderNames = []string{"a", "b", "c"}

// testConfig returns the configuration of a member of a static list.
func testConfig(name string) Config {
	return Config{
		Name:                  name,
		Address:               name,
		StaticMembers:         founderNames,
		HeartbeatTimeout:      1500 * time.Millisecond,
		StallTimeout:          2 * time.Second,
		MaxEntries:            8,
		MaxOutcomes:           64,
		MaxUncommittedEntries: 16,
		MaxOperatorTombstones: 12,
	}
}

// newStaticCore returns a core of three empty replicas with a static member list.
func newStaticCore() *testCore {
	core := &testCore{
		replicas: map[string]*Replica{},
		down:     map[string]bool{},
		replies:  map[string]*schema.ProposalReply{},
		order:    founderNames,
		disks:    map[string][]*schema.Record{},
	}
	for i, name := range founderNames {
		core.replicas[name] = NewReplica(testConfig(name), uint64(i+1), nil)
	}
	return core
}

// execute carries out the actions of a replica, and recursively those that result from them.
func (c *testCore) execute(from string, actions []Action) {
	for _, action := range actions {
		switch typed := action.(type) {
		case Send:
			c.bytesSent += proto.Size(typed.Message)
			if typed.Message.GetBeginTerm().GetSnapshot() != nil || typed.Message.GetVote().GetSnapshot() != nil {
				c.snapshotsSent++
			}
			if to := typed.Message.To; c.replicas[to] != nil && !c.down[to] && !c.down[from] {
				c.execute(to, c.replicas[to].Step(c.now, proto.Clone(typed.Message).(*schema.ReplicaMessage)))
			}
		case Persist:
			if from == c.stalled {
				c.stalledWrites = append(c.stalledWrites, typed)
			} else {
				if typed.ReplacesLog {
					c.disks[from] = nil
				}
				c.disks[from] = append(c.disks[from], typed.Record)
				c.execute(from, c.replicas[from].Persisted(c.now, typed.WriteID))
			}
		case Reply:
			c.replies[typed.Result.Ticket] = typed.Result
		}
	}
}

// advance runs the core for a time span, with a tick of each replica every 75 ms.
func (c *testCore) advance(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += 75 * time.Millisecond {
		for _, name := range c.order {
			if !c.down[name] {
				c.execute(name, c.replicas[name].Tick(c.now))
			}
		}
	}
}

// propose proposes a change that creates a segment with the change's id as its name. The reply is stored under the
// ticket.
func (c *testCore) propose(at, ticket, id string) {
	change := &schema.Change{Id: id, Items: []*schema.Item{{Kind: "segment", Name: id, Body: []byte(`{"salt":""}`)}}}
	c.execute(at, c.replicas[at].Propose(c.now, &schema.Proposal{Ticket: ticket, Change: change}))
}

// lastIncarnation is the last incarnation that start assigned.
var lastIncarnation uint64 = 100

// start starts a replica without a static member list, from its disk if that has records.
func (c *testCore) start(name string, founding bool, losses int) {
	cfg := testConfig(name)
	cfg.StaticMembers, cfg.Seeds, cfg.ToleratedLosses = nil, founderNames, losses
	if founding && slices.Contains(founderNames, name) {
		cfg.Founders = founderNames
	}
	cfg.ExpandsMembership = founding && cfg.Founders == nil
	if len(c.disks[name]) == 0 {
		lastIncarnation++
		c.disks[name] = []*schema.Record{InitialRecord(cfg, lastIncarnation)}
	}
	c.replicas[name] = NewReplica(cfg, 0, c.disks[name])
	c.down[name] = false
	if !slices.Contains(c.order, name) {
		c.order = append(slices.Clone(c.order), name)
	}
}

// newFoundedCore returns a core of three founders without a static member list, and of more members that join at the
// first start.
func newFoundedCore(losses int, more ...string) *testCore {
	c := newStaticCore()
	for _, name := range append(slices.Clone(founderNames), more...) {
		c.start(name, true, losses)
	}
	c.advance(5 * time.Second)
	return c
}

// memberNames returns the membership according to one replica, as in "a b c of 3", where 3 is the target size.
func (c *testCore) memberNames(at string) string {
	var names []string
	status := c.replicas[at].Status()
	for _, member := range status.Membership.GetMembers() {
		names = append(names, member.Id)
	}
	return fmt.Sprint(strings.Join(names, " "), " of ", status.Membership.GetTargetSize())
}

// expectMembers checks the membership according to the named replicas, in the form of memberNames.
func (c *testCore) expectMembers(t *testing.T, want string, names ...string) {
	t.Helper()
	for _, at := range names {
		if got := c.memberNames(at); got != want {
			t.Errorf("membership at %s = %q, want %q", at, got, want)
		}
	}
}

// expectAccepted proposes a change at a replica and checks that it is accepted at once.
func (c *testCore) expectAccepted(t *testing.T, at, id string) {
	t.Helper()
	c.propose(at, id, id)
	if got := c.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("Propose(%q) at %s got reply %v, want it accepted", id, at, got)
	}
}
