// Command tracer shows the progress of one configuration change: when each store appended it, made it
// durable and learned of its commit, when each registry received and acknowledged it, when each proxy
// applied it, and which nodes still lack it.
//
// It queries each core member once, over the operators' HTTP interface. It keeps no state, and everything
// runs in one goroutine.
package main
