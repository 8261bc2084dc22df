package testbed

import (
	"fmt"
	"sync"
	"time"
)

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

func (r *testRun) startWorker(name string, edge int, service, version string) error {
	r.lock.Lock()
	address := fmt.Sprintf("%s:%d", r.fleet.edgeAddress(edge), portWorker+r.workersStarted[edge])
	r.workersStarted[edge]++
	r.lock.Unlock()
	return r.startWorkerAt(name, edge, service, version, address)
}

func (r *testRun) startWorkerAt(name string, edge int, service, version, address string) error {
	worker, err := StartWorker(name, service, version, r.fleet.zone(edge), address, fmt.Sprintf("%s:%d", r.fleet.edgeAddress(edge), portWorkerAPI), r.options.WorkerDelay, r.history, r.now)
	if err == nil {
		r.lock.Lock()
		r.workers = append(r.workers, worker)
		r.edgeByWorker[name] = edge
		r.lock.Unlock()
	}
	return err
}

// callersOn makes the callers of an edge: clients, and each service for its internal calls.
func (r *testRun) callersOn(edge int) []*Caller {
	d := r.options.Deployment
	rate := d.RequestRate * r.options.RateFactor / float64(d.Edges)
	proxy := r.fleet.Proxies[edge].Name
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
	callers := []*Caller{NewCaller(clientCaller, proxy, r.fleet.CallerAddress(edge, clientCaller), clients, rate, r.history, r.now)}
	// The service whose worker stands on this edge makes this edge's part of the internal calls.
	for i, placement := range d.placeWorkers() {
		if placement.edge == edge && len(internal[placement.service]) > 0 && i < d.Edges {
			callers = append(callers, NewCaller(placement.service, proxy, r.fleet.CallerAddress(edge, placement.service), internal[placement.service], rate*d.InternalRatio, r.history, r.now))
		}
	}
	return callers
}

// newWorkerName names a worker that comes later.
func (r *testRun) newWorkerName(service string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.namedWorkers++
	return fmt.Sprintf("n%d-%s", r.namedWorkers, service)
}

// edgeOf is where a worker stands.
func (r *testRun) edgeOf(worker *Worker) int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.edgeByWorker[worker.name]
}

// directInterval is how often a call is sent past the mesh.
const directInterval = 100 * time.Millisecond

func (r *testRun) measureDirectLatency(stop <-chan struct{}) {
	// A worker that no standard fault touches.
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
