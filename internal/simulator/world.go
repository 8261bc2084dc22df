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

// SeededFault is a fault put into the mesh's own logic, to show that a checker sees it.
type SeededFault string

// The plants.
const (
	SeededNone                  SeededFault = ""
	SeededEarlyAcknowledgement  SeededFault = "early yes: acknowledged as soon as it is stable"
	SeededEternalLease          SeededFault = "eternal lease: a proxy decides though its lease has run out"
	SeededLyingDisk             SeededFault = "lying disk: says synced what power loss takes away"
	SeededWipedMemberCounts     SeededFault = "amnesia: a wiped seat counts at once"
	SeededPartialChange         SeededFault = "partial: the good half of an invalid change is taken"
	SeededYoungRegistryGrants   SeededFault = "young registry: grants and fences count from its first moment"
	SeededDecidesBeforeLease    SeededFault = "hasty proxy: decides before it holds a lease"
	SeededNoRecovery            SeededFault = "no recovery: a seat stays down after the last fault"
	SeededNoKeyReservation      SeededFault = "no claims: a key is run by whoever is asked"
	SeededReservationsForgotten SeededFault = "forgets: a registry's word on keys counts from its first moment"
	SeededLostLinkAsUnopened    SeededFault = "false no: a lost link is taken for one that never opened"
	SeededNoDuplicateDetection  SeededFault = "no memory: the worker's side forgets which requests it has seen"
	SeededDeltaAfterPurge       SeededFault = "revives: who is behind what was let go gets the difference only"
	SeededStaleFeedReply        SeededFault = "haunts: an answer that a proxy asked for before it was killed is taken by its next life"
	SeededTokenIgnored          SeededFault = "lax workers: they run what does not bear their token"
	SeededDrainIgnored          SeededFault = "unheard: a worker's word that it leaves is not taken"
	SeededAnyCallerAccepted     SeededFault = "false claims: a peer may speak for any caller"
	SeededCancelNotPropagated   SeededFault = "ignores: a proxy whose caller has left does not tell the worker's"
	SeededForgedChecksum        SeededFault = "forged: an altered answer carries a checksum that fits it"
	SeededNoRetryBudget         SeededFault = "no budget: extra tries are without bound"
	SeededNoAuthorization       SeededFault = "open: versions and callers are not held against the setup"
	SeededFailuresIgnored       SeededFault = "deaf brake: neither the proxies nor the duty look at failures"
	SeededAlwaysHealthy         SeededFault = "easy brake: the duty finds any version fine, and each part of a split core has one"
	SeededHairTrigger           SeededFault = "hair trigger: a few failures turn a version back"
	SeededNoRegistryFailover    SeededFault = "stays: a proxy keeps to a registry however old its setup is"
	SeededSpuriousUnopened      SeededFault = "away: now and then a whole link is taken for one that never opened"
)

// Bounds of the simulated fleet.
const (
	leaseDuration        = 8 * time.Second
	keyReservationWindow = 12 * leaseDuration
	heartbeatTimeout     = 1500 * time.Millisecond
	stallTimeout         = 2 * time.Second
	pollInterval         = 50 * time.Millisecond
	recoveryBound        = 15 * time.Second
	memberCount          = 3
)

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

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

// Options say what kind of world it is.
type Options struct {
	Proxies    int
	CallRate   float64 // calls a second of the whole fleet
	OnlyFaults []string
	// SkipFaults leaves out faults by their place in the order drawn, for shrinking.
	SkipFaults map[int]bool
	// HarmlessFaultsOnly draws only faults that may turn nobody away, one at a time.
	HarmlessFaultsOnly bool
	// Empty has no machines to begin with.
	Empty bool
	// NoFaults has no faults at all.
	NoFaults bool
	// ChangeInterval is the mean pause between two changes of operators; 0 for the usual half second.
	ChangeInterval time.Duration
	// FaultyDuration of the faulty part; 0 for the usual.
	FaultyDuration time.Duration
	// ServeStale has proxies that serve in doubt: see serving.go.
	ServeStale bool
	// BoundExposure has the release duty keep a bad version within a share of its plan's time.
	BoundExposure bool
	// MeanServiceTime is how long calls take at workers on average, 0 for a few milliseconds.
	MeanServiceTime time.Duration
	// ErrorRate is the part of its calls that any worker answers with 500.
	ErrorRate float64
	// CallerCancelRate is the part of the calls without a key whose callers leave before they are answered.
	CallerCancelRate float64
	// RetryFloor of the retry budget; 0 for the preset.
	RetryFloor float64
}

