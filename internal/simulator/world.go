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
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Plant is a fault put into the mesh's own logic, to show that a checker sees it.
type Plant string

// The plants.
const (
	PlantNone        Plant = ""
	PlantEarlyYes    Plant = "early yes: acknowledged as soon as it is stable"
	PlantEternal     Plant = "eternal lease: a proxy decides though its lease has run out"
	PlantLyingDisk   Plant = "lying disk: says synced what power loss takes away"
	PlantAmnesia     Plant = "amnesia: a wiped seat counts at once"
	PlantPartial     Plant = "partial: the good half of an invalid change is taken"
	PlantYoung       Plant = "young registry: grants and fences count from its first moment"
	PlantHasty       Plant = "hasty proxy: decides before it holds a lease"
	PlantNoRecovery  Plant = "no recovery: a seat stays down after the last fault"
	PlantNoClaims    Plant = "no claims: a key is run by whoever is asked"
	PlantForgets     Plant = "forgets: a registry's word on keys counts from its first moment"
	PlantFalseNo     Plant = "false no: a lost link is taken for one that never opened"
	PlantNoSeen      Plant = "no memory: the worker's side forgets which requests it has seen"
	PlantRevives     Plant = "revives: who is behind what was let go gets the difference only"
	PlantHaunts      Plant = "haunts: an answer that a proxy asked for before it was killed is taken by its next life"
	PlantLax         Plant = "lax workers: they run what does not bear their token"
	PlantUnheard     Plant = "unheard: a worker's word that it leaves is not taken"
	PlantClaimsAll   Plant = "false claims: a peer may speak for any caller"
	PlantIgnores     Plant = "ignores: a proxy whose caller has left does not tell the worker's"
	PlantForged      Plant = "forged: an altered answer carries a checksum that fits it"
	PlantNoBudget    Plant = "no budget: extra tries are without bound"
	PlantOpen        Plant = "open: versions and callers are not held against the setup"
	PlantDeaf        Plant = "deaf brake: neither the proxies nor the duty look at failures"
	PlantEasy        Plant = "easy brake: the duty finds any version fine, and each part of a split core has one"
	PlantHairTrigger Plant = "hair trigger: a few failures turn a version back"
	PlantStays       Plant = "stays: a proxy keeps to a registry however old its setup is"
	PlantAway        Plant = "away: now and then a whole link is taken for one that never opened"
)

// Bounds of the simulated fleet.
const (
	lease     = 8 * time.Second
	keyWindow = 12 * lease
	silence   = 1500 * time.Millisecond
	stall     = 2 * time.Second
	poll      = 50 * time.Millisecond
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
	seed  uint64
	plant Plant
	base  time.Time
	now   time.Duration // of the event that runs; goroutines ask time()

	lock   sync.Mutex // of all below it here: events and goroutines share them
	dice   *rand.Rand
	order  uint64
	serial int
	buffer eventBuffer
	moved  chan struct{} // a goroutine added an event
	cuts   map[[2]string]bool
	// disturbed is when something was last done to a site.
	disturbed map[string]time.Duration
	loss      float64
	slow      time.Duration // added to every delivery at most
	mangle    float64       // part of the answers between proxies that is altered on the way
	repeat    float64       // part of the requests between proxies that arrives twice
	places    map[string]*workerNode
	leaving   leaving
	quit      bool // the run is over: nothing is called any more

	seats   []*seatNode
	regs    []*registryNode
	proxies []*proxyNode
	workers []*workerNode
	ills    map[[2]string]*Illness // by service and version
	halfIll *Illness               // of every other worker of a version that is ordered
	faults  []*faultEntry
	spares  int // addresses used so far
	// stopping is the proxy that was last stopped politely, and in which life.
	stopping  *proxyNode
	stoppedIn int
	Options   Options
	observed  func(one *workerNode, bad bool) // told of each call that a worker begins, if set
	History   *History
}

// Options say what kind of world it is.
type Options struct {
	Proxies int
	Rate    float64 // calls a second of the whole fleet
	Only    []string
	// Skip leaves out faults by their place in the order drawn, for shrinking.
	Skip map[int]bool
	// Free draws only faults that may turn nobody away, one at a time.
	Free bool
	// Bare has no machines to begin with.
	Bare bool
	// Quiet has no faults at all.
	Quiet bool
	// Changes is the mean pause between two changes of operators; 0 for the usual half second.
	Changes time.Duration
	// Length of the faulty part; 0 for the usual.
	Length time.Duration
	// Serving has proxies that serve in doubt: see serving.go.
	Serving bool
	// Bound has the release duty keep a bad version within a share of its plan's time.
	Bound bool
	// Work is how long calls take at workers on average, 0 for a few milliseconds.
	Work time.Duration
	// Errors is the part of its calls that any worker answers with 500.
	Errors float64
	// Leaving is the part of the calls without a key whose callers leave before they are answered.
	Leaving float64
	// Floor of the retry budget; 0 for the preset.
	Floor float64
}

