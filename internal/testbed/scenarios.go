package testbed

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// standardSteps is the default scenario: one fault of each common kind, for a short run.
var standardSteps = []scenarioStep{
	{0.10, "worker drained", func(r *testRun) string { _ = r.firstWorker().Drain(); return r.firstWorker().name }},
	{0.20, "worker gone", func(r *testRun) string { r.firstWorker().Shutdown(); return r.firstWorker().name }},
	{0.25, "address reused by another service", func(r *testRun) string {
		d := r.options.Deployment
		other := d.Services[len(d.Services)-1].Name
		_ = r.startWorkerAt("reuser-"+other, 0, other, versionOld, r.firstWorker().description.Address)
		return r.firstWorker().description.Address
	}},
	{0.35, "worker killed", func(r *testRun) string {
		killed := r.workers[r.options.Deployment.Edges-1]
		killed.Kill()
		return killed.name
	}},
	{0.40, "worker of a version no setup lists", func(r *testRun) string {
		_ = r.startWorker("barred", 0, r.options.Deployment.Services[0].Name, versionNotAllowed)
		return "barred"
	}},
	{0.50, "proxy killed", func(r *testRun) string { r.middleProxy().Kill(); return r.middleProxy().Name }},
	{0.60, "proxy back", func(r *testRun) string { _ = r.middleProxy().Start(); return r.middleProxy().Name }},
	{0.70, "core machine killed", func(r *testRun) string { return r.killCore(0) }},
	{0.85, "core machine back", func(r *testRun) string { return r.startCore(0) }},
}

// harshSteps is the scenario of the faults in docs/brief.md that standardSteps leaves out, as far as processes on one
// machine can reproduce them. It needs a load of at least two minutes, so that each fault has ended before the next
// begins.
var harshSteps = []scenarioStep{
	{0.02, "workers replaced one by one", func(r *testRun) string { return r.replaceWorkerAt(0) }},
	{0.05, "workers replaced one by one", func(r *testRun) string { return r.replaceWorkerAt(1) }},
	{0.08, "proxy restarted politely", func(r *testRun) string {
		go func() {
			r.middleProxy().Stop(15 * time.Second)
			_ = r.middleProxy().Start()
		}()
		return r.middleProxy().Name
	}},
	{0.10, "a worker loses answers after the work", func(r *testRun) string {
		r.workers[3].SetFault(&WorkerFault{DropsResponse: true})
		return r.workers[3].name
	}},
	{0.12, "a worker sends garbage", func(r *testRun) string {
		r.workers[3].SetFault(&WorkerFault{GarblesResponse: true})
		return r.workers[3].name
	}},
	{0.14, "a worker warms up slowly", func(r *testRun) string {
		r.workers[3].SetFault(nil)
		r.workers[4].SetFault(&WorkerFault{ExtraDelay: 500 * time.Millisecond})
		return r.workers[4].name
	}},
	{0.16, "warm", func(r *testRun) string { r.workers[4].SetFault(nil); return r.workers[4].name }},
	{0.16, "proxy frozen", func(r *testRun) string { r.fleet.Proxies[1].Freeze(); return r.fleet.Proxies[1].Name }},
	{0.24, "proxy thawed", func(r *testRun) string { r.fleet.Proxies[1].Thaw(); return r.fleet.Proxies[1].Name }},
	{0.27, "core machine frozen", func(r *testRun) string { return r.forCoreProcesses(0, (*Process).Freeze) }},
	{0.33, "core machine thawed", func(r *testRun) string { return r.forCoreProcesses(0, (*Process).Thaw) }},
	{0.37, "core split 2-1", func(r *testRun) string { return r.partitionCore(func(i, j int) bool { return i == 0 || j == 0 }) }},
	{0.43, "mended", (*testRun).healPartitions},
	{0.46, "core split 1-1-1", func(r *testRun) string { return r.partitionCore(func(int, int) bool { return true }) }},
	{0.50, "mended", (*testRun).healPartitions},
	{0.54, "one-way link loss in the core", func(r *testRun) string { return r.partitionCore(func(i, j int) bool { return i == 1 && j == 0 }) }},
	{0.58, "mended", (*testRun).healPartitions},
	{0.61, "edge machine cut off", func(r *testRun) string { return r.partitionEdge(2) }},
	{0.68, "mended", (*testRun).healPartitions},
	{0.71, "core machine back empty at a new address", func(r *testRun) string {
		if err := r.fleet.ReplaceCoreMember(1); err != nil {
			return err.Error()
		}
		return r.fleet.Stores[1].Name
	}},
	{0.80, "setup grows by two thousand routes", func(r *testRun) string {
		var text strings.Builder
		service := r.options.Deployment.Services[0].Name
		for i := range 2000 {
			fmt.Fprintf(&text, "route: \"grown-%d\": {service: %q, prefix: \"/grown/%d\"}\n", i, service, i)
		}
		change := NewOperator("grower", r.fleet, r.history, r.now).SubmitChange(0, text.String(), "")
		return change.Ruling
	}},
	{0.88, "a third of the proxies killed at once", (*testRun).killThird},
	{0.92, "proxies back", (*testRun).startThird},
	{0.95, "core cut off from the proxies", (*testRun).partitionCoreFromEdges},
	{0.97, "mended", (*testRun).healPartitions},
}

