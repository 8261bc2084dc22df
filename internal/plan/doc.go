// Package plan decides, before anything is sent, what is to happen to a request: its route, its service and
// version, its deadline, and the endpoints to try in order. The result is data, a [Plan].
//
// The package does no I/O, reads no clock and keeps no state between calls: the [View], the time, the random
// source and what the process knows of workers ([LocalState]) are passed in. So the same inputs give the same
// plan, and the simulator and the operators' explanations of a call use the same code as the proxy.
//
// Package dispatch calls [Make] for each call; package registry calls it to explain a call to operators. Make may be called
// concurrently: it only reads the view, which is immutable, and LocalState must be safe for concurrent use.
package plan
