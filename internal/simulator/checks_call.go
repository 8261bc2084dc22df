package simulator

import (
	"encoding/json"
	"strings"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/schema"
)

// recordDispatch judges one call as it is sent: no bound of seconds is needed, for time is exact.
func (h *History) recordDispatch(now time.Duration, node *proxyNode, request *schema.ForwardRequest) {
	inTouch := !h.world.Options.ServeStale || h.world.inTouch(node)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Decisions++
	if minRevision := h.acknowledgedAt(now - fakebackend.ConfigPropagationBound); h.world.Options.ServeStale {
		if inTouch {
			h.InTouchDecisions++
		}
		if inTouch && request.Revision < minRevision {
			h.recordBreach(RuleStaleConfig, "%v: %s, in touch, sent %s by %d; %d was acknowledged %v before", now, node.name,
				request.Request, request.Revision, minRevision, fakebackend.ConfigPropagationBound)
		}
	} else if request.Revision < h.lastAcknowledged {
		h.recordBreach(RuleStaleConfig, "%v: %s sent %s by %d; %d was acknowledged", now, node.name, request.Request,
			request.Revision, h.lastAcknowledged)
	}
	// In doubt a proxy serves by what it knows, so only within one life it knows never less.
	if h.processRuns[node.name] != node.processRun && h.world.Options.ServeStale {
		h.lastUsedRevision[node.name], h.processRuns[node.name] = 0, node.processRun
	}
	if request.Revision < h.lastUsedRevision[node.name] {
		h.recordBreach(RuleRevisionDecreased, "%v: %s sent %s by %d after %d", now, node.name, request.Request,
			request.Revision, h.lastUsedRevision[node.name])
	}
	h.lastUsedRevision[node.name] = max(h.lastUsedRevision[node.name], request.Revision)
	for marker := range h.invalidItems {
		if item := node.journal.View().Items()[marker]; item != nil {
			h.recordBreach(RuleInvalidConfig, "%v: %s holds %s", now, node.name, marker)
		}
	}
	if !strings.HasSuffix(request.Request, "-1") {
		if h.retryTimes == nil {
			h.retryTimes = map[string][]time.Duration{}
		}
		h.retryTimes[request.Service] = append(h.retryTimes[request.Service], now)
	}
}

// recordRun judges a run by a worker.
func (h *History) recordRun(now time.Duration, worker *workerNode, id string, attemptNumber int, caller, requestID string, failed bool) {
	// A proxy that was frozen between its last look and the handing over is bound by its lease, or
	// where there is none by what binds machines in touch.
	bound := !h.world.Options.ServeStale || h.world.isUndisturbed(worker.proxy)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.WorkerRuns++
	requested := h.operations[id]
	if requested == nil || requested.caller != caller || requested.service != worker.service {
		h.recordBreach(RuleUnauthorizedRun, "%v: %s ran %s (%s) as from %q", now, worker.name, id, requestID, caller)
		return
	}
	requested.runs = append(requested.runs, workerRun{worker, now, attemptNumber, requestID, 0})
	if at, left := h.departedAt[worker.token]; left && bound && now > at+fakebackend.DrainingBound {
		h.recordBreach(RuleCallAfterDrain, "%v: %s ran %s %v after it left", now, worker.name, id, now-at)
	}
	// What was in force when it was asked for, or came into force since, may have allowed it.
	sent := requested.startedAt
	if attemptNumber < len(requested.attempts) {
		sent = requested.attempts[attemptNumber].sentAt
	}
	minRevision := h.acknowledgedAt(sent - fakebackend.ConfigPropagationBound)
	allowed := false
	// A proxy that is out of touch may go by any setup there ever was.
	if h.world.Options.ServeStale {
		minRevision = 0
	}
	for sequence, snapshot := range h.snapshots {
		if sequence < minRevision {
			continue
		}
		if service := snapshot.Services[worker.service]; service != nil && service.AllowsVersion(worker.version) && service.AllowsCaller(caller) {
			allowed = true
			break
		}
	}
	if !allowed {
		h.recordBreach(RuleDisallowedCall, "%v: %s of version %s ran %s from %s; no setup since %d allows it", now,
			worker.name, worker.version, id, caller, minRevision)
	}
	for _, bad := range h.badVersions {
		if bad.service != worker.service {
			continue
		}
		degradation := h.world.degradations[[2]string{bad.service, bad.version}]
		if degradation == nil || now < degradation.From || (degradation.Until > 0 && now >= degradation.Until) {
			continue
		}
		bad.serviceCalls++
		if worker.version != bad.version {
			continue
		}
		bad.versionCalls++
		bad.lastCallAt = now
		if bad.failures >= fakebackend.FaultyVersionFailures && now > bad.failureLimitAt+fakebackend.FaultyVersionBound && bad.lateCallAt == 0 {
			bad.lateCallAt = now
		}
		if failed {
			if bad.failures++; bad.failures == fakebackend.FaultyVersionFailures {
				bad.failureLimitAt = now
			}
		}
	}
}

