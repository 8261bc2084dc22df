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

// An attempt of an idempotent call has a timeout, so that time for a retry is left if the proxy hangs. The timeout is
// the larger of 1/attemptTimeDivisor of the time left, and the time left less reservedServiceTimes times the worker's
// service time. With NoAttemptTimeout there is no such timeout.
const (
	attemptTimeDivisor   = 2
	reservedServiceTimes = 2
)

// remainingTarget returns the nanoseconds left until the call's latency target: -1 if the target has passed, and 0 if
// the call has none. remaining is the time left until the plan's deadline.
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

// newAttemptRequest returns the request of one attempt of a call. Its id is made of the call's id and the number of the
// attempt. remaining is the time left until the plan's deadline.
func newAttemptRequest(call *Call, result *CallResult, endpoint *plan.Endpoint, remaining time.Duration) *schema.ForwardRequest {
	callPlan := result.Plan
	return &schema.ForwardRequest{
		Request:            result.ID + "-" + strconv.Itoa(result.Attempts),
		Caller:             call.Request.Caller,
		Service:            callPlan.Service,
		Version:            callPlan.Verdict.Version,
		Instance:           endpoint.Instance,
		Method:             call.Request.Method,
		Target:             call.Target,
		HeaderBlock:        call.HeaderBlock,
		Body:               call.Body,
		Checksum:           crc32.ChecksumIEEE(call.Body),
		TimeLeftNanos:      int64(remaining),
		Revision:           callPlan.Verdict.ConfigRevision,
		NonIdempotent:      callPlan.Class == config.ClassNonIdempotent,
		IdempotencyKey:     call.Request.IdempotencyKey,
		Route:              callPlan.Route.Name,
		Host:               call.Request.Host,
		AttemptId:          call.Request.Identity,
		Priority:           uint32(max(0, callPlan.Route.Priority)),
		LatencyTargetNanos: remainingTarget(callPlan, remaining),
	}
}

// attemptContext returns the context of one attempt. For an idempotent call it has the timeout described at
// attemptTimeDivisor. If the worker's service time is known, the timeout leaves a retry at most reservedServiceTimes times
// that, because a run that is broken off is wasted. remaining is the time left until the plan's deadline.
func (f *Forwarder) attemptContext(
	ctx context.Context, callPlan *plan.Plan, endpoint *plan.Endpoint, remaining time.Duration,
) (context.Context, context.CancelFunc) {
	if callPlan.Class != config.ClassIdempotent || f.NoAttemptTimeout {
		return ctx, func() {}
	}
	timeout := remaining / attemptTimeDivisor
	if serviceTime := f.Outliers.Stats(endpoint, f.Now()).ServiceTime; serviceTime > 0 {
		timeout = max(timeout, remaining-reservedServiceTimes*serviceTime)
	}
	return context.WithTimeout(ctx, timeout)
}

// sendAttempt sends the call to a candidate, and records the result for its worker, its proxy and its version. It
// returns the response, or the refusal of the capacity check that comes before it.
func (a *attemptSequence) sendAttempt(ctx context.Context, candidate *plan.Endpoint, remaining time.Duration) *schema.ForwardResponse {
	f, callPlan := a.forwarder, a.result.Plan
	request := newAttemptRequest(a.call, a.result, candidate, remaining)
	attemptCtx, cancel := f.attemptContext(ctx, callPlan, candidate, remaining)
	defer cancel()
	sentAt := f.Now()
	f.Outliers.BeginCall(candidate.Instance, sentAt)
	refusedBefore := a.progress.fullEndpoints > 0
	if refusal := f.checkCapacity(attemptCtx, request, candidate, refusedBefore); refusal != nil {
		if isCanceled(refusal) {
			f.Outliers.CancelCall(candidate.Instance)
		} else {
			f.Outliers.RecordResponse(candidate.Instance, f.Now(), f.Now()-sentAt, refusal)
		}
		return refusal
	}
	// A capacity check may have waited for admission by the worker's queue.
	if waited := f.Now() - sentAt; waited > 0 {
		remaining -= waited
		request.TimeLeftNanos = int64(remaining)
		request.LatencyTargetNanos = remainingTarget(callPlan, remaining)
	}
	canaryCall := f.beginCanaryCall(callPlan)
	received, err := f.Send(attemptCtx, *candidate, request)
	response := f.responseOf(ctx, request, received, err, candidate.Proxy)
	f.recordOutcome(callPlan, candidate, response, sentAt)
	f.endCanaryCall(canaryCall, response)
	return response
}

// responseOf returns the response to a request from the results of Send, and records whether the proxy was reached. ctx
// is the context of the call, not of the attempt. With NoAttemptTimeout, an attempt that ends at the call's deadline
// means a slow worker, not an unreachable proxy.
func (f *Forwarder) responseOf(
	ctx context.Context, request *schema.ForwardRequest, response *schema.ForwardResponse, err error, proxy string,
) *schema.ForwardResponse {
	if err == nil {
		f.Outliers.MarkReachable(proxy)
		// A response to another request, or one that is not valid, proves nothing about this request.
		if !isIntact(request, response) || !isValid(response) {
			return outcomeUnknown(errs.InvalidResponse)
		}
		return response
	}
	if f.NoAttemptTimeout && ctx.Err() != nil {
		return outcomeUnknown(contextErrorCode(ctx))
	}
	f.Outliers.MarkUnreachable(proxy, f.Now())
	if errs.CodeOf(err) == errs.PeerConnectFailed {
		return notExecuted(errs.PeerConnectFailed, 0)
	}
	return outcomeUnknown(errs.PeerConnectionLost)
}

// recordOutcome records the result of an attempt with the outlier detector.
func (f *Forwarder) recordOutcome(callPlan *plan.Plan, endpoint *plan.Endpoint, response *schema.ForwardResponse, sentAt time.Duration) {
	if isCanceled(response) {
		f.Outliers.CancelCall(endpoint.Instance)
		return
	}
	// The worker is deregistered or draining, and the directory does not show that yet. It is tried last while it is
	// listed.
	if response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		if refusal := errs.Code(response.ErrorCode); refusal == errs.WrongInstance || refusal == errs.WorkerDraining {
			f.Outliers.MarkRetired(endpoint.Instance)
		}
	}
	endedAt := f.Now()
	f.Outliers.RecordResponse(endpoint.Instance, endedAt, endedAt-sentAt, response)
	f.Outliers.RecordOffer(endpoint.Instance, callPlan.Route.Name, endedAt, response)
}

// beginCanaryCall records that a call to a service with guarded versions begins. It returns nil for other services.
func (f *Forwarder) beginCanaryCall(callPlan *plan.Plan) *CanaryCall {
	if len(f.View().Config.GuardedVersions[callPlan.Service]) == 0 {
		return nil
	}
	return f.Canaries.Begin(callPlan.Service, callPlan.Verdict.Version, f.Now())
}

// endCanaryCall records the result of an attempt for its version. If canaryCall is nil, it does nothing. A run whose
// caller disconnected is discarded. A request that is proved not to have run does not count as a failure of the version,
// although isFailure reports it as one.
func (f *Forwarder) endCanaryCall(canaryCall *CanaryCall, response *schema.ForwardResponse) {
	switch {
	case canaryCall == nil:
	case isCanceled(response):
		f.Canaries.Discard(canaryCall)
	default:
		failed := response.Outcome == schema.CallOutcome_CALL_OUTCOME_UNKNOWN || response.Status >= minFailureStatus
		f.Canaries.End(canaryCall, f.Now(), failed)
	}
}
