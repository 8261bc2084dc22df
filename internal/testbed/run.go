package testbed

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"meadowhinge/internal/errs"
)

// Options say what to rehearse.
type Options struct {
	Deployment    *Deployment
	Folder        string
	Binaries      string
	LoadDuration  time.Duration // of the load
	Lease         time.Duration
	Seed          uint64
	Scenario      string        // which piece of faults, by name; none for no faults
	OnReady       func(*Fleet)  // if set: no load, the fleet just stands while this runs
	WorkerDelay   time.Duration // that a worker takes for a request
	RateFactor    float64       // multiplies the deployment's rate
	DrainingBound time.Duration
	// DisconnectBound is how long a worker may go on with a repeatable call after its caller left; 0 for not judged.
	DisconnectBound time.Duration
	// CheckRejections judges what hangs on how fast the machine is: who was turned away without cause.
	CheckRejections bool
	Out             io.Writer
}

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
	dice := rand.New(rand.NewPCG(o.Seed, 1))
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
			independent := rand.New(rand.NewPCG(o.Seed, dice.Uint64()))
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
				independent := rand.New(rand.NewPCG(o.Seed, dice.Uint64()))
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

// testRun is everyone outside the mesh.
type testRun struct {
	fleet           *Fleet
	options         Options
	history         *History
	now             func() time.Duration
	workers         []*Worker
	workersStarted  map[int]int    // workers started so far on each edge
	edgeByWorker    map[string]int // by worker
	directLatencyMS []float64      // milliseconds of calls past the mesh
	lock            sync.Mutex     // of workers, used, edgeByWorker and named
	namedWorkers    int            // workers that came later
	recoveryTime    time.Duration  // that the fleet took to be back

	resources []Sample
}

func (c *testRun) startWorker(name string, edge int, service, version string) error {
	c.lock.Lock()
	address := fmt.Sprintf("%s:%d", c.fleet.edgeAddress(edge), portWorker+c.workersStarted[edge])
	c.workersStarted[edge]++
	c.lock.Unlock()
	return c.startWorkerAt(name, edge, service, version, address)
}

func (c *testRun) startWorkerAt(name string, edge int, service, version, address string) error {
	worker, err := StartWorker(name, service, version, c.fleet.zone(edge), address, fmt.Sprintf("%s:%d", c.fleet.edgeAddress(edge), portWorkerAPI), c.options.WorkerDelay, c.history, c.now)
	if err == nil {
		c.lock.Lock()
		c.workers = append(c.workers, worker)
		c.edgeByWorker[name] = edge
		c.lock.Unlock()
	}
	return err
}

// callersOn makes the callers of an edge: clients, and each service for its internal calls.
func (c *testRun) callersOn(edge int) []*Caller {
	d := c.options.Deployment
	rate := d.RequestRate * c.options.RateFactor / float64(d.Edges)
	proxy := c.fleet.Proxies[edge].Name
	var clients []RouteSpec
	internal := map[string][]RouteSpec{}
	for _, route := range d.Routes {
		if !route.Internal {
			clients = append(clients, route)
			continue
		}
		for _, service := range d.Services {
			if service.Name != route.Service {
				internal[service.Name] = append(internal[service.Name], route)
			}
		}
	}
	callers := []*Caller{NewCaller(clientCaller, proxy, c.fleet.CallerAddress(edge, clientCaller), clients, rate, c.history, c.now)}
	// The service whose worker stands on this edge makes this edge's part of the internal calls.
	for i, placement := range d.placeWorkers() {
		if placement.edge == edge && len(internal[placement.service]) > 0 && i < d.Edges {
			callers = append(callers, NewCaller(placement.service, proxy, c.fleet.CallerAddress(edge, placement.service), internal[placement.service], rate*d.InternalRatio, c.history, c.now))
		}
	}
	return callers
}

// directInterval is how often a call is sent past the mesh.
const directInterval = 100 * time.Millisecond

func (c *testRun) measureDirectLatency(stop <-chan struct{}) {
	// A worker that no standard fault touches.
	worker := c.workers[1]
	for {
		select {
		case <-stop:
			return
		case <-time.After(directInterval):
		}
		if took, err := worker.CallDirectly(); err == nil {
			c.directLatencyMS = append(c.directLatencyMS, float64(took)/float64(time.Millisecond))
		}
	}
}

// cpuSeconds is the processor time each program has used so far, in seconds.
func (c *testRun) cpuSeconds() map[string]float64 {
	seconds := map[string]float64{}
	for _, process := range c.fleet.Processes() {
		process.lock.Lock()
		if process.cmd != nil && process.cmd.Process != nil {
			seconds[filepath.Base(process.program)] += cpuSecondsOf(process.cmd.Process.Pid)
		}
		process.lock.Unlock()
	}
	return seconds
}

// cpuSecondsOf reads a process's own processor time from the kernel.
func cpuSecondsOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// Fields 14 and 15 are user and system time in hundredths of a second; the name, in
	// parentheses, may hold spaces.
	end := 0
	for i, char := range text {
		if char == ')' {
			end = i
		}
	}
	var state string
	var skip [10]int64
	var user, system float64
	_, _ = fmt.Sscan(string(text[end+1:]), &state, &skip[0], &skip[1], &skip[2], &skip[3], &skip[4], &skip[5], &skip[6], &skip[7], &skip[8], &skip[9], &user, &system)
	return (user + system) / 100
}

// Freeze and Thaw stop a process and let it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }
