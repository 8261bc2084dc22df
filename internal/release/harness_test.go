package release

import (
	"encoding/json"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// fakeStore is a configuration that steps are written to. It fails the test if a step makes it invalid.
type fakeStore struct {
	t        *testing.T
	state    config.State
	sequence uint64
}

// write writes items under the next sequence.
func (s *fakeStore) write(items ...*schema.Item) {
	s.t.Helper()
	s.sequence++
	for _, item := range items {
		item.Version = &schema.Version{Term: 1, Sequence: s.sequence}
	}
	s.state = s.state.With(items)
	if _, faults := config.Compile(s.state, s.sequence); len(faults) > 0 {
		s.t.Fatalf("step %d is refused: %v", s.sequence, faults)
	}
}

func (s *fakeStore) compiled() *config.Snapshot {
	compiled, _ := config.Compile(s.state, s.sequence)
	return compiled
}

func (s *fakeStore) jsonItem(kind, name string, content any) *schema.Item {
	s.t.Helper()
	encoded, err := json.Marshal(content)
	if err != nil {
		s.t.Fatal(err)
	}
	return &schema.Item{Kind: kind, Name: name, Body: encoded}
}

// newFakeStore holds a shop whose versions the operator lists.
func newFakeStore(t *testing.T) *fakeStore {
	t.Helper()
	store := &fakeStore{t: t, state: config.State{}}
	body := []byte(`{"versions":["1","2","3"],"fallback":"1","callers":["client"]}`)
	store.write(&schema.Item{Kind: "service", Name: "shop", Body: body})
	return store
}

// planRollout writes an order of 12 seconds and returns its step, nil if it needs none.
func (s *fakeStore) planRollout(version string) *Step {
	s.t.Helper()
	step, err := PlanRollout(s.compiled(), s.state, RolloutOrder{"shop", version, 12 * time.Second})
	if err != nil {
		s.t.Fatal(err)
	}
	if step != nil {
		s.write(step.Items...)
	}
	return step
}

// deadlineOptions bound the calls of a bad version to a tenth of the plan's, and 50.
var deadlineOptions = func() Options {
	options := Defaults
	options.CanaryPercent, options.MaxBadFraction, options.BadCallsMargin = 8, 0.1, 50
	return options
}()

// deadlineHarness is a fleet of one proxy whose shop has its versions from worker registrations. A test can
// replace the controller, as when another registry takes over.
type deadlineHarness struct {
	*fakeStore
	controller      *Controller
	now             time.Duration
	firstSeenAt     map[uint64]time.Duration        // when the controller's registry learned of each sequence
	appliedRevision uint64                          // by the proxy; 0 for the newest
	workCounts      map[[2]string]*schema.WorkCount // by version and route
	workers         map[[2]string]WorkerPool        // by service and version
}

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

// takeControl gives rollout control to a registry that has just started.
func (h *deadlineHarness) takeControl(memberID string) {
	h.controller = NewController(deadlineOptions, memberID, 500*time.Millisecond)
	h.firstSeenAt = map[uint64]time.Duration{}
}

// recordCalls counts calls that ended at a version's workers, and sets the number of those in flight.
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
		h.t.Fatal(err)
	}
	for _, step := range steps {
		h.write(step.Items...)
	}
}

// runFor advances the time in rounds, with a rate of calls a second split by the plan's percentage. The new
// version's calls of a round end as newOutcome says, or well if it is nil.
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

func (h *deadlineHarness) progress() config.Progress {
	if progress := h.compiled().Progress["shop"]; progress != nil {
		return *progress
	}
	return config.Progress{}
}

// orderRollout writes an order and starts the workers of its version.
func (h *deadlineHarness) orderRollout(version string, within time.Duration) {
	h.t.Helper()
	step, err := PlanRollout(h.compiled(), h.state, RolloutOrder{"shop", version, within})
	if err != nil || step == nil {
		h.t.Fatal(step, err)
	}
	h.write(step.Items...)
	h.workers[[2]string{"shop", version}] = WorkerPool{Workers: 3, Slots: 54}
}
