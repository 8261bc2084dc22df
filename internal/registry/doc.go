// Package registry is the outward face of the core: the one process of a core member that operators, proxies and the registries of
// other members call. It owns no data on disk; the store on the same machine keeps the configuration.
//
// # Three paths through it
//
// Start-up is in server.go: Run checks the options, newServer builds one component for each job, run starts their goroutines.
//
// A configuration change. operatorServer.handleChange parses an operator's request, and changeSubmitter.propose hands it to the
// store until it is decided. Once the stores have committed it, configSync.applyCommitted takes it into the shared state and wakes
// the sessions, and sessionServer.push sends it to each proxy. A proxy that has applied it says so when it renews its lease
// (rpcService.Lease). acknowledger.await sets fences, here and on the other registries (rpcService.Bar), until a majority of them
// has no lease below the revision; then the operator gets the response.
//
// A proxy's session. rpcService.Attend authorizes the proxy, and sessionServer.serve opens its session in the service directory and
// sends what it lacks, then updates and heartbeats. Beside the session the proxy renews its lease, reports its workers and call
// counts (rpcService.Tell) and reserves idempotency keys (rpcService.Claim). peerSync brings what it reports to the other registries.
// When the session ends and the proxy does not come back, FleetState.endLostSources takes it off the directory.
//
// A rollout step. rolloutDriver.tick, on the one registry that has control, gathers the call counts of all registries, lets
// release.Controller decide, and writes each step as a configuration change. Canary grants reach proxies with the replies to their
// reports.
//
// # State
//
// FleetState (leases, service directory, call counts, traces) and ReservationTable (idempotency keys) are step functions of events
// and of the time since the registry started: no I/O, no clock, no goroutines. The simulator and the tests drive them without a
// server. Since nothing of it is on disk, a registry that restarted grants nothing until whatever it may have granted before has
// expired, or until it has read it from the others.
//
// # Concurrency
//
// FleetState, ReservationTable, membership and configCache are not safe for concurrent use. In a server they are fields of
// sharedState, whose one lock guards all of them: a revision, the configuration of that revision and the channel that announces the
// next one have to be read at one instant. The lock is held neither during an RPC nor while a channel is waited for. Methods whose
// names end in Locked are called with it held.
//
// cmd/registry and platform/operator run a server; internal/simulator drives the state alone; internal/testbed and cmd/operator read
// the operators' pages.
package registry
