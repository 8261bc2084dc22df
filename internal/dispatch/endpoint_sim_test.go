package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// This file simulates a service under load on a virtual clock. Proxies in three zones pick endpoints for its calls,
// each from its own observations and from a directory that lags behind. Workers differ in speed.

// simCall is one call in the simulation.
type simCall struct {
	proxy     int           // index of the caller's proxy
	startedAt time.Duration // arrival of the call at the proxy
	work      time.Duration // service time at a worker of speed 1
	sentAt    time.Duration // start of the last attempt
	worker    int           // index of the worker of the last attempt
	attempts  int           // attempts so far
	order     []int         // indexes of the workers to try, in order; nil until they are picked
}

// simWorker is a worker with its queue.
type simWorker struct {
	zone        int
	speed       float64       // calls take their work divided by speed
	slots       int           // calls that run at once
	running     int           // calls that run now
	queue       []*simCall    // calls that wait for a slot
	serviceTime time.Duration // moving mean, as reported
	slowUntil   time.Duration // end of the time in which calls take twice as long
	failing     float64       // fraction of its calls that fail
	calls       callRecord    // recent calls and failures, as the worker's proxy records them
}

// simEvent is an event of the simulation. seq orders events of the same time.
type simEvent struct {
	at  time.Duration
	run func()
	seq int
}

// simEvents is a heap of events with the next one on top. It implements heap.Interface.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }

func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }

func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simOptions describe a fleet, its traffic and its faults.
type simOptions struct {
	zones         []int                             // number of workers in each zone
	shares        []float64                         // fraction of the traffic that comes from each zone
	speeds        []float64                         // speeds of the workers, repeated in order
	utilization   float64                           // traffic as a fraction of the capacity of all workers
	pick          func(w *simWorld, from int) []int // returns the workers to try for a call at proxy from, in order
	length        time.Duration                     // simulated time, including the warm-up
	seed          uint64                            // seed of the random numbers
	restarted     int                               // workers that restart halfway, and are then slow for 3 s
	swing         float64                           // amplitude of the traffic's oscillation, as a fraction of its mean
	times         int                               // multiple of the default number of proxies, call duration and latency target; 0 for 1
	noLoadReports bool                              // responses report no load
	failingEvery  int                               // every failingEvery-th worker fails; 0 for none
	failing       float64                           // fraction of a failing worker's calls that fail, in a tenth of their time
	detection     string                            // strategy of outlier detection; empty for the detector's own
}

// simWorld is the state of a simulation, with the counts since the end of its warm-up.
type simWorld struct {
	simOptions
	now           time.Duration
	events        simEvents
	seq           int // sequence number of the last event, see simEvent
	random        *rand.Rand
	workers       []*simWorker
	detectors     []*OutlierDetector // one for each proxy
	views         []*plan.View       // one for each proxy
	latencyTarget time.Duration

	calls       int      // calls that ended
	late        int      // calls that were not served by the latency target
	crossed     int      // calls whose last attempt was in another zone
	refused     int      // refusals for lack of capacity, warm-up included
	lost        int      // calls that no worker served
	failed      int      // failure responses
	zoneCrossed [3][]int // crossed calls by zone of origin and second
	byWorker    []int    // calls by worker of the last attempt
}

// Defaults of the simulation.
const (
	simProxies       = 15                     // proxies in all zones together
	simSlots         = 18                     // slots of each worker
	simWork          = 160 * time.Millisecond // mean service time at speed 1
	simLatencyTarget = 500 * time.Millisecond
	simWarmup        = 5 * time.Second // time before counting begins
	simEjection      = 5 * time.Second
)

// proxies returns the number of proxies.
func (o *simOptions) proxies() int { return simProxies * max(1, o.times) }

// work returns the mean service time at speed 1.
func (o *simOptions) work() time.Duration { return simWork * time.Duration(max(1, o.times)) }

// after schedules run to be called when span has passed on the simulated clock.
func (w *simWorld) after(span time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, simEvent{w.now + span, run, w.seq})
}

// zoneOf returns the zone of a proxy.
func zoneOf(proxy int) int { return proxy % 3 }

