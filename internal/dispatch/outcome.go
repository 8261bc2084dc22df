package dispatch

import (
	"context"
	"errors"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

func notExecuted(code errs.Code, configRevision uint64) *schema.ForwardResponse {
	return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(code), Revision: configRevision}
}

func outcomeUnknown(code errs.Code) *schema.ForwardResponse {
	return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_UNKNOWN, ErrorCode: string(code)}
}

// outcomeNames are the outcomes as callers and operators see them.
var outcomeNames = map[schema.CallOutcome]string{
	schema.CallOutcome_CALL_OUTCOME_ANSWERED:     "answered",
	schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED: "not-run",
	schema.CallOutcome_CALL_OUTCOME_UNKNOWN:      "unknown",
}

// OutcomeName is an outcome as callers see it.
func OutcomeName(ending schema.CallOutcome) string { return outcomeNames[ending] }

// withReachedWorker says of a refusal that it is a worker's own: the request came to it all the same.
func withReachedWorker(response *schema.ForwardResponse) *schema.ForwardResponse {
	response.ReachedWorker = true
	return response
}

// contextErrorCode names why a call's context has ended: its time is over, or its caller, or the proxy that took
// the call, has left.
func contextErrorCode(ctx context.Context) errs.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errs.CallerDisconnected
	}
	return errs.DeadlineExceeded
}

// isCanceled tells whether a dispatch ended because nobody waits for it any more. That says nothing of
// its worker, of the version that runs there, or of the link.
func isCanceled(response *schema.ForwardResponse) bool {
	return errs.Code(response.ErrorCode) == errs.CallerDisconnected
}

// isCapacityRefusal tells whether a call was refused for want of room or time, by who knows the worker best.
func isCapacityRefusal(response *schema.ForwardResponse) bool {
	code := errs.Code(response.ErrorCode)
	return response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && (code == errs.QueueFull || code == errs.DeadlineExceeded)
}
