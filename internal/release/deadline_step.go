package release

import (
	"time"

	"meadowhinge/internal/config"
)

// rateWindow is the shortest time over which the call rate and the calls in flight are measured.
const rateWindow = time.Second

// progressWritesPerPlan is the number of times during a plan that its progress is written although nothing
// changed. A registry that starts later learns from it how much of the plan's duration has passed.
const progressWritesPerPlan = 6

// nextDeadlineStep returns the next step of a deadline plan, nil if none is due.
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
		// The version is the fallback already, so there are no calls to shift.
		after := before
		after.State, after.Reason, after.Percentage = StateDone, reasonAllCalls, plan.Target
		return c.deadlineStep(plan, compiled, state, before, after)
	}
	inputs := c.deadlineInputs(now, compiled, plan, before, recorded, observation)
	return c.deadlineStep(plan, compiled, state, before, c.options.NextDeadlineProgress(plan, before, inputs))
}

// deadlineInputs returns the inputs of a plan's next progress. It updates the tracked plan with the round's
// counts, and evaluates the plan's version unless that was done earlier in this round.
func (c *Controller) deadlineInputs(now time.Duration, compiled *config.Snapshot, plan *config.Release,
	before config.Progress, recorded deadlineRecord, observation FleetObservation) DeadlineInputs {
	counts := GatherVersionCounts(observation.Counts, plan.Service, plan.Version, plan.Revision, before.PreviousVersion)
	guarded := c.guardedVersionFor(versionKey{plan.Service, plan.Version}, plan.Revision)
	// Guarded versions were evaluated before the plans advance. The version of a draining plan is no longer
	// guarded, so it is evaluated here.
	if _, isGuarded := compiled.GuardedRevision(plan.Service, plan.Version); !isGuarded {
		c.evaluateVersion(guarded, counts, observation.ReportingFraction, planGivesAllCalls(compiled, plan.Service, plan.Version))
	}
	tracked := c.trackedPlanFor(now, plan, counts)
	tracked.recordTransition(before, guarded.failureEvidence.LogOdds())
	tracked.measureRates(now, counts)
	pool := observation.Workers[[2]string{plan.Service, plan.Version}]
	inputs := DeadlineInputs{
		Elapsed:            recorded.elapsed,
		MinStepInterval:    c.minStepInterval,
		EvidenceStrength:   guarded.evidenceStrength,
		EvidenceReason:     guarded.evidenceVerdict,
		HealthLogOdds:      tracked.logOddsAtTransition - guarded.failureEvidence.LogOdds(),
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

// deadlineRecord is the recorded progress of a deadline plan and its position in time.
type deadlineRecord struct {
	progress config.Progress // recorded progress, zero if there is none
	sequence uint64          // configuration sequence of the plan's last step, or of the plan if it made none
	elapsed  time.Duration   // time since the plan was created
}

// recordedDeadlineProgress returns a plan's record. Its elapsed time is the larger of two: the time for which this
// registry has known the plan, and the elapsed time in the last write plus the time for which this registry has
// known that write. The latter is the larger one in a registry that started after the plan was created.
func recordedDeadlineProgress(compiled *config.Snapshot, state config.State, plan *config.Release,
	observation FleetObservation) deadlineRecord {
	record := deadlineRecord{sequence: plan.Revision, elapsed: observation.KnownFor(plan.Revision)}
	if recorded := progressOf(compiled, plan); recorded != nil {
		record.progress = *recorded
		record.sequence = state[config.Key(kindProgress, plan.Name)].Version.GetSequence()
		record.elapsed = max(record.elapsed, time.Duration(recorded.Elapsed)+observation.KnownFor(record.sequence))
	}
	return record
}

// recordTransition records the log odds of the failure evidence when the plan's last transition is first
// observed. The difference from later log odds is the evidence of the calls since then.
func (t *trackedPlan) recordTransition(before config.Progress, logOdds float64) {
	if key := (transitionKey{before.StateSince, int64(before.Weight)}); t.lastTransition != key {
		t.lastTransition = key
		t.logOddsAtTransition = logOdds
	}
}

// measureRates computes the service's call rate and mean calls in flight once the window has lasted rateWindow,
// and starts the next window.
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

// deadlineStep returns the step that writes a plan's progress, with the flag and the discovered versions that
// follow from it. It returns nil if nothing changed and the progress was written recently.
func (c *Controller) deadlineStep(plan *config.Release, compiled *config.Snapshot, state config.State,
	before, after config.Progress) (*Step, error) {
	changed := before.State != after.State || before.Weight != after.Weight || before.Reason != after.Reason
	if !changed && after.Elapsed-before.Elapsed < int64(plan.Duration)/progressWritesPerPlan {
		return nil, nil
	}
	after = c.withWriter(plan, before, after)
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
		return step, step.appendItem(kindProgress, plan.Name, after)
	}
	// A flag that an operator wrote keeps its targets and rules.
	if !usesDiscoveredVersions(compiled, plan.Service) {
		items, err := flagAndProgressItems(plan, compiled, state, after)
		step.Items = items
		return step, err
	}
	return step, step.appendDiscoveredVersionItems(plan, compiled, after)
}

// appendDiscoveredVersionItems adds the items of a plan for a service whose versions are discovered: the flag,
// the discovered versions if their fallback changes, and the progress. A draining plan makes its version the
// fallback. In all other states the previous version is the fallback, and the plan's version is listed beside it.
func (s *Step) appendDiscoveredVersionItems(plan *config.Release, compiled *config.Snapshot, after config.Progress) error {
	fallback := after.PreviousVersion
	if after.State == StateDraining {
		fallback = plan.Version
	}
	rolloutFlag := newRolloutFlag(compiled, plan.Service, fallback, plan.Version, after.Weight)
	rolloutFlag.On = after.State != StateRolledBack
	if err := s.appendItem(kindFlag, config.VersionFlagKey(plan.Service), rolloutFlag); err != nil {
		return err
	}
	if compiled.DiscoveredVersions[plan.Service].Fallback != fallback {
		if err := s.appendItem(kindDiscoveredVersions, plan.Service, newDiscoveredVersions(fallback, plan.Version)); err != nil {
			return err
		}
	}
	return s.appendItem(kindProgress, plan.Name, after)
}