// recordOutcome judges what a caller was told.
func (h *History) recordOutcome(now time.Duration, operation *operation, attempt *callerAttempt) {
	h.lock.Lock()
	defer h.lock.Unlock()
	// What is under way when the run ends has no outcome.
	if h.closed {
		return
	}
	attempt.finishedAt = now
	operation.attempts = append(operation.attempts, attempt)
	h.Attempts++
	switch attempt.outcome {
	case "unsent":
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
	if callPlan := attempt.result.Plan; callPlan != nil {
		if minRevision := h.acknowledgedAt(attempt.sentAt - fakebackend.ConfigPropagationBound); !h.world.Options.ServeStale && callPlan.Verdict.ConfigRevision < minRevision {
			h.recordBreach(RuleStaleConfig, "%v: %s, asked at %v, was handled by %d; %d had been acknowledged", now,
				operation.id, attempt.sentAt, callPlan.Verdict.ConfigRevision, minRevision)
		}
		if callPlan.Verdict.Reason == "HELD" {
			h.BlockedCalls++
		}
	}
	if attempt.result.Err != nil {
		// A caller that was withdrawn is refused rightly.
		if errs.CodeOf(attempt.result.Err) != errs.CallerNotAllowed {
			h.recordRejection(attempt, string(errs.CodeOf(attempt.result.Err)))
		}
		return
	}
	h.Answered++
	if len(operation.attempts) > 1 {
		h.AnsweredRetries++
	}
	var got fakebackend.Reply
	response := attempt.result.Response
	if json.Unmarshal(response.Body, &got) != nil || got.Operation != operation.id || !got.IsIntact() {
		h.recordBreach(RuleWrongAnswer, "%v: %s got %q", now, operation.id, response.Body)
	}
	if len(operation.runs) == 0 {
		h.recordBreach(RuleWrongAnswer, "%v: %s was answered and had not run", now, operation.id)
	}
}

// recordRejection counts a proper call that was turned away under the fault that may have caused it.
func (h *History) recordRejection(attempt *callerAttempt, cause string) {
	w := h.world
	blamed := ""
	touches := func(record *faultRecord) bool {
		return record.startedAt <= attempt.finishedAt && (record.endedAt == 0 || attempt.sentAt <= record.endedAt+2*leaseDuration)
	}
	coreFaults := 0
	for _, record := range w.faults {
		if !touches(record) {
			continue
		}
		if record.hitsCore {
			coreFaults++
		}
		// One core machine gone costs nothing; with another besides, a majority may be.
		if record.mayReject || coreFaults > 1 {
			blamed = record.name
			break
		}
	}
	if blamed == "" {
		h.recordBreach(RuleCauselessRejection, "%v: asked at %v at %s: %s", attempt.finishedAt, attempt.sentAt, attempt.proxy.name, cause)
		blamed = "no fault"
	}
	h.Rejections[blamed+": "+cause]++
}
