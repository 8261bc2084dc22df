package testbed

import (
	"io"
	"time"
)

// Options configure a run: its fleet, its load, its faults and the limits of its invariants. The caller of Run sets
// them; they do not change during the run.
type Options struct {
	Deployment   *Deployment   // size of the fleet and its load
	Folder       string        // folder for data and logs; it must exist
	Binaries     string        // folder of the mesh's programs
	LoadDuration time.Duration // duration of the load, during which the scenario's faults are injected
	Lease        time.Duration // duration of leases, in the settings of registries and proxies
	Seed         uint64        // seed of the choices of callers and faults, but not of the losses on links
	Scenario     string        // a key of Scenarios
	OnReady      func(*Fleet)  // if set, there is no load: it is called once the fleet is ready, then the fleet is stopped
	WorkerDelay  time.Duration // time that a worker takes for each request
	RateFactor   float64       // factor by which the deployment's request rate is multiplied
	// DrainingBound is the longest time after a worker began to drain or was killed for which it may still get requests.
	DrainingBound time.Duration
	// DisconnectBound is the longest time for which a worker may continue with an idempotent request after its caller
	// disconnected. 0 turns this check off.
	DisconnectBound time.Duration
	// CheckRejections turns on the check that requests are rejected only because of faults. It needs a machine that is
	// fast enough for the fleet, as one that is too slow rejects requests without any fault.
	CheckRejections bool
	Out             io.Writer // progress output
}
