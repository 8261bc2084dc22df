package release

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Controller holds a registry's state of guarded versions and release plans while it has rollout control.
// A registry that gains control creates a new Controller, and the plans continue from their recorded progress.
//
// It is a step function and not safe for concurrent use. One goroutine of the registry calls it in rounds,
// distributes the canary grants and writes the steps.
type Controller struct {
	options         Options
	memberID        string                         // member id of this registry, recorded with each progress
	minStepInterval time.Duration                  // shortest time between two steps of a plan
	guardedVersions map[versionKey]*guardedVersion // state of each evaluated version
	trackedPlans    map[string]*trackedPlan        // state of each plan, by plan name
	// lastCounts holds the highest counts of each proxy process. Counts of processes that have ended are kept,
	// because the sums must not fall.
	lastCounts map[sourceKey]*schema.SourceCounts
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }

// guardedVersion is the evaluation of a version under one revision, as config.Snapshot.VersionRevision returns it.
// Observations made under another revision do not count.
type guardedVersion struct {
	revision         uint64 // revision of the version's latest plan or stop, 0 for none
	rollbackGuard    RollbackGuard
	failureEvidence  FailureEvidence
	evidenceStrength float64 // strength that failureEvidence returned in the latest round; bad from 1
	evidenceVerdict  string  // verdict that failureEvidence returned in the latest round
	stopVerdict      string  // verdict that stops the version, empty for none; never cleared once set
	recovered        bool    // result of rollbackGuard.Recovered in the latest round
}

// trackedPlan is this controller's state of a plan under one configuration revision. All times are on the
// clock that Reconcile is called with.
type trackedPlan struct {
	revision uint64 // configuration revision that defined the plan

	// The following fields are used by ramp plans.
	firstCounts VersionCounts // counts when this controller first saw the plan
	// lastStepCounts holds the counts at the last computed progress. A progress does not update it if the new
	// version has had no calls since the last update.
	lastStepCounts VersionCounts
	steppedAt      time.Duration // time of the last computed progress, or when this controller first saw the plan

	// The following fields are used by deadline plans.
	rateWindowCounts    VersionCounts // counts at the start of the current rate window
	rateWindowStartedAt time.Duration // start of the current rate window
	lastTransition      transitionKey // last transition that this controller observed
	logOddsAtTransition float64       // log odds of the failure evidence when lastTransition changed
	meanInFlight        float64       // mean calls in flight at all workers of the service in the last rate window
	callsPerSecond      float64       // call rate of all versions of the service in the last rate window
}

// transitionKey identifies a transition of a deadline plan. A progress that is written without a transition
// keeps the key.
type transitionKey struct{ stateSince, weight int64 }

// NewController returns the controller of the registry with the given member id. A ramp plan makes at most
// one regular step in minStepInterval. A deadline plan takes its intervals as multiples of it.
func NewController(options Options, memberID string, minStepInterval time.Duration) *Controller {
	return &Controller{
		options:         options,
		memberID:        memberID,
		minStepInterval: minStepInterval,
		guardedVersions: map[versionKey]*guardedVersion{},
		trackedPlans:    map[string]*trackedPlan{},
		lastCounts:      map[sourceKey]*schema.SourceCounts{},
	}
}

// SetOptions replaces the thresholds by which versions are evaluated and plans make steps.
func (c *Controller) SetOptions(options Options) { c.options = options }

// NeedsControl reports whether a configuration and the registered workers, by service and version, give a
// controller anything to do.
func NeedsControl(compiled *config.Snapshot, workers map[[2]string]WorkerPool) bool {
	if len(compiled.GuardedVersions) > 0 || len(initialVersionSteps(compiled, workers)) > 0 {
		return true
	}
	for name := range compiled.Progress {
		if compiled.Releases[name] == nil {
			return true
		}
	}
	for _, plan := range compiled.Releases {
		// A ramp plan is evaluated even when it is done, a deadline plan only until it ends.
		recorded := progressOf(compiled, plan)
		if plan.Strategy != config.StrategyDeadline || recorded == nil || inProgress(recorded.State) {
			return true
		}
		// The operator may resume a plan that the operator rolled back.
		if recorded.Reason == reasonOperatorRollback && plan.Control != controlRollBack {
			return true
		}
	}
	return false
}

