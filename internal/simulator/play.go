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

func route(name string, mark int) *schema.Item {
	return &schema.Item{Kind: "route", Name: name, Body: []byte(fmt.Sprintf(`{"service":"shop","prefix":"/%s/%d","methods":[],"horizon":"2s","key":"X","attributes":{}}`, name, mark))}
}

// weighted is a release flag with a share of version 2, in thousandths of a percent.
func weighted(service string, weight int) *schema.Item {
	return &schema.Item{Kind: "flag", Name: config.VersionFlagKey(service), Body: []byte(fmt.Sprintf(
		`{"on":true,"salt":"s","variations":["1","2"],"offVariation":0,"fallthrough":{"rollout":{"variations":[{"variation":0,"weight":%d},{"variation":1,"weight":%d}]}}}`, 100000-weight, weight))}
}

// listing is a service that lists version 2 or not, and lets "saves" call or not.
func listing(service string, both, saves bool) *schema.Item {
	versions, callers := `"1"`, `"client"`
	if both {
		versions += `,"2"`
	}
	if saves {
		callers += `,"saves"`
	}
	return &schema.Item{Kind: "service", Name: service, Body: []byte(fmt.Sprintf(`{"versions":[%s],"fallback":"1","callers":[%s]}`, versions, callers))}
}

func single(service string) *schema.Item {
	return &schema.Item{Kind: "flag", Name: config.VersionFlagKey(service), Body: []byte(`{"on":true,"salt":"s","variations":["1"],"offVariation":0,"fallthrough":{"variation":0}}`)}
}

func planned(service string, target float64, over time.Duration) *schema.Item {
	return &schema.Item{Kind: "release", Name: "to-" + service, Body: []byte(fmt.Sprintf(`{"service":%q,"version":"2","target":%v,"over":%q,"pace":"go"}`, service, target, over.String()))}
}

// expected is what the registry's setup says of the items of a change.
func expected(state config.State, items []*schema.Item) []*schema.ExpectedVersion {
	var list []*schema.ExpectedVersion
	for _, item := range items {
		if held := state[config.Key(item.Kind, item.Name)]; held != nil && !held.Deleted {
			list = append(list, &schema.ExpectedVersion{Kind: item.Kind, Name: item.Name, Sequence: held.Version.Sequence})
		}
	}
	return list
}

// state states items at a registry, as an operator who read the setup there.
func (w *World) state(node *registryNode, items ...*schema.Item) *schema.Change {
	change := &schema.Change{Id: fmt.Sprint("change-", w.next()), Items: items, Expected: expected(node.state, items)}
	w.submit(node, change, func(schema.Ruling, uint64) {})
	return change
}

// insist states items until they are accepted, now at one registry and then at another.
func (w *World) insist(then func(), items ...*schema.Item) {
	accepted := false
	var try func()
	try = func() {
		if accepted {
			return
		}
		node := w.regs[w.roll(len(w.regs))]
		if node.state["service/shop"] != nil || items[0].Kind == "service" || items[0].Kind == "flag" {
			w.submit(node, &schema.Change{Id: fmt.Sprint("insist-", w.next()), Items: items, Expected: expected(node.state, items)}, func(ruling schema.Ruling, _ uint64) {
				if ruling == schema.Ruling_RULING_ACCEPTED && !accepted {
					accepted = true
					then()
				}
			})
		}
		w.after(500*time.Millisecond, try)
	}
	try()
}

