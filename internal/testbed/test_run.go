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
