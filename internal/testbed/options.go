package testbed

import (
	"io"
	"time"
)

// Options say what to rehearse.
type Options struct {
	Deployment    *Deployment
	Folder        string
	Binaries      string
	LoadDuration  time.Duration // of the load
	Lease         time.Duration
	Seed          uint64
	Scenario      string        // which piece of faults, by name; none for no faults
	OnReady       func(*Fleet)  // if set: no load, the fleet just stands while this runs
	WorkerDelay   time.Duration // that a worker takes for a request
	RateFactor    float64       // multiplies the deployment's rate
	DrainingBound time.Duration
	// DisconnectBound is how long a worker may go on with a repeatable call after its caller left; 0 for not judged.
	DisconnectBound time.Duration
	// CheckRejections judges what hangs on how fast the machine is: who was turned away without cause.
	CheckRejections bool
	Out             io.Writer
}
