package release

import (
	"testing"
	"time"

	"meadowhinge/internal/setup"
)

var shop = &setup.Release{Name: "r", Service: "shop", Version: "2", Target: 50, Over: 100 * time.Second, Pace: "go"}

func counted(calls, failures uint64, mean time.Duration) Count {
	return Count{Calls: calls, Failures: failures, Spent: mean * time.Duration(calls)}
}

func both(old, new Count) Evidence {
	return Evidence{Old: map[string]Count{"a": old}, New: map[string]Count{"a": new}}
}

func TestBadIsTurnedBackAndGoodIsNot(t *testing.T) {
	ms := time.Millisecond
	for name, one := range map[string]struct {
		evidence Evidence
		usual    map[string]Count
		bad      bool
	}{
		"bad from the start":              {both(counted(1000, 0, ms), counted(20, 20, ms)), nil, true},
		"a few failures":                  {both(counted(1000, 0, ms), counted(1000, 14, ms)), nil, false},
		"many failures in very many":      {both(counted(100000, 500, ms), counted(10000, 100, ms)), nil, false},
		"both fail alike":                 {both(counted(1000, 300, ms), counted(100, 33, ms)), nil, false},
		"both fail alike, by chance less": {both(counted(19, 3, ms), counted(38, 15, ms)), nil, false},
		"bad, and the old one not seen":   {both(counted(0, 0, ms), counted(20, 20, ms)), nil, true},
		"slow":                            {both(counted(1000, 0, ms), counted(50, 0, 6*ms)), nil, true},
		"both slow alike":                 {both(counted(1000, 0, 100*ms), counted(50, 0, 130*ms)), nil, false},
		"slow, but seen only few times":   {both(counted(1000, 0, ms), counted(5, 0, 60*ms)), nil, false},
		"bad on one route only": {Evidence{Old: map[string]Count{"a": counted(5000, 5, ms), "b": counted(300, 0, ms)},
			New: map[string]Count{"a": counted(5000, 5, ms), "b": counted(100, 15, ms)}}, nil, true},
		"bad, beside one that fails more":              {Evidence{Old: map[string]Count{"a": counted(1000, 0, ms)}, New: map[string]Count{"a": counted(100, 40, ms)}, Rest: counted(1000, 900, ms)}, nil, true},
		"bad at nearly all, a quarter failing":         {both(counted(1, 0, ms), counted(200, 50, ms)), map[string]Count{"a": counted(9000, 9, ms)}, true},
		"slow, the old one not called any more":        {both(counted(0, 0, ms), counted(50, 0, 6*ms)), map[string]Count{"a": counted(9000, 9, ms)}, true},
		"as it always was, the old one called no more": {both(counted(0, 0, ms), counted(200, 40, ms)), map[string]Count{"a": counted(9000, 1800, ms)}, false},
	} {
		if reason, bad := Defaults.Bad(one.evidence, one.usual); bad != one.bad {
			t.Errorf("%s: bad %v (%s)", name, bad, reason)
		}
	}
}

// A good version stays at the trial's share until each route is known, then rises over the
// plan's time, and ends at the target.
func TestGoodRamp(t *testing.T) {
	progress := setup.Progress{}
	lately := both(counted(90, 0, time.Millisecond), counted(10, 0, time.Millisecond))
	progress = Defaults.Step(shop, progress, both(counted(400, 0, time.Millisecond), counted(29, 0, time.Millisecond)), lately, 5*time.Second)
	if progress.State != Trial || progress.Share != 10 {
		t.Fatalf("before it is known: %+v", progress)
	}
	known := both(counted(4000, 0, time.Millisecond), counted(400, 0, time.Millisecond))
	last := 0.0
	for step := range 20 {
		progress = Defaults.Step(shop, progress, known, lately, 5*time.Second)
		if progress.Share < last || progress.Share > shop.Target {
			t.Fatalf("step %d: share %v after %v", step, progress.Share, last)
		}
		last = progress.Share
	}
	if progress.State != Done || progress.Share != 50 {
		t.Errorf("after the plan's time: %+v", progress)
	}
}

