package scheduleexplorer

import (
	"errors"
	"testing"
)

// A read and a write apart lose an update in some order, and the checker finds it.
func TestFindsALostUpdate(t *testing.T) {
	count := func(atomic bool) Outcome {
		return Explore(t, 1000, func(_ *testing.T, run *Execution) func() error {
			sum, ended := 0, 0
			for _, name := range []string{"a", "b"} {
				run.Go(name, func(yield func()) {
					read := sum
					if !atomic {
						yield()
					}
					sum = read + 1
					ended++
				})
			}
			return func() error {
				if ended == 2 && sum != 2 {
					return errors.New("an update was lost")
				}
				return nil
			}
		})
	}
	if broken := count(false); broken.Failure == "" {
		t.Error("the lost update was not found")
	}
	if sound := count(true); sound.Failure != "" || sound.Schedules != 2 {
		t.Errorf("two whole steps gave %+v", sound)
	}
}

// Three threads of two steps each, begun in any order: all of their orders are tried.
func TestExploresEverySchedule(t *testing.T) {
	seen := map[string]bool{}
	outcome := Explore(t, 1000, func(_ *testing.T, run *Execution) func() error {
		order, ended := "", 0
		for _, name := range []string{"a", "b", "c"} {
			run.Go(name, func(yield func()) {
				order += name
				yield()
				order += name
				ended++
			})
		}
		return func() error {
			if ended == 3 {
				seen[order] = true
			}
			return nil
		}
	})
	// 6! / (2! 2! 2!) orders.
	if len(seen) != 90 || outcome.Schedules != 90 {
		t.Errorf("%d orders tried, %d seen, of 90", outcome.Schedules, len(seen))
	}
}
