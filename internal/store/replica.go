// Package store keeps the setup: admission under an epoch, majority sync, repair, and who the
// members are that do so.
//
// Replica is a step function: an event and the time go in, actions come out. It does no
// I/O, so the daemon, the simulator and the model all run this same code.
package store

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Send is a message for another replica.
type Send struct{ Message *schema.ReplicaMessage }

// Persist asks for a record to be synced; Synced must be stepped with its mark afterwards,
// marks in the order they were given. Whole means that records before it may be dropped.
type Persist struct {
	Mark   uint64
	Record *schema.Record
	Whole  bool
}

// Reply ends a ticket given with Propose.
type Reply struct{ Result *schema.ProposalReply }

// ReadIndexReady ends a ticket given with ReadIndex.
type ReadIndexReady struct{ Result *schema.ReadIndexReply }

// Action is one of Send, Persist, Reply, ReadIndexReady.
type Action any

// Options are the bounds a replica works within.
type Options struct {
	Name         string
	Address      string
	Order        []string      // all members, where an operator orders them
	Founders     []string      // the first members, at the first start of all without an order
	Seeds        []string      // whom a replica asks that has no place among the members
	Raise        bool          // first start of all, and not a founder: one replica more is wanted
	Losses       int           // disks that may be lost at once
	Draw         func() uint64 // an incarnation that no other folder has
	Silence      time.Duration
	Stall        time.Duration
	EntriesMost  int
	OutcomesMost int
	BufferMost   int
	DroppedMost  int // tombstones that bear an operator's version and are kept

	planted plantedFault // by tests of the checks
}

// Ratios to the bounds in Options.
const (
	heartbeatsPerSilence = 3  // heartbeats that fit into the silence bound, so that one late one does not count
	hurriesPerSilence    = 15 // the same, for a replica that does not reach a majority
	newsPerSilence       = 30 // least pause between heartbeats that tell something new
	campaignsPerStall    = 1  // a campaign that takes longer than the stall bound starts again
)

// wholeBytes is what entries may take on disk, at the least, before the whole state is written in
// their place; a larger state is written once they take as much as it several times.
const (
	wholeBytes = 1 << 20
	wholeTimes = 2
)

type phase int

const (
	idle phase = iota
	campaigning
	beginning
	active
)

type afterSync struct {
	mark     uint64
	at       time.Duration
	epoch    uint64
	seq      uint64
	messages []*schema.ReplicaMessage
	promise  uint64
	asked    *schema.VoteRequest // by whom the promise was asked for; answered once synced
	from     string
}

// peer is another replica, as far as it is known here.
type peer struct {
	incarnation uint64
	founder     bool
	heardAt     time.Duration
	heard       bool
	heartbeat   *schema.Heartbeat
	told        *schema.Heartbeat // the last heartbeat in full to it, and how often it was said in short since
	abbreviated int
	// what a candidate or the leader knows of it under its epoch
	epoch, acked, sent uint64
	have               *schema.Version // what it held when it was last told of; a hint
	tells              bool            // it told so itself under this epoch
	wholeAt            time.Duration   // when the whole state was last sent to it
	vote               *schema.Vote
	confirmed          uint64
	read               *schema.StateReply
	learns, raise      bool // asks to become a member
}

type waiter struct {
	ticket string
	to     string // replica to answer, empty for this process
}

// forwarded is a ticket of this machine's registry that waits for the leader's answer.
type forwarded struct {
	leader      string
	at          time.Duration
	pendingRead bool
}

type pendingRead struct {
	waiter
	round uint64
}

