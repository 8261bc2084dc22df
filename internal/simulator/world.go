// Package simulator runs the control plane's own code under a virtual clock, with faults
// drawn from a seed, and holds what happened against the never-rules.
//
// The seats, tables and leases are those that the daemons run. What stands in for the
// daemons here is the network, the disks, the clocks and the loops that drive them.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/registry"
	"meadowhinge/internal/session"
	"meadowhinge/internal/setup"
	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

// Plant is a fault put into the mesh's own logic, to show that a checker sees it.
type Plant string

// The plants.
const (
	PlantNone       Plant = ""
	PlantEarlyYes   Plant = "early yes: acknowledged as soon as it is stable"
	PlantEternal    Plant = "eternal lease: a proxy decides though its lease has run out"
	PlantLyingDisk  Plant = "lying disk: says synced what power loss takes away"
	PlantAmnesia    Plant = "amnesia: a wiped seat counts at once"
	PlantPartial    Plant = "partial: the good half of an invalid change is taken"
	PlantYoung      Plant = "young registry: grants and fences count from its first moment"
	PlantHasty      Plant = "hasty proxy: decides before it holds a lease"
	PlantNoRecovery Plant = "no recovery: a seat stays down after the last fault"
)

// Bounds of the simulated fleet.
const (
	lease     = 8 * time.Second
	silence   = 1500 * time.Millisecond
	stall     = 2 * time.Second
	tick      = 75 * time.Millisecond
	poll      = 50 * time.Millisecond
	proxies   = 5
	recovery  = 15 * time.Second
	seatCount = 3
)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventBuffer []event

func (q eventBuffer) Len() int { return len(q) }
func (q eventBuffer) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventBuffer) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventBuffer) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventBuffer) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// World is one simulated fleet.
type World struct {
	dice    *rand.Rand
	plant   Plant
	now     time.Duration
	order   uint64
	buffer  eventBuffer
	cuts    map[[2]string]bool
	loss    float64
	slow    time.Duration // added to every delivery at most
	seats   []*seatNode
	regs    []*registryNode
	proxies []*proxyNode
	serial  int
	Only    map[string]bool // the faults to draw from; nil for all
	History History
}

// clock is a node's own: it starts anywhere and runs a little fast or slow.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// machine is what can die, freeze and be cut off.
type machine struct {
	name   string
	up     bool
	life   int // counts starts, so that events of an earlier life are dropped
	thawAt time.Duration
	clock  clock
}

type seatNode struct {
	machine
	seat        *store.Seat
	incarnation uint64
	disk        []*schema.Record // synced
	writing     []store.Persist
	stalledTo   time.Duration
	tickets     map[string]func(any)
}

type registryNode struct {
	machine
	started time.Duration
	table   *registry.Table
	state   setup.State
	beside  *seatNode
}

type proxyNode struct {
	machine
	incarnation uint64
	started     time.Duration
	lease       *session.Lease
	state       setup.State
	applied     uint64
	feedAt      int
}

// NewWorld makes a fleet from a seed; everything in it is up.
func NewWorld(seed uint64, plant Plant) *World {
	w := &World{dice: rand.New(rand.NewPCG(seed, 17)), plant: plant, cuts: map[[2]string]bool{}}
	w.History.shown = map[string][]shown{}
	w.History.orders = map[uint64]string{}
	w.History.markers = map[string]bool{}
	w.History.rulings = map[string]schema.Ruling{}
	for i := range seatCount {
		node := &seatNode{machine: w.machine("store-" + seatName(i))}
		w.seats = append(w.seats, node)
	}
	for i := range seatCount {
		w.regs = append(w.regs, &registryNode{machine: w.machine("registry-" + seatName(i)), beside: w.seats[i]})
	}
	for i := range proxies {
		w.proxies = append(w.proxies, &proxyNode{machine: w.machine(fmt.Sprintf("proxy-%d", i)), feedAt: i})
	}
	for _, node := range w.seats {
		w.startSeat(node)
	}
	for _, node := range w.regs {
		w.startRegistry(node)
	}
	for _, node := range w.proxies {
		w.startProxy(node)
	}
	return w
}

func seatName(i int) string { return string(rune('a' + i)) }

func (w *World) machine(name string) machine {
	// Clocks that differ by up to half a percent are within what the lease's slack allows.
	return machine{name: name, clock: clock{offset: time.Duration(w.dice.Int64N(int64(time.Hour))), rate: 0.995 + 0.01*w.dice.Float64()}}
}

func (w *World) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.buffer, event{w.now + delay, w.order, run})
}

// on runs something on a machine, in this life only; a frozen machine does it when it thaws.
func (w *World) on(m *machine, delay time.Duration, run func()) {
	life := m.life
	var turn func()
	turn = func() {
		if !m.up || m.life != life {
			return
		}
		if m.thawAt > w.now {
			w.after(m.thawAt-w.now, turn)
			return
		}
		run()
	}
	w.after(delay, turn)
}

func (w *World) every(m *machine, pause time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.on(m, pause, again)
	}
	w.on(m, time.Duration(w.dice.Int64N(int64(pause))), again)
}

