package release

// Options are the bounds by which versions are judged and plans make steps. The registry sets them from
// its settings.
type Options struct {
	CanaryPercent float64 // percent of calls that a version gets until it is known
	MinCalls      uint64  // calls of the new version on a route from which it is known there

	FailureThreshold    uint64  // failures of the new version below which IsFailing does not judge their rate
	FailureRateMargin   float64 // failure rate allowed above the multiple of the old version's
	FailureRateMultiple float64 // allowed multiple of the old version's failure rate
	MinStandardErrors   float64 // standard errors by which the failure rates must differ, to exclude chance
	LatencyMultiple     float64 // multiple of the old version's mean latency from which the new one counts as failing

	RampSteps int // steps in which a ramp reaches its target

	// RollbackLogOdds is the natural logarithm of how much likelier "bad" than "healthy" must be, by the
	// failure evidence, for a version to be stopped.
	RollbackLogOdds float64

	// MaxBadFraction bounds, for a plan by deadline, the fraction of the service's calls in the plan's time
	// that a bad version may get. 0 sets no bound.
	MaxBadFraction    float64
	BadCallsMargin    float64 // calls allowed beyond that fraction
	CanaryEndFraction float64 // fraction of its time after which a plan by deadline leaves the canary state
}

// Defaults are the presets of the settings.
var Defaults = Options{
	CanaryPercent:       10,
	MinCalls:            30,
	FailureThreshold:    15,
	FailureRateMargin:   0.02,
	FailureRateMultiple: 2,
	MinStandardErrors:   5,
	LatencyMultiple:     5,
	RampSteps:           20,
	RollbackLogOdds:     12,
	CanaryEndFraction:   0.6,
}
