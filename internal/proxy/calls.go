package proxy

import (
	"context"
	"net"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// outcomeNotExecuted is the outcome name of a request that was rejected before it was sent to a worker.
var outcomeNotExecuted = dispatch.OutcomeName(schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED)

// openCallerListeners opens one listener for each caller. callers maps caller names to addresses. It fails with
// errs.InvalidOptions; listeners opened before the failure stay open.
func (s *Server) openCallerListeners(callers map[string]string) ([]*callerListener, error) {
	var listeners []*callerListener
	for caller, address := range callers {
		opened, err := s.openCallerListener(caller, address)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, opened)
	}
	return listeners, nil
}

// openCallerListener opens the listener of one caller and starts to accept connections. The listener, never a header,
// identifies the caller. It fails with errs.InvalidOptions if the address cannot be listened on.
func (s *Server) openCallerListener(caller, address string) (*callerListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, "open listener of caller "+caller+" at "+address)
	}
	opened := newCallerListener(listener, int(s.initialOptions.CallersMost), s.initialOptions.BodyMost, s.draining, s.requestLimits)
	opened.onWritten = s.uplink.RecordWrite
	opened.disconnects = &s.disconnects
	opened.writeError = func(header *RequestHeader, err error, response *Response) {
		s.writeError(header, err, outcomeNotExecuted, response)
	}
	opened.handle = func(ctx context.Context, header *RequestHeader, body []byte, receivedAt time.Time, response *Response) {
		s.serveCall(ctx, caller, header, body, receivedAt, response)
	}
	go opened.acceptLoop()
	return opened, nil
}

// requestLimits returns the limits of a request from the configuration in use.
func (s *Server) requestLimits() requestLimits {
	configured := &s.view().Config.Limits
	return requestLimits{
		maxHeaderBytes: configured.MaxHeaderBytes,
		maxBodyBytes:   int(min(configured.MaxBodyBytes, s.initialOptions.BodyMost)),
		headerTimeout:  configured.HeaderTimeout,
		idleTimeout:    configured.IdleTimeout,
	}
}

// serveCall serves one call on the goroutine of its connection and fills response. ctx ends when the caller disconnects.
// receivedAt is the time at which the first byte of the request was read.
func (s *Server) serveCall(
	ctx context.Context,
	caller string,
	header *RequestHeader,
	body []byte,
	receivedAt time.Time,
	response *Response,
) {
	call, err := s.newCall(caller, header, body)
	if err != nil {
		s.writeError(header, err, outcomeNotExecuted, response)
		return
	}
	s.boundCallerDeadline(call, receivedAt)
	s.recordArrival()
	inFlight := s.callsInFlight.Add(1)
	defer s.callsInFlight.Add(-1)
	if inFlight > s.currentOptions().Buffer {
		s.writeError(header, errs.New(errs.QueueFull, "too many calls in flight"), outcomeNotExecuted, response)
		return
	}
	startedAt := time.Now()
	result := s.forwarder.Forward(ctx, call)
	if result.Plan != nil {
		response.deadline = startedAt.Add(result.Plan.Deadline)
	}
	s.writeResult(header, result, response)
}

// boundCallerDeadline reduces the caller's deadline by the time taken to read the request, and limits it by the shutdown
// of this proxy. A deadline of 0 means none; it stays 0 unless a shutdown limits it.
func (s *Server) boundCallerDeadline(call *dispatch.Call, receivedAt time.Time) {
	requested := call.Request.CallerDeadline
	if requested > 0 {
		requested = max(1, requested-time.Since(receivedAt))
	}
	shutdownDeadline := time.Duration(s.shutdownDeadline.Load())
	call.Request.CallerDeadline = boundDeadline(requested, shutdownDeadline, s.now(), time.Duration(s.initialOptions.Drain))
}

// newCall builds a call from a request. It fails if the caller codec rejects the request.
func (s *Server) newCall(caller string, header *RequestHeader, body []byte) (*dispatch.Call, error) {
	call := &dispatch.Call{Target: header.Target, Body: body}
	header.selectForwarded(func(name string) bool { return s.extensions.workerCodec.PassesHeader([]byte(name), false) })
	for _, field := range header.forwarded {
		call.HeaderBlock = dispatch.AppendField(call.HeaderBlock, field.Name, field.Value)
	}
	call.Request = plan.Request{
		Caller: caller,
		Method: header.Method,
		Path:   header.Path,
		Host:   header.Host,
		Header: header.forwardedValue,
	}
	if err := s.extensions.callerCodec.ReadRequest(header, call); err != nil {
		return nil, err
	}
	return call, nil
}

// writeResult fills the response from the result of a call.
func (s *Server) writeResult(header *RequestHeader, result *dispatch.CallResult, response *Response) {
	if result.Err != nil {
		outcome := outcomeNotExecuted
		if result.Response != nil {
			outcome = dispatch.OutcomeName(result.Response.Outcome)
		}
		retryAfter := s.retryAfter(result.Err)
		// A proxy that rejected the call for lack of capacity supplied its own estimate of when capacity is free again.
		if overloadRetryAfter := time.Duration(result.Response.GetRetryAfterNanos()); overloadRetryAfter > 0 {
			retryAfter = overloadRetryAfter
		}
		s.extensions.callerCodec.WriteError(header, result.Err, outcome, retryAfter, response)
	} else {
		response.Status, response.Body = int(result.Response.Status), result.Response.Body
		response.headerBlock = append(response.headerBlock, result.Response.HeaderBlock...)
	}
	s.extensions.callerCodec.AddMetadata(result, response)
}

// writeError fills the error response to a request that was rejected before it was forwarded. The response tells when to
// retry if a retry may succeed.
func (s *Server) writeError(header *RequestHeader, err error, outcome string, response *Response) {
	s.extensions.callerCodec.WriteError(header, err, outcome, s.retryAfter(err), response)
}
