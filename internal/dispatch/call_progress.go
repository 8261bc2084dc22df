package dispatch

import (
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// callProgress is one call's way through its candidates.
type callProgress struct {
	lastResponse  *schema.ForwardResponse // how it ended last; once unknown, it stays that
	excluded      map[string]bool         // instances not to be tried again
	fullEndpoints int                     // how many told when they will have room
	retryAfter    int64                   // the soonest that any of these has room, 0 for not told
	prepaid       bool                    // the next try is
}

// endWith is how the whole call ends if it ends now: once a dispatch ended unknown, or with a failure
// for an answer, no later refusal may make it "not run".
func (p *callProgress) endWith(kind errs.Code) *schema.ForwardResponse {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		p.lastResponse = notExecuted(kind, 0)
	}
	return p.lastWithRetryAfter()
}

// hasAnswer tells whether a worker has answered, with a failure.
func (p *callProgress) hasAnswer() bool {
	return p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED
}

// lastWithRetryAfter is how the call ends with its last dispatch.
func (p *callProgress) lastWithRetryAfter() *schema.ForwardResponse {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && p.retryAfter > 0 {
		p.lastResponse.RetryAfterNanos = p.retryAfter
	}
	return p.lastResponse
}

func (p *callProgress) exclude(instance string) {
	if p.excluded == nil {
		p.excluded = map[string]bool{}
	}
	p.excluded[instance] = true
}

// recordRefusal notes a refusal that proves that nothing ran.
func (p *callProgress) recordRefusal(response *schema.ForwardResponse) {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		p.lastResponse = response
	}
	if response.RetryAfterNanos <= 0 {
		return
	}
	p.fullEndpoints++
	if p.retryAfter == 0 || response.RetryAfterNanos < p.retryAfter {
		p.retryAfter = response.RetryAfterNanos
	}
}
