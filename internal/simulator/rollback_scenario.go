package simulator

import (
	"time"

	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// RollbackScenario is a way in which a new version comes in and goes wrong, or doesn't.
type RollbackScenario struct {
	Name string
	// Method of bringing it in: a plan to a share, or a flag written by hand.
	Method      string
	Percent     float64     // in percent
	Degradation Degradation // From counts from when the version was brought in; unset for a sound one
	FallbackToo bool        // the fallback version is ill in the same way
	TwoServices bool        // another service's new version is as bad at the same time
	CoreFault   string      // "split" or "gone" when it turns ill
	Healthy     bool        // a few failures that must not turn it back
	Passes      bool        // too small a fault to be found within the bound: see docs/limits.md
}

// The ways.
const (
	MethodPlan         = "plan"
	MethodWeightedFlag = "hand"
	MethodTargetedFlag = "target"
	MethodFinishedPlan = "plan, done and cancelled"
	rollbackCallRate   = 150
	rollbackRunTime    = 60 * time.Second
)

// RollbackScenarios are all ways that the brake is tried with.
var RollbackScenarios = func() []RollbackScenario {
	all := []RollbackScenario{
		{Name: "good", Method: MethodPlan, Percent: 60, Healthy: true},
		{Name: "a few failures", Method: MethodPlan, Percent: 60, Degradation: Degradation{FailureRate: 0.005}, Healthy: true},
		{
			Name:        "one in a hundred fails",
			Method:      MethodWeightedFlag,
			Percent:     50,
			Degradation: Degradation{FailureRate: 0.01},
			Healthy:     true,
		},
		{
			Name:        "both fail alike",
			Method:      MethodPlan,
			Percent:     60,
			Degradation: Degradation{FailureRate: 0.33},
			FallbackToo: true,
			Healthy:     true,
		},
		{
			Name:        "both fail alike of late, at 90 %",
			Method:      MethodWeightedFlag,
			Percent:     90,
			Degradation: Degradation{From: 20 * time.Second, FailureRate: 0.33},
			FallbackToo: true,
			Healthy:     true,
		},
		{Name: "bad from the start", Method: MethodPlan, Percent: 60, Degradation: Degradation{FailureRate: 1}},
		{Name: "bad on one route", Method: MethodPlan, Percent: 60, Degradation: Degradation{FailureRate: 1, Route: "/shop/buy"}},
		{
			Name:        "bad late, at a high share",
			Method:      MethodPlan,
			Percent:     60,
			Degradation: Degradation{From: 35 * time.Second, FailureRate: 1},
		},
		{Name: "bad under load", Method: MethodPlan, Percent: 60, Degradation: Degradation{FailureRate: 0.5, LoadThreshold: 1}},
		{Name: "slow", Method: MethodPlan, Percent: 60, Degradation: Degradation{ExtraLatency: 300 * time.Millisecond}},
		{Name: "a fifth fails", Method: MethodPlan, Percent: 60, Degradation: Degradation{FailureRate: 0.2}},
		{Name: "by hand, bad from the start", Method: MethodWeightedFlag, Percent: 50, Degradation: Degradation{FailureRate: 1}},
		{
			Name:        "by hand at 100 %, bad late",
			Method:      MethodWeightedFlag,
			Percent:     100,
			Degradation: Degradation{From: 20 * time.Second, FailureRate: 1},
		},
		{
			Name:        "by hand at 100 %, half fails late",
			Method:      MethodWeightedFlag,
			Percent:     100,
			Degradation: Degradation{From: 20 * time.Second, FailureRate: 0.5},
		},
		{
			Name:        "by hand, a tenth fails late",
			Method:      MethodWeightedFlag,
			Percent:     50,
			Degradation: Degradation{From: 20 * time.Second, FailureRate: 0.1},
		},
		{Name: "a target's calls, bad", Method: MethodTargetedFlag, Percent: 20, Degradation: Degradation{FailureRate: 1}},
		{
			Name:        "bad after its plan was done and cancelled",
			Method:      MethodFinishedPlan,
			Percent:     60,
			Degradation: Degradation{From: 40 * time.Second, FailureRate: 1},
		},
		{
			Name:        "two services bad at once",
			Method:      MethodWeightedFlag,
			Percent:     50,
			Degradation: Degradation{From: 20 * time.Second, FailureRate: 1},
			TwoServices: true,
		},
		{
			Name:        "slow late at 100 %",
			Method:      MethodWeightedFlag,
			Percent:     100,
			Degradation: Degradation{From: 30 * time.Second, ExtraLatency: 300 * time.Millisecond},
		},
	}
	for _, core := range []string{"split", "gone"} {
		all = append(all,
			RollbackScenario{
				Name:        "bad late, the core " + core,
				Method:      MethodPlan,
				Percent:     60,
				Degradation: Degradation{From: 35 * time.Second, FailureRate: 1},
				CoreFault:   core,
			},
			RollbackScenario{
				Name:        "by hand at 100 %, bad late, the core " + core,
				Method:      MethodWeightedFlag,
				Percent:     100,
				Degradation: Degradation{From: 20 * time.Second, FailureRate: 1},
				CoreFault:   core,
			},
			RollbackScenario{
				Name:        "by hand, a tenth fails late, the core " + core,
				Method:      MethodWeightedFlag,
				Percent:     50,
				Degradation: Degradation{From: 20 * time.Second, FailureRate: 0.1},
				CoreFault:   core,
			},
			RollbackScenario{
				Name:        "two services bad at once, the core " + core,
				Method:      MethodWeightedFlag,
				Percent:     50,
				Degradation: Degradation{From: 20 * time.Second, FailureRate: 1},
				TwoServices: true,
				CoreFault:   core,
			})
	}
	return all
}()

// RollbackResult is what came of one kind.
type RollbackResult struct {
	Scenario                                RollbackScenario
	ServiceCalls, VersionCalls, FailedCalls int           // calls of the service since the version was ill, its part, and those of them that failed
	ExposureTime                            time.Duration // from its first call since it was ill to its last
	RolledBack                              bool          // it was turned back or stopped
	BlockedCalls                            int
	Breaches                                map[string][]string
	State, StopReason                       string
}

// RunRollback brings a new version in, in one way, lets it go wrong, and tells what came of it. It
// must run inside a bubble.
func RunRollback(seed uint64, scenario RollbackScenario, seededFault SeededFault, proxies int) RollbackResult {
	w := NewWorld(seed, seededFault, Options{Proxies: proxies, CallRate: rollbackCallRate, NoFaults: true})
	w.bootFleet()
	// Callers know the old version for a while before anything is tried out.
	w.Run(w.now + 5*time.Second)
	services := []string{"shop"}
	if scenario.TwoServices {
		services = append(services, "saves")
	}
	startedAt := w.now
	for _, service := range services {
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
		if scenario.Degradation.FailureRate == 0 && scenario.Degradation.ExtraLatency == 0 {
			continue
		}
		degradation := scenario.Degradation
		degradation.From += startedAt
		if scenario.Healthy {
			w.lock.Lock()
			w.degradations[[2]string{service, "2"}] = &degradation
			if scenario.FallbackToo {
				w.degradations[[2]string{service, "1"}] = &degradation
			}
			w.lock.Unlock()
			continue
		}
		w.degradeVersion(service, "2", &degradation)
	}
	if scenario.CoreFault != "" {
		w.schedule(scenario.Degradation.From, func() {
			if scenario.CoreFault == "split" {
				w.partitionCore(func(int, int) bool { return true })
				return
			}
			for _, node := range w.members {
				w.crashMember(node)
			}
			for _, node := range w.registries {
				w.stopProcess(&node.process)
			}
		})
	}
	w.faults = append(w.faults, &faultRecord{name: "a version goes wrong", startedAt: startedAt, mayReject: true})
	w.Run(startedAt + rollbackRunTime)
	result := RollbackResult{Scenario: scenario, BlockedCalls: w.History.BlockedCalls}
	for _, node := range w.registries {
		if node.snapshot == nil {
			continue
		}
		for name, progress := range node.snapshot.Progress {
			result.State, result.StopReason = progress.State, progress.Reason
			result.RolledBack = result.RolledBack || (progress.State == release.StateRolledBack && name != "")
		}
		for _, service := range services {
			if stop := node.snapshot.ActiveStop(service, "2"); stop != nil {
				result.RolledBack, result.StopReason = true, stop.Reason
			}
		}
	}
	w.Close()
	w.History.checkAtEnd()
	for _, bad := range w.History.badVersions {
		result.ServiceCalls, result.VersionCalls, result.FailedCalls = max(result.ServiceCalls, bad.serviceCalls), max(result.VersionCalls, bad.versionCalls), max(result.FailedCalls, bad.failures)
		result.ExposureTime = max(result.ExposureTime, bad.lastCallAt-startedAt-scenario.Degradation.From)
	}
	if scenario.Healthy && result.RolledBack {
		w.History.recordBreach(RuleHealthyRolledBack, "%s: %s", scenario.Name, result.StopReason)
	}
	result.Breaches = w.History.Breaches
	return result
}
