package release

import (
	"math"
	"time"

	"meadowhinge/internal/config"
)

// Bounds of a plan by deadline. Intervals are multiples of DeadlineInputs.MinStepInterval.
const (
	intermediatePercent   = 25   // percentage between the canary's and the target
	maxEvidenceToProceed  = 0.3  // evidence strength above which the percentage does not rise
	minHealthLogOdds      = 3    // log odds of "healthy" below which it does not rise
	minCapacityFraction   = 0.75 // fraction of the service's calls in flight that the new workers' slots must hold
	rollbackIntervals     = 1.25 // time from a rise of the percentage until a bad version is rolled back
	fullTrafficIntervals  = 2    // time at the target before the version replaces the fallback: load shows only then
	canaryFloorFraction   = 0.25 // fraction of Options.CanaryPercent that a canary gets at least
	canaryResizeThreshold = 0.2  // relative change of the canary's percentage that is worth a step
	maxDrainIntervals     = 3    // time after which the plan no longer waits for other proxies or old calls
)

// DeadlineInputs is what the next progress of a plan by deadline depends on, beside the recorded one.
type DeadlineInputs struct {
	Elapsed            time.Duration // since the plan was stated
	MinStepInterval    time.Duration // shortest time between two steps
	EvidenceStrength   float64       // of FailureEvidence, or 1 if the rollback guard stopped the version; bad from 1
	EvidenceReason     string        // the verdict, if the strength is 1 or more
	HealthLogOdds      float64       // natural log of how much likelier "healthy" is than "bad", by the calls of this state
	NewCalls           uint64        // calls of the new version that ended since it was stated
	CallsPerSecond     float64       // of all the service's versions; 0 while unknown
	MeanInFlight       float64       // mean number of calls in flight at all the service's workers
	NewSlots           float64       // concurrent calls that the new version's workers take together; 0 if unknown
	ProxiesBehind      int           // proxies that have not applied the last step yet
	OldInFlight        uint64        // calls in flight at the old version's workers
	MayReplaceFallback bool          // the plan may make its version the fallback
}

// canaryPercent is the percentage of calls in the canary state. It is chosen so that a version which
// turns out to be bad only under all calls still keeps within MaxBadFraction of the plan's calls plus
// BadCallsMargin: by then it has had the canary's calls, and gets those of the intermediate step and
// of the target until it is rolled back. What that takes is reserved, the rest is the canary's.
func (o Options) canaryPercent(planDuration time.Duration, inputs DeadlineInputs) float64 {
	if o.MaxBadFraction == 0 || inputs.CallsPerSecond == 0 {
		return o.CanaryPercent
	}
	stepSeconds := inputs.MinStepInterval.Seconds()
	reserveSeconds := (intermediatePercent/100.0*rollbackIntervals + fullTrafficIntervals) * stepSeconds
	callBudget := o.MaxBadFraction*planDuration.Seconds()*inputs.CallsPerSecond + o.BadCallsMargin - reserveSeconds*inputs.CallsPerSecond
	callsInCanaryState := inputs.CallsPerSecond * o.CanaryEndFraction * planDuration.Seconds()
	return max(canaryFloorFraction*o.CanaryPercent, min(o.CanaryPercent, 100*callBudget/callsInCanaryState))
}

// NextDeadlineProgress decides the next progress of a plan by deadline: the canary's percentage for most
// of the plan's time, then a quarter of the calls, then all, and done before the time is over. That
// bounds the calls that a version can get which turns bad, however late it does.
func (o Options) NextDeadlineProgress(plan *config.Release, before config.Progress, inputs DeadlineInputs) config.Progress {
	resumes := operatorResumes(plan, before)
	if before.State == StateDone || before.State == StateRolledBack && !resumes {
		return before
	}
	after := before
	after.Elapsed = max(before.Elapsed, int64(inputs.Elapsed))
	decision := deadlineDecision{
		options:       o,
		plan:          plan,
		before:        before,
		inputs:        inputs,
		resumes:       resumes,
		elapsed:       time.Duration(after.Elapsed),
		timeInState:   time.Duration(after.Elapsed - before.StateSince),
		canaryPercent: min(o.canaryPercent(plan.Duration, inputs), plan.Target),
	}
	if move := decision.next(); move != nil {
		after.State, after.Reason, after.Percentage = move.state, move.reason, move.percent
		after.Weight = weightOfPercent(move.percent)
		after.StateSince = after.Elapsed
	}
	return after
}

