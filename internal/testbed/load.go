package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// operatorInterval is between two changes of an operator in the background.
const operatorInterval = 500 * time.Millisecond

// load is everyone who uses or watches the fleet while a scenario runs. Callers outlast the operators and
// observers, so that the effect of the last changes is seen.
type load struct {
	stopCallers    chan struct{}
	stopBackground chan struct{} // operators and observers
	callers        sync.WaitGroup
	background     sync.WaitGroup
}

// startLoad starts callers, operators and observers. The order in which they are made decides what each draws
// from the seed.
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

// stop ends operators and observers, then callers, and waits for each.
func (l *load) stop() {
	close(l.stopBackground)
	l.background.Wait()
	close(l.stopCallers)
	l.callers.Wait()
}

// makeCallers makes the callers of each edge and links each to its namesakes at other edges, which it uses
// when a call under an idempotency key got no response.
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

// alternatesOf lists the callers of the same name at other edges than this one.
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

func (r *testRun) startCallers(l *load, callers [][]*Caller, rng *rand.Rand) {
	for _, edgeCallers := range callers {
		for _, caller := range edgeCallers {
			own := rand.New(rand.NewPCG(r.options.Seed, rng.Uint64()))
			l.callers.Go(func() { caller.Run(l.stopCallers, own) })
		}
	}
}

func (r *testRun) startDisconnectingCallers(l *load, callers [][]*Caller, rng *rand.Rand) {
	for edge, edgeCallers := range callers {
		for i := range disconnectingCallersPerProxy {
			caller := NewDisconnectingCaller(edgeCallers[0], r.fleet.CallerAddress(edge, clientCaller), i)
			own := rand.New(rand.NewPCG(r.options.Seed, rng.Uint64()))
			l.callers.Go(func() { caller.Run(l.stopCallers, own) })
		}
	}
}

func (r *testRun) startOperators(l *load) {
	for _, name := range []string{"ann", "ben"} {
		operator := NewOperator(name, r.fleet, r.history, r.now)
		l.background.Go(func() {
			operator.ChangeLoop(l.stopBackground, operatorInterval, r.scenario.releasePlans)
		})
	}
}

func (r *testRun) startObservers(l *load) {
	l.background.Go(func() { r.watchDisconnects(l.stopBackground) })
	l.background.Go(func() { r.measureDirectLatency(l.stopBackground) })
	l.background.Go(func() { r.sampleResources(l.stopBackground) })
	if r.scenario.releasePlans {
		l.background.Go(func() { r.watchReleases(l.stopBackground) })
	}
}
