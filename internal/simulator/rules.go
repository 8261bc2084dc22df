package simulator

import (
	"fmt"
)

// The never-rules that every world checks, exactly in virtual time. Each constant is the text under which breaches are
// reported; golden digests hold these texts.
const (
	RuleRanTwice           = "a once request ran twice"
	RuleNotExecutedRan     = "a request refused as not run ran"
	RuleWrongAnswer        = "an answer was not its caller's own, whole and unaltered"
	RuleUnauthorizedRun    = "a worker ran what it was not sent, or by a false claim"
	RuleDisallowedCall     = "a call reached what no setup in force allowed"
	RuleCallAfterDrain     = "a worker got a call 2 s after it left"
	RuleStaleConfig        = "handled by older rules after a yes"
	RuleRevisionDecreased  = "fell back to an older setup"
	RuleInvalidConfig      = "invalid change in force"
	RuleRetryBudget        = "extra tries beyond the budget"
	RuleBadVersionExposure = "a bad version got too many calls"
	RuleCauselessRejection = "a proper call was turned away without cause"
	RuleAcknowledgedLost   = "acknowledged work lost"
	RuleDivergedState      = "two setups under one sequence"
	RuleRulingChanged      = "a ruling changed"
	RuleRecoveryTime       = "not back within the bound"
	RuleHealthyRolledBack  = "a good version was turned back"
	RuleRunAfterCancel     = "a worker went on for a caller that had left"

	maxBreachesShown = 5 // of each rule
)

// The never-rules on operator versions and on the core, which only RunCore checks.
const (
	RuleOperatorVersionLost = "an acknowledged given version was lost or went down"
	RuleContentMismatch     = "an item differs from what was given under its version"
	RuleCoreIncomplete      = "the core was not whole again within the bound"
	RuleSlowAcknowledgement = "a change was not acknowledged within the bound"
	RuleNotLinearizable     = "no order of the calls explains what the operators were told"
)

// recordBreach records a breach of a rule. The caller holds the lock or is an event, during which no goroutine runs.
func (h *History) recordBreach(rule, format string, values ...any) {
	if h.Breaches == nil {
		h.Breaches = map[string][]string{}
	}
	if len(h.Breaches[rule]) < maxBreachesShown {
		h.Breaches[rule] = append(h.Breaches[rule], fmt.Sprintf(format, values...))
	}
}
