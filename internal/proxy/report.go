package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// publishWorkers applies the local workers to the mesh state and wakes reportLoop. Package dispatch calls it whenever
// they change.
func (s *Server) publishWorkers() {
	s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{s.newLocalSource()}})
	wake(s.reportNow)
}

// newLocalSource returns this proxy and its local workers as a source of the directory. Each call returns a higher
// version than the call before.
func (s *Server) newLocalSource() *schema.Source {
	workers := s.workers.List()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.sourceCounter++
	return &schema.Source{
		Name:    s.initialOptions.Name,
		Version: &schema.SourceVersion{Incarnation: s.sourceIncarnation, Counter: s.sourceCounter},
		Address: s.address,
		Zone:    s.initialOptions.Area,
		Workers: workers,
	}
}

// reportSchedule decides when reportLoop sends a report and what the report includes.
//
//   - Workers, with their load and liveness, are reported renewalsPerLease times per lease, and at once when they change.
//   - Work counts are reported reportsPerLease times per lease, but only while some service is evaluated. A
//     service counts as evaluated while the release controller evaluates one of its versions by these counts.
//   - Verdict counts are reported rarely, because nothing waits for them.
//
// Without a lease the session itself shows the registry that this proxy is alive. Workers are then reported only when
// they change or their last report failed.
//
// A reportSchedule is confined to the goroutine of reportLoop.
type reportSchedule struct {
	servesStale   bool // whether the proxy serves without a lease
	leaseDuration time.Duration

	turn          int  // number of completed turns of reportLoop
	reportWorkers bool // whether the next turn reports workers: they changed or, without a lease, their report failed

	verdictInterval    time.Duration // time between two reports of verdict counts
	verdictsReportedAt time.Duration // time of the last such report, counted from the start of the proxy; 0 for none

	evaluatedRevision uint64                    // configuration revision of isEvaluated and anyEvaluated
	isEvaluated       func(service string) bool // whether work counts of a service are reported
	anyEvaluated      bool                      // whether there is any evaluated service
}

// newReportSchedule returns a schedule whose first turn reports the workers.
func newReportSchedule(servesStale bool, leaseDuration time.Duration) *reportSchedule {
	schedule := &reportSchedule{
		servesStale:     servesStale,
		leaseDuration:   leaseDuration,
		reportWorkers:   true,
		verdictInterval: leaseDuration / verdictReportsPerLease,
		isEvaluated:     func(string) bool { return false },
	}
	if servesStale {
		schedule.verdictInterval = staleVerdictReportLeases * leaseDuration
	}
	return schedule
}

// updateEvaluated derives the evaluated services from snapshot if its revision has changed.
func (r *reportSchedule) updateEvaluated(snapshot *config.Snapshot) {
	if snapshot.Revision != r.evaluatedRevision {
		r.isEvaluated, r.anyEvaluated = release.EvaluatedServices(snapshot)
		r.evaluatedRevision = snapshot.Revision
	}
}

// due returns what the report of this turn includes. If both results are false and no service is evaluated, the turn
// sends no report.
func (r *reportSchedule) due(now time.Duration) (includeWorkers, includeVerdicts bool) {
	isWorkersTurn := !r.servesStale && r.turn%(reportsPerLease/renewalsPerLease) == 0
	return r.reportWorkers || isWorkersTurn, now-r.verdictsReportedAt >= r.verdictInterval
}

// nextTurn returns the time until the next turn if nothing wakes reportLoop earlier. retry requests a repetition of this
// turn's failed report.
func (r *reportSchedule) nextTurn(retry bool) time.Duration {
	switch {
	case retry:
		return r.leaseDuration / retryBackoffDivisor
	case r.anyEvaluated || !r.servesStale:
		return r.leaseDuration / reportsPerLease
	}
	return r.verdictInterval
}

// beginTurn begins the next turn. workersChanged tells that the workers have changed, and retry that the last turn's
// report of the workers failed. It must then be repeated in this turn, whatever has begun it: without a lease nothing
// else repeats it.
func (r *reportSchedule) beginTurn(workersChanged, retry bool) {
	r.turn++
	r.reportWorkers = workersChanged || retry
}

// reportLoop reports workers and counts to the current registry until ctx ends.
func (s *Server) reportLoop(ctx context.Context) {
	schedule := newReportSchedule(s.servesStale(), s.leaseDuration)
	for {
		schedule.updateEvaluated(s.view().Config)
		includeWorkers, includeVerdicts := schedule.due(s.now())
		reported := true
		if schedule.anyEvaluated || includeWorkers || includeVerdicts {
			reported = s.report(ctx, includeWorkers, includeVerdicts, schedule.isEvaluated)
			if reported && includeVerdicts {
				schedule.verdictsReportedAt = s.now()
			}
		}
		// Under a lease no retry is needed, because workers are reported periodically.
		retry := !reported && includeWorkers && schedule.servesStale
		select {
		case <-ctx.Done():
			return
		case <-time.After(schedule.nextTurn(retry)):
			schedule.beginTurn(false, retry)
		case <-s.configChanged:
			schedule.beginTurn(false, retry)
		case <-s.reportNow:
			schedule.beginTurn(true, retry)
		}
	}
}

// report sends one report to the current registry and returns whether the registry acknowledged it. The report holds
// the work counts of evaluated services, and, if requested, the local workers and the verdict counts. If the request
// fails under a lease, this proxy moves on to the next registry.
func (s *Server) report(ctx context.Context, includeWorkers, includeVerdicts bool, isEvaluated func(service string) bool) bool {
	defer s.canaries.DropUnguarded()
	address, rotation := s.currentRegistry()
	if address == "" {
		return false // no session with any registry
	}
	var source *schema.Source
	if includeWorkers {
		source = s.refreshSource()
	}
	requestCtx, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	defer cancel()
	requestedAt, snapshot := s.now(), s.view().Config
	report := s.newReport(source)
	report.Applied = snapshot.Revision
	report.WorkCounts = s.runner.RunCounter.Report(isEvaluated)
	if includeVerdicts {
		report.Counts = s.callCounter.Counts(snapshot.Revision)
	}
	reply, err := s.registryClient(requestCtx, address).Tell(requestCtx, report)
	if err != nil {
		if ctx.Err() == nil && !s.servesStale() {
			s.switchRegistry(rotation)
		}
		return false
	}
	s.canaries.ApplyGrants(requestedAt, reply.Canaries)
	return true
}

// newReport returns a report that carries the identity of this proxy. source may be nil.
func (s *Server) newReport(source *schema.Source) *schema.ProxyReport {
	return &schema.ProxyReport{Proxy: s.initialOptions.Name, Incarnation: s.processIncarnation, Source: source}
}

// refreshSource returns the source for a report of workers. Under a lease it first drops unresponsive local workers and
// timed-out sources. Without a lease maintainSession drops the workers, and the registry announces which sources have
// ended.
func (s *Server) refreshSource() *schema.Source {
	if s.servesStale() {
		return s.newLocalSource()
	}
	s.workers.DropUnresponsive()
	source := s.newLocalSource()
	state := s.journal.Append(Event{
		At:            s.now(),
		Sources:       []*schema.Source{source},
		SourceTimeout: s.leaseDuration / sourceTimeoutDivisor,
	})
	s.outliers.Retain(state.KnownWorkers())
	return source
}