// EvaluatedServices returns a function that reports whether a service has a version under evaluation, and
// whether any service has one. Proxies must report their work counts of such services.
func EvaluatedServices(compiled *config.Snapshot) (isEvaluated func(service string) bool, anyEvaluated bool) {
	evaluated := map[string]bool{}
	for service := range compiled.GuardedVersions {
		evaluated[service] = true
	}
	for _, plan := range compiled.Releases {
		if recorded := progressOf(compiled, plan); recorded == nil || inProgress(recorded.State) {
			evaluated[plan.Service] = true
		}
	}
	return func(service string) bool { return evaluated[service] }, len(evaluated) > 0
}

// CanaryGrants returns a grant for each guarded version. It tells the proxies whether they may use the version.
func (c *Controller) CanaryGrants(compiled *config.Snapshot) []*schema.Canary {
	var grants []*schema.Canary
	for _, service := range slices.Sorted(maps.Keys(compiled.GuardedVersions)) {
		for _, version := range compiled.GuardedVersions[service] {
			grants = append(grants, c.canaryGrant(compiled, service, version))
		}
	}
	return grants
}

// canaryGrant returns the grant of one guarded version.
func (c *Controller) canaryGrant(compiled *config.Snapshot, service, version string) *schema.Canary {
	revision, _ := compiled.GuardedRevision(service, version)
	grant := &schema.Canary{Service: service, Version: version, PlanSequence: revision}
	if plan := planFor(compiled, service, version); plan != nil {
		// Unlike in progressOf, the progress of an earlier plan with the same name counts here.
		progress := compiled.Progress[plan.Name]
		grant.Blocked = progress != nil && progress.State == StateRolledBack
	}
	if guarded := c.guardedVersions[versionKey{service, version}]; guarded != nil && guarded.revision == revision {
		grant.Blocked = grant.Blocked || guarded.stopVerdict != ""
		grant.Healthy = guarded.recovered && !grant.Blocked
	}
	grant.Blocked = grant.Blocked || compiled.ActiveStop(service, version) != nil
	return grant
}

// Reconcile evaluates every guarded version and advances every plan with one round's observation. It returns
// the steps to write, in any order. If some steps cannot be built, it returns the others and the last error.
// A step that could not be built or written is not retained: the next round computes it again.
func (c *Controller) Reconcile(now time.Duration, compiled *config.Snapshot, state config.State,
	observation FleetObservation) ([]Step, error) {
	steps := initialVersionSteps(compiled, observation.Workers)
	observation.Counts = c.withLastCounts(observation.Counts)
	c.forgetObsolete(compiled)
	stopSteps, err := c.evaluateGuardedVersions(compiled, observation)
	steps = append(steps, stopSteps...)
	steps = append(steps, orphanedProgressSteps(compiled)...)
	planSteps, planErr := c.advancePlans(now, compiled, state, observation)
	if planErr != nil {
		err = planErr
	}
	return append(steps, planSteps...), err
}

// forgetObsolete drops the state of versions that are no longer evaluated, and of plans that were deleted or
// redefined.
func (c *Controller) forgetObsolete(compiled *config.Snapshot) {
	for key := range c.guardedVersions {
		_, isGuarded := compiled.GuardedRevision(key.service, key.version)
		if !isGuarded && !isDraining(compiled, key.service, key.version) {
			delete(c.guardedVersions, key)
		}
	}
	for name, tracked := range c.trackedPlans {
		if plan := compiled.Releases[name]; plan == nil || plan.Revision != tracked.revision {
			delete(c.trackedPlans, name)
		}
	}
}

// evaluateGuardedVersions evaluates the guarded versions and returns stop steps. A version that must be stopped
// and has no plan to roll back gets one, so that the stop outlives this controller.
func (c *Controller) evaluateGuardedVersions(compiled *config.Snapshot, observation FleetObservation) (steps []Step, lastErr error) {
	for _, service := range slices.Sorted(maps.Keys(compiled.GuardedVersions)) {
		for _, version := range compiled.GuardedVersions[service] {
			revision, _ := compiled.GuardedRevision(service, version)
			guarded := c.guardedVersionFor(versionKey{service, version}, revision)
			counts := GatherVersionCounts(observation.Counts, service, version, revision, compiled.FallbackVersion(service))
			c.evaluateVersion(guarded, counts, observation.ReportingFraction, planGivesAllCalls(compiled, service, version))
			if guarded.stopVerdict == "" || planFor(compiled, service, version) != nil || compiled.ActiveStop(service, version) != nil {
				continue
			}
			step, err := versionStopStep(service, version, guarded.stopVerdict)
			if err != nil {
				lastErr = err
				continue
			}
			steps = append(steps, step)
		}
	}
	return steps, lastErr
}

