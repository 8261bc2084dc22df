// Command testbed runs fleets of the mesh's real processes on this machine, under load and injected
// faults, and checks or measures what callers, workers and operators see.
//
//	testbed            one fleet, one scenario of faults, checked against the invariants
//	testbed soak       the same for many seeds of random faults, several fleets at a time
//	testbed hollow     many proxies without listeners against a real core: what a member costs
//	testbed slopes     a series of hollow fleets: how costs grow with each driver
//	testbed calls      chains of calls through real proxies: what a call costs
//
// The programs proxy, registry and store are expected beside this one, or in -binaries. The program
// also runs the store's daemon on a delayed disk (testbed.DelayedStoreCommand); only fleets start it so.
package main
