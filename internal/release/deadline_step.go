package release

import (
	"time"

	"meadowhinge/internal/config"
)

// rateWindow is the shortest time over which the rate of calls and the calls in flight are measured.
const rateWindow = time.Second

// progressWritesPerPlan is how often in a plan's time its progress is written although nothing changes, so
// that a registry that starts later knows how much of the time is over.
const progressWritesPerPlan = 6

// nextDeadlineStep makes the next step of a plan by deadline, nil if none is due.
func (c *Controller) nextDeadlineStep(now time.Duration, compiled *config.Snapshot, state config.State, plan *config.Release,
	observation FleetObservation) (*Step, error) {
	service := compiled.Services[plan.Service]
	if service == nil || service.Fallback == "" {
		return nil, nil
	}
	recorded := recordedDeadlineProgress(compiled, state, plan, observation)
	before := recorded.progress
	// The first step records the fallback; a draining plan has replaced it in the configuration.
	if before.PreviousVersion == "" {
		before.PreviousVersion = service.Fallback
	}
	if before.State == StateDone {
		return nil, nil
	}
	if before.PreviousVersion == plan.Version {
		// The version is the fallback already: there is nothing to move.
		after := before
		after.State, after.Reason, after.Percentage = StateDone, reasonAllCalls, plan.Target
		return c.deadlineStep(plan, compiled, state, before, after)
	}
	inputs := c.deadlineInputs(now, compiled, plan, before, recorded, observation)
	return c.deadlineStep(plan, compiled, state, before, c.options.NextDeadlineProgress(plan, before, inputs))
}

// deadlineInputs gathers what a plan's next progress depends on. It takes the round's counts into what is known
// of the plan and, unless that was done before in this round, of its version.
func (c *Controller) deadlineInputs(now time.Duration, compiled *config.Snapshot, plan *config.Release,
	before config.Progress, recorded deadlineRecord, observation FleetObservation) DeadlineInputs {
	counts := GatherVersionCounts(observation.Counts, plan.Service, plan.Version, plan.Revision, before.PreviousVersion)
	guarded := c.guardedVersionFor(versionKey{plan.Service, plan.Version}, plan.Revision)
	// Guarded versions were judged before the plans advance; one that is draining is judged here.
	if _, isGuarded := compiled.GuardedRevision(plan.Service, plan.Version); !isGuarded {
		c.judgeVersion(guarded, counts, observation.ReportingFraction, planGivesAllCalls(compiled, plan.Service, plan.Version))
	}
	tracked := c.trackedPlanFor(now, plan, counts)
	tracked.recordMove(before, guarded.failureEvidence.LogOdds())
	tracked.measureRates(now, counts)
	pool := observation.Workers[[2]string{plan.Service, plan.Version}]
	inputs := DeadlineInputs{
		Elapsed:            recorded.elapsed,
		MinStepInterval:    c.minStepInterval,
		EvidenceStrength:   guarded.evidenceStrength,
		EvidenceReason:     guarded.evidenceVerdict,
		HealthLogOdds:      tracked.logOddsAtMove - guarded.failureEvidence.LogOdds(),
		NewCalls:           total(counts.New).Calls,
		CallsPerSecond:     tracked.callsPerSecond,
		MeanInFlight:       tracked.meanInFlight,
		NewSlots:           float64(pool.Slots),
		ProxiesBehind:      observation.proxiesBehind(recorded.sequence),
		OldInFlight:        total(counts.Old).InFlight,
		MayReplaceFallback: usesDiscoveredVersions(compiled, plan.Service),
	}
	if guarded.stopVerdict != "" {
		inputs.EvidenceStrength, inputs.EvidenceReason = 1, guarded.stopVerdict
	}
	return inputs
}

// deadlineRecord is what is recorded of a plan by deadline.
type deadlineRecord struct {
	progress config.Progress // zero if none is recorded
	sequence uint64          // of the plan's last step, or of the plan if it made none
	elapsed  time.Duration   // since the plan was stated
}

