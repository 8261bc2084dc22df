package simulator

import (
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// RollbackScenario describes how a new version is introduced, whether and how it becomes unhealthy, and what fails
// meanwhile.
type RollbackScenario struct {
	Name        string
	Method      string      // how the version is introduced: one of the Method constants
	Percent     float64     // percentage of the service's calls that the version gets in the end
	Degradation Degradation // From is relative to the introduction; the zero value is a healthy version
	FallbackToo bool        // the fallback version becomes unhealthy in the same way
	TwoServices bool        // the new version of another service becomes unhealthy in the same way at the same time
	CoreFault   string      // fault that is injected when the version becomes unhealthy: CorePartitioned, CoreDown or empty
	Healthy     bool        // the version must not be rolled back
}

// isUnhealthy reports whether the scenario degrades any version.
func (s RollbackScenario) isUnhealthy() bool {
	return s.Degradation.FailureRate != 0 || s.Degradation.ExtraLatency != 0
}

// The faults of the core in a RollbackScenario. Their texts are part of the scenarios' names.
const (
	CorePartitioned = "partitioned" // each member is partitioned from the others
	CoreDown        = "down"        // all members and registries crash
)

// How a RollbackScenario introduces a version.
const (
	MethodPlan         = "release plan"          // an operator submits a release plan
	MethodWeightedFlag = "weighted flag"         // an operator sets weights in the version flag
	MethodTargetedFlag = "targeted flag"         // an operator targets users in the version flag
	MethodFinishedPlan = "finished release plan" // an operator submits a release plan and deletes it when it is done

	rollbackCallRate = 150              // rate of calls of the whole fleet, in calls per second
	rollbackRunTime  = 60 * time.Second // time from the introduction of the version to the end of the run
)

// RollbackScenarios lists the scenarios that the rollback guard is tested with.
var RollbackScenarios = append(rollbackScenarios(), rollbackScenariosWithCoreFaults()...)

// rollbackScenarios returns the scenarios without a fault of the core.
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
		{Name: "healthy", Method: MethodPlan, Percent: 60, Healthy: true},
		{Name: "0.5 % of calls fail", Method: MethodPlan, Percent: 60, Degradation: failing(0.005), Healthy: true},
		{Name: "weighted flag, 1 % of calls fail", Method: MethodWeightedFlag, Percent: 50, Degradation: failing(0.01), Healthy: true},
		{Name: "both versions fail alike", Method: MethodPlan, Percent: 60, Degradation: failing(0.33), FallbackToo: true, Healthy: true},
		{
			Name:        "weighted flag at 90 %, both versions fail alike, late",
			Method:      MethodWeightedFlag,
			Percent:     90,
			Degradation: failingFrom(late, 0.33),
			FallbackToo: true,
			Healthy:     true,
		},
		{Name: "bad from the start", Method: MethodPlan, Percent: 60, Degradation: failing(1)},
		{Name: "bad on one route", Method: MethodPlan, Percent: 60, Degradation: onOneRoute},
		{Name: "bad late, at a high percentage", Method: MethodPlan, Percent: 60, Degradation: failingFrom(35*time.Second, 1)},
		{Name: "bad under load", Method: MethodPlan, Percent: 60, Degradation: underLoad},
		{Name: "slow", Method: MethodPlan, Percent: 60, Degradation: slow},
		{Name: "20 % of calls fail", Method: MethodPlan, Percent: 60, Degradation: failing(0.2)},
		{Name: "weighted flag, bad from the start", Method: MethodWeightedFlag, Percent: 50, Degradation: failing(1)},
		{Name: "weighted flag at 100 %, bad late", Method: MethodWeightedFlag, Percent: 100, Degradation: failingFrom(late, 1)},
		{Name: "weighted flag at 100 %, half of the calls fail late", Method: MethodWeightedFlag, Percent: 100, Degradation: failingFrom(late, 0.5)},
		{Name: "weighted flag, 10 % of calls fail late", Method: MethodWeightedFlag, Percent: 50, Degradation: failingFrom(late, 0.1)},
		{Name: "targeted flag, bad from the start", Method: MethodTargetedFlag, Percent: 20, Degradation: failing(1)},
		{
			Name:        "bad after its plan was done and deleted",
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
		{Name: "weighted flag at 100 %, slow late", Method: MethodWeightedFlag, Percent: 100, Degradation: slowLate},
	}
}

