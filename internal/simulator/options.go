package simulator

import (
	"time"
)

// Options describe a world. The zero value of a field means its default.
type Options struct {
	// Proxies is the number of proxies. RunMesh defaults to 5, or 14 for each eighth seed.
	Proxies int
	// CallRate is the calls per second of the whole fleet. RunMesh defaults to 30.
	CallRate float64
	// OnlyFaults restricts fault injection to faults of these names; empty allows all.
	OnlyFaults []string
	// SkipFaults leaves out faults by their index in the order drawn; shrinking a failing seed uses it.
	SkipFaults map[int]bool
	// HarmlessFaultsOnly injects only faults that must not cause any rejected call, one at a time.
	HarmlessFaultsOnly bool
	// Empty creates a world without processes.
	Empty bool
	// NoFaults disables fault injection.
	NoFaults bool
	// ChangeInterval is twice the mean interval between two operator changes; the default is one second.
	ChangeInterval time.Duration
	// FaultyDuration is how long faults are injected; the default is a minute.
	FaultyDuration time.Duration
	// ServeStale runs proxies that serve stale configuration: they hold sessions instead of leases.
	ServeStale bool
	// BoundExposure makes rollout control bound the fraction of a plan's calls that a bad version gets.
	BoundExposure bool
	// MeanServiceTime is the mean time of a call at a worker; the default is a few milliseconds.
	MeanServiceTime time.Duration
	// ErrorRate is the fraction of calls that any worker answers with status 500.
	ErrorRate float64
	// CallerCancelRate is the fraction of calls without an idempotency key that the caller cancels before it has the
	// response. Goroutines race for which side cancels first, so such a world does not replay exactly.
	CallerCancelRate float64
	// RetryFloor is the fixed part of the retry budget, in retries; the default is retryFloor.
	RetryFloor float64
}
