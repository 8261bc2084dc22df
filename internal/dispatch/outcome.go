package dispatch

import (
	"context"
	"errors"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// minFailureStatus is the lowest HTTP status that counts as a worker's failure.
const minFailureStatus = 500

// outcomeNames are the outcomes as callers and operators see them.
var outcomeNames = map[schema.CallOutcome]string{
	schema.CallOutcome_CALL_OUTCOME_ANSWERED:     "answered",
	schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED: "not-run",
	schema.CallOutcome_CALL_OUTCOME_UNKNOWN:      "unknown",
}

// OutcomeName returns the name of an outcome as callers see it, empty for no known outcome.
func OutcomeName(ending schema.CallOutcome) string { return outcomeNames[ending] }

// notExecuted returns a refusal, which proves that nothing ran. A configRevision other than 0 tells the other side
// by which configuration it was refused.
func notExecuted(code errs.Code, configRevision uint64) *schema.ForwardResponse {
	return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(code), Revision: configRevision}
}

// outcomeUnknown returns the response to a request that may have run.
func outcomeUnknown(code errs.Code) *schema.ForwardResponse {
	return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_UNKNOWN, ErrorCode: string(code)}
}

// withReachedWorker records in a refusal that it is the worker's own, so that it counts as an attempt there.
func withReachedWorker(response *schema.ForwardResponse) *schema.ForwardResponse {
	response.ReachedWorker = true
	return response
}

// isFailure reports whether a request did not succeed: it was not answered, or with a failure status.
func isFailure(response *schema.ForwardResponse) bool {
	return response.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || response.Status >= minFailureStatus
}

// isCanceled reports whether an attempt ended because its caller disconnected. That says nothing of the worker,
// of the version that runs there, or of the network.
func isCanceled(response *schema.ForwardResponse) bool {
	return errs.Code(response.ErrorCode) == errs.CallerDisconnected
}

// isCapacityRefusal reports whether a call was refused for lack of capacity or time by the worker or its proxy.
func isCapacityRefusal(response *schema.ForwardResponse) bool {
	code := errs.Code(response.ErrorCode)
	return response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && (code == errs.QueueFull || code == errs.DeadlineExceeded)
}

// contextErrorCode returns why a call's context has ended: its deadline has passed, or its caller, or the proxy
// that received the call, has disconnected.
func contextErrorCode(ctx context.Context) errs.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errs.CallerDisconnected
	}
	return errs.DeadlineExceeded
}
