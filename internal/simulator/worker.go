package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/dispatch"
)

// workerNode is a fake worker that runs beside a proxy and registers with it.
type workerNode struct {
	name, address, service, version, token string
	proxy                                  *proxyNode    // proxy that the worker registers with
	up                                     bool          // whether the worker runs; World.lock guards changes
	draining                               bool          // the worker has reported that it is draining
	conns                                  connections   // connections that the worker accepted
	startedAt                              time.Duration // virtual time
	warmup                                 time.Duration // how long the worker is slow after its start
	predecessor                            *workerNode   // worker whose connections this one took over, or nil
	dropsResponses                         bool          // fault: executes calls, then closes the connection
	truncatesResponses                     bool          // fault: sends only half of the body
}

// Degradation is how an unhealthy version behaves.
type Degradation struct {
	From           time.Duration // start in virtual time
	Until          time.Duration // end in virtual time; 0 for no end
	Route          string        // path prefix of the affected calls; empty for all calls
	FailureRate    float64       // fraction of the affected calls that are answered with status 500
	ExtraLatency   time.Duration // latency added to each affected call
	SlowdownFactor float64       // if positive, calls that would fail take this multiple of their time instead
	// LoadThreshold restricts the degradation to times when more calls than this are in flight at the version. With the
	// default service time, a positive threshold also makes calls take ten times as long; otherwise the load would never
	// be reached.
	LoadThreshold int
}

// activeAt reports whether the degradation covers a point in virtual time.
func (d *Degradation) activeAt(now time.Duration) bool {
	return now >= d.From && (d.Until <= 0 || now < d.Until)
}

// heartbeatInterval is the interval at which a worker sends its description to its proxy.
const heartbeatInterval = time.Second

// initialWorkers lists the service and version of each worker that a fleet begins with. The workers are assigned to
// the proxies round-robin.
var initialWorkers = [][2]string{
	{"shop", "1"}, {"shop", "2"}, {"saves", "1"}, {"shop", "1"},
	{"saves", "2"}, {"shop", "2"}, {"saves", "1"}, {"saves", "2"},
}

// startInitialWorkers starts the initialWorkers.
func (w *World) startInitialWorkers() {
	for i, worker := range initialWorkers {
		w.startWorker(w.proxies[i%len(w.proxies)], worker[0], worker[1], "")
	}
}

// startWorker starts a worker beside a proxy. An empty address selects a new one.
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

// describeWorker sends the description of a worker to its proxy, as registration, heartbeat or, if terminated,
// deregistration. A proxy that is down does not receive it.
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
		// The proxy may refuse the registration, for example if another worker has taken the address. The worker tries
		// again with its next heartbeat.
		_, _ = workers.Register(description)
	})
}

// drainWorker makes a worker report to its proxy that it is draining.
func (w *World) drainWorker(worker *workerNode) {
	worker.draining = true
	w.History.recordDeparture(worker.token, w.now)
	w.describeWorker(worker, false)
}

// killWorker ends a worker at once. All its connections break, including those that it took over.
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

// takeOverConnections replaces a worker with one of another service at the same address without breaking a connection.
// This happens behind a load balancer that keeps connections open.
func (w *World) takeOverConnections(old *workerNode, service string) *workerNode {
	w.lock.Lock()
	old.up = false
	w.lock.Unlock()
	w.History.recordDeparture(old.token, w.now)
	replacement := w.startWorker(old.proxy, service, "1", old.address)
	replacement.predecessor = old
	return replacement
}

// otherService returns the service of a mesh that is not the given one.
func otherService(service string) string {
	if service == "saves" {
		return "shop"
	}
	return "saves"
}

// replaceWorker starts a replacement for a worker, drains the old worker and ends it. Then a worker of the other
// service reuses its address for a while.
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

// reuseAddress starts a worker of the other service at the address of a worker that has ended. The new worker ends
// after 12 s, so that the fleet does not grow with every replacement.
func (w *World) reuseAddress(old *workerNode) {
	successor := w.startWorker(old.proxy, otherService(old.service), "1", old.address)
	w.schedule(10*time.Second, func() {
		if successor.up {
			w.drainWorker(successor)
			w.schedule(2*time.Second, func() { w.killWorker(successor) })
		}
	})
}

// randomWorker draws one of the active workers.
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
