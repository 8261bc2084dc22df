package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/dispatch"
)

// workerNode is a fake worker beside a proxy.
type workerNode struct {
	name, address, service, version, token string
	proxy                                  *proxyNode
	up                                     bool // World.lock guards it
	draining                               bool
	conns                                  connections
	startedAt                              time.Duration
	warmup                                 time.Duration // for which it is slow after its start
	predecessor                            *workerNode   // whose connections it took over, or nil
	dropsResponses                         bool          // it executes calls and closes the connection
	truncatesResponses                     bool          // it sends half of the body
}

// Degradation is how an unhealthy version behaves.
type Degradation struct {
	From           time.Duration // start in virtual time
	Until          time.Duration // end in virtual time; 0 for no end
	Route          string        // path prefix that it is limited to; empty for all
	FailureRate    float64       // fraction of its calls that it answers with status 500
	ExtraLatency   time.Duration // added to each call
	SlowdownFactor float64       // if positive, calls that would fail take so many times as long instead
	// LoadThreshold limits it to times when more calls than this are in flight at the version. With the default service
	// time a positive threshold also makes calls take ten times as long, or the load would never be reached.
	LoadThreshold int
}

// activeAt reports whether the degradation covers a point in virtual time.
func (d *Degradation) activeAt(now time.Duration) bool {
	return now >= d.From && (d.Until <= 0 || now < d.Until)
}

// heartbeatInterval is how often a worker describes itself to its proxy.
const heartbeatInterval = time.Second

// initialWorkers are the service and version of each worker at the start, spread over the proxies in turn.
var initialWorkers = [][2]string{
	{"shop", "1"}, {"shop", "2"}, {"saves", "1"}, {"shop", "1"},
	{"saves", "2"}, {"shop", "2"}, {"saves", "1"}, {"saves", "2"},
}

// startInitialWorkers starts the workers that a fleet begins with.
func (w *World) startInitialWorkers() {
	for i, worker := range initialWorkers {
		w.startWorker(w.proxies[i%len(w.proxies)], worker[0], worker[1], "")
	}
}

// startWorker starts a worker beside a proxy, at the given address or, if that is empty, at a new one.
func (w *World) startWorker(proxy *proxyNode, service, version, address string) *workerNode {
	if address == "" {
		w.addressesUsed++
		address = fmt.Sprintf("127.0.0.1:%d", 10000+w.addressesUsed)
	}
	id := w.nextID()
	worker := &workerNode{
		name:      fmt.Sprintf("w%d-%s", id, service),
		address:   address,
		service:   service,
		version:   version,
		token:     fmt.Sprint("token-", id),
		proxy:     proxy,
		up:        true,
		startedAt: w.now,
	}
	w.lock.Lock()
	w.workersByAddress[address] = worker
	w.workers = append(w.workers, worker)
	w.lock.Unlock()
	var sendHeartbeat func()
	sendHeartbeat = func() {
		if !worker.up {
			return
		}
		w.describeWorker(worker, false)
		w.schedule(heartbeatInterval, sendHeartbeat)
	}
	w.schedule(w.randomDuration(heartbeatInterval/2), sendHeartbeat)
	return worker
}

// describeWorker sends the description of a worker to its proxy; a proxy that is down does not receive it.
func (w *World) describeWorker(worker *workerNode, terminated bool) {
	proxy := worker.proxy
	if !proxy.up {
		return
	}
	description := dispatch.WorkerDescription{
		Address:      worker.address,
		Service:      worker.service,
		Version:      worker.version,
		Token:        worker.token,
		HeartbeatMS:  heartbeatInterval.Milliseconds(),
		Draining:     worker.draining,
		Deregistered: terminated,
	}
	if w.seededFault == SeededDrainIgnored {
		description.Draining = false
	}
	workers := proxy.workers
	w.scheduleOn(&proxy.process, time.Millisecond, func() {
		// The proxy may refuse the registration, for example of a worker whose address another has taken; the worker
		// then tries again with its next heartbeat.
		_, _ = workers.Register(description)
	})
}

// drainWorker makes a worker report that it is draining.
func (w *World) drainWorker(worker *workerNode) {
	worker.draining = true
	w.History.recordDeparture(worker.token, w.now)
	w.describeWorker(worker, false)
}

// killWorker ends a worker at once: every connection breaks, those that it took over too.
func (w *World) killWorker(worker *workerNode) {
	w.lock.Lock()
	wasUp := worker.up
	worker.up = false
	if w.workersByAddress[worker.address] == worker {
		delete(w.workersByAddress, worker.address)
	}
	w.lock.Unlock()
	if wasUp {
		w.History.recordDeparture(worker.token, w.now)
		for owner := worker; owner != nil; owner = owner.predecessor {
			owner.conns.close()
		}
	}
}

// takeOverConnections replaces a worker by one of another service at the same address without breaking a connection, as
// a load balancer in front of the workers does that keeps connections open.
func (w *World) takeOverConnections(old *workerNode, service string) *workerNode {
	w.lock.Lock()
	old.up = false
	w.lock.Unlock()
	w.History.recordDeparture(old.token, w.now)
	replacement := w.startWorker(old.proxy, service, "1", old.address)
	replacement.predecessor = old
	return replacement
}

// otherService returns the other one of the two services.
func otherService(service string) string {
	if service == "saves" {
		return "shop"
	}
	return "saves"
}

// replaceWorker starts a replacement, drains the old worker and ends it, and lets a worker of the other service reuse
// its address for a while.
func (w *World) replaceWorker(old *workerNode) {
	w.startWorker(old.proxy, old.service, old.version, "")
	w.schedule(300*time.Millisecond, func() {
		if !old.up {
			return
		}
		w.drainWorker(old)
		w.schedule(time.Second, func() {
			w.describeWorker(old, true)
			w.schedule(100*time.Millisecond, func() {
				w.killWorker(old)
				w.schedule(w.randomDuration(time.Second), func() { w.reuseAddress(old) })
			})
		})
	})
}

// reuseAddress starts a worker of the other service at the address of an ended one. The new worker ends too, so that
// the fleet does not grow with every replacement.
func (w *World) reuseAddress(old *workerNode) {
	successor := w.startWorker(old.proxy, otherService(old.service), "1", old.address)
	w.schedule(10*time.Second, func() {
		if successor.up {
			w.drainWorker(successor)
			w.schedule(2*time.Second, func() { w.killWorker(successor) })
		}
	})
}

// randomWorker draws an active worker.
func (w *World) randomWorker() *workerNode {
	all := w.activeWorkers()
	return all[w.randomInt(len(all))]
}

// activeWorkers returns the workers that are up and not draining.
func (w *World) activeWorkers() []*workerNode {
	var all []*workerNode
	for _, worker := range w.workers {
		if worker.up && !worker.draining {
			all = append(all, worker)
		}
	}
	return all
}
