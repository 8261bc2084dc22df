package testbed

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Scenario is a piece of faults, each at its part of the length of the load.
type Scenario struct {
	relayEdges           bool            // links between edges go through relays too, so that they can be cut
	releasePlans         bool            // flags start with the old version only, and plans move them
	delayedDisks         bool            // stores run on a disk that can be made slow
	random               *randomSchedule // faults are drawn by the seed, at a pace
	disconnectingCallers bool            // some callers leave before they are answered
	steps                []scenarioStep
}

type scenarioStep struct {
	atFraction float64
	name       string
	apply      func(*testRun) (on string)
}

// nonRejecting are the acts that may turn nobody away; after any other somebody may be, for a while.
var nonRejecting = map[string]bool{"worker drained": true, "worker gone": true, "address reused by another service": true, "worker of a version no setup lists": true,
	"core machine killed": true, "core machine back": true, "core machine frozen": true, "core machine thawed": true, "core machine stopped": true, "core machine started": true,
	"core machine back empty at a new address": true, "workers replaced one by one": true, "proxy restarted politely": true, "proxy back": true, "proxies back": true, "mended": true,
	"setup grows by two thousand routes": true, "release plan stated": true, "release plan cancelled": true, "routes added": true, "routes removed": true, "warm": true, "proxy thawed": true, "a worker warms up slowly": true, "core split 2-1": true,
	"one-way link loss in the core": true, "a good version, to turn bad late": true, "disk slow": true, "disk stalled": true, "disk whole": true, "storm of changes": true, "storm over": true}

// Scenarios are the pieces by name.
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
	"random":   {relayEdges: true, delayedDisks: true, random: &randomSchedule{meanInterval: 6 * time.Second, maxDuration: 12 * time.Second, faultFreeTail: 25 * time.Second, maxActive: 8}},
	"soak":     {relayEdges: true, delayedDisks: true, disconnectingCallers: true, random: &randomSchedule{meanInterval: 800 * time.Millisecond, maxDuration: 4 * time.Second, faultFreeTail: 5 * time.Second, maxActive: 3}},
}

// ScenarioNames lists the plays.
func ScenarioNames() []string { return slices.Sorted(maps.Keys(Scenarios)) }

// runScenario goes through a piece and waits for the end of the load's time.
func (c *testRun) runScenario(scenario *Scenario, length time.Duration, logf func(string, ...any)) {
	if scenario.random != nil {
		c.runRandomFaults(scenario.random, length, logf)
		return
	}
	start := c.now()
	for _, step := range scenario.steps {
		time.Sleep(time.Duration(step.atFraction*float64(length)) - (c.now() - start))
		entry := FaultEntry{Name: step.name, At: c.now(), MayReject: !nonRejecting[step.name]}
		entry.Target = step.apply(c)
		appendEntry(c.history, &c.history.Faults, entry)
		logf("%6.1f s: %s: %s", entry.At.Seconds(), entry.Name, entry.Target)
	}
	time.Sleep(length - (c.now() - start))
}

func (c *testRun) firstWorker() *Worker { return c.workers[0] }

// killCore ends a core machine's processes at once; startCore brings them back.
func (c *testRun) killCore(i int) string {
	c.fleet.Stores[i].Kill()
	c.fleet.Registries[i].Kill()
	return c.fleet.Stores[i].Name
}

func (c *testRun) startCore(i int) string {
	return fmt.Sprint(c.fleet.Stores[i].Name, " ", c.fleet.Stores[i].Start(), c.fleet.Registries[i].Start())
}

// forCoreProcesses does something to every process of a core machine.
func (c *testRun) forCoreProcesses(i int, apply func(*Process)) string {
	apply(c.fleet.Stores[i])
	apply(c.fleet.Registries[i])
	return c.fleet.Stores[i].Name
}

