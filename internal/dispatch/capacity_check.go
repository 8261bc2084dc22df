package dispatch

import (
	"context"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// capacityCheckGain is how many times what an enquiry takes must be likely to be spared by it.
const capacityCheckGain = 2

// checkCapacity asks whether there is room at a worker in another zone before a body is sent there that is
// likely to be refused: what is turned away need not have travelled. Nil: it is to be sent.
func (f *Forwarder) checkCapacity(ctx context.Context, request *schema.ForwardRequest, endpoint *plan.Endpoint, refusedBefore bool) *schema.ForwardResponse {
	if endpoint.Zone == f.PlanOptions.Zone || len(request.Body) == 0 {
		return nil
	}
	refusalProbability := f.Outliers.RefusalRate(endpoint.Instance)
	// Whom another has just turned away is as likely as not to be turned away here.
	if refusedBefore {
		refusalProbability = max(refusalProbability, 0.5)
	}
	// A proxy that knows no enquiries takes this for a request that lost its body, and refuses it.
	capacityCheck := &schema.ForwardRequest{Request: request.Request, Caller: request.Caller, Service: request.Service, Version: request.Version, Instance: request.Instance,
		Checksum: request.Checksum, TimeLeftNanos: request.TimeLeftNanos, Route: request.Route, Priority: request.Priority, LatencyTargetNanos: request.LatencyTargetNanos, AdmissionOnly: true}
	if refusalProbability*float64(len(request.Body)) < capacityCheckGain*float64(proto.Size(capacityCheck)) {
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
