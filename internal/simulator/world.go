package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"
)

// World is one simulated fleet. A scenario creates, runs and closes it within one synctest bubble.
type World struct {
	seed        uint64
	seededFault SeededFault
	startTime   time.Time     // reading of the bubble's clock when the world was created
	now         time.Duration // virtual time of the running event; goroutines call time() instead

	// lock guards the fields from here to closed, except cancellations. Events and goroutines share these fields.
	lock              sync.Mutex
	random            *rand.Rand // random stream of the events
	lastEventSequence uint64     // number of events scheduled so far
	lastID            int        // last number that nextID returned
	events            eventQueue
	eventAdded        chan struct{}            // wakes Run when a goroutine has scheduled an event
	partitionedLinks  map[[2]string]bool       // links that are cut, as pairs of sending and receiving host
	disturbedAt       map[string]time.Duration // virtual time at which a fault last affected each host; may be in the future
	lossRate          float64                  // fraction of messages between hosts that are lost
	maxExtraDelay     time.Duration            // upper bound of the random latency added to each message
	corruptionRate    float64                  // fraction of responses between proxies that are corrupted in transit
	duplicationRate   float64                  // fraction of requests between proxies that arrive twice
	workersByAddress  map[string]*workerNode   // worker that listens at each address now
	cancellations     cancellations            // has a lock of its own
	closed            bool                     // set by Close: no call and no connection starts anymore

	members    []*memberNode
	registries []*registryNode
	proxies    []*proxyNode
	workers    []*workerNode // all workers ever started; appended with lock held

	// Only events change the degradations.
	degradations    map[[2]string]*Degradation // degradation of each version, by service and version
	halfDegradation *Degradation               // degradation of half of the workers of shop version 2, or nil
	faults          []*faultRecord             // injected faults, in the order of their starts; only events append
	addressesUsed   int                        // number of worker addresses handed out

	// lastRestarted is the proxy whose graceful restart began last, or nil. lastRestartedRun is the number of the run that
	// this restart ends.
	lastRestarted    *proxyNode
	lastRestartedRun int

	Options      Options
	onWorkerCall func(worker *workerNode, fails bool) // if not nil, called with lock held for each call that a worker begins
	History      *History
}

// NewWorld creates a fleet from a seed and starts all its processes, or none with Options.Empty. The world must be
// created, run and closed inside one synctest bubble.
func NewWorld(seed uint64, seededFault SeededFault, options Options) *World {
	if options.RetryFloor == 0 {
		options.RetryFloor = retryFloor
	}
	w := &World{
		seed:             seed,
		random:           rand.New(rand.NewPCG(seed, 17)),
		seededFault:      seededFault,
		partitionedLinks: map[[2]string]bool{},
		disturbedAt:      map[string]time.Duration{},
		startTime:        time.Now(),
		eventAdded:       make(chan struct{}, 1),
		workersByAddress: map[string]*workerNode{},
		degradations:     map[[2]string]*Degradation{},
		Options:          options,
	}
	w.History = newHistory(w)
	if options.Empty {
		return w
	}
	w.createNodes()
	for _, node := range w.members {
		w.startMember(node)
	}
	for _, node := range w.registries {
		w.startRegistry(node)
	}
	for _, node := range w.proxies {
		w.startProxy(node)
	}
	w.startInitialWorkers()
	return w
}

// createNodes creates the members, registries and proxies of a mesh without starting them.
func (w *World) createNodes() {
	for i := range memberCount {
		w.members = append(w.members, &memberNode{
			process:       w.newProcess("store-" + memberName(i)),
			replicaConfig: newReplicaConfig(memberName(i), []string{"a", "b", "c"}, 1),
		})
	}
	for i := range memberCount {
		w.registries = append(w.registries, &registryNode{
			process: w.newProcess("registry-" + memberName(i)),
			member:  w.members[i],
		})
	}
	for i := range w.Options.Proxies {
		w.proxies = append(w.proxies, &proxyNode{
			process:   w.newProcess(fmt.Sprintf("proxy-%d", i)),
			index:     i,
			feedIndex: i,
		})
	}
}

// newProcess creates a process that is down, with a clock of its own.
func (w *World) newProcess(name string) process {
	return process{
		name: name,
		clock: clock{
			offset: time.Duration(w.random.Int64N(int64(time.Hour))),
			rate:   0.995 + 0.01*w.random.Float64(), // within the clock drift that a lease allows for
		},
	}
}

// withLock runs a change of shared state with World.lock held.
func (w *World) withLock(change func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	change()
}

// Run executes events in the order of their due times until virtual time reaches until. Before each event it waits
// until all goroutines of the bubble are blocked.
func (w *World) Run(until time.Duration) {
	for {
		synctest.Wait()
		w.lock.Lock()
		due := until
		if len(w.events) > 0 {
			due = min(due, w.events[0].at)
		}
		now := w.time()
		if due <= now && len(w.events) > 0 && w.events[0].at <= until {
			next := heap.Pop(&w.events).(event)
			w.now = now
			// One step of an FNV-1a hash over the due times.
			w.History.EventHash = (w.History.EventHash ^ uint64(next.at)) * 1099511628211
			w.lock.Unlock()
			next.run()
			continue
		}
		w.lock.Unlock()
		if now >= until {
			w.now = now
			return
		}
		timer := time.NewTimer(due - now)
		select {
		case <-timer.C:
		case <-w.eventAdded:
			timer.Stop()
		}
	}
}

// Close drops all scheduled events and stops every worker and process, so that no goroutine outlives the bubble. The
// history records no outcome of an attempt afterwards. Close must be called once, after the last Run.
func (w *World) Close() {
	w.History.lock.Lock()
	w.History.closed = true
	w.History.lock.Unlock()
	w.lock.Lock()
	w.closed = true
	w.events = nil
	w.lock.Unlock()
	for _, worker := range w.workers {
		w.killWorker(worker)
	}
	for _, node := range w.proxies {
		w.stopProxy(node)
	}
	for _, node := range w.members {
		w.stopProcess(&node.process)
	}
	for _, node := range w.registries {
		w.stopProcess(&node.process)
	}
	// Callers time out within a minute, and the goroutines of the HTTP client end with them.
	time.Sleep(2 * time.Minute)
}
