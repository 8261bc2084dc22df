// Package plan implements request routing and load balancing. Before a request is sent, [New] decides its route,
// its service and version, its deadline, and the endpoints to try in order. The result is a [Plan].
//
// The package does no I/O, reads no clock and keeps no state between calls, except for reused memory. The [View], the
// time, the random source and this process's statistics of workers ([LocalState]) are passed in. The same inputs give
// the same plan, so the simulator and the explanation of a call to operators use the same code as the proxy.
//
// Package dispatch calls [New] for each call. Package registry calls it to explain a call to operators. New may be
// called concurrently: it only reads the view, which is immutable, and LocalState must be safe for concurrent use.
package plan