// clock is a node's own: it starts anywhere and runs a little fast or slow.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// process is what can die, freeze and be cut off. Only events change it.
type process struct {
	name       string
	up         bool
	processRun int // counts starts, so that events of an earlier life are dropped
	thawAt     time.Duration
	thaw       chan struct{} // closed once it thaws before that; nil while it is not frozen
	deferred   []func()      // what it was held up in
	clock      clock
	exited     chan struct{} // closed when this life ends
}

// NewWorld makes a fleet from a seed; everything in it is up. It must be made, run and closed
// inside a bubble.
func NewWorld(seed uint64, seededFault SeededFault, options Options) *World {
	if options.RetryFloor == 0 {
		options.RetryFloor = retryFloor
	}
	w := &World{seed: seed, random: rand.New(rand.NewPCG(seed, 17)), seededFault: seededFault, partitionedLinks: map[[2]string]bool{}, disturbedAt: map[string]time.Duration{}, startTime: time.Now(), eventAdded: make(chan struct{}, 1),
		workersByAddress: map[string]*workerNode{}, degradations: map[[2]string]*Degradation{}, Options: options}
	w.History = &History{shownRevisions: map[string][]revisionAt{}, contentBySequence: map[uint64]string{}, invalidItems: map[string]bool{}, rulings: map[string]schema.Ruling{}, lastUsedRevision: map[string]uint64{}, processRuns: map[string]int{},
		operations: map[string]*operation{}, departedAt: map[string]time.Duration{}, snapshots: map[uint64]*config.Snapshot{}, Rejections: map[string]int{}, world: w}
	if options.Empty {
		return w
	}
	for i := range memberCount {
		w.members = append(w.members, &memberNode{process: w.newProcess("store-" + memberName(i)), replicaConfig: newReplicaConfig(memberName(i), []string{"a", "b", "c"}, 1)})
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
	return process{name: name, clock: clock{offset: time.Duration(w.random.Int64N(int64(time.Hour))), rate: 0.995 + 0.01*w.random.Float64()}}
}

// time is now, for whoever is not an event.
func (w *World) time() time.Duration { return time.Since(w.startTime) }

// nextID is a number that was not given before.
func (w *World) nextID() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lastID++
	return w.lastID
}

// randomInt draws a number below most; chance draws one in [0,1); randomDuration draws a time.
func (w *World) randomInt(limit int) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.random.IntN(limit)
}

func (w *World) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

// derivedRandom gives dice to whoever is not an event. They are drawn from what is done and when, not from
// the events' dice, so that it does not matter in which order goroutines go on that wake at once.
func (w *World) derivedRandom(purpose string) *rand.Rand {
	sum := fnv.New64a()
	sum.Write([]byte(purpose))
	return rand.New(rand.NewPCG(w.seed, sum.Sum64()^uint64(w.time())))
}

// callContext is the context of what is done for one call.
func callContext(purpose string) context.Context {
	return context.WithValue(context.Background(), callContextKey{}, purpose)
}

type callContextKey struct{}

// stagger lets goroutines that one event woke at once go on one after another, each at a time
// of its own.
func (w *World) stagger(ctx context.Context) {
	purpose, _ := ctx.Value(callContextKey{}).(string)
	time.Sleep(time.Duration(1 + w.derivedRandom(purpose).IntN(int(100*time.Microsecond))))
}

// startProcess and fall begin and end a machine's life.
func (w *World) startProcess(m *process) {
	w.lock.Lock()
	defer w.lock.Unlock()
	m.up, m.processRun, m.exited = true, m.processRun+1, make(chan struct{})
	w.markDisturbed(w.time(), hostOf(m.name))
}

func (w *World) stopProcess(m *process) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if m.up {
		m.up = false
		w.markDisturbed(w.time(), hostOf(m.name))
		close(m.exited)
	}
}

