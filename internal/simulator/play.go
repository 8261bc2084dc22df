package simulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/schema"
)

func routeItem(name string, variant int) *schema.Item {
	return &schema.Item{Kind: "route", Name: name, Body: []byte(fmt.Sprintf(`{"service":"shop","prefix":"/%s/%d","methods":[],"horizon":"2s","key":"X","attributes":{}}`, name, variant))}
}

// weightedFlagItem is a release flag with a share of version 2, in thousandths of a percent.
func weightedFlagItem(service string, weight int) *schema.Item {
	return &schema.Item{Kind: "flag", Name: config.VersionFlagKey(service), Body: []byte(fmt.Sprintf(
		`{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,"fallthrough":{"rollout":{"variations":[{"variation":0,"weight":%d},{"variation":1,"weight":%d}]}}}`, 100000-weight, weight))}
}

// serviceItem is a service that lists version 2 or not, and lets "saves" call or not.
func serviceItem(service string, listsBoth, admitsSaves bool) *schema.Item {
	versions, callers := `"1"`, `"client"`
	if listsBoth {
		versions += `,"2"`
	}
	if admitsSaves {
		callers += `,"saves"`
	}
	return &schema.Item{Kind: "service", Name: service, Body: []byte(fmt.Sprintf(`{"versions":[%s],"fallback":"1","callers":[%s]}`, versions, callers))}
}

func singleVersionFlagItem(service string) *schema.Item {
	return &schema.Item{Kind: "flag", Name: config.VersionFlagKey(service), Body: []byte(`{"on":true,"salt":"s","variations":["1"],"offVariation":0,"fallthrough":{"variation":0}}`)}
}

func releasePlanItem(service string, target float64, over time.Duration) *schema.Item {
	return &schema.Item{Kind: "release", Name: "to-" + service, Body: []byte(fmt.Sprintf(`{"service":%q,"version":"2","target":%v,"over":%q,"pace":"go"}`, service, target, over.String()))}
}

// expectedVersions is what the registry's setup says of the items of a change.
func expectedVersions(state config.State, items []*schema.Item) []*schema.ExpectedVersion {
	var list []*schema.ExpectedVersion
	for _, item := range items {
		if existing := state[config.Key(item.Kind, item.Name)]; existing != nil && !existing.Deleted {
			list = append(list, &schema.ExpectedVersion{Kind: item.Kind, Name: item.Name, Sequence: existing.Version.Sequence})
		}
	}
	return list
}

// submitItems states items at a registry, as an operator who read the setup there.
func (w *World) submitItems(node *registryNode, items ...*schema.Item) *schema.Change {
	change := &schema.Change{Id: fmt.Sprint("change-", w.nextID()), Items: items, Expected: expectedVersions(node.state, items)}
	w.submitChange(node, change, func(schema.Ruling, uint64) {})
	return change
}

// submitUntilAccepted states items until they are accepted, now at one registry and then at another.
func (w *World) submitUntilAccepted(onAccepted func(), items ...*schema.Item) {
	accepted := false
	var attempt func()
	attempt = func() {
		if accepted {
			return
		}
		node := w.registries[w.randomInt(len(w.registries))]
		if node.state["service/shop"] != nil || items[0].Kind == "service" || items[0].Kind == "flag" {
			w.submitChange(node, &schema.Change{Id: fmt.Sprint("insist-", w.nextID()), Items: items, Expected: expectedVersions(node.state, items)}, func(ruling schema.Ruling, _ uint64) {
				if ruling == schema.Ruling_RULING_ACCEPTED && !accepted {
					accepted = true
					onAccepted()
				}
			})
		}
		w.schedule(500*time.Millisecond, attempt)
	}
	attempt()
}

