package dispatch

import (
	"context"
	"errors"

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// minFailureStatus is the lowest HTTP status that counts as a failure of the worker.
const minFailureStatus = 500

// outcomeNames are the names of the outcomes that callers and operators see.
var outcomeNames = map[schema.CallOutcome]string{
	schema.CallOutcome_CALL_OUTCOME_ANSWERED:     "answered",
	schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED: "not-run",
	schema.CallOutcome_CALL_OUTCOME_UNKNOWN:      "unknown",
}

// OutcomeName returns the name of an outcome as callers see it. It is empty for an outcome that is not known.
func OutcomeName(outcome schema.CallOutcome) string { return outcomeNames[outcome] }

// notExecuted returns a refusal, which proves that nothing ran. configRevision is the revision of the configuration that
// the request was refused under; 0 if the refusal reports none.
func notExecuted(code errs.Code, configRevision uint64) *schema.ForwardResponse {
	return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, ErrorCode: string(code), Revision: configRevision}
}

// outcomeUnknown returns the response to a request that may or may not have run.
func outcomeUnknown(code errs.Code) *schema.ForwardResponse {
	return &schema.ForwardResponse{Outcome: schema.CallOutcome_CALL_OUTCOME_UNKNOWN, ErrorCode: string(code)}
}

// markReachedWorker marks a refusal as the worker's own, so that it counts as an attempt that reached a worker.
func markReachedWorker(response *schema.ForwardResponse) *schema.ForwardResponse {
	response.ReachedWorker = true
	return response
}

// isFailure reports whether a request did not succeed: it was not answered, or was answered with a failure status.
func isFailure(response *schema.ForwardResponse) bool {
	return response.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || response.Status >= minFailureStatus
}

// isCanceled reports whether an attempt ended because its caller disconnected. Such an attempt says nothing about the
// health of the worker, of its version or of the network.
func isCanceled(response *schema.ForwardResponse) bool {
	return errs.Code(response.ErrorCode) == errs.CallerDisconnected
}

// isCapacityRefusal reports whether the worker or its proxy refused a call for lack of capacity, or because the call's
// deadline passed before it could run.
func isCapacityRefusal(response *schema.ForwardResponse) bool {
	code := errs.Code(response.ErrorCode)
	return response.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && (code == errs.QueueFull || code == errs.DeadlineExceeded)
}

// contextErrorCode returns the code for a call whose context has ended: errs.CallerDisconnected if the caller, or the
// proxy that received the call, has disconnected, and errs.DeadlineExceeded otherwise.
func contextErrorCode(ctx context.Context) errs.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errs.CallerDisconnected
	}
	return errs.DeadlineExceeded
}