// operate states changes: good ones, ones that race for the same item, and invalid ones.
func (w *World) operate() {
	serial := w.next()
	node := w.regs[w.roll(len(w.regs))]
	if node.state["service/shop"] == nil {
		return
	}
	var items []*schema.Item
	both := func(service string) bool {
		listed := node.setup.Services[service]
		return listed != nil && listed.AllowsVersion("2")
	}
	switch kind := w.roll(12); {
	case kind < 4:
		items = []*schema.Item{route(fmt.Sprint("r", w.roll(3)), serial)}
	case kind < 6:
		for range 3 {
			serial = w.next()
			items = append(items, route(fmt.Sprint("many", serial), serial))
		}
	case kind < 7 && w.roll(2) == 0:
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
	case kind < 8 && both("saves"):
		items = []*schema.Item{weighted("saves", 1000*w.roll(60))}
	case kind < 9 && len(w.ills) == 0 && node.setup.Releases["to-shop"] == nil:
		// A version is delisted, or listed again; its workers stay and go on describing themselves.
		if listed := both("saves"); listed {
			items = []*schema.Item{listing("saves", false, false), single("saves")}
		} else {
			items = []*schema.Item{listing("saves", true, false), weighted("saves", 30000)}
		}
	case kind < 10:
		// A caller is withdrawn, or let in again.
		items = []*schema.Item{listing("shop", true, !node.setup.Services["shop"].AllowsCaller("saves"))}
	default:
		// A good route beside a flag that closes a cycle: whole, it is invalid.
		name := fmt.Sprint("bad", serial)
		w.History.mark("route/" + name)
		items = []*schema.Item{route(name, serial), {Kind: "flag", Name: name,
			Body: []byte(fmt.Sprintf(`{"on":true,"salt":"","variations":["x"],"offVariation":0,"fallthrough":{"variation":0},"prerequisites":[{"key":"%s","variation":0}]}`, name))}}
		if w.plant == PlantPartial {
			items = items[:1]
		}
	}
	change := w.state(node, items...)
	// The same change is sometimes stated again elsewhere, as an operator does who got no answer.
	if w.roll(4) == 0 {
		other := w.regs[w.roll(len(w.regs))]
		w.after(w.upTo(3*time.Second), func() { w.submit(other, change, func(schema.Ruling, uint64) {}) })
	}
}

func (h *History) mark(item string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.markers[item] = true
}

// fault is a kind of fault; act begins it and gives what ends it, or nil if it ends by itself.
type fault struct {
	name  string
	costs bool // it may turn callers away
	core  bool // it takes a core machine or its disk: one at a time is promised to be survived
	act   func(w *World) (mend func())
}

// wholeCore is more than is promised to be survived without cost: nothing acknowledged is lost,
// but what was claimed is, so keys are refused until whatever was forgotten has run out.
const wholeCore = "the whole core loses power"