// site is the machine a process stands on: a store and a registry share one.
func site(name string) string {
	if len(name) > 6 && name[:6] == "store-" {
		return "core-" + name[6:]
	}
	if len(name) > 9 && name[:9] == "registry-" {
		return "core-" + name[9:]
	}
	return name
}

// deliver carries a message from one machine to another, if the links let it.
func (w *World) deliver(from, to *machine, run func()) {
	a, b := site(from.name), site(to.name)
	if a != b && (w.cuts[[2]string{a, b}] || w.dice.Float64() < w.loss) {
		return
	}
	delay := time.Millisecond + time.Duration(w.dice.Int64N(int64(4*time.Millisecond)+int64(w.slow)))
	w.after(delay, func() {
		// The link may be cut while the message is under way.
		if a != b && w.cuts[[2]string{a, b}] {
			return
		}
		w.on(to, 0, run)
	})
}

// Run lets the world go on until a time.
func (w *World) Run(until time.Duration) {
	for len(w.buffer) > 0 && w.buffer[0].at <= until {
		next := heap.Pop(&w.buffer).(event)
		w.now = next.at
		w.History.Print = (w.History.Print ^ uint64(next.at) ^ next.order) * 1099511628211
		next.run()
	}
	w.now = until
}

// ---- stores ----

func (w *World) startSeat(node *seatNode) {
	node.up, node.life, node.writing = true, node.life+1, nil
	node.tickets = map[string]func(any){}
	records := node.disk
	if len(records) == 0 {
		w.serial++
		node.incarnation = uint64(w.serial)
		records = []*schema.Record{{Incarnation: node.incarnation}}
		node.disk = records
	}
	if w.plant == PlantAmnesia && node.life > 1 {
		records = append(append([]*schema.Record(nil), records...), &schema.Record{Counted: true})
	}
	name := node.name[len("store-"):]
	node.seat = store.NewSeat(store.Options{Name: name, Order: []string{"a", "b", "c"}, Address: name, Silence: silence, Stall: stall,
		EntriesMost: 16, OutcomesMost: 4096, BufferMost: 64}, node.incarnation, records)
	w.every(&node.machine, tick, func() { w.act(node, node.seat.Tick(node.clock.at(w.now))) })
}

func (w *World) seatCalled(name string) *seatNode {
	for _, node := range w.seats {
		if node.name == "store-"+name {
			return node
		}
	}
	return nil
}

func (w *World) act(node *seatNode, actions []store.Action) {
	for _, action := range actions {
		switch one := action.(type) {
		case store.Send:
			to := w.seatCalled(one.Letter.To)
			letter := proto.Clone(one.Letter).(*schema.SeatLetter)
			w.deliver(&node.machine, &to.machine, func() { w.act(to, to.seat.Deliver(to.clock.at(w.now), letter)) })
		case store.Persist:
			one.Record = proto.Clone(one.Record).(*schema.Record)
			node.writing = append(node.writing, one)
			if len(node.writing) == 1 {
				w.sync(node)
			}
		case store.Reply:
			w.end(node, one.Submitted.Ticket, one.Submitted)
		case store.ReplyBarrier:
			w.end(node, one.Back.Ticket, one.Back)
		}
	}
	w.observeSeat(node)
}

func (w *World) end(node *seatNode, ticket string, result any) {
	if then := node.tickets[ticket]; then != nil {
		delete(node.tickets, ticket)
		then(result)
	}
}

// sync finishes the first write after the disk's delay, then takes the next.
func (w *World) sync(node *seatNode) {
	delay := time.Duration(w.dice.Int64N(int64(8 * time.Millisecond)))
	if node.stalledTo > w.now {
		delay += node.stalledTo - w.now
	}
	w.on(&node.machine, delay, func() {
		if node.stalledTo > w.now {
			w.sync(node)
			return
		}
		done := node.writing[0]
		node.writing = node.writing[1:]
		w.keep(node, done)
		if len(node.writing) > 0 {
			w.sync(node)
		}
		w.act(node, node.seat.Synced(node.clock.at(w.now), done.Mark))
	})
}

// keep puts a record on the disk for good.
func (w *World) keep(node *seatNode, one store.Persist) {
	if one.Whole {
		node.disk = nil
	}
	node.disk = append(node.disk, one.Record)
}

// crashSeat is a loss of power: what was not synced is gone, but for a part that happened
// to reach the disk.
func (w *World) crashSeat(node *seatNode) {
	// The planted disk said "synced" of records that power loss now takes away.
	if w.plant == PlantLyingDisk {
		for lost := 1 + w.dice.IntN(3); lost > 0 && len(node.disk) > 1 && node.disk[len(node.disk)-1].Digest == nil; lost-- {
			node.disk = node.disk[:len(node.disk)-1]
		}
	}
	if node.up {
		for range w.dice.IntN(len(node.writing) + 1) {
			w.keep(node, node.writing[0])
			node.writing = node.writing[1:]
		}
	}
	node.up = false
}

// ---- registries ----

