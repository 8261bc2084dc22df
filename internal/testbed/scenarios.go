package testbed

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

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

// massKillSteps kills proxies singly and in herds.
var massKillSteps = []scenarioStep{
	{0.10, "proxy killed", func(c *testRun) string { c.middleProxy().Kill(); return c.middleProxy().Name }},
	{0.25, "proxy back", func(c *testRun) string { _ = c.middleProxy().Start(); return c.middleProxy().Name }},
	{0.45, "a third of the proxies killed at once", (*testRun).killThird},
	{0.70, "proxies back", (*testRun).startThird},
}
