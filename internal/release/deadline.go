package release

import (
	"math"
	"time"

	"meadowhinge/internal/config"
)

// Parameters of deadline plans. Intervals are multiples of DeadlineInputs.MinStepInterval.
const (
	intermediatePercent = 25 // percentage between the canary's and the target
	// maxEvidenceToProceed is the evidence strength above which the percentage does not rise beyond
	// intermediatePercent, and falls back to it from above.
	maxEvidenceToProceed = 0.3
	// minHealthLogOdds is the value of DeadlineInputs.HealthLogOdds below which a plan that has reached
	// intermediatePercent is neither raised further nor completed.
	minHealthLogOdds    = 3
	minCapacityFraction = 0.75 // smallest ratio of the new workers' slots to the service's calls in flight
	rollbackIntervals   = 1.25 // intervals from a rise of the percentage until a bad version is rolled back
	// fullTrafficIntervals is the number of intervals at the target before the version replaces the fallback,
	// because only there the version shows how it performs under full load.
	fullTrafficIntervals  = 2
	canaryFloorFraction   = 0.25 // smallest fraction of Options.CanaryPercent that a canary gets
	canaryResizeThreshold = 0.2  // relative change of the canary's percentage above which a step is made
	maxDrainIntervals     = 3    // intervals after which the plan no longer waits for proxies or old calls
)

// DeadlineInputs holds the inputs of the next progress of a deadline plan, besides the recorded progress.
type DeadlineInputs struct {
	// Elapsed is the time since the plan was created.
	Elapsed time.Duration
	// MinStepInterval is the shortest time between two steps.
	MinStepInterval time.Duration
	// EvidenceStrength is the strength from FailureEvidence, or 1 once the rollback guard or the evidence of an
	// earlier round has found the version bad. The version is rolled back from 1.
	EvidenceStrength float64
	// EvidenceReason is the verdict for EvidenceStrength.
	EvidenceReason string
	// HealthLogOdds is the natural logarithm of the likelihood ratio of "healthy" to "bad", over the calls since
	// the last transition.
	HealthLogOdds float64
	// NewCalls is the number of calls of the new version that ended since the plan was created.
	NewCalls uint64
	// CallsPerSecond is the call rate of all versions of the service, 0 while unknown.
	CallsPerSecond float64
	// MeanInFlight is the mean number of calls in flight at all workers of the service.
	MeanInFlight float64
	// NewSlots is the total concurrency limit of the new version's workers, 0 if unknown.
	NewSlots float64
	// ProxiesBehind is the number of proxies that have not applied the last step yet.
	ProxiesBehind int
	// OldInFlight is the number of calls in flight at the old version's workers.
	OldInFlight uint64
	// MayReplaceFallback says that the plan may make its version the fallback. It may if the versions of the service
	// are discovered from worker registrations.
	MayReplaceFallback bool
}

// canaryPercent returns the percentage of calls in the canary state. It is chosen so that a version which
// turns out to be bad only under full load gets at most MaxBadFraction of the service's calls during the plan, plus
// BadCallsMargin.
// By then the version has had the canary's calls. It also gets the calls of the intermediate step, and those at
// the target until it is rolled back. The calls of these two are reserved, and the canary gets the rest.
//
// The result lies between canaryFloorFraction of CanaryPercent and CanaryPercent. At the lower end, the version may
// get more calls than the limit. Without a limit, or while the call rate is unknown, the result is CanaryPercent.
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

// NextDeadlineProgress returns the next progress of a deadline plan. The plan keeps the canary's percentage for
// most of its duration, then goes to a quarter of the calls and then to the target, and is done before the
// deadline. This limits the calls that a bad version can get, however late it turns bad. The plan ends later if the
// operator holds it, or if it lacks calls, capacity, evidence or proxies that have applied the last step.
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
	if transition := decision.next(); transition != nil {
		after.State, after.Reason, after.Percentage = transition.state, transition.reason, transition.percent
		after.Weight = weightOfPercent(transition.percent)
		after.StateSince = after.Elapsed
	}
	return after
}

// planTransition is a change of a plan's state or percentage.
type planTransition struct {
	state, reason string
	percent       float64
}

// deadlineDecision holds the inputs of one decision about a deadline plan.
type deadlineDecision struct {
	options       Options
	plan          *config.Release
	before        config.Progress // recorded progress
	inputs        DeadlineInputs
	resumes       bool          // the operator resumes a plan that the operator rolled back
	elapsed       time.Duration // time since the plan was created
	timeInState   time.Duration // time since the last transition
	canaryPercent float64       // percentage of calls in the canary state
}

