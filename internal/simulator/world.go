// Package simulator runs the whole mesh's own code in one process under a virtual clock, with
// faults drawn from a seed, and holds what happened against the never-rules.
//
// The seats, tables, claims, leases, views, both sides of a dispatch, the steering and the
// brake are those that the daemons run. What stands in for the daemons here is the network,
// the disks, the clocks, the loops that drive them, and the callers, workers and operators.
//
// Everything runs inside a testing/synctest bubble: what is a step function is driven by events
// in the order of their times; what blocks (a call, a hop, a worker) has goroutines of its own
// on the same clock. An event runs only while every goroutine waits.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// World is one simulated fleet.
type World struct {
	seed        uint64
	seededFault SeededFault
	startTime   time.Time
	now         time.Duration // of the event that runs; goroutines ask time()

	lock              sync.Mutex // of all below it here: events and goroutines share them
	random            *rand.Rand
	lastEventSequence uint64
	lastID            int
	events            eventQueue
	eventAdded        chan struct{} // a goroutine added an event
	partitionedLinks  map[[2]string]bool
	// disturbedAt is when something was last done to a site.
	disturbedAt      map[string]time.Duration
	lossRate         float64
	maxExtraDelay    time.Duration // added to every delivery at most
	corruptionRate   float64       // part of the answers between proxies that is altered on the way
	duplicationRate  float64       // part of the requests between proxies that arrives twice
	workersByAddress map[string]*workerNode
	cancellations    cancellations
	closed           bool // the run is over: nothing is called any more

	members         []*memberNode
	registries      []*registryNode
	proxies         []*proxyNode
	workers         []*workerNode
	degradations    map[[2]string]*Degradation // by service and version
	halfDegradation *Degradation               // of every other worker of a version that is ordered
	faults          []*faultRecord
	addressesUsed   int // addresses used so far
	// lastRestarted is the proxy that was last stopped politely, and in which life.
	lastRestarted    *proxyNode
	lastRestartedRun int
	Options          Options
	onWorkerCall     func(one *workerNode, bad bool) // told of each call that a worker begins, if set
	History          *History
}

// NewWorld makes a fleet from a seed; everything in it is up. It must be made, run and closed
// inside a bubble.
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
	w.History = &History{
		shownRevisions:    map[string][]revisionAt{},
		contentBySequence: map[uint64]string{},
		invalidItems:      map[string]bool{},
		rulings:           map[string]schema.Ruling{},
		lastUsedRevision:  map[string]uint64{},
		processRuns:       map[string]int{},

		operations: map[string]*operation{},
		departedAt: map[string]time.Duration{},
		snapshots:  map[uint64]*config.Snapshot{},
		Rejections: map[string]int{},
		world:      w,
	}
	if options.Empty {
		return w
	}
	for i := range memberCount {
		w.members = append(w.members, &memberNode{
			process:       w.newProcess("store-" + memberName(i)),
			replicaConfig: newReplicaConfig(memberName(i), []string{"a", "b", "c"}, 1),
		})
	}
	for i := range memberCount {
		w.registries = append(w.registries, &registryNode{process: w.newProcess("registry-" + memberName(i)), member: w.members[i]})
	}
	for i := range options.Proxies {
		w.proxies = append(w.proxies, &proxyNode{process: w.newProcess(fmt.Sprintf("proxy-%d", i)), index: i, feedIndex: i})
	}
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

func (w *World) newProcess(name string) process {
	// Clocks that differ by up to half a percent are within what the lease's slack allows.
	return process{
		name:  name,
		clock: clock{offset: time.Duration(w.random.Int64N(int64(time.Hour))), rate: 0.995 + 0.01*w.random.Float64()},
	}
}

func (w *World) withLock(change func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	change()
}

// Run lets the world go on until a time.
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

// Close ends every life, so that no goroutine outlives the bubble.
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
	// Callers give up, and the HTTP client's own housekeeping ends, within a minute.
	time.Sleep(2 * time.Minute)
}