// clock is a node's own: it starts anywhere and runs a little fast or slow.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// machine is what can die, freeze and be cut off. Only events change it.
type machine struct {
	name   string
	up     bool
	life   int // counts starts, so that events of an earlier life are dropped
	thawAt time.Duration
	thaw   chan struct{} // closed once it thaws before that; nil while it is not frozen
	held   []func()      // what it was held up in
	clock  clock
	died   chan struct{} // closed when this life ends
}

// NewWorld makes a fleet from a seed; everything in it is up. It must be made, run and closed
// inside a bubble.
func NewWorld(seed uint64, plant Plant, options Options) *World {
	if options.Floor == 0 {
		options.Floor = extraFloor
	}
	w := &World{seed: seed, dice: rand.New(rand.NewPCG(seed, 17)), plant: plant, cuts: map[[2]string]bool{}, disturbed: map[string]time.Duration{}, base: time.Now(), moved: make(chan struct{}, 1),
		places: map[string]*workerNode{}, ills: map[[2]string]*Illness{}, Options: options}
	w.History = &History{shown: map[string][]shown{}, orders: map[uint64]string{}, markers: map[string]bool{}, rulings: map[string]schema.Ruling{}, last: map[string]uint64{}, lives: map[string]int{},
		ops: map[string]*op{}, left: map[string]time.Duration{}, setups: map[uint64]*config.Snapshot{}, Away: map[string]int{}, world: w}
	if options.Bare {
		return w
	}
	for i := range seatCount {
		w.seats = append(w.seats, &seatNode{machine: w.machine("store-" + seatName(i)), options: seatOptions(seatName(i), []string{"a", "b", "c"}, 1)})
	}
	for i := range seatCount {
		w.regs = append(w.regs, &registryNode{machine: w.machine("registry-" + seatName(i)), beside: w.seats[i]})
	}
	for i := range options.Proxies {
		w.proxies = append(w.proxies, &proxyNode{machine: w.machine(fmt.Sprintf("proxy-%d", i)), index: i, feedAt: i})
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
	w.placeWorkers()
	return w
}

func (w *World) machine(name string) machine {
	// Clocks that differ by up to half a percent are within what the lease's slack allows.
	return machine{name: name, clock: clock{offset: time.Duration(w.dice.Int64N(int64(time.Hour))), rate: 0.995 + 0.01*w.dice.Float64()}}
}

// time is now, for whoever is not an event.
func (w *World) time() time.Duration { return time.Since(w.base) }

// next is a number that was not given before.
func (w *World) next() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.serial++
	return w.serial
}

// roll draws a number below most; chance draws one in [0,1); upTo draws a time.
func (w *World) roll(most int) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.dice.IntN(most)
}

func (w *World) upTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	return time.Duration(w.dice.Int64N(int64(most)))
}

// own gives dice to whoever is not an event. They are drawn from what is done and when, not from
// the events' dice, so that it does not matter in which order goroutines go on that wake at once.
func (w *World) own(what string) *rand.Rand {
	sum := fnv.New64a()
	sum.Write([]byte(what))
	return rand.New(rand.NewPCG(w.seed, sum.Sum64()^uint64(w.time())))
}

// called is the context of what is done for one call.
func called(what string) context.Context {
	return context.WithValue(context.Background(), calledKey{}, what)
}

type calledKey struct{}

// stagger lets goroutines that one event woke at once go on one after another, each at a time
// of its own.
func (w *World) stagger(ctx context.Context) {
	what, _ := ctx.Value(calledKey{}).(string)
	time.Sleep(time.Duration(1 + w.own(what).IntN(int(100*time.Microsecond))))
}

// rise and fall begin and end a machine's life.
func (w *World) rise(m *machine) {
	w.lock.Lock()
	defer w.lock.Unlock()
	m.up, m.life, m.died = true, m.life+1, make(chan struct{})
	w.disturb(w.time(), site(m.name))
}

func (w *World) fall(m *machine) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if m.up {
		m.up = false
		w.disturb(w.time(), site(m.name))
		close(m.died)
	}
}

