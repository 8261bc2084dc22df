package testbed

import (
	"sort"

	"meadowhinge/internal/fakebackend"
)

// checkExecutedOnce checks that a non-idempotent request is executed at most once, counting the retries that its
// caller makes under an idempotency key.
func checkExecutedOnce(h *History, _ *Deployment, result *Finding) {
	executions := executionsByOperation(h)
	for _, call := range h.Calls {
		if !call.NonIdempotent {
			continue
		}
		result.Checked++
		if count := len(executions[call.Operation]); count > 1 {
			result.addViolation("%s ran %d times: %v", call.Operation, count, executions[call.Operation])
		}
	}
}

// checkNotExecuted checks that a request with the outcome not-run was not executed. Only the attempt that got this
// outcome counts, because a retry of its caller has the same operation and may be executed.
func checkNotExecuted(h *History, _ *Deployment, result *Finding) {
	executions := executionsByOperation(h)
	for _, call := range h.Calls {
		if call.Outcome != "not-run" {
			continue
		}
		result.Checked++
		for _, execution := range executions[call.Operation] {
			if execution.CallerRetry == call.CallerRetry {
				result.addViolation("%s was answered not-run (%s) and ran: %v", call.Operation, call.ErrorCode, execution)
			}
		}
	}
}

// checkResponses checks that each answered call got the response to its own request, complete and unaltered.
func checkResponses(h *History, _ *Deployment, result *Finding) {
	executions := executionsByOperation(h)
	for _, call := range h.Calls {
		if call.Outcome != "answered" {
			continue
		}
		result.Checked++
		switch {
		case call.Echoed != call.Operation:
			result.addViolation("%s got the answer of %q", call.Operation, call.Echoed)
		case !call.Intact:
			result.addViolation("%s got an answer that was cut or altered", call.Operation)
		case len(executions[call.Operation]) == 0:
			result.addViolation("%s was answered but never ran", call.Operation)
		}
	}
}

// checkExecutionsWereSent checks that each executed request was sent to this service, by the caller that the proxy
// named to the worker.
func checkExecutionsWereSent(h *History, _ *Deployment, result *Finding) {
	sent := map[string]CallEntry{}
	for _, call := range h.Calls {
		sent[call.Operation] = call
	}
	for _, execution := range h.Executions {
		result.Checked++
		call, found := sent[execution.Operation]
		if !found {
			result.addViolation("%s ran %q, which nobody sent", execution.Worker, execution.Operation)
		} else if call.Caller != execution.Caller || call.Service != execution.Service {
			result.addViolation("%s ran %s as from %s for %s; it was from %s for %s",
				execution.Worker, execution.Operation, execution.Caller, execution.Service, call.Caller, call.Service)
		}
	}
}

// checkRetryBudget checks the retry budget of each service, in every window that ends with a call. The retries of
// proxies may not exceed RetryBudgetRatio of the calls in the window plus RetryBudgetFloor.
func checkRetryBudget(h *History, _ *Deployment, result *Finding) {
	byService := map[string][]CallEntry{}
	for _, call := range h.Calls {
		byService[call.Service] = append(byService[call.Service], call)
	}
	for service, calls := range byService {
		sort.Slice(calls, func(i, j int) bool { return calls[i].Sent < calls[j].Sent })
		first, retries := 0, 0
		for i, call := range calls {
			retries += max(0, call.Attempts-1)
			for calls[first].Sent < call.Sent-fakebackend.RetryBudgetWindow {
				retries -= max(0, calls[first].Attempts-1)
				first++
			}
			result.Checked++
			inWindow := i - first + 1
			if float64(retries) > fakebackend.RetryBudgetRatio*float64(inWindow)+fakebackend.RetryBudgetFloor {
				result.addViolation("%s had %d extra tries on %d calls in the 10 s up to %v", service, retries, inWindow, call.Sent)
			}
		}
	}
}

// checkLostResponses checks that an executed request got a response, unless a fault that may cause rejections was
// active. Planned work such as a restart must not lose a response.
func checkLostResponses(h *History, _ *Deployment, result *Finding) {
	executions := executionsByOperation(h)
	for _, call := range h.Calls {
		if call.Outcome != "unknown" || call.Status != 0 || len(executions[call.Operation]) == 0 {
			continue
		}
		result.Checked++
		if h.faultBehindRejection(call) == "" {
			result.addViolation("%s at %s, sent at %v, ended without an answer at %v; it ran: %v",
				call.Operation, call.Proxy, call.Sent, call.Received, executions[call.Operation])
		}
	}
}

// checkDisconnectsReachWorkers checks that the execution of an idempotent request ends within DisconnectBound after its
// caller disconnected, unless a fault may have delayed messages between proxies. It checks nothing if DisconnectBound
// is 0.
func checkDisconnectsReachWorkers(h *History, _ *Deployment, result *Finding) {
	if h.DisconnectBound == 0 {
		return
	}
	ends := map[string][]ExecutionEndEntry{}
	for _, end := range h.ExecutionEnds {
		ends[end.Operation] = append(ends[end.Operation], end)
	}
	for _, call := range h.Calls {
		if call.Outcome != outcomeDisconnected || call.NonIdempotent {
			continue
		}
		if h.peerMessagesDelayed(call.Sent, call.Received+h.DisconnectBound) {
			continue
		}
		for _, end := range ends[call.Operation] {
			result.Checked++
			if end.At > call.Received+h.DisconnectBound {
				result.addViolation("%s ran at %s for %v after its caller left at %v", call.Operation, end.Worker, end.At-call.Received, call.Received)
			}
		}
	}
}

// checkDisconnectCounts checks that the counts of disconnected callers that each proxy keeps are consistent.
func checkDisconnectCounts(h *History, _ *Deployment, result *Finding) {
	for incarnation, counts := range h.Disconnects {
		result.Checked += int(counts.Detected + counts.Dequeued + counts.Canceled + counts.RanToEnd)
		for range counts.Violations() {
			result.addViolation("%s: %+v", incarnation, counts)
		}
	}
}

// checkRejections checks that no request is rejected unless a fault may have caused it. It checks nothing unless
// CheckRejections is set.
func checkRejections(h *History, _ *Deployment, result *Finding) {
	if !h.CheckRejections {
		return
	}
	for _, call := range h.Calls {
		result.Checked++
		if call.rejected() && h.faultBehindRejection(call) == "" {
			result.addViolation("%s at %s, sent at %v, got %q after %v", call.Operation, call.Proxy, call.Sent, call.ErrorCode, call.Received-call.Sent)
		}
	}
}
