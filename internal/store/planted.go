package store

// plantedFault is a deliberate fault in a replica. Tests switch one on to show that their checks see
// it; in a program none ever is.
type plantedFault int

const (
	// plantReadAlone lets the leader tell where it stands without asking a majority.
	plantReadAlone plantedFault = iota + 1
	// plantFoundersQuorum lets as many copies make a change committed as the founders alone needed.
	plantFoundersQuorum
	// plantCountLearners lets the copies of members that are not members yet make a change committed.
	plantCountLearners
	// plantStaleLeader lets a candidate begin its epoch without the newer state that it was told of.
	plantStaleLeader
	// plantEarlyAcknowledgement lets entries be acknowledged to the leader before they are on disk.
	plantEarlyAcknowledgement
	// plantInsists lets a replica take itself for a member by an entry that came to nothing.
	plantInsists
)

// plantedFounders is how many members the founders of such a core are.
const plantedFounders = 3

// has tells whether a fault is planted in this replica.
func (s *Replica) has(fault plantedFault) bool { return s.options.planted == fault }
