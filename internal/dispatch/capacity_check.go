package dispatch

import (
	"context"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// capacityCheckGain is the expected number of body bytes that a capacity check must save, as a multiple of its own
// size.
const capacityCheckGain = 2

// refusalAfterRefusal is the least probability of a refusal that is assumed once another worker has refused the call.
const refusalAfterRefusal = 0.5

// checkCapacity checks whether a worker in another zone has capacity before a body is sent there that would likely be
// refused. It returns the refusal, or nil if the request is to be sent. refusedBefore reports whether another worker
// has refused the call for lack of capacity.
func (f *Forwarder) checkCapacity(
	ctx context.Context, request *schema.ForwardRequest, endpoint *plan.Endpoint, refusedBefore bool,
) *schema.ForwardResponse {
	if endpoint.Zone == f.PlanOptions.Zone || len(request.Body) == 0 {
		return nil
	}
	capacityCheck := newCapacityCheck(request)
	if !f.worthChecking(endpoint, request, capacityCheck, refusedBefore) {
		return nil
	}
	response, err := f.Send(ctx, *endpoint, capacityCheck)
	switch {
	case err != nil && f.NoAttemptTimeout && ctx.Err() != nil:
		return notExecuted(contextErrorCode(ctx), 0)
	case err != nil:
		// The capacity check itself runs nothing, so nothing can have run.
		f.Outliers.MarkUnreachable(endpoint.Proxy, f.Now())
		return notExecuted(errs.PeerConnectFailed, 0)
	// The check was admitted, or its response is invalid. In both cases the request itself is sent.
	case response.Request != request.Request || response.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || response.ErrorCode == "":
		return nil
	}
	f.Outliers.MarkReachable(endpoint.Proxy)
	return response
}

// newCapacityCheck returns the capacity check for a request. It has only the fields that the worker's proxy needs to
// admit the request, and neither body nor headers. It keeps the checksum of the body, so that a proxy that does not know
// capacity checks refuses it as a request that lost its body.
func newCapacityCheck(request *schema.ForwardRequest) *schema.ForwardRequest {
	return &schema.ForwardRequest{
		Request:            request.Request,
		Caller:             request.Caller,
		Service:            request.Service,
		Version:            request.Version,
		Instance:           request.Instance,
		Checksum:           request.Checksum,
		TimeLeftNanos:      request.TimeLeftNanos,
		Route:              request.Route,
		Priority:           request.Priority,
		LatencyTargetNanos: request.LatencyTargetNanos,
		AdmissionOnly:      true,
	}
}

// worthChecking reports whether the body bytes that a capacity check is expected to save are at least capacityCheckGain
// times its own size.
func (f *Forwarder) worthChecking(endpoint *plan.Endpoint, request, capacityCheck *schema.ForwardRequest, refusedBefore bool) bool {
	refusalProbability := f.Outliers.RefusalRate(endpoint.Instance)
	if refusedBefore {
		refusalProbability = max(refusalProbability, refusalAfterRefusal)
	}
	return refusalProbability*float64(len(request.Body)) >= capacityCheckGain*float64(proto.Size(capacityCheck))
}