// guardedVersionFor returns the state of a version under a revision, as config.Snapshot.VersionRevision returns it.
// It creates an empty state if there is none.
func (c *Controller) guardedVersionFor(key versionKey, revision uint64) *guardedVersion {
	guarded := c.guardedVersions[key]
	if guarded == nil || guarded.revision != revision {
		guarded = &guardedVersion{revision: revision}
		c.guardedVersions[key] = guarded
	}
	return guarded
}

// evaluateVersion feeds a round's counts of a version to the rollback guard and the failure evidence. The first
// of the two to find the version bad sets the stop verdict. The guard comes first in each round.
func (c *Controller) evaluateVersion(guarded *guardedVersion, counts VersionCounts, reportingFraction float64, allCalls bool) {
	verdict, failing := guarded.rollbackGuard.Observe(c.options, counts, reportingFraction)
	if failing && guarded.stopVerdict == "" {
		guarded.stopVerdict = verdict
	}
	guarded.recovered = guarded.rollbackGuard.Recovered(c.options, reportingFraction)
	guarded.evidenceStrength, guarded.evidenceVerdict = guarded.failureEvidence.Observe(c.options, counts, allCalls)
	if guarded.evidenceStrength >= 1 && guarded.stopVerdict == "" {
		guarded.stopVerdict = guarded.evidenceVerdict
	}
}

// planGivesAllCalls reports whether the recorded progress of a version's plan gives the version all calls.
func planGivesAllCalls(compiled *config.Snapshot, service, version string) bool {
	recorded := progressOf(compiled, planFor(compiled, service, version))
	return recorded != nil && recorded.Percentage >= maxPercent
}

// isDraining reports whether a version's plan has made it the fallback and waits for the last calls of the
// old version. The version is then no longer guarded, but still evaluated.
func isDraining(compiled *config.Snapshot, service, version string) bool {
	recorded := progressOf(compiled, planFor(compiled, service, version))
	return recorded != nil && recorded.State == StateDraining
}

// orphanedProgressSteps returns the steps that delete the progress of deleted plans.
func orphanedProgressSteps(compiled *config.Snapshot) []Step {
	var steps []Step
	for _, name := range slices.Sorted(maps.Keys(compiled.Progress)) {
		if compiled.Releases[name] == nil {
			steps = append(steps, Step{Name: name, Items: []*schema.Item{{Kind: kindProgress, Name: name, Deleted: true}}})
		}
	}
	return steps
}

// advancePlans returns the next step of every plan that has one, and the last error.
func (c *Controller) advancePlans(now time.Duration, compiled *config.Snapshot, state config.State,
	observation FleetObservation) (steps []Step, lastErr error) {
	for _, name := range slices.Sorted(maps.Keys(compiled.Releases)) {
		plan := compiled.Releases[name]
		advance := c.nextRampStep
		if plan.Strategy == config.StrategyDeadline {
			advance = c.nextDeadlineStep
		}
		step, err := advance(now, compiled, state, plan, observation)
		if err != nil {
			lastErr = err
		} else if step != nil {
			steps = append(steps, *step)
		}
	}
	return steps, lastErr
}

// trackedPlanFor returns this controller's state of a plan. If there is none, it creates one that starts with
// the given counts and time.
func (c *Controller) trackedPlanFor(now time.Duration, plan *config.Release, counts VersionCounts) *trackedPlan {
	tracked := c.trackedPlans[plan.Name]
	if tracked == nil {
		tracked = &trackedPlan{
			revision:            plan.Revision,
			firstCounts:         counts,
			lastStepCounts:      counts,
			steppedAt:           now,
			rateWindowCounts:    counts,
			rateWindowStartedAt: now,
		}
		c.trackedPlans[plan.Name] = tracked
	}
	return tracked
}

// withWriter returns after with this controller recorded as its writer. A controller that takes over another
// member's plan raises the controller term, which acts as a fencing token: the store refuses as stale the steps
// that the other member still has in flight.
func (c *Controller) withWriter(plan *config.Release, before, after config.Progress) config.Progress {
	after.PlanID = planIdentity(plan)
	after.Controller = c.memberID
	after.ControllerTerm = before.ControllerTerm
	if before.Controller != c.memberID {
		after.ControllerTerm++
	}
	return after
}
