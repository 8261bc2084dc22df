package store

// seededFault is a deliberate fault in a replica (a mutation). Tests switch one on to show that their checks detect
// it; the programs leave it at 0, none.
type seededFault int

const (
	// faultLocalRead lets the leader answer a read index without confirmation by a majority.
	faultLocalRead seededFault = iota + 1
	// faultFoundersQuorum commits with the quorum of the founders alone, however many members there are.
	faultFoundersQuorum
	// faultCountLearners counts learners' copies for a commit.
	faultCountLearners
	// faultStaleLeader lets a candidate begin its term without the newer content that a voter sent it.
	faultStaleLeader
	// faultEarlyAcknowledgement acknowledges entries to the leader before they are durable.
	faultEarlyAcknowledgement
	// faultIgnoresExclusion lets a replica count itself as a member by an entry that a later leader discarded.
	faultIgnoresExclusion
)

// faultFounderCount is the number of founders that faultFoundersQuorum counts with.
const faultFounderCount = 3

// hasFault reports whether a fault is seeded in this replica.
func (r *Replica) hasFault(fault seededFault) bool { return r.config.seededFault == fault }
