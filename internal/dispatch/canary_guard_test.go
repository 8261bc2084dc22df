package dispatch

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// fakeGuards is what a setup says of versions: each under a statement, 1 being the fallback.
type fakeGuards map[string]uint64

func (s fakeGuards) GuardedRevision(_, version string) (uint64, bool) {
	sequence, guarded := s[version]
	return sequence, guarded
}

func (s fakeGuards) FallbackOf(string) string { return "1" }

// A proxy of a fleet of ten, which may take forty failures in all: four are its part.
func newGrantedGuard(now time.Duration) *CanaryGuard {
	guard := newTestGuard(fakeGuards{"2": 0, "3": 0})
	guard.ApplyGrants(now, []*schema.Canary{{Service: "shop", Version: "2"}})
	return guard
}

func newTestGuard(guards fakeGuards) *CanaryGuard {
	return NewCanaryGuard(DefaultCanaryOptions, func() int { return 10 }, func() VersionGuards { return guards })
}

func recordCanaryCall(guard *CanaryGuard, version string, now time.Duration, failed bool) {
	guard.End(guard.Begin("shop", version, now), now+time.Millisecond, failed)
}

func TestCanaryNeedsAGrant(t *testing.T) {
	if !newTestGuard(fakeGuards{"2": 0}).VersionBlocked("shop", "2", 0) {
		t.Error("without a grant it is not held")
	}
	guard := newGrantedGuard(0)
	if guard.VersionBlocked("shop", "2", time.Second-1) || !guard.VersionBlocked("shop", "2", time.Second) {
		t.Error("the grant does not last as long as it should")
	}
	if !guard.VersionBlocked("shop", "3", 0) {
		t.Error("a grant for one version counts for another")
	}
	// A stop outlasts any later grant, until something else is stated of the version; what was
	// told under the older statement then counts no more.
	guards := fakeGuards{"2": 4, "3": 0}
	guard = newTestGuard(guards)
	grant := func(revision uint64, stopped bool) {
		guard.ApplyGrants(0, []*schema.Canary{{Service: "shop", Version: "2", PlanSequence: revision, Blocked: stopped}})
	}
	for i, test := range []struct {
		do   func()
		held bool
	}{
		{func() { grant(4, false) }, false},
		{func() { grant(4, true) }, true},
		{func() { grant(4, false) }, true},
		{func() { guards["2"] = 9 }, true},
		{func() { grant(4, false) }, true},
		{func() { grant(9, false) }, false},
		{func() { guards["2"] = 5 }, true}, // a stop that was removed leaves an older statement
		{func() { grant(9, false) }, true},
		{func() { grant(5, false) }, false},
		{func() { delete(guards, "2"); guard.ForgetUnguarded(); guards["2"] = 5 }, true},
	} {
		if test.do(); guard.VersionBlocked("shop", "2", 0) != test.held {
			t.Errorf("step %d: held %v", i, !test.held)
		}
	}
}

func TestCanaryStopsAtItsFailureShare(t *testing.T) {
	for name, test := range map[string]struct {
		old, new, oldFailed, newFailed int
		held                           bool
	}{
		"no failures":              {100, 100, 0, 0, false},
		"fewer than its part":      {100, 10, 0, 3, false},
		"its part":                 {100, 10, 0, 4, true},
		"both versions fail alike": {100, 20, 40, 8, false},
		"a few in very many":       {1000, 1000, 0, 10, false},
	} {
		guard := newGrantedGuard(0)
		for i := range test.old {
			recordCanaryCall(guard, "1", 0, i < test.oldFailed)
		}
		for i := range test.new {
			recordCanaryCall(guard, "2", 0, i < test.newFailed)
		}
		if got := guard.VersionBlocked("shop", "2", 0); got != test.held {
			t.Errorf("%s: held %v", name, got)
		}
	}
}

// Calls that hang count before they end: else all that are sent meanwhile would be lost too.
func TestHangingCallsCount(t *testing.T) {
	guard := newGrantedGuard(0)
	for range 20 {
		recordCanaryCall(guard, "1", 0, false)
	}
	var open []*CanaryCall
	for range 4 {
		open = append(open, guard.Begin("shop", "2", 0))
	}
	if guard.VersionBlocked("shop", "2", 10*time.Millisecond) {
		t.Error("held before the calls took long")
	}
	if !guard.VersionBlocked("shop", "2", 100*time.Millisecond) {
		t.Error("not held while four calls hang")
	}
	for _, test := range open {
		guard.End(test, 100*time.Millisecond, false)
	}
	// The proxy's own stop outlasts its window, until the duty, asked late enough to know of
	// the failures, finds the version fine.
	later := DefaultRetryWindow + time.Second
	for _, test := range []struct {
		asked time.Duration
		fine  bool
		held  bool
	}{{later, false, true}, {time.Second, true, true}, {later, true, false}} {
		guard.ApplyGrants(later, []*schema.Canary{{Service: "shop", Version: "2"}})
		guard.ApplyGrants(test.asked, []*schema.Canary{{Service: "shop", Version: "2", Healthy: test.fine}})
		if got := guard.VersionBlocked("shop", "2", later); got != test.held {
			t.Errorf("asked at %v, fine %v: held %v", test.asked, test.fine, got)
		}
	}
}