// freeze lets a machine do nothing until a time.
func (w *World) freeze(m *machine, until time.Duration) {
	w.lock.Lock()
	m.thawAt = until
	w.disturb(max(until, w.time()), site(m.name))
	var held []func()
	if until > w.time() && m.thaw == nil {
		m.thaw = make(chan struct{})
	} else if until <= w.time() && m.thaw != nil {
		// Who is thawed early does at once what it was held up in.
		close(m.thaw)
		held, m.held, m.thaw = m.held, nil, nil
	}
	w.lock.Unlock()
	for _, turn := range held {
		w.after(0, turn)
	}
}

// standing tells whether a machine is up and not frozen.
func (w *World) standing(m *machine) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return m.up && m.thawAt <= w.time()
}

// lifeOf gives a machine's life and what closes with it.
func (w *World) lifeOf(m *machine) (life int, died chan struct{}, up bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return m.life, m.died, m.up
}

// thawed waits while a machine is frozen; false if its life has ended.
func (w *World) thawed(m *machine, life int) bool {
	for {
		w.lock.Lock()
		left, lives, died, thaw := m.thawAt-w.time(), m.up && m.life == life, m.died, m.thaw
		w.lock.Unlock()
		if !lives || left <= 0 {
			return lives
		}
		select {
		case <-died:
		case <-thaw:
		case <-time.After(left):
		}
	}
}

// after lets something happen later; events and goroutines may call it.
func (w *World) after(delay time.Duration, run func()) {
	w.lock.Lock()
	w.order++
	heap.Push(&w.buffer, event{w.time() + delay, w.order, run})
	w.lock.Unlock()
	select {
	case w.moved <- struct{}{}:
	default:
	}
}

// on runs something on a machine, in this life only; a frozen machine does it when it thaws.
func (w *World) on(m *machine, delay time.Duration, run func()) {
	life, _, _ := w.lifeOf(m)
	var turn func()
	done := false
	turn = func() {
		if done || !m.up || m.life != life {
			return
		}
		if m.thawAt > w.now {
			m.held = append(m.held, turn)
			w.after(m.thawAt-w.now, turn)
			return
		}
		done = true
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
	w.on(m, w.upTo(pause), again)
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

func (w *World) isCut(from, to *machine) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.cuts[[2]string{site(from.name), site(to.name)}]
}

// passes draws whether a link lets a message through, and how long it takes.
func (w *World) passes(from, to *machine, dice *rand.Rand) (delay time.Duration, lost bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	a, b := site(from.name), site(to.name)
	if a != b && (w.cuts[[2]string{a, b}] || dice.Float64() < w.loss) {
		lost = true
	}
	return time.Millisecond + time.Duration(dice.Int64N(int64(4*time.Millisecond)+int64(w.slow))), lost
}

// deliver carries an event's message from one machine to another, if the links let it.
func (w *World) deliver(from, to *machine, run func()) { w.deliverBy(w.dice, from, to, run) }

func (w *World) deliverBy(dice *rand.Rand, from, to *machine, run func()) {
	delay, lost := w.passes(from, to, dice)
	if lost {
		return
	}
	w.after(delay, func() {
		// The link may be cut while the message is under way.
		if w.isCut(from, to) {
			return
		}
		w.on(to, 0, run)
	})
}

// Run lets the world go on until a time.
func (w *World) Run(until time.Duration) {
	for {
		synctest.Wait()
		w.lock.Lock()
		due := until
		if len(w.buffer) > 0 {
			due = min(due, w.buffer[0].at)
		}
		now := w.time()
		if due <= now && len(w.buffer) > 0 && w.buffer[0].at <= until {
			next := heap.Pop(&w.buffer).(event)
			w.now = now
			w.History.Print = (w.History.Print ^ uint64(next.at)) * 1099511628211
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
		case <-w.moved:
			timer.Stop()
		}
	}
}

// Close ends every life, so that no goroutine outlives the bubble.
func (w *World) Close() {
	w.History.lock.Lock()
	w.History.over = true
	w.History.lock.Unlock()
	w.lock.Lock()
	w.quit = true
	w.buffer = nil
	w.lock.Unlock()
	for _, one := range w.workers {
		w.endWorker(one)
	}
	for _, node := range w.proxies {
		w.endProxy(node)
	}
	for _, node := range w.seats {
		w.fall(&node.machine)
	}
	for _, node := range w.regs {
		w.fall(&node.machine)
	}
	// Callers give up, and the HTTP client's own housekeeping ends, within a minute.
	time.Sleep(2 * time.Minute)
}
