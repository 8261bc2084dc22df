package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// operatorInterval is the time between two changes of a background operator.
const operatorInterval = 500 * time.Millisecond

// load is the set of goroutines that use or observe the fleet while a scenario runs. Callers are stopped last, so that
// the effect of the operators' last changes is recorded.
type load struct {
	stopCallers    chan struct{} // closed to stop the callers
	stopBackground chan struct{} // closed to stop operators and observers
	callers        sync.WaitGroup
	background     sync.WaitGroup
}

// startLoad starts callers, operators and observers. The order of the callers must not change, because each draws the
// seed of its random choices from rng in turn.
func (r *testRun) startLoad() *load {
	l := &load{stopCallers: make(chan struct{}), stopBackground: make(chan struct{})}
	rng := rand.New(rand.NewPCG(r.options.Seed, 1))
	callers := r.makeCallers()
	r.startCallers(l, callers, rng)
	if r.scenario.disconnectingCallers {
		r.startDisconnectingCallers(l, callers, rng)
	}
	r.startOperators(l)
	r.startObservers(l)
	return l
}

// stop stops operators and observers and waits for them, then does the same with callers.
func (l *load) stop() {
	close(l.stopBackground)
	l.background.Wait()
	close(l.stopCallers)
	l.callers.Wait()
}

// makeCallers makes the callers of each edge machine. Each gets the callers of the same name at other edges as its
// alternates, through which it retries calls that have an idempotency key.
func (r *testRun) makeCallers() [][]*Caller {
	var callers [][]*Caller
	for edge := range r.options.Deployment.Edges {
		callers = append(callers, r.callersOn(edge))
	}
	for edge, edgeCallers := range callers {
		for _, caller := range edgeCallers {
			caller.alternates = alternatesOf(callers, edge, caller)
		}
	}
	return callers
}

// alternatesOf lists the callers with the same name as caller at all edges but the given one.
func alternatesOf(callers [][]*Caller, edge int, caller *Caller) []*Caller {
	var alternates []*Caller
	for other, otherCallers := range callers {
		for _, candidate := range otherCallers {
			if other != edge && candidate.name == caller.name {
				alternates = append(alternates, candidate)
			}
		}
	}
	return alternates
}

// startCallers starts all callers, each with a random generator of its own that is seeded from rng.
func (r *testRun) startCallers(l *load, callers [][]*Caller, rng *rand.Rand) {
	for _, edgeCallers := range callers {
		for _, caller := range edgeCallers {
			callerRNG := rand.New(rand.NewPCG(r.options.Seed, rng.Uint64()))
			l.callers.Go(func() { caller.Run(l.stopCallers, callerRNG) })
		}
	}
}

// startDisconnectingCallers starts disconnectingCallersPerProxy callers at each proxy, which call the routes of clients.
func (r *testRun) startDisconnectingCallers(l *load, callers [][]*Caller, rng *rand.Rand) {
	for edge, edgeCallers := range callers {
		for i := range disconnectingCallersPerProxy {
			caller := NewDisconnectingCaller(edgeCallers[0], r.fleet.CallerAddress(edge, clientCaller), i)
			callerRNG := rand.New(rand.NewPCG(r.options.Seed, rng.Uint64()))
			l.callers.Go(func() { caller.Run(l.stopCallers, callerRNG) })
		}
	}
}

// startOperators starts two operators, which submit changes concurrently.
func (r *testRun) startOperators(l *load) {
	for _, name := range []string{"ann", "ben"} {
		operator := NewOperator(name, r.fleet, r.history, r.now)
		l.background.Go(func() {
			operator.ChangeLoop(l.stopBackground, operatorInterval, r.scenario.releasePlans)
		})
	}
}

// startObservers starts the goroutines that record what the run observes besides the responses to callers and operators.
func (r *testRun) startObservers(l *load) {
	l.background.Go(func() { r.watchDisconnects(l.stopBackground) })
	l.background.Go(func() { r.measureDirectLatency(l.stopBackground) })
	l.background.Go(func() { r.sampleResources(l.stopBackground) })
	if r.scenario.releasePlans {
		l.background.Go(func() { r.watchReleases(l.stopBackground) })
	}
}
