package dispatch

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// fakeGuards is what a configuration says of versions: the revision of each guarded one, 1 being the fallback.
type fakeGuards map[string]uint64

func (g fakeGuards) GuardedRevision(_, version string) (uint64, bool) {
	revision, guarded := g[version]
	return revision, guarded
}

func (g fakeGuards) FallbackOf(string) string { return "1" }

// newGrantedGuard is the guard of a proxy in a fleet of ten, which may take forty failures in all: four are its part.
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

// A version other than the fallback is blocked unless it has a valid grant for its present guard.
func TestCanaryNeedsAGrant(t *testing.T) {
	if !newTestGuard(fakeGuards{"2": 0}).VersionBlocked("shop", "2", 0) {
		t.Error("a version without a grant is not blocked")
	}
	guard := newGrantedGuard(0)
	if guard.VersionBlocked("shop", "2", time.Second-1) || !guard.VersionBlocked("shop", "2", time.Second) {
		t.Error("the grant does not last as long as it should")
	}
	if !guard.VersionBlocked("shop", "3", 0) {
		t.Error("a grant for one version counts for another")
	}
	// A stop outlasts later grants until the version's guard is configured again. Grants for the earlier guard are not
	// valid then.
	guards := fakeGuards{"2": 4, "3": 0}
	guard = newTestGuard(guards)
	grant := func(revision uint64, stopped bool) {
		guard.ApplyGrants(0, []*schema.Canary{{Service: "shop", Version: "2", PlanSequence: revision, Blocked: stopped}})
	}
	for i, test := range []struct {
		do      func()
		blocked bool
	}{
		{func() { grant(4, false) }, false},
		{func() { grant(4, true) }, true},
		{func() { grant(4, false) }, true},
		{func() { guards["2"] = 9 }, true},
		{func() { grant(4, false) }, true},
		{func() { grant(9, false) }, false},
		{func() { guards["2"] = 5 }, true}, // a stop that was removed leaves an older revision
		{func() { grant(9, false) }, true},
		{func() { grant(5, false) }, false},
		{func() { delete(guards, "2"); guard.ForgetUnguarded(); guards["2"] = 5 }, true},
	} {
		if test.do(); guard.VersionBlocked("shop", "2", 0) != test.blocked {
			t.Errorf("step %d: blocked %v", i, !test.blocked)
		}
	}
}

// A version is blocked once it has failed as often as this proxy may take, and more often than the fallback version.
func TestCanaryStopsAtItsFailureShare(t *testing.T) {
	for name, test := range map[string]struct {
		fallbackCalls, canaryCalls, fallbackFailed, canaryFailed int

		blocked bool
	}{
		"no failures":              {100, 100, 0, 0, false},
		"fewer than its part":      {100, 10, 0, 3, false},
		"its part":                 {100, 10, 0, 4, true},
		"both versions fail alike": {100, 20, 40, 8, false},
		"a few in very many":       {1000, 1000, 0, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			guard := newGrantedGuard(0)
			for i := range test.fallbackCalls {
				recordCanaryCall(guard, "1", 0, i < test.fallbackFailed)
			}
			for i := range test.canaryCalls {
				recordCanaryCall(guard, "2", 0, i < test.canaryFailed)
			}
			if got := guard.VersionBlocked("shop", "2", 0); got != test.blocked {
				t.Errorf("blocked %v", got)
			}
		})
	}
}

// Calls that hang count as failed before they end: otherwise all calls sent meanwhile would be lost as well.
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
		t.Error("blocked before the calls took long")
	}
	if !guard.VersionBlocked("shop", "2", 100*time.Millisecond) {
		t.Error("not blocked while four calls hang")
	}
	for _, call := range open {
		guard.End(call, 100*time.Millisecond, false)
	}
	// The proxy's own stop outlasts its window, until the rollout controller, asked late enough to know of the
	// failures, finds the version healthy.
	later := DefaultRetryWindow + time.Second
	for _, test := range []struct {
		requestedAt time.Duration
		healthy     bool
		blocked     bool
	}{{later, false, true}, {time.Second, true, true}, {later, true, false}} {
		guard.ApplyGrants(later, []*schema.Canary{{Service: "shop", Version: "2"}})
		guard.ApplyGrants(test.requestedAt, []*schema.Canary{{Service: "shop", Version: "2", Healthy: test.healthy}})
		if got := guard.VersionBlocked("shop", "2", later); got != test.blocked {
			t.Errorf("requested at %v, healthy %v: blocked %v", test.requestedAt, test.healthy, got)
		}
	}
}
