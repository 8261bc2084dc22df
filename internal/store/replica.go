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

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Send is a message for another replica.
type Send struct{ Message *schema.ReplicaMessage }

// Persist asks for a record to be synced; Synced must be stepped with its mark afterwards,
// marks in the order they were given. Whole means that records before it may be dropped.
type Persist struct {
	WriteID     uint64
	Record      *schema.Record
	ReplacesLog bool
}

// Reply ends a ticket given with Propose.
type Reply struct{ Result *schema.ProposalReply }

// ReadIndexReady ends a ticket given with ReadIndex.
type ReadIndexReady struct{ Result *schema.ReadIndexReply }

// Action is one of Send, Persist, Reply, ReadIndexReady.
type Action any

// Config are the bounds a replica works within.
type Config struct {
	Name                  string
	Address               string
	StaticMembers         []string      // all members, where an operator orders them
	Founders              []string      // the first members, at the first start of all without an order
	Seeds                 []string      // whom a replica asks that has no place among the members
	ExpandsMembership     bool          // first start of all, and not a founder: one replica more is wanted
	ToleratedLosses       int           // disks that may be lost at once
	NewIncarnation        func() uint64 // an incarnation that no other folder has
	HeartbeatTimeout      time.Duration
	StallTimeout          time.Duration
	MaxEntries            int
	MaxOutcomes           int
	MaxUncommittedEntries int
	MaxOperatorTombstones int // tombstones that bear an operator's version and are kept

	seededFault seededFault // by tests of the checks
}

// Ratios to the bounds in Options.
const (
	heartbeatsPerTimeout         = 3  // heartbeats that fit into the silence bound, so that one late one does not count
	isolatedHeartbeatsPerTimeout = 15 // the same, for a replica that does not reach a majority
	urgentHeartbeatsPerTimeout   = 30 // least pause between heartbeats that tell something new
	campaignsPerStallTimeout     = 1  // a campaign that takes longer than the stall bound starts again
)

// minSnapshotLogBytes is what entries may take on disk, at the least, before the whole state is written in
// their place; a larger state is written once they take as much as it several times.
const (
	minSnapshotLogBytes = 1 << 20
	snapshotLogFactor   = 2
)

type role int

const (
	roleFollower role = iota
	roleCandidate
	roleLeaderElect
	roleLeader
)

type pendingWrite struct {
	writeID     uint64
	startedAt   time.Duration
	term        uint64
	sequence    uint64
	messages    []*schema.ReplicaMessage
	votedTerm   uint64
	voteRequest *schema.VoteRequest // by whom the promise was asked for; answered once synced
	candidate   string
}

// peerState is another replica, as far as it is known here.
type peerState struct {
	incarnation       uint64
	founder           bool
	heardAt           time.Duration
	heard             bool
	receivedHeartbeat *schema.Heartbeat
	lastFullHeartbeat *schema.Heartbeat // the last heartbeat in full to it, and how often it was said in short since
	abbreviatedCount  int
	// what a candidate or the leader knows of it under its epoch
	term, acked, sent            uint64
	lastKnownVersion             *schema.Version // what it held when it was last told of; a hint
	versionReported              bool            // it told so itself under this epoch
	snapshotSentAt               time.Duration   // when the whole state was last sent to it
	vote                         *schema.Vote
	confirmedRound               uint64
	stateReply                   *schema.StateReply
	isLearner, expandsMembership bool // asks to become a member
}

type requester struct {
	ticket  string
	replica string // replica to answer, empty for this process
}

// forwardedRequest is a ticket of this machine's registry that waits for the leader's answer.
type forwardedRequest struct {
	leader string
	sentAt time.Duration
	isRead bool
}

type pendingRead struct {
	requester
	round uint64
}

