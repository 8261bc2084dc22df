package release

import (
	"math"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
)

// maxPercent is the percentage of a version that gets all calls.
const maxPercent = 100

// weightPerPercent is the flag's weight for one percent of the calls.
const weightPerPercent = flag.TotalWeight / 100

// weightOfPercent returns the flag's weight for a percentage of calls, rounded down.
func weightOfPercent(percent float64) int { return int(percent * weightPerPercent) }

// minCallsToRaiseDivisor gives the number of calls that a plan needs to raise the percentage: MinCalls divided
// by this constant. A ramp plan counts the calls since its last step, a deadline plan those since it was created.
const minCallsToRaiseDivisor = 3

// rolledBack returns progress in the rolled-back state: no calls, and the given reason.
func rolledBack(progress config.Progress, reason string) config.Progress {
	progress.State, progress.Reason = StateRolledBack, reason
	progress.Percentage, progress.Weight = 0, 0
	return progress
}

// operatorResumes reports whether the operator resumes a plan that the operator rolled back. A plan whose
// version was rolled back as bad cannot be resumed.
func operatorResumes(plan *config.Release, before config.Progress) bool {
	return before.State == StateRolledBack && before.Reason == reasonOperatorRollback && plan.Control != controlRollBack
}

// NextRampProgress returns the next progress of a ramp plan. The percentage rises in proportion to the time
// in which the new version performed no worse than the old one. sinceStart holds the counts since the controller
// first saw the plan, and sinceLastStep those since the last step. elapsed is the time since the last step.
//
// While sinceStart has too few calls of the new version, the plan is in the canary state, whatever its recorded state
// is. That is also so after a change of controller.
func (o Options) NextRampProgress(plan *config.Release, before config.Progress, sinceStart, sinceLastStep VersionCounts,
	elapsed time.Duration) config.Progress {
	after := before
	switch {
	case operatorResumes(plan, before):
		// A resumed plan starts over, without its earlier progress.
		before.State = ""
		after = config.Progress{
			ControllerTerm: before.ControllerTerm,
			Controller:     before.Controller,
			PlanID:         before.PlanID,
		}
	case before.State == StateRolledBack:
		return after
	case plan.Control == controlRollBack:
		return rolledBack(after, reasonOperatorRollback)
	}
	for _, counts := range []VersionCounts{sinceLastStep, sinceStart} {
		if verdict, failing := o.IsFailing(counts, nil); failing {
			return rolledBack(after, versionReason(verdict))
		}
	}
	if plan.Control == controlHold {
		after.State, after.Reason = StateHolding, reasonOperatorHold
		return after
	}
	after = o.raisePercentage(plan, before, after, sinceStart, sinceLastStep, elapsed)
	after.Weight = o.flagWeight(before, after, sinceLastStep.NewPercent())
	return after
}

// raisePercentage returns after with the next state and percentage of a ramp plan that neither the operator
// nor a failing version holds back.
func (o Options) raisePercentage(plan *config.Release, before, after config.Progress, sinceStart, sinceLastStep VersionCounts,
	elapsed time.Duration) config.Progress {
	canaryPercent := min(o.CanaryPercent, plan.Target)
	switch {
	case !o.isProven(sinceStart):
		after.State, after.Reason, after.Percentage = StateCanary, reasonNotProven, canaryPercent
	case total(sinceLastStep.New).Calls < o.MinCalls/minCallsToRaiseDivisor && before.Percentage < plan.Target:
		after.State, after.Reason = StateHolding, reasonTooFewCalls
		after.Percentage = max(before.Percentage, canaryPercent)
	default:
		after.Elapsed += int64(elapsed)
		after.Percentage = max(canaryPercent, min(plan.Target, plan.Target*float64(after.Elapsed)/float64(plan.Duration)))
		after.State, after.Reason = StateRamping, reasonNoWorse
		if after.Percentage >= plan.Target {
			after.State, after.Reason = StateDone, reasonTargetReached
		}
	}
	return after
}

// Parameters of the feedback correction of a flag's weight by the measured percentage of calls.
const (
	setPointTolerance       = 1e-9 // percentage points; percentages that differ by less are the same set point
	weightCorrectionDivisor = 2    // half of the measured deviation is corrected in one step
	minWeightDivisor        = 2    // the weight is at least half of the set point
	maxWeightMultiple       = 1.5  // the weight is at most this multiple of the set point
)

// flagWeight converts the set point, after.Percentage, to the flag's weight. The flag splits contexts, and
// contexts do not all make the same number of calls. So while the set point stays the same, the weight is
// corrected by the measured percentage of calls. In the canary state it never exceeds CanaryPercent.
func (o Options) flagWeight(before, after config.Progress, measuredPercent float64) int {
	target := after.Percentage
	weightPercent := target
	if before.Weight > 0 && measuredPercent > 0 && math.Abs(before.Percentage-target) < setPointTolerance {
		weightPercent = float64(before.Weight)/weightPerPercent + (target-measuredPercent)/weightCorrectionDivisor
	}
	weightPercent = max(target/minWeightDivisor, min(weightPercent, target*maxWeightMultiple))
	if after.State == StateCanary {
		weightPercent = min(weightPercent, o.CanaryPercent)
	}
	return weightOfPercent(min(maxPercent, weightPercent))
}

// The smallest changes of a progress that are written while its state and reason stay the same.
const (
	minPercentChangeToWrite = 0.5                                        // change of the percentage, in percentage points
	minWeightChangeToWrite  = minPercentChangeToWrite * weightPerPercent // change of the flag's weight
)

// NeedsWrite reports whether the progress after differs enough from the recorded progress before to be written.
func NeedsWrite(before, after config.Progress) bool {
	return before.State != after.State || before.Reason != after.Reason ||
		math.Abs(before.Percentage-after.Percentage) >= minPercentChangeToWrite ||
		math.Abs(float64(before.Weight-after.Weight)) >= minWeightChangeToWrite
}