// partitionCore sets the ways between core machines for which chosen holds.
func (c *testRun) partitionCore(chosen func(i, j int) bool) string {
	var links []string
	for i := range c.options.Deployment.CoreMembers {
		for j := range c.options.Deployment.CoreMembers {
			if i != j && chosen(i, j) {
				c.fleet.LinkFaults.SetPartitioned(c.fleet.coreAddress(i), c.fleet.coreAddress(j), true)
				links = append(links, fmt.Sprintf("%c>%c", 'a'+i, 'a'+j))
			}
		}
	}
	return strings.Join(links, " ")
}

// partitionEdge cuts an edge machine off from everyone, both ways.
func (c *testRun) partitionEdge(edge int) string {
	d := c.options.Deployment
	for i := range d.CoreMembers {
		c.fleet.LinkFaults.SetPartitioned(c.fleet.coreAddress(i), c.fleet.edgeAddress(edge), true)
		c.fleet.LinkFaults.SetPartitioned(c.fleet.edgeAddress(edge), c.fleet.coreAddress(i), true)
	}
	for other := range d.Edges {
		if other != edge {
			c.fleet.LinkFaults.SetPartitioned(c.fleet.edgeAddress(other), c.fleet.edgeAddress(edge), true)
			c.fleet.LinkFaults.SetPartitioned(c.fleet.edgeAddress(edge), c.fleet.edgeAddress(other), true)
		}
	}
	return c.fleet.Proxies[edge].Name
}

func (c *testRun) healPartitions() string { c.fleet.LinkFaults.Heal(); return "all links" }

// replaceWorkerAt starts a successor on the machine of a worker, then drains and ends it; the
// address it frees goes to a worker of another service.
func (c *testRun) replaceWorkerAt(i int) string { return c.replaceWorker(c.workers[i]) }

func (c *testRun) replaceWorker(old *Worker) string {
	edge := c.edgeOf(old)
	_ = c.startWorker(c.newWorkerName(old.description.Service), edge, old.description.Service, old.description.Version)
	// Its successor is known everywhere before it empties itself.
	go func() {
		time.Sleep(replacementOverlap)
		_ = old.Drain()
		time.Sleep(replacementOverlap)
		old.Shutdown()
		for _, service := range c.options.Deployment.Services {
			if service.Name != old.description.Service {
				_ = c.startWorkerAt(c.newWorkerName(service.Name), edge, service.Name, versionOld, old.description.Address)
				return
			}
		}
	}()
	return old.name
}

// newWorkerName names a worker that comes later.
func (c *testRun) newWorkerName(service string) string {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.namedWorkers++
	return fmt.Sprintf("n%d-%s", c.namedWorkers, service)
}

// edgeOf is where a worker stands.
func (c *testRun) edgeOf(worker *Worker) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.edgeByWorker[worker.name]
}

// replacementOverlap is how long a replaced worker goes on before it ends.
const replacementOverlap = time.Second

// standardSteps is what any quick rehearsal goes through.
var standardSteps = []scenarioStep{
	{0.10, "worker drained", func(c *testRun) string { _ = c.firstWorker().Drain(); return c.firstWorker().name }},
	{0.20, "worker gone", func(c *testRun) string { c.firstWorker().Shutdown(); return c.firstWorker().name }},
	{0.25, "address reused by another service", func(c *testRun) string {
		d := c.options.Deployment
		other := d.Services[len(d.Services)-1].Name
		_ = c.startWorkerAt("reuser-"+other, 0, other, versionOld, c.firstWorker().description.Address)
		return c.firstWorker().description.Address
	}},
	{0.35, "worker killed", func(c *testRun) string {
		killed := c.workers[c.options.Deployment.Edges-1]
		killed.Kill()
		return killed.name
	}},
	{0.40, "worker of a version no setup lists", func(c *testRun) string {
		_ = c.startWorker("barred", 0, c.options.Deployment.Services[0].Name, versionNotAllowed)
		return "barred"
	}},
	{0.50, "proxy killed", func(c *testRun) string { c.middleProxy().Kill(); return c.middleProxy().Name }},
	{0.60, "proxy back", func(c *testRun) string { _ = c.middleProxy().Start(); return c.middleProxy().Name }},
	{0.70, "core machine killed", func(c *testRun) string { return c.killCore(0) }},
	{0.85, "core machine back", func(c *testRun) string { return c.startCore(0) }},
}

