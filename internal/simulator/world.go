package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"
)

// World is one simulated fleet. A scenario creates it, runs it and closes it within one synctest bubble.
type World struct {
	seed        uint64
	seededFault SeededFault
	startTime   time.Time
	now         time.Duration // of the running event; goroutines call time()

	// lock guards the fields from here to closed, which events and goroutines share.
	lock              sync.Mutex
	random            *rand.Rand // the random stream of the events
	lastEventSequence uint64
	lastID            int
	events            eventQueue
	eventAdded        chan struct{} // wakes Run when a goroutine has scheduled an event
	partitionedLinks  map[[2]string]bool
	disturbedAt       map[string]time.Duration // by host: when a fault last touched it
	lossRate          float64                  // fraction of messages lost
	maxExtraDelay     time.Duration            // bound of the latency added to each message
	corruptionRate    float64                  // fraction of responses between proxies that are altered in transit
	duplicationRate   float64                  // fraction of requests between proxies that arrive twice
	workersByAddress  map[string]*workerNode
	cancellations     cancellations // has a lock of its own
	closed            bool          // the run is over: no call starts any more

	members    []*memberNode
	registries []*registryNode
	proxies    []*proxyNode
	workers    []*workerNode // lock guards appending

	degradations    map[[2]string]*Degradation // by service and version
	halfDegradation *Degradation               // of half of the workers of an ordered version
	faults          []*faultRecord             // in the order of their starts
	addressesUsed   int                        // worker addresses handed out

	// lastRestarted is the proxy that was last shut down gracefully, lastRestartedRun the run that ended.
	lastRestarted    *proxyNode
	lastRestartedRun int

	Options      Options
	onWorkerCall func(worker *workerNode, bad bool) // if set, called with lock held for each call that a worker begins
	History      *History
}

// NewWorld creates a fleet from a seed and starts all its processes, except for Options.Empty. The world must be
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

// createNodes creates the members, registries and proxies of a mesh; none of them is up yet.
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
			rate:   0.995 + 0.01*w.random.Float64(), // within the clock drift that the slack of a lease allows for
		},
	}
}

// withLock runs a change of shared state with the lock held.
func (w *World) withLock(change func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	change()
}

// Run executes events in the order of their due times until virtual time reaches until. It waits for all goroutines
// of the bubble to block before each event.
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
// history records nothing after it. Close must be called once, after the last Run.
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
	// Callers time out, and the goroutines of the HTTP client end, within a minute.
	time.Sleep(2 * time.Minute)
}
