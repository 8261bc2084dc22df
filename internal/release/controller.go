package release

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// Controller is what the registry that has the release duty knows of versions and plans. It is a step
// function: the registry gathers counts, lets the duty look at them, hands out the trials and
// writes the steps as changes. All that must outlive the holder is in those changes.
type Controller struct {
	options         Options
	memberID        string
	minStepInterval time.Duration // between two steps of a plan
	guardedVersions map[[2]string]*guardedVersion
	trackedPlans    map[string]*trackedPlan
	lastCounts      map[sourceKey]*schema.SourceCounts
}

// sourceKey is a life of a proxy.
type sourceKey struct {
	proxy       string
	incarnation uint64
}

// guardedVersion is what is known of one version under one statement of it.
type guardedVersion struct {
	revision         uint64
	rollbackGuard    RollbackGuard
	failureEvidence  FailureEvidence
	evidenceStrength float64 // of the suspicion, as of the last gathering
	evidenceReason   string
	stopReason       string // why, once the brake was pulled
	recovered        bool   // as of the last gathering
}

// trackedPlan is what is known of a plan under one statement of it.
type trackedPlan struct {
	revision       uint64
	firstCounts    VersionCounts
	lastStepCounts VersionCounts
	steppedAt      time.Duration
	// Of a plan by its term:
	firstCountsAt  time.Duration // of first, from which it is measured what is needed
	stepKey        [2]int64      // when its step began, and with what weight
	logOddsAtStep  float64       // of the suspicion then
	meanInFlight   float64       // calls under way at all the service's workers
	callsPerSecond float64       // calls a second
}

// FleetObservation is what a duty sees of the fleet.
type FleetObservation struct {
	Counts        []*schema.SourceCounts
	HeardFraction float64 // the part of the fleet that the counts tell of
	// Workers are those that live, by service and version.
	Workers map[[2]string]WorkerPool
	// KnownFor is how long this registry has known what was stated in a sequence.
	KnownFor func(sequence uint64) time.Duration
}

// WorkerPool is the workers of a version.
type WorkerPool struct {
	Workers int
	Slots   int // together, 0 if any does not tell
}

// maxReportAge is how long a proxy may be silent before nothing waits for it.
const maxReportAge = time.Second

// proxiesBehind counts the proxies that do not go by a setup yet.
func (o FleetObservation) proxiesBehind(sequence uint64) int {
	count := 0
	for _, source := range o.Counts {
		if time.Duration(source.AgeNanos) <= maxReportAge && source.Applied < sequence {
			count++
		}
	}
	return count
}

// Step is a change that the duty wants written, against the versions it was made from.
type Step struct {
	Name    string
	Items   []*schema.Item
	Message string // what is worth a line in the log
	// Urgent steps turn a version back; they wait for no other.
	Urgent bool
}

// NeedsControl tells whether there is anything for a duty to look at.
func NeedsControl(compiled *config.Snapshot, workers map[[2]string]WorkerPool) bool {
	if len(compiled.GuardedVersions) > 0 || len(initialStandingSteps(compiled, workers)) > 0 {
		return true
	}
	for name := range compiled.Progress {
		if compiled.Releases[name] == nil {
			return true
		}
	}
	for name, plan := range compiled.Releases {
		// What is done by its term, or was turned back, asks for nothing any more.
		progress := compiled.Progress[name]
		if plan.Strategy != config.StrategyDeadline || progress == nil || progress.PlanID != planIdentity(plan) || inProgress(progress.State) ||
			progress.Reason == reasonOperatorRollback && plan.Control != "back" {
			return true
		}
	}
	return false
}

// inProgress tells whether a plan in a state goes on.
func inProgress(state string) bool { return state != StateDone && state != StateRolledBack }

// JudgedServices tells of which services the work done is to be told, for a version is judged by it, and
// whether there are any.
func JudgedServices(compiled *config.Snapshot) (isJudged func(service string) bool, anyJudged bool) {
	judged := map[string]bool{}
	for service := range compiled.GuardedVersions {
		judged[service] = true
	}
	for name, plan := range compiled.Releases {
		progress := compiled.Progress[name]
		if progress == nil || progress.PlanID != planIdentity(plan) || inProgress(progress.State) {
			judged[plan.Service] = true
		}
	}
	return func(service string) bool { return judged[service] }, len(judged) > 0
}

