package registry

import "testing"

// TestBackoffStartsShortAndGrows checks that the first retry comes within two thousandths of a lease, since the store
// may come up shortly after the registry, and that the intervals then never shrink and grow to the longest one.
func TestBackoffStartsShortAndGrows(t *testing.T) {
	previous := 0.
	for failures := 1; failures < 40; failures++ {
		fraction := 1 / float64(backoffDivisor(failures))
		switch {
		case failures == 1 && fraction > 1./500:
			t.Errorf("first interval: got %v of a lease, want at most %v", fraction, 1./500)
		case fraction < previous:
			t.Errorf("interval after %d failures: got %v of a lease, want at least the previous %v",
				failures, fraction, previous)
		case fraction > 1./retryIntervalDivisor:
			t.Errorf("interval after %d failures: got %v of a lease, want at most %v",
				failures, fraction, 1./retryIntervalDivisor)
		}
		previous = fraction
	}
	if previous != 1./retryIntervalDivisor {
		t.Errorf("interval after 39 failures: got %v of a lease, want %v", previous, 1./retryIntervalDivisor)
	}
}