// rollbackScenariosWithCoreFaults returns the scenarios in which the core fails when the version becomes unhealthy.
func rollbackScenariosWithCoreFaults() []RollbackScenario {
	var all []RollbackScenario
	for _, fault := range []string{CorePartitioned, CoreDown} {
		all = append(all,
			RollbackScenario{
				Name:        "bad late, core " + fault,
				Method:      MethodPlan,
				Percent:     60,
				Degradation: Degradation{From: 35 * time.Second, FailureRate: 1},
				CoreFault:   fault,
			},
			RollbackScenario{
				Name:        "weighted flag at 100 %, bad late, core " + fault,
				Method:      MethodWeightedFlag,
				Percent:     100,
				Degradation: Degradation{From: 20 * time.Second, FailureRate: 1},
				CoreFault:   fault,
			},
			RollbackScenario{
				Name:        "weighted flag, 10 % of calls fail late, core " + fault,
				Method:      MethodWeightedFlag,
				Percent:     50,
				Degradation: Degradation{From: 20 * time.Second, FailureRate: 0.1},
				CoreFault:   fault,
			},
			RollbackScenario{
				Name:        "two services bad at once, core " + fault,
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
	// ServiceCalls is the number of calls that the service got while the version was unhealthy. VersionCalls counts those
	// of them that the version got. FailedCalls counts those of VersionCalls that failed or took longer than
	// slowServiceTime. With two services each number is the larger one. All are 0 for a healthy scenario.
	ServiceCalls, VersionCalls, FailedCalls int
	ExposureTime                            time.Duration       // time from the start of the degradation to the last call
	RolledBack                              bool                // the version was rolled back or stopped
	BlockedCalls                            int                 // attempts whose version was blocked; they got another
	Violations                              map[string][]string // descriptions by kind of violation
	// State is the state of a rollout. StopReason is the reason of the rollout or of its stop. Empty is none.
	State, StopReason string
}

// RunRollback runs one seed of a RollbackScenario with a number of proxies. It introduces a new version, lets it
// become unhealthy, and returns what the mesh did. It must run inside a synctest bubble.
func RunRollback(seed uint64, scenario RollbackScenario, seededFault SeededFault, proxies int) RollbackResult {
	w := NewWorld(seed, seededFault, Options{Proxies: proxies, CallRate: rollbackCallRate, NoFaults: true})
	w.bootFleet()
	// The old version gets all calls for a while before the new one is introduced.
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
	w.faults = append(w.faults, &faultRecord{name: "a version becomes unhealthy", startedAt: startedAt, mayReject: true})
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

// degradeIntroduced schedules the degradation of a scenario for version 2 of a service. The history checks the
// exposure of the version only if the version must be rolled back.
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

// failCore makes the core fail until the end of the run, by one of CorePartitioned and CoreDown.
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

// addProgress adds the progress and the stops of rollouts in the configuration of a registry. A nil snapshot has none.
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

// addExposure adds the calls that bad versions got, as the largest number of any.
func (r *RollbackResult) addExposure(badVersions []*badVersion, unhealthyFrom time.Duration) {
	for _, bad := range badVersions {
		r.ServiceCalls = max(r.ServiceCalls, bad.serviceCalls)
		r.VersionCalls = max(r.VersionCalls, bad.versionCalls)
		r.FailedCalls = max(r.FailedCalls, bad.failures)
		r.ExposureTime = max(r.ExposureTime, bad.lastCallAt-unhealthyFrom)
	}
}