// Replica is one copy of the setup.
type Replica struct {
	config            Config
	incarnation       uint64
	founder           bool // its folder has been there since the first members were
	expandsMembership bool

	votedTerm      uint64
	votedFor       string
	term           uint64
	sequence       uint64
	state          config.State
	membership     *schema.Membership // the latest taken, committed or not: it counts
	baseSequence   uint64
	baseState      config.State
	baseMembership *schema.Membership
	entries        []*schema.Entry // from baseSequence+1 to seq
	outcomes       map[string]*schema.ChangeOutcome
	outcomeOrder   []string // change ids, oldest first

	durableTerm, durableSequence uint64
	committedSequence            uint64
	committedTerm                uint64
	committedState               config.State
	committedMembership          *schema.Membership
	entriesSinceSnapshot         int
	bytesSinceSnapshot           int
	snapshotBytes                int
	nextPurgeSequence            uint64           // committed sequence from which the leader looks for tombstones again
	compiledConfig               *config.Snapshot // of the last change taken here, to compile the next one after

	lastWriteID   uint64
	pendingWrites []pendingWrite

	peers              map[string]*peerState // the other members of the set
	otherMembers       []string              // their names in the agreed order, so that a run can be replayed
	outsiders          map[string]*peerState // who asks to become a member, and who knows of newer members than this one
	addresses          map[string]string
	reportedMembership *schema.Membership // committed members that another told of
	role               role
	roleSince          time.Duration
	termStartVersion   *schema.Version // what the leader held when its epoch began
	clockStarted       bool
	clockStartedAt     time.Duration // the first time that was told
	heartbeatSentAt    time.Duration
	heartbeatSent      bool
	lastUrgentState    string // what is new in a heartbeat, as it was last sent
	heartbeatSerial    uint32
	joinRequestedAt    time.Duration
	highestTerm        uint64 // highest epoch seen anywhere
	readIndexRound     uint64
	stateRequestRound  uint64
	stateRequestedAt   time.Duration
	joinsExisting      bool                   // reading showed that there are members already
	pendingProposals   map[string][]requester // by change id, at the leader
	pendingReads       []pendingRead
	forwardedRequests  map[string]forwardedRequest
	freshness          freshness
	diskFailed         bool // the disk refuses writes

	actions []Action
	now     time.Duration
}

// SetLimits sets other bounds, and whom to ask. Who this replica is, with whom, and how many copies a
// change needs stay as they were at its start.
func (s *Replica) SetLimits(now time.Duration, cfg Config) []Action {
	s.beginStep(now)
	current := &s.config
	current.Seeds, current.HeartbeatTimeout, current.StallTimeout = cfg.Seeds, cfg.HeartbeatTimeout, cfg.StallTimeout
	current.MaxEntries, current.MaxOutcomes, current.MaxOperatorTombstones = cfg.MaxEntries, cfg.MaxOutcomes, cfg.MaxOperatorTombstones
	s.tick()
	return s.actions
}

// NewReplica makes a replica from what its disk held; records nil and a new incarnation make an empty one.
func NewReplica(cfg Config, incarnation uint64, records []*schema.Record) *Replica {
	s := &Replica{config: cfg, incarnation: incarnation, state: config.State{}, baseState: config.State{}, committedState: config.State{},
		membership: &schema.Membership{}, baseMembership: &schema.Membership{}, committedMembership: &schema.Membership{}, outcomes: map[string]*schema.ChangeOutcome{}, peers: map[string]*peerState{},
		outsiders: map[string]*peerState{}, addresses: map[string]string{}, pendingProposals: map[string][]requester{}, forwardedRequests: map[string]forwardedRequest{}}
	for _, record := range records {
		s.replayRecord(record)
	}
	s.applyMembership()
	s.durableTerm, s.durableSequence = s.term, s.sequence
	s.highestTerm = s.votedTerm
	return s
}

// InitialRecord is the first record of an empty folder. It must be synced before the replica says anything,
// so that no incarnation ever stands for two folders.
func InitialRecord(cfg Config, incarnation uint64) *schema.Record {
	record := &schema.Record{Incarnation: incarnation, RaiseTargetSize: cfg.ExpandsMembership}
	if slices.Contains(cfg.Founders, cfg.Name) {
		record.Founder, record.Snapshot = true, &schema.Snapshot{Membership: foundingMembership(cfg.Founders)}
	}
	return record
}

// replayRecord applies a record read back from disk.
func (s *Replica) replayRecord(record *schema.Record) {
	if record.Incarnation != 0 {
		s.incarnation = record.Incarnation
	}
	if record.VotedTerm > s.votedTerm {
		s.votedTerm, s.votedFor = record.VotedTerm, record.VotedFor
	}
	s.founder = s.founder || record.Founder
	s.expandsMembership = s.expandsMembership || record.RaiseTargetSize
	if record.Snapshot != nil {
		s.expandsMembership = record.RaiseTargetSize
		s.restoreSnapshot(record.Snapshot)
	}
	for _, entry := range record.Entries {
		if entry.Version.Sequence == s.sequence+1 {
			s.appendEntry(entry)
		}
	}
	s.term = max(s.term, record.Term)
}

