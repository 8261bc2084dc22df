// Package session implements the proxy's side of the sessions with the registries:
//
//   - The lease, during which a proxy may route calls. [Lease] counts the grants of the core members, and
//     [LeaseGate] lets calls wait for a renewal. [NextIncarnation] returns the number that distinguishes
//     successive processes of the same name.
//   - Registry selection. [RegistrySelector] decides which registry the proxy subscribes to, and opens and
//     closes sessions.
//   - Results over several registries. [ReservationAttempt] counts the replies to a reservation of an
//     idempotency key. [FleetSize] estimates how many proxies share a fleet-wide limit.
//
// The package does no I/O and starts no goroutine. Callers pass in times and events, and carry out the
// decisions. The proxy and the simulator drive the same code. The registry uses the intervals, the
// incarnations, [FleetSize] and [ReservationAttemptTimeout].
//
// Times are durations since the start of the process, read from a monotonic clock, so no type here
// depends on the time of day. Only [LeaseGate] is safe for concurrent use. Every other type belongs to
// one goroutine, or its owner guards it with a lock.
package session
