package proxy

import (
	"testing"
	"time"
)

// A proxy that shuts down accepts calls for the whole notice, and longer while calls keep arriving. Then it lets the
// accepted calls finish, but never exceeds the drain time.
func TestShutdownStages(t *testing.T) {
	const ms = time.Millisecond
	schedule := newShutdownSchedule(2000*ms, 4000*ms)
	for name, test := range map[string]struct {
		from                shutdownStage
		elapsed, lastCallAt time.Duration
		inFlight            int64
		want                shutdownStage
	}{
		"accepting, idle within the notice":             {stageAccepting, 100 * ms, -10000 * ms, 0, stageAccepting},
		"accepting, idle after the notice":              {stageAccepting, 2000 * ms, 500 * ms, 0, stageClosing},
		"accepting, call in flight after the notice":    {stageAccepting, 2000 * ms, 500 * ms, 1, stageAccepting},
		"accepting, recent call after the notice":       {stageAccepting, 2000 * ms, 1900 * ms, 0, stageAccepting},
		"accepting, quiet period after a late call":     {stageAccepting, 2300 * ms, 2000 * ms, 0, stageClosing},
		"accepting, calls keep arriving":                {stageAccepting, 2590 * ms, 2580 * ms, 5, stageAccepting},
		"accepting, calls keep arriving past the limit": {stageAccepting, 2600 * ms, 2580 * ms, 5, stageClosing},
		"closing, call in flight":                       {stageClosing, 3500 * ms, 2980 * ms, 1, stageClosing},
		"closing, no call in flight":                    {stageClosing, 3500 * ms, 2980 * ms, 0, stageTerminated},
		"closing, drain time over":                      {stageClosing, 4000 * ms, 2980 * ms, 1, stageTerminated},
		"accepting, drain time over":                    {stageAccepting, 4000 * ms, 3980 * ms, 1, stageTerminated},
	} {
		t.Run(name, func(t *testing.T) {
			if got := schedule.nextStage(test.from, test.elapsed, test.lastCallAt, test.inFlight); got != test.want {
				t.Errorf("nextStage(%d, %s, %s, %d) = %d, want %d", test.from, test.elapsed, test.lastCallAt, test.inFlight, got, test.want)
			}
		})
	}
	// Calls are accepted during the whole notice, so local workers are needed for a part of it. They finish their calls
	// in the rest.
	if schedule.drainsWorkers(900*ms) || !schedule.drainsWorkers(1000*ms) {
		t.Errorf("drainsWorkers: %t after 900ms and %t after 1s of a notice of 2s, want false and true",
			schedule.drainsWorkers(900*ms), schedule.drainsWorkers(1000*ms))
	}
	if (shutdownSchedule{drainTimeout: 4000 * ms}).drainsWorkers(0) != true {
		t.Error("drainsWorkers(0) = false without a notice, want true")
	}
	// A notice longer than the drain time is shortened, so that time remains for the closing stage.
	shortened := newShutdownSchedule(5000*ms, 4000*ms)
	if got := shortened.nextStage(stageAccepting, 2600*ms, 0, 0); got != stageClosing {
		t.Errorf("notice 5s, drain time 4s: stage %d after 2.6s, want stageClosing (%d)", got, stageClosing)
	}
}

// The deadline of a call accepted during a shutdown ends before its connection is closed.
func TestBoundDeadline(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct{ requested, shutdownDeadline, now, want time.Duration }{
		"no shutdown":             {4 * second, 0, 9 * second, 4 * second},
		"deadline before the end": {second, 20 * second, 17 * second, second},
		"deadline after the end":  {4 * second, 20 * second, 18 * second, 2*second - 100*time.Millisecond},
		"no deadline":             {0, 20 * second, 18 * second, 2*second - 100*time.Millisecond},
		"no time left":            {4 * second, 20 * second, 20 * second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := boundDeadline(test.requested, test.shutdownDeadline, test.now, 3200*time.Millisecond); got != test.want {
				t.Errorf("boundDeadline(%s, %s, %s, 3.2s) = %s, want %s", test.requested, test.shutdownDeadline, test.now, got, test.want)
			}
		})
	}
}
