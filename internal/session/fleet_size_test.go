package session

import (
	"testing"
	"time"
)

// TestFleetSizeKeepsLargestCount checks, in successive steps on one estimate, that a fleet which seems to shrink
// keeps its old size for up to two periods, and that growth takes effect at once.
func TestFleetSizeKeepsLargestCount(t *testing.T) {
	const lease = 8 * time.Second
	fleet := NewFleetSize(64, lease)
	for _, test := range []struct {
		at             time.Duration
		reported, want int64
	}{
		{0, 1, 64},           // the initial estimate applies during the first lease
		{lease, 15, 15},      // the first lease has passed
		{2 * lease, 5, 15},   // the core is partitioned, or ten proxies ended
		{20 * lease, 5, 15},  // the maximum of the previous period applies
		{20 * lease, 16, 16}, // the fleet has grown
		{60 * lease, 5, 16},  // the maximum of the previous period applies
		{80 * lease, 5, 5},   // the fleet has shrunk for two periods
		{200 * lease, 0, 5},  // no proxy reported in the current period
		{400 * lease, 0, 1},  // no proxy reported in the previous period either
	} {
		if got := fleet.Observe(test.at, test.reported); got != test.want {
			t.Errorf("Observe(%v, %d) = %d, want %d", test.at, test.reported, got, test.want)
		}
	}
}
