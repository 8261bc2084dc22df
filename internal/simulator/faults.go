package simulator

import (
	"time"
)

// fault is a kind of fault of the environment: hosts, disks, links, processes, workers or operators. A SeededFault is
// a fault in the logic of the mesh.
type fault struct {
	name      string
	mayReject bool // the mesh may reject calls because of the fault
	hitsCore  bool // the fault affects core hosts, disks or registries; the mesh must survive one such fault at a time
	// inject begins the fault and returns a function that ends it.
	inject func(w *World) (repair func())
}

// corePowerLoss is the name of a fault that makes the mesh reject calls. No acknowledged change is lost, but the key
// reservations are. So the registries refuse keys until all lost reservations have expired.
const corePowerLoss = "the whole core loses power"

// Faults lists the kinds of fault that RunMesh injects. Seeds draw them by index, and the golden digests cover the
// names, so a change of the order or of a name changes recorded histories. In the names, a seat is a member without its
// registry, a core machine is a core host, and an edge machine is the host of a proxy.
var Faults = []fault{
	{"seat loses power", false, true, (*World).crashRandomMember},
	{"core machine loses power", false, true, (*World).crashRandomCoreHost},
	{"core machine comes back empty", false, true, (*World).wipeRandomCoreHost},
	{"seat loses its disk", false, true, (*World).wipeRandomMember},
	{"power lost right after a yes, with the disk", false, true, (*World).wipeLeaderAfterAcknowledgement},
	{corePowerLoss, true, true, (*World).crashAllCoreHosts},
	{"registry restarts", false, true, (*World).restartRandomRegistry},
	{"core machine frozen", false, true, (*World).freezeRandomCoreHost},
	{"core split one from two", true, false, (*World).isolateRandomMember},
	{"core split each alone", true, false, (*World).isolateAllMembers},
	{"one link one way", true, false, (*World).partitionRandomCoreLink},
	{"a core machine cut off one way", true, false, (*World).isolateRandomMemberOneWay},
	{"core cut off from some proxies", true, false, (*World).partitionSomeProxies},
	{"edge machine cut off", true, false, (*World).isolateRandomProxy},
	{"link between two edges lost one way", true, false, (*World).partitionRandomProxyLink},
	{"disk stalls", false, true, (*World).stallRandomDisk},
	{"disk slow", false, true, (*World).slowRandomDisk},
	{"edge machine frozen", true, false, (*World).freezeRandomProxy},
	{"proxy killed", true, false, (*World).killRandomProxy},
	{"a herd of proxies killed", true, false, (*World).killHalfOfProxies},
	{"lossy links", true, false, (*World).loseMessages},
	{"slow links", true, false, (*World).delayMessages},
	{"links that alter", true, false, (*World).corruptResponses},
	{"links that repeat", true, false, (*World).duplicateRequests},
	{"worker killed", true, false, (*World).killRandomWorker},
	{"worker killed, its address another's", true, false, (*World).killRandomWorkerAndReuseAddress},
	{"worker loses answers", true, false, (*World).dropResponsesOfRandomWorker},
	{"worker babbles", true, false, (*World).truncateResponsesOfRandomWorker},
	{"worker warms up slowly", false, false, (*World).startSlowWorker},
	{"worker replaced, its address reused", false, false, (*World).replaceRandomWorker},
	{"worker drained, and goes later", false, false, (*World).drainRandomWorker},
	{"every worker replaced in turn", false, false, (*World).replaceAllWorkers},
	{"proxy restarted politely", false, false, (*World).restartRandomProxy},
	{"storm of changes", false, false, (*World).submitManyChanges},
	{"setup grows", false, false, (*World).growConfig},
}

// Each method below that Faults refers to begins the fault in its name and returns a function that ends it. It draws
// the affected hosts, processes, links or workers from World.random. The golden histories fix the order of the draws.

// nothingToRepair is the repair function of a fault that ends by itself.
func nothingToRepair() {}

func (w *World) crashRandomMember() func() {
	node := w.members[w.randomInt(memberCount)]
	w.crashMember(node)
	return func() { w.startMember(node) }
}

func (w *World) crashRandomCoreHost() func() {
	i := w.randomInt(memberCount)
	w.crashCoreHost(i)
	return func() { w.startCoreHost(i) }
}

