package simulator

import (
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// RollbackScenario is a way in which a new version is introduced and does or does not become unhealthy.
type RollbackScenario struct {
	Name        string
	Method      string      // how the version is introduced: one of the constants MethodX
	Percent     float64     // of the calls that the version gets in the end
	Degradation Degradation // From counts from the introduction; the zero value is a healthy version
	FallbackToo bool        // the fallback version is unhealthy in the same way
	TwoServices bool        // the new version of another service is as unhealthy at the same time
	CoreFault   string      // injected when the version becomes unhealthy: one of the constants CoreX, or empty
	Healthy     bool        // the version must not be rolled back
}

// isUnhealthy reports whether the scenario degrades any version.
func (s RollbackScenario) isUnhealthy() bool {
	return s.Degradation.FailureRate != 0 || s.Degradation.ExtraLatency != 0
}

// The faults of the core in a RollbackScenario. The words are part of the scenarios' names.
const (
	CorePartitioned = "split" // each member is partitioned from the others
	CoreDown        = "gone"  // all members and registries crash
)

// How a RollbackScenario introduces a version.
const (
	MethodPlan         = "plan"                     // by a release plan
	MethodWeightedFlag = "hand"                     // by an operator who sets weights in the version flag
	MethodTargetedFlag = "target"                   // by a version flag that targets users
	MethodFinishedPlan = "plan, done and cancelled" // by a release plan that is deleted when it is done

	rollbackCallRate = 150 // calls per second of the whole fleet
	rollbackRunTime  = 60 * time.Second
)

// RollbackScenarios are all scenarios that the rollback guard is tested with.
var RollbackScenarios = append(rollbackScenarios(), rollbackScenariosWithCoreFaults()...)

// rollbackScenarios are the scenarios without a fault of the core.
func rollbackScenarios() []RollbackScenario {
	failing := func(rate float64) Degradation { return Degradation{FailureRate: rate} }
	failingFrom := func(from time.Duration, rate float64) Degradation {
		return Degradation{From: from, FailureRate: rate}
	}
	slow := Degradation{ExtraLatency: 300 * time.Millisecond}
	slowLate := Degradation{From: 30 * time.Second, ExtraLatency: 300 * time.Millisecond}
	onOneRoute := Degradation{FailureRate: 1, Route: "/shop/buy"}
	underLoad := Degradation{FailureRate: 0.5, LoadThreshold: 1}
	const late = 20 * time.Second
	return []RollbackScenario{
		{Name: "good", Method: MethodPlan, Percent: 60, Healthy: true},
		{Name: "a few failures", Method: MethodPlan, Percent: 60, Degradation: failing(0.005), Healthy: true},
		{Name: "one in a hundred fails", Method: MethodWeightedFlag, Percent: 50, Degradation: failing(0.01), Healthy: true},
		{Name: "both fail alike", Method: MethodPlan, Percent: 60, Degradation: failing(0.33), FallbackToo: true, Healthy: true},
		{
			Name:        "both fail alike of late, at 90 %",
			Method:      MethodWeightedFlag,
			Percent:     90,
			Degradation: failingFrom(late, 0.33),
			FallbackToo: true,
			Healthy:     true,
		},
		{Name: "bad from the start", Method: MethodPlan, Percent: 60, Degradation: failing(1)},
		{Name: "bad on one route", Method: MethodPlan, Percent: 60, Degradation: onOneRoute},
		{Name: "bad late, at a high share", Method: MethodPlan, Percent: 60, Degradation: failingFrom(35*time.Second, 1)},
		{Name: "bad under load", Method: MethodPlan, Percent: 60, Degradation: underLoad},
		{Name: "slow", Method: MethodPlan, Percent: 60, Degradation: slow},
		{Name: "a fifth fails", Method: MethodPlan, Percent: 60, Degradation: failing(0.2)},
		{Name: "by hand, bad from the start", Method: MethodWeightedFlag, Percent: 50, Degradation: failing(1)},
		{Name: "by hand at 100 %, bad late", Method: MethodWeightedFlag, Percent: 100, Degradation: failingFrom(late, 1)},
		{Name: "by hand at 100 %, half fails late", Method: MethodWeightedFlag, Percent: 100, Degradation: failingFrom(late, 0.5)},
		{Name: "by hand, a tenth fails late", Method: MethodWeightedFlag, Percent: 50, Degradation: failingFrom(late, 0.1)},
		{Name: "a target's calls, bad", Method: MethodTargetedFlag, Percent: 20, Degradation: failing(1)},
		{
			Name:        "bad after its plan was done and cancelled",
			Method:      MethodFinishedPlan,
			Percent:     60,
			Degradation: failingFrom(40*time.Second, 1),
		},
		{
			Name:        "two services bad at once",
			Method:      MethodWeightedFlag,
			Percent:     50,
			Degradation: failingFrom(late, 1),
			TwoServices: true,
		},
		{Name: "slow late at 100 %", Method: MethodWeightedFlag, Percent: 100, Degradation: slowLate},
	}
}

// rollbackScenariosWithCoreFaults are the scenarios in which the core fails when the version becomes unhealthy.
func rollbackScenariosWithCoreFaults() []RollbackScenario {
	var all []RollbackScenario
	for _, fault := range []string{CorePartitioned, CoreDown} {
		all = append(all,
			RollbackScenario{
				Name:        "bad late, the core " + fault,
				Method:      MethodPlan,
				Percent:     60,
				Degradation: Degradation{From: 35 * time.Second, FailureRate: 1},
				CoreFault:   fault,
			},
			RollbackScenario{
				Name:        "by hand at 100 %, bad late, the core " + fault,
				Method:      MethodWeightedFlag,
				Percent:     100,
				Degradation: Degradation{From: 20 * time.Second, FailureRate: 1},
				CoreFault:   fault,
			},
			RollbackScenario{
				Name:        "by hand, a tenth fails late, the core " + fault,
				Method:      MethodWeightedFlag,
				Percent:     50,
				Degradation: Degradation{From: 20 * time.Second, FailureRate: 0.1},
				CoreFault:   fault,
			},
			RollbackScenario{
				Name:        "two services bad at once, the core " + fault,
				Method:      MethodWeightedFlag,
				Percent:     50,
				Degradation: Degradation{From: 20 * time.Second, FailureRate: 1},
				TwoServices: true,
				CoreFault:   fault,
			})
	}
	return all
}

// RollbackResult is the result of a RollbackScenario.
type RollbackResult struct {
	Scenario RollbackScenario
	// ServiceCalls are the calls of the service since the version was unhealthy, VersionCalls those of them that the
	// version got, FailedCalls those that failed there. Of two services each number is the larger one.
	ServiceCalls, VersionCalls, FailedCalls int
	ExposureTime                            time.Duration // from when the version became unhealthy to its last call
	RolledBack                              bool          // the version was rolled back or stopped
	BlockedCalls                            int           // calls that the version would have got, had it not been blocked
	Violations                              map[string][]string
	State, StopReason                       string // of the last progress or stop seen at a registry
}

// RunRollback introduces a new version, lets it become unhealthy, and returns what the mesh did about it. It must run
// inside a synctest bubble.
func RunRollback(seed uint64, scenario RollbackScenario, seededFault SeededFault, proxies int) RollbackResult {
	w := NewWorld(seed, seededFault, Options{Proxies: proxies, CallRate: rollbackCallRate, NoFaults: true})
	w.bootFleet()
	// The callers use the old version for a while before the new one is introduced.
	w.Run(w.now + 5*time.Second)
	services := []string{"shop"}
	if scenario.TwoServices {
		services = append(services, "saves")
	}
	startedAt := w.now
	for _, service := range services {
		w.introduceVersion(scenario, service)
		if scenario.isUnhealthy() {
			w.degradeIntroduced(scenario, service, startedAt)
		}
	}
	if scenario.CoreFault != "" {
		w.schedule(scenario.Degradation.From, func() { w.failCore(scenario.CoreFault) })
	}
	w.faults = append(w.faults, &faultRecord{name: "a version goes wrong", startedAt: startedAt, mayReject: true})
	w.Run(startedAt + rollbackRunTime)
	result := RollbackResult{Scenario: scenario, BlockedCalls: w.History.BlockedCalls}
	for _, node := range w.registries {
		result.addProgress(node.snapshot, services)
	}
	w.Close()
	w.History.checkAtEnd()
	result.addExposure(w.History.badVersions, startedAt+scenario.Degradation.From)
	if scenario.Healthy && result.RolledBack {
		w.History.recordViolation(ViolationHealthyRolledBack, "%s: %s", scenario.Name, result.StopReason)
	}
	result.Violations = w.History.Violations
	return result
}

// introduceVersion introduces version 2 of a service by the method of a scenario.
func (w *World) introduceVersion(scenario RollbackScenario, service string) {
	switch scenario.Method {
	case MethodWeightedFlag:
		w.submitUntilAccepted(func() {}, weightedFlagItem(service, int(scenario.Percent*1000)))
	case MethodTargetedFlag:
		w.submitUntilAccepted(func() {}, targetedFlagItem(service, int(scenario.Percent*10)))
	default:
		w.submitUntilAccepted(func() {}, releasePlanItem(service, scenario.Percent, 20*time.Second))
	}
	if scenario.Method == MethodFinishedPlan {
		w.schedule(35*time.Second, func() {
			w.submitUntilAccepted(func() {}, &schema.Item{Kind: "release", Name: "to-" + service, Deleted: true})
		})
	}
}

// degradeIntroduced schedules the degradation of a scenario. The history watches the exposure of a version only if
// the version should be rolled back.
func (w *World) degradeIntroduced(scenario RollbackScenario, service string, startedAt time.Duration) {
	degradation := scenario.Degradation
	degradation.From += startedAt
	if !scenario.Healthy {
		w.degradeVersion(service, "2", &degradation)
		return
	}
	w.withLock(func() {
		w.degradations[[2]string{service, "2"}] = &degradation
		if scenario.FallbackToo {
			w.degradations[[2]string{service, "1"}] = &degradation
		}
	})
}

// failCore takes the core away until the end of the run.
func (w *World) failCore(fault string) {
	if fault == CorePartitioned {
		w.partitionCore(func(int, int) bool { return true })
		return
	}
	for _, node := range w.members {
		w.crashMember(node)
	}
	for _, node := range w.registries {
		w.stopProcess(&node.process)
	}
}

// addProgress adds what the configuration of a registry shows of the rollout.
func (r *RollbackResult) addProgress(snapshot *config.Snapshot, services []string) {
	if snapshot == nil {
		return
	}
	for name, progress := range snapshot.Progress {
		r.State = progress.State
		r.StopReason = progress.Reason
		r.RolledBack = r.RolledBack || (progress.State == release.StateRolledBack && name != "")
	}
	for _, service := range services {
		if stop := snapshot.ActiveStop(service, "2"); stop != nil {
			r.RolledBack = true
			r.StopReason = stop.Reason
		}
	}
}

// addExposure adds the calls that bad versions got.
func (r *RollbackResult) addExposure(badVersions []*badVersion, unhealthyFrom time.Duration) {
	for _, bad := range badVersions {
		r.ServiceCalls = max(r.ServiceCalls, bad.serviceCalls)
		r.VersionCalls = max(r.VersionCalls, bad.versionCalls)
		r.FailedCalls = max(r.FailedCalls, bad.failures)
		r.ExposureTime = max(r.ExposureTime, bad.lastCallAt-unhealthyFrom)
	}
}
