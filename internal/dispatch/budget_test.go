package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In any window, extra tries stay within the ratio of the calls in them, and the floor.
func TestBudgetInAnyWindow(t *testing.T) {
	dice := rand.New(rand.NewPCG(5, 5))
	for round := range 200 {
		window := []time.Duration{BudgetWindow, 8 * time.Second, 3 * time.Second}[round%3]
		budget, floor := NewBudget(0.2, window), float64(dice.IntN(20))
		var calls, extras []time.Duration
		for now := time.Duration(0); now < 40*time.Second; now += time.Duration(dice.Int64N(int64(200 * time.Millisecond))) {
			if dice.IntN(2) == 0 {
				budget.Call(now)
				calls = append(calls, now)
			}
			for budget.Spend(now, floor) && dice.IntN(3) > 0 {
				extras = append(extras, now)
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
		for _, end := range extras {
			if got, most := count(extras, end-window), 0.2*float64(count(calls, end-window))+floor; float64(got) > most {
				t.Fatalf("%d extra tries in the %v before %v, at most %v", got, window, end, most)
			}
		}
	}
}
