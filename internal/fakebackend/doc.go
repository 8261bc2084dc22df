// Package fakebackend holds what the simulator and the testbed share: the reply of a fake worker, the limits of the
// invariants that both check, and the reservation of a loopback network for the processes of a run. Its only state is
// the listener that locks each reserved network. All functions may be called concurrently.
package fakebackend