// Replica is one copy of the setup.
type Replica struct {
	options     Options
	incarnation uint64
	founder     bool // its folder has been there since the first members were
	raise       bool

	votedEpoch     uint64
	votedFor       string
	epoch          uint64
	seq            uint64
	state          setup.State
	membership     *schema.Membership // the latest taken, committed or not: it counts
	baseSeq        uint64
	base           setup.State
	baseMembership *schema.Membership
	entries        []*schema.Entry // from baseSeq+1 to seq
	outcomes       map[string]*schema.Outcome
	ordered        []string // change ids, oldest first

	durableEpoch, durableSeq uint64
	committed                uint64
	committedEpoch           uint64
	committedState           setup.State
	committedMembers         *schema.Membership
	sinceWhole               int
	bytesSince               int
	bytesWhole               int
	purgeAt                  uint64       // committed sequence from which the leader looks for tombstones again
	compiled                 *setup.Setup // of the last change taken here, to compile the next one after

	nextMark uint64
	pending  []afterSync

	peers           map[string]*peer // the other members of the set
	otherMembers    []string         // their names in the agreed order, so that a run can be replayed
	outsiders       map[string]*peer // who asks to become a member, and who knows of newer members than this one
	addresses       map[string]string
	learnedMembers  *schema.Membership // committed members that another told of
	phase           phase
	phaseAt         time.Duration
	upon            *schema.Version // what the leader held when its epoch began
	born            bool
	bornAt          time.Duration // the first time that was told
	lastHeartbeat   time.Duration
	sentHeartbeat   bool
	lastNews        string // what is new in a heartbeat, as it was last sent
	serial          uint32
	joinRequestedAt time.Duration
	highest         uint64 // highest epoch seen anywhere
	round           uint64
	readRound       uint64
	readAt          time.Duration
	joins           bool                // reading showed that there are members already
	waiters         map[string][]waiter // by change id, at the leader
	pendingReads    []pendingRead
	forwarded       map[string]forwarded
	fresh           freshness
	refused         bool // the disk refuses writes

	actions []Action
	now     time.Duration
}

// Rebound sets other bounds, and whom to ask. Who this replica is, with whom, and how many copies a
// change needs stay as they were at its start.
func (s *Replica) Rebound(now time.Duration, options Options) []Action {
	s.begin(now)
	held := &s.options
	held.Seeds, held.Silence, held.Stall = options.Seeds, options.Silence, options.Stall
	held.EntriesMost, held.OutcomesMost, held.DroppedMost = options.EntriesMost, options.OutcomesMost, options.DroppedMost
	s.tick()
	return s.actions
}

// NewReplica makes a replica from what its disk held; records nil and a new incarnation make an empty one.
func NewReplica(options Options, incarnation uint64, records []*schema.Record) *Replica {
	s := &Replica{options: options, incarnation: incarnation, state: setup.State{}, base: setup.State{}, committedState: setup.State{},
		membership: &schema.Membership{}, baseMembership: &schema.Membership{}, committedMembers: &schema.Membership{}, outcomes: map[string]*schema.Outcome{}, peers: map[string]*peer{},
		outsiders: map[string]*peer{}, addresses: map[string]string{}, waiters: map[string][]waiter{}, forwarded: map[string]forwarded{}}
	for _, record := range records {
		s.replay(record)
	}
	s.applyMembership()
	s.durableEpoch, s.durableSeq = s.epoch, s.seq
	s.highest = s.votedEpoch
	return s
}

// Birth is the first record of an empty folder. It must be synced before the replica says anything,
// so that no incarnation ever stands for two folders.
func Birth(options Options, incarnation uint64) *schema.Record {
	record := &schema.Record{Incarnation: incarnation, Raise: options.Raise}
	if slices.Contains(options.Founders, options.Name) {
		record.Founder, record.Snapshot = true, &schema.Snapshot{Membership: foundingMembers(options.Founders)}
	}
	return record
}

// replay applies a record read back from disk.
func (s *Replica) replay(record *schema.Record) {
	if record.Incarnation != 0 {
		s.incarnation = record.Incarnation
	}
	if record.VotedEpoch > s.votedEpoch {
		s.votedEpoch, s.votedFor = record.VotedEpoch, record.VotedFor
	}
	s.founder = s.founder || record.Founder
	s.raise = s.raise || record.Raise
	if record.Snapshot != nil {
		s.raise = record.Raise
		s.restore(record.Snapshot)
	}
	for _, entry := range record.Entries {
		if entry.Version.Sequence == s.seq+1 {
			s.append(entry)
		}
	}
	s.epoch = max(s.epoch, record.Epoch)
}

// restore takes a snapshot as the whole working state.
func (s *Replica) restore(snapshot *schema.Snapshot) {
	s.epoch, s.seq = snapshot.Epoch, snapshot.Sequence
	s.state = setup.State{}.With(snapshot.Items)
	if s.membership = snapshot.Membership; s.membership == nil {
		s.membership = &schema.Membership{}
	}
	s.base, s.baseSeq, s.baseMembership, s.entries = s.state, s.seq, s.membership, nil
	s.outcomes, s.ordered = map[string]*schema.Outcome{}, nil
	for _, outcome := range snapshot.Outcomes {
		s.remember(outcome)
	}
	s.applyMembership()
}

