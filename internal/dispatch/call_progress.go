package dispatch

import (
	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// callProgress accumulates the results of the attempts of one call. Only the goroutine of the call uses it.
//
// lastResponse is the call's response if no further attempt is made. It starts with the outcome "not executed". A
// refusal replaces only a refusal. An unknown outcome replaces a refusal or another unknown outcome, and a failure
// response replaces either. Neither is ever replaced by "not executed", because a worker may have run the request by
// then.
type callProgress struct {
	lastResponse  *schema.ForwardResponse
	excluded      map[string]bool // instances that get no further attempt of this call; nil until the first is excluded
	fullEndpoints int             // endpoints that refused the call and reported when they expect capacity
	retryAfter    int64           // shortest time after which such an endpoint expects capacity, in nanoseconds; 0 if none
	prepaid       bool            // the retry budget has already been charged for the next attempt
}

// responseWithCode returns the response of a call that ends now for the reason given by code. The code applies only
// while it is proved that nothing ran.
func (p *callProgress) responseWithCode(code errs.Code) *schema.ForwardResponse {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED {
		p.lastResponse = notExecuted(code, 0)
	}
	return p.finalResponse()
}

// hasAnswer reports whether a worker has answered. Any other answer than a failure has ended the call already.
func (p *callProgress) hasAnswer() bool {
	return p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_ANSWERED
}

// finalResponse returns the response of a call that makes no further attempt. A refusal carries the shortest time after
// which any endpoint expects capacity.
func (p *callProgress) finalResponse() *schema.ForwardResponse {
	if p.lastResponse.Outcome == schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED && p.retryAfter > 0 {
		p.lastResponse.RetryAfterNanos = p.retryAfter
	}
	return p.lastResponse
}

// exclude prevents further attempts of this call at an instance.
func (p *callProgress) exclude(instance string) {
	if p.excluded == nil {
		p.excluded = map[string]bool{}
	}
	p.excluded[instance] = true
}

// recordRefusal records a response with the outcome "not executed".
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
