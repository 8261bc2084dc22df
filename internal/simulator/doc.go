// Package simulator runs the code of a complete mesh in one process under a virtual clock, injects faults
// drawn from a seed, and checks everything that happens against the never-rules of the product.
//
// The replicas, fleet tables, key reservations, leases, views, both sides of a forwarded call, rollout control and
// the rollback guard are the production code that the daemons run. The simulator replaces what surrounds them in a
// daemon: the network, the disks, the clocks and the loops that drive the code; it also stands for the callers, the
// workers and the operators.
//
// A World is one simulated fleet. It owns every process, the queue of events, the random stream and the History in
// which calls, configurations and breaches are recorded. Tests call one of the four entry points: RunMesh runs a
// mesh under faults, RunCore a core of members alone, RunRollback a rollout that the rollback guard has to judge, and
// RunOrder a rollout order with a deadline. Nothing outside the tests imports the package.
//
// # Concurrency
//
// Everything runs inside a testing/synctest bubble. Step functions are driven by events, which World.Run
// executes one at a time in the order of their due times; code that blocks (a caller's call, a peer RPC, a worker) has
// goroutines of its own on the same virtual clock. An event runs only while every goroutine of the bubble is
// blocked. World.lock guards what events and goroutines share, History.lock guards the records; neither is acquired
// while the other is held.
//
// # Determinism
//
// A seed replays to the same events at the same times, except where goroutines that wake at the same moment race: in
// worlds whose callers cancel (see Options.CallerCancelRate), and rarely in others. The order of draws from
// World.random, the ids and the names that derive other random streams are part of the behavior: testdata/golden holds
// digests that any change of them breaks.
package simulator
