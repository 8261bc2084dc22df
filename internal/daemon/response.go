package daemon

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
)

// WriteJSON writes a body as JSON in place of whatever the response had. A body that cannot be encoded gives an
// INTERNAL error instead.
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

// ErrorResponse is the JSON body of every error response, to callers, workers and operators.
type ErrorResponse struct {
	Code    errs.Code `json:"defect"`
	Detail  string    `json:"detail,omitempty"`
	Outcome string    `json:"outcome,omitempty"` // of a call: whether it was executed
	Faults  any       `json:"faults,omitempty"`  // of a configuration change: what is wrong with it
}

// WriteError writes an ErrorResponse with the HTTP status of the error's code. outcome may be empty, faults nil.
func WriteError(call *fasthttp.RequestCtx, err error, outcome string, faults any) {
	status, response := NewErrorResponse(err, outcome, faults)
	WriteJSON(call, status, response)
}

// NewErrorResponse gives the HTTP status and the body of an error response.
func NewErrorResponse(err error, outcome string, faults any) (int, ErrorResponse) {
	code := errs.CodeOf(err)
	return errs.HTTPStatus(code), ErrorResponse{Code: code, Detail: err.Error(), Outcome: outcome, Faults: faults}
}
