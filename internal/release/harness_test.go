package release

import (
	"encoding/json"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// fakeStore is an in-memory configuration store. It fails the test if a write makes the configuration invalid.
type fakeStore struct {
	t        *testing.T
	state    config.State
	sequence uint64 // sequence of the last write, 0 before the first
}

// write writes items with the next sequence.
func (s *fakeStore) write(items ...*schema.Item) {
	s.t.Helper()
	s.sequence++
	for _, item := range items {
		item.Version = &schema.Version{Term: 1, Sequence: s.sequence}
	}
	s.state = s.state.Merge(items)
	if _, faults := config.Compile(s.state, s.sequence); len(faults) > 0 {
		s.t.Fatalf("config.Compile() after write %d reported faults: %v", s.sequence, faults)
	}
}

// compiled returns the snapshot of the current configuration.
func (s *fakeStore) compiled() *config.Snapshot {
	compiled, _ := config.Compile(s.state, s.sequence)
	return compiled
}

// jsonItem returns an item with the JSON encoding of content.
func (s *fakeStore) jsonItem(kind, name string, content any) *schema.Item {
	s.t.Helper()
	encoded, err := json.Marshal(content)
	if err != nil {
		s.t.Fatalf("encoding %s %q: %v", kind, name, err)
	}
	return &schema.Item{Kind: kind, Name: name, Body: encoded}
}

// newFakeStore returns a store with a service "shop" whose configuration lists its versions.
func newFakeStore(t *testing.T) *fakeStore {
	t.Helper()
	store := &fakeStore{t: t, state: config.State{}}
	body := []byte(`{"versions":["1","2","3"],"fallback":"1","callers":["client"]}`)
	store.write(&schema.Item{Kind: "service", Name: "shop", Body: body})
	return store
}

// planRollout orders a rollout of a version within 12 seconds, and writes and returns its step, nil if there is none.
func (s *fakeStore) planRollout(version string) *Step {
	s.t.Helper()
	step, err := PlanRollout(s.compiled(), s.state, RolloutOrder{"shop", version, 12 * time.Second})
	if err != nil {
		s.t.Fatalf("PlanRollout(shop, %q): %v", version, err)
	}
	if step != nil {
		s.write(step.Items...)
	}
	return step
}

// deadlineOptions limit the calls of a bad version to a tenth of the service's calls during the plan, plus 50.
var deadlineOptions = func() Options {
	options := Defaults
	options.CanaryPercent, options.MaxBadFraction, options.BadCallsMargin = 8, 0.1, 50
	return options
}()

// deadlineHarness simulates a fleet of one proxy, with a service "shop" whose versions come from worker
// registrations. A test can replace the controller, as when another registry takes over.
type deadlineHarness struct {
	*fakeStore
	controller      *Controller
	now             time.Duration                   // simulated time
	firstSeenAt     map[uint64]time.Duration        // time at which the controller's registry learned of each sequence
	appliedRevision uint64                          // revision that the proxy has applied; 0 means the newest
	workCounts      map[[2]string]*schema.WorkCount // the proxy's counts, by version and route
	workers         map[[2]string]WorkerPool        // registered workers, by service and version
}

// newDeadlineHarness returns a harness in which workers of version 1 are registered and discovered.
func newDeadlineHarness(t *testing.T) *deadlineHarness {
	t.Helper()
	h := &deadlineHarness{
		fakeStore:   &fakeStore{t: t, state: config.State{}},
		firstSeenAt: map[uint64]time.Duration{},
		workCounts:  map[[2]string]*schema.WorkCount{},
		workers:     map[[2]string]WorkerPool{{"shop", "1"}: {Workers: 3, Slots: 54}},
	}
	h.takeControl("a")
	h.write(&schema.Item{Kind: "service", Name: "shop", Body: []byte(`{}`)})
	h.reconcile()
	return h
}

// takeControl gives rollout control to a newly started registry.
func (h *deadlineHarness) takeControl(memberID string) {
	h.controller = NewController(deadlineOptions, memberID, 500*time.Millisecond)
	h.firstSeenAt = map[uint64]time.Duration{}
}

// recordCalls counts calls that ended at a version's workers, and sets the number of calls in flight there.
func (h *deadlineHarness) recordCalls(version string, calls, failures uint64, latency time.Duration, inFlight uint32) {
	key := [2]string{version, "buy"}
	if h.workCounts[key] == nil {
		h.workCounts[key] = &schema.WorkCount{
			Service:          "shop",
			Version:          version,
			Route:            "buy",
			LatencyHistogram: make([]uint32, LatencyBucketCount),
			PlanSequence:     h.compiled().VersionRevision("shop", version),
		}
	}
	work := h.workCounts[key]
	work.Calls += calls
	work.Failures += failures
	work.TotalNanos += calls * uint64(latency)
	work.InFlight = inFlight
	work.LatencyHistogram[LatencyBucket(latency)] += uint32(calls - failures)
}

// reconcile runs one round of the controller and writes its steps.
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
	steps, err := h.controller.Reconcile(h.now, h.compiled(), h.state, FleetObservation{
		Counts:            []*schema.SourceCounts{source},
		ReportingFraction: 1,
		Workers:           h.workers,
		KnownFor:          func(sequence uint64) time.Duration { return h.now - h.firstSeenAt[sequence] },
	})
	if err != nil {
		h.t.Fatalf("Reconcile() at %v: %v", h.now, err)
	}
	for _, step := range steps {
		h.write(step.Items...)
	}
}

// runFor advances the time in rounds, with rate calls a second split by the plan's percentage. newOutcome returns
// the failures and the latency of the new version's calls in a round. If it is nil, all of them succeed.
func (h *deadlineHarness) runFor(span time.Duration, rate int, newOutcome func() (failures uint64, latency time.Duration)) {
	h.t.Helper()
	const interval = 125 * time.Millisecond
	for end := h.now + span; h.now < end; {
		h.now += interval
		calls := float64(rate) * interval.Seconds()
		fraction, from, to := 0.0, "1", "2"
		if progress := h.progress(); progress.State != "" {
			from, to = progress.PreviousVersion, h.compiled().Releases["shop"].Version
			if inProgress(progress.State) {
				fraction = progress.Percentage / 100
			}
		}
		h.recordCalls(from, uint64(calls*(1-fraction)), 0, 20*time.Millisecond, 0)
		if fresh := uint64(calls * fraction); fresh > 0 {
			failures, latency := uint64(0), 20*time.Millisecond
			if newOutcome != nil {
				failures, latency = newOutcome()
			}
			h.recordCalls(to, fresh, min(fresh, failures), latency, 0)
		}
		h.reconcile()
	}
}

// progress returns the recorded progress of the plan, zero if there is none.
func (h *deadlineHarness) progress() config.Progress {
	if progress := h.compiled().Progress["shop"]; progress != nil {
		return *progress
	}
	return config.Progress{}
}

// orderRollout orders a rollout of a version, writes its step and registers workers of the version.
func (h *deadlineHarness) orderRollout(version string, within time.Duration) {
	h.t.Helper()
	step, err := PlanRollout(h.compiled(), h.state, RolloutOrder{"shop", version, within})
	if err != nil || step == nil {
		h.t.Fatalf("PlanRollout(shop, %q, %v) = %v, %v, want a step", version, within, step, err)
	}
	h.write(step.Items...)
	h.workers[[2]string{"shop", version}] = WorkerPool{Workers: 3, Slots: 54}
}
