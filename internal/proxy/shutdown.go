package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
)

// Fractions of the drain time (option "drain"), which bounds the whole shutdown, and of the notice (option "notice"),
// which is the time that callers need to notice the shutdown.
const (
	acceptFraction        = 0.65 // fraction of the drain time after which no call is accepted, even if calls keep arriving
	quietDivisor          = 8    // notice / quietDivisor without a call means that no further call is expected
	workerDrainFraction   = 0.5  // fraction of the notice after which local workers are drained; they use the rest to finish
	shutdownTicks         = 64   // evaluations of the stage per drain time
	responseMarginDivisor = 32   // drain time / responseMarginDivisor is the margin between the last responses and the end
)

// shutdownStage is a stage of a graceful shutdown. Stages only move forward.
type shutdownStage int

const (
	stageAccepting  shutdownStage = iota // calls are accepted as before, but each response closes its connection
	stageClosing                         // no new call is accepted; accepted calls run to their end
	stageTerminated                      // no call is in flight, or the drain time is over
)

// shutdownSchedule determines when a graceful shutdown enters its next stage. Points in time count from the start of the
// shutdown.
type shutdownSchedule struct {
	notice           time.Duration // when callers have noticed the shutdown
	workerDrainAfter time.Duration // when local workers stop getting new calls
	drainTimeout     time.Duration // when the process must have ended
	quietPeriod      time.Duration // time without a call after which no further call is expected
}

// newShutdownSchedule creates a schedule from the options "notice" and "drain". A notice longer than acceptFraction of
// the drain time is shortened to it.
func newShutdownSchedule(notice, drain time.Duration) shutdownSchedule {
	effectiveNotice := min(notice, time.Duration(acceptFraction*float64(drain)))
	return shutdownSchedule{
		notice:           effectiveNotice,
		workerDrainAfter: time.Duration(workerDrainFraction * float64(effectiveNotice)),
		drainTimeout:     drain,
		quietPeriod:      notice / quietDivisor,
	}
}

// nextStage returns the stage that follows current at time elapsed, or current itself if that stage is not over.
// lastCallAt is the time of the last call, negative if it arrived before the shutdown.
func (s shutdownSchedule) nextStage(current shutdownStage, elapsed, lastCallAt time.Duration, inFlight int64) shutdownStage {
	switch {
	case elapsed >= s.drainTimeout:
		return stageTerminated
	case current == stageClosing && inFlight == 0:
		return stageTerminated
	case current == stageAccepting && (s.mustClose(elapsed) || s.isQuiet(elapsed, lastCallAt, inFlight)):
		return stageClosing
	}
	return current
}

// mustClose reports whether calls are no longer accepted even if they keep arriving.
func (s shutdownSchedule) mustClose(elapsed time.Duration) bool {
	return elapsed >= time.Duration(acceptFraction*float64(s.drainTimeout))
}

// isQuiet reports whether callers have noticed the shutdown and no further call is expected.
func (s shutdownSchedule) isQuiet(elapsed, lastCallAt time.Duration, inFlight int64) bool {
	return elapsed >= s.notice && inFlight == 0 && elapsed-lastCallAt >= s.quietPeriod
}

// drainsWorkers reports whether local workers get no new calls.
func (s shutdownSchedule) drainsWorkers(elapsed time.Duration) bool {
	return elapsed >= s.workerDrainAfter
}

// recordArrival records the arrival time of a call during a shutdown; shutdownSchedule.nextStage uses it.
func (s *Server) recordArrival() {
	if s.draining.Load() {
		s.lastCallAt.Store(int64(s.now()))
	}
}

// boundDeadline limits the time that a call may take during a shutdown, so that the call is answered, if only with an
// error, before its connection is closed. It returns the time left for the call.
//
// requested is the time that the caller allows, 0 for no limit. shutdownDeadline and now count from the start of the
// proxy. A shutdownDeadline of 0 means that there is no shutdown; the result is then requested.
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

// shutdownRun is a graceful shutdown in progress. It is confined to the goroutine of Server.shutDown.
type shutdownRun struct {
	server          *Server
	schedule        shutdownSchedule
	startedAt       time.Duration // start of the shutdown, counted from the start of the proxy
	workersDraining bool          // whether the local workers have been announced as draining
	ticker          *time.Ticker  // paces the evaluation of the stage
}

