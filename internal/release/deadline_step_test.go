package release

import (
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// TestHealthyByDeadline checks that a healthy version stays a canary, gets a quarter of the calls, then all,
// replaces the fallback and is done before the deadline. An order back to the version before goes the same way.
func TestHealthyByDeadline(t *testing.T) {
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
				t.Fatalf("still %v at %v", h.progress(), elapsed)
			}
			if canary := h.progress(); canary.State == StateCanary && canary.Percentage > 8 {
				t.Fatalf("canary with %v %%", canary.Percentage)
			}
		}
		if want := "trial ramp settle done "; states != want {
			t.Errorf("order %d went %q", i, states)
		}
		compiled := h.compiled()
		if compiled.FallbackOf("shop") != version || len(compiled.Services["shop"].Versions) != 1 || len(compiled.GuardedVersions["shop"]) != 0 {
			t.Errorf("after order %d the versions are %v", i, compiled.DiscoveredVersions["shop"])
		}
		if ordered, state := RolloutState(compiled, "shop"); ordered != version || state != StateDone || NeedsControl(compiled, h.workers) {
			t.Errorf("order %d: %s %s", i, ordered, state)
		}
		h.workCounts = map[[2]string]*schema.WorkCount{}
		h.takeControl("a")
	}
}

// runFailingUnderLoad runs the plan of a version that fails only once it has all of the service's calls, and
// returns its final progress, its calls, and the bound on them. It fails failingPerStep calls of a round; below
// 12 it does so in one round of four.
func runFailingUnderLoad(t *testing.T, failingPerStep uint64) (final config.Progress, calls, maxCalls uint64) {
	t.Helper()
	const rate, within = 250, 14 * time.Second
	h := newDeadlineHarness(t)
	h.recordCalls("1", 4000, 8, 20*time.Millisecond, 0)
	h.orderRollout("2", within)
	ticks := 0
	for time.Duration(h.progress().Elapsed) < within &&
		h.progress().State != StateDone && h.progress().State != StateRolledBack {
		h.runFor(125*time.Millisecond, rate, func() (uint64, time.Duration) {
			if ticks++; h.progress().Percentage < 100 || ticks%4 != 0 && failingPerStep < 12 {
				return 0, 20 * time.Millisecond
			}
			return failingPerStep, 20 * time.Millisecond
		})
		if ramping := h.compiled().RampingByDeadline("shop", "2"); ramping != (h.progress().State == StateRamping) {
			t.Fatalf("at %v the proxies see it ramping: %t", h.progress(), ramping)
		}
	}
	for key, work := range h.workCounts {
		if key[0] == "2" {
			calls += work.Calls
		}
	}
	return h.progress(), calls, uint64(0.1*rate*within.Seconds()) + 50
}

// TestBadUnderLoadKeepsTheBound checks that a version which fails one call in twenty-five, and only under all
// calls, gets no more than its bound and does not replace the fallback.
func TestBadUnderLoadKeepsTheBound(t *testing.T) {
	if final, calls, maxCalls := runFailingUnderLoad(t, 5); final.State != StateRolledBack || calls > maxCalls {
		t.Errorf("the plan ended at %v after %d calls, of which %d are allowed", final, calls, maxCalls)
	}
}

// TestBadOnFullWorkersKeepsTheBound checks the same of a version that fails two calls in five once its workers
// are full.
func TestBadOnFullWorkersKeepsTheBound(t *testing.T) {
	if final, calls, maxCalls := runFailingUnderLoad(t, 12); final.State != StateRolledBack || calls > maxCalls {
		t.Errorf("the plan ended at %v after %d calls, of which %d are allowed", final, calls, maxCalls)
	}
}

// TestDoneWaitsForTheLastCalls checks that a plan is done only when every proxy has applied the last step and no
// call is in flight at the old workers, because those may terminate as soon as it is.
func TestDoneWaitsForTheLastCalls(t *testing.T) {
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
		t.Errorf("%s with calls in flight", h.progress().State)
	}
	h.recordCalls("1", 0, 0, 0, 0)
	h.appliedRevision = 1
	h.now += 125 * time.Millisecond
	if h.reconcile(); h.progress().State != StateDraining {
		t.Errorf("%s with a proxy behind", h.progress().State)
	}
	h.appliedRevision = 0
	h.now += 125 * time.Millisecond
	if h.reconcile(); h.progress().State != StateDone {
		t.Errorf("%s with nothing to wait for", h.progress().State)
	}
}

// TestFailingByDeadline checks that a bad version is rolled back in whatever state it turns bad, also when it has
// replaced the fallback already, and that it may be ordered again.
func TestFailingByDeadline(t *testing.T) {
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
			if progress := h.progress(); progress.State != StateRolledBack || compiled.FallbackOf("shop") != "1" || isOn {
				t.Errorf("%v, versions %v", progress, compiled.DiscoveredVersions["shop"])
			}
			if _, reported := RolloutState(compiled, "shop"); reported != StateRolledBack || NeedsControl(compiled, h.workers) {
				t.Errorf("reported %s", reported)
			}
			h.orderRollout("2", 12*time.Second)
			if h.reconcile(); h.progress().State != StateCanary {
				t.Errorf("ordered again: %v", h.progress())
			}
		})
	}
}

// TestTakeoverByDeadline checks that a registry which takes control over continues the plan from its recorded
// progress, and ends it in time.
func TestTakeoverByDeadline(t *testing.T) {
	h := newDeadlineHarness(t)
	h.orderRollout("2", 12*time.Second)
	h.runFor(6*time.Second, 400, nil)
	before := h.progress()
	h.takeControl("b")
	h.runFor(500*time.Millisecond, 400, nil)
	if after := time.Duration(h.progress().Elapsed); after < time.Duration(before.Elapsed) {
		t.Errorf("at %v after %v", after, time.Duration(before.Elapsed))
	}
	h.runFor(5500*time.Millisecond, 400, nil)
	if progress := h.progress(); progress.State != StateDone || progress.Controller != "b" {
		t.Errorf("%+v", progress)
	}
}

// TestDeadlinePlanNeedsCapacityAndEvidence checks that a version whose workers could not hold all calls, or that
// had hardly any, stays a canary.
func TestDeadlinePlanNeedsCapacityAndEvidence(t *testing.T) {
	h := newDeadlineHarness(t)
	h.orderRollout("2", 12*time.Second)
	h.workers[[2]string{"shop", "2"}] = WorkerPool{Workers: 1, Slots: 4}
	h.runFor(11*time.Second, 400, nil)
	if progress := h.progress(); progress.State != StateCanary {
		t.Errorf("too small: %v", progress)
	}
	h = newDeadlineHarness(t)
	h.orderRollout("2", 12*time.Second)
	h.runFor(11*time.Second, 4, nil)
	if progress := h.progress(); progress.State != StateCanary {
		t.Errorf("not seen: %v", progress)
	}
}
