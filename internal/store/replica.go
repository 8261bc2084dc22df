package store

import (
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Replica is the consensus state machine of one member. Its methods must be called one at a time, with a
// time that never goes back, on a clock of the owner's choice (Server: since the process started).
//
// Invariants: committedSequence never exceeds sequence; baseSequence + len(entries) is sequence; a vote, and the
// acknowledgement of a term's beginning or of an entry, is sent only once that is durable here (pendingWrite holds what
// waits); the leader's own copy of an entry counts for the commit only then too.
type Replica struct {
	// Identity. The data folder, not the name, is what counts as a member: see membership.go.
	config            Config
	incarnation       uint64 // of the data folder
	founder           bool   // the data folder has existed since the first membership
	expandsMembership bool   // joining raises the target size; cleared once this replica is a member

	// Votes (Raft: currentTerm and votedFor). Durable before they are sent.
	votedTerm   uint64 // no leader of a lower term is accepted
	votedFor    string // empty after a snapshot of a later term, which votes for nobody
	highestTerm uint64 // the highest term seen anywhere, to campaign above it

	// Content: what was appended, durable or not. (term, sequence) names it; equal versions, equal contents.
	term         uint64
	sequence     uint64 // of the last entry (Raft: last log index)
	state        config.State
	membership   *schema.Membership // counts from when it is appended, committed or not (thesis, section 4.1)
	outcomes     map[string]*schema.ChangeOutcome
	outcomeOrder []string // the keys of outcomes, oldest first

	// The retained tail of the log, and the state just before it.
	baseSequence   uint64
	baseState      config.State
	baseMembership *schema.Membership
	entries        []*schema.Entry // sequences baseSequence+1 to sequence

	// Committed content: the only one shown outside. It is of committedTerm, 0 if none is known.
	committedTerm       uint64
	committedSequence   uint64
	committedState      config.State
	committedMembership *schema.Membership

	// Disk.
	durableTerm          uint64 // the term that durableSequence was written under
	durableSequence      uint64
	lastWriteID          uint64
	pendingWrites        []pendingWrite // not reported by Persisted yet, in order
	diskFailed           bool           // from DiskFailed until the next Persisted
	entriesSinceSnapshot int            // in the log on disk
	bytesSinceSnapshot   int            // in the log on disk
	snapshotBytes        int            // size of the last snapshot record

	// Other replicas.
	peers              map[string]*peerState // the other members
	otherMembers       []string              // the keys of peers in member order: iterated so that a run can be replayed
	outsiders          map[string]*peerState // learners, replicas that know a newer membership, and at bootstrap all others
	addresses          map[string]string     // where each replica was last heard from, or is reported to be
	reportedMembership *schema.Membership    // the newest committed membership that another replica reported

	// Role and election.
	role             role
	roleSince        time.Duration   // set by the become functions, but for becomeLeader; 0 lets this replica campaign at once
	termStartVersion *schema.Version // the content that this replica's term began with, while it leads

	// Heartbeats.
	heartbeatSent   bool // since this replica started; heartbeatSentAt is valid if so
	heartbeatSentAt time.Duration
	heartbeatSerial uint32 // of the last complete heartbeat
	lastUrgentState string // urgentState as of the last heartbeats

	// Bootstrap and joining.
	stateRequestID   uint64 // numbers the rounds of StateRequests at bootstrap
	stateRequestedAt time.Duration
	joinsExisting    bool // a StateReply showed that a core exists already
	joinRequestedAt  time.Duration

	// Requests. Tickets are drawn by the owner.
	pendingProposals  map[string][]requester      // at the leader, by change id
	pendingReads      []pendingRead               // at the leader
	readIndexID       uint64                      // numbers the confirmations of leadership
	forwardedRequests map[string]forwardedRequest // at a follower, by ticket

	// At the leader.
	nextPurgeSequence uint64           // the committed sequence at which purgeTombstones next acts
	compiledConfig    *config.Snapshot // of the last change admitted here; the next one is compiled after it

	freshness freshness

	// The current step.
	clockStarted   bool
	clockStartedAt time.Duration // of the first step
	now            time.Duration
	actions        []Action // emitted so far
}

// NewReplica restores a replica from the records of its log, in the order they were written. Without records
// it is empty and of the incarnation that is passed; otherwise the records have the incarnation.
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
		outsiders:           map[string]*peerState{},
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

// InitialRecord is the first record of an empty data folder. The owner makes it durable before the replica
// takes its first step, so that no two folders ever have the same incarnation.
func InitialRecord(cfg Config, incarnation uint64) *schema.Record {
	record := &schema.Record{Incarnation: incarnation, RaiseTargetSize: cfg.ExpandsMembership}
	if slices.Contains(cfg.Founders, cfg.Name) {
		record.Founder = true
		record.Snapshot = &schema.Snapshot{Membership: foundingMembership(cfg.Founders)}
	}
	return record
}

// SetLimits takes over the limits, timeouts and seeds of cfg. Name, members and tolerated losses stay as
// they were at the start: they decide what is committed.
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

// beginStep starts an exported event method: it sets the time and an empty list of actions.
func (r *Replica) beginStep(now time.Duration) {
	if !r.clockStarted {
		r.clockStarted, r.clockStartedAt = true, now
	}
	r.now, r.actions = now, nil
}