func (w *World) wipeRandomCoreHost() func() {
	i := w.randomInt(memberCount)
	w.crashCoreHost(i)
	w.members[i].disk = nil
	return func() { w.startCoreHost(i) }
}

func (w *World) wipeRandomMember() func() {
	node := w.members[w.randomInt(memberCount)]
	w.crashMember(node)
	node.disk = nil
	return func() { w.startMember(node) }
}

// wipeLeaderAfterAcknowledgement waits for the next acknowledgement, then cuts the power of the leader's host and
// wipes its disk. Nothing happens if the fault ends before.
func (w *World) wipeLeaderAfterAcknowledgement() func() {
	done := false // the host has crashed, or the fault has ended
	var restart func()
	before := w.History.Acknowledgements
	w.retryEvery(time.Millisecond, func() bool {
		if done {
			return true
		}
		if w.History.Acknowledgements == before {
			return false
		}
		for i, node := range w.members {
			if status := node.replica.Status(); !done && node.up && status.Leader == memberName(i) {
				done = true
				w.crashCoreHost(i)
				node.disk = nil
				restart = func() { w.startCoreHost(i) }
			}
		}
		return true
	})
	return func() {
		done = true
		if restart != nil {
			restart()
		}
	}
}

func (w *World) crashAllCoreHosts() func() {
	for i := range memberCount {
		w.crashCoreHost(i)
	}
	return func() {
		for i := range memberCount {
			w.startCoreHost(i)
		}
	}
}

func (w *World) restartRandomRegistry() func() {
	node := w.registries[w.randomInt(memberCount)]
	w.stopProcess(&node.process)
	return func() { w.startRegistry(node) }
}

func (w *World) freezeRandomCoreHost() func() {
	i := w.randomInt(memberCount)
	freeze := func(until time.Duration) {
		w.freeze(&w.members[i].process, until)
		w.freeze(&w.registries[i].process, until)
	}
	freeze(w.now + w.randomDuration(12*time.Second))
	return func() { freeze(0) }
}

func (w *World) isolateRandomMember() func() {
	isolated := w.randomInt(memberCount)
	return w.partitionCore(func(i, j int) bool { return i == isolated || j == isolated })
}

func (w *World) isolateAllMembers() func() {
	return w.partitionCore(func(int, int) bool { return true })
}

func (w *World) partitionRandomCoreLink() func() {
	from, to := w.randomInt(memberCount), w.randomInt(memberCount)
	return w.partitionCore(func(i, j int) bool { return i == from && j == to })
}

func (w *World) isolateRandomMemberOneWay() func() {
	isolated, inward := w.randomInt(memberCount), w.randomInt(2) == 0
	return w.partitionCore(func(i, j int) bool { return (inward && j == isolated) || (!inward && i == isolated) })
}

func (w *World) partitionSomeProxies() func() {
	var links [][2]string
	for _, node := range w.proxies[:1+w.randomInt(len(w.proxies))] {
		for i := range memberCount {
			if w.randomInt(4) > 0 {
				links = append(links, linksBetween(coreHost(i), node.name)...)
			}
		}
	}
	return w.partitionLinks(links)
}

func (w *World) isolateRandomProxy() func() {
	node := w.proxies[w.randomInt(len(w.proxies))]
	var links [][2]string
	for i := range memberCount {
		links = append(links, linksBetween(coreHost(i), node.name)...)
	}
	for _, other := range w.proxies {
		links = append(links, linksBetween(other.name, node.name)...)
	}
	return w.partitionLinks(links)
}

func (w *World) partitionRandomProxyLink() func() {
	from, to := w.proxies[w.randomInt(len(w.proxies))], w.proxies[w.randomInt(len(w.proxies))]
	return w.partitionLinks([][2]string{{from.name, to.name}})
}

func (w *World) stallRandomDisk() func() {
	node := w.members[w.randomInt(memberCount)]
	node.stalledUntil = w.now + w.randomDuration(8*time.Second)
	return func() { w.endDiskStall(node) }
}

func (w *World) slowRandomDisk() func() {
	node := w.members[w.randomInt(memberCount)]
	node.maxExtraSyncDelay = w.randomDuration(500 * time.Millisecond)
	return func() {
		node.maxExtraSyncDelay = 0
		w.withLock(func() { w.recordDisturbance(w.time(), hostOf(node.name)) })
	}
}

