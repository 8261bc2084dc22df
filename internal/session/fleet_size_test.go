package session

import (
	"testing"
	"time"
)

// A fleet that seems to shrink is reckoned with at its old size for a while, never a smaller one.
func TestFleetSizeErrsToTheLargeSide(t *testing.T) {
	const lease = 8 * time.Second
	fleet := NewFleetSize(64, lease)
	for _, test := range []struct {
		at             time.Duration
		reported, want int64
	}{
		{0, 1, 64},           // just started
		{lease, 15, 15},      // known
		{2 * lease, 5, 15},   // the core is split, or ten proxies ended
		{20 * lease, 5, 15},  // remembered for a period
		{20 * lease, 16, 16}, // grown
		{60 * lease, 5, 16},  // still the period after
		{80 * lease, 5, 5},   // it did shrink
		{200 * lease, 0, 5},  // nobody told
		{400 * lease, 0, 1},  // nor for long
	} {
		if got := fleet.Observe(test.at, test.reported); got != test.want {
			t.Errorf("at %v told %d: %d, want %d", test.at, test.reported, got, test.want)
		}
	}
}