// submitRandomChange states changes: good ones, ones that race for the same item, and invalid ones.
func (w *World) submitRandomChange() {
	id := w.nextID()
	node := w.registries[w.randomInt(len(w.registries))]
	if node.state["service/shop"] == nil {
		return
	}
	var items []*schema.Item
	listsBoth := func(service string) bool {
		listed := node.snapshot.Services[service]
		return listed != nil && listed.AllowsVersion("2")
	}
	switch kind := w.randomInt(12); {
	case kind < 4:
		items = []*schema.Item{routeItem(fmt.Sprint("r", w.randomInt(3)), id)}
	case kind < 6:
		for range 3 {
			id = w.nextID()
			items = append(items, routeItem(fmt.Sprint("many", id), id))
		}
	case kind < 7 && w.randomInt(2) == 0:
		// What was added goes again, so that tombstones pile up and are let go.
		for _, item := range node.state.Items() {
			if item.Kind == "route" && !item.Deleted && len(items) < 4 && (strings.HasPrefix(item.Name, "many") || strings.HasPrefix(item.Name, "grown")) {
				items = append(items, &schema.Item{Kind: "route", Name: item.Name, Deleted: true})
			}
		}
		if len(items) == 0 {
			return
		}
	case kind < 7 && node.state["route/r0"] != nil:
		items = []*schema.Item{{Kind: "route", Name: "r0", Deleted: true}}
	case kind < 8 && listsBoth("saves"):
		items = []*schema.Item{weightedFlagItem("saves", 1000*w.randomInt(60))}
	case kind < 9 && len(w.degradations) == 0 && node.snapshot.Releases["to-shop"] == nil:
		// A version is delisted, or listed again; its workers stay and go on describing themselves.
		if listed := listsBoth("saves"); listed {
			items = []*schema.Item{serviceItem("saves", false, false), singleVersionFlagItem("saves")}
		} else {
			items = []*schema.Item{serviceItem("saves", true, false), weightedFlagItem("saves", 30000)}
		}
	case kind < 10:
		// A caller is withdrawn, or let in again.
		items = []*schema.Item{serviceItem("shop", true, !node.snapshot.Services["shop"].AllowsCaller("saves"))}
	default:
		// A good route beside a flag that closes a cycle: whole, it is invalid.
		name := fmt.Sprint("bad", id)
		w.History.markInvalid("route/" + name)
		items = []*schema.Item{routeItem(name, id), {Kind: "flag", Name: name,
			Body: []byte(fmt.Sprintf(`{"on":true,"salt":"","variations":["x"],"offVariation":0,"fallthrough":{"variation":0},"prerequisites":[{"key":"%s","variation":0}]}`, name))}}
		if w.seededFault == SeededPartialChange {
			items = items[:1]
		}
	}
	change := w.submitItems(node, items...)
	// The same change is sometimes stated again elsewhere, as an operator does who got no answer.
	if w.randomInt(4) == 0 {
		other := w.registries[w.randomInt(len(w.registries))]
		w.schedule(w.randomDuration(3*time.Second), func() { w.submitChange(other, change, func(schema.Ruling, uint64) {}) })
	}
}

func (h *History) markInvalid(item string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.invalidItems[item] = true
}

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
		a, b := w.proxies[w.randomInt(len(w.proxies))], w.proxies[w.randomInt(len(w.proxies))]
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

