package testbed

import (
	"fmt"
)

// Finding is the result of checking one invariant against the history of a run.
type Finding struct {
	Rule       string   `json:"rule"`               // the invariant, as a sentence
	Checked    int      `json:"judged"`             // number of entries that were checked; 0 means that the invariant was not tested
	Violations int      `json:"breaches"`           // number of violations
	Examples   []string `json:"examples,omitempty"` // descriptions of the first maxExamples violations
}

// maxExamples is the number of violations of each invariant that are described.
const maxExamples = 5

// addViolation counts a violation and describes it if it is one of the first maxExamples.
func (f *Finding) addViolation(format string, values ...any) {
	f.Violations++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, values...))
	}
}

// invariant is a property that must hold in every run, whatever its faults, and that can be checked from outside the
// mesh.
type invariant struct {
	rule string // the property as a sentence, which reports show
	// check adds what it checked and the violations that it found to result.
	check func(h *History, d *Deployment, result *Finding)
}

// invariants holds all invariants, in the order of reports.
var invariants = []invariant{
	{"a once request never runs twice", checkExecutedOnce},
	{"a request answered not-run never runs", checkNotExecuted},
	{"every answer is the caller's own, whole and unaltered", checkResponses},
	{"a worker runs only what it was sent, by the caller named", checkExecutionsWereSent},
	{"no call reaches a version or service that no setup allowed", checkVersionsAllowed},
	{"no new call reaches a worker 2 s after it left", checkDrainedWorkers},
	{"no call sent 2 s after a yes is handled by older rules", checkConfigPropagation},
	{"no node falls back to an older setup after 1/4 s", checkConfigRegression},
	{"no invalid change takes effect or goes unrefused", checkInvalidChanges},
	{"a bad version gets 1/10 + 50 at most, none 5 s after failure 50", checkFaultyVersions},
	{"extra tries stay within 1/5 + 60 in any 10 s", checkRetryBudget},
	{"acknowledged changes are there at the end", checkAcknowledgedChanges},
	{"a call that a worker is at is answered, whatever is planned", checkLostResponses},
	{"workers are freed when the callers of repeatable calls leave", checkDisconnectsReachWorkers},
	{"no proxy counts a breach of what must hold of departures", checkDisconnectCounts},
	{"no proper call is turned away without cause", checkRejections},
}

// CheckInvariants checks the history of a run against every invariant and returns one finding for each, in a fixed
// order. It holds the history's lock meanwhile.
func CheckInvariants(h *History, d *Deployment) []Finding {
	h.lock.Lock()
	defer h.lock.Unlock()
	var findings []Finding
	for _, invariant := range invariants {
		finding := Finding{Rule: invariant.rule}
		invariant.check(h, d, &finding)
		findings = append(findings, finding)
	}
	return findings
}

// executionsByOperation groups the executions by operation.
func executionsByOperation(h *History) map[string][]ExecutionEntry {
	executions := map[string][]ExecutionEntry{}
	for _, execution := range h.Executions {
		executions[execution.Operation] = append(executions[execution.Operation], execution)
	}
	return executions
}
