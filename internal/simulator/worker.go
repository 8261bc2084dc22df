package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/dispatch"
)

// workerNode is a stand-in worker.
type workerNode struct {
	name, address, service, version, token string
	proxy                                  *proxyNode
	up, draining                           bool // up is guarded by the world's lock
	conns                                  connections
	startedAt                              time.Duration
	warmup                                 time.Duration // it is slow for so long after it began
	predecessor                            *workerNode   // whose connections it took over
	dropsResponses, truncatesResponses     bool          // does the work and loses the answer, or garbles it
}

// Degradation is how a version behaves that is not sound.
type Degradation struct {
	From           time.Duration
	Until          time.Duration // 0 for ever
	Route          string        // on one route only
	FailureRate    float64       // part of its calls that it answers with 500
	ExtraLatency   time.Duration // added to each call
	SlowdownFactor float64       // what would fail takes so many times as long instead, 0 for not
	LoadThreshold  int           // it is ill only while more calls than this are under way at it, which take ten times as long
}

const heartbeatInterval = time.Second

// initialWorkers is how the workers are spread: service, version.
var initialWorkers = [][2]string{{"shop", "1"}, {"shop", "2"}, {"saves", "1"}, {"shop", "1"}, {"saves", "2"}, {"shop", "2"}, {"saves", "1"}, {"saves", "2"}}

func (w *World) startInitialWorkers() {
	for i, worker := range initialWorkers {
		w.startWorker(w.proxies[i%len(w.proxies)], worker[0], worker[1], "")
	}
}

// startWorker begins a worker beside a proxy, at a new address or at one that was freed.
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

// describeWorker lets a worker say to its proxy what it is; a dead proxy does not hear it.
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
	w.scheduleOn(&proxy.process, time.Millisecond, func() { _, _ = workers.Register(description) })
}

// drainWorker lets a worker say that it is emptying.
func (w *World) drainWorker(worker *workerNode) {
	worker.draining = true
	w.History.recordDeparture(worker.token, w.now)
	w.describeWorker(worker, false)
}

// killWorker ends a worker at once: every connection breaks.
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

// takeOverConnections puts another worker at an address in a way that no connection to it shows, as where
// something in front of the workers keeps connections open.
func (w *World) takeOverConnections(old *workerNode, service string) *workerNode {
	w.lock.Lock()
	old.up = false
	w.lock.Unlock()
	w.History.recordDeparture(old.token, w.now)
	replacement := w.startWorker(old.proxy, service, "1", old.address)
	replacement.predecessor = old
	return replacement
}

// replaceWorker starts a successor, drains a worker and ends it, and gives its address to a worker of
// another service.
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
				other := "saves"
				if old.service == other {
					other = "shop"
				}
				w.schedule(w.randomDuration(time.Second), func() {
					addressReuser := w.startWorker(old.proxy, other, "1", old.address)
					// It goes again, so that the fleet does not grow with every replacement.
					w.schedule(10*time.Second, func() {
						if addressReuser.up {
							w.drainWorker(addressReuser)
							w.schedule(2*time.Second, func() { w.killWorker(addressReuser) })
						}
					})
				})
			})
		})
	})
}

// randomWorker draws a worker that is up and stays.
func (w *World) randomWorker() *workerNode {
	all := w.activeWorkers()
	return all[w.randomInt(len(all))]
}

func (w *World) activeWorkers() []*workerNode {
	var all []*workerNode
	for _, worker := range w.workers {
		if worker.up && !worker.draining {
			all = append(all, worker)
		}
	}
	return all
}
