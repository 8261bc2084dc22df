// Package testbed brings up fleets of the mesh's real processes on this machine, puts load and faults on them, and
// checks or measures what callers, workers and operators observe from outside the mesh.
//
// There are three kinds of runs:
//   - Run and Soak inject the faults of a scenario into a fleet of a Deployment, record what is observed in a History,
//     and check it against the invariants. These must hold whatever the faults.
//   - RunHollow and RunSlopes measure what the mesh itself costs. The core of such a fleet consists of real processes.
//     Most of its proxies are hollow members: proxies without listeners that run in this process.
//   - RunCalls measures what a call through real proxies costs.
//
// A run owns a folder with the data, settings, certificates and logs of its processes. It also owns a loopback network
// that is reserved for it, so several runs may go on at the same time. Within a run, callers, workers, operators and
// fault injection have goroutines of their own and share a History, which is guarded by its lock.
//
// The package is used by cmd/testbed and by tests. Except for hollow members and RunDelayedStore, it uses the mesh only
// through its programs and protocols.
package testbed
