package registry

import "testing"

// A registry whose store is up a moment later asks again within a few thousandths of a lease;
// one whose store stays away does not ask more often than ever.
func TestRetriesAreQuickAtFirst(t *testing.T) {
	longest := 0.
	for failures := 1; failures < 40; failures++ {
		fraction := 1 / float64(backoffDivisor(failures))
		switch {
		case failures == 1 && fraction > 1./500:
			t.Errorf("the first pause takes %v of a lease", fraction)
		case fraction < longest:
			t.Errorf("pause %d is shorter than the one before", failures)
		case fraction > 1./retryIntervalDivisor:
			t.Errorf("pause %d takes %v of a lease", failures, fraction)
		}
		longest = fraction
	}
	if longest != 1./retryIntervalDivisor {
		t.Errorf("pauses grow to %v of a lease, want %v", longest, 1./retryIntervalDivisor)
	}
}
