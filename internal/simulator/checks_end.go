package simulator

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"meadowhinge/internal/fakebackend"
)

// checkAtEnd judges what can be judged only when all is over.
func (h *History) checkAtEnd() {
	h.lock.Lock()
	defer h.lock.Unlock()
	calls := map[string][]time.Duration{}
	for _, id := range sortedOperationIDs(h.operations) {
		operation := h.operations[id]
		if operation.nonIdempotent && len(operation.runs) > 1 {
			var runs []string
			for _, run := range operation.runs {
				runs = append(runs, fmt.Sprintf("%s at %s (%s) at %v", run.requestID, run.worker.name, run.worker.proxy.name, run.at))
			}
			h.recordBreach(RuleRanTwice, "%s (keyed %v) ran %d times: %s; asked %s", id, operation.keyed, len(operation.runs),
				strings.Join(runs, ", "), operation.outcomes())
		}
		h.checkCancelled(operation)
		for attemptNumber, attempt := range operation.attempts {
			calls[operation.service] = append(calls[operation.service], attempt.sentAt)
			for _, run := range operation.runs {
				if run.attemptNumber == attemptNumber && attempt.outcome == "not-run" {
					h.recordBreach(RuleNotExecutedRan, "%s ran at %v and was told %s", id, run.at, operation.outcomes())
				}
			}
		}
	}
	for service, retries := range h.retryTimes {
		callTimes := calls[service]
		slices.Sort(callTimes)
		slices.Sort(retries)
		from := 0
		for i, at := range retries {
			for retries[from] < at-fakebackend.RetryBudgetWindow {
				from++
			}
			callsInWindow := sort.Search(len(callTimes), func(i int) bool { return callTimes[i] > at }) - sort.Search(len(callTimes), func(i int) bool { return callTimes[i] >= at-fakebackend.RetryBudgetWindow })
			if float64(i-from+1) > fakebackend.RetryBudgetRatio*float64(callsInWindow)+h.world.Options.RetryFloor {
				h.recordBreach(RuleRetryBudget, "%v: %s had %d extra tries on %d calls in ten seconds", at, service, i-from+1,
					callsInWindow)
			}
		}
	}
	for _, bad := range h.badVersions {
		if float64(bad.versionCalls) > fakebackend.FaultyVersionRatio*float64(bad.serviceCalls)+fakebackend.FaultyVersionFloor {
			h.recordBreach(RuleBadVersionExposure, "%s %s got %d of %d calls since it was bad, %d of them failures", bad.service,
				bad.version, bad.versionCalls, bad.serviceCalls, bad.failures)
		}
		if bad.lateCallAt > 0 {
			h.recordBreach(RuleBadVersionExposure, "%s %s got a call %v after its fiftieth failure", bad.service, bad.version,
				bad.lateCallAt-bad.failureLimitAt)
		}
	}
}
