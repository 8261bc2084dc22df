package dispatch

import (
	"context"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// capacityCheckGain is how many times its own size a capacity check must be likely to save.
const capacityCheckGain = 2

// refusalAfterRefusal is the probability of a refusal that is assumed once another worker has refused the call.
const refusalAfterRefusal = 0.5

// checkCapacity asks a worker in another zone whether it has capacity before a body is sent there that would
// likely be refused. It returns the refusal, or nil if the request is to be sent.
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
		// Nothing that could run was sent.
		f.Outliers.MarkUnreachable(endpoint.Proxy, f.Now())
		return notExecuted(errs.PeerConnectFailed, 0)
	case response.Request != request.Request || response.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || response.ErrorCode == "":
		return nil
	}
	f.Outliers.MarkReachable(endpoint.Proxy)
	return response
}

// newCapacityCheck returns a request without its body and headers. It keeps the checksum of the body, so that a
// proxy that does not know capacity checks takes it for a request that lost its body, and refuses it.
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

// worthChecking reports whether the bytes of the body that a check is expected to save outweigh its own.
func (f *Forwarder) worthChecking(endpoint *plan.Endpoint, request, capacityCheck *schema.ForwardRequest, refusedBefore bool) bool {
	refusalProbability := f.Outliers.RefusalRate(endpoint.Instance)
	if refusedBefore {
		refusalProbability = max(refusalProbability, refusalAfterRefusal)
	}
	return refusalProbability*float64(len(request.Body)) >= capacityCheckGain*float64(proto.Size(capacityCheck))
}
