package registry

import "testing"

// A registry whose store comes up a moment later retries within a few thousandths of a lease, and then at ever longer
// intervals, up to the longest.
func TestRetriesAreQuickAtFirst(t *testing.T) {
	longest := 0.
	for failures := 1; failures < 40; failures++ {
		fraction := 1 / float64(backoffDivisor(failures))
		switch {
		case failures == 1 && fraction > 1./500:
			t.Errorf("the first interval is %v of a lease", fraction)
		case fraction < longest:
			t.Errorf("interval %d is shorter than the one before", failures)
		case fraction > 1./retryIntervalDivisor:
			t.Errorf("interval %d is %v of a lease", failures, fraction)
		}
		longest = fraction
	}
	if longest != 1./retryIntervalDivisor {
		t.Errorf("intervals grow to %v of a lease, want %v", longest, 1./retryIntervalDivisor)
	}
}
