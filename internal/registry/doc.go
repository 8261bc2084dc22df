// Package registry implements the control plane server of a core member: the process that operators, proxies and the
// registries of other members call. A core is a small group of members, each with one registry and one store. The
// registry keeps no data on disk; the store on the same machine replicates and persists the configuration.
//
// # Terms
//
// A revision is the sequence number of an entry in the stores' log, and identifies the configuration up to that entry.
// Every decided change has an entry, whether it was accepted or refused.
//
// A lease permits a proxy process to route by the configuration that it has applied. It needs grants from a majority
// of the registries. Where a comment gives a time in leases, the unit is the lease duration, which is the same on every
// process. A fence at a revision forbids leases below that revision; a laggard is a lease below the fence that has not
// expired. A change is acknowledged once no proxy can use an older configuration.
//
// A source is one proxy's entry in the service directory: its address, zone and registered workers. The home registry
// of a source is the registry with which its proxy has, or last had, a session. A source whose proxy shut down or was
// lost is ended and stays as a tombstone until its room is needed.
//
// An incarnation is the number that distinguishes a process from earlier ones of the same name. A version vector gives,
// for each source that a node has, the incarnation and a counter within it. An incarnation-only source records that
// another node has seen a higher incarnation of a proxy than this registry has. One registry hears another while it
// receives updates from it.
//
// # Request paths
//
// Start-up is in server.go: Run checks the options, newServer builds the components, run starts their goroutines.
//
// Configuration change: operatorServer.handleChange parses an operator's request, and changeSubmitter.propose
// proposes it to the store until it is decided. Once the stores have committed it, configSync.applyCommitted applies
// it to the shared state and wakes the sessions, and sessionServer.push sends it to each proxy. A proxy reports the
// applied revision when it renews its lease (rpcService.Lease). acknowledger.await sets fences, on this registry and
// on the others (rpcService.Bar), until a majority has no lease below the revision. Then the operator gets the
// response.
//
// Proxy session: rpcService.Attend authorizes the proxy. sessionServer.serve opens its session in the service
// directory and sends what the proxy lacks, then updates and heartbeats. Separately from the session, the proxy
// renews its lease, reports its workers and call counts (rpcService.Tell) and reserves idempotency keys
// (rpcService.Claim). Each other registry copies the reported sources from this one by its own peerSync. When the
// session ends and is not reopened in time, FleetState.endLostSources ends the proxy's source.
//
// Rollout step: rolloutDriver.tick runs on the one registry that controls rollouts. It gathers the call counts of all
// registries, lets release.Controller decide, and writes each step as a configuration change. Canary grants reach
// proxies in the replies to their reports.
//
// # State
//
// FleetState (leases, service directory, call counts, traces) and ReservationTable (idempotency keys) are step
// functions of events and of the time since the registry started: no I/O, no clock, no goroutines. The simulator and
// the tests drive them without a server. They are not persisted. After a restart, a registry therefore grants no
// leases until all leases that it may have granted before have expired. It grants no reservations until the earlier
// ones have expired, or until it has read them from the other registries.
//
// # Concurrency
//
// FleetState, ReservationTable, membership and configCache are not safe for concurrent use. In a server they are
// fields of sharedState, which guards all of them with one lock: a revision, the configuration of that revision and
// the channel that announces the next one must be read at the same instant. The lock is not held during an RPC or
// while waiting on a channel. Methods whose names end in Locked are called with the lock held.
//
// cmd/registry and platform/cmd/registry run a server. platform/operator implements an additional API for operators.
// internal/simulator drives the state alone. internal/testbed, cmd/operator and cmd/tracer call the operators' HTTP
// API.
package registry
