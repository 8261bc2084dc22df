package release

// The states of a plan, as stored in its progress.
const (
	// StateCanary means that the new version gets a small percentage of calls. A ramp plan leaves this state once
	// the version has received enough calls and fails no more often than allowed. A deadline plan leaves it no
	// earlier than Options.CanaryEndFraction of the plan's duration.
	StateCanary = "trial"
	// StateRamping means that the new version's percentage is being raised.
	StateRamping = "ramp"
	// StateHolding means that the percentage of a ramp plan does not rise, because the operator holds the plan or
	// the new version has had too few calls since the last step.
	StateHolding = "hold"
	// StateDraining means that the new version of a deadline plan gets all calls while calls are still in
	// flight at the old version. The plan is done when none is left and every proxy has applied the last step, or
	// after maxDrainIntervals.
	StateDraining = "settle"
	// StateDone means that the new version has reached the plan's target percentage.
	StateDone = "done"
	// StateRolledBack means that the version's flag is turned off, so that the fallback version gets all calls.
	StateRolledBack = "back"
)

// The values of config.Release.Control, by which the operator controls a plan.
const (
	controlGo       = "go"
	controlHold     = "hold"
	controlRollBack = "back"
)

// The reasons stored with a progress. reasonOperatorRollback is also compared with the stored value, because
// the operator may resume only a plan that the operator rolled back.
const (
	reasonOperatorRollback = "the operator turned it back"
	reasonOperatorHold     = "the operator holds it"
	reasonNotProven        = "not yet seen enough on each route"
	reasonTooFewCalls      = "too few calls to go on by"
	reasonNoWorse          = "no worse than the old version"
	reasonTargetReached    = "the target is reached"
	reasonCanary           = "on trial until shortly before the term"
	reasonMoreCalls        = "it shows what it does with more calls"
	reasonFewerCalls       = "it is in doubt, and shows what it does with fewer calls"
	reasonDraining         = "it takes the old version's place"
	reasonAllCalls         = "the version has all calls"
)

// versionReason returns the stored reason of a rollback or stop for a verdict such as "fails on route buy".
func versionReason(verdict string) string { return "the version " + verdict }

// inProgress reports whether a plan in the given state is neither done nor rolled back. NeedsControl names the plans
// that are evaluated although they are not in progress.
func inProgress(state string) bool { return state != StateDone && state != StateRolledBack }
