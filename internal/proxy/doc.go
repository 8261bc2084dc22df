// Package proxy implements the data-plane node of the mesh: a proxy process on the machines of callers and
// workers. It plans each call by the configuration in use and forwards it to a worker.
//
// # Terms
//
//   - A caller is a service that sends requests; each caller of a proxy has its own listener.
//   - A worker is an instance of a service. It registers with the proxy on its machine by heartbeats, and is a
//     local worker of that proxy.
//   - A source is a proxy as the publisher of its local workers. The directory holds the workers of all sources.
//   - A registry is a control-plane node. The registries together are the core; each is a core member.
//   - A call planned at the caller's proxy is forwarded to the worker's proxy by the peer RPC.
//
// # State
//
// A [Server] holds one [MeshState]: the configuration snapshot in use and the directory of all workers,
// folded from a journal of events. It also holds the local workers (package dispatch), the serving gate,
// which is open while the proxy may serve calls, and the counts that it reports to a registry. Nothing is
// stored on disk; after a restart the proxy obtains all state from registries and heartbeats.
//
// # One call
//
//	callerListener.acceptLoop    accept a connection of a caller        caller_listener.go
//	connection.serveRequest      serve one request of the connection    connection.go
//	connection.readHeader        read up to the end of the header       connection_header.go
//	parseRequestHeader           parse the header strictly              request_header_parser.go
//	connection.readBody          read the body within the limits        request_body.go
//	connection.startWatch        detect a caller that disconnects       disconnect_watch.go
//	Server.serveCall             deadline, limit of calls in flight     calls.go
//	dispatch.Forwarder.Forward   plan, attempts, retries                package dispatch
//	Server.sendAttempt           peer RPC, or the runner in process     peer_service.go
//	Server.Run                   peer RPC at the worker's proxy         peer_service.go
//	dispatch.Runner.Run          admission, exchange with the worker    package dispatch
//	connection.writeResponse     write the response to the caller       response.go
//
// # One configuration update
//
// By default a proxy serves under a lease. Server.pullLoop long-polls one registry (pull.go) and announces
// a new revision to a majority of registries before the proxy applies it. Server.renewLoop renews the lease
// (lease.go).
//
// With the option "doubt" set to "serve" a proxy serves without a lease, however stale its configuration is.
// Server.maintainSession keeps one subscription with a registry, whose updates Server.applyUpdate applies
// (session.go).
//
// Both append an [Event] to the journal, and [Fold] computes the next state from it (mesh_state.go,
// mesh_directory.go). Calls that begin later are planned by the new state. Server.reportLoop reports local
// workers and counts to a registry (report.go).
//
// # Users
//
// The program cmd/proxy calls [Run]. The testbed runs many proxies without listeners in one process
// ([JoinHollow]). The simulator uses [MeshState], [Event] and [Fold]. A program may replace the wire formats
// of callers and workers by an [Option].
//
// # Concurrency
//
// MeshState values are immutable and may be read by any goroutine. Server.lock guards the fields in its block
// of [Server] and is never held during an RPC. Each caller connection belongs to one goroutine. While a call
// is in flight, the read side of its connection belongs to a second goroutine, the disconnect watch.
package proxy
