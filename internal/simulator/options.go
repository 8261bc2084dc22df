package simulator

import (
	"time"
)

// Options configure a World. A zero field selects the default; where no default is named, the feature is off.
type Options struct {
	// Proxies is the number of proxies. The default in RunMesh is 5, or 14 if the seed is a multiple of eight. NewWorld
	// has no default.
	Proxies int
	// CallRate is the rate of calls of the whole fleet, in calls per second. The default in RunMesh is 30. NewWorld has
	// no default.
	CallRate float64
	// OnlyFaults restricts fault injection to the Faults with these names. Empty allows all.
	OnlyFaults []string
	// SkipFaults holds the faults to leave out, by their index in the order drawn. Tests use it to find the faults that a
	// failing seed needs.
	SkipFaults map[int]bool
	// HarmlessFaultsOnly restricts fault injection to faults that must not cause a rejected call, one at a time.
	HarmlessFaultsOnly bool
	// Empty creates the world without processes.
	Empty bool
	// NoFaults disables fault injection.
	NoFaults bool
	// ChangeInterval is twice the mean interval between two operator changes. The default is one second.
	ChangeInterval time.Duration
	// FaultyDuration is how long RunMesh injects faults. The default is a minute.
	FaultyDuration time.Duration
	// ServeStale runs proxies that go on serving by a stale configuration when they lose the registries. They hold
	// sessions instead of leases.
	ServeStale bool
	// BoundExposure makes rollout control bound the fraction of a service's calls that a bad version gets.
	BoundExposure bool
	// MeanServiceTime is the mean service time of a call at a worker. Service times are then log-normal. By default they
	// are uniform between 1 and 5 ms.
	MeanServiceTime time.Duration
	// ErrorRate is the fraction of its calls that every worker answers with status 500.
	ErrorRate float64
	// CallerCancelRate is the fraction of calls without an idempotency key whose callers decide to cancel. A cancellation
	// has no effect if the response arrives first. Goroutines race for which side cancels first, so a world with a
	// positive rate does not replay exactly.
	CallerCancelRate float64
	// RetryFloor is the fixed part of the retry budget, in retries per budget window. The default is retryFloor.
	RetryFloor float64
}
