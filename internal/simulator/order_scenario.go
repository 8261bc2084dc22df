package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// OrderScenario is a rollout order for version 2 of "shop", with how that version behaves and what fails meanwhile.
type OrderScenario struct {
	Name        string
	Degradation Degradation // From counts from the start of the version's workers; the zero value is a healthy version
	// OldVersionToo degrades the old version in the same way, HalfOfWorkers only half of the new version's workers.
	// Neither says anything about the new version.
	OldVersionToo, HalfOfWorkers bool
	CallRate                     float64       // calls per second of the whole fleet; seven in ten go to the service
	ServiceTime                  time.Duration // mean time of a call at a worker
	Workers                      int           // of each version
	RolloutDuration              time.Duration // within which the rollout is ordered to be done
	CoreFault                    string        // what hits the host of the rollout controller: CoreHostX, or empty
	KillProxies                  bool          // half of the proxies crash at once
}

// The faults of a core host in an OrderScenario.
const (
	CoreHostKilled      = "killed"
	CoreHostPartitioned = "cut"
)

// IsHealthy reports whether the ordered version must not be rolled back.
func (s OrderScenario) IsHealthy() bool {
	return s.Degradation.FailureRate == 0 || s.OldVersionToo || s.HalfOfWorkers
}

// faultAfter draws when faults are injected, counted from the order. They come when they hurt most: at the end of the
// canary of a healthy version, or when a bad version becomes unhealthy.
func (s OrderScenario) faultAfter(w *World) time.Duration {
	after := time.Duration(float64(s.RolloutDuration)*release.Defaults.CanaryEndFraction) + w.randomDuration(1500*time.Millisecond)
	if !s.IsHealthy() {
		after = orderWorkerDelay + s.Degradation.From + w.randomDuration(1500*time.Millisecond)
	}
	return after
}

// Bounds of the exposure to a bad version, and timing of an OrderScenario.
const (
	orderCanaryPercent = 8                       // percent of the calls in canary at most
	orderBadFraction   = 0.1                     // fraction of the service's calls that a bad version may get
	orderBadMargin     = 50                      // calls that it may get in addition
	orderFailureExcess = 0.06                    // failure rate above the old version's that any version may have
	orderMaxFailures   = 400                     // failures in canary that the proxies of the fleet together allow a version
	orderFailureLimit  = 50                      // failures after which a bad version must be rolled back
	orderRollbackBound = 5 * time.Second         // after the failure limit, without another call
	orderWorkerDelay   = 1300 * time.Millisecond // from the order to the start of the version's workers
	orderWatchTime     = 8 * time.Second         // watched beyond the deadline
	orderCoreDowntime  = 3 * time.Second         // of a killed core host
	orderPartitionTime = 4800 * time.Millisecond // of a partitioned core host
	orderFaultDuration = 5 * time.Second         // of a degradation that is not the version's
)

// OrderResult is the result of an OrderScenario. Calls are counted from the order to the deadline of the rollout.
type OrderResult struct {
	State                      string        // final state of the rollout, done or rolled back; empty for neither
	ReachedAfter               time.Duration // from the order to that state
	VersionCalls, ServiceCalls int           // calls that workers of the version, and of the service, got
	BadCalls                   int           // failed calls of the version, also after the deadline
	HasLateCall                bool          // the version got a call after orderRollbackBound
	LostCalls                  int           // calls in flight at the old version when its workers ended
	Violations                 map[string][]string
}

// Exposed reports whether a bad version got more calls than it may.
func (r OrderResult) Exposed(s OrderScenario) bool {
	limit := orderBadFraction*float64(r.ServiceCalls) + orderBadMargin
	return !s.IsHealthy() && (r.HasLateCall || float64(r.VersionCalls) > limit)
}

// orderRun is the state of a running OrderScenario.
type orderRun struct {
	*World
	scenario  OrderScenario
	orderedAt time.Duration // when the order was accepted, 0 before
	deadline  time.Duration // of the rollout
	result    OrderResult   // World.lock guards what countCall writes

	failureLimitAt time.Duration // of the failure that reached orderFailureLimit, 0 before; World.lock guards it
}

// RunOrder orders the rollout of a version and returns what the mesh did. It must run inside a synctest bubble.
func RunOrder(seed uint64, scenario OrderScenario) OrderResult {
	run := &orderRun{
		World: NewWorld(seed, SeededNone, Options{
			Proxies:         14,
			CallRate:        scenario.CallRate,
			NoFaults:        true,
			ServeStale:      true,
			BoundExposure:   true,
			MeanServiceTime: scenario.ServiceTime,
			ErrorRate:       0.004,
		}),
		scenario: scenario,
	}
	run.bootFleet()
	run.prepareFleet()
	run.order()
	run.schedule(scenario.faultAfter(run.World), func() { run.injectScenarioFault(scenario) })
	for run.now < run.deadline+orderWatchTime {
		run.Run(run.now + 50*time.Millisecond)
		if !isFinal(run.result.State) {
			run.observeState()
		}
	}
	run.Close()
	run.History.checkAtEnd()
	run.result.Violations = run.History.Violations
	return run.result
}

