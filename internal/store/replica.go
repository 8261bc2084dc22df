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
func (r *Replica) SetLimits(now time.Duration, cfg Config) []Action {
	r.beginStep(now)
	current := &r.config
	current.Seeds, current.HeartbeatTimeout, current.StallTimeout = cfg.Seeds, cfg.HeartbeatTimeout, cfg.StallTimeout
	current.MaxEntries, current.MaxOutcomes, current.MaxOperatorTombstones = cfg.MaxEntries, cfg.MaxOutcomes, cfg.MaxOperatorTombstones
	r.tick()
	return r.actions
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
func (r *Replica) replayRecord(record *schema.Record) {
	if record.Incarnation != 0 {
		r.incarnation = record.Incarnation
	}
	if record.VotedTerm > r.votedTerm {
		r.votedTerm, r.votedFor = record.VotedTerm, record.VotedFor
	}
	r.founder = r.founder || record.Founder
	r.expandsMembership = r.expandsMembership || record.RaiseTargetSize
	if record.Snapshot != nil {
		r.expandsMembership = record.RaiseTargetSize
		r.restoreSnapshot(record.Snapshot)
	}
	for _, entry := range record.Entries {
		if entry.Version.Sequence == r.sequence+1 {
			r.appendEntry(entry)
		}
	}
	r.term = max(r.term, record.Term)
}

// restoreSnapshot takes a snapshot as the whole working state.
func (r *Replica) restoreSnapshot(snapshot *schema.Snapshot) {
	r.term, r.sequence = snapshot.Term, snapshot.Sequence
	r.state = config.State{}.With(snapshot.Items)
	if r.membership = snapshot.Membership; r.membership == nil {
		r.membership = &schema.Membership{}
	}
	r.baseState, r.baseSequence, r.baseMembership, r.entries = r.state, r.sequence, r.membership, nil
	r.outcomes, r.outcomeOrder = map[string]*schema.ChangeOutcome{}, nil
	for _, outcome := range snapshot.Outcomes {
		r.recordOutcome(outcome)
	}
	r.applyMembership()
}

func (r *Replica) recordOutcome(outcome *schema.ChangeOutcome) {
	if _, known := r.outcomes[outcome.ChangeId]; !known {
		r.outcomeOrder = append(r.outcomeOrder, outcome.ChangeId)
	}
	r.outcomes[outcome.ChangeId] = outcome
	// The memory of outcomes is bounded; the oldest ids are forgotten first.
	for len(r.outcomeOrder) > r.config.MaxOutcomes {
		delete(r.outcomes, r.outcomeOrder[0])
		r.outcomeOrder = r.outcomeOrder[1:]
	}
}

func (r *Replica) appendEntry(entry *schema.Entry) {
	r.entries = append(r.entries, entry)
	r.sequence = entry.Version.Sequence
	if len(entry.Items) > 0 {
		r.state = r.state.With(entry.Items)
	}
	if entry.Membership != nil {
		r.membership = entry.Membership
		r.applyMembership()
	}
	r.recordOutcome(entry.Outcome)
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += proto.Size(entry)
}

func (r *Replica) snapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{Term: r.term, Sequence: r.sequence, Items: r.state.Items(), Membership: r.membership}
	for _, id := range r.outcomeOrder {
		snapshot.Outcomes = append(snapshot.Outcomes, r.outcomes[id])
	}
	return snapshot
}

// committedSnapshot is the state as shown outside; outcomes later than it are left out.
func (r *Replica) committedSnapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{Term: r.committedTerm, Sequence: r.committedSequence, Items: r.committedState.Items(), Membership: r.committedMembership}
	for _, id := range r.outcomeOrder {
		if outcome := r.outcomes[id]; outcome.Version.Sequence <= r.committedSequence {
			snapshot.Outcomes = append(snapshot.Outcomes, outcome)
		}
	}
	return snapshot
}

// commitTo moves the committed mark; seq must be committed under the epoch this replica is in.
func (r *Replica) commitTo(sequence uint64) {
	sequence = min(sequence, r.sequence)
	// A snapshot newer than the mark hides the states between: wait until the mark reaches it.
	if sequence < r.baseSequence || (sequence <= r.committedSequence && r.committedTerm == r.term) || sequence < r.committedSequence {
		return
	}
	state, membership, from := r.committedState, r.committedMembership, r.committedSequence
	if from < r.baseSequence || r.committedTerm != r.term {
		state, membership, from = r.baseState, r.baseMembership, r.baseSequence
	}
	var items []*schema.Item
	for _, entry := range r.entries {
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
	r.committedState, r.committedMembership, r.committedSequence, r.committedTerm = state, membership, sequence, r.term
	r.compactEntries()
	r.answerCommittedProposals()
}

// compactEntries lets go of entries that are committed and beyond the bound.
func (r *Replica) compactEntries() {
	if len(r.entries) < 2*r.config.MaxEntries {
		return
	}
	compactTo := min(r.committedSequence, r.sequence-uint64(r.config.MaxEntries))
	count := 0
	var items []*schema.Item
	for count < len(r.entries) && r.entries[count].Version.Sequence <= compactTo {
		items = append(items, r.entries[count].Items...)
		if r.entries[count].Membership != nil {
			r.baseMembership = r.entries[count].Membership
		}
		count++
	}
	if count == 0 {
		return
	}
	r.baseState, r.baseSequence = r.baseState.With(items), r.entries[count-1].Version.Sequence
	r.entries = append([]*schema.Entry(nil), r.entries[count:]...)
}

// Committed gives the state that may be shown outside.
func (r *Replica) Committed() (uint64, config.State) { return r.committedSequence, r.committedState }

// Members lists the members as far as they are committed, where they agree on them themselves.
func (r *Replica) Members() []*schema.CoreMember {
	if len(r.config.StaticMembers) > 0 {
		return nil
	}
	return r.committedMembership.Members
}

// CommittedOutcome tells what became of a change, if it is settled here.
func (r *Replica) CommittedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := r.outcomes[changeID]
	if !found || outcome.Version.Sequence > r.committedSequence {
		return nil, false
	}
	return outcome, true
}