// simulate runs a simulation to its end and returns its final state.
func simulate(options simOptions) *simWorld {
	w := &simWorld{simOptions: options, random: rand.New(rand.NewPCG(options.seed, 1)), latencyTarget: simLatencyTarget * time.Duration(max(1, options.times))}
	for zone, count := range options.zones {
		for range count {
			worker := &simWorker{zone: zone, slots: simSlots, speed: options.speeds[len(w.workers)%len(options.speeds)]}
			if options.failingEvery > 0 && len(w.workers)%options.failingEvery == options.failingEvery-1 {
				worker.failing = options.failing
			}
			w.workers = append(w.workers, worker)
		}
	}
	w.byWorker = make([]int, len(w.workers))
	capacity := 0.0
	for _, worker := range w.workers {
		capacity += float64(worker.slots) * worker.speed / options.work().Seconds()
	}
	compiled, _ := config.Compile(config.State{}.Merge([]*schema.Item{
		{Kind: "service", Name: "s", Version: &schema.Version{Sequence: 1}, Body: []byte(`{"versions":["1"],"fallback":"1"}`)},
		{Kind: "route", Name: "r", Version: &schema.Version{Sequence: 1}, Body: fmt.Appendf(nil, `{"service":"s","prefix":"/","aim":"%v"}`, w.latencyTarget)}}), 1)
	for range options.proxies() {
		w.detectors = append(w.detectors, NewOutlierDetector(5, simEjection))
		w.views = append(w.views, &plan.View{Config: compiled, Directory: plan.Directory{"s": {"1": make([]plan.Endpoint, len(w.workers))}}})
	}
	var reportLoad func(i int)
	reportLoad = func(i int) {
		worker := w.workers[i]
		reported := plan.Endpoint{Instance: fmt.Sprint("w", i), Proxy: fmt.Sprint("p", i), Zone: fmt.Sprint("z", worker.zone), Slots: worker.slots, ActiveRequests: worker.running,
			QueuedRequests: len(worker.queue), ServiceTime: worker.serviceTime, ReportedAt: w.now, WarmUntil: worker.slowUntil}
		w.after(100*time.Millisecond, func() {
			for _, view := range w.views {
				view.Directory["s"]["1"][i] = reported
			}
		})
		w.after(1500*time.Millisecond, func() { reportLoad(i) })
	}
	for i := range w.workers {
		w.now = 0
		reported := plan.Endpoint{Instance: fmt.Sprint("w", i), Proxy: fmt.Sprint("p", i), Zone: fmt.Sprint("z", w.workers[i].zone), Slots: simSlots}
		for _, view := range w.views {
			view.Directory["s"]["1"][i] = reported
		}
		w.after(time.Duration(w.random.Int64N(int64(1500*time.Millisecond))), func() { reportLoad(i) })
	}
	for zone := range 3 {
		rate := options.utilization * capacity * options.shares[zone]
		var arrive func()
		arrive = func() {
			// The traffic of each zone oscillates with a phase of its own, every 11 s.
			currentRate := rate * (1 + options.swing*math.Sin(2*math.Pi*(w.now.Seconds()/11+float64(zone)/3)))
			w.after(time.Duration(w.random.ExpFloat64()/currentRate*1e9), arrive)
			w.startCall(zone + 3*w.random.IntN(options.proxies()/3))
		}
		w.after(0, arrive)
	}
	if options.restarted > 0 {
		w.after(options.length/2, func() {
			for i := range options.restarted {
				w.workers[i].slowUntil = w.now + 3*time.Second
			}
		})
	}
	for len(w.events) > 0 && w.now < options.length {
		next := heap.Pop(&w.events).(simEvent)
		w.now = next.at
		next.run()
	}
	return w
}

// startCall starts a call at a proxy. The work of calls is distributed log-normally, up to six times its mean.
func (w *simWorld) startCall(from int) {
	const spread = 0.8
	work := math.Exp(w.random.NormFloat64()*spread-spread*spread/2) * float64(w.work())
	call := &simCall{proxy: from, startedAt: w.now, work: time.Duration(min(work, 6*float64(w.work())))}
	w.send(call)
}

// send makes the next attempt of a call. It ends the call after four attempts, after the latency target, or if no
// worker is left to try.
func (w *simWorld) send(call *simCall) {
	if call.attempts >= 4 || w.now-call.startedAt > w.latencyTarget {
		w.end(call, false)
		return
	}
	if call.order == nil {
		call.order = w.pick(w, call.proxy)
	}
	if call.attempts >= len(call.order) {
		w.end(call, false)
		return
	}
	call.worker = call.order[call.attempts]
	call.attempts++
	call.sentAt = w.now
	w.detectors[call.proxy].BeginCall(fmt.Sprint("w", call.worker), w.now)
	latency := 300 * time.Microsecond
	if w.workers[call.worker].zone != zoneOf(call.proxy) {
		latency += 700 * time.Microsecond
	}
	w.after(latency, func() { w.arrive(call, latency) })
}

// arrive queues a call at its worker, or refuses it if the answer would be late.
func (w *simWorld) arrive(call *simCall, latency time.Duration) {
	worker := w.workers[call.worker]
	if wait := float64(len(worker.queue)+1) * float64(worker.serviceTime) / float64(worker.slots); worker.running >= worker.slots && wait > float64(w.latencyTarget) {
		w.refused++
		response := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(errs.QueueFull), RetryAfterNanos: int64(50 * time.Millisecond)}
		w.fillLoad(worker, response)
		w.after(latency, func() {
			w.detectors[call.proxy].RecordResponse(fmt.Sprint("w", call.worker), w.now, w.now-call.sentAt, response)
			w.send(call)
		})
		return
	}
	worker.queue = append(worker.queue, call)
	w.begin(worker, latency)
}

