package session

// Ratios to the lease, on which both ends of a session count.
const (
	LeaseParts   = 8          // renewals in one lease, and the part of it that a proxy may lag behind
	BeatParts    = LeaseParts // how often a registry says something in a session at the least
	SilenceParts = 4          // a registry silent for this part of a lease is left
	LagParts     = 8. / 3     // and one whose setup may be so old: a change is to be in force within half a lease
)
