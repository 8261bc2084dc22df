package release

// Options are the thresholds by which versions are evaluated and plans make steps. The registry sets them
// from its settings.
type Options struct {
	// CanaryPercent is the percentage of calls that a new version gets in the canary state.
	CanaryPercent float64
	// MinCalls is the number of the new version's calls on a route that are enough to evaluate it there.
	MinCalls uint64

	// FailureThreshold is the number of the new version's failures below which IsFailing ignores its failure rate.
	FailureThreshold uint64
	// FailureRateMargin is the failure rate, 0 to 1, that the new version may have in addition to
	// FailureRateMultiple times the old version's rate.
	FailureRateMargin float64
	// FailureRateMultiple is the allowed multiple of the old version's failure rate.
	FailureRateMultiple float64
	// MinStandardErrors is the number of standard errors by which the failure rates must differ for the
	// difference not to be attributed to chance.
	MinStandardErrors float64
	// LatencyMultiple is the multiple of the old version's mean latency above which the new version is slow.
	LatencyMultiple float64

	// RampSteps is the number of steps in which a ramp plan reaches its target.
	RampSteps int

	// RollbackLogOdds is the natural logarithm of the likelihood ratio of "bad" to "healthy" at which the
	// failure evidence stops a version.
	RollbackLogOdds float64

	// MaxBadFraction limits the calls that a bad version may get under a deadline plan, as a fraction, 0 to 1,
	// of the service's calls during the plan. 0 means no limit.
	MaxBadFraction float64
	// BadCallsMargin is the number of calls that a bad version may get in addition to MaxBadFraction.
	BadCallsMargin float64
	// CanaryEndFraction is the fraction of a deadline plan's duration, 0 to 1, after which it may leave the
	// canary state.
	CanaryEndFraction float64
}

// Defaults are the default values of the settings.
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
