package release

import (
	"fmt"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

var deadlineOptions = func() Options {
	options := Defaults
	options.CanaryPercent, options.MaxBadFraction, options.BadCallsMargin = 8, 0.1, 50
	return options
}()

// deadlineHarness is a world whose shop leaves its versions out, steered by a duty that can be replaced.
type deadlineHarness struct {
	*fakeStore
	controller      *Controller
	now             time.Duration
	firstSeenAt     map[uint64]time.Duration // when each sequence came
	appliedRevision uint64                   // by every proxy; 0 for the newest
	workCounts      map[[2]string]*schema.WorkCount
	workers         map[[2]string]WorkerPool
}

func newDeadlineHarness(t *testing.T) *deadlineHarness {
	h := &deadlineHarness{fakeStore: &fakeStore{t: t, state: config.State{}}, firstSeenAt: map[uint64]time.Duration{}, workCounts: map[[2]string]*schema.WorkCount{},
		workers: map[[2]string]WorkerPool{{"shop", "1"}: {Workers: 3, Slots: 54}}}
	h.takeControl("a")
	h.write(&schema.Item{Kind: "service", Name: "shop", Body: []byte(`{}`)})
	h.reconcile()
	return h
}

// takeControl lets a registry that has just started take the duty.
func (h *deadlineHarness) takeControl(memberID string) {
	h.controller = NewController(deadlineOptions, memberID, 500*time.Millisecond)
	h.firstSeenAt = map[uint64]time.Duration{}
}

// recordCalls counts calls that ended at a version's workers.
func (h *deadlineHarness) recordCalls(version string, calls, failures uint64, latency time.Duration, open uint32) {
	key := [2]string{version, "buy"}
	if h.workCounts[key] == nil {
		h.workCounts[key] = &schema.WorkCount{Service: "shop", Version: version, Route: "buy", LatencyHistogram: make([]uint32, LatencyBucketCount), PlanSequence: h.compiled().VersionRevision("shop", version)}
	}
	work := h.workCounts[key]
	work.Calls, work.Failures, work.TotalNanos, work.InFlight = work.Calls+calls, work.Failures+failures, work.TotalNanos+calls*uint64(latency), open
	work.LatencyHistogram[LatencyBucket(latency)] += uint32(calls - failures)
}

// reconcile lets the duty look once and writes its steps.
func (h *deadlineHarness) reconcile() {
	h.t.Helper()
	if h.firstSeenAt[h.sequence] == 0 {
		for sequence := uint64(1); sequence <= h.sequence; sequence++ {
			if h.firstSeenAt[sequence] == 0 {
				h.firstSeenAt[sequence] = h.now
			}
		}
	}
	source := &schema.SourceCounts{Proxy: "p", Incarnation: 1, Applied: h.appliedRevision}
	if h.appliedRevision == 0 {
		source.Applied = h.sequence
	}
	for _, work := range h.workCounts {
		source.WorkCounts = append(source.WorkCounts, work)
	}
	steps, err := h.controller.Reconcile(h.now, h.compiled(), h.state, FleetObservation{Counts: []*schema.SourceCounts{source}, HeardFraction: 1, Workers: h.workers,
		KnownFor: func(sequence uint64) time.Duration { return h.now - h.firstSeenAt[sequence] }})
	if err != nil {
		h.t.Fatal(err)
	}
	for _, step := range steps {
		h.write(step.Items...)
	}
}

// runFor lets time pass, with so many calls a second that go by the flag's share.
func (h *deadlineHarness) runFor(span time.Duration, rate int, newOutcome func() (failures uint64, latency time.Duration)) {
	h.t.Helper()
	const interval = 125 * time.Millisecond
	for end := h.now + span; h.now < end; {
		h.now += interval
		calls := float64(rate) * interval.Seconds()
		share, from, to := 0.0, "1", "2"
		if progress := h.progress(); progress.State != "" {
			from, to = progress.PreviousVersion, h.compiled().Releases["shop"].Version
			if inProgress(progress.State) {
				share = progress.Percentage / 100
			}
		}
		h.recordCalls(from, uint64(calls*(1-share)), 0, 20*time.Millisecond, 0)
		if fresh := uint64(calls * share); fresh > 0 {
			failures, latency := uint64(0), 20*time.Millisecond
			if newOutcome != nil {
				failures, latency = newOutcome()
			}
			h.recordCalls(to, fresh, min(fresh, failures), latency, 0)
		}
		h.reconcile()
	}
}

func (h *deadlineHarness) progress() config.Progress {
	if progress := h.compiled().Progress["shop"]; progress != nil {
		return *progress
	}
	return config.Progress{}
}

func (h *deadlineHarness) orderRollout(version string, over time.Duration) {
	h.t.Helper()
	step, err := PlanRollout(h.compiled(), h.state, RolloutOrder{"shop", version, over})
	if err != nil || step == nil {
		h.t.Fatal(step, err)
	}
	h.write(step.Items...)
	h.workers[[2]string{"shop", version}] = WorkerPool{Workers: 3, Slots: 54}
}

// What workers tell first stands as the fallback, with a flag that gives it; another version that
// comes without an order does not.
func TestStanding(t *testing.T) {
	h := newDeadlineHarness(t)
	compiled := h.compiled()
	if compiled.FallbackOf("shop") != "1" || compiled.Flags.Flags["release.shop"] == nil || len(compiled.GuardedVersions["shop"]) != 0 {
		t.Fatalf("stands %v", compiled.DiscoveredVersions["shop"])
	}
	h.workers[[2]string{"shop", "2"}] = WorkerPool{Workers: 9}
	sequence := h.sequence
	h.reconcile()
	if h.sequence != sequence || h.compiled().Services["shop"].AllowsVersion("2") {
		t.Error("a version that nobody ordered is taken in")
	}
}

// A good version stays on trial, gets half, then all, takes the old one's place and is done before
// the term; a second order, and one for the version before, go the same way.
func TestHealthyByDeadline(t *testing.T) {
	h := newDeadlineHarness(t)
	for i, version := range []string{"2", "1"} {
		h.orderRollout(version, 12*time.Second)
		states := ""
		for h.progress().State != StateDone {
			h.runFor(125*time.Millisecond, 400, nil)
			if state := fmt.Sprintf("%s ", h.progress().State); len(states) < len(state) || states[len(states)-len(state):] != state {
				states += state
			}
			if elapsed := time.Duration(h.progress().Elapsed); elapsed > 11*time.Second {
				t.Fatalf("still %v at %v", h.progress(), elapsed)
			}
			if canary := h.progress(); canary.State == StateCanary && canary.Percentage > 8 {
				t.Fatalf("on trial with %v %%", canary.Percentage)
			}
		}
		if want := "trial ramp settle done "; states != want {
			t.Errorf("order %d went %q", i, states)
		}
		compiled := h.compiled()
		if compiled.FallbackOf("shop") != version || len(compiled.Services["shop"].Versions) != 1 || len(compiled.GuardedVersions["shop"]) != 0 {
			t.Errorf("after order %d there stands %v", i, compiled.DiscoveredVersions["shop"])
		}
		if ordered, state := RolloutState(compiled, "shop"); ordered != version || state != StateDone || NeedsControl(compiled, h.workers) {
			t.Errorf("order %d: %s %s", i, ordered, state)
		}
		h.workCounts = map[[2]string]*schema.WorkCount{}
		h.takeControl("a")
	}
}

// runFailingUnderLoad lets a version fail so many of each four dozen calls, but only once it has all of a
// service's calls, and tells how its plan stands and how many calls it came to.
func runFailingUnderLoad(t *testing.T, failingPerStep uint64) (final config.Progress, calls, maxCalls uint64) {
	const rate, over = 250, 14 * time.Second
	h := newDeadlineHarness(t)
	h.recordCalls("1", 4000, 8, 20*time.Millisecond, 0)
	h.orderRollout("2", over)
	ticks := 0
	for time.Duration(h.progress().Elapsed) < over && h.progress().State != StateDone && h.progress().State != StateRolledBack {
		h.runFor(125*time.Millisecond, rate, func() (uint64, time.Duration) {
			if ticks++; h.progress().Percentage < 100 || ticks%4 != 0 && failingPerStep < 12 {
				return 0, 20 * time.Millisecond
			}
			return failingPerStep, 20 * time.Millisecond
		})
		if proving := h.compiled().RampingByDeadline("shop", "2"); proving != (h.progress().State == StateRamping) {
			t.Fatalf("at %v it is told to prove itself: %t", h.progress(), proving)
		}
	}
	for key, work := range h.workCounts {
		if key[0] == "2" {
			calls += work.Calls
		}
	}
	return h.progress(), calls, uint64(0.1*rate*over.Seconds()) + 50
}

// A version that fails only under load, and then only one call in twenty-five, shows that with all
// calls alone. It must not come to more than its part of all calls, and must not take over.
func TestBadUnderLoadKeepsTheBound(t *testing.T) {
	if final, calls, maxCalls := runFailingUnderLoad(t, 5); final.State != StateRolledBack || calls > maxCalls {
		t.Errorf("the plan stands at %v after %d calls, of which %d are allowed", final, calls, maxCalls)
	}
}

// One that fails two calls in five once its workers are full, as they are where calls are packed,
// keeps the bound.
func TestBadOnFullWorkersKeepsTheBound(t *testing.T) {
	if final, calls, maxCalls := runFailingUnderLoad(t, 12); final.State != StateRolledBack || calls > maxCalls {
		t.Errorf("the plan stands at %v after %d calls, of which %d are allowed", final, calls, maxCalls)
	}
}

// The old workers may end at once when the plan is done, so it is not before every proxy goes by
// the last step and nothing is under way there.
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
		t.Errorf("%s with calls under way", h.progress().State)
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

// What is bad is turned back whenever it shows, also when it has taken the old one's place already,
// and may be ordered again.
func TestFailingByDeadline(t *testing.T) {
	for state, badOutcome := range map[string]func() (uint64, time.Duration){
		StateCanary:   func() (uint64, time.Duration) { return 1, 20 * time.Millisecond },
		StateRamping:  func() (uint64, time.Duration) { return 9, 20 * time.Millisecond },
		StateDraining: func() (uint64, time.Duration) { return 0, 160 * time.Millisecond },
	} {
		h := newDeadlineHarness(t)
		h.orderRollout("2", 12*time.Second)
		for h.progress().State != state {
			h.runFor(125*time.Millisecond, 400, nil)
		}
		h.runFor(2*time.Second, 400, badOutcome)
		compiled := h.compiled()
		if progress := h.progress(); progress.State != StateRolledBack || compiled.FallbackOf("shop") != "1" || compiled.Flags.Flags["release.shop"].On {
			t.Errorf("bad from %s: %v, standing %v", state, progress, compiled.DiscoveredVersions["shop"])
		}
		if _, reported := RolloutState(compiled, "shop"); reported != StateRolledBack || NeedsControl(compiled, h.workers) {
			t.Errorf("bad from %s: told %s", state, reported)
		}
		h.orderRollout("2", 12*time.Second)
		if h.reconcile(); h.progress().State != StateCanary {
			t.Errorf("ordered again: %v", h.progress())
		}
	}
}

// A registry that takes the duty over goes on from what was written, one that knew the order from
// that too; what was seen of a version before does not begin anew.
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

// What can't carry all calls, or was hardly seen, does not get them.
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

// What a version gets that shows with all calls only that it is bad stays within the bound, over
// plans and rates.
func TestCanaryPercentKeepsTheBound(t *testing.T) {
	interval := 500 * time.Millisecond
	for _, planDuration := range []time.Duration{12 * time.Second, 16 * time.Second, 60 * time.Second} {
		for _, rate := range []float64{20, 100, 223, 460, 900} {
			percent := deadlineOptions.canaryPercent(planDuration, DeadlineInputs{CallsPerSecond: rate, MinStepInterval: interval})
			canaryCalls := percent / 100 * rate * deadlineOptions.CanaryEndFraction * planDuration.Seconds()
			movedCalls := rate * interval.Seconds() * rollbackIntervals * (intermediatePercent/100.0 + 1)
			if bound := deadlineOptions.MaxBadFraction*rate*planDuration.Seconds() + deadlineOptions.BadCallsMargin; canaryCalls+movedCalls > bound*1.15 {
				t.Errorf("%v at %g a second: %.1f %%, %.0f calls of %.0f", planDuration, rate, percent, canaryCalls+movedCalls, bound)
			}
		}
	}
}
