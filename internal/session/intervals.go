package session

// Fractions of a lease that both ends of a session agree on. Each is a divisor: the duration is the
// length of the lease divided by the constant.
const (
	// RenewalsPerLease is how many times a proxy asks for a renewal in one lease. One renewal interval is
	// also how far a proxy may lag behind.
	RenewalsPerLease = 8
	// HeartbeatsPerLease is how many messages a registry sends in a session in one lease, at least.
	HeartbeatsPerLease = RenewalsPerLease
	// HeartbeatTimeoutDivisor gives the time without a heartbeat after which a session is closed.
	HeartbeatTimeoutDivisor = 4
	// MaxStalenessDivisor gives the age of a registry's configuration from which the registry counts as
	// stale. At three eighths of a lease, a change is in force everywhere within half a lease.
	MaxStalenessDivisor = 8. / 3
)
