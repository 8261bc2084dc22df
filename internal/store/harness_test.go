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

// testCore is a core of replicas on one clock, with links that lose nothing and disks that take no time, but for the
// faults that a test sets.
type testCore struct {
	now           time.Duration
	replicas      map[string]*Replica
	down          map[string]bool                  // neither ticks nor sends nor receives
	replies       map[string]*schema.ProposalReply // by ticket
	stalled       string                           // the replica whose writes do not complete
	stalledWrites []Persist                        // its writes
	order         []string                         // of ticks
	disks         map[string][]*schema.Record
	bytesSent     int // in messages
	snapshotsSent int // messages with a complete snapshot
}

var founderNames = []string{"a", "b", "c"}

// testConfig is the configuration of a member of a static list.
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

// newStaticCore is a core of three empty members with a static member list.
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

// act carries out a replica's actions, and at once those that follow from them.
func (c *testCore) act(from string, actions []Action) {
	for _, action := range actions {
		switch typed := action.(type) {
		case Send:
			c.bytesSent += proto.Size(typed.Message)
			if typed.Message.GetBeginTerm().GetSnapshot() != nil || typed.Message.GetVote().GetSnapshot() != nil {
				c.snapshotsSent++
			}
			if to := typed.Message.To; c.replicas[to] != nil && !c.down[to] && !c.down[from] {
				c.act(to, c.replicas[to].Step(c.now, proto.Clone(typed.Message).(*schema.ReplicaMessage)))
			}
		case Persist:
			if from == c.stalled {
				c.stalledWrites = append(c.stalledWrites, typed)
			} else {
				if typed.ReplacesLog {
					c.disks[from] = nil
				}
				c.disks[from] = append(c.disks[from], typed.Record)
				c.act(from, c.replicas[from].Persisted(c.now, typed.WriteID))
			}
		case Reply:
			c.replies[typed.Result.Ticket] = typed.Result
		}
	}
}

// advance lets time pass, with a tick of each replica every 75 ms.
func (c *testCore) advance(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += 75 * time.Millisecond {
		for _, name := range c.order {
			if !c.down[name] {
				c.act(name, c.replicas[name].Tick(c.now))
			}
		}
	}
}

// propose proposes a change that creates a segment of the change's id; the reply is found by the ticket.
func (c *testCore) propose(at, ticket, id string) {
	change := &schema.Change{Id: id, Items: []*schema.Item{{Kind: "segment", Name: id, Body: []byte(`{"salt":""}`)}}}
	c.act(at, c.replicas[at].Propose(c.now, &schema.Proposal{Ticket: ticket, Change: change}))
}

// lastIncarnation is the last incarnation that start drew.
var lastIncarnation uint64 = 100

// start starts a replica without a static member list, with the disk that it had or an empty one.
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

// newFoundedCore is a core of three founders without a static member list, and of more members that join at the first
// start.
func newFoundedCore(losses int, more ...string) *testCore {
	c := newStaticCore()
	for _, name := range append(slices.Clone(founderNames), more...) {
		c.start(name, true, losses)
	}
	c.advance(5 * time.Second)
	return c
}

// memberNames is the membership as one member has it, with the target size.
func (c *testCore) memberNames(at string) string {
	var names []string
	status := c.replicas[at].Status()
	for _, member := range status.Membership.GetMembers() {
		names = append(names, member.Id)
	}
	return fmt.Sprint(strings.Join(names, " "), " of ", status.Membership.GetTargetSize())
}

// expectMembers checks the membership at some replicas, in the form of memberNames.
func (c *testCore) expectMembers(t *testing.T, want string, names ...string) {
	t.Helper()
	for _, at := range names {
		if got := c.memberNames(at); got != want {
			t.Errorf("%s takes the members to be %q, want %q", at, got, want)
		}
	}
}

// expectAccepted proposes a change at a replica and checks that it is accepted.
func (c *testCore) expectAccepted(t *testing.T, at, id string) {
	t.Helper()
	c.propose(at, id, id)
	if got := c.replies[id]; got.GetOutcome().GetRuling() != schema.Ruling_RULING_ACCEPTED {
		t.Errorf("%s at %s: %v", id, at, got)
	}
}