// prepareFleet replaces the workers of version 2 by those of the scenario's old version, and lets the service's workers
// decide which versions there are.
func (run *orderRun) prepareFleet() {
	for _, worker := range run.activeWorkers() {
		if worker.service == "shop" && worker.version == "2" {
			run.killWorker(worker)
		}
	}
	run.startWorkers("1")
	run.faults = append(run.faults, &faultRecord{name: "a version is ordered", startedAt: run.now, mayReject: true})
	run.submitUntilAccepted(func() {}, unlistedServiceItem(), &schema.Item{Kind: "flag", Name: "release.shop", Deleted: true})
	run.Run(run.now + 4*time.Second)
}

// startWorkers starts the scenario's workers of a version, spread over the proxies.
func (run *orderRun) startWorkers(version string) {
	for i := range run.scenario.Workers {
		index := (i*3 + len(version) + int(version[0])) % len(run.proxies)
		run.startWorker(run.proxies[index], "shop", version, "")
	}
}

// order places the order, waits until it is accepted, and schedules the version's workers and their degradation.
func (run *orderRun) order() {
	order := release.RolloutOrder{Service: "shop", Version: "2", Within: run.scenario.RolloutDuration}
	run.submitRolloutOrder(order, func() { run.orderedAt = run.now })
	for run.orderedAt == 0 {
		run.Run(run.now + 50*time.Millisecond)
	}
	run.schedule(orderWorkerDelay, func() { run.startWorkers("2") })
	if run.scenario.Degradation.FailureRate > 0 {
		run.degradeForScenario(run.scenario, run.orderedAt+orderWorkerDelay)
	}
	run.deadline = run.orderedAt + run.scenario.RolloutDuration
	run.withLock(func() { run.onWorkerCall = run.countCall })
}

// countCall counts a call that a worker begins. The caller holds World.lock.
func (run *orderRun) countCall(worker *workerNode, bad bool) {
	now := run.time()
	if worker.service != "shop" || now < run.orderedAt {
		return
	}
	inTime := now < run.deadline
	if inTime {
		run.result.ServiceCalls++
	}
	if worker.version != "2" {
		return
	}
	if inTime {
		run.result.VersionCalls++
	}
	if run.failureLimitAt > 0 && now > run.failureLimitAt+orderRollbackBound {
		run.result.HasLateCall = true
	}
	if bad {
		if run.result.BadCalls++; run.result.BadCalls == orderFailureLimit {
			run.failureLimitAt = now
		}
	}
}

// isFinal reports whether a rollout in a state goes no further.
func isFinal(state string) bool {
	return state == release.StateDone || state == release.StateRolledBack
}

// observeState looks for the final state of the rollout at the registries. When the rollout is done, the old version's
// workers end at once.
func (run *orderRun) observeState() {
	for _, node := range run.registries {
		if !node.up || node.snapshot == nil {
			continue
		}
		if _, state := release.RolloutState(node.snapshot, "shop"); isFinal(state) {
			run.result.State = state
			run.result.ReachedAfter = run.now - run.orderedAt
		}
	}
	if run.result.State != release.StateDone {
		return
	}
	run.result.LostCalls = run.History.inFlight[versionKey{"shop", "1"}]
	for _, worker := range run.activeWorkers() {
		if worker.service == "shop" && worker.version == "1" {
			run.killWorker(worker)
		}
	}
}

// submitRolloutOrder submits an order at random registries until it is accepted.
func (w *World) submitRolloutOrder(order release.RolloutOrder, onAccepted func()) {
	accepted := false
	w.retryEvery(300*time.Millisecond, func() bool {
		if accepted {
			return true
		}
		node := w.registries[w.randomInt(len(w.registries))]
		if node.snapshot == nil {
			return false
		}
		step, err := release.PlanRollout(node.snapshot, node.state, order)
		if err != nil || step == nil {
			return false // the registry does not know the service yet
		}
		node.stepsSubmitted++
		change := step.Change(node.name+"-order", node.incarnation, node.stepsSubmitted, node.state)
		w.submitChange(node, change, func(ruling schema.Ruling, _ uint64) {
			if ruling == schema.Ruling_RULING_ACCEPTED && !accepted {
				accepted = true
				onAccepted()
			}
		})
		return false
	})
}