func (w *World) withLock(change func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	change()
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

// killProxies ends proxies at once; what gives back starts them again. Their workers stay.
func (w *World) killProxies(nodes []*proxyNode) func() {
	var killed []*proxyNode
	for _, node := range nodes {
		if node.up {
			w.stopProxy(node)
			killed = append(killed, node)
		}
	}
	return func() {
		for _, node := range killed {
			w.startProxy(node)
		}
	}
}

// restartGracefully ends a proxy as SIGTERM does: its workers are told as leaving, callers are turned to
// other proxies, what is under way ends, and then it starts anew.
func (w *World) restartGracefully(node *proxyNode) {
	// Machines are stopped in turn: the next one goes when the last is back.
	if !node.up || w.lastRestarted != nil && (w.lastRestarted.processRun == w.lastRestartedRun || !w.lastRestarted.acceptsCallers.Load()) {
		return
	}
	processRun := node.processRun
	w.lastRestarted, w.lastRestartedRun = node, processRun
	node.workers.DrainAll()
	w.scheduleOn(&node.process, time.Second, func() {
		node.draining.Store(true)
		w.scheduleOn(&node.process, 3*time.Second, func() {
			if node.processRun == processRun {
				w.stopProxy(node)
				w.schedule(w.randomDuration(time.Second), func() { w.startProxy(node) })
			}
		})
	})
}

func (w *World) partitionCore(isCut func(i, j int) bool) func() {
	var links [][2]string
	for i := range memberCount {
		for j := range memberCount {
			if i != j && isCut(i, j) {
				links = append(links, [2]string{"core-" + memberName(i), "core-" + memberName(j)})
			}
		}
	}
	return w.cutLinks(links)
}

func (w *World) cutLinks(links [][2]string) func() {
	w.withLock(func() {
		for _, link := range links {
			w.partitionedLinks[link] = true
			w.markDisturbed(w.time(), link[0], link[1])
		}
	})
	return func() {
		w.withLock(func() {
			for _, link := range links {
				delete(w.partitionedLinks, link)
				w.markDisturbed(w.time(), link[0], link[1])
			}
		})
	}
}

// Lengths of a play.
const (
	settlingTime          = 3 * leaseDuration
	defaultFaultyDuration = 60 * time.Second
	maxFaultDuration      = 12 * time.Second
	registryRestartTime   = 2 * leaseDuration // registries that restarted last count again only after a lease
)

// bootFleet waits until the fleet serves its first setup.
func (w *World) bootFleet() {
	w.Run(leaseDuration + 2*time.Second)
	items, _ := configsource.Parse([]byte(initialConfig))
	w.submitUntilAccepted(func() {}, items...)
	w.Run(settlingTime)
	w.startCallers()
}

// drawFault picks a fault by the dice, among those that the options allow.
func (w *World) drawFault() *fault {
	for {
		chosen := &Faults[w.randomInt(len(Faults))]
		// It ends the claims of a whole window, and with them most of what a seed could show.
		if chosen.name == wholeCorePowerLoss && len(w.Options.OnlyFaults) == 0 && w.randomInt(8) > 0 {
			continue
		}
		if (len(w.Options.OnlyFaults) == 0 || slices.Contains(w.Options.OnlyFaults, chosen.name)) && (!w.Options.HarmlessFaultsOnly || !chosen.mayReject) {
			return chosen
		}
	}
}

// injectFaults lets faults come and go. In a free world they come one at a time.
func (w *World) injectFaults(until time.Duration) {
	coreDown, faultIndex := false, 0
	var injectNext func()
	injectNext = func() {
		if w.now > until {
			return
		}
		chosen := w.drawFault()
		skipped := w.Options.SkipFaults[faultIndex]
		faultIndex++
		pause := w.randomDuration(5 * time.Second)
		// One core machine at a time may lose its process or its disk; links may fail besides.
		if (chosen.hitsCore && coreDown) || skipped {
			w.schedule(pause, injectNext)
			return
		}
		record := &faultRecord{name: chosen.name, startedAt: w.now, mayReject: chosen.mayReject, hitsCore: chosen.hitsCore}
		w.lock.Lock()
		w.faults = append(w.faults, record)
		w.lock.Unlock()
		repair := chosen.inject(w)
		coreDown = coreDown || chosen.hitsCore
		w.schedule(w.randomDuration(maxFaultDuration), func() {
			repair()
			if chosen.hitsCore && w.seededFault == SeededNoRecovery && w.now > until/2 {
				for _, node := range w.members[:2] {
					w.crashMember(node)
				}
			}
			recordEnd := func() {
				w.lock.Lock()
				record.endedAt = w.now
				w.lock.Unlock()
				if w.Options.HarmlessFaultsOnly {
					w.schedule(2*leaseDuration, injectNext)
				}
			}
			if !chosen.hitsCore {
				recordEnd()
				return
			}
			// Only one core machine's loss at a time is promised to be survived, so the next goes
			// only once this one has been refilled by the others.
			var awaitCoreRecovery func()
			awaitCoreRecovery = func() {
				if w.isCoreRecovered() {
					coreDown = false
					recordEnd()
					return
				}
				w.schedule(time.Second, awaitCoreRecovery)
			}
			w.schedule(time.Second, awaitCoreRecovery)
		})
		if !w.Options.HarmlessFaultsOnly {
			w.schedule(pause, injectNext)
		}
	}
	injectNext()
}

// startOperators state changes at random times.
func (w *World) startOperators() {
	interval := w.Options.ChangeInterval
	if interval == 0 {
		interval = time.Second
	}
	var submitAndReschedule func()
	submitAndReschedule = func() {
		w.submitRandomChange()
		w.schedule(w.randomDuration(interval), submitAndReschedule)
	}
	submitAndReschedule()
}

// RunMesh runs one seed: a fleet comes up, callers call, operators state changes and a release
// plan, faults come and go in combination, all are mended, and the fleet must be back. It must
// run inside a bubble.
func RunMesh(seed uint64, seededFault SeededFault, options Options) *World {
	if options.Proxies == 0 {
		options.Proxies = 5
		if seed%8 == 0 {
			options.Proxies = 14
		}
	}
	if options.CallRate == 0 {
		options.CallRate = 30
	}
	if options.FaultyDuration == 0 {
		options.FaultyDuration = defaultFaultyDuration
	}
	w := NewWorld(seed, seededFault, options)
	w.bootFleet()
	w.startOperators()
	until := w.now + options.FaultyDuration
	if seed%2 == 0 {
		w.startRelease(seed)
	}
	if !options.NoFaults {
		w.injectFaults(until)
	}
	// By then the last fault has been mended; the registries may have restarted just before.
	w.Run(until + maxFaultDuration + time.Second)
	w.checkRecovery()
	w.Close()
	w.History.checkAtEnd()
	return w
}

// startRelease states a plan for the shop in the midst of it all; in some seeds the version is bad.
func (w *World) startRelease(seed uint64) {
	w.submitUntilAccepted(func() {}, releasePlanItem("shop", 60, 20*time.Second))
	if seed%4 == 0 {
		w.degradeVersion("shop", "2", &Degradation{From: w.now + w.randomDuration(40*time.Second), FailureRate: 1})
	}
}

// degradeVersion makes a version ill from a time on, and has it watched.
func (w *World) degradeVersion(service, version string, degradation *Degradation) {
	w.lock.Lock()
	w.degradations[[2]string{service, version}] = degradation
	w.lock.Unlock()
	w.History.lock.Lock()
	w.History.badVersions = append(w.History.badVersions, &badVersion{service: service, version: version})
	w.History.lock.Unlock()
}

// checkRecovery checks that after the last fault service is back and what was acknowledged stands.
func (w *World) checkRecovery() {
	recoveredAfter := time.Duration(0)
	start := w.now
	acknowledgedBefore := w.History.lastAcknowledged
	// A registry that restarted with the last fault counts again after a lease: that is the bound's bulk.
	for w.now < start+recoveryBound+registryRestartTime {
		w.Run(w.now + 250*time.Millisecond)
		leased := 0
		for _, node := range w.proxies {
			if node.up && (w.Options.ServeStale || node.leaseGate.Open()) && node.acceptsCallers.Load() {
				leased++
			}
		}
		if leased == len(w.proxies) && w.History.lastAcknowledged > acknowledgedBefore {
			recoveredAfter = w.now - start
			break
		}
	}
	if recoveredAfter == 0 || recoveredAfter > recoveryBound {
		w.History.recordBreach(RuleRecoveryTime, "service back after %v (0: never)", recoveredAfter)
	}
	for _, node := range w.members {
		if !node.up {
			continue
		}
		if committed, _ := node.replica.Committed(); committed < acknowledgedBefore {
			w.History.recordBreach(RuleAcknowledgedLost, "%s shows %d; %d had been acknowledged", node.name, committed, acknowledgedBefore)
		}
	}
}