// SetOptions sets the bounds that versions and plans are judged by from now on.
func (c *Controller) SetOptions(options Options) { c.options = options }

// NewController begins the duty anew at a seat; a plan makes at most one step in least.
func NewController(options Options, memberID string, minStepInterval time.Duration) *Controller {
	return &Controller{options: options, memberID: memberID, minStepInterval: minStepInterval, guardedVersions: map[[2]string]*guardedVersion{}, trackedPlans: map[string]*trackedPlan{}, lastCounts: map[sourceKey]*schema.SourceCounts{}}
}

// planFor finds the plan for a version.
func planFor(compiled *config.Snapshot, service, version string) (string, *config.Release) {
	for name, plan := range compiled.Releases {
		if plan.Service == service && plan.Version == version {
			return name, plan
		}
	}
	return "", nil
}

// CanaryGrants lists each guarded version, and whether it may be used.
func (c *Controller) CanaryGrants(compiled *config.Snapshot) []*schema.Canary {
	var grants []*schema.Canary
	for _, service := range slices.Sorted(maps.Keys(compiled.GuardedVersions)) {
		for _, version := range compiled.GuardedVersions[service] {
			revision, _ := compiled.GuardedRevision(service, version)
			grant := &schema.Canary{Service: service, Version: version, PlanSequence: revision}
			name, _ := planFor(compiled, service, version)
			if progress := compiled.Progress[name]; progress != nil && progress.State == StateRolledBack {
				grant.Blocked = true
			}
			if guarded := c.guardedVersions[[2]string{service, version}]; guarded != nil && guarded.revision == revision {
				grant.Blocked = grant.Blocked || guarded.stopReason != ""
				grant.Healthy = guarded.recovered && !grant.Blocked
			}
			grant.Blocked = grant.Blocked || compiled.ActiveStop(service, version) != nil
			grants = append(grants, grant)
		}
	}
	return grants
}

