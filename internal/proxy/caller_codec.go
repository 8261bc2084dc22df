package proxy

import (
	"encoding/json"
	"strconv"
	"time"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
)

// CallerCodec is the wire format of call metadata between callers and their proxy. It reads the metadata of a request
// and writes the metadata of a response; it makes no routing decision. Implementations must be safe for concurrent use.
type CallerCodec interface {
	// ReadRequest reads call metadata, such as the deadline and the idempotency key, from header into call. An error
	// rejects the request.
	ReadRequest(header *RequestHeader, call *dispatch.Call) error
	// AddMetadata adds the metadata of the call to the response, which is a worker's response or an error response.
	AddMetadata(result *dispatch.CallResult, response *Response)
	// WriteError writes the error response to a request that no worker answered. outcome is the name of the call's
	// outcome. retryAfter is the time after which the caller may retry, 0 if the response gives none. If the request
	// could not be parsed, header holds only the part that was.
	WriteError(header *RequestHeader, err error, outcome string, retryAfter time.Duration, response *Response)
}

// nativeCallerCodec is the mesh's native wire format: errors as JSON, and the routing decision in header fields.
type nativeCallerCodec struct{}

// ReadRequest reads the idempotency key and the caller's deadline in milliseconds. An invalid deadline is ignored.
func (nativeCallerCodec) ReadRequest(header *RequestHeader, call *dispatch.Call) error {
	call.Request.IdempotencyKey, call.Request.HasIdempotencyKey = header.Get("Idempotency-Key")
	text, _ := header.Get(dispatch.HeaderDeadline)
	if milliseconds, err := strconv.ParseInt(text, 10, 32); err == nil && milliseconds > 0 {
		call.Request.CallerDeadline = time.Duration(milliseconds) * time.Millisecond
	}
	return nil
}

// AddMetadata adds the request ID, the outcome, the routing decision and the number of attempts.
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

// WriteError writes err as a JSON object, and a Retry-After field if retryAfter is positive.
func (nativeCallerCodec) WriteError(_ *RequestHeader, err error, outcome string, retryAfter time.Duration, response *Response) {
	status, errorResponse := daemon.NewErrorResponse(err, outcome, nil)
	response.Status = status
	response.Body, _ = json.Marshal(errorResponse) // cannot fail: the fields are strings and numbers
	response.AddHeader("Content-Type", "application/json")
	if retryAfter > 0 {
		response.AddHeader("Retry-After", strconv.FormatInt(max(1, ceilSeconds(retryAfter)), 10))
	}
}

// ceilSeconds rounds a duration up to whole seconds, the unit of Retry-After. Rounding down would make callers retry too
// early, only to be rejected again.
func ceilSeconds(duration time.Duration) int64 {
	return int64((duration + time.Second - 1) / time.Second)
}
