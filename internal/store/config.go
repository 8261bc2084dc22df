package store

import "time"

// Config holds the parameters of a replica. Server derives it from the store's settings. SetLimits replaces the
// fields that may change while the replica runs.
type Config struct {
	// Name is this replica's member id, unique among the replicas of the core.
	Name string
	// Address is the host:port at which the other replicas reach this one; it is sent with every message.
	Address string
	// StaticMembers lists every member, in the order of preference for leadership, if the operator fixes the list.
	// Empty means that the members agree on the list themselves.
	StaticMembers []string
	// Founders lists the members of the first membership, if all of them start for the first time and there is no
	// static member list. It is nil on every other replica.
	Founders []string
	// Seeds lists the replicas to which a replica that is no member sends its Join. May change at run time.
	Seeds []string
	// ExpandsMembership is set on a replica that takes part in the first start of the core without being a founder.
	// When it joins, it raises the target size by one instead of replacing a lost member.
	ExpandsMembership bool
	// ToleratedLosses is the number of disks that may be lost at once without losing a committed change.
	ToleratedLosses int
	// NewIncarnation returns an incarnation that no other data folder has. It may be nil only if the replica can
	// never be excluded from the membership.
	NewIncarnation func() uint64
	// HeartbeatTimeout is how long a replica counts as alive after the last message from it. Most other intervals are
	// fractions or multiples of it. May change at run time.
	HeartbeatTimeout time.Duration
	// StallTimeout is how long a write may take before the replica counts as unfit to lead. It is also how long a
	// campaign may take before it starts again. May change at run time.
	StallTimeout time.Duration
	// MaxEntries is the number of entries after which a snapshot replaces the log on disk. It is also the minimum
	// number of entries retained in memory for followers that lag. At most twice that number, and the uncommitted
	// entries, are retained. May change at run time.
	MaxEntries int
	// MaxOutcomes is the maximum number of change ids whose outcome is retained. May change at run time.
	MaxOutcomes int
	// MaxUncommittedEntries is the number of appended but uncommitted entries at which the leader answers new
	// proposals as undecided.
	MaxUncommittedEntries int
	// MaxOperatorTombstones is the number of tombstones with an operator version above which the oldest of them are
	// purged. May change at run time.
	MaxOperatorTombstones int

	seededFault seededFault // a deliberate fault, set only by tests that verify that their checks detect it; 0 for none
}

// These constants divide Config.HeartbeatTimeout or Config.StallTimeout into intervals.
const (
	// heartbeatsPerTimeout divides HeartbeatTimeout into the heartbeat interval, which is also the interval between two
	// Joins and between two rounds of StateRequests. One heartbeat may be late before its sender counts as lost.
	heartbeatsPerTimeout = 3
	// isolatedHeartbeatsPerTimeout replaces heartbeatsPerTimeout on a replica that reaches no majority, so that the
	// others hear it sooner.
	isolatedHeartbeatsPerTimeout = 15
	// urgentHeartbeatsPerTimeout divides HeartbeatTimeout into the minimum time between a round of heartbeats and a
	// following one that is sent early because it reports a change.
	urgentHeartbeatsPerTimeout = 30
	// campaignsPerStallTimeout divides StallTimeout into the time after which an unfinished campaign starts again.
	campaignsPerStallTimeout = 1
)

// A snapshot replaces the log on disk, regardless of the number of entries, once the entries since the last snapshot
// reach the larger of these two sizes.
const (
	minSnapshotLogBytes = 1 << 20 // a size in bytes
	snapshotLogFactor   = 2       // a multiple of the size of the last snapshot
)
