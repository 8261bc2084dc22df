// Package config holds the configuration of the mesh in two forms: a State, the items as the store replicates
// them, and a Snapshot, which Compile makes of a State for proxies and registries to use.
//
// An item is one piece of configuration: a service, a route, a flag, and so on. Its kind and name identify it,
// and its body is JSON. A fault is a validation error, reported with the path of the field that it concerns.
//
// The package does no I/O and owns no state. A State and a Snapshot never change once they are made. Each change of
// the configuration makes new ones, which share all unchanged parts with the old ones. Any number of goroutines may
// therefore read them without a lock.
//
// The leader of the stores compiles the configuration with each proposed change, and refuses a change with faults.
// Registries compile the committed configuration; the one that is the rollout controller carries out the release plans
// in it. Each proxy compiles the items that it receives, and plans calls with the snapshot.
package config
