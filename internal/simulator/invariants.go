package simulator

import (
	"fmt"
)

// The never-rules that every world checks, exactly in virtual time. Each constant is the text under which breaches are
// reported; golden digests hold these texts.
const (
	ViolationRanTwice           = "a once request ran twice"
	ViolationNotExecutedRan     = "a request refused as not run ran"
	ViolationWrongResponse      = "an answer was not its caller's own, whole and unaltered"
	ViolationUnauthorizedRun    = "a worker ran what it was not sent, or by a false claim"
	ViolationDisallowedCall     = "a call reached what no setup in force allowed"
	ViolationCallAfterDrain     = "a worker got a call 2 s after it left"
	ViolationStaleConfig        = "handled by older rules after a yes"
	ViolationRevisionDecreased  = "fell back to an older setup"
	ViolationInvalidConfig      = "invalid change in force"
	ViolationRetryBudget        = "extra tries beyond the budget"
	ViolationBadVersionExposure = "a bad version got too many calls"
	ViolationCauselessRejection = "a proper call was turned away without cause"
	ViolationAcknowledgedLost   = "acknowledged work lost"
	ViolationDivergedState      = "two setups under one sequence"
	ViolationRulingChanged      = "a ruling changed"
	ViolationRecoveryTime       = "not back within the bound"
	ViolationHealthyRolledBack  = "a good version was turned back"
	ViolationRunAfterCancel     = "a worker went on for a caller that had left"

	maxViolationsKept = 5 // of each rule
)

// The never-rules on operator versions and on the core, which only RunCore checks.
const (
	ViolationOperatorVersionLost = "an acknowledged given version was lost or went down"
	ViolationContentMismatch     = "an item differs from what was given under its version"
	ViolationCoreIncomplete      = "the core was not whole again within the bound"
	ViolationSlowAcknowledgement = "a change was not acknowledged within the bound"
	ViolationNotLinearizable     = "no order of the calls explains what the operators were told"
)

// recordViolation records a breach of a rule. The caller holds the lock or is an event, during which no goroutine runs.
func (h *History) recordViolation(rule, format string, values ...any) {
	if h.Violations == nil {
		h.Violations = map[string][]string{}
	}
	if len(h.Violations[rule]) < maxViolationsKept {
		h.Violations[rule] = append(h.Violations[rule], fmt.Sprintf(format, values...))
	}
}