func (c *testRun) middleProxy() *Process { return c.fleet.Proxies[c.options.Deployment.Edges/2] }

// harshSteps is every other fault of the brief that processes on one machine can show. It wants
// two minutes or more, so that each fault has time to close.
var harshSteps = []scenarioStep{
	{0.02, "workers replaced one by one", func(c *testRun) string { return c.replaceWorkerAt(0) }},
	{0.05, "workers replaced one by one", func(c *testRun) string { return c.replaceWorkerAt(1) }},
	{0.08, "proxy restarted politely", func(c *testRun) string {
		go func() {
			c.middleProxy().Stop(15 * time.Second)
			_ = c.middleProxy().Start()
		}()
		return c.middleProxy().Name
	}},
	{0.10, "a worker loses answers after the work", func(c *testRun) string {
		c.workers[3].SetFault(&WorkerFault{DropsResponse: true})
		return c.workers[3].name
	}},
	{0.12, "a worker sends garbage", func(c *testRun) string {
		c.workers[3].SetFault(&WorkerFault{GarblesResponse: true})
		return c.workers[3].name
	}},
	{0.14, "a worker warms up slowly", func(c *testRun) string {
		c.workers[3].SetFault(nil)
		c.workers[4].SetFault(&WorkerFault{ExtraDelay: 500 * time.Millisecond})
		return c.workers[4].name
	}},
	{0.16, "warm", func(c *testRun) string { c.workers[4].SetFault(nil); return c.workers[4].name }},
	{0.16, "proxy frozen", func(c *testRun) string { c.fleet.Proxies[1].Freeze(); return c.fleet.Proxies[1].Name }},
	{0.24, "proxy thawed", func(c *testRun) string { c.fleet.Proxies[1].Thaw(); return c.fleet.Proxies[1].Name }},
	{0.27, "core machine frozen", func(c *testRun) string { return c.forCoreProcesses(0, (*Process).Freeze) }},
	{0.33, "core machine thawed", func(c *testRun) string { return c.forCoreProcesses(0, (*Process).Thaw) }},
	{0.37, "core split 2-1", func(c *testRun) string { return c.partitionCore(func(i, j int) bool { return i == 0 || j == 0 }) }},
	{0.43, "mended", (*testRun).healPartitions},
	{0.46, "core split 1-1-1", func(c *testRun) string { return c.partitionCore(func(int, int) bool { return true }) }},
	{0.50, "mended", (*testRun).healPartitions},
	{0.54, "one-way link loss in the core", func(c *testRun) string { return c.partitionCore(func(i, j int) bool { return i == 1 && j == 0 }) }},
	{0.58, "mended", (*testRun).healPartitions},
	{0.61, "edge machine cut off", func(c *testRun) string { return c.partitionEdge(2) }},
	{0.68, "mended", (*testRun).healPartitions},
	{0.71, "core machine back empty at a new address", func(c *testRun) string {
		if err := c.fleet.ReplaceCoreMember(1); err != nil {
			return err.Error()
		}
		return c.fleet.Stores[1].Name
	}},
	{0.80, "setup grows by two thousand routes", func(c *testRun) string {
		var text strings.Builder
		service := c.options.Deployment.Services[0].Name
		for i := range 2000 {
			fmt.Fprintf(&text, "route: \"grown-%d\": {service: %q, prefix: \"/grown/%d\"}\n", i, service, i)
		}
		change := NewOperator("grower", c.fleet, c.history, c.now).SubmitChange(0, text.String(), "")
		return change.Ruling
	}},
	{0.88, "a third of the proxies killed at once", (*testRun).killThird},
	{0.92, "proxies back", (*testRun).startThird},
	{0.95, "core cut off from the proxies", (*testRun).partitionCoreFromEdges},
	{0.97, "mended", (*testRun).healPartitions},
}

