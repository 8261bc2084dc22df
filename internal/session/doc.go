// Package session is a proxy's side of its relation to the registries. It answers three questions:
//
//   - May this proxy decide calls now? [Lease] counts the grants of the core members, [LeaseGate] lets
//     calls wait for a renewal, and [NextIncarnation] tells successive processes of one name apart.
//   - Which registry does this proxy subscribe to? [RegistrySelector] opens and closes sessions.
//   - What do the registries answer together? [ReservationAttempt] counts the replies to a reservation of an
//     idempotency key, [FleetSize] remembers how many proxies share a fleet-wide limit.
//
// The package does no I/O and starts no goroutine: times and events go in, decisions come out. The
// proxy and the simulator drive the same code, the registry uses the intervals and the incarnations.
//
// Times are durations since the start of the process, read from a monotonic clock, so no type here
// depends on the time of day. Only [LeaseGate] is safe for concurrent use. Every other type belongs to
// one goroutine, or its owner guards it with a lock.
package session
