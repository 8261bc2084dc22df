package store

import (
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

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

func (r *Replica) beginStep(now time.Duration) {
	if !r.clockStarted {
		r.clockStarted, r.clockStartedAt = true, now
	}
	r.now, r.actions = now, nil
}