// startRelease states a plan for a service.
func (c *testRun) startRelease(service string, target float64, over time.Duration) string {
	operator := NewOperator("release-"+service, c.fleet, c.history, c.now)
	text := fmt.Sprintf("release: %q: {service: %q, version: %q, target: %v, over: %q}\n", "to-"+service, service, versionNew, target, over)
	return service + " " + operator.SubmitChange(1, text, "").Ruling
}

// makeVersionFaulty makes every worker of a service's new version ill.
func (c *testRun) makeVersionFaulty(service string, fault *WorkerFault) string {
	appendEntry(c.history, &c.history.FaultyVersions, FaultyVersionEntry{service, versionNew, c.now()})
	for _, worker := range c.workers {
		if worker.description.Service == service && worker.description.Version == versionNew {
			worker.SetFault(fault)
		}
	}
	return service
}

// serviceAt names the i-th service of the deployment.
func (c *testRun) serviceAt(i int) string {
	return c.options.Deployment.Services[i%len(c.options.Deployment.Services)].Name
}

// fractionOfLoad is a part of the load's length.
func (c *testRun) fractionOfLoad(fraction float64) time.Duration {
	return (time.Duration(fraction * float64(c.options.LoadDuration))).Round(time.Second)
}

// watchReleases writes down set point and measured share as time goes on.
func (c *testRun) watchReleases(stop <-chan struct{}, logf func(string, ...any)) {
	operator := NewOperator("watcher", c.fleet, c.history, c.now)
	seen, last := 0, map[string]string{}
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
		shown, err := operator.ReadReleases(turn % c.options.Deployment.CoreMembers)
		if err != nil {
			continue
		}
		c.history.lock.Lock()
		runs := c.history.Executions[seen:]
		seen = len(c.history.Executions)
		c.history.lock.Unlock()
		for _, release := range shown {
			total, onVersion := 0, 0
			for _, run := range runs {
				if run.Service == release.Service {
					total++
					if run.Version == release.Version {
						onVersion++
					}
				}
			}
			entry := ReleaseEntry{At: c.now(), Release: release.Name, State: release.State, Reason: release.Reason, SetPoint: release.Percentage, MeasuredPercentage: 100 * float64(onVersion) / float64(max(1, total))}
			appendEntry(c.history, &c.history.Releases, entry)
			if status := release.State + " " + release.Reason; last[release.Name] != status {
				last[release.Name] = status
				logf("%6.1f s: plan %s: %s, set point %.1f, measured %.1f", entry.At.Seconds(), release.Name, status, entry.SetPoint, entry.MeasuredPercentage)
			}
		}
	}
}

// releaseSteps brings a good version in while the registry that steers is lost.
var releaseSteps = []scenarioStep{
	{0.02, "release plan stated", func(c *testRun) string { return c.startRelease(c.serviceAt(0), 50, c.fractionOfLoad(0.5)) }},
	{0.30, "core machine killed", func(c *testRun) string { return c.killCore(0) }},
	{0.45, "core machine back", func(c *testRun) string { return c.startCore(0) }},
	{0.60, "core machine killed", func(c *testRun) string { return c.killCore(1) }},
	{0.70, "core machine back", func(c *testRun) string { return c.startCore(1) }},
}

// rollbackSteps lets new versions be bad in each way.
var rollbackSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(c *testRun) string { return c.startRelease(c.serviceAt(3), 60, c.fractionOfLoad(0.2)) }},
	{0.05, "bad from the start", func(c *testRun) string {
		return c.makeVersionFaulty(c.serviceAt(0), &WorkerFault{ReturnsError: true}) + ", " + c.startRelease(c.serviceAt(0), 50, c.fractionOfLoad(0.3))
	}},
	{0.25, "bad on one route only", func(c *testRun) string {
		if len(c.options.Deployment.Services) < 4 {
			return "left out"
		}
		service := c.serviceAt(1)
		for _, route := range c.options.Deployment.Routes {
			if route.Service == service && !route.Internal {
				return c.makeVersionFaulty(service, &WorkerFault{Prefix: route.Prefix, ReturnsError: true}) + ", " + c.startRelease(service, 50, c.fractionOfLoad(0.3))
			}
		}
		return ""
	}},
	{0.40, "slow", func(c *testRun) string {
		if len(c.options.Deployment.Services) < 4 {
			return "left out"
		}
		return c.makeVersionFaulty(c.serviceAt(2), &WorkerFault{ExtraDelay: 300 * time.Millisecond}) + ", " + c.startRelease(c.serviceAt(2), 50, c.fractionOfLoad(0.3))
	}},
	{0.70, "bad late, at a high share", func(c *testRun) string { return c.makeVersionFaulty(c.serviceAt(3), &WorkerFault{ReturnsError: true}) }},
}

