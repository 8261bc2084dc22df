// Package registry is the core's outward face: the one process of a core member that proxies and operators call.
//
// Its job, as one pipeline:
//   - Operators send configuration changes over HTTP (operator_server.go, operator_changes.go). The registry proposes them to
//     the store on its own machine (change_submitter.go), learns what the stores committed (config_sync.go), pushes it to proxies
//     (session_server.go) and waits until no proxy can use an older revision (acknowledger.go).
//   - Proxies subscribe for updates, renew leases, report workers and call counts, and reserve idempotency keys (rpc_service.go,
//     session_server.go). Registries subscribe to one another, so that each knows all proxies (peer_sync.go).
//   - One registry, the rollout controller, gathers all call counts and moves release plans by ordinary changes (rollout_driver.go).
//
// Start-up is in server.go: Run checks the options, builds one component for each of these jobs, and starts their goroutines.
//
// State. The registry keeps nothing on disk. FleetState (leases, service directory, call counts, traces) and ReservationTable
// (idempotency keys) are step functions of events and of the time since the registry started: no I/O, no clock, no goroutines.
// The simulator and the tests drive them without a server. A restarted registry therefore grants nothing until whatever it
// granted before the restart has expired, or until it has read it again from the others.
//
// Concurrency. FleetState, ReservationTable, membership and configCache are not safe for concurrent use. In a server they are
// fields of sharedState, whose one lock guards all of them: that a revision, the configuration of that revision and the channel
// which announces it change together is what readers rely on. No RPC is made and no channel is waited for while the lock is held.
//
// The packages that use it: cmd/registry and platform/operator run a server, internal/simulator drives the state alone,
// internal/testbed reads the operators' pages.
package registry
