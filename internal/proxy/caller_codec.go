package proxy

import (
	"encoding/json"
	"strconv"
	"time"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
)

// CallerCodec is the dialect of HTTP between callers and their proxy: it reads and writes what accompanies a
// request and its response, and decides nothing. Several goroutines call it at the same time.
type CallerCodec interface {
	// ReadRequest reads from the header what the request asks for beside its method, target, fields and body, into
	// call. An error rejects the request as one that cannot be understood.
	ReadRequest(header *RequestHeader, call *dispatch.Call) error
	// AddMetadata adds what the proxy has to say to a worker's response or to a rejection.
	AddMetadata(result *dispatch.CallResult, response *Response)
	// WriteError fills the final response to a request that no worker answered. outcome is the name of the call's
	// outcome; retryAfter is the time after which the caller may try again, 0 if it says nothing of that. If
	// the request could not be read, header holds the part that was.
	WriteError(header *RequestHeader, err error, outcome string, retryAfter time.Duration, response *Response)
}

// nativeCallerCodec is the mesh's own dialect: errors as JSON, and the decision in header fields.
type nativeCallerCodec struct{}

// ReadRequest reads the idempotency key and the caller's deadline (in milliseconds).
func (nativeCallerCodec) ReadRequest(header *RequestHeader, call *dispatch.Call) error {
	call.Request.IdempotencyKey, call.Request.HasIdempotencyKey = header.Get("Idempotency-Key")
	text, _ := header.Get(dispatch.HeaderDeadline)
	if milliseconds, err := strconv.ParseInt(text, 10, 32); err == nil && milliseconds > 0 {
		call.Request.CallerDeadline = time.Duration(milliseconds) * time.Millisecond
	}
	return nil
}

// AddMetadata adds the request's id, its outcome, and how the call was decided.
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

// WriteError answers with a JSON object.
func (nativeCallerCodec) WriteError(_ *RequestHeader, err error, outcome string, retryAfter time.Duration, response *Response) {
	status, errorResponse := daemon.NewErrorResponse(err, outcome, nil)
	response.Status = status
	response.Body, _ = json.Marshal(errorResponse) // plain strings and numbers: it cannot fail
	response.AddHeader("Content-Type", "application/json")
	if retryAfter > 0 {
		response.AddHeader("Retry-After", strconv.FormatInt(max(1, ceilSeconds(retryAfter)), 10))
	}
}

// ceilSeconds rounds a duration up to whole seconds, the unit of Retry-After: a caller that comes back too early is
// only rejected again.
func ceilSeconds(duration time.Duration) int64 {
	return int64((duration + time.Second - 1) / time.Second)
}
