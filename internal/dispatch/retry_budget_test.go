package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In any window, wherever it begins, the retries do not exceed the ratio times the calls in it, plus the floor.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for round := range 200 {
		window := []time.Duration{DefaultRetryWindow, 8 * time.Second, 3 * time.Second}[round%3]
		budget, floor := NewRetryBudget(0.2, window), float64(random.IntN(20))
		var calls, retries []time.Duration
		for now := time.Duration(0); now < 40*time.Second; now += time.Duration(random.Int64N(int64(200 * time.Millisecond))) {
			if random.IntN(2) == 0 {
				budget.RecordCall(now)
				calls = append(calls, now)
			}
			for budget.Allow(now, floor, 1) {
				if retries = append(retries, now); random.IntN(3) == 0 {
					break
				}
			}
		}
		count := func(list []time.Duration, from time.Duration) (inside int) {
			for _, at := range list {
				if at > from && at <= from+window {
					inside++
				}
			}
			return inside
		}
		for _, end := range retries {
			if got, most := count(retries, end-window), 0.2*float64(count(calls, end-window))+floor; float64(got) > most {
				t.Fatalf("round %d: got %d retries in the %v before %v, want at most %v", round, got, window, end, most)
			}
		}
	}
}

// New limits apply at once. The retries before the change still count in a window that ends after it, so that a change
// does not grant a second budget.
func TestRetryBudgetHoldsAcrossChange(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	for round := range 200 {
		windows := []time.Duration{DefaultRetryWindow, 8 * time.Second, 4 * time.Second}
		window, ratio, floor := windows[round%3], 0.3, float64(5+random.IntN(20))
		budget := NewRetryBudget(ratio, window)
		var calls, retries []time.Duration
		changed := 15 * time.Second
		for now := time.Duration(0); now < 40*time.Second; now += time.Duration(random.Int64N(int64(200 * time.Millisecond))) {
			if now >= changed && ratio > 0.1 {
				// The window changes in some rounds, the ratio in all.
				window, ratio = windows[(round/3)%3], 0.1
				budget.setLimits(now, &Limits{RetryRatio: ratio, RetryWindow: window})
			}
			if random.IntN(2) == 0 {
				budget.RecordCall(now)
				calls = append(calls, now)
			}
			for budget.Allow(now, floor, 1) {
				if retries = append(retries, now); random.IntN(3) == 0 {
					break
				}
			}
		}
		count := func(list []time.Duration, from, until time.Duration) (inside int) {
			for _, at := range list {
				if at > from && at <= until {
					inside++
				}
			}
			return inside
		}
		retriesAfterChange := 0
		for _, end := range retries {
			if end < changed {
				continue
			}
			retriesAfterChange++
			if got, most := count(retries, end-window, end), ratio*float64(count(calls, end-window, end))+floor; float64(got) > most && end-window > changed {
				t.Fatalf("round %d: got %d retries in the %v before %v, want at most %v", round, got, window, end, most)
			}
			// In a window that contains the change, the retries after it were allowed by the new limits.
			most := ratio*float64(count(calls, end-window, end)) + floor
			if after := count(retries, changed, end); end-window <= changed && float64(after) > most {
				t.Fatalf("round %d: got %d retries from the change to %v, want at most %v", round, after, end, most)
			}
		}
		if retriesAfterChange == 0 {
			t.Fatalf("round %d: got no retries after the change, want some", round)
		}
	}
}
