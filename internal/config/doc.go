// Package config holds the configuration of the mesh in two forms: a State, the items as the store replicates
// them, and a Snapshot, which Compile makes of a State for proxies and registries to use.
//
// An item is one piece of configuration: a service, a route, a flag, and so on. Its kind and name identify it,
// and its body is JSON. A fault is a validation error, reported with the path of the field that it concerns.
//
// The package does no I/O and owns no state. A State and a Snapshot never change once they are made. A change
// makes a new one that shares all unchanged parts, so any number of goroutines may read them without a lock.
//
// The leader of the stores compiles each change to validate it before it admits the change. Registries compile the
// committed configuration, by which one of them controls rollouts. Each proxy compiles the items that it receives,
// and plans calls with the snapshot.
package config
