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

// trio is three members on one clock, with links that lose nothing and disks that take no time.
type trio struct {
	now           time.Duration
	replicas      map[string]*Replica
	down          map[string]bool
	replies       map[string]*schema.ProposalReply // by ticket
	stalled       string                           // the replica whose disk does not come back
	stalledWrites []Persist                        // on it
	order         []string                         // in which they tick
	disks         map[string][]*schema.Record
	bytesSent     int // bytes of messages
	snapshotsSent int // messages with a whole state in them
}

var trioMembers = []string{"a", "b", "c"}

func trioConfig(name string) Config {
	return Config{Name: name, StaticMembers: trioMembers, Address: name, HeartbeatTimeout: 1500 * time.Millisecond, StallTimeout: 2 * time.Second, MaxEntries: 8, MaxOutcomes: 64, MaxUncommittedEntries: 16, MaxOperatorTombstones: 12}
}

func newTrio() *trio {
	trioCore := &trio{replicas: map[string]*Replica{}, down: map[string]bool{}, replies: map[string]*schema.ProposalReply{}, order: trioMembers, disks: map[string][]*schema.Record{}}
	for i, name := range trioMembers {
		trioCore.replicas[name] = NewReplica(trioConfig(name), uint64(i+1), nil)
	}
	return trioCore
}

func (w *trio) act(from string, actions []Action) {
	for _, action := range actions {
		switch typed := action.(type) {
		case Send:
			w.bytesSent += proto.Size(typed.Message)
			if typed.Message.GetBeginTerm().GetSnapshot() != nil || typed.Message.GetVote().GetSnapshot() != nil {
				w.snapshotsSent++
			}
			if to := typed.Message.To; w.replicas[to] != nil && !w.down[to] && !w.down[from] {
				w.act(to, w.replicas[to].Step(w.now, proto.Clone(typed.Message).(*schema.ReplicaMessage)))
			}
		case Persist:
			if from == w.stalled {
				w.stalledWrites = append(w.stalledWrites, typed)
			} else {
				if typed.ReplacesLog {
					w.disks[from] = nil
				}
				w.disks[from] = append(w.disks[from], typed.Record)
				w.act(from, w.replicas[from].Persisted(w.now, typed.WriteID))
			}
		case Reply:
			w.replies[typed.Result.Ticket] = typed.Result
		}
	}
}

// advance lets time go by, each replica ticking as often as its daemon lets it.
func (w *trio) advance(span time.Duration) {
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
