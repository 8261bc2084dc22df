package release

import (
	"testing"
	"time"
)

// TestCanaryPercentKeepsTheBound checks, over durations of plans and rates of calls, that the calls of a version
// which turns out to be bad only under all calls exceed the bound by at most 15 %.
func TestCanaryPercentKeepsTheBound(t *testing.T) {
	interval := 500 * time.Millisecond
	for _, planDuration := range []time.Duration{12 * time.Second, 16 * time.Second, 60 * time.Second} {
		for _, rate := range []float64{20, 100, 223, 460, 900} {
			inputs := DeadlineInputs{CallsPerSecond: rate, MinStepInterval: interval}
			percent := deadlineOptions.canaryPercent(planDuration, inputs)
			canaryCalls := percent / 100 * rate * deadlineOptions.CanaryEndFraction * planDuration.Seconds()
			movedCalls := rate * interval.Seconds() * rollbackIntervals * (intermediatePercent/100.0 + 1)
			bound := deadlineOptions.MaxBadFraction*rate*planDuration.Seconds() + deadlineOptions.BadCallsMargin
			if canaryCalls+movedCalls > bound*1.15 {
				t.Errorf("%v at %g a second: %.1f %%, %.0f calls of %.0f", planDuration, rate, percent, canaryCalls+movedCalls, bound)
			}
		}
	}
}