// Reconcile judges every guarded version and steers every plan by what was seen.
func (c *Controller) Reconcile(now time.Duration, compiled *config.Snapshot, state config.State, observation FleetObservation) ([]Step, error) {
	steps := initialStandingSteps(compiled, observation.Workers)
	observation.Counts = c.withLastCounts(observation.Counts)
	var lastErr error
	for key := range c.guardedVersions {
		if _, isGuarded := compiled.GuardedRevision(key[0], key[1]); !isGuarded && !isDraining(compiled, key[0], key[1]) {
			delete(c.guardedVersions, key)
		}
	}
	for name, tracked := range c.trackedPlans {
		if plan := compiled.Releases[name]; plan == nil || plan.Revision != tracked.revision {
			delete(c.trackedPlans, name)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(compiled.GuardedVersions)) {
		for _, version := range compiled.GuardedVersions[service] {
			key := [2]string{service, version}
			revision, _ := compiled.GuardedRevision(service, version)
			tracked := c.guardedVersions[key]
			if tracked == nil || tracked.revision != revision {
				tracked = &guardedVersion{revision: revision}
				c.guardedVersions[key] = tracked
			}
			c.judgeVersion(tracked, GatherVersionCounts(observation.Counts, service, version, revision, compiled.FallbackOf(service)), observation.HeardFraction, planGivesAllCalls(compiled, service, version))
			// Without a plan to turn back, the stop is stated by itself, so that it outlives this duty.
			if _, plan := planFor(compiled, service, version); tracked.stopReason != "" && plan == nil && compiled.ActiveStop(service, version) == nil {
				step, err := versionStopStep(service, version, tracked.stopReason)
				if err != nil {
					lastErr = err
					continue
				}
				steps = append(steps, step)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(compiled.Progress)) {
		if compiled.Releases[name] == nil {
			steps = append(steps, Step{Name: name, Items: []*schema.Item{{Kind: "progress", Name: name, Deleted: true}}})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(compiled.Releases)) {
		plan := compiled.Releases[name]
		var step *Step
		var err error
		if plan.Strategy == config.StrategyDeadline {
			step, err = c.nextDeadlineStep(now, compiled, state, plan, observation)
		} else {
			step, err = c.nextRampStep(now, compiled, state, plan, GatherVersionCounts(observation.Counts, plan.Service, plan.Version, plan.Revision, compiled.FallbackOf(plan.Service)))
		}
		if err != nil {
			lastErr = err
		} else if step != nil {
			steps = append(steps, *step)
		}
	}
	return steps, lastErr
}

// withLastCounts gives what was told with what was told before of sources that nobody tells of now, so
// that no sum falls: a registry that can't be reached takes its proxies' counts with it.
func (c *Controller) withLastCounts(counts []*schema.SourceCounts) []*schema.SourceCounts {
	reported := map[sourceKey]bool{}
	for i, source := range counts {
		key := sourceKey{source.Proxy, source.Incarnation}
		reported[key] = true
		if last := c.lastCounts[key]; last != nil && totalCalls(last) > totalCalls(source) {
			source = &schema.SourceCounts{Proxy: source.Proxy, Incarnation: source.Incarnation, WorkCounts: last.WorkCounts, Applied: source.Applied, AgeNanos: source.AgeNanos}
			counts[i] = source
		}
		c.lastCounts[key] = source
	}
	for key, last := range c.lastCounts {
		if !reported[key] {
			// What it had under way, and which setup it goes by, is not known any more.
			counts = append(counts, &schema.SourceCounts{Proxy: last.Proxy, Incarnation: last.Incarnation, WorkCounts: last.WorkCounts, AgeNanos: math.MaxInt64})
		}
	}
	return counts
}

func totalCalls(source *schema.SourceCounts) (calls uint64) {
	for _, work := range source.WorkCounts {
		calls += work.Calls
	}
	return calls
}

// judgeVersion looks at one version's evidence.
func (c *Controller) judgeVersion(guarded *guardedVersion, counts VersionCounts, heardFraction float64, allCalls bool) {
	if reason, bad := guarded.rollbackGuard.Observe(c.options, counts, heardFraction); bad && guarded.stopReason == "" {
		guarded.stopReason = reason
	}
	guarded.recovered = guarded.rollbackGuard.Recovered(c.options, heardFraction)
	if guarded.evidenceStrength, guarded.evidenceReason = guarded.failureEvidence.Observe(c.options, counts, allCalls); guarded.evidenceStrength >= 1 && guarded.stopReason == "" {
		guarded.stopReason = guarded.evidenceReason
	}
}

// planGivesAllCalls tells whether a plan gives a version all calls.
func planGivesAllCalls(compiled *config.Snapshot, service, version string) bool {
	name, plan := planFor(compiled, service, version)
	progress := compiled.Progress[name]
	return plan != nil && progress != nil && progress.PlanID == planIdentity(plan) && progress.Percentage >= 100
}

// isDraining tells whether a plan has just made a version the fallback and waits for the last calls
// at the old one: it is not guarded any more, but still judged.
func isDraining(compiled *config.Snapshot, service, version string) bool {
	name, plan := planFor(compiled, service, version)
	progress := compiled.Progress[name]
	return plan != nil && progress != nil && progress.PlanID == planIdentity(plan) && progress.State == StateDraining
}

// rateWindow is the time over which it is measured how many calls are under way.
const rateWindow = time.Second

// progressWritesPerPlan is how often in a plan's time its progress is written though nothing changes, so
// that a registry that starts later knows about how late it is.
const progressWritesPerPlan = 6

// nextDeadlineStep makes the next step of a plan that goes by its term, if one is due.
func (c *Controller) nextDeadlineStep(now time.Duration, compiled *config.Snapshot, state config.State, plan *config.Release, observation FleetObservation) (*Step, error) {
	service, before := compiled.Services[plan.Service], config.Progress{}
	if service == nil || service.Fallback == "" {
		return nil, nil
	}
	sequence, elapsed := plan.Revision, observation.KnownFor(plan.Revision)
	if recorded := compiled.Progress[plan.Name]; recorded != nil && recorded.PlanID == planIdentity(plan) {
		before, sequence = *recorded, state[config.Key("progress", plan.Name)].Version.GetSequence()
		// A registry that started later than the plan goes on from what was written of it.
		elapsed = max(elapsed, time.Duration(before.Elapsed)+observation.KnownFor(sequence))
	}
	if before.PreviousVersion == "" {
		before.PreviousVersion = service.Fallback
	}
	if before.State == StateDone {
		return nil, nil
	}
	if before.PreviousVersion == plan.Version {
		// It is in place already: nothing moves.
		after := before
		after.State, after.Reason, after.Percentage = StateDone, "the version has all calls", plan.Target
		return c.deadlineStep(plan, compiled, state, before, after)
	}
	counts := GatherVersionCounts(observation.Counts, plan.Service, plan.Version, plan.Revision, before.PreviousVersion)
	key := [2]string{plan.Service, plan.Version}
	guarded := c.guardedVersions[key]
	if guarded == nil || guarded.revision != plan.Revision {
		guarded = &guardedVersion{revision: plan.Revision}
		c.guardedVersions[key] = guarded
	}
	if _, isGuarded := compiled.GuardedRevision(key[0], key[1]); !isGuarded {
		c.judgeVersion(guarded, counts, observation.HeardFraction, planGivesAllCalls(compiled, key[0], key[1]))
	}
	tracked := c.trackedPlans[plan.Name]
	if tracked == nil {
		tracked = &trackedPlan{revision: plan.Revision, firstCounts: counts, firstCountsAt: now}
		c.trackedPlans[plan.Name] = tracked
	}
	// What is written now and then without a move begins no new step.
	if since := [2]int64{before.StateSince, int64(before.Weight)}; tracked.stepKey != since {
		tracked.stepKey, tracked.logOddsAtStep = since, guarded.failureEvidence.LogOdds()
	}
	if windowElapsed := now - tracked.firstCountsAt; windowElapsed >= rateWindow {
		inWindow := counts.Since(tracked.firstCounts)
		totals := total(inWindow.Old)
		totals.add(total(inWindow.New))
		totals.add(inWindow.Others)
		tracked.meanInFlight, tracked.callsPerSecond, tracked.firstCounts, tracked.firstCountsAt = meanInFlight(totals, windowElapsed), float64(totals.Calls)/windowElapsed.Seconds(), counts, now
	}
	pool := observation.Workers[key]
	inputs := DeadlineInputs{Elapsed: elapsed, MinStepInterval: c.minStepInterval, EvidenceStrength: guarded.evidenceStrength, EvidenceReason: guarded.evidenceReason, HealthLogOdds: tracked.logOddsAtStep - guarded.failureEvidence.LogOdds(), NewCalls: total(counts.New).Calls,
		CallsPerSecond: tracked.callsPerSecond, MeanInFlight: tracked.meanInFlight, NewSlots: float64(pool.Slots), NewWorkers: pool.Workers, ProxiesBehind: observation.proxiesBehind(sequence), OldInFlight: total(counts.Old).InFlight, MayReplaceFallback: hasOwnStanding(compiled, plan.Service)}
	if guarded.stopReason != "" {
		inputs.EvidenceStrength, inputs.EvidenceReason = 1, guarded.stopReason
	}
	return c.deadlineStep(plan, compiled, state, before, c.options.NextDeadlineProgress(plan, before, inputs))
}

// deadlineStep writes a plan's progress, and with it what follows from it.
func (c *Controller) deadlineStep(plan *config.Release, compiled *config.Snapshot, state config.State, before, after config.Progress) (*Step, error) {
	changed := before.State != after.State || before.Weight != after.Weight || before.Reason != after.Reason
	if !changed && after.Elapsed-before.Elapsed < int64(plan.Duration)/progressWritesPerPlan {
		return nil, nil
	}
	after.PlanID, after.Controller = planIdentity(plan), c.memberID
	// Another seat's progress is taken over under a higher epoch, which shuts that seat out.
	if before.Controller != c.memberID {
		after.ControllerTerm++
	}
	step := &Step{Name: plan.Name, Urgent: after.State == StateRolledBack}
	if changed {
		step.Message = fmt.Sprintf("%s of %s: %s at %g %%, %v after it was stated: %s", plan.Version, plan.Service, after.State, after.Percentage,
			time.Duration(after.Elapsed).Round(time.Millisecond), after.Reason)
	}
	put := func(kind, name string, body any) error {
		encoded, err := json.Marshal(body)
		step.Items = append(step.Items, &schema.Item{Kind: kind, Name: name, Body: encoded})
		return errs.Wrap(err, errs.Internal, kind+" "+name)
	}
	if !changed || after.State == StateDone {
		return step, put("progress", plan.Name, after)
	}
	// An operator's own flag keeps its targets and rules.
	if !hasOwnStanding(compiled, plan.Service) {
		items, err := flagAndProgressItems(plan, compiled, state, after)
		step.Items = items
		return step, err
	}
	fallback, version, rolloutFlag := after.PreviousVersion, plan.Version, newRolloutFlag(compiled, plan.Service, after.PreviousVersion, plan.Version, after.Weight)
	switch after.State {
	case StateRolledBack:
		rolloutFlag.On = false
	case StateDraining:
		fallback, rolloutFlag = version, newRolloutFlag(compiled, plan.Service, version, version, 0)
	}
	if err := put("flag", config.VersionFlagKey(plan.Service), rolloutFlag); err != nil {
		return nil, err
	}
	if standing := newStanding(fallback, version); compiled.DiscoveredVersions[plan.Service].Fallback != fallback {
		if err := put(standingKind, plan.Service, standing); err != nil {
			return nil, err
		}
	}
	return step, put("progress", plan.Name, after)
}

// initialStandingSteps state what stands for services of which no versions are stated: the version that
// their workers told, or most of them, before any plan.
func initialStandingSteps(compiled *config.Snapshot, workers map[[2]string]WorkerPool) []Step {
	var steps []Step
	for _, name := range slices.Sorted(maps.Keys(compiled.Services)) {
		if service := compiled.Services[name]; service.Versions != nil || service.Fallback != "" || compiled.DiscoveredVersions[name] != nil {
			continue
		}
		version, mostWorkers := "", 0
		for key, pool := range workers {
			if key[0] == name && (pool.Workers > mostWorkers || pool.Workers == mostWorkers && key[1] < version) {
				version, mostWorkers = key[1], pool.Workers
			}
		}
		if version == "" {
			continue
		}
		step := Step{Name: "standing-" + name, Message: name + " has version " + version + " by what its workers tell"}
		for _, entry := range []struct {
			kind, name string
			body       any
		}{{standingKind, name, newStanding(version, version)}, {"flag", config.VersionFlagKey(name), newRolloutFlag(compiled, name, version, version, 0)}} {
			body, err := json.Marshal(entry.body)
			// A flag that an operator wrote before stays.
			if err == nil && (entry.kind != "flag" || compiled.Flags.Flags[entry.name] == nil) {
				step.Items = append(step.Items, &schema.Item{Kind: entry.kind, Name: entry.name, Body: body})
			}
		}
		steps = append(steps, step)
	}
	return steps
}

// nextRampStep makes a plan's next step, if one is due and worth a change.
func (c *Controller) nextRampStep(now time.Duration, compiled *config.Snapshot, state config.State, plan *config.Release, counts VersionCounts) (*Step, error) {
	before := config.Progress{}
	planID := planIdentity(plan)
	if recorded := compiled.Progress[plan.Name]; recorded != nil && recorded.PlanID == planID {
		before = *recorded
	}
	tracked := c.trackedPlans[plan.Name]
	if tracked == nil {
		tracked = &trackedPlan{revision: plan.Revision, firstCounts: counts, lastStepCounts: counts, steppedAt: now}
		c.trackedPlans[plan.Name] = tracked
	}
	stopReason := ""
	if version := c.guardedVersions[[2]string{plan.Service, plan.Version}]; version != nil {
		stopReason = version.stopReason
	}
	stepInterval := max(plan.Duration/time.Duration(c.options.RampSteps), c.minStepInterval)
	mustRollBack := stopReason != "" && before.State != StateRolledBack
	due := now-tracked.steppedAt >= stepInterval || before.State == "" || mustRollBack || (plan.Control == "back") != (before.State == StateRolledBack)
	if !due {
		return nil, nil
	}
	after := c.options.NextRampProgress(plan, before, counts.Since(tracked.firstCounts), counts.Since(tracked.lastStepCounts), now-tracked.steppedAt)
	if stopReason != "" {
		after.State, after.Reason, after.Percentage, after.Weight = StateRolledBack, "the version "+stopReason, 0, 0
	}
	tracked.steppedAt = now
	if sinceLastStep := counts.Since(tracked.lastStepCounts); before.State == "" || sinceLastStep.NewPercent() > 0 {
		tracked.lastStepCounts = counts
	}
	if !NeedsWrite(before, after) {
		return nil, nil
	}
	after.PlanID, after.Controller, after.ControllerTerm = planID, c.memberID, before.ControllerTerm
	// Another seat's progress is taken over under a higher epoch, which shuts that seat out.
	if before.Controller != c.memberID {
		after.ControllerTerm++
	}
	items, err := flagAndProgressItems(plan, compiled, state, after)
	return &Step{Name: plan.Name, Items: items, Urgent: after.State == StateRolledBack}, err
}

// versionStopStep states that a version gets no calls any more.
func versionStopStep(service, version, reason string) (Step, error) {
	body, err := json.Marshal(config.VersionStop{Service: service, Version: version, Reason: "the version " + reason})
	name := config.StopName(service, version)
	return Step{Name: name, Items: []*schema.Item{{Kind: "stop", Name: name, Body: body}}}, errs.Wrap(err, errs.Internal, name)
}

// flagAndProgressItems are the plan's progress and the flag that follows it, to be written as one.
func flagAndProgressItems(plan *config.Release, compiled *config.Snapshot, state config.State, after config.Progress) ([]*schema.Item, error) {
	key := config.VersionFlagKey(plan.Service)
	flagItem := state[config.Key("flag", key)]
	rolloutFlag, service := compiled.Flags.Flags[key], compiled.Services[plan.Service]
	if flagItem == nil || rolloutFlag == nil || service == nil {
		return nil, errs.New(errs.InvalidConfig, key+" is gone")
	}
	variationIndex := func(version string) int { return max(0, slices.Index(rolloutFlag.Variations, version)) }
	flagFields := map[string]any{}
	if err := json.Unmarshal(flagItem.Body, &flagFields); err != nil {
		return nil, errs.Wrap(err, errs.InvalidConfig, key)
	}
	if after.State == StateRolledBack {
		flagFields["on"], flagFields["offVariation"] = false, variationIndex(service.Fallback)
	} else {
		rolloutFields := map[string]any{}
		if fallthroughFields, _ := flagFields["fallthrough"].(map[string]any); fallthroughFields != nil {
			if existing, _ := fallthroughFields["rollout"].(map[string]any); existing != nil {
				rolloutFields = existing
			}
		}
		rolloutFields["variations"] = []map[string]int{{"variation": variationIndex(plan.Version), "weight": after.Weight}, {"variation": variationIndex(service.Fallback), "weight": 100000 - after.Weight}}
		flagFields["on"], flagFields["fallthrough"] = true, map[string]any{"rollout": rolloutFields}
	}
	flagBody, err := json.Marshal(flagFields)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, key)
	}
	progressBody, err := json.Marshal(after)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, plan.Name)
	}
	return []*schema.Item{{Kind: "flag", Name: key, Body: flagBody}, {Kind: "progress", Name: plan.Name, Body: progressBody}}, nil
}

// Preconditions is what a step was made against: whatever somebody else wrote meanwhile makes it a
// conflict, and it is thought over again.
func (s Step) Preconditions(state config.State) []*schema.ExpectedVersion {
	var expected []*schema.ExpectedVersion
	for _, item := range s.Items {
		if current := state[config.Key(item.Kind, item.Name)]; current != nil && !current.Deleted {
			expected = append(expected, &schema.ExpectedVersion{Kind: item.Kind, Name: item.Name, Sequence: current.Version.Sequence})
		}
	}
	return expected
}

// Change is the step as a change, under an id of the holder's own.
func (s Step) Change(memberID string, incarnation, serial uint64, state config.State) *schema.Change {
	return &schema.Change{Id: fmt.Sprintf("steer-%s-%x-%d-%s", memberID, incarnation, serial, s.Name), Items: s.Items, Expected: s.Preconditions(state)}
}
