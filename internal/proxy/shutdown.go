package proxy

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
)

// Parts of the time that a shutdown may take (the option "drain"), or of the notice that callers need (the option
// "notice").
const (
	acceptFraction        = 0.65 // of the drain time: after it no call is accepted, also if calls keep coming
	quietDivisor          = 8    // of the notice: after so long without a call none is expected
	workerDrainFraction   = 0.5  // of the notice: after it workers here get no more work, and finish theirs in the rest
	shutdownTicks         = 64   // of the drain time: how often the stage is evaluated
	responseMarginDivisor = 32   // of the drain time: every call is answered by this much before its end
)

// shutdownStage is a stage of a graceful shutdown. Stages only advance.
type shutdownStage int

const (
	stageAccepting  shutdownStage = iota // calls are accepted as before, but each response ends its connection
	stageClosing                         // no call is accepted; those accepted run to their end
	stageTerminated                      // nothing is in flight, or the time is over
)

// shutdownSchedule says when a graceful shutdown enters its next stage. All times count from its start.
type shutdownSchedule struct {
	notice           time.Duration // by which callers have noticed the shutdown
	workerDrainAfter time.Duration // when the workers here get no more work
	drainTimeout     time.Duration // by which the process has ended
	quietPeriod      time.Duration // after so long without a call none is expected
}

// newShutdownSchedule makes a schedule from the options "notice" and "drain". A notice too long for the drain time is
// shortened.
func newShutdownSchedule(notice, drain time.Duration) shutdownSchedule {
	effectiveNotice := min(notice, time.Duration(acceptFraction*float64(drain)))
	return shutdownSchedule{
		notice:           effectiveNotice,
		workerDrainAfter: time.Duration(workerDrainFraction * float64(effectiveNotice)),
		drainTimeout:     drain,
		quietPeriod:      notice / quietDivisor,
	}
}

// nextStage returns the stage after current, or current itself if it goes on. lastCallAt is when the last call came,
// negative if that was before the shutdown.
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

// mustClose reports whether the time to accept calls is over, even if they keep coming.
func (s shutdownSchedule) mustClose(elapsed time.Duration) bool {
	return elapsed >= time.Duration(acceptFraction*float64(s.drainTimeout))
}

// isQuiet reports whether callers have noticed the shutdown and no call is expected any more.
func (s shutdownSchedule) isQuiet(elapsed, lastCallAt time.Duration, inFlight int64) bool {
	return elapsed >= s.notice && inFlight == 0 && elapsed-lastCallAt >= s.quietPeriod
}

// drainsWorkers reports whether the workers here get no more work.
func (s shutdownSchedule) drainsWorkers(elapsed time.Duration) bool {
	return elapsed >= s.workerDrainAfter
}

// recordArrival records the time of a call during a shutdown, for nextStage.
func (s *Server) recordArrival() {
	if s.draining.Load() {
		s.lastCallAt.Store(int64(s.now()))
	}
}

// boundDeadline shortens the time that a call may take during a shutdown, so that it is answered, with whatever
// result, before its connection is closed. 0 as requested stands for a caller that gives no deadline; 0 as
// shutdownDeadline means that there is no shutdown, and the result is the time requested.
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

// shutdownRun is a graceful shutdown under way. It belongs to the goroutine of shutDown.
type shutdownRun struct {
	server          *Server
	schedule        shutdownSchedule
	startedAt       time.Duration
	workersDraining bool // DrainAll has been called
	ticker          *time.Ticker
}

// shutDown ends this proxy gracefully within the time of the option "drain". It returns errs.ProxyDraining if calls
// of callers were cut short at the end of that time.
func (s *Server) shutDown(callerListeners []*callerListener, workerServer *fasthttp.Server) error {
	opts := s.currentOptions()
	run := &shutdownRun{
		server:    s,
		startedAt: s.now(),
		schedule:  newShutdownSchedule(time.Duration(opts.Notice), time.Duration(opts.Drain)),
	}
	s.shutdownDeadline.Store(int64(run.startedAt + run.schedule.drainTimeout))
	// Without callers there is nobody to give notice to.
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
		// The last responses may still be on their way out.
		<-run.ticker.C
	}
	_ = workerServer.Shutdown() // the process ends now, whatever is left on these connections
	return err
}

// awaitStageAfter waits until the shutdown leaves a stage and returns the next one. Meanwhile it drains the workers here
// when that is due.
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

// drainWorkersIfDue announces the workers here as draining, once. It does so while there is still time for other proxies
// to send their calls elsewhere, but not before: callers are accepted all that time, and the capacity of the workers would
// be missed.
func (r *shutdownRun) drainWorkersIfDue() {
	if r.workersDraining || !r.schedule.drainsWorkers(r.server.now()-r.startedAt) {
		return
	}
	r.workersDraining = true
	r.server.workers.DrainAll()
}

// closeCallerListeners closes the entry points, one after the other, and waits for their calls until the drain time
// is over. It returns an error if calls were cut short.
func (r *shutdownRun) closeCallerListeners(callerListeners []*callerListener) error {
	deadline := make(chan struct{})
	timeLeft := r.schedule.drainTimeout - (r.server.now() - r.startedAt)
	defer time.AfterFunc(timeLeft, func() { close(deadline) }).Stop()
	var firstErr error
	for _, listener := range callerListeners {
		if !listener.shutDown(deadline) && firstErr == nil {
			firstErr = errs.New(errs.ProxyDraining, "calls still in flight at the end of the drain time")
		}
	}
	return firstErr
}

// announceShutdown reports to the registry of the session that this proxy ends, so that nobody waits for it to come
// back.
// Under a lease nothing is announced: the lease is not renewed.
func (s *Server) announceShutdown() {
	address, _ := s.currentRegistry()
	if !s.servesStale() || address == "" {
		return
	}
	source := s.newLocalSource()
	source.Workers, source.ShuttingDown = nil, true
	// The context of Run has ended already: its end started the shutdown.
	bounded, cancel := context.WithTimeout(context.Background(), s.leaseDuration/renewalsPerLease)
	defer cancel()
	if _, err := s.registryClient(bounded, address).Tell(bounded, s.newReport(source)); err != nil {
		s.log.V(1).Info("shutdown was not announced", "registry", address, "code", errs.CodeOf(err))
	}
}
