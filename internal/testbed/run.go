package testbed

import (
	"fmt"
	"time"

	"meadowhinge/internal/errs"
)

// quietPeriod is the time between the end of the load and the final checks, in which late executions are recorded.
const quietPeriod = 3 * time.Second

// readyTimeout bounds each wait for processes to become ready.
const readyTimeout = time.Minute

// Run brings up a fleet, puts load and the faults of a scenario on it, stops it, and checks the recorded history
// against the invariants. Violations are in the report. Run fails only if the fleet cannot be brought up: with
// errs.InvalidOptions for an unknown scenario, else with the error of the step that failed. With OnReady, the report
// lists only unclean exits.
func Run(o Options) (*Report, error) {
	r, err := newTestRun(o)
	if err != nil {
		return nil, err
	}
	defer r.stopFleet()
	if err := r.bringUp(); err != nil {
		return nil, err
	}
	if o.OnReady != nil {
		o.OnReady(r.fleet)
		return &Report{UncleanExits: r.shutdown()}, nil
	}
	load := r.startLoad()
	cpuBefore, loadStarted := r.cpuSeconds(), r.now()
	r.runScenario()
	load.stop()
	loadDuration := r.now() - loadStarted
	cpuAfter := r.cpuSeconds()
	time.Sleep(quietPeriod)
	r.recordFinalState()
	unclean := r.shutdown()
	report := r.buildReport(loadDuration, cpuBefore, cpuAfter)
	report.UncleanExits = unclean
	return report, nil
}

// newTestRun lays out the fleet of a run and starts no process.
func newTestRun(o Options) (*testRun, error) {
	scenario, found := Scenarios[o.Scenario]
	if !found {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("unknown scenario %q", o.Scenario))
	}
	fleet, err := NewFleet(o.Deployment, o.Folder, o.Binaries, o.Lease, scenario.relayEdges, scenario.delayedDisks)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	history := &History{
		DrainingBound:   o.DrainingBound,
		DisconnectBound: o.DisconnectBound,
		CheckRejections: o.CheckRejections,
		Lease:           o.Lease,
	}
	return &testRun{
		fleet:              fleet,
		options:            o,
		scenario:           scenario,
		history:            history,
		now:                now,
		operator:           NewOperator("first", fleet, history, now),
		allocatedAddresses: map[int]int{},
		edgeByWorker:       map[string]int{},
	}, nil
}

// bringUp starts the core, submits the initial configuration, and starts proxies and workers. It then waits until
// every proxy knows every worker, because calls before that would not be valid load.
func (r *testRun) bringUp() error {
	if err := r.startCoreMembers(); err != nil {
		return err
	}
	if err := r.submitInitialConfig(); err != nil {
		return err
	}
	if err := startAll(r.fleet.Proxies); err != nil {
		return err
	}
	if err := AwaitReady(r.fleet.Proxies, readyTimeout); err != nil {
		return err
	}
	r.logf("proxies ready after %.1f s", r.now().Seconds())
	for i, placement := range r.options.Deployment.assignWorkers() {
		name := fmt.Sprintf("w%d-%s", i+1, placement.service)
		if err := r.startWorker(name, placement.edge, placement.service, placement.version); err != nil {
			return err
		}
	}
	return awaitWorkerDiscovery(r.fleet.Proxies, len(r.workers), readyTimeout)
}

// startCoreMembers starts all stores and registries and waits until they are ready.
func (r *testRun) startCoreMembers() error {
	if err := startAll(r.fleet.Stores); err != nil {
		return err
	}
	if err := startAll(r.fleet.Registries); err != nil {
		return err
	}
	if err := AwaitReady(r.fleet.Stores, readyTimeout); err != nil {
		return err
	}
	if err := AwaitReady(r.fleet.Registries, readyTimeout); err != nil {
		return err
	}
	r.logf("core ready after %.1f s", r.now().Seconds())
	return nil
}

// startAll starts processes in order, up to the first that fails.
func startAll(processes []*Process) error {
	for _, process := range processes {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// initialNewWeight is the weight of the new versions in the initial configuration, in thousandths of a percent. In
// scenarios with release plans it is 0 instead.
const initialNewWeight = 50000

// submitInitialConfig submits the initial configuration until it is acknowledged. The core of a busy machine may take
// long to settle, so it makes up to 2*CoreMembers+1 attempts, at the core members in turn. It fails with errs.NoQuorum
// after the last.
func (r *testRun) submitInitialConfig() error {
	newWeight := initialNewWeight
	if r.scenario.releasePlans {
		newWeight = 0
	}
	d := r.options.Deployment
	for attempt := 0; ; attempt++ {
		result := r.operator.SubmitChange(attempt%d.CoreMembers, d.ConfigText(newWeight), "")
		if result.Acknowledged {
			return nil
		}
		if attempt == 2*d.CoreMembers {
			return errs.New(errs.NoQuorum,
				fmt.Sprintf("the initial configuration was not acknowledged in %d attempts; last result: %+v", attempt+1, result))
		}
	}
}

// recordFinalState records the final configuration at each core member, whether each acknowledged change still has its
// outcome, and the proxies' counts of disconnected callers.
func (r *testRun) recordFinalState() {
	for core := range r.options.Deployment.CoreMembers {
		_, _ = r.operator.ReadConfig(core) // a configuration that can't be read is one entry less to check
	}
	r.verifyAcknowledgedChanges()
	r.recordDisconnects()
}

// shutdown ends the workers, then the fleet, and returns the names of the processes that did not exit cleanly.
func (r *testRun) shutdown() []string {
	for _, worker := range r.workers {
		worker.Kill()
	}
	return r.stopFleet()
}

// stopFleet stops the fleet and returns the names of the processes that did not exit cleanly. Further calls do
// nothing.
func (r *testRun) stopFleet() []string {
	if r.fleetStopped {
		return nil
	}
	r.fleetStopped = true
	return r.fleet.Stop()
}
