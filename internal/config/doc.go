// Package config is the configuration that operators write: its items as the store keeps them (State), and
// an immutable form compiled from them (Snapshot) that proxies and registries work from.
//
// The package does no I/O and owns no state. A State and a Snapshot never change once made: a change gives
// a new one that shares whatever stayed the same, so any number of goroutines may read them without a lock.
//
// The registry compiles to check a change before it is admitted and to steer rollouts; each proxy compiles
// what it receives, and plans calls with the result.
package config