// degradeForScenario degrades the versions or workers that a scenario names.
func (w *World) degradeForScenario(scenario OrderScenario, startsAt time.Duration) {
	degradation := scenario.Degradation
	degradation.From += startsAt
	if scenario.OldVersionToo || scenario.HalfOfWorkers {
		// A degradation that is not the new version's fault is temporary.
		degradation.Until = degradation.From + orderFaultDuration
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if !scenario.HalfOfWorkers {
		w.degradations[[2]string{"shop", "2"}] = &degradation
	}
	if scenario.OldVersionToo {
		w.degradations[[2]string{"shop", "1"}] = &degradation
	}
	if scenario.HalfOfWorkers {
		w.halfDegradation = &degradation
	}
}

// injectScenarioFault hits the first core host, which the rollout controller runs on while it is up, or the proxies.
func (w *World) injectScenarioFault(scenario OrderScenario) {
	switch scenario.CoreFault {
	case CoreHostKilled:
		w.crashCoreHost(0)
		w.schedule(orderCoreDowntime, func() { w.startCoreHost(0) })
	case CoreHostPartitioned:
		w.schedule(orderPartitionTime, w.partitionCore(func(i, j int) bool { return i == 0 || j == 0 }))
	}
	if scenario.KillProxies {
		w.schedule(1100*time.Millisecond, w.killProxies(w.drawHalfOfProxies()))
	}
}

// OrderScenarios are all scenarios that orders are tested with: each behavior under each load.
var OrderScenarios = func() []OrderScenario {
	var all []OrderScenario
	for _, load := range orderLoads {
		for _, scenario := range orderBehaviors() {
			all = append(all, scenario.withLoad(load))
		}
	}
	return all
}()

// orderLoad is a load under which a rollout is ordered.
type orderLoad struct {
	callRate        float64 // calls per second of the whole fleet
	serviceTime     time.Duration
	workers         int // of each version
	rolloutDuration time.Duration
}

var orderLoads = []orderLoad{
	{143, 60 * time.Millisecond, 3, 12 * time.Second},
	{320, 120 * time.Millisecond, 5, 16 * time.Second},
	{660, 60 * time.Millisecond, 5, 14 * time.Second},
}

// relativeLoadThreshold stands for a Degradation.LoadThreshold that withLoad computes.
const relativeLoadThreshold = -1

// withLoad returns a scenario under a load.
func (s OrderScenario) withLoad(load orderLoad) OrderScenario {
	s.CallRate = load.callRate
	s.ServiceTime = load.serviceTime
	s.Workers = load.workers
	s.RolloutDuration = load.rolloutDuration
	if s.Degradation.LoadThreshold == relativeLoadThreshold {
		// Half of the calls in flight at the version when it gets all calls of the service.
		s.Degradation.LoadThreshold = int(0.35 * load.callRate * load.serviceTime.Seconds())
	}
	s.Name = fmt.Sprintf("%s, %.0f a second, over %v", s.Name, 0.7*load.callRate, load.rolloutDuration)
	return s
}

// orderBehaviors are the scenarios without a load: bad versions first, then healthy ones.
func orderBehaviors() []OrderScenario {
	failing := Degradation{FailureRate: 0.35}
	failingLate := Degradation{FailureRate: 0.35, From: 3 * time.Second}
	fewFailures := Degradation{FailureRate: 0.05, From: 3 * time.Second}
	return []OrderScenario{
		{Name: "errors", Degradation: failing},
		{Name: "slow", Degradation: Degradation{FailureRate: 0.35, SlowdownFactor: 8}},
		{Name: "late", Degradation: failingLate},
		{Name: "one route", Degradation: Degradation{FailureRate: 0.45, Route: "/shop/buy"}},
		{Name: "under load", Degradation: Degradation{FailureRate: 0.35, LoadThreshold: relativeLoadThreshold}},
		{Name: "errors, duty killed", Degradation: failing, CoreFault: CoreHostKilled},
		{Name: "errors, duty cut off", Degradation: failing, CoreFault: CoreHostPartitioned},
		{Name: "late, herd killed", Degradation: failingLate, KillProxies: true},
		{Name: "good"},
		{Name: "good, 5 % lost at all workers", Degradation: fewFailures, OldVersionToo: true},
		{Name: "good, 5 % lost at half of the new", Degradation: fewFailures, HalfOfWorkers: true},
		{Name: "good, duty killed", CoreFault: CoreHostKilled},
		{Name: "good, duty cut off", CoreFault: CoreHostPartitioned},
		{Name: "good, herd killed", KillProxies: true},
	}
}
