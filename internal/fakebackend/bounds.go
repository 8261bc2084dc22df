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
	// ConfigRegressionBound is the time for which a proxy or registry may still use an older configuration after it has
	// used a newer one.
	ConfigRegressionBound = 250 * time.Millisecond

	// RetryBudgetWindow is the length of the sliding window in which the retries of a service are limited. They may
	// not exceed RetryBudgetRatio of the service's calls in the window, plus RetryBudgetFloor.
	RetryBudgetWindow = 10 * time.Second
	// RetryBudgetRatio limits the retries in a window, as a fraction of the service's calls in that window.
	RetryBudgetRatio = 0.2
	// RetryBudgetFloor is the number of retries that are allowed in a window in addition, however few calls there are.
	RetryBudgetFloor = 60

	// FaultyVersionRatio limits the calls that a faulty version gets, as a fraction of its service's calls since the
	// version became faulty. FaultyVersionFloor calls are allowed in addition.
	FaultyVersionRatio = 0.1
	// FaultyVersionFloor is the number of calls that a faulty version may get however few calls its service gets.
	FaultyVersionFloor = 50
	// FaultyVersionFailures is the number of failures after which a faulty version must be taken out of service.
	FaultyVersionFailures = 50
	// FaultyVersionBound is the time after its FaultyVersionFailures-th failure during which a version may still get
	// calls.
	FaultyVersionBound = 5 * time.Second
)
