package release

import (
	"time"

	"meadowhinge/internal/config"
)

// nextRampStep returns the next step of a ramp plan, or nil if none is due or the change is too small to write.
func (c *Controller) nextRampStep(now time.Duration, compiled *config.Snapshot, state config.State, plan *config.Release,
	observation FleetObservation) (*Step, error) {
	counts := GatherVersionCounts(observation.Counts, plan.Service, plan.Version, plan.Revision, compiled.FallbackVersion(plan.Service))
	before := config.Progress{}
	if recorded := progressOf(compiled, plan); recorded != nil {
		before = *recorded
	}
	tracked := c.trackedPlanFor(now, plan, counts)
	stopVerdict := ""
	if guarded := c.guardedVersions[versionKey{plan.Service, plan.Version}]; guarded != nil {
		stopVerdict = guarded.stopVerdict
	}
	if !c.isRampStepDue(now, plan, tracked, before, stopVerdict) {
		return nil, nil
	}
	sinceLastStep := counts.Since(tracked.lastStepCounts)
	after := c.options.NextRampProgress(plan, before, counts.Since(tracked.firstCounts), sinceLastStep, now-tracked.steppedAt)
	if stopVerdict != "" {
		after = rolledBack(after, versionReason(stopVerdict))
	}
	tracked.steppedAt = now
	if before.State == "" || sinceLastStep.NewPercent() > 0 {
		tracked.lastStepCounts = counts
	}
	if !NeedsWrite(before, after) {
		return nil, nil
	}
	after = c.withWriter(plan, before, after)
	items, err := flagAndProgressItems(plan, compiled, state, after)
	return &Step{Name: plan.Name, Items: items, Urgent: after.State == StateRolledBack}, err
}

// isRampStepDue reports whether the next progress of a ramp plan is computed in this round. A progress is due after
// the step interval. It is due at once if the plan is new, must be rolled back, or is rolled back or resumed by the
// operator. The check for a resumed plan also holds in every round for a plan that was rolled back as bad.
// NextRampProgress then leaves that plan rolled back.
func (c *Controller) isRampStepDue(now time.Duration, plan *config.Release, tracked *trackedPlan, before config.Progress,
	stopVerdict string) bool {
	stepInterval := max(plan.Duration/time.Duration(c.options.RampSteps), c.minStepInterval)
	isRolledBack := before.State == StateRolledBack
	mustRollBack := stopVerdict != "" && !isRolledBack
	controlDiffers := (plan.Control == controlRollBack) != isRolledBack
	return now-tracked.steppedAt >= stepInterval || before.State == "" || mustRollBack || controlDiffers
}
