package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// OrderScenario is a way in which a version that is ordered goes, and what troubles the mesh meanwhile.
type OrderScenario struct {
	Name        string
	Degradation Degradation // From counts from when the version's workers start; unset for a sound one
	// OldVersionToo hits the old version in the same way, Half only every other worker of the new one: these
	// are troubles that say nothing of a version.
	OldVersionToo, HalfOfWorkers bool
	CallRate                     float64       // calls a second of the whole fleet; seven in ten are the service's
	ServiceTime                  time.Duration // that a call takes
	Workers                      int           // of either version
	RolloutDuration              time.Duration
	CoreFault                    string // what befalls the core machine with the duty: "killed" or "cut"
	KillProxies                  bool   // half of the proxies are killed at once
}

// IsHealthy tells whether the version is sound.
func (k OrderScenario) IsHealthy() bool {
	return k.Degradation.FailureRate == 0 || k.OldVersionToo || k.HalfOfWorkers
}

// Bounds of what a bad version may get.
const (
	orderCanaryPercent = 8 // percent on trial at the most
	orderBadShare      = 0.1
	orderBadMargin     = 50
	orderFailureExcess = 0.06 // of failures that any version may have
	orderMaxFailures   = 400
	orderRollbackBound = 5 * time.Second
	orderFailureLimit  = 50
	orderWorkerDelay   = 1300 * time.Millisecond // the version's workers come so long after the order
	orderWatchTime     = 8 * time.Second         // what is watched beyond the term
	orderCoreDowntime  = 3 * time.Second         // that a core machine is away
	orderPartitionTime = 4800 * time.Millisecond
	orderFaultDuration = 5 * time.Second
)

// OrderResult is what came of an order.
type OrderResult struct {
	State                      string        // of the plan when its term was over
	ReachedAfter               time.Duration // when it came to that
	VersionCalls, ServiceCalls int           // calls that reached the version, and the service, until the term
	BadCalls                   int           // of its calls that ended badly
	HasLateCall                bool          // it got a call later after its fiftieth bad one than may be
	LostCalls                  int           // calls under way at the old version when its workers ended
	Breaches                   map[string][]string
}

// Exposed tells whether a bad version got more than it may.
func (r OrderResult) Exposed(k OrderScenario) bool {
	return !k.IsHealthy() && (r.HasLateCall || float64(r.VersionCalls) > orderBadShare*float64(r.ServiceCalls)+orderBadMargin)
}

// RunOrder orders a version and tells what came of it. It must run inside a bubble.
func RunOrder(seed uint64, scenario OrderScenario) OrderResult {
	w := NewWorld(seed, SeededNone, Options{
		Proxies:         14,
		CallRate:        scenario.CallRate,
		NoFaults:        true,
		ServeStale:      true,
		BoundExposure:   true,
		MeanServiceTime: scenario.ServiceTime,
		ErrorRate:       0.004,
	})
	w.bootFleet()
	// The service leaves its versions out; what its workers tell stands.
	for _, worker := range w.activeWorkers() {
		if worker.service == "shop" && worker.version == "2" {
			w.killWorker(worker)
		}
	}
	startWorkers := func(version string) {
		for i := range scenario.Workers {
			w.startWorker(w.proxies[(i*3+len(version)+int(version[0]))%len(w.proxies)], "shop", version, "")
		}
	}
	startWorkers("1")
	w.faults = append(w.faults, &faultRecord{name: "a version is ordered", startedAt: w.now, mayReject: true})
	w.submitUntilAccepted(func() {}, &schema.Item{Kind: "service", Name: "shop", Body: []byte(`{"callers":["client","saves"]}`)},
		&schema.Item{Kind: "flag", Name: "release.shop", Deleted: true})
	w.Run(w.now + 4*time.Second)

	result, orderedAt := OrderResult{}, time.Duration(0)
	w.placeOrder(release.RolloutOrder{
		Service: "shop",
		Version: "2",
		Within:  scenario.RolloutDuration,
	}, func() { orderedAt = w.now })
	for orderedAt == 0 {
		w.Run(w.now + 50*time.Millisecond)
	}
	w.schedule(orderWorkerDelay, func() { startWorkers("2") })
	if scenario.Degradation.FailureRate > 0 {
		w.degradeForScenario(scenario, orderedAt+orderWorkerDelay)
	}
	deadline, failureLimitAt := orderedAt+scenario.RolloutDuration, time.Duration(0)
	w.withLock(func() {
		w.onWorkerCall = func(worker *workerNode, bad bool) {
			now := w.time()
			if worker.service != "shop" || now < orderedAt {
				return
			}
			if now < deadline {
				result.ServiceCalls++
			}
			if worker.version != "2" {
				return
			}
			if now < deadline {
				result.VersionCalls++
			}
			result.HasLateCall = result.HasLateCall || failureLimitAt > 0 && now > failureLimitAt+orderRollbackBound
			if bad {
				if result.BadCalls++; result.BadCalls == orderFailureLimit {
					failureLimitAt = now
				}
			}
		}
	})
	// Trouble comes when it hurts most: while the version leaves its trial.
	faultAfter := time.Duration(float64(scenario.RolloutDuration)*release.Defaults.CanaryEndFraction) + w.randomDuration(1500*time.Millisecond)
	if !scenario.IsHealthy() {
		faultAfter = orderWorkerDelay + scenario.Degradation.From + w.randomDuration(1500*time.Millisecond)
	}
	w.schedule(faultAfter, func() { w.injectScenarioFault(scenario) })
	for w.now < deadline+orderWatchTime {
		w.Run(w.now + 50*time.Millisecond)
		if result.State != release.StateDone && result.State != release.StateRolledBack {
			for _, node := range w.registries {
				if !node.up || node.snapshot == nil {
					continue
				}
				if _, state := release.RolloutState(node.snapshot, "shop"); state == release.StateDone || state == release.StateRolledBack {
					result.State, result.ReachedAfter = state, w.now-orderedAt
				}
			}
			// The old workers end at once.
			if result.State == release.StateDone {
				result.LostCalls = w.History.inFlight["shop1"]
				for _, worker := range w.activeWorkers() {
					if worker.service == "shop" && worker.version == "1" {
						w.killWorker(worker)
					}
				}
			}
		}
	}
	w.Close()
	w.History.checkAtEnd()
	result.Breaches = w.History.Breaches
	return result
}

