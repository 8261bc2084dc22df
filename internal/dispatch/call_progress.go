package dispatch

import (
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// callProgress is what the attempts of one call have come to so far. It belongs to the goroutine of the call.
//
// lastResponse decides how the call ends if no further attempt is made. It starts as "not executed" and moves
// only one way: a refusal replaces a refusal, an unknown outcome or a failure response replaces a refusal, and
// nothing turns either of these back into "not executed", because a worker may have run the request by then.
type callProgress struct {
	lastResponse  *schema.ForwardResponse
	excluded      map[string]bool // instances that get no further attempt of this call; nil until the first
	fullEndpoints int             // endpoints that refused and reported when they expect to have capacity
	retryAfter    int64           // the soonest of these times, in nanoseconds from now; 0 for not reported
	prepaid       bool            // the retry budget has been charged for the next attempt already
}

// endWith returns the response with which the call ends if it ends now for the reason given by code. The code
// counts only while it is proved that nothing ran.
func (p *callProgress) endWith(code errs.Code) *schema.ForwardResponse {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		p.lastResponse = notExecuted(code, 0)
	}
	return p.lastWithRetryAfter()
}

// hasAnswer reports whether a worker has answered, which at this point means: with a failure.
func (p *callProgress) hasAnswer() bool {
	return p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED
}

// lastWithRetryAfter returns the response with which the call ends after its last attempt. A refusal carries the
// soonest time at which any endpoint expects to have capacity.
func (p *callProgress) lastWithRetryAfter() *schema.ForwardResponse {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && p.retryAfter > 0 {
		p.lastResponse.RetryAfterNanos = p.retryAfter
	}
	return p.lastResponse
}

// exclude keeps further attempts of this call away from an instance.
func (p *callProgress) exclude(instance string) {
	if p.excluded == nil {
		p.excluded = map[string]bool{}
	}
	p.excluded[instance] = true
}

// recordRefusal records a response that proves that nothing ran.
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