// AppendedOutcome tells what was decided of a change, whether or not that is committed yet.
func (r *Replica) AppendedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := r.outcomes[changeID]
	return outcome, found
}

// Progress is how far this replica has come: appended, durable and committed sequences.
func (r *Replica) Progress() [3]uint64 {
	return [3]uint64{r.sequence, r.durableSequence, r.committedSequence}
}

// Status is what an operator sees of the replica.
func (r *Replica) Status() *schema.ReplicaStatus {
	status := &schema.ReplicaStatus{Replica: r.config.Name, Leader: r.leader(), Term: r.term, VotedTerm: r.votedTerm, Sequence: r.sequence,
		Durable: r.durableSequence, Committed: r.committedSequence, Member: r.isMember(), Unfit: r.unfit(), Membership: r.membership, DiskFailed: r.diskFailed}
	for _, name := range r.otherMembers {
		if r.recentlyHeard(r.peers[name]) {
			status.Heard = append(status.Heard, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.outsiders)) {
		if outsider := r.outsiders[name]; outsider.isLearner && r.recentlyHeard(outsider) {
			status.Learners = append(status.Learners, name)
		}
	}
	return status
}

// Addresses tells where each other replica was last heard from, or is said to stand.
func (r *Replica) Addresses() map[string]string { return r.addresses }

func (r *Replica) beginStep(now time.Duration) {
	if !r.clockStarted {
		r.clockStarted, r.clockStartedAt = true, now
	}
	r.now, r.actions = now, nil
}

func (r *Replica) send(to string, message *schema.ReplicaMessage) {
	message.From, message.To, message.Address, message.Incarnation, message.Founder = r.config.Name, to, r.config.Address, r.incarnation, r.founder
	r.actions = append(r.actions, Send{message})
}

// persist asks for a sync and keeps what must wait for it.
func (r *Replica) persist(record *schema.Record, write pendingWrite) {
	r.lastWriteID++
	replacesLog := record.Snapshot != nil
	// Every so many entries or bytes the whole state is written, so that the log in front can go.
	if !replacesLog && (r.entriesSinceSnapshot >= r.config.MaxEntries || r.bytesSinceSnapshot >= max(minSnapshotLogBytes, snapshotLogFactor*r.snapshotBytes)) {
		record, replacesLog = &schema.Record{Snapshot: r.snapshot()}, true
	}
	if replacesLog {
		r.completeSnapshotRecord(record)
	}
	write.writeID, write.startedAt, write.term, write.sequence = r.lastWriteID, r.now, r.term, r.sequence
	r.pendingWrites = append(r.pendingWrites, write)
	r.actions = append(r.actions, Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: replacesLog})
}

// completeSnapshotRecord adds to the whole state what else a folder must hold once everything before it may go.
func (r *Replica) completeSnapshotRecord(record *schema.Record) {
	record.Incarnation, record.VotedTerm, record.VotedFor, record.Founder, record.RaiseTargetSize = r.incarnation, r.votedTerm, r.votedFor, r.founder, r.expandsMembership
	r.entriesSinceSnapshot, r.bytesSinceSnapshot, r.snapshotBytes = 0, 0, proto.Size(record)
}

// Persisted tells that every record up to mark is on disk.
func (r *Replica) Persisted(now time.Duration, writeID uint64) []Action {
	r.beginStep(now)
	r.diskFailed = false
	for len(r.pendingWrites) > 0 && r.pendingWrites[0].writeID <= writeID {
		done := r.pendingWrites[0]
		r.pendingWrites = r.pendingWrites[1:]
		if done.term == r.term {
			// Within an epoch the synced mark only grows; a new epoch starts it afresh.
			if r.durableTerm != done.term || done.sequence > r.durableSequence {
				r.durableTerm, r.durableSequence = done.term, done.sequence
			}
		}
		for _, message := range done.messages {
			r.send(message.To, message)
		}
		if done.voteRequest != nil && r.votedTerm == done.votedTerm {
			r.sendVote(done.candidate, done.voteRequest)
		}
		if r.role == roleCandidate {
			r.countVotes()
		}
		r.advanceCommit()
	}
	r.reconcileMembership()
	return r.actions
}

// DiskFailed tells that the disk refused a write. Nothing that waits for it is said, and leadership
// goes to another replica, until Rewrite has succeeded.
func (r *Replica) DiskFailed(now time.Duration) []Action {
	r.beginStep(now)
	r.diskFailed = true
	r.becomeFollower()
	return r.actions
}

// RewriteSnapshot asks for the whole state to be written in place of all that the disk has refused.
func (r *Replica) RewriteSnapshot(now time.Duration) []Action {
	r.beginStep(now)
	record := &schema.Record{Snapshot: r.snapshot()}
	r.completeSnapshotRecord(record)
	return append(r.actions, Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: true})
}