// placeOrder states an order at some registry until it is taken.
func (w *World) placeOrder(order release.RolloutOrder, onPlaced func()) {
	placed := false
	var attempt func()
	attempt = func() {
		if placed {
			return
		}
		node := w.registries[w.randomInt(len(w.registries))]
		if node.snapshot != nil {
			if step, err := release.PlanRollout(node.snapshot, node.state, order); err == nil && step != nil {
				node.stepsSubmitted++
				w.submitChange(node, step.Change(node.name+"-order", node.incarnation, node.stepsSubmitted, node.state), func(ruling schema.Ruling, _ uint64) {
					if ruling == schema.Ruling_RULING_ACCEPTED && !placed {
						placed = true
						onPlaced()
					}
				})
			}
		}
		w.schedule(300*time.Millisecond, attempt)
	}
	attempt()
}

// degradeForScenario lets versions or workers go wrong as the kind says.
func (w *World) degradeForScenario(scenario OrderScenario, startsAt time.Duration) {
	degradation := scenario.Degradation
	degradation.From += startsAt
	if scenario.OldVersionToo || scenario.HalfOfWorkers {
		// Troubles that come to any workers last for a while only.
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

// injectScenarioFault troubles the core machine that has the duty, or the proxies.
func (w *World) injectScenarioFault(scenario OrderScenario) {
	switch scenario.CoreFault {
	case "killed":
		w.crashMember(w.members[0])
		w.stopProcess(&w.registries[0].process)
		w.schedule(orderCoreDowntime, func() { w.startMember(w.members[0]); w.startRegistry(w.registries[0]) })
	case "cut":
		w.schedule(orderPartitionTime, w.partitionCore(func(i, j int) bool { return i == 0 || j == 0 }))
	}
	if scenario.KillProxies {
		var killed []*proxyNode
		for _, node := range w.proxies {
			if w.randomInt(2) == 0 {
				killed = append(killed, node)
			}
		}
		w.schedule(1100*time.Millisecond, w.killProxies(killed))
	}
}

// OrderScenarios are all that orders are tried with.
var OrderScenarios = func() []OrderScenario {
	bad := []OrderScenario{
		{Name: "errors", Degradation: Degradation{FailureRate: 0.35}},
		{Name: "slow", Degradation: Degradation{FailureRate: 0.35, SlowdownFactor: 8}},
		{Name: "late", Degradation: Degradation{FailureRate: 0.35, From: 3 * time.Second}},
		{Name: "one route", Degradation: Degradation{FailureRate: 0.45, Route: "/shop/buy"}},
		{Name: "under load", Degradation: Degradation{FailureRate: 0.35, LoadThreshold: -1}},
		{Name: "errors, duty killed", Degradation: Degradation{FailureRate: 0.35}, CoreFault: "killed"},
		{Name: "errors, duty cut off", Degradation: Degradation{FailureRate: 0.35}, CoreFault: "cut"},
		{Name: "late, herd killed", Degradation: Degradation{FailureRate: 0.35, From: 3 * time.Second}, KillProxies: true},
	}
	good := []OrderScenario{
		{Name: "good"},
		{
			Name:          "good, 5 % lost at all workers",
			Degradation:   Degradation{FailureRate: 0.05, From: 3 * time.Second},
			OldVersionToo: true,
		},
		{
			Name:          "good, 5 % lost at half of the new",
			Degradation:   Degradation{FailureRate: 0.05, From: 3 * time.Second},
			HalfOfWorkers: true,
		},
		{Name: "good, duty killed", CoreFault: "killed"},
		{Name: "good, duty cut off", CoreFault: "cut"},
		{Name: "good, herd killed", KillProxies: true},
	}
	var all []OrderScenario
	for _, load := range []struct {
		rate    float64
		work    time.Duration
		workers int
		over    time.Duration
	}{{143, 60 * time.Millisecond, 3, 12 * time.Second}, {320, 120 * time.Millisecond, 5, 16 * time.Second}, {660, 60 * time.Millisecond, 5, 14 * time.Second}} {
		for _, one := range append(append([]OrderScenario{}, bad...), good...) {
			one.CallRate = load.rate
			one.ServiceTime = load.work
			one.Workers = load.workers
			one.RolloutDuration = load.over
			if one.Degradation.LoadThreshold < 0 {
				// Half of what is under way with all calls.
				one.Degradation.LoadThreshold = int(0.35 * load.rate * load.work.Seconds())
			}
			one.Name = fmt.Sprintf("%s, %.0f a second, over %v", one.Name, 0.7*load.rate, load.over)
			all = append(all, one)
		}
	}
	return all
}()
