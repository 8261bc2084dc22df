package simulator

import (
	"fmt"
)

// The violations of invariants that every world can report. The checks compare exact virtual times, without a
// tolerance. Each constant is the text that violations are reported under and the key of History.Violations. A golden
// digest covers the texts of the violations in its run.
const (
	ViolationRanTwice           = "a non-idempotent call ran more than once"
	ViolationNotExecutedRan     = "an attempt reported as not executed ran"
	ViolationWrongResponse      = "a caller got a response that was not its own, or was altered or truncated"
	ViolationUnauthorizedRun    = "a worker ran a call that it was not sent, or under a forged caller"
	ViolationDisallowedCall     = "a worker ran a call that no configuration in force allowed"
	ViolationCallAfterDrain     = "a worker got a call more than 2 s after it began to drain or ended"
	ViolationStaleConfig        = "a call was handled by a configuration older than an acknowledged one"
	ViolationRevisionDecreased  = "a proxy went back to an older configuration"
	ViolationInvalidConfig      = "an invalid change is in force"
	ViolationRetryBudget        = "retries exceeded the retry budget"
	ViolationBadVersionExposure = "a bad version got too many calls"
	ViolationCauselessRejection = "a valid call was rejected although no fault explains it"
	ViolationAcknowledgedLost   = "an acknowledged change was lost"
	ViolationDivergedState      = "two processes have different configurations at the same sequence"
	ViolationRulingChanged      = "the ruling on a change changed"
	ViolationRecoveryTime       = "service did not recover within the bound"
	ViolationHealthyRolledBack  = "a healthy version was rolled back"
	ViolationRunAfterCancel     = "a worker went on with a call that its caller had cancelled"

	maxViolationsKept = 5 // descriptions recorded for each kind of violation
)

// The violations of invariants on operator versions and on the core. Only RunCore checks them.
const (
	ViolationOperatorVersionLost = "an acknowledged operator version was lost or decreased"
	ViolationContentMismatch     = "an item differs from what operators sent under its version"
	ViolationCoreIncomplete      = "the core was not complete again within the bound"
	ViolationSlowAcknowledgement = "a change was not acknowledged within the bound"
	ViolationNotLinearizable     = "the operators' calls are not linearizable"
)

// recordViolation records a violation of an invariant, unless maxViolationsKept of its kind are recorded already. The
// caller holds History.lock, or is an event, during which no goroutine runs.
func (h *History) recordViolation(kind, format string, values ...any) {
	if h.Violations == nil {
		h.Violations = map[string][]string{}
	}
	if len(h.Violations[kind]) < maxViolationsKept {
		h.Violations[kind] = append(h.Violations[kind], fmt.Sprintf(format, values...))
	}
}