// rollbackDuringPartitionSteps lets a version turn bad just as the core falls apart.
var rollbackDuringPartitionSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(c *testRun) string { return c.startRelease(c.serviceAt(0), 60, c.fractionOfLoad(0.2)) }},
	{0.60, "core split 1-1-1", func(c *testRun) string { return c.partitionCore(func(int, int) bool { return true }) }},
	{0.60, "bad late, the core being split", func(c *testRun) string { return c.makeVersionFaulty(c.serviceAt(0), &WorkerFault{ReturnsError: true}) }},
	{0.80, "mended", (*testRun).healPartitions},
}

// longSteps goes through what grows with time: workers replaced one after another, plans stated,
// done and cancelled, items added and removed. It wants fifteen minutes or more.
var longSteps = func() []scenarioStep {
	var acts []scenarioStep
	for i := range 30 {
		at := float64(i) / 30
		acts = append(acts, scenarioStep{at + 0.002, "workers replaced one by one", func(c *testRun) string {
			return c.replaceWorker(c.randomWorker(rand.New(rand.NewPCG(c.options.Seed, uint64(i)))))
		}}, scenarioStep{at + 0.010, "routes added", func(c *testRun) string { return c.churnRoutes(i, true) }},
			scenarioStep{at + 0.022, "routes removed", func(c *testRun) string { return c.churnRoutes(i, false) }})
	}
	for i := range 6 {
		at := float64(i) / 6
		acts = append(acts, scenarioStep{at + 0.02, "release plan stated", func(c *testRun) string { return c.startRelease(c.serviceAt(i), 60, c.fractionOfLoad(0.05)) }},
			scenarioStep{at + 0.14, "release plan cancelled", func(c *testRun) string {
				return NewOperator(fmt.Sprint("end-", i), c.fleet, c.history, c.now).SubmitChange(0, fmt.Sprintf("remove: release: [%q]\n", "to-"+c.serviceAt(i)), "").Ruling
			}})
	}
	slices.SortStableFunc(acts, func(a, b scenarioStep) int { return cmp.Compare(a.atFraction, b.atFraction) })
	return acts
}()

// churnRoutes adds forty routes, or removes them.
func (c *testRun) churnRoutes(batch int, adds bool) string {
	var text strings.Builder
	for i := range 40 {
		if adds {
			fmt.Fprintf(&text, "route: \"churn-%d-%d\": {service: %q, prefix: \"/churn/%d/%d\"}\n", batch, i, c.serviceAt(0), batch, i)
		} else if i == 0 {
			text.WriteString("remove: route: [")
		}
		if !adds {
			fmt.Fprintf(&text, "%q,", fmt.Sprintf("churn-%d-%d", batch, i))
		}
	}
	if !adds {
		text.WriteString("]\n")
	}
	return NewOperator(fmt.Sprintf("churn-%d-%v", batch, adds), c.fleet, c.history, c.now).SubmitChange(batch%c.options.Deployment.CoreMembers, text.String(), "").Ruling
}

