package dispatch

import (
	"context"
	"hash/crc32"
	"strconv"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// Where nothing else tells of a proxy that hangs, one try of a repeatable call may take this part of the time left, or all but so many times
// what its worker takes, if that is known.
const (
	attemptTimeDivisor   = 2
	reservedServiceTimes = 2
)

// intact tells whether an answer is this request's, as it was sent.
func intact(request *schema.ForwardRequest, response *schema.ForwardResponse) bool {
	return response.Request == request.Request && uint64(len(response.Body)) == response.Length && crc32.ChecksumIEEE(response.Body) == response.Checksum
}

// remainingTarget is what is left of a call's aim, below 0 once it is past, 0 if it has none.
func remainingTarget(callPlan *plan.Plan, remaining time.Duration) int64 {
	if callPlan.LatencyTarget <= 0 {
		return 0
	}
	target := callPlan.LatencyTarget - (callPlan.Deadline - remaining)
	if target <= 0 {
		return -1
	}
	return int64(target)
}

// sendAttempt sends a call to a candidate; turned tells whether another has already turned it away.
func (f *Forwarder) sendAttempt(ctx context.Context, call *Call, result *CallResult, endpoint plan.Endpoint, remaining time.Duration, refusedBefore bool) *schema.ForwardResponse {
	request := &schema.ForwardRequest{Request: result.ID + "-" + strconv.Itoa(result.Attempts), Caller: call.Request.Caller, Service: result.Plan.Service,
		Version: result.Plan.Verdict.Version, Instance: endpoint.Instance, Method: call.Request.Method, Target: call.Target,
		HeaderBlock: call.HeaderBlock, Body: call.Body, Checksum: crc32.ChecksumIEEE(call.Body), TimeLeftNanos: int64(remaining),
		Revision: result.Plan.Verdict.ConfigRevision, NonIdempotent: result.Plan.Class == config.ClassNonIdempotent, IdempotencyKey: call.Request.IdempotencyKey, Route: result.Plan.Route.Name,
		Host: call.Request.Host, AttemptId: call.Request.Identity, Priority: uint32(max(0, result.Plan.Route.Priority)), LatencyTargetNanos: remainingTarget(result.Plan, remaining)}
	// A call that may be repeated leaves itself time to be, should this proxy hang: as much as the
	// worker takes, for what is broken off while it runs is lost.
	attemptCtx := ctx
	if result.Plan.Class == config.ClassIdempotent && !f.NoAttemptTimeout {
		timeout := remaining / attemptTimeDivisor
		if serviceTime := f.Outliers.Stats(&endpoint, f.Now()).ServiceTime; serviceTime > 0 {
			timeout = max(timeout, remaining-reservedServiceTimes*serviceTime)
		}
		var cancel context.CancelFunc
		attemptCtx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var ending schema.CallOutcome
	var status int32
	callerGone := false
	sentAt := f.Now()
	f.Outliers.BeginCall(endpoint.Instance, sentAt)
	if refusal := f.checkCapacity(attemptCtx, request, &endpoint, refusedBefore); refusal != nil {
		if isCanceled(refusal) {
			f.Outliers.CancelCall(endpoint.Instance)
		} else {
			f.Outliers.RecordResponse(endpoint.Instance, f.Now(), f.Now()-sentAt, refusal)
		}
		return refusal
	}
	// It may have waited for its turn already.
	if waited := f.Now() - sentAt; waited > 0 {
		remaining -= waited
		request.TimeLeftNanos, request.LatencyTargetNanos = int64(remaining), remainingTarget(result.Plan, remaining)
	}
	if len(f.View().Config.GuardedVersions[result.Plan.Service]) > 0 {
		canaryCall := f.Canaries.Begin(result.Plan.Service, result.Plan.Verdict.Version, f.Now())
		defer func() {
			if callerGone {
				f.Canaries.Discard(canaryCall)
				return
			}
			// What was proved not to have run says nothing of the version.
			f.Canaries.End(canaryCall, f.Now(), ending == schema.CallOutcome_CALL_OUTCOME_UNKNOWN || status >= 500)
		}()
	}
	response, err := f.Send(attemptCtx, endpoint, request)
	// A patient call that came to the end of its time found a slow worker, not a lost proxy.
	deadlinePassed := f.NoAttemptTimeout && ctx.Err() != nil
	switch {
	case err == nil:
		f.Outliers.MarkReachable(endpoint.Proxy)
	case !deadlinePassed:
		f.Outliers.MarkUnreachable(endpoint.Proxy, f.Now())
	}
	switch {
	case err != nil && deadlinePassed:
		response = outcomeUnknown(contextErrorCode(ctx))
	case err != nil && errs.CodeOf(err) == errs.PeerConnectFailed:
		response = notExecuted(errs.PeerConnectFailed, 0)
	case err != nil:
		response = outcomeUnknown(errs.PeerConnectionLost)
	// An answer that is not this request's, or not whole, is no answer.
	case !intact(request, response):
		response = outcomeUnknown(errs.InvalidResponse)
	}
	if isCanceled(response) {
		callerGone = true
		f.Outliers.CancelCall(endpoint.Instance)
		return response
	}
	// The directory is behind: what it still lists is no more, and need not be tried again.
	if refusal := errs.Code(response.ErrorCode); response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && (refusal == errs.WrongInstance || refusal == errs.WorkerDraining) {
		f.Outliers.MarkDisowned(endpoint.Instance)
	}
	ending, status = response.Outcome, response.Status
	endedAt := f.Now()
	f.Outliers.RecordResponse(endpoint.Instance, endedAt, endedAt-sentAt, response)
	f.Outliers.RecordOffer(endpoint.Instance, result.Plan.Route.Name, endedAt, response)
	return response
}
