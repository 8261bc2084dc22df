package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In any window, wherever it begins, retries stay within the ratio of the calls in it, plus the floor.
func TestBudgetInAnyWindow(t *testing.T) {
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
				t.Fatalf("%d retries in the %v before %v, at most %v", got, window, end, most)
			}
		}
	}
}

// New limits apply at once. In a window that ends after the change the retries of before count as well, so that a change
// grants no second budget.
func TestBudgetThatChanges(t *testing.T) {
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
		spent := 0
		for _, end := range retries {
			if end < changed {
				continue
			}
			spent++
			if got, most := count(retries, end-window, end), ratio*float64(count(calls, end-window, end))+floor; float64(got) > most && end-window > changed {
				t.Fatalf("%d retries in the %v before %v, at most %v", got, window, end, most)
			}
			// In a window over the change, each of its retries after the change was allowed by the new limits.
			most := ratio*float64(count(calls, end-window, end)) + floor
			if after := count(retries, changed, end); end-window <= changed && float64(after) > most {
				t.Fatalf("%d retries from the change until %v, at most %v", after, end, most)
			}
		}
		if spent == 0 {
			t.Fatal("no retry was allowed after the change")
		}
	}
}