func (w *World) startRegistry(node *registryNode) {
	node.up, node.life, node.started, node.state = true, node.life+1, w.now, setup.State{}
	bound := lease
	if w.plant == PlantYoung {
		bound = 0
	}
	node.table = registry.NewTable(registry.TableOptions{Seat: node.name[len("registry-"):], Lease: lease, SourcesMost: 64, CountsMost: 64})
	age := func() time.Duration {
		// A planted fault lets the table believe that it has been up for a lease already.
		return node.clock.at(w.now) - node.clock.at(node.started) + lease - bound
	}
	w.every(&node.machine, poll, func() {
		beside := node.beside
		if !beside.up || beside.thawAt > w.now {
			return
		}
		stable, state := beside.seat.Stable()
		if stable > node.table.Stable() {
			node.state = node.state.With(store.Difference(state, stable, node.table.Stable()).Items)
			node.table.SetStable(age(), stable)
		}
	})
	asked := false
	w.every(&node.machine, 4*poll, func() {
		if asked || !node.beside.up || node.beside.thawAt > w.now {
			return
		}
		if w.plant == PlantYoung {
			node.table.SetCurrent()
			return
		}
		w.serial++
		ticket := fmt.Sprint("stand-", w.serial)
		node.beside.tickets[ticket] = func(result any) {
			back := result.(*schema.BarrierBack)
			if back.Undecided {
				return
			}
			asked = true
			w.every(&node.machine, poll, func() {
				if node.table.Stable() >= back.Stable {
					node.table.SetCurrent()
				}
			})
		}
		w.act(node.beside, node.beside.seat.Stand(node.beside.clock.at(w.now), ticket))
	})
}

func (w *World) ageOf(node *registryNode) time.Duration {
	age := node.clock.at(w.now) - node.clock.at(node.started)
	if w.plant == PlantYoung {
		age += lease
	}
	return age
}

// ---- proxies ----

func (w *World) startProxy(node *proxyNode) {
	w.serial++
	node.up, node.life, node.started, node.incarnation = true, node.life+1, w.now, uint64(w.serial)
	node.lease, node.state, node.applied = session.NewLease(lease), setup.State{}, 0
	for i := range w.regs {
		w.every(&node.machine, lease/registry.LeaseParts, func() { w.renew(node, i, 0, nil) })
	}
	busy := time.Duration(0)
	w.every(&node.machine, poll, func() {
		if busy > w.now {
			return
		}
		// A feed that stays silent is left after a while.
		if busy != 0 {
			node.feedAt++
		}
		busy = w.now + lease/(2*registry.LeaseParts)
		target := w.regs[node.feedAt%len(w.regs)]
		w.deliver(&node.machine, &target.machine, func() {
			stable := target.table.Stable()
			items := target.state.Items()
			w.deliver(&target.machine, &node.machine, func() {
				busy = 0
				if stable > node.applied {
					w.apply(node, stable, items)
				}
			})
		})
	})
	w.every(&node.machine, 100*time.Millisecond, func() { w.decide(node) })
}

// apply takes a setup into use once a majority of registries knows of it; the first one at
// once, for without a lease nothing is shown by it yet.
func (w *World) apply(node *proxyNode, stable uint64, items []*schema.Item) {
	heard := map[string]bool{}
	use := func() {
		if stable <= node.applied {
			return
		}
		node.state = node.state.With(items)
		node.applied = stable
		for i := range w.regs {
			w.renew(node, i, 0, nil)
		}
	}
	if node.applied == 0 {
		use()
		return
	}
	for i := range w.regs {
		w.renew(node, i, stable, func(seat string) {
			if heard[seat] = true; len(heard) > seatCount/2 {
				use()
			}
		})
	}
}

func (w *World) renew(node *proxyNode, i int, knows uint64, heard func(seat string)) {
	target := w.regs[i]
	asked := node.clock.at(w.now)
	renew := &schema.Renew{Proxy: node.name, Incarnation: node.incarnation, Applied: node.applied, Knows: knows}
	w.deliver(&node.machine, &target.machine, func() {
		reply := target.table.Renew(w.ageOf(target), renew)
		w.deliver(&target.machine, &node.machine, func() {
			if heard != nil && node.incarnation == renew.Incarnation {
				heard(reply.Seat)
			}
			if reply.Granted && node.incarnation == renew.Incarnation {
				node.lease.Granted(reply.Seat, seatCount, asked)
			}
			// Another registry knows more than the one that feeds this proxy.
			if reply.Stable > node.applied && node.feedAt%len(w.regs) != i && w.dice.IntN(4) == 0 {
				node.feedAt = i
			}
		})
	})
}

// decide is a call: planned, and sent, by the rules the proxy holds at that moment.
func (w *World) decide(node *proxyNode) {
	leased := node.lease.Stands(node.clock.at(w.now))
	switch {
	case leased:
	case w.plant == PlantEternal && node.lease.Until() > 0:
	case w.plant == PlantHasty && node.applied > 0:
	default:
		w.History.TurnedAway++
		return
	}
	w.History.decision(w.now, node.name, node.applied, node.state)
}
