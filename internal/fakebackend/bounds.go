package fakebackend

import "time"

// The bounds of what must never happen, as the users' rules have them; docs/brief.md lists the rules.
const (
	// DrainingBound is the time after which a worker that said it is draining gets no new calls.
	DrainingBound = 2 * time.Second
	// ConfigPropagationBound is the time after which no call is handled by a configuration older than an acknowledged
	// change.
	ConfigPropagationBound = 2 * time.Second
	// ConfigRegressionBound is the time after which a proxy that used a configuration uses no older one.
	ConfigRegressionBound = 250 * time.Millisecond

	// In any RetryBudgetWindow, a service's extra attempts stay within RetryBudgetRatio of its calls and
	// RetryBudgetFloor besides.
	RetryBudgetWindow = 10 * time.Second
	RetryBudgetRatio  = 0.2
	RetryBudgetFloor  = 60

	// A faulty version gets no more than FaultyVersionRatio of its service's calls and FaultyVersionFloor besides, and
	// none later than FaultyVersionBound after its FaultyVersionFailures-th failure.
	FaultyVersionRatio    = 0.1
	FaultyVersionFloor    = 50
	FaultyVersionFailures = 50
	FaultyVersionBound    = 5 * time.Second
)
