package simulator

import (
	"fmt"
	"time"

	"meadowhinge/schema"
)

// fault is a kind of fault; act begins it and gives what ends it, or nil if it ends by itself.
type fault struct {
	name      string
	mayReject bool // it may turn callers away
	hitsCore  bool // it takes a core machine or its disk: one at a time is promised to be survived
	inject    func(w *World) (mend func())
}

// wholeCorePowerLoss is more than is promised to be survived without cost: nothing acknowledged is lost,
// but what was claimed is, so keys are refused until whatever was forgotten has run out.
const wholeCorePowerLoss = "the whole core loses power"

// Faults are all kinds of fault; each ends after a while.
var Faults = []fault{
	{"seat loses power", false, true, func(w *World) func() {
		node := w.members[w.randomInt(memberCount)]
		w.crashMember(node)
		return func() { w.startMember(node) }
	}},
	{"core machine loses power", false, true, func(w *World) func() {
		i := w.randomInt(memberCount)
		w.crashMember(w.members[i])
		w.stopProcess(&w.registries[i].process)
		return func() { w.startMember(w.members[i]); w.startRegistry(w.registries[i]) }
	}},
	{"core machine comes back empty", false, true, func(w *World) func() {
		i := w.randomInt(memberCount)
		w.crashMember(w.members[i])
		w.members[i].disk = nil
		w.stopProcess(&w.registries[i].process)
		return func() { w.startMember(w.members[i]); w.startRegistry(w.registries[i]) }
	}},
	{"seat loses its disk", false, true, func(w *World) func() {
		node := w.members[w.randomInt(memberCount)]
		w.crashMember(node)
		node.disk = nil
		return func() { w.startMember(node) }
	}},
	{"power lost right after a yes, with the disk", false, true, func(w *World) func() {
		lost := false
		var mend func()
		// It waits for the next yes, and then takes the seat that has the duty.
		yeses := w.History.Acknowledgements
		var watch func()
		watch = func() {
			if lost {
				return
			}
			if w.History.Acknowledgements == yeses {
				w.schedule(time.Millisecond, watch)
				return
			}
			for i, node := range w.members {
				if status := node.replica.Status(); !lost && node.up && status.Leader == memberName(i) {
					lost = true
					w.crashMember(node)
					node.disk = nil
					w.stopProcess(&w.registries[i].process)
					mend = func() { w.startMember(node); w.startRegistry(w.registries[i]) }
				}
			}
		}
		watch()
		return func() {
			lost = true
			if mend != nil {
				mend()
			}
		}
	}},
	{wholeCorePowerLoss, true, true, func(w *World) func() {
		for i := range memberCount {
			w.crashMember(w.members[i])
			w.stopProcess(&w.registries[i].process)
		}
		return func() {
			for i := range memberCount {
				w.startMember(w.members[i])
				w.startRegistry(w.registries[i])
			}
		}
	}},
	{"registry restarts", false, true, func(w *World) func() {
		node := w.registries[w.randomInt(memberCount)]
		w.stopProcess(&node.process)
		return func() { w.startRegistry(node) }
	}},
	{"core machine frozen", false, true, func(w *World) func() {
		i := w.randomInt(memberCount)
		until := w.now + w.randomDuration(12*time.Second)
		w.freeze(&w.members[i].process, until)
		w.freeze(&w.registries[i].process, until)
		return func() { w.freeze(&w.members[i].process, 0); w.freeze(&w.registries[i].process, 0) }
	}},
	{"core split one from two", true, false, func(w *World) func() {
		lone := w.randomInt(memberCount)
		return w.partitionCore(func(i, j int) bool { return i == lone || j == lone })
	}},
	{"core split each alone", true, false, func(w *World) func() {
		return w.partitionCore(func(i, j int) bool { return true })
	}},
	{"one link one way", true, false, func(w *World) func() {
		i, j := w.randomInt(memberCount), w.randomInt(memberCount)
		return w.partitionCore(func(a, b int) bool { return a == i && b == j })
	}},
	{"a core machine cut off one way", true, false, func(w *World) func() {
		lone, inward := w.randomInt(memberCount), w.randomInt(2) == 0
		return w.partitionCore(func(a, b int) bool { return (inward && b == lone) || (!inward && a == lone) })
	}},
	{"core cut off from some proxies", true, false, func(w *World) func() {
		var ways [][2]string
		for _, node := range w.proxies[:1+w.randomInt(len(w.proxies))] {
			for i := range memberCount {
				if w.randomInt(4) > 0 {
					ways = append(ways, [2]string{"core-" + memberName(i), node.name}, [2]string{node.name, "core-" + memberName(i)})
				}
			}
		}
		return w.cutLinks(ways)
	}},
	{"edge machine cut off", true, false, func(w *World) func() {
		node := w.proxies[w.randomInt(len(w.proxies))]
		var ways [][2]string
		for i := range memberCount {
			ways = append(ways, [2]string{"core-" + memberName(i), node.name}, [2]string{node.name, "core-" + memberName(i)})
		}
		for _, other := range w.proxies {
			ways = append(ways, [2]string{other.name, node.name}, [2]string{node.name, other.name})
		}
		return w.cutLinks(ways)
	}},
	{"link between two edges lost one way", true, false, func(w *World) func() {
		a := w.proxies[w.randomInt(len(w.proxies))]
		b := w.proxies[w.randomInt(len(w.proxies))]
		return w.cutLinks([][2]string{{a.name, b.name}})
	}},
	{"disk stalls", false, true, func(w *World) func() {
		node := w.members[w.randomInt(memberCount)]
		node.stalledUntil = w.now + w.randomDuration(8*time.Second)
		return func() { w.endDiskStall(node) }
	}},
	{"disk slow", false, true, func(w *World) func() {
		node := w.members[w.randomInt(memberCount)]
		node.maxExtraSyncDelay = w.randomDuration(500 * time.Millisecond)
		return func() {
			node.maxExtraSyncDelay = 0
			w.withLock(func() { w.markDisturbed(w.time(), hostOf(node.name)) })
		}
	}},
	{"edge machine frozen", true, false, func(w *World) func() {
		m := &w.proxies[w.randomInt(len(w.proxies))].process
		w.freeze(m, w.now+w.randomDuration(15*time.Second))
		return func() { w.freeze(m, 0) }
	}},
	{"proxy killed", true, false, func(w *World) func() { return w.killProxies(w.proxies[w.randomInt(len(w.proxies)):][:1]) }},
	{"a herd of proxies killed", true, false, func(w *World) func() {
		var herd []*proxyNode
		for _, node := range w.proxies {
			if w.randomInt(2) == 0 {
				herd = append(herd, node)
			}
		}
		return w.killProxies(herd)
	}},
	{"lossy links", true, false, func(w *World) func() {
		w.withLock(func() { w.lossRate = 0.3 * w.random.Float64() })
		return func() { w.withLock(func() { w.lossRate = 0; w.markDisturbed(w.time(), everyHost) }) }
	}},
	{"slow links", true, false, func(w *World) func() {
		w.withLock(func() { w.maxExtraDelay = time.Duration(w.random.Int64N(int64(400 * time.Millisecond))) })
		return func() { w.withLock(func() { w.maxExtraDelay = 0; w.markDisturbed(w.time(), everyHost) }) }
	}},
	{"links that alter", true, false, func(w *World) func() {
		w.withLock(func() { w.corruptionRate = 0.2 * w.random.Float64() })
		return func() { w.withLock(func() { w.corruptionRate = 0 }) }
	}},
	{"links that repeat", true, false, func(w *World) func() {
		w.withLock(func() { w.duplicationRate = 0.3 * w.random.Float64() })
		return func() { w.withLock(func() { w.duplicationRate = 0 }) }
	}},
	{"worker killed", true, false, func(w *World) func() {
		old := w.randomWorker()
		w.killWorker(old)
		return func() { w.startWorker(old.proxy, old.service, old.version, old.address) }
	}},
	{"worker killed, its address another's", true, false, func(w *World) func() {
		old := w.randomWorker()
		other := "shop"
		if old.service == other {
			other = "saves"
		}
		var reuser *workerNode
		if w.randomInt(2) == 0 {
			reuser = w.takeOverConnections(old, other)
		} else {
			w.killWorker(old)
			reuser = w.startWorker(old.proxy, other, "1", old.address)
		}
		return func() { w.killWorker(reuser); w.startWorker(old.proxy, old.service, old.version, "") }
	}},
	{"worker loses answers", true, false, func(w *World) func() {
		one := w.randomWorker()
		one.dropsResponses = true
		return func() { one.dropsResponses = false }
	}},
	{"worker babbles", true, false, func(w *World) func() {
		one := w.randomWorker()
		one.truncatesResponses = true
		return func() { one.truncatesResponses = false }
	}},
	{"worker warms up slowly", false, false, func(w *World) func() {
		old := w.randomWorker()
		w.startWorker(old.proxy, old.service, old.version, "").warmup = 5 * time.Second
		return func() {}
	}},
	{"worker replaced, its address reused", false, false, func(w *World) func() {
		w.replaceWorker(w.randomWorker())
		return func() {}
	}},
	{"worker drained, and goes later", false, false, func(w *World) func() {
		old := w.randomWorker()
		w.startWorker(old.proxy, old.service, old.version, "")
		w.schedule(500*time.Millisecond, func() {
			if old.up {
				w.drainWorker(old)
			}
		})
		return func() { w.schedule(6*time.Second, func() { w.describeWorker(old, true); w.killWorker(old) }) }
	}},
	{"every worker replaced in turn", false, false, func(w *World) func() {
		for i, one := range w.activeWorkers() {
			w.schedule(time.Duration(i)*1200*time.Millisecond, func() {
				if one.up && !one.draining {
					w.replaceWorker(one)
				}
			})
		}
		return func() {}
	}},
	{"proxy restarted politely", false, false, func(w *World) func() {
		w.restartGracefully(w.proxies[w.randomInt(len(w.proxies))])
		return func() {}
	}},
	{"storm of changes", false, false, func(w *World) func() {
		for i := range 100 {
			w.schedule(time.Duration(i)*20*time.Millisecond, w.submitRandomChange)
		}
		return func() {}
	}},
	{"setup grows", false, false, func(w *World) func() {
		var items []*schema.Item
		for range 300 {
			serial := w.nextID()
			items = append(items, routeItem(fmt.Sprint("grown", serial), serial))
		}
		w.submitItems(w.registries[w.randomInt(memberCount)], items...)
		return func() {}
	}},
}
