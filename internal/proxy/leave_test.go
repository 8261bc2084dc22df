package proxy

import (
	"testing"
	"time"
)

// Whoever is told to end takes calls until callers must have noticed, and longer if they go on
// coming; then it brings what it took to its end, but never overstays.
func TestLeavingInStages(t *testing.T) {
	const ms = time.Millisecond
	way := leavingOf(2000*ms, 4000*ms)
	for name, one := range map[string]struct {
		from     stage
		at, last time.Duration
		inFlight int64
		want     stage
	}{
		"idle from the start":              {taking, 100 * ms, -10000 * ms, 0, taking},
		"idle once noticed":                {taking, 2000 * ms, 500 * ms, 0, closing},
		"a call is in flight once noticed": {taking, 2000 * ms, 500 * ms, 1, taking},
		"one came just now":                {taking, 2000 * ms, 1900 * ms, 0, taking},
		"the last came a while ago":        {taking, 2300 * ms, 2000 * ms, 0, closing},
		"calls come all the time":          {taking, 2590 * ms, 2580 * ms, 5, taking},
		"and must be stopped":              {taking, 2600 * ms, 2580 * ms, 5, closing},
		"those taken are in flight":        {closing, 3500 * ms, 2980 * ms, 1, closing},
		"they have ended":                  {closing, 3500 * ms, 2980 * ms, 0, over},
		"they have not":                    {closing, 4000 * ms, 2980 * ms, 1, over},
		"time ran out":                     {taking, 4000 * ms, 3980 * ms, 1, over},
	} {
		if got := way.next(one.from, one.at, one.last, one.inFlight); got != one.want {
			t.Errorf("%s: stage %d, want %d", name, got, one.want)
		}
	}
	// Callers are let in for the whole notice, so the room of the workers here is needed for a part of it;
	// what they have at hand then ends before the rest is over.
	if way.parts(900*ms) || !way.parts(1000*ms) {
		t.Error("workers part too early or too late")
	}
	if (leaving{drain: 4000 * ms}).parts(0) != true {
		t.Error("where nobody has to notice the workers part at once")
	}
	// A notice longer than the time there is does not eat it all up.
	if short := leavingOf(5000*ms, 4000*ms); short.next(taking, 2600*ms, 0, 0) != closing {
		t.Error("a long notice leaves no time to close")
	}
}

// A call that is taken while the proxy ends is answered before its connections are closed.
func TestWithin(t *testing.T) {
	const second = time.Second
	for name, one := range map[string]struct{ asked, overAt, now, want time.Duration }{
		"not ending":          {4 * second, 0, 9 * second, 4 * second},
		"time enough":         {second, 20 * second, 17 * second, second},
		"too long":            {4 * second, 20 * second, 18 * second, 2*second - 100*time.Millisecond},
		"says nothing":        {0, 20 * second, 18 * second, 2*second - 100*time.Millisecond},
		"in the last moments": {4 * second, 20 * second, 20 * second, 1},
	} {
		if got := within(one.asked, one.overAt, one.now, 3200*time.Millisecond); got != one.want {
			t.Errorf("%s: %s, want %s", name, got, one.want)
		}
	}
}
