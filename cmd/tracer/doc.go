// Command tracer follows one change through all nodes: its admission, each store's sync, its commit,
// each registry, each proxy, the acknowledgement, and which nodes still lack it.
//
// It asks each core member once, over the operators' HTTP interface, and keeps no state; everything
// runs in one goroutine.
package main
