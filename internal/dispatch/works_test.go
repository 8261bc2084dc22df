package dispatch

import (
	"testing"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

func TestTimeStepsDouble(t *testing.T) {
	last := 0
	for took := 100 * time.Microsecond; took < time.Minute; took += took / 16 {
		step := release.TimeStep(took)
		if step < last || step > last+1 {
			t.Errorf("%v is in step %d after %d", took, step, last)
		}
		if took > time.Millisecond && took < 10*time.Second && release.TimeStep(2*took) != step+2 {
			t.Errorf("twice %v is %d steps on", took, release.TimeStep(2*took)-step)
		}
		last = step
	}
}

// A worker that ends takes all it was at with it, which is one failure; one that breaks off
// answers now and then fails each time.
func TestWorksCountAnEndOnce(t *testing.T) {
	works := NewWorks(2)
	end := func(now time.Duration, carried *schema.Carried) {
		works.Begin("shop", "2", "buy", 7).End(now, 20*time.Millisecond, carried)
	}
	answer := func(status int32) *schema.Carried {
		return &schema.Carried{Ending: schema.Ending_ENDING_ANSWERED, Status: status}
	}
	end(0, answer(200))
	end(0, answer(503))
	end(0, notRun(defect.BufferFull, 0))
	for range 9 {
		end(time.Second, unknown(defect.WorkerLost))
	}
	end(2*time.Second, unknown(defect.WorkerLost))
	end(2*time.Second, unknown(defect.HorizonPast))
	works.Begin("shop", "2", "buy", 7)
	works.Begin("saves", "1", "load", 0)
	works.Begin("saves", "1", "beyond the bound", 0).End(0, 0, answer(200))
	told := works.Tell(func(service string) bool { return service == "shop" })
	if len(told) != 1 || told[0].Calls != 5 || told[0].Failures != 4 || told[0].Open != 1 || told[0].Plan != 7 {
		t.Fatalf("told %v", told)
	}
	if sum := 0; len(told[0].Times) != release.TimeStep(20*time.Millisecond)+1 || told[0].Times[len(told[0].Times)-1] != 1 {
		t.Errorf("times %v, %d", told[0].Times, sum)
	}
}
