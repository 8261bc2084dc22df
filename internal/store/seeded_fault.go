package store

// seededFault is a deliberate fault in a replica. Tests switch one on to show that their checks see
// it; in a program none ever is.
type seededFault int

const (
	// faultLocalRead lets the leader tell where it stands without asking a majority.
	faultLocalRead seededFault = iota + 1
	// faultFoundersQuorum lets as many copies make a change committed as the founders alone needed.
	faultFoundersQuorum
	// faultCountLearners lets the copies of members that are not members yet make a change committed.
	faultCountLearners
	// faultStaleLeader lets a candidate begin its epoch without the newer state that it was told of.
	faultStaleLeader
	// faultEarlyAcknowledgement lets entries be acknowledged to the leader before they are on disk.
	faultEarlyAcknowledgement
	// faultIgnoresExclusion lets a replica take itself for a member by an entry that came to nothing.
	faultIgnoresExclusion
)

// faultFounderCount is how many members the founders of such a core are.
const faultFounderCount = 3

// hasFault tells whether a fault is planted in this replica.
func (r *Replica) hasFault(fault seededFault) bool { return r.config.seededFault == fault }
