package proxy

import (
	"context"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/release"
	"meadowhinge/schema"
)

// publishWorkers applies the workers beside this proxy to its own state and wakes the report to a registry. Package
// dispatch calls it whenever they change.
func (s *Server) publishWorkers() {
	s.journal.Append(Event{At: s.now(), Sources: []*schema.Source{s.newLocalSource()}})
	wake(s.reportNow)
}

// newLocalSource returns this proxy as a source of the directory, under a version above that of each one returned before.
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

// reportSchedule decides when reportLoop reports, and what.
//
// Workers, with their load and liveness, are reported renewalsPerLease times per lease and at once when they change.
// Work counts are reported reportsPerLease times per lease, but only while some version is judged by them. Counts of
// verdicts, which nothing waits for, are reported seldom. Without a lease the session shows the registry that this
// proxy is alive, and hardly anything is reported while nothing changes.
type reportSchedule struct {
	servesStale   bool
	leaseDuration time.Duration

	turn          int  // counts the turns of reportLoop
	reportWorkers bool // in the next turn: the workers changed, or their last report without a lease failed

	verdictInterval    time.Duration
	verdictsReportedAt time.Duration

	judgedRevision uint64 // of the configuration that the next two come from
	isJudged       func(service string) bool
	anyJudged      bool
}

// newReportSchedule makes a schedule whose first turn reports the workers.
func newReportSchedule(servesStale bool, leaseDuration time.Duration) *reportSchedule {
	schedule := &reportSchedule{
		servesStale:     servesStale,
		leaseDuration:   leaseDuration,
		reportWorkers:   true,
		verdictInterval: leaseDuration / verdictReportsPerLease,
		isJudged:        func(string) bool { return false },
	}
	if servesStale {
		schedule.verdictInterval = staleVerdictReportLeases * leaseDuration
	}
	return schedule
}

// updateJudged brings the judged services up to the configuration in use.
func (r *reportSchedule) updateJudged(snapshot *config.Snapshot) {
	if snapshot.Revision != r.judgedRevision {
		r.isJudged, r.anyJudged = release.JudgedServices(snapshot)
		r.judgedRevision = snapshot.Revision
	}
}

// due reports what this turn's report includes; without any of them and without judged services there is none.
func (r *reportSchedule) due(now time.Duration) (includeWorkers, includeVerdicts bool) {
	isWorkersTurn := !r.servesStale && r.turn%(reportsPerLease/renewalsPerLease) == 0
	return r.reportWorkers || isWorkersTurn, now-r.verdictsReportedAt >= r.verdictInterval
}

// nextTurn is the time until the next turn if nothing wakes the loop; retry is set if this turn's report is to be
// repeated.
func (r *reportSchedule) nextTurn(retry bool) time.Duration {
	switch {
	case retry:
		return r.leaseDuration / retryBackoffDivisor
	case r.anyJudged || !r.servesStale:
		return r.leaseDuration / reportsPerLease
	}
	return r.verdictInterval
}

// reportLoop reports workers and counts to the current registry until ctx ends.
func (s *Server) reportLoop(ctx context.Context) {
	schedule := newReportSchedule(s.servesStale(), s.leaseDuration)
	for ; ; schedule.turn++ {
		schedule.updateJudged(s.view().Config)
		includeWorkers, includeVerdicts := schedule.due(s.now())
		reported := true
		if schedule.anyJudged || includeWorkers || includeVerdicts {
			reported = s.report(ctx, includeWorkers, includeVerdicts, schedule.isJudged)
			if reported && includeVerdicts {
				schedule.verdictsReportedAt = s.now()
			}
		}
		// Under a lease the workers' next turn repeats them anyway.
		retry := !reported && includeWorkers && schedule.servesStale
		select {
		case <-ctx.Done():
			return
		case <-time.After(schedule.nextTurn(retry)):
			schedule.reportWorkers = retry
		case <-s.configChanged:
			schedule.reportWorkers = false
		case <-s.reportNow:
			schedule.reportWorkers = true
		}
	}
}

// report sends one report to the current registry: the work counts of judged services, the workers beside this proxy
// and the counts of verdicts if they are included. It reports whether the registry acknowledged it.
func (s *Server) report(ctx context.Context, includeWorkers, includeVerdicts bool, isJudged func(service string) bool) bool {
	defer s.canaries.ForgetUnguarded()
	address, rotation := s.currentRegistry()
	if address == "" {
		return false // no session with any registry
	}
	var source *schema.Source
	if includeWorkers {
		source = s.refreshSource()
	}
	bounded, cancel := context.WithTimeout(ctx, s.leaseDuration/renewalsPerLease)
	defer cancel()
	requestedAt, snapshot := s.now(), s.view().Config
	report := s.newReport(source)
	report.Applied = snapshot.Revision
	report.WorkCounts = s.runner.WorkCounts.Report(isJudged)
	if includeVerdicts {
		report.Counts = s.callCounter.Counts(snapshot.Revision)
	}
	reply, err := s.registryClient(bounded, address).Tell(bounded, report)
	if err != nil {
		if ctx.Err() == nil && !s.servesStale() {
			s.switchRegistry(rotation)
		}
		return false
	}
	s.canaries.ApplyGrants(requestedAt, reply.Canaries)
	return true
}

// newReport is a report with this proxy's identity; source may be nil.
func (s *Server) newReport(source *schema.Source) *schema.ProxyReport {
	return &schema.ProxyReport{Proxy: s.initialOptions.Name, Incarnation: s.processIncarnation, Source: source}
}

// refreshSource returns a newLocalSource for a report. Under a lease it first drops workers and sources that are no longer heard
// from; without one maintainSession drops the workers, and the registry lists which sources have ended.
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