func (s *Replica) remember(outcome *schema.Outcome) {
	if _, known := s.outcomes[outcome.ChangeId]; !known {
		s.ordered = append(s.ordered, outcome.ChangeId)
	}
	s.outcomes[outcome.ChangeId] = outcome
	// The memory of outcomes is bounded; the oldest ids are forgotten first.
	for len(s.ordered) > s.options.OutcomesMost {
		delete(s.outcomes, s.ordered[0])
		s.ordered = s.ordered[1:]
	}
}

func (s *Replica) append(entry *schema.Entry) {
	s.entries = append(s.entries, entry)
	s.seq = entry.Version.Sequence
	if len(entry.Items) > 0 {
		s.state = s.state.With(entry.Items)
	}
	if entry.Membership != nil {
		s.membership = entry.Membership
		s.applyMembership()
	}
	s.remember(entry.Outcome)
	s.sinceWhole++
	s.bytesSince += proto.Size(entry)
}

func (s *Replica) snapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{Epoch: s.epoch, Sequence: s.seq, Items: s.state.Items(), Membership: s.membership}
	for _, id := range s.ordered {
		snapshot.Outcomes = append(snapshot.Outcomes, s.outcomes[id])
	}
	return snapshot
}

// committedSnapshot is the state as shown outside; outcomes later than it are left out.
func (s *Replica) committedSnapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{Epoch: s.committedEpoch, Sequence: s.committed, Items: s.committedState.Items(), Membership: s.committedMembers}
	for _, id := range s.ordered {
		if outcome := s.outcomes[id]; outcome.Version.Sequence <= s.committed {
			snapshot.Outcomes = append(snapshot.Outcomes, outcome)
		}
	}
	return snapshot
}

// commitTo moves the committed mark; seq must be committed under the epoch this replica is in.
func (s *Replica) commitTo(seq uint64) {
	seq = min(seq, s.seq)
	// A snapshot newer than the mark hides the states between: wait until the mark reaches it.
	if seq < s.baseSeq || (seq <= s.committed && s.committedEpoch == s.epoch) || seq < s.committed {
		return
	}
	state, set, from := s.committedState, s.committedMembers, s.committed
	if from < s.baseSeq || s.committedEpoch != s.epoch {
		state, set, from = s.base, s.baseMembership, s.baseSeq
	}
	var items []*schema.Item
	for _, entry := range s.entries {
		if entry.Version.Sequence > from && entry.Version.Sequence <= seq {
			items = append(items, entry.Items...)
			if entry.Membership != nil {
				set = entry.Membership
			}
		}
	}
	if len(items) > 0 {
		state = state.With(items)
	}
	s.committedState, s.committedMembers, s.committed, s.committedEpoch = state, set, seq, s.epoch
	s.trim()
	s.answerWaiters()
}

// trim lets go of entries that are committed and beyond the bound.
func (s *Replica) trim() {
	if len(s.entries) < 2*s.options.EntriesMost {
		return
	}
	keepFrom := min(s.committed, s.seq-uint64(s.options.EntriesMost))
	cut := 0
	var items []*schema.Item
	for cut < len(s.entries) && s.entries[cut].Version.Sequence <= keepFrom {
		items = append(items, s.entries[cut].Items...)
		if s.entries[cut].Membership != nil {
			s.baseMembership = s.entries[cut].Membership
		}
		cut++
	}
	if cut == 0 {
		return
	}
	s.base, s.baseSeq = s.base.With(items), s.entries[cut-1].Version.Sequence
	s.entries = append([]*schema.Entry(nil), s.entries[cut:]...)
}

// Committed gives the state that may be shown outside.
func (s *Replica) Committed() (uint64, setup.State) { return s.committed, s.committedState }

// Members lists the members as far as they are committed, where they agree on them themselves.
func (s *Replica) Members() []*schema.Core {
	if len(s.options.Order) > 0 {
		return nil
	}
	return s.committedMembers.Members
}

// OutcomeOf tells what became of a change, if it is settled here.
func (s *Replica) OutcomeOf(changeID string) (*schema.Outcome, bool) {
	outcome, found := s.outcomes[changeID]
	if !found || outcome.Version.Sequence > s.committed {
		return nil, false
	}
	return outcome, true
}

