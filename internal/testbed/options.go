package testbed

import (
	"io"
	"time"
)

// Options say which fleet a run brings up, and what it goes through. All are set by the caller of Run and
// not changed after.
type Options struct {
	Deployment   *Deployment
	Folder       string        // where data and logs go; it must exist
	Binaries     string        // folder of the programs
	LoadDuration time.Duration // how long callers send
	Lease        time.Duration // the fleet's lease
	Seed         uint64        // of the callers' and the faults' random choices
	Scenario     string        // a key of Scenarios
	OnReady      func(*Fleet)  // if set: no load, and the fleet is stopped when this returns
	WorkerDelay  time.Duration // that a worker takes for a request
	RateFactor   float64       // multiplies the deployment's request rate
	// DrainingBound is how long a draining worker may still get requests.
	DrainingBound time.Duration
	// DisconnectBound is how long a worker may go on with an idempotent request after its caller
	// disconnected; 0 if that is not checked.
	DisconnectBound time.Duration
	// CheckRejections checks that requests are rejected only because of faults. That depends on the speed of
	// the machine.
	CheckRejections bool
	Out             io.Writer // progress
}