// fillLoad sets a worker's load and run counts in a response.
func (w *simWorld) fillLoad(worker *simWorker, response *schema.ForwardResponse) {
	if w.noLoadReports {
		return
	}
	response.Running = uint32(worker.running)
	response.Queued = uint32(len(worker.queue))
	response.Slots = uint32(worker.slots)
	response.ServiceTimeNanos = int64(worker.serviceTime)
	if ran, failed := worker.calls.decayed(w.now, simEjection); w.detection == "" && math.Round(failed) > 0 {
		response.RecentRuns, response.RecentFailures = uint32(math.Round(ran)), uint32(math.Round(failed))
	}
}

// begin starts queued calls while the worker has free slots.
func (w *simWorld) begin(worker *simWorker, latency time.Duration) {
	for worker.running < worker.slots && len(worker.queue) > 0 {
		call := worker.queue[0]
		worker.queue = worker.queue[1:]
		worker.running++
		took := time.Duration(float64(call.work) / worker.speed)
		if w.now < worker.slowUntil {
			took *= 2
		}
		status, measured := int32(200), true
		if worker.failing > 0 && w.random.Float64() < worker.failing {
			status, took = 500, took/10
			measured = w.detection != "" || took >= worker.serviceTime
		}
		w.after(took, func() {
			worker.running--
			if worker.serviceTime == 0 {
				worker.serviceTime = took
			}
			if measured {
				worker.serviceTime += (took - worker.serviceTime) / 32
			}
			worker.calls.add(w.now, simEjection, status != 200)
			w.begin(worker, latency)
			response := &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_ANSWERED, Status: status}
			if status != 200 && w.now >= simWarmup {
				w.failed++
			}
			w.fillLoad(worker, response)
			w.after(latency, func() {
				w.detectors[call.proxy].RecordResponse(fmt.Sprint("w", call.worker), w.now, w.now-call.sentAt, response)
				w.end(call, true)
			})
		})
	}
}

// end counts a call that is over.
func (w *simWorld) end(call *simCall, served bool) {
	if w.now < simWarmup {
		return
	}
	zone, crossed := zoneOf(call.proxy), 0
	if w.workers[call.worker].zone != zone {
		crossed = 1
	}
	second := int(w.now / time.Second)
	for len(w.zoneCrossed[zone]) <= second {
		w.zoneCrossed[zone] = append(w.zoneCrossed[zone], 0)
	}
	w.zoneCrossed[zone][second] += crossed
	w.calls++
	w.crossed += crossed
	w.byWorker[call.worker]++
	if !served {
		w.lost++
	}
	if !served || w.now-call.startedAt > w.latencyTarget {
		w.late++
	}
}

// lateFraction returns the fraction of the calls that were late.
func (w *simWorld) lateFraction() float64 { return float64(w.late) / float64(w.calls) }

// crossedFraction returns the fraction of the calls whose last attempt was in another zone.
func (w *simWorld) crossedFraction() float64 { return float64(w.crossed) / float64(w.calls) }

// cost returns the mean cost of a call: 0.7 for being late, and 0.2 for its bytes between zones.
func (w *simWorld) cost() float64 { return 0.7*w.lateFraction() + 0.2*w.crossedFraction() }

// simPickers are the strategies of picking endpoints that are compared. Each returns the indexes of the workers to try
// for a call at proxy from, in order.
var simPickers = map[string]func(w *simWorld, from int) []int{
	"planned": func(w *simWorld, from int) []int {
		options := plan.Options{Zone: fmt.Sprint("z", zoneOf(from)), MaxDeadline: time.Minute}
		request := &plan.Request{
			Caller:   "c",
			Method:   "GET",
			Path:     "/",
			Header:   func(string) (string, bool) { return "", false },
			Identity: "i",
		}
		local := detectionState{LocalState{w.detectors[from], nil}, w.detection}
		callPlan, err := plan.New(w.views[from], request, options, local, w.now, w.random.Float64)
		if err != nil {
			panic(fmt.Sprintf("plan.New for the simulated service: %v", err))
		}
		var order []int
		for _, candidate := range callPlan.Candidates {
			index := 0
			if _, err := fmt.Sscanf(candidate.Instance, "w%d", &index); err != nil {
				panic(fmt.Sprintf("instance %q is not w and a number: %v", candidate.Instance, err))
			}
			order = append(order, index)
		}
		return order
	},
	"random": func(w *simWorld, _ int) []int { return w.random.Perm(len(w.workers)) },
	"own zone": func(w *simWorld, from int) []int {
		return slices.DeleteFunc(w.random.Perm(len(w.workers)), func(index int) bool { return w.workers[index].zone != zoneOf(from) })
	},
	"least in flight": func(w *simWorld, from int) []int {
		order := w.random.Perm(len(w.workers))
		slices.SortStableFunc(order, func(a, b int) int {
			inFlight := func(index int) int {
				return w.detectors[from].Stats(&plan.Endpoint{Instance: fmt.Sprint("w", index)}, w.now).InFlight
			}
			return inFlight(a) - inFlight(b)
		})
		return order
	},
}
