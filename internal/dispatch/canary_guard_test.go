package dispatch

import (
	"testing"
	"time"

	"meadowhinge/schema"
)

// fakeGuards implements VersionGuards: it maps each guarded version to the revision of its guard. The fallback version
// of all services is "1".
type fakeGuards map[string]uint64

// GuardedRevision implements VersionGuards.
func (g fakeGuards) GuardedRevision(_, version string) (uint64, bool) {
	revision, guarded := g[version]
	return revision, guarded
}

// FallbackVersion implements VersionGuards.
func (g fakeGuards) FallbackVersion(string) string { return "1" }

// newGrantedGuard returns a guard with a grant for version 2 of the service "shop" from now on.
func newGrantedGuard(now time.Duration) *CanaryGuard {
	guard := newTestGuard(fakeGuards{"2": 0, "3": 0})
	guard.ApplyGrants(now, []*schema.Canary{{Service: "shop", Version: "2"}})
	return guard
}

// newTestGuard returns the guard of a proxy in a fleet of ten. The fleet tolerates forty failures, so its share is
// four.
func newTestGuard(guards fakeGuards) *CanaryGuard {
	return NewCanaryGuard(DefaultCanaryOptions, func() int { return 10 }, func() VersionGuards { return guards })
}

// recordCanaryCall records a call of one millisecond to a version of the service "shop".
func recordCanaryCall(guard *CanaryGuard, version string, now time.Duration, failed bool) {
	guard.End(guard.Begin("shop", version, now), now+time.Millisecond, failed)
}

// A version other than the fallback is blocked unless it has a valid grant for its present guard.
func TestCanaryNeedsGrant(t *testing.T) {
	if !newTestGuard(fakeGuards{"2": 0}).VersionBlocked("shop", "2", 0) {
		t.Error("VersionBlocked(2) without a grant: got false, want true")
	}
	guard := newGrantedGuard(0)
	if during, after := guard.VersionBlocked("shop", "2", time.Second-1), guard.VersionBlocked("shop", "2", time.Second); during || !after {
		t.Errorf("VersionBlocked(2) with a grant of 1s: got %t just before its end and %t at its end, want false and true", during, after)
	}
	if !guard.VersionBlocked("shop", "3", 0) {
		t.Error("VersionBlocked(3) with a grant for version 2: got false, want true")
	}
	// A stop by the registries outlasts later grants until the version's guard is configured again. Grants for the earlier
	// guard are not valid after that.
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
		{func() { guards["2"] = 5 }, true}, // the guard may return to an older revision, when a later change of it is removed
		{func() { grant(9, false) }, true},
		{func() { grant(5, false) }, false},
		{func() { delete(guards, "2"); guard.DropUnguarded(); guards["2"] = 5 }, true},
	} {
		if test.do(); guard.VersionBlocked("shop", "2", 0) != test.blocked {
			t.Errorf("step %d: VersionBlocked(2): got %t, want %t", i, !test.blocked, test.blocked)
		}
	}
}

// A version is blocked once it has used up this proxy's share of the tolerated failures, and fails more often than the
// fallback version.
func TestCanaryIsBlockedAtFailureShare(t *testing.T) {
	for name, test := range map[string]struct {
		fallbackCalls, canaryCalls, fallbackFailed, canaryFailed int

		want bool
	}{
		"no failures: not blocked":                      {100, 100, 0, 0, false},
		"fewer failures than the share: not blocked":    {100, 10, 0, 3, false},
		"as many failures as the share: blocked":        {100, 10, 0, 4, true},
		"fails as often as the fallback: not blocked":   {100, 20, 40, 8, false},
		"a low failure rate in many calls: not blocked": {1000, 1000, 0, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			guard := newGrantedGuard(0)
			for i := range test.fallbackCalls {
				recordCanaryCall(guard, "1", 0, i < test.fallbackFailed)
			}
			for i := range test.canaryCalls {
				recordCanaryCall(guard, "2", 0, i < test.canaryFailed)
			}
			if got := guard.VersionBlocked("shop", "2", 0); got != test.want {
				t.Errorf("VersionBlocked(2): got %t, want %t", got, test.want)
			}
		})
	}
}

// Calls that hang count as failed before they end, because calls that are sent meanwhile would be lost as well. A stop
// by the proxy itself ends only when the rollout controller, knowing of the failures, finds the version healthy.
func TestHangingCallsCountAsFailed(t *testing.T) {
	guard := newGrantedGuard(0)
	for range 20 {
		recordCanaryCall(guard, "1", 0, false)
	}
	var open []*CanaryCall
	for range 4 {
		open = append(open, guard.Begin("shop", "2", 0))
	}
	if guard.VersionBlocked("shop", "2", 10*time.Millisecond) {
		t.Error("VersionBlocked(2) with four calls in flight for 10ms: got true, want false")
	}
	if !guard.VersionBlocked("shop", "2", 100*time.Millisecond) {
		t.Error("VersionBlocked(2) with four calls in flight for 100ms: got false, want true")
	}
	for _, call := range open {
		guard.End(call, 100*time.Millisecond, false)
	}
	// The stop outlasts the window of the failures. It ends with a grant that reports the version as healthy and was
	// requested late enough for the rollout controller to know of the failures.
	later := DefaultRetryWindow + time.Second
	for _, test := range []struct {
		requestedAt time.Duration
		healthy     bool
		blocked     bool
	}{{later, false, true}, {time.Second, true, true}, {later, true, false}} {
		guard.ApplyGrants(later, []*schema.Canary{{Service: "shop", Version: "2"}})
		guard.ApplyGrants(test.requestedAt, []*schema.Canary{{Service: "shop", Version: "2", Healthy: test.healthy}})
		if got := guard.VersionBlocked("shop", "2", later); got != test.blocked {
			t.Errorf("VersionBlocked(2) after a grant requested at %v with healthy %t: got %t, want %t", test.requestedAt, test.healthy, got, test.blocked)
		}
	}
}
