package proxy

import (
	"context"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

// sendAttempt sends one attempt of a call to the proxy of the endpoint. If that is this proxy, the runner is called
// directly.
func (s *Server) sendAttempt(ctx context.Context, endpoint plan.Endpoint, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	if endpoint.Proxy == s.initialOptions.Name {
		return s.runner.Run(ctx, s.localPeer, request), nil
	}
	return schema.NewDRPCHopClient(s.transport.Conn(ctx, endpoint.Address)).Run(ctx, request)
}

// Run serves the peer RPC: a call that another proxy forwards to a local worker. ctx ends when the other proxy cancels
// the call or the connection to it ends. A rejection is part of the response, so the error is always nil.
func (s *Server) Run(ctx context.Context, request *schema.ForwardRequest) (*schema.ForwardResponse, error) {
	s.recordArrival()
	inFlight := s.peerCallsInFlight.Add(1)
	defer s.peerCallsInFlight.Add(-1)
	switch {
	case inFlight > s.currentOptions().Buffer:
		return notExecutedResponse(request, errs.QueueFull), nil
	case s.rejectsPeerCalls.Load():
		return notExecutedResponse(request, errs.ProxyDraining), nil
	}
	return s.runner.Run(ctx, transport.PeerFromContext(ctx), request), nil
}

// notExecutedResponse returns the rejection of a call that reached no worker. The other proxy may send such a call to
// another endpoint.
func notExecutedResponse(request *schema.ForwardRequest, code errs.Code) *schema.ForwardResponse {
	return &schema.ForwardResponse{
		Request:   request.Request,
		Outcome:   schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED,
		ErrorCode: string(code),
	}
}
