package fakebackend

import "time"

// Limits of the invariants that the simulator and the testbed check. They are the users' requirements, which
// docs/brief.md lists.
const (
	// DrainingBound is the time after a worker's report that it is draining during which it may still get new calls.
	DrainingBound = 2 * time.Second
	// ConfigPropagationBound is the time after the acknowledgement of a change during which calls may still be handled
	// by an older configuration.
	ConfigPropagationBound = 2 * time.Second
	// ConfigRegressionBound is the time after its use of a configuration during which a proxy may still use an older one.
	ConfigRegressionBound = 250 * time.Millisecond

	// RetryBudgetWindow is the length of the sliding window in which the retries of a service are limited. They may
	// not exceed RetryBudgetRatio of the service's calls in the window, plus RetryBudgetFloor.
	RetryBudgetWindow = 10 * time.Second
	// RetryBudgetRatio is the fraction of a service's calls in a window that may be retried.
	RetryBudgetRatio = 0.2
	// RetryBudgetFloor is the number of retries that a service may make in a window in any case.
	RetryBudgetFloor = 60

	// FaultyVersionRatio is the fraction of its service's calls that a faulty version may get. FaultyVersionFloor
	// calls are allowed in addition.
	FaultyVersionRatio = 0.1
	// FaultyVersionFloor is the number of calls that a faulty version may get in any case.
	FaultyVersionFloor = 50
	// FaultyVersionFailures is the number of failures after which a faulty version must be taken out of service.
	FaultyVersionFailures = 50
	// FaultyVersionBound is the time after its FaultyVersionFailures-th failure during which a version may still get
	// calls.
	FaultyVersionBound = 5 * time.Second
)
