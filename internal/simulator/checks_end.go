package simulator

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"meadowhinge/internal/fakebackend"
)

// checkAtEnd checks the invariants that need the complete history. It is called once, after World.Close.
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

// checkRanOnce checks that a non-idempotent operation ran at most once. The caller holds History.lock.
func (h *History) checkRanOnce(operation *operation) {
	if !operation.nonIdempotent || len(operation.runs) <= 1 {
		return
	}
	var runs []string
	for _, run := range operation.runs {
		runs = append(runs, fmt.Sprintf("%s at %s (%s) at %v", run.requestID, run.worker.name, run.worker.proxy.name, run.at))
	}
	h.recordViolation(ViolationRanTwice, "%s (with an idempotency key: %v) ran %d times: %s; attempts: %s",
		operation.id, operation.keyed, len(operation.runs), strings.Join(runs, ", "), operation.outcomes())
}

// checkNotExecuted checks that no attempt ran whose caller was told that it was not executed. The caller holds
// History.lock.
func (h *History) checkNotExecuted(operation *operation) {
	for attemptNumber, attempt := range operation.attempts {
		for _, run := range operation.runs {
			if run.attemptNumber == attemptNumber && attempt.outcome == outcomeNotExecuted {
				h.recordViolation(ViolationNotExecutedRan, "%s ran at %v, although one of its attempts was reported as not executed: %s", operation.id, run.at, operation.outcomes())
			}
		}
	}
}

// checkRetryBudget checks the retry budget of a service in each window that ends at a retry: the retries in the window
// against the attempts of callers in it. It sorts both lists of times. The caller holds History.lock.
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
			h.recordViolation(ViolationRetryBudget, "%v: service %s had %d retries for %d calls within %v",
				at, service, retriesInWindow, callsInWindow, fakebackend.RetryBudgetWindow)
		}
	}
}

// checkExposure checks how many calls a bad version got, and that it got none too long after its failure limit. The
// caller holds History.lock.
func (h *History) checkExposure(bad *badVersion) {
	limit := fakebackend.FaultyVersionRatio*float64(bad.serviceCalls) + fakebackend.FaultyVersionFloor
	if float64(bad.versionCalls) > limit {
		h.recordViolation(ViolationBadVersionExposure, "version %s of %s got %d of the %d calls of the service while it was unhealthy; %d of them failed or were slow",
			bad.version, bad.service, bad.versionCalls, bad.serviceCalls, bad.failures)
	}
	if bad.lateCallAt > 0 {
		h.recordViolation(ViolationBadVersionExposure, "version %s of %s got a call %v after its failure number %d",
			bad.version, bad.service, bad.lateCallAt-bad.failureLimitAt, fakebackend.FaultyVersionFailures)
	}
}