// rollbackDuringCoreLossSteps lets a version turn bad just as the whole core dies.
var rollbackDuringCoreLossSteps = []scenarioStep{
	{0.00, "a good version, to turn bad late", func(c *testRun) string { return c.startRelease(c.serviceAt(0), 60, c.fractionOfLoad(0.2)) }},
	{0.55, "the whole core killed", func(c *testRun) string { c.killCore(0); c.killCore(1); return c.killCore(2) }},
	{0.55, "bad late, the core being gone", func(c *testRun) string { return c.makeVersionFaulty(c.serviceAt(0), &WorkerFault{ReturnsError: true}) }},
	{0.70, "the whole core back", func(c *testRun) string { return c.startCore(0) + c.startCore(1) + c.startCore(2) }},
}

// rollbackUnderLoadSteps brings in versions that are bad only under load, one by a plan, one by hand.
var rollbackUnderLoadSteps = []scenarioStep{
	{0.00, "bad under load", func(c *testRun) string {
		return c.makeVersionFaulty(c.serviceAt(0), &WorkerFault{AboveInFlight: 2, ExtraDelay: 10 * time.Millisecond, ReturnsError: true}) + ", " + c.startRelease(c.serviceAt(0), 60, c.fractionOfLoad(0.3))
	}},
	{0.30, "by hand, bad under load", func(c *testRun) string {
		service := c.serviceAt(1)
		NewOperator("hand", c.fleet, c.history, c.now).SubmitChange(0, c.options.Deployment.FlagText(service, 60000, 1), "")
		return c.makeVersionFaulty(service, &WorkerFault{AboveInFlight: 2, ExtraDelay: 10 * time.Millisecond, ReturnsError: true})
	}},
}

// rollingRestartSteps stops the machines in turn, politely, as an upgrade does. A core machine counts
// again a lease after its start, so the next goes only then: it wants two minutes or more.
var rollingRestartSteps = func() []scenarioStep {
	var acts []scenarioStep
	for i := range 3 {
		at := 0.05 + 0.22*float64(i)
		acts = append(acts, scenarioStep{at, "core machine stopped", func(c *testRun) string {
			return c.forCoreProcesses(i, func(p *Process) { p.Stop(15 * time.Second) })
		}}, scenarioStep{at + 0.05, "core machine started", func(c *testRun) string { return c.startCore(i) }})
	}
	// As many proxies as there are edges, each given a moment to come back.
	for i := range 15 {
		acts = append(acts, scenarioStep{0.72 + 0.018*float64(i), "proxy restarted politely", func(c *testRun) string {
			if i >= len(c.fleet.Proxies) {
				return "left out"
			}
			proxy := c.fleet.Proxies[i]
			go func() {
				proxy.Stop(15 * time.Second)
				_ = proxy.Start()
			}()
			return proxy.Name
		}})
	}
	return acts
}()

// partitionCoreFromEdges cuts the core off from every proxy, both ways.
func (c *testRun) partitionCoreFromEdges() string {
	for i := range c.options.Deployment.CoreMembers {
		for edge := range c.options.Deployment.Edges {
			c.fleet.LinkFaults.SetPartitioned(c.fleet.coreAddress(i), c.fleet.edgeAddress(edge), true)
			c.fleet.LinkFaults.SetPartitioned(c.fleet.edgeAddress(edge), c.fleet.coreAddress(i), true)
		}
	}
	return "all proxies"
}

// massKillSteps kills proxies singly and in herds.
var massKillSteps = []scenarioStep{
	{0.10, "proxy killed", func(c *testRun) string { c.middleProxy().Kill(); return c.middleProxy().Name }},
	{0.25, "proxy back", func(c *testRun) string { _ = c.middleProxy().Start(); return c.middleProxy().Name }},
	{0.45, "a third of the proxies killed at once", (*testRun).killThird},
	{0.70, "proxies back", (*testRun).startThird},
}

func (c *testRun) killThird() string {
	var names []string
	for i := 0; i < len(c.fleet.Proxies); i += 3 {
		c.fleet.Proxies[i].Kill()
		names = append(names, c.fleet.Proxies[i].Name)
	}
	return strings.Join(names, " ")
}

func (c *testRun) startThird() string {
	for i := 0; i < len(c.fleet.Proxies); i += 3 {
		_ = c.fleet.Proxies[i].Start()
	}
	return "all"
}
