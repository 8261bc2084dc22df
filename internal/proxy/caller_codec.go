package proxy

import (
	"encoding/json"
	"strconv"
	"time"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
)

// CallerCodec is how callers and the proxy beside them make themselves understood over HTTP:
// it reads and writes what is said beside the request itself, and decides nothing.
type CallerCodec interface {
	// ReadRequest reads what a request asks for beside its method, target, headers and body; an error
	// is a request that cannot be understood, and refuses it.
	ReadRequest(head *RequestHeader, taken *dispatch.Call) error
	// AddMetadata says what there is to say beside the worker's answer, or beside a refusal.
	AddMetadata(ended *dispatch.CallResult, reply *Response)
	// WriteError gives the final answer to a request that no worker answered: why, what became of
	// it (an outcome's name), and after which time to ask again, 0 for no word of that. Of a
	// request that could not be read, the head holds what there is.
	WriteError(head *RequestHeader, err error, ran string, wait time.Duration, reply *Response)
}

// nativeCallerCodec is our own interface: refusals in JSON, and what was decided in headers.
type nativeCallerCodec struct{}

// ReadRequest reads the idempotency key and the caller's own deadline.
func (nativeCallerCodec) ReadRequest(header *RequestHeader, call *dispatch.Call) error {
	call.Request.IdempotencyKey, call.Request.HasIdempotencyKey = header.Get("Idempotency-Key")
	text, _ := header.Get(dispatch.HeaderDeadline)
	if milliseconds, err := strconv.ParseInt(text, 10, 32); err == nil && milliseconds > 0 {
		call.Request.CallerDeadline = time.Duration(milliseconds) * time.Millisecond
	}
	return nil
}

// AddMetadata tells the request's id and how it was decided.
func (nativeCallerCodec) AddMetadata(result *dispatch.CallResult, response *Response) {
	response.AddHeader(dispatch.HeaderRequest, result.ID)
	if result.Response != nil {
		response.AddHeader(dispatch.HeaderOutcome, dispatch.OutcomeName(result.Response.Outcome))
	}
	if result.Plan != nil {
		response.AddHeader(dispatch.HeaderVersion, result.Plan.Verdict.Version)
		response.AddHeader(dispatch.HeaderReason, string(result.Plan.Verdict.Reason))
		response.AddHeader(dispatch.HeaderConfigRevision, strconv.FormatUint(result.Plan.Verdict.ConfigRevision, 10))
		response.AddHeader(dispatch.HeaderAttempts, strconv.Itoa(result.Attempts))
	}
}

// WriteError answers in JSON.
func (nativeCallerCodec) WriteError(_ *RequestHeader, err error, outcome string, retryAfter time.Duration, response *Response) {
	status, errorResponse := daemon.NewErrorResponse(err, outcome, nil)
	response.Status = status
	response.Body, _ = json.Marshal(errorResponse)
	response.AddHeader("Content-Type", "application/json")
	if retryAfter > 0 {
		// The header counts in whole seconds, and coming back too early helps nobody.
		seconds := max(1, int64((retryAfter+time.Second-1)/time.Second))
		response.AddHeader("Retry-After", strconv.FormatInt(seconds, 10))
	}
}
