// Command testbed runs fleets of the mesh's real processes on this machine under load and injected faults,
// and checks or measures the results that callers, workers and operators see.
//
//	testbed            runs one fleet through one fault scenario and checks the invariants
//	testbed soak       does the same for many seeds of random faults, with several fleets at a time
//	testbed hollow     runs many proxies without listeners against a real core, to measure the cost of a member
//	testbed slopes     runs a series of hollow fleets, to measure how costs grow with each cost driver
//	testbed calls      runs chains of calls through real proxies, to measure the cost of a call
//
// The programs proxy, registry and store must be in the folder of this program or in -binaries. With
// testbed.DelayedStoreCommand as its first argument the program runs the store's daemon on a delayed disk;
// only fleets start it in this way.
package main
