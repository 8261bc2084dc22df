package simulator

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"meadowhinge/internal/fakebackend"
)

// checkAtEnd checks the rules that need the complete history. It is called once, after World.Close.
func (h *History) checkAtEnd() {
	h.lock.Lock()
	defer h.lock.Unlock()
	callTimes := map[string][]time.Duration{}
	for _, id := range sortedOperationIDs(h.operations) {
		operation := h.operations[id]
		h.checkRanOnce(operation)
		h.checkCancelled(operation)
		h.checkNotExecuted(operation)
		for _, attempt := range operation.attempts {
			callTimes[operation.service] = append(callTimes[operation.service], attempt.sentAt)
		}
	}
	for service, retries := range h.retryTimes {
		h.checkRetryBudget(service, callTimes[service], retries)
	}
	for _, bad := range h.badVersions {
		h.checkExposure(bad)
	}
}

// checkRanOnce checks that a non-idempotent operation ran at most once.
func (h *History) checkRanOnce(operation *operation) {
	if !operation.nonIdempotent || len(operation.runs) <= 1 {
		return
	}
	var runs []string
	for _, run := range operation.runs {
		runs = append(runs, fmt.Sprintf("%s at %s (%s) at %v", run.requestID, run.worker.name, run.worker.proxy.name, run.at))
	}
	h.recordViolation(ViolationRanTwice, "%s (keyed %v) ran %d times: %s; asked %s",
		operation.id, operation.keyed, len(operation.runs), strings.Join(runs, ", "), operation.outcomes())
}

// checkNotExecuted checks that no attempt ran whose caller was told that it was not executed.
func (h *History) checkNotExecuted(operation *operation) {
	for attemptNumber, attempt := range operation.attempts {
		for _, run := range operation.runs {
			if run.attemptNumber == attemptNumber && attempt.outcome == outcomeNotExecuted {
				h.recordViolation(ViolationNotExecutedRan, "%s ran at %v and was told %s", operation.id, run.at, operation.outcomes())
			}
		}
	}
}

// checkRetryBudget checks, in a window that ends at each retry of a service, the number of retries against the number
// of calls. It sorts both lists of times.
func (h *History) checkRetryBudget(service string, calls, retries []time.Duration) {
	slices.Sort(calls)
	slices.Sort(retries)
	oldest := 0 // index of the oldest retry in the window
	for i, at := range retries {
		windowStart := at - fakebackend.RetryBudgetWindow
		for retries[oldest] < windowStart {
			oldest++
		}
		first := sort.Search(len(calls), func(i int) bool { return calls[i] >= windowStart })
		end := sort.Search(len(calls), func(i int) bool { return calls[i] > at })
		retriesInWindow, callsInWindow := i-oldest+1, end-first
		if float64(retriesInWindow) > fakebackend.RetryBudgetRatio*float64(callsInWindow)+h.world.Options.RetryFloor {
			h.recordViolation(ViolationRetryBudget, "%v: %s had %d extra tries on %d calls in ten seconds",
				at, service, retriesInWindow, callsInWindow)
		}
	}
}

// checkExposure checks how many calls a bad version got, and when it got the last.
func (h *History) checkExposure(bad *badVersion) {
	limit := fakebackend.FaultyVersionRatio*float64(bad.serviceCalls) + fakebackend.FaultyVersionFloor
	if float64(bad.versionCalls) > limit {
		h.recordViolation(ViolationBadVersionExposure, "%s %s got %d of %d calls since it was bad, %d of them failures",
			bad.service, bad.version, bad.versionCalls, bad.serviceCalls, bad.failures)
	}
	if bad.lateCallAt > 0 {
		h.recordViolation(ViolationBadVersionExposure, "%s %s got a call %v after its fiftieth failure",
			bad.service, bad.version, bad.lateCallAt-bad.failureLimitAt)
	}
}
