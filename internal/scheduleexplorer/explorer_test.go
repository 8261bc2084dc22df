package scheduleexplorer

import (
	"errors"
	"testing"
)

// A read and a write in separate steps lose an update under some schedule, and the explorer finds it.
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
	if correct := count(true); correct.Failure != "" || correct.Schedules != 2 {
		t.Errorf("two atomic steps gave %+v", correct)
	}
}

// All schedules of three threads of two steps each are tried, each once.
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
	// There are 6! / (2! 2! 2!) schedules.
	if len(seen) != 90 || outcome.Schedules != 90 {
		t.Errorf("%d schedules tried, %d seen, of 90", outcome.Schedules, len(seen))
	}
}
