package release

import (
	"math"
	"time"

	"meadowhinge/internal/config"
)

// StateDraining is the state in which a plan's version has all calls, and calls that were under way at
// the old one end; once none is, the plan is done.
const StateDraining = "settle"

// Ratios of a plan that goes by its term.
const (
	intermediatePercent   = 25  // a step between the trial and all, in percent
	maxEvidenceToProceed  = 0.3 // a suspicion from which a plan does not go on
	minHealthLogOdds      = 3   // and a trust up to which
	minCallsDivisor       = 3   // of the calls that make a version known, so many must have been seen
	minCapacityFraction   = 0.75
	rollbackIntervals     = 1.25 // that a version has a quarter or all calls until it is turned back, or goes on
	fullTrafficIntervals  = 2    // that a version has all calls before it takes the old one's place: load shows only then
	canaryFloorFraction   = 0.25 // of the trial's share that a version gets at the least
	canaryResizeThreshold = 0.2  // a share on trial that is wrong by this part is set anew
	maxDrainIntervals     = 3    // in turns, how long calls may take to end at the old version before the plan is done all the same
)

// DeadlineInputs is what a plan by its term goes by, beside what is counted.
type DeadlineInputs struct {
	Elapsed            time.Duration // since the plan was stated
	MinStepInterval    time.Duration // the shortest time between two steps
	EvidenceStrength   float64       // 1 and above: the version is bad
	EvidenceReason     string
	HealthLogOdds      float64 // logarithm of how much likelier it is sound than bad by what was seen in this step
	NewCalls           uint64  // of the new version that ended since it was stated
	CallsPerSecond     float64 // calls a second of all the service's versions, 0 for not known
	MeanInFlight       float64 // calls under way at all the service's workers on average
	NewSlots           float64 // of the new version's workers together, 0 for not told
	NewWorkers         int     // of the new version
	ProxiesBehind      int     // proxies that do not go by the last step yet
	OldInFlight        uint64  // calls under way at the old version's workers
	MayReplaceFallback bool    // the plan may make its version the fallback
}

// reasonCanary is the reason of a plan that waits for its term.
const reasonCanary = "on trial until shortly before the term"

// canaryPercent is the share on trial, in percent. A version that shows only with all calls that it
// is bad has by then had its trial, and gets a quarter and then all calls until it is turned back; all
// that together must stay within what a bad version may get.
func (o Options) canaryPercent(planDuration time.Duration, inputs DeadlineInputs) float64 {
	if o.MaxBadFraction == 0 || inputs.CallsPerSecond == 0 {
		return o.CanaryPercent
	}
	stepSeconds := inputs.MinStepInterval.Seconds()
	reserveSeconds := (intermediatePercent/100.0*rollbackIntervals + fullTrafficIntervals) * stepSeconds
	callBudget := o.MaxBadFraction*planDuration.Seconds()*inputs.CallsPerSecond + o.BadCallsMargin - reserveSeconds*inputs.CallsPerSecond
	return max(canaryFloorFraction*o.CanaryPercent, min(o.CanaryPercent, 100*callBudget/(inputs.CallsPerSecond*o.CanaryEndFraction*planDuration.Seconds())))
}

// NextDeadlineProgress decides the next progress of a plan that goes by its term: a share on trial for most of
// its time, then a quarter, then all, and done before the term. What a version can get that turns bad
// however late is so bounded over the whole of the plan's time.
func (o Options) NextDeadlineProgress(plan *config.Release, before config.Progress, inputs DeadlineInputs) config.Progress {
	after := before
	after.Elapsed = max(before.Elapsed, int64(inputs.Elapsed))
	moveTo := func(state, reason string, percent float64) config.Progress {
		after.State, after.Reason, after.Percentage, after.Weight, after.StateSince = state, reason, percent, int(percent*1000), after.Elapsed
		return after
	}
	timeInStep := time.Duration(after.Elapsed - before.StateSince)
	canaryPercent := min(o.canaryPercent(plan.Duration, inputs), plan.Target)
	resumes := before.State == StateRolledBack && before.Reason == reasonOperatorRollback && plan.Control != "back"
	switch {
	case before.State == StateDone, before.State == StateRolledBack && !resumes:
		return before
	case plan.Control == "back":
		return moveTo(StateRolledBack, reasonOperatorRollback, 0)
	case inputs.EvidenceStrength >= 1:
		return moveTo(StateRolledBack, "the version "+inputs.EvidenceReason, 0)
	case before.State == "" || resumes:
		return moveTo(StateCanary, reasonCanary, canaryPercent)
	case before.State == StateDraining:
		drained := inputs.ProxiesBehind == 0 && inputs.OldInFlight == 0
		if timeInStep >= inputs.MinStepInterval && drained || timeInStep >= maxDrainIntervals*inputs.MinStepInterval {
			return moveTo(StateDone, "the version has all calls", plan.Target)
		}
		return after
	case before.State == StateCanary && inputs.CallsPerSecond > 0 && math.Abs(canaryPercent-before.Percentage) > canaryResizeThreshold*before.Percentage:
		return moveTo(StateCanary, reasonCanary, canaryPercent)
	case plan.Control == "hold", time.Duration(after.Elapsed) < time.Duration(o.CanaryEndFraction*float64(plan.Duration)):
		return after
	// What was hardly seen or can't carry all calls stays where it is.
	case inputs.NewCalls < o.MinCalls/minCallsDivisor, inputs.NewSlots > 0 && inputs.NewSlots < minCapacityFraction*inputs.MeanInFlight, inputs.ProxiesBehind > 0 && timeInStep < maxDrainIntervals*inputs.MinStepInterval:
		return after
	// More calls tell soon what the trial could not.
	case before.Percentage < min(intermediatePercent, plan.Target):
		return moveTo(StateRamping, "it shows what it does with more calls", min(intermediatePercent, plan.Target))
	case inputs.EvidenceStrength > maxEvidenceToProceed && before.Percentage > min(intermediatePercent, plan.Target):
		return moveTo(StateRamping, "it is in doubt, and shows what it does with fewer calls", min(intermediatePercent, plan.Target))
	case inputs.EvidenceStrength > maxEvidenceToProceed, inputs.HealthLogOdds < minHealthLogOdds:
		return after
	case timeInStep < inputs.MinStepInterval || before.Percentage >= plan.Target && timeInStep < fullTrafficIntervals*inputs.MinStepInterval:
		return after
	case before.Percentage < plan.Target:
		return moveTo(StateRamping, "no worse than the old version", plan.Target)
	case plan.Target < 100 || !inputs.MayReplaceFallback:
		return moveTo(StateDone, "the target is reached", plan.Target)
	}
	return moveTo(StateDraining, "it takes the old version's place", plan.Target)
}
