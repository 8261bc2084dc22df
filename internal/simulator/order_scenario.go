package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// OrderScenario describes a rollout order for version 2 of the service "shop": how the versions behave, the load, and
// the faults during the rollout.
type OrderScenario struct {
	Name        string
	Degradation Degradation // From is relative to the start of the version's workers; the zero value is a healthy version
	// OldVersionToo applies the degradation to the old version as well. HalfOfWorkers applies it to only half of the new
	// version's workers. Neither is evidence against the new version.
	OldVersionToo, HalfOfWorkers bool
	CallRate                     float64       // calls per second of the whole fleet; 70 % of them go to the service
	ServiceTime                  time.Duration // mean service time of a call at a worker
	Workers                      int           // number of workers that the scenario starts of each version
	RolloutDuration              time.Duration // duration within which the rollout is ordered to be done
	CoreFault                    string        // fault at the controller: CoreHostKilled, CoreHostPartitioned or empty
	KillProxies                  bool          // about half of the proxies crash at once
}

// The faults of a core host in an OrderScenario.
const (
	CoreHostKilled      = "killed"      // the host crashes
	CoreHostPartitioned = "partitioned" // the host is cut off from the other core hosts
)

// IsHealthy reports whether the ordered version is healthy: the rollout must be done, not rolled back.
func (s OrderScenario) IsHealthy() bool {
	return s.Degradation.FailureRate == 0 || s.OldVersionToo || s.HalfOfWorkers
}

// faultAfter draws the delay from the order to the injection of faults. They are injected when they do the most harm:
// up to 1.5 s after the end of the canary of a healthy version, or after a bad version becomes unhealthy.
func (s OrderScenario) faultAfter(w *World) time.Duration {
	after := time.Duration(float64(s.RolloutDuration)*release.Defaults.CanaryEndFraction) + w.randomDuration(1500*time.Millisecond)
	if !s.IsHealthy() {
		after = orderWorkerDelay + s.Degradation.From + w.randomDuration(1500*time.Millisecond)
	}
	return after
}

// Bounds of the exposure to a bad version, and durations of an OrderScenario.
const (
	orderCanaryPercent = 8                       // largest percentage of the service's calls in canary
	orderBadFraction   = 0.1                     // fraction of the service's calls that a bad version may get
	orderBadMargin     = 50                      // number of calls that a bad version may get beyond this fraction
	orderFailureExcess = 0.06                    // failure rate allowed beyond FailureRateMultiple of the old version's
	orderMaxFailures   = 400                     // failures in canary that the fleet allows a version
	orderFailureLimit  = 50                      // failures after which a bad version must be rolled back
	orderRollbackBound = 5 * time.Second         // time after the failure limit from which the version must get no call
	orderWorkerDelay   = 1300 * time.Millisecond // time from the order to the start of the version's workers
	orderWatchTime     = 8 * time.Second         // how long the run goes on after the deadline
	orderCoreDowntime  = 3 * time.Second         // downtime of a killed core host
	orderPartitionTime = 4800 * time.Millisecond // duration of the partition of a core host
	orderFaultDuration = 5 * time.Second         // duration of a degradation that is not the new version's fault
)

// OrderResult is the result of an OrderScenario. Unless noted otherwise, calls are counted from the order to the
// deadline of the rollout.
type OrderResult struct {
	State                      string              // release.StateDone or release.StateRolledBack; empty for neither
	ReachedAfter               time.Duration       // time from the order to the final state; 0 for neither
	VersionCalls, ServiceCalls int                 // calls to workers of the new version, and of the service
	BadCalls                   int                 // failed calls to the new version, including those after the deadline
	HasLateCall                bool                // the new version got a call after orderRollbackBound had passed
	LostCalls                  int                 // calls that were in flight at the old version when its workers ended
	Violations                 map[string][]string // descriptions by kind of violation
}

// Exposed reports whether the version of a scenario is bad and got more calls, or later ones, than a bad version may.
func (r OrderResult) Exposed(s OrderScenario) bool {
	limit := orderBadFraction*float64(r.ServiceCalls) + orderBadMargin
	return !s.IsHealthy() && (r.HasLateCall || float64(r.VersionCalls) > limit)
}

// orderRun is the state of a running OrderScenario.
type orderRun struct {
	*World
	scenario  OrderScenario
	orderedAt time.Duration // virtual time at which the order was accepted, 0 before
	deadline  time.Duration // virtual time by which the rollout must be done
	result    OrderResult   // World.lock guards the fields that countCall writes

	failureLimitAt time.Duration // virtual time of failure number orderFailureLimit, 0 before; World.lock guards it
}

// RunOrder runs one seed of an OrderScenario and returns what the mesh did. It must run inside a synctest bubble.
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
	run.placeOrder()
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

// prepareFleet replaces the workers of version 2 of the service by the scenario's workers of the old version. It also
// removes the list of versions and the version flag, so that the registered workers determine which versions exist.
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