// longSteps is the scenario that looks for state that grows with time. It replaces workers one after another, submits
// release plans, lets them finish and cancels them, and adds and removes routes. It needs a load of at least fifteen
// minutes.
var longSteps = func() []scenarioStep {
	var steps []scenarioStep
	for i := range 30 {
		at := float64(i) / 30
		steps = append(steps, scenarioStep{at + 0.002, "workers replaced one by one", func(r *testRun) string {
			return r.replaceWorker(r.randomWorker(rand.New(rand.NewPCG(r.options.Seed, uint64(i)))))
		}}, scenarioStep{at + 0.010, "routes added", func(r *testRun) string { return r.churnRoutes(i, true) }},
			scenarioStep{at + 0.022, "routes removed", func(r *testRun) string { return r.churnRoutes(i, false) }})
	}
	for i := range 6 {
		at := float64(i) / 6
		steps = append(steps,
			scenarioStep{at + 0.02, "release plan stated", func(r *testRun) string {
				return r.startRelease(r.serviceAt(i), 60, r.fractionOfLoad(0.05))
			}},
			scenarioStep{at + 0.14, "release plan cancelled", func(r *testRun) string {
				operator := NewOperator(fmt.Sprint("end-", i), r.fleet, r.history, r.now)
				return operator.SubmitChange(0, fmt.Sprintf("remove: release: [%q]\n", "to-"+r.serviceAt(i)), "").Ruling
			}})
	}
	slices.SortStableFunc(steps, func(a, b scenarioStep) int { return cmp.Compare(a.atFraction, b.atFraction) })
	return steps
}()

// rollingRestartSteps is the scenario of a rolling upgrade, which stops and starts the machines in turn. A core machine
// takes part fully only a lease after its start, and the next must not be stopped before. The scenario therefore needs
// a load of at least two minutes.
var rollingRestartSteps = func() []scenarioStep {
	var steps []scenarioStep
	for i := range 3 {
		at := 0.05 + 0.22*float64(i)
		steps = append(steps, scenarioStep{at, "core machine stopped", func(r *testRun) string {
			return r.forCoreProcesses(i, func(p *Process) { p.Stop(15 * time.Second) })
		}}, scenarioStep{at + 0.05, "core machine started", func(r *testRun) string { return r.startCore(i) }})
	}
	// The largest of the users' deployments has 15 edge machines. The gap between two steps lets a proxy come back.
	for i := range 15 {
		steps = append(steps, scenarioStep{0.72 + 0.018*float64(i), "proxy restarted politely", func(r *testRun) string {
			if i >= len(r.fleet.Proxies) {
				return "left out"
			}
			proxy := r.fleet.Proxies[i]
			go func() {
				proxy.Stop(15 * time.Second)
				_ = proxy.Start()
			}()
			return proxy.Name
		}})
	}
	return steps
}()

// massKillSteps is the scenario in which proxies are killed, first one and then a third of them at the same time.
var massKillSteps = []scenarioStep{
	{0.10, "proxy killed", func(r *testRun) string { r.middleProxy().Kill(); return r.middleProxy().Name }},
	{0.25, "proxy back", func(r *testRun) string { _ = r.middleProxy().Start(); return r.middleProxy().Name }},
	{0.45, "a third of the proxies killed at once", (*testRun).killThird},
	{0.70, "proxies back", (*testRun).startThird},
}
