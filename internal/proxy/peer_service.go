package proxy

import (
	"context"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// sendAttempt sends an attempt of a call to the proxy beside the worker, in process if that is this one.
func (s *Server) sendAttempt(ctx context.Context, endpoint plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	if endpoint.Proxy == s.initialOptions.Name {
		return s.runner.Run(ctx, s.localPeer, request), nil
	}
	return schema.NewDRPCHopClient(s.transport.Conn(ctx, endpoint.Address)).Run(ctx, request)
}

// Run serves the peer RPC: a call that another proxy forwards to a worker beside this one. ctx ends when the other
// proxy cancels the call or its connection ends.
func (s *Server) Run(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	s.recordArrival()
	inFlight := s.peerCallsInFlight.Add(1)
	defer s.peerCallsInFlight.Add(-1)
	switch {
	case inFlight > s.currentOptions().Buffer:
		return rejectedUnexecuted(request, errs.QueueFull), nil
	case s.rejectsPeerCalls.Load():
		return rejectedUnexecuted(request, errs.ProxyDraining), nil
	}
	return s.runner.Run(ctx, transport.PeerFromContext(ctx), request), nil
}

// rejectedUnexecuted rejects a call that no worker has seen, so that the other proxy may send it elsewhere.
func rejectedUnexecuted(request *schema.ForwardRequest, code errs.Code) *schema.ForwardResponse {
	return &schema.ForwardResponse{
		Request:   request.Request,
		Outcome:   schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED,
		ErrorCode: string(code),
	}
}