// restoreSnapshot takes a snapshot as the whole working state.
func (s *Replica) restoreSnapshot(snapshot *schema.Snapshot) {
	s.term, s.sequence = snapshot.Term, snapshot.Sequence
	s.state = config.State{}.With(snapshot.Items)
	if s.membership = snapshot.Membership; s.membership == nil {
		s.membership = &schema.Membership{}
	}
	s.baseState, s.baseSequence, s.baseMembership, s.entries = s.state, s.sequence, s.membership, nil
	s.outcomes, s.outcomeOrder = map[string]*schema.ChangeOutcome{}, nil
	for _, outcome := range snapshot.Outcomes {
		s.recordOutcome(outcome)
	}
	s.applyMembership()
}

func (s *Replica) recordOutcome(outcome *schema.ChangeOutcome) {
	if _, known := s.outcomes[outcome.ChangeId]; !known {
		s.outcomeOrder = append(s.outcomeOrder, outcome.ChangeId)
	}
	s.outcomes[outcome.ChangeId] = outcome
	// The memory of outcomes is bounded; the oldest ids are forgotten first.
	for len(s.outcomeOrder) > s.config.MaxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

func (s *Replica) appendEntry(entry *schema.Entry) {
	s.entries = append(s.entries, entry)
	s.sequence = entry.Version.Sequence
	if len(entry.Items) > 0 {
		s.state = s.state.With(entry.Items)
	}
	if entry.Membership != nil {
		s.membership = entry.Membership
		s.applyMembership()
	}
	s.recordOutcome(entry.Outcome)
	s.entriesSinceSnapshot++
	s.bytesSinceSnapshot += proto.Size(entry)
}

func (s *Replica) snapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{Term: s.term, Sequence: s.sequence, Items: s.state.Items(), Membership: s.membership}
	for _, id := range s.outcomeOrder {
		snapshot.Outcomes = append(snapshot.Outcomes, s.outcomes[id])
	}
	return snapshot
}

// committedSnapshot is the state as shown outside; outcomes later than it are left out.
func (s *Replica) committedSnapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{Term: s.committedTerm, Sequence: s.committedSequence, Items: s.committedState.Items(), Membership: s.committedMembership}
	for _, id := range s.outcomeOrder {
		if outcome := s.outcomes[id]; outcome.Version.Sequence <= s.committedSequence {
			snapshot.Outcomes = append(snapshot.Outcomes, outcome)
		}
	}
	return snapshot
}

// commitTo moves the committed mark; seq must be committed under the epoch this replica is in.
func (s *Replica) commitTo(sequence uint64) {
	sequence = min(sequence, s.sequence)
	// A snapshot newer than the mark hides the states between: wait until the mark reaches it.
	if sequence < s.baseSequence || (sequence <= s.committedSequence && s.committedTerm == s.term) || sequence < s.committedSequence {
		return
	}
	state, membership, from := s.committedState, s.committedMembership, s.committedSequence
	if from < s.baseSequence || s.committedTerm != s.term {
		state, membership, from = s.baseState, s.baseMembership, s.baseSequence
	}
	var items []*schema.Item
	for _, entry := range s.entries {
		if entry.Version.Sequence > from && entry.Version.Sequence <= sequence {
			items = append(items, entry.Items...)
			if entry.Membership != nil {
				membership = entry.Membership
			}
		}
	}
	if len(items) > 0 {
		state = state.With(items)
	}
	s.committedState, s.committedMembership, s.committedSequence, s.committedTerm = state, membership, sequence, s.term
	s.compactEntries()
	s.answerCommittedProposals()
}

// compactEntries lets go of entries that are committed and beyond the bound.
func (s *Replica) compactEntries() {
	if len(s.entries) < 2*s.config.MaxEntries {
		return
	}
	compactTo := min(s.committedSequence, s.sequence-uint64(s.config.MaxEntries))
	count := 0
	var items []*schema.Item
	for count < len(s.entries) && s.entries[count].Version.Sequence <= compactTo {
		items = append(items, s.entries[count].Items...)
		if s.entries[count].Membership != nil {
			s.baseMembership = s.entries[count].Membership
		}
		count++
	}
	if count == 0 {
		return
	}
	s.baseState, s.baseSequence = s.baseState.With(items), s.entries[count-1].Version.Sequence
	s.entries = append([]*schema.Entry(nil), s.entries[count:]...)
}

// Committed gives the state that may be shown outside.
func (s *Replica) Committed() (uint64, config.State) { return s.committedSequence, s.committedState }

// Members lists the members as far as they are committed, where they agree on them themselves.
func (s *Replica) Members() []*schema.CoreMember {
	if len(s.config.StaticMembers) > 0 {
		return nil
	}
	return s.committedMembership.Members
}

// CommittedOutcome tells what became of a change, if it is settled here.
func (s *Replica) CommittedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := s.outcomes[changeID]
	if !found || outcome.Version.Sequence > s.committedSequence {
		return nil, false
	}
	return outcome, true
}

