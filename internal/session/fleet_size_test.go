package session

import (
	"testing"
	"time"
)

// TestFleetSizeErrsToTheLargeSide checks, step by step on one estimate, that a fleet which seems to shrink
// keeps its old size for up to two periods, and that a growth counts at once.
func TestFleetSizeErrsToTheLargeSide(t *testing.T) {
	const lease = 8 * time.Second
	fleet := NewFleetSize(64, lease)
	for _, test := range []struct {
		at             time.Duration
		reported, want int64
	}{
		{0, 1, 64},           // just started
		{lease, 15, 15},      // the first lease is over
		{2 * lease, 5, 15},   // the core is partitioned, or ten proxies ended
		{20 * lease, 5, 15},  // the maximum is remembered for a period
		{20 * lease, 16, 16}, // grown
		{60 * lease, 5, 16},  // the maximum of the previous period
		{80 * lease, 5, 5},   // it did shrink
		{200 * lease, 0, 5},  // no proxy reported
		{400 * lease, 0, 1},  // none in the previous period either
	} {
		if got := fleet.Observe(test.at, test.reported); got != test.want {
			t.Errorf("at %v, %d reported: %d, want %d", test.at, test.reported, got, test.want)
		}
	}
}