// startWorkers starts the scenario's workers of a version, distributed over the proxies.
func (run *orderRun) startWorkers(version string) {
	for i := range run.scenario.Workers {
		index := (i*3 + len(version) + int(version[0])) % len(run.proxies)
		run.startWorker(run.proxies[index], "shop", version, "")
	}
}

// placeOrder submits the rollout order and runs the world until it is accepted. Then it schedules the start of the new
// version's workers and the degradation.
func (run *orderRun) placeOrder() {
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

// countCall counts a call that a worker begins. fails tells whether the call fails. The caller holds World.lock.
func (run *orderRun) countCall(worker *workerNode, fails bool) {
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
	if fails {
		if run.result.BadCalls++; run.result.BadCalls == orderFailureLimit {
			run.failureLimitAt = now
		}
	}
}

// isFinal reports whether a state of a rollout is final.
func isFinal(state string) bool {
	return state == release.StateDone || state == release.StateRolledBack
}

// observeState records the final state of the rollout once a registry shows one. When the rollout is done, it ends
// the old version's workers at once.
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

// submitRolloutOrder submits a rollout order at random registries until it is accepted, and then calls onAccepted.
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

// degradeForScenario applies the degradation of a scenario, with From relative to startsAt, to the versions or
// workers that the scenario selects.
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

// injectScenarioFault injects the faults of a scenario. The core host is the first one, because the rollout
// controller runs there while it is up.
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

// OrderScenarios lists the scenarios that rollout orders are tested with: each behavior under each load.
var OrderScenarios = func() []OrderScenario {
	var all []OrderScenario
	for _, load := range orderLoads {
		for _, scenario := range orderBehaviors() {
			all = append(all, scenario.withLoad(load))
		}
	}
	return all
}()

// orderLoad is a load that a rollout is ordered under.
type orderLoad struct {
	callRate        float64       // rate of calls of the whole fleet, in calls per second
	serviceTime     time.Duration // mean service time of a call
	workers         int           // number of workers of each version
	rolloutDuration time.Duration
}

// orderLoads lists the loads of OrderScenarios.
var orderLoads = []orderLoad{
	{143, 60 * time.Millisecond, 3, 12 * time.Second},
	{320, 120 * time.Millisecond, 5, 16 * time.Second},
	{660, 60 * time.Millisecond, 5, 14 * time.Second},
}

// relativeLoadThreshold is a placeholder for a Degradation.LoadThreshold that withLoad computes from the load.
const relativeLoadThreshold = -1

// withLoad returns a copy of a scenario with a load, which becomes part of its name.
func (s OrderScenario) withLoad(load orderLoad) OrderScenario {
	s.CallRate = load.callRate
	s.ServiceTime = load.serviceTime
	s.Workers = load.workers
	s.RolloutDuration = load.rolloutDuration
	if s.Degradation.LoadThreshold == relativeLoadThreshold {
		// Half of the mean number of calls in flight at the version when it gets all calls of the service.
		s.Degradation.LoadThreshold = int(0.35 * load.callRate * load.serviceTime.Seconds())
	}
	s.Name = fmt.Sprintf("%s, %.0f calls per second, within %v", s.Name, 0.7*load.callRate, load.rolloutDuration)
	return s
}

// orderBehaviors returns the scenarios without a load: first those of bad versions, then those of healthy ones.
func orderBehaviors() []OrderScenario {
	failing := Degradation{FailureRate: 0.35}
	failingLate := Degradation{FailureRate: 0.35, From: 3 * time.Second}
	fewFailures := Degradation{FailureRate: 0.05, From: 3 * time.Second}
	return []OrderScenario{
		{Name: "errors", Degradation: failing},
		{Name: "slow responses", Degradation: Degradation{FailureRate: 0.35, SlowdownFactor: 8}},
		{Name: "late errors", Degradation: failingLate},
		{Name: "errors on one route", Degradation: Degradation{FailureRate: 0.45, Route: "/shop/buy"}},
		{Name: "errors under load", Degradation: Degradation{FailureRate: 0.35, LoadThreshold: relativeLoadThreshold}},
		{Name: "errors, controller killed", Degradation: failing, CoreFault: CoreHostKilled},
		{Name: "errors, controller partitioned", Degradation: failing, CoreFault: CoreHostPartitioned},
		{Name: "late errors, half of the proxies killed", Degradation: failingLate, KillProxies: true},
		{Name: "healthy"},
		{Name: "healthy, 5 % errors at all workers", Degradation: fewFailures, OldVersionToo: true},
		{Name: "healthy, 5 % errors at half of the new workers", Degradation: fewFailures, HalfOfWorkers: true},
		{Name: "healthy, controller killed", CoreFault: CoreHostKilled},
		{Name: "healthy, controller partitioned", CoreFault: CoreHostPartitioned},
		{Name: "healthy, half of the proxies killed", KillProxies: true},
	}
}
