package store

import (
	"time"
)

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
