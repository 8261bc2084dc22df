// Package proxy is the data-plane node of the mesh: a process beside callers and workers that decides
// each call by the configuration in use and forwards it to a worker.
//
// # What it owns
//
// A [Server] holds one [MeshState]: the configuration snapshot in use and the directory of all workers,
// folded from a journal of events. It also holds the workers that registered with this proxy (package
// dispatch), the serving gate that says whether the proxy may decide calls, and the counts that it
// reports to a registry. Nothing is stored on disk; after a restart everything comes from the registries.
//
// # One call
//
//	callerListener.acceptLoop    one connection of a caller            caller_listener.go
//	connection.serveRequest      one request after the other           connection.go
//	connection.readHeader        bytes up to the end of the header     connection_header.go
//	parseRequestHeader           the header, nothing repaired          request_header_parser.go
//	connection.readBody          the body, within the limits           request_body.go
//	connection.startWatch        find a caller that disconnects        disconnect_watch.go
//	Server.serveCall             deadline, limit of calls in flight    calls.go
//	dispatch.Forwarder.Forward   plan, attempts, retries               package dispatch
//	Server.forward               peer RPC, or the runner in process    peer_service.go
//	Server.Run                   the RPC at the worker's proxy         peer_service.go
//	dispatch.Runner.Run          admission and the worker's answer     package dispatch
//	connection.writeResponse     the answer to the caller              response.go
//
// # One configuration update
//
// By default a proxy serves under a lease: Server.pullLoop long-polls one registry (pull.go), announces
// a new revision to a majority of registries before it uses it, and Server.renewLoop keeps the lease
// (lease.go). With the option "doubt" set to "serve" a proxy serves whatever it knows, without a lease:
// Server.maintainSession keeps one subscription with a registry, whose updates Server.applyUpdate
// applies (session.go). Either appends an [Event] to the journal, [Fold] makes the next state of it
// (mesh_state.go, mesh_directory.go), and the calls that begin later plan by its view.
// Server.reportLoop reports workers and counts back (report.go).
//
// # Who calls it
//
// The program cmd/proxy calls [Run]; the testbed holds many proxies without listeners in one process
// ([JoinHollow]). Options ([Option]) replace the dialects of callers and workers.
//
// # Concurrency
//
// MeshState values are immutable; the journal hands them to any goroutine. Server.lock guards the fields
// that say so and is never held during an RPC. Each caller connection belongs to one goroutine, and while a
// call is under way its read side belongs to a second one, the disconnect watch.
package proxy
