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

// Where nothing else reveals a proxy that hangs, an attempt of an idempotent call may take the larger of
// 1/attemptTimeDivisor of the time left and all of it but reservedServiceTimes times the worker's service time.
const (
	attemptTimeDivisor   = 2
	reservedServiceTimes = 2
)

// isIntact reports whether a response belongs to the request and has arrived as it was sent.
func isIntact(request *schema.ForwardRequest, response *schema.ForwardResponse) bool {
	return response.Request == request.Request &&
		uint64(len(response.Body)) == response.Length &&
		crc32.ChecksumIEEE(response.Body) == response.Checksum
}

// remainingTarget returns the nanoseconds left until the call's latency target, -1 if it has passed, and 0 if the
// call has none.
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

// newAttemptRequest returns the request of one attempt of a call, which is named by the call and the attempt's number.
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

// attemptContext bounds an attempt of an idempotent call, so that time for a retry is left should the proxy hang:
// as much as the worker takes, for a run that is broken off is lost.
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

// sendAttempt sends the call to a candidate and records what that says of its worker, proxy and version.
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
	// The capacity check may have waited for the worker's admission.
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

// responseOf turns what came back of a request into a response, and records whether the proxy was reached. An
// attempt without a timeout of its own that ran into the call's deadline met a slow worker, not a lost proxy.
func (f *Forwarder) responseOf(
	ctx context.Context, request *schema.ForwardRequest, response *schema.ForwardResponse, err error, proxy string,
) *schema.ForwardResponse {
	if err == nil {
		f.Outliers.MarkReachable(proxy)
		// A response that belongs to another request, or has not arrived intact, is none.
		if !isIntact(request, response) {
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

// recordOutcome records what an attempt says of the worker.
func (f *Forwarder) recordOutcome(callPlan *plan.Plan, endpoint *plan.Endpoint, response *schema.ForwardResponse, sentAt time.Duration) {
	if isCanceled(response) {
		f.Outliers.CancelCall(endpoint.Instance)
		return
	}
	// The directory lags: the worker is deregistered or draining, and is not tried again while it is still listed.
	if response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		if refusal := errs.Code(response.ErrorCode); refusal == errs.WrongInstance || refusal == errs.WorkerDraining {
			f.Outliers.MarkDisowned(endpoint.Instance)
		}
	}
	endedAt := f.Now()
	f.Outliers.RecordResponse(endpoint.Instance, endedAt, endedAt-sentAt, response)
	f.Outliers.RecordOffer(endpoint.Instance, callPlan.Route.Name, endedAt, response)
}

// beginCanaryCall records a call to a service with a version in canary. It returns nil for other services.
func (f *Forwarder) beginCanaryCall(callPlan *plan.Plan) *CanaryCall {
	if len(f.View().Config.GuardedVersions[callPlan.Service]) == 0 {
		return nil
	}
	return f.Canaries.Begin(callPlan.Service, callPlan.Verdict.Version, f.Now())
}

// endCanaryCall records what an attempt says of its version. A request that is proved not to have run says nothing
// of it, nor does a run whose caller disconnected. Unlike isFailure it counts the former as no failure.
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
