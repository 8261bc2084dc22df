package testbed

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"meadowhinge/internal/errs"
)

// quietPeriod is how long the fleet is left alone at the end, for late runs to show.
const quietPeriod = 3 * time.Second

// Run brings the fleet up, plays the load and the faults, and judges.
func Run(o Options) (*Report, error) {
	logf := func(format string, values ...any) { fmt.Fprintf(o.Out, format+"\n", values...) }
	scenario, found := Scenarios[o.Scenario]
	if !found {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("no play is called %q", o.Scenario))
	}
	fleet, err := NewFleet(o.Deployment, o.Folder, o.Binaries, o.Lease, scenario.relayEdges, scenario.delayedDisks)
	if err != nil {
		return nil, err
	}
	stopped := false
	defer func() {
		if !stopped {
			fleet.Stop()
		}
	}()
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	history := &History{DrainingBound: o.DrainingBound, DisconnectBound: o.DisconnectBound, CheckRejections: o.CheckRejections, Lease: o.Lease}
	for _, process := range append(append([]*Process(nil), fleet.Stores...), fleet.Registries...) {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	if err := AwaitReady(fleet.Stores, time.Minute); err != nil {
		return nil, err
	}
	if err := AwaitReady(fleet.Registries, time.Minute); err != nil {
		return nil, err
	}
	logf("core ready after %.1f s", now().Seconds())
	operator := NewOperator("first", fleet, history, now)
	// On a machine too busy for the core to settle, the first setup is stated again.
	for attempt := 0; ; attempt++ {
		result := operator.SubmitChange(attempt%o.Deployment.CoreMembers, o.Deployment.ConfigText(map[bool]int{false: 50000}[scenario.releasePlans]), "")
		if result.Acknowledged {
			break
		}
		if attempt == 2*o.Deployment.CoreMembers {
			return nil, errs.New(errs.NoQuorum, fmt.Sprintf("the first setup was not acknowledged: %+v", result))
		}
	}
	for _, process := range fleet.Proxies {
		if err := process.Start(); err != nil {
			return nil, err
		}
	}
	if err := AwaitReady(fleet.Proxies, time.Minute); err != nil {
		return nil, err
	}
	logf("proxies ready after %.1f s", now().Seconds())
	run := &testRun{fleet: fleet, options: o, history: history, now: now, workersStarted: map[int]int{}, edgeByWorker: map[string]int{}}
	for i, placement := range o.Deployment.placeWorkers() {
		if err := run.startWorker(fmt.Sprintf("w%d-%s", i+1, placement.service), placement.edge, placement.service, placement.version); err != nil {
			return nil, err
		}
	}
	// Calls before every proxy knows every worker are not proper load.
	if err := awaitWorkerDiscovery(fleet.Proxies, len(run.workers), time.Minute); err != nil {
		return nil, err
	}
	if o.OnReady != nil {
		o.OnReady(fleet)
		for _, worker := range run.workers {
			worker.Kill()
		}
		stopped = true
		return &Report{UncleanExits: fleet.Stop()}, nil
	}
	stopCallers, stopChanges := make(chan struct{}), make(chan struct{})
	var callersRunning, backgroundTasks sync.WaitGroup
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	var callers [][]*Caller
	for edge := range o.Deployment.Edges {
		callers = append(callers, run.callersOn(edge))
	}
	for edge, edgeCallers := range callers {
		for _, caller := range edgeCallers {
			for other, otherCallers := range callers {
				for _, candidate := range otherCallers {
					if other != edge && candidate.name == caller.name {
						caller.alternates = append(caller.alternates, candidate)
					}
				}
			}
		}
	}
	for _, edgeCallers := range callers {
		for _, caller := range edgeCallers {
			callersRunning.Add(1)
			independent := rand.New(rand.NewPCG(o.Seed, rng.Uint64()))
			go func() {
				defer callersRunning.Done()
				caller.Run(stopCallers, independent)
			}()
		}
	}
	if scenario.disconnectingCallers {
		for edge, edgeCallers := range callers {
			for i := range disconnectingCallersPerProxy {
				disconnecting := NewDisconnectingCaller(edgeCallers[0], fleet.CallerAddress(edge, clientCaller), i)
				independent := rand.New(rand.NewPCG(o.Seed, rng.Uint64()))
				callersRunning.Go(func() { disconnecting.Run(stopCallers, independent) })
			}
		}
	}
	for _, name := range []string{"ann", "ben"} {
		backgroundTasks.Add(1)
		independent := NewOperator(name, fleet, history, now)
		go func() {
			defer backgroundTasks.Done()
			independent.ChangeLoop(stopChanges, 500*time.Millisecond, scenario.releasePlans)
		}()
	}
	backgroundTasks.Go(func() { run.watchDisconnects(stopChanges) })
	backgroundTasks.Add(2)
	go func() {
		defer backgroundTasks.Done()
		run.measureDirectLatency(stopChanges)
	}()
	go func() {
		defer backgroundTasks.Done()
		run.sampleResources(stopChanges)
	}()
	if scenario.releasePlans {
		backgroundTasks.Add(1)
		go func() {
			defer backgroundTasks.Done()
			run.watchReleases(stopChanges, logf)
		}()
	}
	cpuBefore, loadStarted := run.cpuSeconds(), now()
	run.runScenario(scenario, o.LoadDuration, logf)
	close(stopChanges)
	backgroundTasks.Wait()
	close(stopCallers)
	callersRunning.Wait()
	loadDuration := now() - loadStarted
	cpuAfter := run.cpuSeconds()
	time.Sleep(quietPeriod)
	for core := range o.Deployment.CoreMembers {
		_, _ = operator.ReadConfig(core)
	}
	run.verifyAcknowledgedChanges()
	run.recordDisconnects()
	for _, worker := range run.workers {
		worker.Kill()
	}
	unclean := fleet.Stop()
	stopped = true
	report := run.buildReport(loadDuration, cpuBefore, cpuAfter)
	report.UncleanExits, report.Resources = unclean, run.resources
	report.RecoverySeconds, report.SurvivedChanges, report.Disconnects = run.recoveryTime.Seconds(), history.SurvivedChanges, history.totalDisconnects()
	return report, nil
}
