package store

// plantedFault is a deliberate fault in a seat. Tests switch one on to show that their checks see
// it; in a program none ever is.
type plantedFault int

const (
	// plantReadAlone lets the leader tell where it stands without asking a majority.
	plantReadAlone plantedFault = iota + 1
	// plantFoundersQuorum lets as many copies make a change stable as the founders alone needed.
	plantFoundersQuorum
	// plantCountLearners lets the copies of seats that are not members yet make a change stable.
	plantCountLearners
	// plantStaleLeader lets a candidate begin its epoch without the newer state that it was told of.
	plantStaleLeader
	// plantEarlyAcknowledgement lets entries be acknowledged to the leader before they are on disk.
	plantEarlyAcknowledgement
	// plantInsists lets a seat take itself for a member by an entry that came to nothing.
	plantInsists
)

// plantedFounders is how many seats the founders of such a core are.
const plantedFounders = 3

// has tells whether a fault is planted in this seat.
func (s *Seat) has(fault plantedFault) bool { return s.options.planted == fault }
