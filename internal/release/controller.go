package release

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Controller is what a registry knows of guarded versions and release plans while it has rollout control.
// A registry that gains control makes a new one, and the plans continue from their recorded progress.
//
// It is a step function, and not safe for concurrent use: one goroutine of the registry calls it in
// rounds, hands out the canary grants and writes the steps.
type Controller struct {
	options         Options
	memberID        string        // of the registry, recorded with each progress
	minStepInterval time.Duration // between two steps of a plan
	guardedVersions map[versionKey]*guardedVersion
	trackedPlans    map[string]*trackedPlan // by name
	// lastCounts are the highest counts of each proxy process. Processes that ended stay in it, because
	// the sums must not fall.
	lastCounts map[sourceKey]*schema.SourceCounts
}

type versionKey struct{ service, version string }

// guardedVersion is what is known of a version, as stated in one configuration revision. What was learned
// under an earlier statement does not count.
type guardedVersion struct {
	revision         uint64
	rollbackGuard    RollbackGuard
	failureEvidence  FailureEvidence
	evidenceStrength float64 // of the latest round
	evidenceVerdict  string  // of the latest round
	stopVerdict      string  // why the version must be stopped; empty if not. Once set, it stays
	recovered        bool    // as of the latest round
}

// trackedPlan is what is known of a plan, as stated in one configuration revision.
type trackedPlan struct {
	revision uint64

	// Of a plan by ramp:
	firstCounts    VersionCounts // when this controller first saw the plan
	lastStepCounts VersionCounts // at the last step after which the new version had calls
	steppedAt      time.Duration

	// Of a plan by deadline:
	rateWindowCounts    VersionCounts // at the start of the window in which rates are measured
	rateWindowStartedAt time.Duration
	moveKey             moveKey // of the last move that this controller observed
	logOddsAtMove       float64 // of the failure evidence when moveKey changed
	meanInFlight        float64 // calls in flight at all the service's workers, in the last window
	callsPerSecond      float64 // of all the service's versions, in the last window
}

// moveKey identifies a move of a plan by deadline. A progress is also written without a move, and then
// the key stays.
type moveKey struct{ stateSince, weight int64 }

// NewController makes the controller of the registry with the given member id. A plan makes at most one
// step in minStepInterval.
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

// SetOptions replaces the bounds by which versions are judged and plans make steps.
func (c *Controller) SetOptions(options Options) { c.options = options }

// NeedsControl reports whether a configuration gives a controller anything to do.
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
		// A plan by ramp is judged even when it is done, and one by deadline only until it ends.
		recorded := progressOf(compiled, plan)
		if plan.Strategy != config.StrategyDeadline || recorded == nil || inProgress(recorded.State) {
			return true
		}
		// The operator may resume what the operator rolled back.
		if recorded.Reason == reasonOperatorRollback && plan.Control != controlRollBack {
			return true
		}
	}
	return false
}

// JudgedServices tells which services have a version that is judged, so that proxies must report their
// work counts, and whether there are any.
func JudgedServices(compiled *config.Snapshot) (isJudged func(service string) bool, anyJudged bool) {
	judged := map[string]bool{}
	for service := range compiled.GuardedVersions {
		judged[service] = true
	}
	for _, plan := range compiled.Releases {
		if recorded := progressOf(compiled, plan); recorded == nil || inProgress(recorded.State) {
			judged[plan.Service] = true
		}
	}
	return func(service string) bool { return judged[service] }, len(judged) > 0
}

// CanaryGrants lists the guarded versions, and for each whether the proxies may use it.
func (c *Controller) CanaryGrants(compiled *config.Snapshot) []*schema.Canary {
	var grants []*schema.Canary
	for _, service := range slices.Sorted(maps.Keys(compiled.GuardedVersions)) {
		for _, version := range compiled.GuardedVersions[service] {
			grants = append(grants, c.canaryGrant(compiled, service, version))
		}
	}
	return grants
}