// shutDown ends this proxy gracefully within the drain time. It returns an errs.ProxyDraining error if calls of callers
// were still in flight at the end of that time and were cut off.
func (s *Server) shutDown(callerListeners []*callerListener, workerServer *fasthttp.Server) error {
	opts := s.currentOptions()
	run := &shutdownRun{
		server:    s,
		startedAt: s.now(),
		schedule:  newShutdownSchedule(time.Duration(opts.Notice), time.Duration(opts.Drain)),
	}
	s.shutdownDeadline.Store(int64(run.startedAt + run.schedule.drainTimeout))
	// Without callers' listeners no caller needs to notice the shutdown.
	if len(callerListeners) == 0 {
		run.schedule.notice, run.schedule.workerDrainAfter, run.schedule.quietPeriod = 0, 0, 0
	}
	run.ticker = time.NewTicker(max(time.Millisecond, time.Duration(opts.Drain)/shutdownTicks))
	defer run.ticker.Stop()
	stage := run.awaitStageAfter(stageAccepting)
	s.announceShutdown()
	s.rejectsPeerCalls.Store(true)
	err := run.closeCallerListeners(callerListeners)
	if stage == stageClosing {
		run.awaitStageAfter(stageClosing)
		// A tick gives the last responses time to be written.
		<-run.ticker.C
	}
	_ = workerServer.Shutdown() // the process ends next, even with connections left open
	return err
}

// awaitStageAfter waits until the shutdown leaves the stage from and returns the stage that follows. Meanwhile it drains
// the local workers when that is due.
func (r *shutdownRun) awaitStageAfter(from shutdownStage) shutdownStage {
	s := r.server
	for {
		r.drainWorkersIfDue()
		inFlight := s.callsInFlight.Load() + s.peerCallsInFlight.Load()
		lastCallAt := time.Duration(s.lastCallAt.Load()) - r.startedAt
		if next := r.schedule.nextStage(from, s.now()-r.startedAt, lastCallAt, inFlight); next != from {
			return next
		}
		<-r.ticker.C
	}
}

// drainWorkersIfDue announces the local workers as draining, once. The announcement leaves other proxies enough time to
// send their calls elsewhere. It is not made earlier, because calls are still accepted and the capacity of these workers
// would be missing.
func (r *shutdownRun) drainWorkersIfDue() {
	if r.workersDraining || !r.schedule.drainsWorkers(r.server.now()-r.startedAt) {
		return
	}
	r.workersDraining = true
	r.server.workers.DrainAll()
}

// closeCallerListeners closes the callers' listeners, one after the other, and waits for their calls until the drain
// time is over. It returns an errs.ProxyDraining error if calls were cut off.
func (r *shutdownRun) closeCallerListeners(callerListeners []*callerListener) error {
	deadline := make(chan struct{})
	timeLeft := r.schedule.drainTimeout - (r.server.now() - r.startedAt)
	defer time.AfterFunc(timeLeft, func() { close(deadline) }).Stop()
	var firstErr error
	for _, listener := range callerListeners {
		if !listener.shutDown(deadline) && firstErr == nil {
			detail := fmt.Sprintf("calls still in flight at the end of the drain time of %s were cut off", r.schedule.drainTimeout)
			firstErr = errs.New(errs.ProxyDraining, detail)
		}
	}
	return firstErr
}

// announceShutdown reports to the registry of the current session that this proxy is shutting down, so that the registry
// does not wait for it to reconnect. Under a lease nothing is announced, because the lease simply is not renewed.
func (s *Server) announceShutdown() {
	address, _ := s.currentRegistry()
	if !s.servesStale() || address == "" {
		return
	}
	source := s.newLocalSource()
	source.Workers, source.ShuttingDown = nil, true
	// The context of Run cannot be used: its end started the shutdown.
	requestCtx, cancel := context.WithTimeout(context.Background(), s.leaseDuration/renewalsPerLease)
	defer cancel()
	if _, err := s.registryClient(requestCtx, address).Tell(requestCtx, s.newReport(source)); err != nil {
		s.log.V(1).Info("announcing the shutdown to the registry failed", "registry", address, "code", errs.CodeOf(err))
	}
}