// next returns the plan's next transition, nil for none. The first case that applies decides.
func (d deadlineDecision) next() *planTransition {
	switch {
	case d.plan.Control == controlRollBack:
		return &planTransition{StateRolledBack, reasonOperatorRollback, 0}
	case d.inputs.EvidenceStrength >= 1:
		return &planTransition{StateRolledBack, versionReason(d.inputs.EvidenceReason), 0}
	case d.before.State == "" || d.resumes:
		return &planTransition{StateCanary, reasonCanary, d.canaryPercent}
	case d.before.State == StateDraining:
		return d.nextFromDraining()
	case d.before.State == StateCanary && d.needsCanaryResize():
		return &planTransition{StateCanary, reasonCanary, d.canaryPercent}
	case d.plan.Control == controlHold, d.elapsed < d.canaryEnd():
		return nil
	case d.lacksCalls(), d.lacksCapacity(), d.awaitsProxies():
		return nil
	}
	return d.nextPercentage()
}

// nextFromDraining ends the plan when every proxy has applied the last step and no call is in flight at the
// old version, or after maxDrainIntervals.
func (d deadlineDecision) nextFromDraining() *planTransition {
	drained := d.inputs.ProxiesBehind == 0 && d.inputs.OldInFlight == 0
	if d.timeInState >= d.inputs.MinStepInterval && drained || d.timeInState >= maxDrainIntervals*d.inputs.MinStepInterval {
		return &planTransition{StateDone, reasonAllCalls, d.plan.Target}
	}
	return nil
}

// needsCanaryResize reports whether the measured call rate requires another canary percentage.
func (d deadlineDecision) needsCanaryResize() bool {
	return d.inputs.CallsPerSecond > 0 &&
		math.Abs(d.canaryPercent-d.before.Percentage) > canaryResizeThreshold*d.before.Percentage
}

// canaryEnd returns the time since the plan was created at which the canary state may end.
func (d deadlineDecision) canaryEnd() time.Duration {
	return time.Duration(d.options.CanaryEndFraction * float64(d.plan.Duration))
}

// lacksCalls reports whether the new version has had too few calls to raise the percentage.
func (d deadlineDecision) lacksCalls() bool {
	return d.inputs.NewCalls < d.options.MinCalls/minCallsToRaiseDivisor
}

// lacksCapacity reports whether the new version's workers have too few slots for the service's calls.
func (d deadlineDecision) lacksCapacity() bool {
	return d.inputs.NewSlots > 0 && d.inputs.NewSlots < minCapacityFraction*d.inputs.MeanInFlight
}

// awaitsProxies reports whether some proxies have not applied the last step yet, within maxDrainIntervals of it.
func (d deadlineDecision) awaitsProxies() bool {
	return d.inputs.ProxiesBehind > 0 && d.timeInState < maxDrainIntervals*d.inputs.MinStepInterval
}

// nextPercentage returns the transition that raises the percentage after the canary state. It goes first to
// the intermediate percentage, where more calls soon reveal faults that the canary could not. It goes back
// there if the evidence is uncertain. The first case that applies decides.
func (d deadlineDecision) nextPercentage() *planTransition {
	intermediate := min(intermediatePercent, d.plan.Target)
	isUncertain := d.inputs.EvidenceStrength > maxEvidenceToProceed
	atTarget := d.before.Percentage >= d.plan.Target
	switch {
	case d.before.Percentage < intermediate:
		return &planTransition{StateRamping, reasonMoreCalls, intermediate}
	case isUncertain && d.before.Percentage > intermediate:
		return &planTransition{StateRamping, reasonFewerCalls, intermediate}
	case isUncertain, d.inputs.HealthLogOdds < minHealthLogOdds:
		return nil
	case d.timeInState < d.inputs.MinStepInterval:
		return nil
	case atTarget && d.timeInState < fullTrafficIntervals*d.inputs.MinStepInterval:
		return nil
	case !atTarget:
		return &planTransition{StateRamping, reasonNoWorse, d.plan.Target}
	case d.plan.Target < maxPercent || !d.inputs.MayReplaceFallback:
		return &planTransition{StateDone, reasonTargetReached, d.plan.Target}
	}
	return &planTransition{StateDraining, reasonDraining, d.plan.Target}
}
