package store

import (
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Replica is the consensus state machine of one replica. It is not safe for concurrent use. Times are passed in by the
// owner, never decrease, and count from an origin of the owner's choice (Server: the start of the process).
//
// Invariants:
//   - committedSequence never exceeds sequence.
//   - baseSequence + len(entries) equals sequence.
//   - A vote is sent only once it is durable here. The beginning of a term and an entry are acknowledged only once they
//     are durable here. Until then the message waits in a pendingWrite.
//   - The leader's own copy of an entry counts for the commit only once it is durable.
type Replica struct {
	// Identity. A member is identified by its data folder, not by its name alone; see membership.go.
	config            Config
	incarnation       uint64 // identifies the data folder
	founder           bool   // the data folder has existed since the first membership
	expandsMembership bool   // joining raises the target size; cleared once this replica is a member

	// Votes (Raft: currentTerm and votedFor). They are durable before they are sent.
	votedTerm   uint64 // the last term voted in, 0 before the first vote; leaders of lower terms are refused
	votedFor    string // empty before the first vote, and after a snapshot of a later term, which votes for nobody
	highestTerm uint64 // the highest term seen anywhere; the next campaign is in a higher one

	// Content: everything appended, durable or not. (term, sequence) identifies it: equal versions mean equal contents.
	term         uint64                           // the term whose beginning the content includes; 0 before the first
	sequence     uint64                           // sequence of the last entry (Raft: last log index)
	state        config.State                     // the items, as of sequence
	membership   *schema.Membership               // the members; takes effect once appended, committed or not (thesis, section 4.1)
	outcomes     map[string]*schema.ChangeOutcome // the retained outcomes, at most MaxOutcomes, by change id
	outcomeOrder []string                         // the keys of outcomes, oldest first

	// The retained tail of the log, and the base content, which is the content just before that tail.
	baseSequence   uint64             // sequence of the base content
	baseState      config.State       // the items, as of baseSequence
	baseMembership *schema.Membership // the membership, as of baseSequence
	entries        []*schema.Entry    // the entries with the sequences baseSequence+1 to sequence

	// Committed content, the only content shown outside.
	committedTerm       uint64             // the term under which the content was committed; 0 if nothing is known to be
	committedSequence   uint64             // sequence of the last entry known to be committed
	committedState      config.State       // the items, as of committedSequence
	committedMembership *schema.Membership // the membership, as of committedSequence

	// Disk.
	durableTerm          uint64         // the term under which durableSequence was written
	durableSequence      uint64         // the content up to this sequence is on disk
	lastWriteID          uint64         // the write id of the last Persist
	pendingWrites        []pendingWrite // writes that Persisted has not reported yet, in order
	diskFailed           bool           // set by DiskFailed, cleared by the next Persisted
	entriesSinceSnapshot int            // number of entries after the last snapshot in the log on disk
	bytesSinceSnapshot   int            // total encoded size of those entries in bytes
	snapshotBytes        int            // encoded size in bytes of the last snapshot record since the start; 0 for none

	// Other replicas.
	peers              map[string]*peerState // the other members, by name
	otherMembers       []string              // the keys of peers in member order; iterated for deterministic runs
	nonMembers         map[string]*peerState // learners, replicas with a newer membership and, at bootstrap, all others
	addresses          map[string]string     // host:port last seen or reported, by replica name
	reportedMembership *schema.Membership    // the newest committed membership that another replica reported; nil for none

	// Role and election.
	role             role
	roleSince        time.Duration   // time at which role was set, except by becomeLeader; 0 allows a campaign at once
	termStartVersion *schema.Version // the content that the leader's term began with; valid while this replica leads

	// Heartbeats.
	heartbeatSent   bool          // a round of heartbeats was sent since the start; heartbeatSentAt is valid
	heartbeatSentAt time.Duration // time of the last round of heartbeats
	heartbeatSerial uint32        // serial of the last complete heartbeat sent, to whichever replica; 0 before the first
	lastUrgentState string        // the urgentState that the last round of heartbeats reported

	// Bootstrap and joining.
	stateRequestID   uint64        // number of the last round of StateRequests; 0 before the first
	stateRequestedAt time.Duration // time of that round
	coreExists       bool          // a StateReply showed that a core exists already
	joinRequestedAt  time.Duration // time of the last Join; 0 lets the next one be sent at once

	// Requests. The owner chooses the tickets.
	pendingProposals  map[string][]requester      // used by a leader: requesters that wait for an outcome, by change id
	pendingReads      []pendingRead               // used by a leader: reads that wait for confirmation
	readIndexID       uint64                      // id of the last read for which confirmations were requested
	forwardedRequests map[string]forwardedRequest // used by a follower: requests sent to the leader, by ticket

	// Used by a leader.
	nextPurgeSequence uint64           // the committed sequence at which purgeTombstones acts next
	compiledConfig    *config.Snapshot // snapshot that Decide returned for the last change admitted here; nil before the first

	freshness freshness // how recent the committed state is

	// The current step.
	clockStarted   bool          // set by the first step
	clockStartedAt time.Duration // the time of the first step
	now            time.Duration // the time of the current step
	actions        []Action      // the actions emitted by the current step
}

// NewReplica returns a replica restored from the records of its log, given in the order in which they were written. The
// records determine its incarnation; without records the replica is empty and has the incarnation passed.
func NewReplica(cfg Config, incarnation uint64, records []*schema.Record) *Replica {
	r := &Replica{
		config:              cfg,
		incarnation:         incarnation,
		state:               config.State{},
		membership:          &schema.Membership{},
		outcomes:            map[string]*schema.ChangeOutcome{},
		baseState:           config.State{},
		baseMembership:      &schema.Membership{},
		committedState:      config.State{},
		committedMembership: &schema.Membership{},
		peers:               map[string]*peerState{},
		nonMembers:          map[string]*peerState{},
		addresses:           map[string]string{},
		pendingProposals:    map[string][]requester{},
		forwardedRequests:   map[string]forwardedRequest{},
	}
	for _, record := range records {
		r.replayRecord(record)
	}
	r.applyMembership()
	r.durableTerm, r.durableSequence = r.term, r.sequence
	r.highestTerm = r.votedTerm
	return r
}

// InitialRecord returns the first record for an empty data folder. The owner makes it durable before the replica
// takes its first step, so that a folder keeps its incarnation over restarts and no two folders ever have the same one.
func InitialRecord(cfg Config, incarnation uint64) *schema.Record {
	record := &schema.Record{Incarnation: incarnation, RaiseTargetSize: cfg.ExpandsMembership}
	if slices.Contains(cfg.Founders, cfg.Name) {
		record.Founder = true
		record.Snapshot = &schema.Snapshot{Membership: foundingMembership(cfg.Founders)}
	}
	return record
}

// SetLimits replaces the seeds, the timeouts and those limits that may change while the replica runs, and returns the
// actions that follow. Name, member lists and tolerated losses stay as they were at the start, as they decide what is
// committed.
func (r *Replica) SetLimits(now time.Duration, cfg Config) []Action {
	r.beginStep(now)
	r.config.Seeds = cfg.Seeds
	r.config.HeartbeatTimeout = cfg.HeartbeatTimeout
	r.config.StallTimeout = cfg.StallTimeout
	r.config.MaxEntries = cfg.MaxEntries
	r.config.MaxOutcomes = cfg.MaxOutcomes
	r.config.MaxOperatorTombstones = cfg.MaxOperatorTombstones
	r.tick()
	return r.actions
}

// beginStep begins an exported event method: it sets the time and clears the list of actions.
func (r *Replica) beginStep(now time.Duration) {
	if !r.clockStarted {
		r.clockStarted, r.clockStartedAt = true, now
	}
	r.now, r.actions = now, nil
}