func (c *Controller) canaryGrant(compiled *config.Snapshot, service, version string) *schema.Canary {
	revision, _ := compiled.GuardedRevision(service, version)
	grant := &schema.Canary{Service: service, Version: version, PlanSequence: revision}
	if plan := planFor(compiled, service, version); plan != nil {
		// Unlike elsewhere, a progress of an earlier plan of the same name counts here.
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

// Reconcile judges every guarded version and advances every plan by one round's observation. The steps
// are to be written, in any order. If some can't be made, the others are returned with the last error. A
// step that could not be made or written is not kept: the next round decides anew.
func (c *Controller) Reconcile(now time.Duration, compiled *config.Snapshot, state config.State,
	observation FleetObservation) ([]Step, error) {
	steps := initialVersionSteps(compiled, observation.Workers)
	observation.Counts = c.withLastCounts(observation.Counts)
	c.forgetObsolete(compiled)
	stopSteps, err := c.judgeGuardedVersions(compiled, observation)
	steps = append(steps, stopSteps...)
	steps = append(steps, orphanedProgressSteps(compiled)...)
	planSteps, planErr := c.advancePlans(now, compiled, state, observation)
	if planErr != nil {
		err = planErr
	}
	return append(steps, planSteps...), err
}

// forgetObsolete forgets versions that are no longer judged, and plans that were deleted or restated.
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

// judgeGuardedVersions judges the guarded versions. A version that must be stopped and has no plan to be
// rolled back gets a stop step, so that the stop outlives this controller.
func (c *Controller) judgeGuardedVersions(compiled *config.Snapshot, observation FleetObservation) (steps []Step, lastErr error) {
	for _, service := range slices.Sorted(maps.Keys(compiled.GuardedVersions)) {
		for _, version := range compiled.GuardedVersions[service] {
			revision, _ := compiled.GuardedRevision(service, version)
			guarded := c.guardedVersionFor(versionKey{service, version}, revision)
			counts := GatherVersionCounts(observation.Counts, service, version, revision, compiled.FallbackOf(service))
			c.judgeVersion(guarded, counts, observation.ReportingFraction, planGivesAllCalls(compiled, service, version))
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

// guardedVersionFor is what is known of a version under a revision, empty if that is nothing yet.
func (c *Controller) guardedVersionFor(key versionKey, revision uint64) *guardedVersion {
	guarded := c.guardedVersions[key]
	if guarded == nil || guarded.revision != revision {
		guarded = &guardedVersion{revision: revision}
		c.guardedVersions[key] = guarded
	}
	return guarded
}

// judgeVersion takes a round's counts of a version into the rollback guard and the failure evidence. The
// first of the two that finds the version bad gives the verdict.
func (c *Controller) judgeVersion(guarded *guardedVersion, counts VersionCounts, reportingFraction float64, allCalls bool) {
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

// planGivesAllCalls reports whether a version's plan gives it all calls.
func planGivesAllCalls(compiled *config.Snapshot, service, version string) bool {
	recorded := progressOf(compiled, planFor(compiled, service, version))
	return recorded != nil && recorded.Percentage >= maxPercent
}

// isDraining reports whether a version's plan has made it the fallback and waits for the last calls of the
// old version. The version is then no longer guarded, but still judged.
func isDraining(compiled *config.Snapshot, service, version string) bool {
	recorded := progressOf(compiled, planFor(compiled, service, version))
	return recorded != nil && recorded.State == StateDraining
}

// orphanedProgressSteps delete the progress of plans that were deleted.
func orphanedProgressSteps(compiled *config.Snapshot) []Step {
	var steps []Step
	for _, name := range slices.Sorted(maps.Keys(compiled.Progress)) {
		if compiled.Releases[name] == nil {
			steps = append(steps, Step{Name: name, Items: []*schema.Item{{Kind: progressKind, Name: name, Deleted: true}}})
		}
	}
	return steps
}

// advancePlans makes the next step of every plan that has one.
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

// trackedPlanFor is what is known of a plan, begun with the given counts if that is nothing yet.
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

// stamp marks a progress as written by this controller. A controller that takes another member's plan over
// raises the term, and the store then refuses as stale the steps that the other member still has in flight.
func (c *Controller) stamp(plan *config.Release, before, after config.Progress) config.Progress {
	after.PlanID = planIdentity(plan)
	after.Controller = c.memberID
	after.ControllerTerm = before.ControllerTerm
	if before.Controller != c.memberID {
		after.ControllerTerm++
	}
	return after
}