// Faults are all kinds of fault; each ends after a while.
var Faults = []fault{
	{"seat loses power", false, true, func(w *World) func() {
		node := w.seats[w.roll(seatCount)]
		w.crashSeat(node)
		return func() { w.startSeat(node) }
	}},
	{"core machine loses power", false, true, func(w *World) func() {
		i := w.roll(seatCount)
		w.crashSeat(w.seats[i])
		w.fall(&w.regs[i].machine)
		return func() { w.startSeat(w.seats[i]); w.startRegistry(w.regs[i]) }
	}},
	{"core machine comes back empty", false, true, func(w *World) func() {
		i := w.roll(seatCount)
		w.crashSeat(w.seats[i])
		w.seats[i].disk = nil
		w.fall(&w.regs[i].machine)
		return func() { w.startSeat(w.seats[i]); w.startRegistry(w.regs[i]) }
	}},
	{"seat loses its disk", false, true, func(w *World) func() {
		node := w.seats[w.roll(seatCount)]
		w.crashSeat(node)
		node.disk = nil
		return func() { w.startSeat(node) }
	}},
	{"power lost right after a yes, with the disk", false, true, func(w *World) func() {
		lost := false
		var mend func()
		// It waits for the next yes, and then takes the seat that has the duty.
		yeses := w.History.Yeses
		var watch func()
		watch = func() {
			if lost {
				return
			}
			if w.History.Yeses == yeses {
				w.after(time.Millisecond, watch)
				return
			}
			for i, node := range w.seats {
				if status := node.seat.Status(); !lost && node.up && status.Leader == seatName(i) {
					lost = true
					w.crashSeat(node)
					node.disk = nil
					w.fall(&w.regs[i].machine)
					mend = func() { w.startSeat(node); w.startRegistry(w.regs[i]) }
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
	{wholeCore, true, true, func(w *World) func() {
		for i := range seatCount {
			w.crashSeat(w.seats[i])
			w.fall(&w.regs[i].machine)
		}
		return func() {
			for i := range seatCount {
				w.startSeat(w.seats[i])
				w.startRegistry(w.regs[i])
			}
		}
	}},
	{"registry restarts", false, true, func(w *World) func() {
		node := w.regs[w.roll(seatCount)]
		w.fall(&node.machine)
		return func() { w.startRegistry(node) }
	}},
	{"core machine frozen", false, true, func(w *World) func() {
		i := w.roll(seatCount)
		until := w.now + w.upTo(12*time.Second)
		w.freeze(&w.seats[i].machine, until)
		w.freeze(&w.regs[i].machine, until)
		return func() { w.freeze(&w.seats[i].machine, 0); w.freeze(&w.regs[i].machine, 0) }
	}},
	{"core split one from two", true, false, func(w *World) func() {
		lone := w.roll(seatCount)
		return w.split(func(i, j int) bool { return i == lone || j == lone })
	}},
	{"core split each alone", true, false, func(w *World) func() {
		return w.split(func(i, j int) bool { return true })
	}},
	{"one link one way", true, false, func(w *World) func() {
		i, j := w.roll(seatCount), w.roll(seatCount)
		return w.split(func(a, b int) bool { return a == i && b == j })
	}},
	{"a core machine cut off one way", true, false, func(w *World) func() {
		lone, inward := w.roll(seatCount), w.roll(2) == 0
		return w.split(func(a, b int) bool { return (inward && b == lone) || (!inward && a == lone) })
	}},
	{"core cut off from some proxies", true, false, func(w *World) func() {
		var ways [][2]string
		for _, node := range w.proxies[:1+w.roll(len(w.proxies))] {
			for i := range seatCount {
				if w.roll(4) > 0 {
					ways = append(ways, [2]string{"core-" + seatName(i), node.name}, [2]string{node.name, "core-" + seatName(i)})
				}
			}
		}
		return w.cutWays(ways)
	}},
	{"edge machine cut off", true, false, func(w *World) func() {
		node := w.proxies[w.roll(len(w.proxies))]
		var ways [][2]string
		for i := range seatCount {
			ways = append(ways, [2]string{"core-" + seatName(i), node.name}, [2]string{node.name, "core-" + seatName(i)})
		}
		for _, other := range w.proxies {
			ways = append(ways, [2]string{other.name, node.name}, [2]string{node.name, other.name})
		}
		return w.cutWays(ways)
	}},
	{"link between two edges lost one way", true, false, func(w *World) func() {
		a, b := w.proxies[w.roll(len(w.proxies))], w.proxies[w.roll(len(w.proxies))]
		return w.cutWays([][2]string{{a.name, b.name}})
	}},
	{"disk stalls", false, true, func(w *World) func() {
		node := w.seats[w.roll(seatCount)]
		node.stalledTo = w.now + w.upTo(8*time.Second)
		return func() { w.unstall(node) }
	}},
	{"disk slow", false, true, func(w *World) func() {
		node := w.seats[w.roll(seatCount)]
		node.slowBy = w.upTo(500 * time.Millisecond)
		return func() { node.slowBy = 0; w.links(func() { w.disturb(w.time(), site(node.name)) }) }
	}},
	{"edge machine frozen", true, false, func(w *World) func() {
		m := &w.proxies[w.roll(len(w.proxies))].machine
		w.freeze(m, w.now+w.upTo(15*time.Second))
		return func() { w.freeze(m, 0) }
	}},
	{"proxy killed", true, false, func(w *World) func() { return w.kill(w.proxies[w.roll(len(w.proxies)):][:1]) }},
	{"a herd of proxies killed", true, false, func(w *World) func() {
		var herd []*proxyNode
		for _, node := range w.proxies {
			if w.roll(2) == 0 {
				herd = append(herd, node)
			}
		}
		return w.kill(herd)
	}},
	{"lossy links", true, false, func(w *World) func() {
		w.links(func() { w.loss = 0.3 * w.dice.Float64() })
		return func() { w.links(func() { w.loss = 0; w.disturb(w.time(), everySite) }) }
	}},
	{"slow links", true, false, func(w *World) func() {
		w.links(func() { w.slow = time.Duration(w.dice.Int64N(int64(400 * time.Millisecond))) })
		return func() { w.links(func() { w.slow = 0; w.disturb(w.time(), everySite) }) }
	}},
	{"links that alter", true, false, func(w *World) func() {
		w.links(func() { w.mangle = 0.2 * w.dice.Float64() })
		return func() { w.links(func() { w.mangle = 0 }) }
	}},
	{"links that repeat", true, false, func(w *World) func() {
		w.links(func() { w.repeat = 0.3 * w.dice.Float64() })
		return func() { w.links(func() { w.repeat = 0 }) }
	}},
	{"worker killed", true, false, func(w *World) func() {
		old := w.living()
		w.endWorker(old)
		return func() { w.startWorker(old.beside, old.service, old.version, old.address) }
	}},
	{"worker killed, its address another's", true, false, func(w *World) func() {
		old := w.living()
		other := "shop"
		if old.service == other {
			other = "saves"
		}
		var reuser *workerNode
		if w.roll(2) == 0 {
			reuser = w.supplant(old, other)
		} else {
			w.endWorker(old)
			reuser = w.startWorker(old.beside, other, "1", old.address)
		}
		return func() { w.endWorker(reuser); w.startWorker(old.beside, old.service, old.version, "") }
	}},
	{"worker loses answers", true, false, func(w *World) func() {
		one := w.living()
		one.loses = true
		return func() { one.loses = false }
	}},
	{"worker babbles", true, false, func(w *World) func() {
		one := w.living()
		one.babbles = true
		return func() { one.babbles = false }
	}},
	{"worker warms up slowly", false, false, func(w *World) func() {
		old := w.living()
		w.startWorker(old.beside, old.service, old.version, "").warm = 5 * time.Second
		return func() {}
	}},
	{"worker replaced, its address reused", false, false, func(w *World) func() {
		w.replace(w.living())
		return func() {}
	}},
	{"worker drained, and goes later", false, false, func(w *World) func() {
		old := w.living()
		w.startWorker(old.beside, old.service, old.version, "")
		w.after(500*time.Millisecond, func() {
			if old.up {
				w.drain(old)
			}
		})
		return func() { w.after(6*time.Second, func() { w.describe(old, true); w.endWorker(old) }) }
	}},
	{"every worker replaced in turn", false, false, func(w *World) func() {
		for i, one := range w.all() {
			w.after(time.Duration(i)*1200*time.Millisecond, func() {
				if one.up && !one.leaving {
					w.replace(one)
				}
			})
		}
		return func() {}
	}},
	{"proxy restarted politely", false, false, func(w *World) func() {
		w.polite(w.proxies[w.roll(len(w.proxies))])
		return func() {}
	}},
	{"storm of changes", false, false, func(w *World) func() {
		for i := range 100 {
			w.after(time.Duration(i)*20*time.Millisecond, w.operate)
		}
		return func() {}
	}},
	{"setup grows", false, false, func(w *World) func() {
		var items []*schema.Item
		for range 300 {
			serial := w.next()
			items = append(items, route(fmt.Sprint("grown", serial), serial))
		}
		w.state(w.regs[w.roll(seatCount)], items...)
		return func() {}
	}},
}

func (w *World) links(change func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	change()
}

// living draws a worker that is up and stays.
func (w *World) living() *workerNode {
	all := w.all()
	return all[w.roll(len(all))]
}

func (w *World) all() []*workerNode {
	var all []*workerNode
	for _, one := range w.workers {
		if one.up && !one.leaving {
			all = append(all, one)
		}
	}
	return all
}

// kill ends proxies at once; what gives back starts them again. Their workers stay.
func (w *World) kill(herd []*proxyNode) func() {
	var killed []*proxyNode
	for _, node := range herd {
		if node.up {
			w.endProxy(node)
			killed = append(killed, node)
		}
	}
	return func() {
		for _, node := range killed {
			w.startProxy(node)
		}
	}
}

// polite ends a proxy as SIGTERM does: its workers are told as leaving, callers are turned to
// other proxies, what is under way ends, and then it starts anew.
func (w *World) polite(node *proxyNode) {
	// Machines are stopped in turn: the next one goes when the last is back.
	if !node.up || w.stopping != nil && (w.stopping.life == w.stoppedIn || !w.stopping.open.Load()) {
		return
	}
	life := node.life
	w.stopping, w.stoppedIn = node, life
	node.workers.DrainAll()
	w.on(&node.machine, time.Second, func() {
		node.politely.Store(true)
		w.on(&node.machine, 3*time.Second, func() {
			if node.life == life {
				w.endProxy(node)
				w.after(w.upTo(time.Second), func() { w.startProxy(node) })
			}
		})
	})
}

func (w *World) split(cut func(i, j int) bool) func() {
	var ways [][2]string
	for i := range seatCount {
		for j := range seatCount {
			if i != j && cut(i, j) {
				ways = append(ways, [2]string{"core-" + seatName(i), "core-" + seatName(j)})
			}
		}
	}
	return w.cutWays(ways)
}

func (w *World) cutWays(ways [][2]string) func() {
	w.links(func() {
		for _, way := range ways {
			w.cuts[way] = true
			w.disturb(w.time(), way[0], way[1])
		}
	})
	return func() {
		w.links(func() {
			for _, way := range ways {
				delete(w.cuts, way)
				w.disturb(w.time(), way[0], way[1])
			}
		})
	}
}

// Lengths of a play.
const (
	settled   = 3 * lease
	faultyFor = 60 * time.Second
	mendsIn   = 12 * time.Second
	settleIn  = 2 * lease // registries that restarted last count again only after a lease
)

// begin waits until the fleet serves its first setup.
func (w *World) begin() {
	w.Run(lease + 2*time.Second)
	items, _ := configsource.Parse([]byte(firstSetup))
	w.insist(func() {}, items...)
	w.Run(settled)
	w.callers()
}

// draws picks a fault by the dice, among those that the options allow.
func (w *World) draws() *fault {
	for {
		chosen := &Faults[w.roll(len(Faults))]
		// It ends the claims of a whole window, and with them most of what a seed could show.
		if chosen.name == wholeCore && len(w.Options.Only) == 0 && w.roll(8) > 0 {
			continue
		}
		if (len(w.Options.Only) == 0 || slices.Contains(w.Options.Only, chosen.name)) && (!w.Options.Free || !chosen.costs) {
			return chosen
		}
	}
}

// trouble lets faults come and go. In a free world they come one at a time.
func (w *World) trouble(until time.Duration) {
	coreDown, place := false, 0
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		chosen := w.draws()
		skipped := w.Options.Skip[place]
		place++
		pause := w.upTo(5 * time.Second)
		// One core machine at a time may lose its process or its disk; links may fail besides.
		if (chosen.core && coreDown) || skipped {
			w.after(pause, next)
			return
		}
		entry := &faultEntry{name: chosen.name, from: w.now, costs: chosen.costs, core: chosen.core}
		w.lock.Lock()
		w.faults = append(w.faults, entry)
		w.lock.Unlock()
		mend := chosen.act(w)
		coreDown = coreDown || chosen.core
		w.after(w.upTo(mendsIn), func() {
			mend()
			if chosen.core && w.plant == PlantNoRecovery && w.now > until/2 {
				for _, node := range w.seats[:2] {
					w.crashSeat(node)
				}
			}
			ended := func() {
				w.lock.Lock()
				entry.to = w.now
				w.lock.Unlock()
				if w.Options.Free {
					w.after(2*lease, next)
				}
			}
			if !chosen.core {
				ended()
				return
			}
			// Only one core machine's loss at a time is promised to be survived, so the next goes
			// only once this one has been refilled by the others.
			var whole func()
			whole = func() {
				if w.coreWhole() {
					coreDown = false
					ended()
					return
				}
				w.after(time.Second, whole)
			}
			w.after(time.Second, whole)
		})
		if !w.Options.Free {
			w.after(pause, next)
		}
	}
	next()
}

// operators state changes at random times.
func (w *World) operators() {
	pause := w.Options.Changes
	if pause == 0 {
		pause = time.Second
	}
	var operating func()
	operating = func() {
		w.operate()
		w.after(w.upTo(pause), operating)
	}
	operating()
}

// Play runs one seed: a fleet comes up, callers call, operators state changes and a release
// plan, faults come and go in combination, all are mended, and the fleet must be back. It must
// run inside a bubble.
func Play(seed uint64, plant Plant, options Options) *World {
	if options.Proxies == 0 {
		options.Proxies = 5
		if seed%8 == 0 {
			options.Proxies = 14
		}
	}
	if options.Rate == 0 {
		options.Rate = 30
	}
	if options.Length == 0 {
		options.Length = faultyFor
	}
	w := NewWorld(seed, plant, options)
	w.begin()
	w.operators()
	until := w.now + options.Length
	if seed%2 == 0 {
		w.release(seed)
	}
	if !options.Quiet {
		w.trouble(until)
	}
	// By then the last fault has been mended; the registries may have restarted just before.
	w.Run(until + mendsIn + time.Second)
	w.closing()
	w.Close()
	w.History.close()
	return w
}

// release states a plan for the shop in the midst of it all; in some seeds the version is bad.
func (w *World) release(seed uint64) {
	w.insist(func() {}, planned("shop", 60, 20*time.Second))
	if seed%4 == 0 {
		w.sicken("shop", "2", &Illness{From: w.now + w.upTo(40*time.Second), Fails: 1})
	}
}

// sicken makes a version ill from a time on, and has it watched.
func (w *World) sicken(service, version string, ill *Illness) {
	w.lock.Lock()
	w.ills[[2]string{service, version}] = ill
	w.lock.Unlock()
	w.History.lock.Lock()
	w.History.bad = append(w.History.bad, &badEntry{service: service, version: version})
	w.History.lock.Unlock()
}

// closing checks that after the last fault service is back and what was acknowledged stands.
func (w *World) closing() {
	back := time.Duration(0)
	start := w.now
	yesBefore := w.History.yes
	// A registry that restarted with the last fault counts again after a lease: that is the bound's bulk.
	for w.now < start+recovery+settleIn {
		w.Run(w.now + 250*time.Millisecond)
		leased := 0
		for _, node := range w.proxies {
			if node.up && (w.Options.Serving || node.gate.Open()) && node.open.Load() {
				leased++
			}
		}
		if leased == len(w.proxies) && w.History.yes > yesBefore {
			back = w.now - start
			break
		}
	}
	if back == 0 || back > recovery {
		w.History.breach(RuleRecovery, "service back after %v (0: never)", back)
	}
	for _, node := range w.seats {
		if !node.up {
			continue
		}
		if stable, _ := node.seat.Committed(); stable < yesBefore {
			w.History.breach(RuleLost, "%s shows %d; %d had been acknowledged", node.name, stable, yesBefore)
		}
	}
}
