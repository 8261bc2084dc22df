package release

import (
	"testing"
	"time"
)

// TestCanaryPercentLimitsBadCalls checks, for several plan durations and call rates, that a version which turns
// out to be bad only under full load gets at most 15 % more calls than the limit.
func TestCanaryPercentLimitsBadCalls(t *testing.T) {
	interval := 500 * time.Millisecond
	for _, planDuration := range []time.Duration{12 * time.Second, 16 * time.Second, 60 * time.Second} {
		for _, rate := range []float64{20, 100, 223, 460, 900} {
			inputs := DeadlineInputs{CallsPerSecond: rate, MinStepInterval: interval}
			percent := deadlineOptions.canaryPercent(planDuration, inputs)
			canaryCalls := percent / 100 * rate * deadlineOptions.CanaryEndFraction * planDuration.Seconds()
			rampCalls := rate * interval.Seconds() * rollbackIntervals * (intermediatePercent/100.0 + 1)
			limit := deadlineOptions.MaxBadFraction*rate*planDuration.Seconds() + deadlineOptions.BadCallsMargin
			if canaryCalls+rampCalls > limit*1.15 {
				t.Errorf("canaryPercent(%v) at %g calls a second = %.1f, which gives %.0f calls, want at most %.0f",
					planDuration, rate, percent, canaryCalls+rampCalls, limit*1.15)
			}
		}
	}
}
