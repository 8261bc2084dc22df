package session

// Intervals that both ends of a session agree on. Each constant is a divisor: the interval is the length of the
// lease divided by the constant.
const (
	// RenewalsPerLease is the number of renewals that a proxy requests during one lease. One renewal interval is
	// also the time for which a proxy may still use a configuration that a newer one has replaced.
	RenewalsPerLease = 8
	// HeartbeatsPerLease is the smallest number of messages that a registry sends in a session during one lease.
	HeartbeatsPerLease = RenewalsPerLease
	// HeartbeatTimeoutDivisor gives the time without a heartbeat after which a session is closed.
	HeartbeatTimeoutDivisor = 4
	// MaxStalenessDivisor gives the age above which a registry's configuration is stale. With three eighths of a
	// lease, a change takes effect everywhere within half a lease.
	MaxStalenessDivisor = 8. / 3
)
