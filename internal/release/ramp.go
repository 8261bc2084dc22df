package release

import (
	"math"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
)

// maxPercent is all calls.
const maxPercent = 100

// weightPerPercent converts a percentage of calls to a weight of the flag.
const weightPerPercent = flag.TotalWeight / 100

func weightOfPercent(percent float64) int { return int(percent * weightPerPercent) }

// minCallsDivisor is the fraction of MinCalls without which a plan does not raise the percentage.
const minCallsDivisor = 3

// rolledBack is a progress with the plan rolled back.
func rolledBack(progress config.Progress, reason string) config.Progress {
	progress.State, progress.Reason = StateRolledBack, reason
	progress.Percentage, progress.Weight = 0, 0
	return progress
}

// operatorResumes reports whether the operator lets a plan continue that the operator rolled back. A plan
// that was rolled back as bad stays so.
func operatorResumes(plan *config.Release, before config.Progress) bool {
	return before.State == StateRolledBack && before.Reason == reasonOperatorRollback && plan.Control != controlRollBack
}

// NextRampProgress decides the next progress of a plan by ramp: the percentage rises in proportion to the
// time in which the new version proved no worse. The counts are those since the plan began and those
// since the last step; elapsed is the time since the last step.
func (o Options) NextRampProgress(plan *config.Release, before config.Progress, sinceStart, sinceLastStep VersionCounts,
	elapsed time.Duration) config.Progress {
	after := before
	switch {
	case operatorResumes(plan, before):
		// The plan begins anew, without its progress.
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

// raisePercentage decides the state and the percentage of a plan by ramp that neither the operator nor a
// failure keeps from rising.
func (o Options) raisePercentage(plan *config.Release, before, after config.Progress, sinceStart, sinceLastStep VersionCounts,
	elapsed time.Duration) config.Progress {
	canaryPercent := min(o.CanaryPercent, plan.Target)
	switch {
	case !o.isProven(sinceStart):
		after.State, after.Reason, after.Percentage = StateCanary, reasonNotProven, canaryPercent
	case total(sinceLastStep.New).Calls < o.MinCalls/minCallsDivisor && before.Percentage < plan.Target:
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

// Bounds of the weight's correction by the measured percentage.
const (
	samePercent             = 1e-9 // percentages that differ by less are the same set point
	weightCorrectionDivisor = 2    // half of the measured deviation is corrected in one step
	minWeightDivisor        = 2    // the weight is at least half of the set point
	maxWeightMultiple       = 1.5  // and at most this multiple of it
)

// flagWeight converts the set point, after.Percentage, to the flag's weight. The flag splits contexts, and
// contexts do not all make the same number of calls, so the measured percentage of calls corrects the
// weight while the set point stays; never above CanaryPercent in the canary state.
func (o Options) flagWeight(before, after config.Progress, measuredPercent float64) int {
	target := after.Percentage
	weightPercent := target
	if before.Weight > 0 && measuredPercent > 0 && math.Abs(before.Percentage-target) < samePercent {
		weightPercent = float64(before.Weight)/weightPerPercent + (target-measuredPercent)/weightCorrectionDivisor
	}
	weightPercent = max(target/minWeightDivisor, min(weightPercent, target*maxWeightMultiple))
	if after.State == StateCanary {
		weightPercent = min(weightPercent, o.CanaryPercent)
	}
	return weightOfPercent(min(maxPercent, weightPercent))
}

// The smallest changes of a progress that are written although its state and reason stay.
const (
	minPercentChangeToWrite = 0.5
	minWeightChangeToWrite  = minPercentChangeToWrite * weightPerPercent
)

// NeedsWrite reports whether a progress differs enough from the recorded one to be written.
func NeedsWrite(before, after config.Progress) bool {
	return before.State != after.State || before.Reason != after.Reason ||
		math.Abs(before.Percentage-after.Percentage) >= minPercentChangeToWrite ||
		math.Abs(float64(before.Weight-after.Weight)) >= minWeightChangeToWrite
}