// planMove is a change of a plan's state or percentage.
type planMove struct {
	state, reason string
	percent       float64
}

// deadlineDecision holds what one decision about a plan by deadline is made from.
type deadlineDecision struct {
	options       Options
	plan          *config.Release
	before        config.Progress
	inputs        DeadlineInputs
	resumes       bool          // the operator lets a plan continue that the operator rolled back
	elapsed       time.Duration // since the plan was stated
	timeInState   time.Duration // since the last move
	canaryPercent float64
}

// next is the plan's next move, nil for none. The order of the cases decides.
func (d deadlineDecision) next() *planMove {
	switch {
	case d.plan.Control == controlRollBack:
		return &planMove{StateRolledBack, reasonOperatorRollback, 0}
	case d.inputs.EvidenceStrength >= 1:
		return &planMove{StateRolledBack, versionReason(d.inputs.EvidenceReason), 0}
	case d.before.State == "" || d.resumes:
		return &planMove{StateCanary, reasonCanary, d.canaryPercent}
	case d.before.State == StateDraining:
		return d.nextFromDraining()
	case d.before.State == StateCanary && d.needsCanaryResize():
		return &planMove{StateCanary, reasonCanary, d.canaryPercent}
	case d.plan.Control == controlHold, d.elapsed < d.canaryEnd():
		return nil
	case d.lacksCalls(), d.lacksCapacity(), d.awaitsProxies():
		return nil
	}
	return d.nextPercentage()
}

// nextFromDraining ends the plan once every proxy has applied the last step and no call is in flight at
// the old version, or when that takes too long.
func (d deadlineDecision) nextFromDraining() *planMove {
	drained := d.inputs.ProxiesBehind == 0 && d.inputs.OldInFlight == 0
	if d.timeInState >= d.inputs.MinStepInterval && drained || d.timeInState >= maxDrainIntervals*d.inputs.MinStepInterval {
		return &planMove{StateDone, reasonAllCalls, d.plan.Target}
	}
	return nil
}

// needsCanaryResize reports whether the measured call rate asks for another canary percentage.
func (d deadlineDecision) needsCanaryResize() bool {
	return d.inputs.CallsPerSecond > 0 &&
		math.Abs(d.canaryPercent-d.before.Percentage) > canaryResizeThreshold*d.before.Percentage
}

// canaryEnd is the time since the plan was stated at which the canary state may end.
func (d deadlineDecision) canaryEnd() time.Duration {
	return time.Duration(d.options.CanaryEndFraction * float64(d.plan.Duration))
}

func (d deadlineDecision) lacksCalls() bool {
	return d.inputs.NewCalls < d.options.MinCalls/minCallsDivisor
}

// lacksCapacity reports whether the new version's workers could not hold the service's calls.
func (d deadlineDecision) lacksCapacity() bool {
	return d.inputs.NewSlots > 0 && d.inputs.NewSlots < minCapacityFraction*d.inputs.MeanInFlight
}

// awaitsProxies reports whether some proxies have not applied the last step, and it is not too old.
func (d deadlineDecision) awaitsProxies() bool {
	return d.inputs.ProxiesBehind > 0 && d.timeInState < maxDrainIntervals*d.inputs.MinStepInterval
}

// nextPercentage raises the percentage after the canary state, first to the intermediate one, because more
// calls soon show what the canary could not. It goes back there if the evidence is uncertain. The order
// of the cases decides.
func (d deadlineDecision) nextPercentage() *planMove {
	intermediate := min(intermediatePercent, d.plan.Target)
	isUncertain := d.inputs.EvidenceStrength > maxEvidenceToProceed
	atTarget := d.before.Percentage >= d.plan.Target
	switch {
	case d.before.Percentage < intermediate:
		return &planMove{StateRamping, reasonMoreCalls, intermediate}
	case isUncertain && d.before.Percentage > intermediate:
		return &planMove{StateRamping, reasonFewerCalls, intermediate}
	case isUncertain, d.inputs.HealthLogOdds < minHealthLogOdds:
		return nil
	case d.timeInState < d.inputs.MinStepInterval:
		return nil
	case atTarget && d.timeInState < fullTrafficIntervals*d.inputs.MinStepInterval:
		return nil
	case !atTarget:
		return &planMove{StateRamping, reasonNoWorse, d.plan.Target}
	case d.plan.Target < maxPercent || !d.inputs.MayReplaceFallback:
		return &planMove{StateDone, reasonTargetReached, d.plan.Target}
	}
	return &planMove{StateDraining, reasonDraining, d.plan.Target}
}