// Accepted tells what was decided of a change, whether or not that is committed yet.
func (s *Replica) Accepted(changeID string) (*schema.Outcome, bool) {
	outcome, found := s.outcomes[changeID]
	return outcome, found
}

// Reached is how far this replica has come: appended, durable and committed sequences.
func (s *Replica) Reached() [3]uint64 { return [3]uint64{s.seq, s.durableSeq, s.committed} }

// Status is what an operator sees of the replica.
func (s *Replica) Status() *schema.ReplicaStatus {
	status := &schema.ReplicaStatus{Replica: s.options.Name, Leader: s.leader(), Epoch: s.epoch, VotedEpoch: s.votedEpoch, Sequence: s.seq,
		Durable: s.durableSeq, Committed: s.committed, Member: s.member(), Unfit: s.unfit(), Membership: s.membership, Refuses: s.refused}
	for _, name := range s.otherMembers {
		if s.hears(s.peers[name]) {
			status.Heard = append(status.Heard, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.outsiders)) {
		if one := s.outsiders[name]; one.learns && s.hears(one) {
			status.Waiting = append(status.Waiting, name)
		}
	}
	return status
}

// Addresses tells where each other replica was last heard from, or is said to stand.
func (s *Replica) Addresses() map[string]string { return s.addresses }

func (s *Replica) begin(now time.Duration) {
	if !s.born {
		s.born, s.bornAt = true, now
	}
	s.now, s.actions = now, nil
}

func (s *Replica) send(to string, message *schema.ReplicaMessage) {
	message.From, message.To, message.Address, message.Incarnation, message.Founder = s.options.Name, to, s.options.Address, s.incarnation, s.founder
	s.actions = append(s.actions, Send{message})
}

// persist asks for a sync and keeps what must wait for it.
func (s *Replica) persist(record *schema.Record, then afterSync) {
	s.nextMark++
	whole := record.Snapshot != nil
	// Every so many entries or bytes the whole state is written, so that the log in front can go.
	if !whole && (s.sinceWhole >= s.options.EntriesMost || s.bytesSince >= max(wholeBytes, wholeTimes*s.bytesWhole)) {
		record, whole = &schema.Record{Snapshot: s.snapshot()}, true
	}
	if whole {
		s.fill(record)
	}
	then.mark, then.at, then.epoch, then.seq = s.nextMark, s.now, s.epoch, s.seq
	s.pending = append(s.pending, then)
	s.actions = append(s.actions, Persist{Mark: s.nextMark, Record: record, Whole: whole})
}

// fill adds to the whole state what else a folder must hold once everything before it may go.
func (s *Replica) fill(record *schema.Record) {
	record.Incarnation, record.VotedEpoch, record.VotedFor, record.Founder, record.Raise = s.incarnation, s.votedEpoch, s.votedFor, s.founder, s.raise
	s.sinceWhole, s.bytesSince, s.bytesWhole = 0, 0, proto.Size(record)
}

// Synced tells that every record up to mark is on disk.
func (s *Replica) Synced(now time.Duration, mark uint64) []Action {
	s.begin(now)
	s.refused = false
	for len(s.pending) > 0 && s.pending[0].mark <= mark {
		done := s.pending[0]
		s.pending = s.pending[1:]
		if done.epoch == s.epoch {
			// Within an epoch the synced mark only grows; a new epoch starts it afresh.
			if s.durableEpoch != done.epoch || done.seq > s.durableSeq {
				s.durableEpoch, s.durableSeq = done.epoch, done.seq
			}
		}
		for _, message := range done.messages {
			s.send(message.To, message)
		}
		if done.asked != nil && s.votedEpoch == done.promise {
			s.vote(done.from, done.asked)
		}
		if s.phase == campaigning {
			s.countVotes()
		}
		s.advanceCommit()
	}
	s.reconcileMembership()
	return s.actions
}

// DiskFailed tells that the disk refused a write. Nothing that waits for it is said, and leadership
// goes to another replica, until Rewrite has succeeded.
func (s *Replica) DiskFailed(now time.Duration) []Action {
	s.begin(now)
	s.refused = true
	s.stepDown()
	return s.actions
}

// Rewrite asks for the whole state to be written in place of all that the disk has refused.
func (s *Replica) Rewrite(now time.Duration) []Action {
	s.begin(now)
	record := &schema.Record{Snapshot: s.snapshot()}
	s.fill(record)
	return append(s.actions, Persist{Mark: s.nextMark, Record: record, Whole: true})
}
