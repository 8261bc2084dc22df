package proxy

import (
	"testing"
	"time"
)

// A proxy that shuts down accepts calls until callers must have noticed, and longer if they keep coming. Then it lets
// the calls it accepted end, but never exceeds the drain time.
func TestShutdownStages(t *testing.T) {
	const ms = time.Millisecond
	schedule := newShutdownSchedule(2000*ms, 4000*ms)
	for name, test := range map[string]struct {
		from     shutdownStage
		at, last time.Duration
		inFlight int64
		want     shutdownStage
	}{
		"idle, notice not over":          {stageAccepting, 100 * ms, -10000 * ms, 0, stageAccepting},
		"idle, notice over":              {stageAccepting, 2000 * ms, 500 * ms, 0, stageClosing},
		"notice over, a call in flight":  {stageAccepting, 2000 * ms, 500 * ms, 1, stageAccepting},
		"notice over, a call just came":  {stageAccepting, 2000 * ms, 1900 * ms, 0, stageAccepting},
		"quiet after the notice":         {stageAccepting, 2300 * ms, 2000 * ms, 0, stageClosing},
		"calls keep coming":              {stageAccepting, 2590 * ms, 2580 * ms, 5, stageAccepting},
		"calls keep coming for too long": {stageAccepting, 2600 * ms, 2580 * ms, 5, stageClosing},
		"closing, a call in flight":      {stageClosing, 3500 * ms, 2980 * ms, 1, stageClosing},
		"closing, calls have ended":      {stageClosing, 3500 * ms, 2980 * ms, 0, stageTerminated},
		"closing, out of time":           {stageClosing, 4000 * ms, 2980 * ms, 1, stageTerminated},
		"accepting, out of time":         {stageAccepting, 4000 * ms, 3980 * ms, 1, stageTerminated},
	} {
		t.Run(name, func(t *testing.T) {
			if got := schedule.nextStage(test.from, test.at, test.last, test.inFlight); got != test.want {
				t.Errorf("stage %d, want %d", got, test.want)
			}
		})
	}
	// Calls are accepted during the whole notice, so the workers here are needed for a part of it; what they are
	// working on ends within the rest.
	if schedule.drainsWorkers(900*ms) || !schedule.drainsWorkers(1000*ms) {
		t.Error("workers are drained too early or too late")
	}
	if (shutdownSchedule{drainTimeout: 4000 * ms}).drainsWorkers(0) != true {
		t.Error("without callers that must notice, workers are not drained at once")
	}
	// A notice longer than the drain time leaves time to close.
	if short := newShutdownSchedule(5000*ms, 4000*ms); short.nextStage(stageAccepting, 2600*ms, 0, 0) != stageClosing {
		t.Error("a long notice leaves no time to close")
	}
}

// A call that is accepted during a shutdown is answered before its connection is closed.
func TestBoundDeadline(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct{ requested, shutdownDeadline, now, want time.Duration }{
		"not ending":          {4 * second, 0, 9 * second, 4 * second},
		"time enough":         {second, 20 * second, 17 * second, second},
		"too long":            {4 * second, 20 * second, 18 * second, 2*second - 100*time.Millisecond},
		"says nothing":        {0, 20 * second, 18 * second, 2*second - 100*time.Millisecond},
		"in the last moments": {4 * second, 20 * second, 20 * second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := boundDeadline(test.requested, test.shutdownDeadline, test.now, 3200*time.Millisecond); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}
