package store

import "time"

// Config is what a replica is started with. Server derives it from the store's settings; SetLimits replaces
// the part that may change while the replica runs.
type Config struct {
	// Name is this replica's member id, unique among the replicas of the core.
	Name string
	// Address is the host:port at which the other replicas reach this one; it is sent with every message.
	Address string
	// StaticMembers lists every member in the order of preference for leadership, where an operator fixes
	// it. Empty means that the members agree on the list themselves.
	StaticMembers []string
	// Founders are the members of the first membership, where all of them start for the first time and there
	// is no static list; nil on every other replica.
	Founders []string
	// Seeds are the replicas that one outside the membership sends its Join to. May change at run time.
	Seeds []string
	// ExpandsMembership is set on a replica that starts for the first time and is no founder: its joining
	// raises the target size by one, rather than replacing a lost member.
	ExpandsMembership bool
	// ToleratedLosses is the number of disks that may be lost at once without losing a committed change.
	ToleratedLosses int
	// NewIncarnation draws an incarnation that no other data folder has. It must not be nil unless the
	// replica can never be excluded.
	NewIncarnation func() uint64
	// HeartbeatTimeout is how long a replica that is not heard counts as alive. Other intervals are
	// fractions of it. May change at run time.
	HeartbeatTimeout time.Duration
	// StallTimeout is how long a write may take before the replica counts as unfit to lead, and how long a
	// campaign may take before it starts again. May change at run time.
	StallTimeout time.Duration
	// MaxEntries is both the number of entries between two snapshots on disk and the least number of entries
	// retained in memory for followers that lag (the most is twice that, plus what is uncommitted). May change at run time.
	MaxEntries int
	// MaxOutcomes is the number of change ids whose outcome is remembered. May change at run time.
	MaxOutcomes int
	// MaxUncommittedEntries is the number of appended but uncommitted entries at which a leader
	// refuses new proposals.
	MaxUncommittedEntries int
	// MaxOperatorTombstones is the number of retained tombstones that bear an operator version. May change at
	// run time.
	MaxOperatorTombstones int

	seededFault seededFault // set only by tests that show that a check detects the fault
}

// Divisors of Config.HeartbeatTimeout, but for the last.
const (
	// heartbeatsPerTimeout leaves room for one late heartbeat before the sender counts as lost.
	heartbeatsPerTimeout = 3
	// isolatedHeartbeatsPerTimeout is the same for a replica that reaches no majority, to be found sooner.
	isolatedHeartbeatsPerTimeout = 15
	// urgentHeartbeatsPerTimeout bounds how soon a heartbeat that reports a change follows the one before.
	urgentHeartbeatsPerTimeout = 30
	// campaignsPerStallTimeout divides Config.StallTimeout: a campaign that takes longer starts again.
	campaignsPerStallTimeout = 1
)

// A snapshot replaces the log also when the entries since the last one take more bytes than both of these.
const (
	minSnapshotLogBytes = 1 << 20 // bytes
	snapshotLogFactor   = 2       // times the size of the last snapshot
)
