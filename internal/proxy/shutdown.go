package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
)

// Ratios to the time that SIGTERM leaves.
const (
	acceptFraction        = 0.65 // in which calls are still taken, if they go on coming
	quietDivisor          = 8    // of the notice: without a call for so long, none is thought to come any more
	workerDrainFraction   = 0.5  // of the notice, in which workers here still get work: what they have at hand ends within the rest
	shutdownTicks         = 64   // how often it is looked at
	responseMarginDivisor = 32   // before the end, by which every call has its answer
)

// shutdownStage is how far a proxy is with its leaving.
type shutdownStage int

const (
	accepting shutdownStage = iota // all is served as before, but each connection is given back with its answer
	closing                        // no call is taken any more, those taken are brought to their end
	terminated
)

// shutdownSchedule is when a proxy that was told to end goes from one stage to the next.
type shutdownSchedule struct {
	notice           time.Duration // until callers have surely noticed
	workerDrainAfter time.Duration // until the workers here get no more work
	drainTimeout     time.Duration // until it must be over
	quietPeriod      time.Duration
}

func newShutdownSchedule(notice, drain time.Duration) shutdownSchedule {
	effectiveNotice := min(notice, time.Duration(acceptFraction*float64(drain)))
	return shutdownSchedule{notice: effectiveNotice, workerDrainAfter: time.Duration(workerDrainFraction * float64(effectiveNotice)), drainTimeout: drain, quietPeriod: notice / quietDivisor}
}

// nextStage gives the stage at a time since the proxy was told to end, by when the last call came
// and how many are in flight. A stage is never gone back from.
func (s shutdownSchedule) nextStage(current shutdownStage, elapsed, lastCallAt time.Duration, inFlight int64) shutdownStage {
	switch {
	case elapsed >= s.drainTimeout:
		return terminated
	case current == closing && inFlight == 0:
		return terminated
	case current == accepting && (elapsed >= time.Duration(acceptFraction*float64(s.drainTimeout)) || (elapsed >= s.notice && inFlight == 0 && elapsed-lastCallAt >= s.quietPeriod)):
		return closing
	}
	return current
}

// drainsWorkers tells whether the workers here get no more work, so long after the proxy was told to end.
func (s shutdownSchedule) drainsWorkers(elapsed time.Duration) bool {
	return elapsed >= s.workerDrainAfter
}

// recordArrival notes a call; only one that is told to end looks at it.
func (s *Server) recordArrival() {
	if s.draining.Load() {
		s.lastCallAt.Store(int64(s.now()))
	}
}

// boundDeadline is how long a call may take that asks for so long, 0 for not said: one that is taken while
// the proxy ends has its answer, whatever it is, before the connections are closed.
func boundDeadline(requested, shutdownDeadline, now, drain time.Duration) time.Duration {
	if shutdownDeadline <= 0 {
		return requested
	}
	remaining := max(1, shutdownDeadline-drain/responseMarginDivisor-now)
	if requested <= 0 {
		return remaining
	}
	return min(requested, remaining)
}

// shutDown brings this proxy to its end, in the time that settings allow.
func (s *Server) shutDown(callerListeners []*callerListener, workerServer *fasthttp.Server) error {
	startedAt := s.now()
	schedule := newShutdownSchedule(time.Duration(s.currentOptions().Notice), time.Duration(s.currentOptions().Drain))
	s.shutdownDeadline.Store(int64(startedAt + schedule.drainTimeout))
	if len(callerListeners) == 0 {
		schedule.notice, schedule.workerDrainAfter, schedule.quietPeriod = 0, 0, 0
	}
	// Workers here are told as leaving while there is time for other proxies to send elsewhere, but not
	// before: callers are let in all that while, and the workers' room is missed.
	workersDraining := false
	ticker := time.NewTicker(max(time.Millisecond, time.Duration(s.currentOptions().Drain)/shutdownTicks))
	defer ticker.Stop()
	awaitStageAfter := func(from shutdownStage) shutdownStage {
		for {
			if !workersDraining && schedule.drainsWorkers(s.now()-startedAt) {
				workersDraining = true
				s.workers.DrainAll()
			}
			inFlight := s.callsInFlight.Load() + s.peerCallsInFlight.Load()
			if next := schedule.nextStage(from, s.now()-startedAt, time.Duration(s.lastCallAt.Load())-startedAt, inFlight); next != from {
				return next
			}
			<-ticker.C
		}
	}
	current := awaitStageAfter(accepting)
	s.announceShutdown()
	s.rejectsPeerCalls.Store(true)
	deadline := make(chan struct{})
	defer time.AfterFunc(schedule.drainTimeout-(s.now()-startedAt), func() { close(deadline) }).Stop()
	var firstErr error
	for _, listener := range callerListeners {
		if !listener.shutDown(deadline) && firstErr == nil {
			firstErr = errs.New(errs.ProxyDraining, "calls still in flight at the end of the drain time")
		}
	}
	if current == closing {
		awaitStageAfter(closing)
		// The last answers may just be on their way out.
		<-ticker.C
	}
	_ = workerServer.Shutdown()
	return firstErr
}
