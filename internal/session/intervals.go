package session

// Ratios to the lease, on which both ends of a session count.
const (
	RenewalsPerLease        = 8                // renewals in one lease, and the part of it that a proxy may lag behind
	HeartbeatsPerLease      = RenewalsPerLease // how often a registry says something in a session at the least
	HeartbeatTimeoutDivisor = 4                // a registry silent for this part of a lease is left
	MaxStalenessDivisor     = 8. / 3           // and one whose setup may be so old: a change is to be in force within half a lease
)