// recordedDeadlineProgress reads a plan's progress. A registry that started after the plan was stated adds
// the time since it learned of the last write to the time recorded then.
func recordedDeadlineProgress(compiled *config.Snapshot, state config.State, plan *config.Release,
	observation FleetObservation) deadlineRecord {
	record := deadlineRecord{sequence: plan.Revision, elapsed: observation.KnownFor(plan.Revision)}
	if recorded := progressOf(compiled, plan); recorded != nil {
		record.progress = *recorded
		record.sequence = state[config.Key(progressKind, plan.Name)].Version.GetSequence()
		record.elapsed = max(record.elapsed, time.Duration(recorded.Elapsed)+observation.KnownFor(record.sequence))
	}
	return record
}

// recordMove records the failure evidence as it was when the plan's last move took effect, so that the
// evidence of the calls since then can be told apart.
func (t *trackedPlan) recordMove(before config.Progress, logOdds float64) {
	if key := (moveKey{before.StateSince, int64(before.Weight)}); t.moveKey != key {
		t.moveKey = key
		t.logOddsAtMove = logOdds
	}
}

// measureRates measures the service's rate of calls and calls in flight, once the window is long enough, and
// starts the next window.
func (t *trackedPlan) measureRates(now time.Duration, counts VersionCounts) {
	window := now - t.rateWindowStartedAt
	if window < rateWindow {
		return
	}
	totals := counts.Since(t.rateWindowCounts).allVersions()
	t.meanInFlight = meanInFlight(totals, window)
	t.callsPerSecond = float64(totals.Calls) / window.Seconds()
	t.rateWindowCounts = counts
	t.rateWindowStartedAt = now
}

// deadlineStep writes a plan's progress with the flag and the discovered versions that follow from it. It
// is nil if nothing changed and the progress was written lately.
func (c *Controller) deadlineStep(plan *config.Release, compiled *config.Snapshot, state config.State,
	before, after config.Progress) (*Step, error) {
	changed := before.State != after.State || before.Weight != after.Weight || before.Reason != after.Reason
	if !changed && after.Elapsed-before.Elapsed < int64(plan.Duration)/progressWritesPerPlan {
		return nil, nil
	}
	after = c.stamp(plan, before, after)
	step := &Step{Name: plan.Name, Urgent: after.State == StateRolledBack}
	if changed {
		step.Message = "rollout step"
		step.LogFields = []any{
			"service", plan.Service,
			"version", plan.Version,
			"state", after.State,
			"percent", after.Percentage,
			"elapsed", time.Duration(after.Elapsed).Round(time.Millisecond),
			"reason", after.Reason,
		}
	}
	if !changed || after.State == StateDone {
		return step, step.put(progressKind, plan.Name, after)
	}
	// An operator's own flag keeps its targets and rules.
	if !usesDiscoveredVersions(compiled, plan.Service) {
		items, err := flagAndProgressItems(plan, compiled, state, after)
		step.Items = items
		return step, err
	}
	return step, step.putDiscoveredVersions(plan, compiled, after)
}

// putDiscoveredVersions appends the flag, the discovered versions if their fallback changes, and the
// progress of a plan for a service whose versions are discovered. A draining plan has made its version
// the fallback; any other has its version beside the previous one.
func (s *Step) putDiscoveredVersions(plan *config.Release, compiled *config.Snapshot, after config.Progress) error {
	fallback := after.PreviousVersion
	if after.State == StateDraining {
		fallback = plan.Version
	}
	rolloutFlag := newRolloutFlag(compiled, plan.Service, fallback, plan.Version, after.Weight)
	rolloutFlag.On = after.State != StateRolledBack
	if err := s.put(flagKind, config.VersionFlagKey(plan.Service), rolloutFlag); err != nil {
		return err
	}
	if compiled.DiscoveredVersions[plan.Service].Fallback != fallback {
		if err := s.put(discoveredVersionsKind, plan.Service, newDiscoveredVersions(fallback, plan.Version)); err != nil {
			return err
		}
	}
	return s.put(progressKind, plan.Name, after)
}
