// Package simulator runs the code of a complete mesh in one process under a virtual clock, injects faults
// drawn from a seed, and checks every step against the invariants of the mesh.
//
// The replicas, service directories, key reservations, leases, views, both sides of a forwarded call, rollout control
// and the rollback guard are the production code that the daemons run. The simulator replaces what surrounds them in a
// daemon: the network, the disks, the clocks and the loops that drive the code. It also plays the callers, the workers
// and the operators.
//
// A World is one simulated fleet. It owns every process, the event queue, the random stream, and the History that
// records calls, configurations and violations of invariants. Tests call one of four entry points:
//
//   - RunMesh runs a mesh under faults.
//   - RunCore runs a core of members alone.
//   - RunRollback introduces a version that the rollback guard has to judge.
//   - RunOrder orders a rollout with a deadline.
//
// Only the tests of this package use it.
//
// # Concurrency
//
// Everything runs inside a testing/synctest bubble. Events drive the step functions; World.Run executes them one at a
// time in the order of their due times. Code that blocks (a caller's call, a peer RPC, a worker) has goroutines of its
// own on the same virtual clock. An event runs only while every goroutine of the bubble is blocked. World.lock guards
// the state that events and goroutines share, History.lock guards the records. Neither is acquired while the other is
// held.
//
// # Determinism
//
// A seed replays to the same events at the same times, except where goroutines that wake at the same moment race: in
// worlds whose callers cancel (see Options.CallerCancelRate), and rarely in others. The order of draws from
// World.random, the ids, and the names that derive other random streams are part of the behavior. Changing any of them
// changes the digests in testdata/golden.
package simulator