func (w *World) freezeRandomProxy() func() {
	p := &w.proxies[w.randomInt(len(w.proxies))].process
	w.freeze(p, w.now+w.randomDuration(15*time.Second))
	return func() { w.freeze(p, 0) }
}

func (w *World) killRandomProxy() func() {
	return w.killProxies(w.proxies[w.randomInt(len(w.proxies)):][:1])
}

func (w *World) killHalfOfProxies() func() { return w.killProxies(w.drawHalfOfProxies()) }

func (w *World) loseMessages() func() {
	w.withLock(func() { w.lossRate = 0.3 * w.random.Float64() })
	return func() {
		w.withLock(func() {
			w.lossRate = 0
			w.recordDisturbance(w.time(), everyHost)
		})
	}
}

func (w *World) delayMessages() func() {
	w.withLock(func() { w.maxExtraDelay = time.Duration(w.random.Int64N(int64(400 * time.Millisecond))) })
	return func() {
		w.withLock(func() {
			w.maxExtraDelay = 0
			w.recordDisturbance(w.time(), everyHost)
		})
	}
}

func (w *World) corruptResponses() func() {
	w.withLock(func() { w.corruptionRate = 0.2 * w.random.Float64() })
	return func() { w.withLock(func() { w.corruptionRate = 0 }) }
}

func (w *World) duplicateRequests() func() {
	w.withLock(func() { w.duplicationRate = 0.3 * w.random.Float64() })
	return func() { w.withLock(func() { w.duplicationRate = 0 }) }
}

func (w *World) killRandomWorker() func() {
	old := w.randomWorker()
	w.killWorker(old)
	return func() { w.startWorker(old.proxy, old.service, old.version, old.address) }
}

// killRandomWorkerAndReuseAddress ends a worker and starts one of the other service at its address. In half of the
// cases the new worker takes over the open connections. The repair ends it and starts a worker of the old service at a
// new address.
func (w *World) killRandomWorkerAndReuseAddress() func() {
	old := w.randomWorker()
	other := otherService(old.service)
	var successor *workerNode
	if w.randomInt(2) == 0 {
		successor = w.takeOverConnections(old, other)
	} else {
		w.killWorker(old)
		successor = w.startWorker(old.proxy, other, "1", old.address)
	}
	return func() {
		w.killWorker(successor)
		w.startWorker(old.proxy, old.service, old.version, "")
	}
}

func (w *World) dropResponsesOfRandomWorker() func() {
	worker := w.randomWorker()
	worker.dropsResponses = true
	return func() { worker.dropsResponses = false }
}

func (w *World) truncateResponsesOfRandomWorker() func() {
	worker := w.randomWorker()
	worker.truncatesResponses = true
	return func() { worker.truncatesResponses = false }
}

func (w *World) startSlowWorker() func() {
	old := w.randomWorker()
	w.startWorker(old.proxy, old.service, old.version, "").warmup = 5 * time.Second
	return nothingToRepair
}

func (w *World) replaceRandomWorker() func() {
	w.replaceWorker(w.randomWorker())
	return nothingToRepair
}

// drainRandomWorker starts a replacement for a worker and drains the worker. It ends the worker 6 s after the repair.
func (w *World) drainRandomWorker() func() {
	old := w.randomWorker()
	w.startWorker(old.proxy, old.service, old.version, "")
	w.schedule(500*time.Millisecond, func() {
		if old.up {
			w.drainWorker(old)
		}
	})
	return func() {
		w.schedule(6*time.Second, func() {
			w.describeWorker(old, true)
			w.killWorker(old)
		})
	}
}

func (w *World) replaceAllWorkers() func() {
	for i, worker := range w.activeWorkers() {
		w.schedule(time.Duration(i)*1200*time.Millisecond, func() {
			if worker.up && !worker.draining {
				w.replaceWorker(worker)
			}
		})
	}
	return nothingToRepair
}

func (w *World) restartRandomProxy() func() {
	w.restartGracefully(w.proxies[w.randomInt(len(w.proxies))])
	return nothingToRepair
}

func (w *World) submitManyChanges() func() {
	for i := range 100 {
		w.schedule(time.Duration(i)*20*time.Millisecond, w.submitRandomChange)
	}
	return nothingToRepair
}

func (w *World) growConfig() func() {
	items := w.newRouteItems("grown", 300)
	w.submitItems(w.registries[w.randomInt(memberCount)], items...)
	return nothingToRepair
}
