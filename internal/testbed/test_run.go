package testbed

import (
	"fmt"
	"sync"
	"time"
)

// testRun is one run of a fleet: the fleet, everyone outside the mesh who uses it, and what they saw. Run
// makes it; callers, operators, observers and injected faults use it at the same time.
type testRun struct {
	fleet    *Fleet
	options  Options
	scenario *Scenario
	history  *History
	now      func() time.Duration // since the run began
	operator *Operator            // submits the first configuration and reads the last

	lock           sync.Mutex // guards the fields of this block
	workers        []*Worker
	workersStarted map[int]int    // by edge, the number of workers that got an address of their own
	edgeByWorker   map[string]int // by the worker's name
	namedWorkers   int            // workers that were started after the first ones

	directLatencyMS []float64     // of calls past the mesh; measureDirectLatency's alone while load runs
	resources       []Sample      // sampleResources' alone while load runs
	recoveryTime    time.Duration // from the end of the last random fault until the fleet serves again
	fleetStopped    bool
}

// logf reports progress.
func (r *testRun) logf(format string, values ...any) {
	printf(r.options.Out, format+"\n", values...)
}

// startWorker starts a worker at the next free address of an edge.
func (r *testRun) startWorker(name string, edge int, service, version string) error {
	r.lock.Lock()
	address := fmt.Sprintf("%s:%d", r.fleet.edgeAddress(edge), portWorker+r.workersStarted[edge])
	r.workersStarted[edge]++
	r.lock.Unlock()
	return r.startWorkerAt(name, edge, service, version, address)
}

// startWorkerAt starts a worker at an address, which may be that of a worker that has ended.
func (r *testRun) startWorkerAt(name string, edge int, service, version, address string) error {
	worker, err := StartWorker(WorkerOptions{
		Name:                name,
		Service:             service,
		Version:             version,
		Zone:                r.fleet.zone(edge),
		Address:             address,
		RegistrationAddress: fmt.Sprintf("%s:%d", r.fleet.edgeAddress(edge), portWorkerAPI),
		Delay:               r.options.WorkerDelay,
	}, r.history, r.now)
	if err != nil {
		return err
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.workers = append(r.workers, worker)
	r.edgeByWorker[name] = edge
	return nil
}

// callersOn makes the callers of an edge: one for all clients, and one for each service that makes its part
// of the internal calls from there.
func (r *testRun) callersOn(edge int) []*Caller {
	d := r.options.Deployment
	rate := d.RequestRate * r.options.RateFactor / float64(d.Edges)
	proxy := r.fleet.Proxies[edge].Name
	clients, internal := d.routesByCaller()
	callers := []*Caller{
		NewCaller(clientCaller, proxy, r.fleet.CallerAddress(edge, clientCaller), clients, rate, r.history, r.now),
	}
	// The service whose worker runs on this edge makes this edge's part of the internal calls.
	for i, placement := range d.assignWorkers() {
		routes := internal[placement.service]
		if placement.edge != edge || len(routes) == 0 || i >= d.Edges {
			continue
		}
		address := r.fleet.CallerAddress(edge, placement.service)
		callers = append(callers, NewCaller(placement.service, proxy, address, routes, rate*d.InternalRatio, r.history, r.now))
	}
	return callers
}

// routesByCaller lists the routes that clients call, and for each service the internal routes that it calls:
// all but its own.
func (d *Deployment) routesByCaller() (clients []RouteSpec, internal map[string][]RouteSpec) {
	internal = map[string][]RouteSpec{}
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
	return clients, internal
}

// newWorkerName names a worker that is started after the first ones.
func (r *testRun) newWorkerName(service string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.namedWorkers++
	return fmt.Sprintf("n%d-%s", r.namedWorkers, service)
}

// edgeOf is the edge machine that a worker runs on.
func (r *testRun) edgeOf(worker *Worker) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.edgeByWorker[worker.name]
}

// directInterval is between two calls past the mesh.
const directInterval = 100 * time.Millisecond

// measureDirectLatency calls one worker past the mesh, to compare latencies with.
func (r *testRun) measureDirectLatency(stop <-chan struct{}) {
	// The faults of the standard scenario leave this worker alone.
	worker := r.workers[1]
	for {
		select {
		case <-stop:
			return
		case <-time.After(directInterval):
		}
		if took, err := worker.CallDirectly(); err == nil {
			r.directLatencyMS = append(r.directLatencyMS, float64(took)/float64(time.Millisecond))
		}
	}
}
