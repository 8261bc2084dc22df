package daemon

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
)

// WriteJSON sets the response of a call to a status and a body encoded as JSON, and discards what the response had
// before. If the body cannot be encoded, the response is an INTERNAL error instead.
func WriteJSON(call *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status, encoded = fasthttp.StatusInternalServerError, []byte(`{"defect":"INTERNAL"}`)
	}
	call.Response.Reset()
	call.SetStatusCode(status)
	call.SetContentType("application/json")
	call.SetBody(encoded)
}

// ErrorResponse is the JSON body of every error response to callers, workers and operators.
type ErrorResponse struct {
	Code    errs.Code `json:"defect"`
	Detail  string    `json:"detail,omitempty"`  // text of the error
	Outcome string    `json:"outcome,omitempty"` // execution outcome of the call; empty for a request that is not a call
	Faults  any       `json:"faults,omitempty"`  // validation errors of a configuration change or a worker's description; nil for none
}

// WriteError sets the response of a call to an ErrorResponse with the HTTP status of the error's code. outcome may be
// empty, and faults may be nil.
func WriteError(call *fasthttp.RequestCtx, err error, outcome string, faults any) {
	status, response := NewErrorResponse(err, outcome, faults)
	WriteJSON(call, status, response)
}

// NewErrorResponse returns the HTTP status and the body of the response for an error. outcome may be empty, and faults
// may be nil.
func NewErrorResponse(err error, outcome string, faults any) (int, ErrorResponse) {
	code := errs.CodeOf(err)
	return errs.HTTPStatus(code), ErrorResponse{Code: code, Detail: err.Error(), Outcome: outcome, Faults: faults}
}
