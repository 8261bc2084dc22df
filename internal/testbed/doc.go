// Package testbed brings up fleets of the mesh's real processes on this machine, puts load and faults on them,
// and checks or measures what callers, workers and operators outside the mesh see.
//
// There are three kinds of runs. Run and Soak put a scenario of faults on a fleet of a Deployment, record what
// is seen in a History, and check that against the invariants: what must never happen, whatever the faults.
// RunHollow and RunSlopes measure what a mesh costs, with many proxies without listeners (hollow members, in
// this process) on a real core. RunCalls measures what a call through real proxies costs.
//
// A run owns a folder with the data, settings, certificates and logs of its processes, and a part of the
// loopback net that is reserved for it; runs may go on at the same time. Within a run, callers, workers,
// operators and faults run in goroutines of their own; History is what they share, under its lock. The package
// is used by cmd/testbed and by its own tests, and knows the mesh by its programs and protocols alone, but for
// hollow members.
package testbed
