package release

// The states of a plan, as stored in its progress.
const (
	// StateCanary gives the new version a small percentage, until enough is known of it.
	StateCanary = "trial"
	// StateRamping raises the new version's percentage.
	StateRamping = "ramp"
	// StateHolding keeps the percentage, because the operator wants that or evidence is lacking.
	StateHolding = "hold"
	// StateDraining is the state of a plan by deadline whose version has all calls, while the calls in
	// flight at the old version end. Once none is left, the plan is done.
	StateDraining = "settle"
	// StateDone has reached the target.
	StateDone = "done"
	// StateRolledBack has the version's flag turned off.
	StateRolledBack = "back"
)

// The operator's control of a plan, config.Release.Control.
const (
	controlGo       = "go"
	controlHold     = "hold"
	controlRollBack = "back"
)

// The reasons of a progress. They are stored with it; reasonOperatorRollback is also compared, because
// the operator may resume only what the operator rolled back.
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

// versionReason completes a verdict such as "fails on route buy" to the stored reason of a rollback or stop.
func versionReason(verdict string) string { return "the version " + verdict }

// inProgress reports whether a plan in a state still makes steps.
func inProgress(state string) bool { return state != StateDone && state != StateRolledBack }
