package testbed

import (
	"fmt"
	"time"

	"meadowhinge/internal/errs"
)

// quietPeriod is how long the fleet is left alone at the end, so that late executions show.
const quietPeriod = 3 * time.Second

// readyTimeout bounds each wait for processes of the fleet.
const readyTimeout = time.Minute

// Run brings a fleet up, puts load and faults on it, stops it, and checks what was seen.
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
	r.finalChecks()
	unclean := r.shutdown()
	report := r.buildReport(loadDuration, cpuBefore, cpuAfter)
	report.UncleanExits = unclean
	return report, nil
}

// newTestRun lays out the fleet of a run; nothing runs yet.
func newTestRun(o Options) (*testRun, error) {
	scenario, found := Scenarios[o.Scenario]
	if !found {
		return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("no play is called %q", o.Scenario))
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
		fleet:          fleet,
		options:        o,
		scenario:       scenario,
		history:        history,
		now:            now,
		operator:       NewOperator("first", fleet, history, now),
		workersStarted: map[int]int{},
		edgeByWorker:   map[string]int{},
	}, nil
}

// bringUp starts the core, configures it, starts proxies and workers, and waits until every proxy knows
// every worker: calls before that are no proper load.
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

func startAll(processes []*Process) error {
	for _, process := range processes {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// initialNewWeight is the share of the new versions at the start, in thousandths of a percent, where no
// release plans move it.
const initialNewWeight = 50000

// submitInitialConfig submits the first configuration. On a machine too busy for the core to settle it is
// submitted again, at the next core member.
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
			return errs.New(errs.NoQuorum, fmt.Sprintf("the first setup was not acknowledged: %+v", result))
		}
	}
}

// finalChecks reads the configuration at each core member, the outcome of each acknowledged change, and the
// counts of disconnected callers.
func (r *testRun) finalChecks() {
	for core := range r.options.Deployment.CoreMembers {
		_, _ = r.operator.ReadConfig(core) // a view that can't be read is one entry less to check
	}
	r.verifyAcknowledgedChanges()
	r.recordDisconnects()
}

// shutdown ends the workers, then the fleet, and names the processes that did not end cleanly.
func (r *testRun) shutdown() []string {
	for _, worker := range r.workers {
		worker.Kill()
	}
	return r.stopFleet()
}

// stopFleet stops the fleet, unless that was done before.
func (r *testRun) stopFleet() []string {
	if r.fleetStopped {
		return nil
	}
	r.fleetStopped = true
	return r.fleet.Stop()
}