func TestHoldBackAndThinEvidence(t *testing.T) {
	known := both(counted(4000, 0, time.Millisecond), counted(400, 0, time.Millisecond))
	lately := both(counted(90, 0, time.Millisecond), counted(10, 0, time.Millisecond))
	ramping := setup.Progress{State: Ramp, Share: 20, Weight: 20000, Elapsed: int64(40 * time.Second)}
	paced := func(pace string) *setup.Release { plan := *shop; plan.Pace = pace; return &plan }
	if got := Defaults.Step(paced("hold"), ramping, known, lately, time.Second); got.State != Hold || got.Share != 20 || got.Elapsed != ramping.Elapsed {
		t.Errorf("held: %+v", got)
	}
	if got := Defaults.Step(shop, ramping, known, both(counted(9, 0, 0), counted(1, 0, 0)), time.Second); got.State != Hold || got.Share != 20 {
		t.Errorf("thin evidence: %+v", got)
	}
	back := Defaults.Step(paced("back"), ramping, known, lately, time.Second)
	if back.State != Back || back.Weight != 0 {
		t.Errorf("turned back: %+v", back)
	}
	// The operator may resume what the operator turned back; it begins again with a trial.
	if got := Defaults.Step(shop, back, both(counted(9, 0, 0), counted(1, 0, 0)), lately, time.Second); got.State != Trial || got.Share != 10 || got.Elapsed != 0 {
		t.Errorf("resumed: %+v", got)
	}
	back.Reason = "the version fails on the whole"
	// What was turned back as bad does not come forward by itself.
	if got := Defaults.Step(shop, back, known, lately, time.Second); got.State != Back {
		t.Errorf("after it was turned back: %+v", got)
	}
	bad := both(counted(90, 0, time.Millisecond), counted(30, 30, time.Millisecond))
	if got := Defaults.Step(shop, setup.Progress{State: Done, Share: 50}, known, bad, time.Second); got.State != Back {
		t.Errorf("bad late, at the target: %+v", got)
	}
}

// The measured share moves the weight toward the set point, within bounds.
func TestWeightFollowsMeasuredShare(t *testing.T) {
	before := setup.Progress{State: Ramp, Share: 50, Weight: 50000, Elapsed: int64(200 * time.Second)}
	known := both(counted(4000, 0, time.Millisecond), counted(400, 0, time.Millisecond))
	if got := Defaults.Step(shop, before, known, both(counted(60, 0, time.Millisecond), counted(40, 0, time.Millisecond)), time.Second); got.Weight != 55000 {
		t.Errorf("measured 40 of 50: weight %d", got.Weight)
	}
	if got := Defaults.Step(shop, before, known, both(counted(1, 0, time.Millisecond), counted(99, 0, time.Millisecond)), time.Second); got.Weight != 25500 {
		t.Errorf("measured 99 of 50: weight %d", got.Weight)
	}
}

// A duty that hears too little of the fleet, or saw failures of late, lets nobody try again.
func TestFine(t *testing.T) {
	ms := time.Millisecond
	for name, one := range map[string]struct {
		then, now Evidence
		heard     float64
		fine      bool
	}{
		"all heard, no failures":   {both(counted(0, 0, ms), counted(0, 0, ms)), both(counted(100, 0, ms), counted(100, 0, ms)), 1, true},
		"a third heard":            {both(counted(0, 0, ms), counted(0, 0, ms)), both(counted(100, 0, ms), counted(100, 0, ms)), 0.34, false},
		"failures lately":          {both(counted(0, 0, ms), counted(0, 0, ms)), both(counted(100, 0, ms), counted(100, 20, ms)), 1, false},
		"failures long ago":        {both(counted(100, 0, ms), counted(100, 20, ms)), both(counted(200, 0, ms), counted(200, 20, ms)), 1, true},
		"both versions fail alike": {both(counted(0, 0, ms), counted(0, 0, ms)), both(counted(100, 30, ms), counted(100, 30, ms)), 1, true},
	} {
		brake := &Brake{}
		brake.Look(Defaults, one.then, one.heard)
		brake.Look(Defaults, one.now, one.heard)
		if got := brake.Fine(Defaults, one.heard); got != one.fine {
			t.Errorf("%s: fine %v", name, got)
		}
	}
	if (&Brake{}).Fine(Defaults, 1) {
		t.Error("fine before anything was looked at")
	}
}

// What the old version used to be stands for it only where it hardly gets calls any more, and
// that can be told.
func TestUsual(t *testing.T) {
	ms := time.Millisecond
	for name, one := range map[string]struct {
		old, new uint64
		want     bool
	}{
		"all to the new":        {0, 1000, true},
		"two in a hundred":      {19, 1000, true},
		"a tenth":               {100, 1000, false},
		"too few calls to tell": {0, 150, false},
	} {
		brake := &Brake{}
		brake.Look(Defaults, both(counted(5000, 5, ms), counted(0, 0, ms)), 1)
		evidence := both(counted(5000+one.old, 5, ms), counted(one.new, 0, ms))
		if got := brake.usual(evidence, brake.recent[0]); (got != nil) != one.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
