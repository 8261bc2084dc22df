package dispatch

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// stated is what a setup says of versions: each under a statement, 1 being the fallback.
type stated map[string]uint64

func (s stated) Statement(_, version string) (uint64, bool) {
	sequence, guarded := s[version]
	return sequence, guarded
}

func (s stated) FallbackOf(string) string { return "1" }

// A proxy of a fleet of ten, which may take forty failures in all: four are its part.
func onTrial(now time.Duration) *Trials {
	trials := trialsOf(stated{"2": 0, "3": 0})
	trials.Granted(now, []*schema.Trial{{Service: "shop", Version: "2"}})
	return trials
}

func trialsOf(setup stated) *Trials {
	return NewTrials(TrialDefaults, func() int { return 10 }, func() Guards { return setup })
}

func call(t *Trials, version string, now time.Duration, failed bool) {
	t.End(t.Begin("shop", version, now), now+time.Millisecond, failed)
}

func TestTrialNeedsAGrant(t *testing.T) {
	if !trialsOf(stated{"2": 0}).Held("shop", "2", 0) {
		t.Error("without a grant it is not held")
	}
	trials := onTrial(0)
	if trials.Held("shop", "2", time.Second-1) || !trials.Held("shop", "2", time.Second) {
		t.Error("the grant does not last as long as it should")
	}
	if !trials.Held("shop", "3", 0) {
		t.Error("a grant for one version counts for another")
	}
	// A stop outlasts any later grant, until something else is stated of the version; what was
	// told under the older statement then counts no more.
	setup := stated{"2": 4, "3": 0}
	trials = trialsOf(setup)
	grant := func(statement uint64, stopped bool) {
		trials.Granted(0, []*schema.Trial{{Service: "shop", Version: "2", Plan: statement, Stopped: stopped}})
	}
	for i, one := range []struct {
		do   func()
		held bool
	}{
		{func() { grant(4, false) }, false},
		{func() { grant(4, true) }, true},
		{func() { grant(4, false) }, true},
		{func() { setup["2"] = 9 }, true},
		{func() { grant(4, false) }, true},
		{func() { grant(9, false) }, false},
		{func() { setup["2"] = 5 }, true}, // a stop that was removed leaves an older statement
		{func() { grant(9, false) }, true},
		{func() { grant(5, false) }, false},
		{func() { delete(setup, "2"); trials.Forget(); setup["2"] = 5 }, true},
	} {
		if one.do(); trials.Held("shop", "2", 0) != one.held {
			t.Errorf("step %d: held %v", i, !one.held)
		}
	}
}

func TestTrialTakesItsPartOfFailures(t *testing.T) {
	for name, one := range map[string]struct {
		old, new, oldFailed, newFailed int
		held                           bool
	}{
		"no failures":              {100, 100, 0, 0, false},
		"fewer than its part":      {100, 10, 0, 3, false},
		"its part":                 {100, 10, 0, 4, true},
		"both versions fail alike": {100, 20, 40, 8, false},
		"a few in very many":       {1000, 1000, 0, 10, false},
	} {
		trials := onTrial(0)
		for i := range one.old {
			call(trials, "1", 0, i < one.oldFailed)
		}
		for i := range one.new {
			call(trials, "2", 0, i < one.newFailed)
		}
		if got := trials.Held("shop", "2", 0); got != one.held {
			t.Errorf("%s: held %v", name, got)
		}
	}
}

// Calls that hang count before they end: else all that are sent meanwhile would be lost too.
func TestHangingCallsCount(t *testing.T) {
	trials := onTrial(0)
	for range 20 {
		call(trials, "1", 0, false)
	}
	var open []*TrialCall
	for range 4 {
		open = append(open, trials.Begin("shop", "2", 0))
	}
	if trials.Held("shop", "2", 10*time.Millisecond) {
		t.Error("held before the calls took long")
	}
	if !trials.Held("shop", "2", 100*time.Millisecond) {
		t.Error("not held while four calls hang")
	}
	for _, one := range open {
		trials.End(one, 100*time.Millisecond, false)
	}
	// The proxy's own stop outlasts its window, until the duty, asked late enough to know of
	// the failures, finds the version fine.
	later := BudgetWindow + time.Second
	for _, one := range []struct {
		asked time.Duration
		fine  bool
		held  bool
	}{{later, false, true}, {time.Second, true, true}, {later, true, false}} {
		trials.Granted(later, []*schema.Trial{{Service: "shop", Version: "2"}})
		trials.Granted(one.asked, []*schema.Trial{{Service: "shop", Version: "2", Fine: one.fine}})
		if got := trials.Held("shop", "2", later); got != one.held {
			t.Errorf("asked at %v, fine %v: held %v", one.asked, one.fine, got)
		}
	}
}
