package release

import (
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// TestHealthyDeadlinePlanIsDoneInTime checks that a healthy version stays a canary, gets a quarter of the calls,
// then all, replaces the fallback and is done before the deadline. An order for the previous version passes
// through the same states.
func TestHealthyDeadlinePlanIsDoneInTime(t *testing.T) {
	h := newDeadlineHarness(t)
	for i, version := range []string{"2", "1"} {
		h.orderRollout(version, 12*time.Second)
		states := ""
		for h.progress().State != StateDone {
			h.runFor(125*time.Millisecond, 400, nil)
			if state := h.progress().State + " "; !strings.HasSuffix(states, state) {
				states += state
			}
			if elapsed := time.Duration(h.progress().Elapsed); elapsed > 11*time.Second {
				t.Fatalf("order %d: plan after %v of 12s = %+v, want it done within 11s", i, elapsed, h.progress())
			}
			if canary := h.progress(); canary.State == StateCanary && canary.Percentage > 8 {
				t.Fatalf("order %d: canary percentage = %v, want at most 8", i, canary.Percentage)
			}
		}
		if want := "trial ramp settle done "; states != want {
			t.Errorf("order %d: plan states = %q, want %q", i, states, want)
		}
		compiled := h.compiled()
		if compiled.FallbackVersion("shop") != version || len(compiled.Services["shop"].Versions) != 1 || len(compiled.GuardedVersions["shop"]) != 0 {
			t.Errorf("order %d: discovered versions = %v with guarded versions %v, want only the fallback %q and none guarded",
				i, compiled.DiscoveredVersions["shop"], compiled.GuardedVersions["shop"], version)
		}
		if ordered, state := RolloutState(compiled, "shop"); ordered != version || state != StateDone || NeedsControl(compiled, h.workers) {
			t.Errorf("order %d: RolloutState() = %q, %q and NeedsControl() = %t, want %q, %q and false",
				i, ordered, state, NeedsControl(compiled, h.workers), version, StateDone)
		}
		h.workCounts = map[[2]string]*schema.WorkCount{}
		h.takeControl("a")
	}
}

// runFailingUnderLoad runs the plan of a version that fails only once it has all calls of the service. It returns
// the final progress, the version's calls and the limit on them. In a failing round, failuresPerRound calls fail.
// If failuresPerRound is 12 or more, every round fails. Otherwise one round in four fails.
func runFailingUnderLoad(t *testing.T, failuresPerRound uint64) (final config.Progress, calls, maxCalls uint64) {
	t.Helper()
	const rate, within = 250, 14 * time.Second
	h := newDeadlineHarness(t)
	h.recordCalls("1", 4000, 8, 20*time.Millisecond, 0)
	h.orderRollout("2", within)
	rounds := 0
	for time.Duration(h.progress().Elapsed) < within &&
		h.progress().State != StateDone && h.progress().State != StateRolledBack {
		h.runFor(125*time.Millisecond, rate, func() (uint64, time.Duration) {
			if rounds++; h.progress().Percentage < 100 || rounds%4 != 0 && failuresPerRound < 12 {
				return 0, 20 * time.Millisecond
			}
			return failuresPerRound, 20 * time.Millisecond
		})
		if ramping := h.compiled().RampingByDeadline("shop", "2"); ramping != (h.progress().State == StateRamping) {
			t.Fatalf("RampingByDeadline(shop, 2) = %t with progress %+v, want it true only in state %q", ramping, h.progress(), StateRamping)
		}
	}
	for key, work := range h.workCounts {
		if key[0] == "2" {
			calls += work.Calls
		}
	}
	return h.progress(), calls, uint64(0.1*rate*within.Seconds()) + 50
}

// TestVersionFailingUnderLoadGetsLimitedCalls checks that a version which fails one call in twenty-five, and only
// when it has all calls, gets no more calls than the limit and is rolled back.
func TestVersionFailingUnderLoadGetsLimitedCalls(t *testing.T) {
	if final, calls, maxCalls := runFailingUnderLoad(t, 5); final.State != StateRolledBack || calls > maxCalls {
		t.Errorf("plan ended with %+v after %d calls, want it rolled back after at most %d", final, calls, maxCalls)
	}
}

// TestVersionFailingAtCapacityGetsLimitedCalls checks the same for a version that fails two calls in five once its
// workers are full.
func TestVersionFailingAtCapacityGetsLimitedCalls(t *testing.T) {
	if final, calls, maxCalls := runFailingUnderLoad(t, 12); final.State != StateRolledBack || calls > maxCalls {
		t.Errorf("plan ended with %+v after %d calls, want it rolled back after at most %d", final, calls, maxCalls)
	}
}

// TestDrainingWaitsForOldCallsAndProxies checks that a plan is done only when every proxy has applied the last step
// and no call is in flight at the old workers, because those may terminate as soon as the plan is done.
func TestDrainingWaitsForOldCallsAndProxies(t *testing.T) {
	h := newDeadlineHarness(t)
	h.orderRollout("2", 12*time.Second)
	for h.progress().State != StateDraining {
		h.runFor(125*time.Millisecond, 400, nil)
	}
	h.recordCalls("1", 0, 0, 0, 2)
	for range 6 {
		h.now += 125 * time.Millisecond
		h.reconcile()
	}
	if h.progress().State != StateDraining {
		t.Errorf("state with calls in flight at the old workers = %q, want %q", h.progress().State, StateDraining)
	}
	h.recordCalls("1", 0, 0, 0, 0)
	h.appliedRevision = 1
	h.now += 125 * time.Millisecond
	if h.reconcile(); h.progress().State != StateDraining {
		t.Errorf("state with a proxy that has not applied the last step = %q, want %q", h.progress().State, StateDraining)
	}
	h.appliedRevision = 0
	h.now += 125 * time.Millisecond
	if h.reconcile(); h.progress().State != StateDone {
		t.Errorf("state without calls in flight and with the step applied by all proxies = %q, want %q", h.progress().State, StateDone)
	}
}

// TestFailingDeadlinePlanIsRolledBack checks that a version is rolled back in whatever state it turns bad, also
// when it has replaced the fallback already, and that it may be ordered again.
func TestFailingDeadlinePlanIsRolledBack(t *testing.T) {
	for state, badOutcome := range map[string]func() (uint64, time.Duration){
		StateCanary:   func() (uint64, time.Duration) { return 1, 20 * time.Millisecond },
		StateRamping:  func() (uint64, time.Duration) { return 9, 20 * time.Millisecond },
		StateDraining: func() (uint64, time.Duration) { return 0, 160 * time.Millisecond },
	} {
		t.Run(state, func(t *testing.T) {
			h := newDeadlineHarness(t)
			h.orderRollout("2", 12*time.Second)
			for h.progress().State != state {
				h.runFor(125*time.Millisecond, 400, nil)
			}
			h.runFor(2*time.Second, 400, badOutcome)
			compiled := h.compiled()
			isOn := compiled.Flags.Flags["release.shop"].On
			if progress := h.progress(); progress.State != StateRolledBack || compiled.FallbackVersion("shop") != "1" || isOn {
				t.Errorf("progress = %+v, discovered versions = %v, flag on = %t, want state %q, fallback 1 and the flag off",
					progress, compiled.DiscoveredVersions["shop"], isOn, StateRolledBack)
			}
			if _, reported := RolloutState(compiled, "shop"); reported != StateRolledBack || NeedsControl(compiled, h.workers) {
				t.Errorf("RolloutState() = %q and NeedsControl() = %t, want %q and false",
					reported, NeedsControl(compiled, h.workers), StateRolledBack)
			}
			h.orderRollout("2", 12*time.Second)
			if h.reconcile(); h.progress().State != StateCanary {
				t.Errorf("progress after a second order = %+v, want state %q", h.progress(), StateCanary)
			}
		})
	}
}

// TestNewControllerContinuesDeadlinePlan checks that a registry which takes over rollout control continues the
// plan from its recorded progress, and completes it in time.
func TestNewControllerContinuesDeadlinePlan(t *testing.T) {
	h := newDeadlineHarness(t)
	h.orderRollout("2", 12*time.Second)
	h.runFor(6*time.Second, 400, nil)
	before := h.progress()
	h.takeControl("b")
	h.runFor(500*time.Millisecond, 400, nil)
	if after := time.Duration(h.progress().Elapsed); after < time.Duration(before.Elapsed) {
		t.Errorf("elapsed time after the takeover = %v, want at least the recorded %v", after, time.Duration(before.Elapsed))
	}
	h.runFor(5500*time.Millisecond, 400, nil)
	if progress := h.progress(); progress.State != StateDone || progress.Controller != "b" {
		t.Errorf("progress at the deadline = %+v, want state %q by controller b", progress, StateDone)
	}
}

// TestDeadlinePlanNeedsCapacityAndEvidence checks that a version stays a canary if its workers have too few slots
// for all calls, or if it had hardly any calls.
func TestDeadlinePlanNeedsCapacityAndEvidence(t *testing.T) {
	h := newDeadlineHarness(t)
	h.orderRollout("2", 12*time.Second)
	h.workers[[2]string{"shop", "2"}] = WorkerPool{Workers: 1, Slots: 4}
	h.runFor(11*time.Second, 400, nil)
	if progress := h.progress(); progress.State != StateCanary {
		t.Errorf("progress with 4 slots = %+v, want state %q", progress, StateCanary)
	}
	h = newDeadlineHarness(t)
	h.orderRollout("2", 12*time.Second)
	h.runFor(11*time.Second, 4, nil)
	if progress := h.progress(); progress.State != StateCanary {
		t.Errorf("progress at 4 calls a second = %+v, want state %q", progress, StateCanary)
	}
}
