package testbed

import (
	"maps"
	"slices"
	"time"
)

// Scenario is a list of faults at fixed times, or a schedule by which random faults are drawn.
type Scenario struct {
	relayEdges           bool            // links between edge machines run through relays too, so that they can be cut
	releasePlans         bool            // all weight is on the old versions at first, and release plans shift it
	delayedDisks         bool            // the disks of stores can be delayed
	random               *randomSchedule // schedule of random faults; nil if steps is used
	disconnectingCallers bool            // some callers disconnect before they get a response
	steps                []scenarioStep  // steps at fixed times, ordered by atFraction; empty if random is used
}

// scenarioStep begins or ends a fault, or submits a change.
type scenarioStep struct {
	atFraction float64                        // time of the step, as a fraction of the load's duration
	name       string                         // name in reports; the key of nonRejecting
	apply      func(*testRun) (target string) // performs the step and returns what it acted on
}

// nonRejecting holds the names of steps that must not cause rejections. After any other step, calls may be rejected
// for a while. A name here that no step has is ignored silently, so a step and its entry must be renamed together. No
// step has the names of the disk and storm entries now. Random faults with such names go by randomFault.mayReject.
var nonRejecting = map[string]bool{
	"worker drained":                           true,
	"worker gone":                              true,
	"address reused by another service":        true,
	"worker of a version no setup lists":       true,
	"core machine killed":                      true,
	"core machine back":                        true,
	"core machine frozen":                      true,
	"core machine thawed":                      true,
	"core machine stopped":                     true,
	"core machine started":                     true,
	"core machine back empty at a new address": true,
	"workers replaced one by one":              true,
	"proxy restarted politely":                 true,
	"proxy back":                               true,
	"proxies back":                             true,
	"mended":                                   true,
	"setup grows by two thousand routes":       true,
	"release plan stated":                      true,
	"release plan cancelled":                   true,
	"routes added":                             true,
	"routes removed":                           true,
	"warm":                                     true,
	"proxy thawed":                             true,
	"a worker warms up slowly":                 true,
	"core split 2-1":                           true,
	"one-way link loss in the core":            true,
	"a good version, to turn bad late":         true,
	"disk slow":                                true,
	"disk stalled":                             true,
	"disk whole":                               true,
	"storm of changes":                         true,
	"storm over":                               true,
}

// Scenarios holds all scenarios by name. It must not be modified.
var Scenarios = map[string]*Scenario{
	"none":     {},
	"standard": {steps: standardSteps},
	"harsh":    {relayEdges: true, steps: harshSteps},
	"rolling":  {steps: rollingRestartSteps},
	"herd":     {steps: massKillSteps},
	"release":  {releasePlans: true, steps: releaseSteps},
	"brake":    {releasePlans: true, steps: rollbackSteps},
	"split":    {releasePlans: true, steps: rollbackDuringPartitionSteps},
	"gone":     {releasePlans: true, steps: rollbackDuringCoreLossSteps},
	"load":     {releasePlans: true, steps: rollbackUnderLoadSteps},
	"long":     {steps: longSteps},
	"random": {
		relayEdges:   true,
		delayedDisks: true,
		random: &randomSchedule{
			meanInterval:  6 * time.Second,
			maxDuration:   12 * time.Second,
			faultFreeTail: 25 * time.Second,
			maxActive:     8,
		},
	},
	"soak": {
		relayEdges:           true,
		delayedDisks:         true,
		disconnectingCallers: true,
		random: &randomSchedule{
			meanInterval:  800 * time.Millisecond,
			maxDuration:   4 * time.Second,
			faultFreeTail: 5 * time.Second,
			maxActive:     3,
		},
	},
}

// ScenarioNames returns the names of all scenarios in alphabetical order.
func ScenarioNames() []string { return slices.Sorted(maps.Keys(Scenarios)) }

// runScenario injects the faults of the scenario and returns at the end of the load's duration.
func (r *testRun) runScenario() {
	duration := r.options.LoadDuration
	if r.scenario.random != nil {
		r.runRandomFaults(r.scenario.random, duration)
		return
	}
	start := r.now()
	for _, step := range r.scenario.steps {
		time.Sleep(time.Duration(step.atFraction*float64(duration)) - (r.now() - start))
		entry := FaultEntry{Name: step.name, At: r.now(), MayReject: !nonRejecting[step.name]}
		entry.Target = step.apply(r)
		appendEntry(r.history, &r.history.Faults, entry)
		r.logf("%6.1f s: %s: %s", entry.At.Seconds(), entry.Name, entry.Target)
	}
	time.Sleep(duration - (r.now() - start))
}

// serviceAt returns the name of the i-th service of the deployment, modulo the number of services.
func (r *testRun) serviceAt(i int) string {
	return r.options.Deployment.Services[i%len(r.options.Deployment.Services)].Name
}

// fractionOfLoad returns a fraction of the load's duration, rounded to seconds.
func (r *testRun) fractionOfLoad(fraction float64) time.Duration {
	return (time.Duration(fraction * float64(r.options.LoadDuration))).Round(time.Second)
}
