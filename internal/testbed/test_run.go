package testbed

import (
	"fmt"
	"sync"
	"time"
)

// testRun is the state of one call of Run. Callers, operators, observers and fault injection use it concurrently.
type testRun struct {
	fleet    *Fleet
	options  Options
	scenario *Scenario
	history  *History
	now      func() time.Duration // time since the run began
	operator *Operator            // submits the initial configuration and reads the final one

	lock               sync.Mutex     // guards the fields of this block
	workers            []*Worker      // all workers that were started, in order; those that have ended stay in the list
	allocatedAddresses map[int]int    // number of worker addresses that startWorker has allocated, by edge machine
	edgeByWorker       map[string]int // edge machine of each worker, by its name
	additionalWorkers  int            // number of names that newWorkerName has given out

	directLatencyMS []float64     // latencies of calls that bypass the mesh; only measureDirectLatency writes it during load
	resources       []Sample      // resource samples; only sampleResources writes it during load
	recoveryTime    time.Duration // result of awaitRecovery; 0 in scenarios without random faults
	fleetStopped    bool          // stopFleet has been called
}

// logf writes a line of progress.
func (r *testRun) logf(format string, values ...any) {
	printf(r.options.Out, format+"\n", values...)
}

// startWorker starts a worker at the next unused address of an edge machine.
func (r *testRun) startWorker(name string, edge int, service, version string) error {
	r.lock.Lock()
	address := fmt.Sprintf("%s:%d", r.fleet.edgeAddress(edge), portWorker+r.allocatedAddresses[edge])
	r.allocatedAddresses[edge]++
	r.lock.Unlock()
	return r.startWorkerAt(name, edge, service, version, address)
}

// startWorkerAt starts a worker at a given address, which may be the address of a worker that has ended.
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

// callersOn makes the callers of an edge machine: one for all clients, and one for each service that makes internal
// calls from there.
func (r *testRun) callersOn(edge int) []*Caller {
	d := r.options.Deployment
	rate := d.RequestRate * r.options.RateFactor / float64(d.Edges)
	proxy := r.fleet.Proxies[edge].Name
	clients, internal := d.routesByCaller()
	callers := []*Caller{
		NewCaller(clientCaller, proxy, r.fleet.CallerAddress(edge, clientCaller), clients, rate, r.history, r.now),
	}
	// Only the first worker that was assigned to the edge counts, so each edge gets the internal calls of at most one
	// service.
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

// routesByCaller returns the routes that clients call and, by service, the internal routes that the service calls. A
// service calls the internal routes of every other service.
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

// newWorkerName returns a unique name for a worker that is started after the initial ones.
func (r *testRun) newWorkerName(service string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.additionalWorkers++
	return fmt.Sprintf("n%d-%s", r.additionalWorkers, service)
}

// edgeOf returns the index of the edge machine on which a worker runs.
func (r *testRun) edgeOf(worker *Worker) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.edgeByWorker[worker.name]
}

// directInterval is the time between two calls that bypass the mesh.
const directInterval = 100 * time.Millisecond

// measureDirectLatency calls one worker without the mesh until stop closes. The latencies of these calls are the
// baseline for those through the mesh.
func (r *testRun) measureDirectLatency(stop <-chan struct{}) {
	// The standard scenario injects no fault into this worker.
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
