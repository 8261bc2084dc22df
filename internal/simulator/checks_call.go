package simulator

import (
	"encoding/json"
	"strings"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// recordDispatch records that a proxy dispatches an attempt, and checks the configuration that it is decided by.
func (h *History) recordDispatch(now time.Duration, node *proxyNode, request *schema.ForwardRequest) {
	isWellConnected := !h.world.Options.ServeStale || h.world.isWellConnected(node)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Decisions++
	h.checkFreshness(now, node, request, isWellConnected)
	h.checkRevisionIncreases(now, node, request)
	for key := range h.invalidItems {
		if item := node.journal.View().Items()[key]; item != nil {
			h.recordViolation(ViolationInvalidConfig, "%v: %s has the invalid item %s", now, node.name, key)
		}
	}
	// The id of the first request of a call ends with -1.
	if isRetry := !strings.HasSuffix(request.Request, "-1"); isRetry {
		h.retryTimes[request.Service] = append(h.retryTimes[request.Service], now)
	}
}

// checkFreshness checks that a dispatch was not decided by a revision older than an acknowledged one. Under leases
// every proxy must obey at once. With Options.ServeStale only well-connected proxies must, after the propagation
// bound. The caller holds History.lock.
func (h *History) checkFreshness(now time.Duration, node *proxyNode, request *schema.ForwardRequest, isWellConnected bool) {
	if !h.world.Options.ServeStale {
		if request.Revision < h.lastAcknowledged {
			h.recordViolation(ViolationStaleConfig, "%v: %s dispatched %s by revision %d; revision %d was acknowledged",
				now, node.name, request.Request, request.Revision, h.lastAcknowledged)
		}
		return
	}
	if !isWellConnected {
		return
	}
	h.WellConnectedDecisions++
	if minRevision := h.acknowledgedAt(now - fakebackend.ConfigPropagationBound); request.Revision < minRevision {
		h.recordViolation(ViolationStaleConfig, "%v: %s, well connected, dispatched %s by revision %d; revision %d was acknowledged %v before",
			now, node.name, request.Request, request.Revision, minRevision, fakebackend.ConfigPropagationBound)
	}
}

// checkRevisionIncreases checks that a proxy never goes back to an older revision. With Options.ServeStale this
// applies only within one run of the proxy. The caller holds History.lock.
func (h *History) checkRevisionIncreases(now time.Duration, node *proxyNode, request *schema.ForwardRequest) {
	if h.processRuns[node.name] != node.processRun && h.world.Options.ServeStale {
		h.lastUsedRevision[node.name] = 0
		h.processRuns[node.name] = node.processRun
	}
	if request.Revision < h.lastUsedRevision[node.name] {
		h.recordViolation(ViolationRevisionDecreased, "%v: %s dispatched %s by revision %d after revision %d",
			now, node.name, request.Request, request.Revision, h.lastUsedRevision[node.name])
	}
	h.lastUsedRevision[node.name] = max(h.lastUsedRevision[node.name], request.Revision)
}

// recordRun records that a worker runs a request, and checks that the worker may run it. isBad tells that the run fails
// or takes longer than slowServiceTime.
func (h *History) recordRun(
	now time.Duration, worker *workerNode, id string, attemptNumber int, caller, requestID string, isBad bool,
) {
	// A proxy may freeze between its last check and the dispatch. A lease bounds that delay. With Options.ServeStale
	// there is none, so the draining bound applies only to undisturbed proxies.
	boundApplies := !h.world.Options.ServeStale || h.world.isProxyUndisturbed(worker.proxy)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.WorkerRuns++
	requested := h.operations[id]
	if requested == nil || requested.caller != caller || requested.service != worker.service {
		h.recordViolation(ViolationUnauthorizedRun, "%v: %s ran operation %q (request %s) for caller %q", now, worker.name, id, requestID, caller)
		return
	}
	requested.runs = append(requested.runs, workerRun{worker, now, attemptNumber, requestID, 0})
	if at, departed := h.departedAt[worker.token]; departed && boundApplies && now > at+fakebackend.DrainingBound {
		h.recordViolation(ViolationCallAfterDrain, "%v: %s ran %s %v after it began to drain or ended", now, worker.name, id, now-at)
	}
	h.checkAllowed(now, worker, requested, attemptNumber)
	for _, bad := range h.badVersions {
		h.countBadVersionCall(now, bad, worker, isBad)
	}
}

// checkAllowed checks that some configuration allows a run. It must have been in force at a time no more than
// fakebackend.ConfigPropagationBound before the attempt was sent, or later. An attempt that has not ended is not
// recorded yet; then the start of the operation counts as its time. The caller holds History.lock.
func (h *History) checkAllowed(now time.Duration, worker *workerNode, requested *operation, attemptNumber int) {
	sentAt := requested.startedAt
	if attemptNumber < len(requested.attempts) {
		sentAt = requested.attempts[attemptNumber].sentAt
	}
	minRevision := h.acknowledgedAt(sentAt - fakebackend.ConfigPropagationBound)
	// A proxy that is not well connected may serve by any configuration that ever existed.
	if h.world.Options.ServeStale {
		minRevision = 0
	}
	for revision, snapshot := range h.snapshots {
		if revision < minRevision {
			continue
		}
		service := snapshot.Services[worker.service]
		if service != nil && service.AllowsVersion(worker.version) && service.AllowsCaller(requested.caller) {
			return
		}
	}
	h.recordViolation(ViolationDisallowedCall, "%v: %s of version %s ran %s for caller %s; no configuration since revision %d allows it",
		now, worker.name, worker.version, requested.id, requested.caller, minRevision)
}

// countBadVersionCall counts a run for a bad version of its service while the version is unhealthy. isBad is that of
// recordRun. The caller holds History.lock.
func (h *History) countBadVersionCall(now time.Duration, bad *badVersion, worker *workerNode, isBad bool) {
	if bad.service != worker.service {
		return
	}
	degradation := h.world.degradations[[2]string{bad.service, bad.version}]
	if degradation == nil || !degradation.activeAt(now) {
		return
	}
	bad.serviceCalls++
	if worker.version != bad.version {
		return
	}
	bad.versionCalls++
	bad.lastCallAt = now
	isOverLimit := bad.failures >= fakebackend.FaultyVersionFailures && now > bad.failureLimitAt+fakebackend.FaultyVersionBound
	if isOverLimit && bad.lateCallAt == 0 {
		bad.lateCallAt = now
	}
	if isBad {
		if bad.failures++; bad.failures == fakebackend.FaultyVersionFailures {
			bad.failureLimitAt = now
		}
	}
}

// recordOutcome records how an attempt ended for its caller, and checks the result.
func (h *History) recordOutcome(now time.Duration, operation *operation, attempt *callerAttempt) {
	h.lock.Lock()
	defer h.lock.Unlock()
	// Attempts in flight at World.Close have no outcome.
	if h.closed {
		return
	}
	attempt.finishedAt = now
	operation.attempts = append(operation.attempts, attempt)
	h.Attempts++
	switch attempt.outcome {
	case outcomeUnsent:
		h.Unsent++
		return
	case outcomeCancelled:
		h.CancelledCalls++
		return
	}
	if attempt.result == nil {
		h.recordRejection(attempt, "connection lost")
		return
	}
	h.checkPlan(now, operation, attempt)
	if attempt.result.Err != nil {
		// The rejection is right if the caller has lost its permission.
		if errs.CodeOf(attempt.result.Err) != errs.CallerNotAllowed {
			h.recordRejection(attempt, string(errs.CodeOf(attempt.result.Err)))
		}
		return
	}
	h.Answered++
	if len(operation.attempts) > 1 {
		h.AnsweredRetries++
	}
	h.checkResponse(now, operation, attempt.result.Response)
}

// checkPlan counts an attempt whose version was blocked. Without Options.ServeStale it also checks the revision that
// the attempt was planned by. The revision must not be older than one that had been acknowledged
// fakebackend.ConfigPropagationBound before the attempt was sent. The caller holds History.lock.
func (h *History) checkPlan(now time.Duration, operation *operation, attempt *callerAttempt) {
	callPlan := attempt.result.Plan
	if callPlan == nil {
		return
	}
	minRevision := h.acknowledgedAt(attempt.sentAt - fakebackend.ConfigPropagationBound)
	if !h.world.Options.ServeStale && callPlan.Verdict.ConfigRevision < minRevision {
		h.recordViolation(ViolationStaleConfig, "%v: %s, sent at %v, was planned by revision %d; revision %d had been acknowledged",
			now, operation.id, attempt.sentAt, callPlan.Verdict.ConfigRevision, minRevision)
	}
	if callPlan.Verdict.Reason == plan.ReasonVersionBlocked {
		h.BlockedCalls++
	}
}

// checkResponse checks that a response belongs to the operation and is intact, and that a worker ran the operation.
// The caller holds History.lock.
func (h *History) checkResponse(now time.Duration, operation *operation, response *schema.ForwardResponse) {
	var got fakebackend.Reply
	if json.Unmarshal(response.Body, &got) != nil || got.Operation != operation.id || !got.IsIntact() {
		h.recordViolation(ViolationWrongResponse, "%v: %s got the response %q", now, operation.id, response.Body)
	}
	if len(operation.runs) == 0 {
		h.recordViolation(ViolationWrongResponse, "%v: %s got a response, but no worker ran it", now, operation.id)
	}
}

// recordRejection counts the rejection of a valid call under the first fault that may have caused it. A fault may cause
// rejections up to two lease durations after its end. A rejection without such a fault is a violation. The golden
// digests cover the keys of History.Rejections. The caller holds History.lock.
func (h *History) recordRejection(attempt *callerAttempt, cause string) {
	overlaps := func(record *faultRecord) bool {
		return record.startedAt <= attempt.finishedAt &&
			(record.endedAt == 0 || attempt.sentAt <= record.endedAt+2*leaseDuration)
	}
	blamed := ""
	coreFaults := 0
	for _, record := range h.world.faults {
		if !overlaps(record) {
			continue
		}
		if record.hitsCore {
			coreFaults++
		}
		// The loss of one core host must cost nothing. Two at a time may cost a majority of the registries.
		if record.mayReject || coreFaults > 1 {
			blamed = record.name
			break
		}
	}
	if blamed == "" {
		h.recordViolation(ViolationCauselessRejection, "%v: attempt sent at %v to %s was rejected: %s",
			attempt.finishedAt, attempt.sentAt, attempt.proxy.name, cause)
		blamed = "no fault"
	}
	h.Rejections[blamed+": "+cause]++
}