// freeze lets a machine do nothing until a time.
func (w *World) freeze(m *process, until time.Duration) {
	w.lock.Lock()
	m.thawAt = until
	w.markDisturbed(max(until, w.time()), hostOf(m.name))
	var deferred []func()
	if until > w.time() && m.thaw == nil {
		m.thaw = make(chan struct{})
	} else if until <= w.time() && m.thaw != nil {
		// Who is thawed early does at once what it was held up in.
		close(m.thaw)
		deferred, m.deferred, m.thaw = m.deferred, nil, nil
	}
	w.lock.Unlock()
	for _, task := range deferred {
		w.schedule(0, task)
	}
}

// isResponsive tells whether a machine is up and not frozen.
func (w *World) isResponsive(m *process) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return m.up && m.thawAt <= w.time()
}

// processRunOf gives a machine's life and what closes with it.
func (w *World) processRunOf(m *process) (processRun int, exited chan struct{}, up bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return m.processRun, m.exited, m.up
}

// awaitThaw waits while a machine is frozen; false if its life has ended.
func (w *World) awaitThaw(m *process, processRun int) bool {
	for {
		w.lock.Lock()
		remaining, isSameRun, exited, thaw := m.thawAt-w.time(), m.up && m.processRun == processRun, m.exited, m.thaw
		w.lock.Unlock()
		if !isSameRun || remaining <= 0 {
			return isSameRun
		}
		select {
		case <-exited:
		case <-thaw:
		case <-time.After(remaining):
		}
	}
}

// schedule lets something happen later; events and goroutines may call it.
func (w *World) schedule(delay time.Duration, run func()) {
	w.lock.Lock()
	w.lastEventSequence++
	heap.Push(&w.events, event{w.time() + delay, w.lastEventSequence, run})
	w.lock.Unlock()
	select {
	case w.eventAdded <- struct{}{}:
	default:
	}
}

// scheduleOn runs something on a machine, in this life only; a frozen machine does it when it thaws.
func (w *World) scheduleOn(m *process, delay time.Duration, run func()) {
	processRun, _, _ := w.processRunOf(m)
	var task func()
	done := false
	task = func() {
		if done || !m.up || m.processRun != processRun {
			return
		}
		if m.thawAt > w.now {
			m.deferred = append(m.deferred, task)
			w.schedule(m.thawAt-w.now, task)
			return
		}
		done = true
		run()
	}
	w.schedule(delay, task)
}

func (w *World) scheduleEvery(m *process, interval time.Duration, run func()) {
	var runAndReschedule func()
	runAndReschedule = func() {
		run()
		w.scheduleOn(m, interval, runAndReschedule)
	}
	w.scheduleOn(m, w.randomDuration(interval), runAndReschedule)
}

// hostOf is the machine a process stands on: a store and a registry share one.
func hostOf(name string) string {
	if len(name) > 6 && name[:6] == "store-" {
		return "core-" + name[6:]
	}
	if len(name) > 9 && name[:9] == "registry-" {
		return "core-" + name[9:]
	}
	return name
}

func (w *World) isPartitioned(from, to *process) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.partitionedLinks[[2]string{hostOf(from.name), hostOf(to.name)}]
}

// sampleLink draws whether a link lets a message through, and how long it takes.
func (w *World) sampleLink(from, to *process, random *rand.Rand) (delay time.Duration, lost bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	fromHost, toHost := hostOf(from.name), hostOf(to.name)
	if fromHost != toHost && (w.partitionedLinks[[2]string{fromHost, toHost}] || random.Float64() < w.lossRate) {
		lost = true
	}
	return time.Millisecond + time.Duration(random.Int64N(int64(4*time.Millisecond)+int64(w.maxExtraDelay))), lost
}

// send carries an event's message from one machine to another, if the links let it.
func (w *World) send(from, to *process, run func()) { w.sendWith(w.random, from, to, run) }

func (w *World) sendWith(random *rand.Rand, from, to *process, run func()) {
	delay, lost := w.sampleLink(from, to, random)
	if lost {
		return
	}
	w.schedule(delay, func() {
		// The link may be cut while the message is under way.
		if w.isPartitioned(from, to) {
			return
		}
		w.scheduleOn(to, 0, run)
	})
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