// AppendedOutcome tells what was decided of a change, whether or not that is committed yet.
func (s *Replica) AppendedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := s.outcomes[changeID]
	return outcome, found
}

// Progress is how far this replica has come: appended, durable and committed sequences.
func (s *Replica) Progress() [3]uint64 {
	return [3]uint64{s.sequence, s.durableSequence, s.committedSequence}
}

// Status is what an operator sees of the replica.
func (s *Replica) Status() *schema.ReplicaStatus {
	status := &schema.ReplicaStatus{Replica: s.config.Name, Leader: s.leader(), Term: s.term, VotedTerm: s.votedTerm, Sequence: s.sequence,
		Durable: s.durableSequence, Committed: s.committedSequence, Member: s.isMember(), Unfit: s.unfit(), Membership: s.membership, DiskFailed: s.diskFailed}
	for _, name := range s.otherMembers {
		if s.recentlyHeard(s.peers[name]) {
			status.Heard = append(status.Heard, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.outsiders)) {
		if outsider := s.outsiders[name]; outsider.isLearner && s.recentlyHeard(outsider) {
			status.Learners = append(status.Learners, name)
		}
	}
	return status
}

// Addresses tells where each other replica was last heard from, or is said to stand.
func (s *Replica) Addresses() map[string]string { return s.addresses }

func (s *Replica) beginStep(now time.Duration) {
	if !s.clockStarted {
		s.clockStarted, s.clockStartedAt = true, now
	}
	s.now, s.actions = now, nil
}

func (s *Replica) send(to string, message *schema.ReplicaMessage) {
	message.From, message.To, message.Address, message.Incarnation, message.Founder = s.config.Name, to, s.config.Address, s.incarnation, s.founder
	s.actions = append(s.actions, Send{message})
}

// persist asks for a sync and keeps what must wait for it.
func (s *Replica) persist(record *schema.Record, write pendingWrite) {
	s.lastWriteID++
	replacesLog := record.Snapshot != nil
	// Every so many entries or bytes the whole state is written, so that the log in front can go.
	if !replacesLog && (s.entriesSinceSnapshot >= s.config.MaxEntries || s.bytesSinceSnapshot >= max(minSnapshotLogBytes, snapshotLogFactor*s.snapshotBytes)) {
		record, replacesLog = &schema.Record{Snapshot: s.snapshot()}, true
	}
	if replacesLog {
		s.completeSnapshotRecord(record)
	}
	write.writeID, write.startedAt, write.term, write.sequence = s.lastWriteID, s.now, s.term, s.sequence
	s.pendingWrites = append(s.pendingWrites, write)
	s.actions = append(s.actions, Persist{WriteID: s.lastWriteID, Record: record, ReplacesLog: replacesLog})
}

// completeSnapshotRecord adds to the whole state what else a folder must hold once everything before it may go.
func (s *Replica) completeSnapshotRecord(record *schema.Record) {
	record.Incarnation, record.VotedTerm, record.VotedFor, record.Founder, record.RaiseTargetSize = s.incarnation, s.votedTerm, s.votedFor, s.founder, s.expandsMembership
	s.entriesSinceSnapshot, s.bytesSinceSnapshot, s.snapshotBytes = 0, 0, proto.Size(record)
}

// Persisted tells that every record up to mark is on disk.
func (s *Replica) Persisted(now time.Duration, writeID uint64) []Action {
	s.beginStep(now)
	s.diskFailed = false
	for len(s.pendingWrites) > 0 && s.pendingWrites[0].writeID <= writeID {
		done := s.pendingWrites[0]
		s.pendingWrites = s.pendingWrites[1:]
		if done.term == s.term {
			// Within an epoch the synced mark only grows; a new epoch starts it afresh.
			if s.durableTerm != done.term || done.sequence > s.durableSequence {
				s.durableTerm, s.durableSequence = done.term, done.sequence
			}
		}
		for _, message := range done.messages {
			s.send(message.To, message)
		}
		if done.voteRequest != nil && s.votedTerm == done.votedTerm {
			s.sendVote(done.candidate, done.voteRequest)
		}
		if s.role == roleCandidate {
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
	s.beginStep(now)
	s.diskFailed = true
	s.becomeFollower()
	return s.actions
}

// RewriteSnapshot asks for the whole state to be written in place of all that the disk has refused.
func (s *Replica) RewriteSnapshot(now time.Duration) []Action {
	s.beginStep(now)
	record := &schema.Record{Snapshot: s.snapshot()}
	s.completeSnapshotRecord(record)
	return append(s.actions, Persist{WriteID: s.lastWriteID, Record: record, ReplacesLog: true})
}
