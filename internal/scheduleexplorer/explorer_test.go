package scheduleexplorer

import (
	"errors"
	"testing"
)

// TestFindsALostUpdate checks that the explorer finds the schedule under which two threads that read and write a sum in
// separate steps lose an update.
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
		t.Errorf("read and write in separate steps: Explore = %+v, want a failure", broken)
	}
	if correct := count(true); correct.Failure != "" || correct.Schedules != 2 {
		t.Errorf("read and write in one step: Explore = %+v, want 2 schedules without a failure", correct)
	}
}

// TestExploresEverySchedule checks that every schedule of three threads with two steps each is tried exactly once.
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
		t.Errorf("%d schedules tried and %d distinct orders seen, want 90 and 90", outcome.Schedules, len(seen))
	}
}
