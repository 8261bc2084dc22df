package store

// seededFault is a deliberate fault in a replica, as in mutation testing. Tests enable one to verify that their checks
// detect it. In the programs it is always 0, which means none.
type seededFault int

const (
	// faultLocalRead makes the leader answer a read index without confirmation by a majority.
	faultLocalRead seededFault = iota + 1
	// faultFoundersQuorum makes a leader commit with a majority of faultFounderCount, regardless of the number of members.
	faultFoundersQuorum
	// faultCountLearners makes a leader count the copies at learners for the commit.
	faultCountLearners
	// faultStaleLeader makes a candidate begin its term without adopting the newer content that a voter sent.
	faultStaleLeader
	// faultEarlyAcknowledgement makes a follower acknowledge entries to the leader before they are durable.
	faultEarlyAcknowledgement
	// faultIgnoresExclusion makes a replica count itself as a member by an entry that a later leader discarded.
	faultIgnoresExclusion
)

// faultFounderCount is the number of founders that faultFoundersQuorum assumes.
const faultFounderCount = 3

// hasFault reports whether a fault is seeded in this replica.
func (r *Replica) hasFault(fault seededFault) bool { return r.config.seededFault == fault }
