package proxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
)

// CallerSpeech is how callers and the proxy beside them make themselves understood over HTTP:
// it reads and writes what is said beside the request itself, and decides nothing.
type CallerSpeech interface {
	// Take reads what a request asks for beside its method, target, headers and body; an error
	// is a request that cannot be understood, and refuses it.
	Take(call *fasthttp.RequestCtx, taken *dispatch.Call) error
	// Answer says what there is to say beside the worker's answer, or beside a refusal.
	Answer(call *fasthttp.RequestCtx, ended *dispatch.Ended)
	// Refuse gives the final answer to a request that no worker answered: why, what became of
	// it (an outcome's name), and after which time to ask again, 0 for no word of that.
	Refuse(call *fasthttp.RequestCtx, err error, ran string, wait time.Duration)
}

// ownCallers is our own interface: refusals in JSON, and what was decided in headers.
type ownCallers struct{}

// Take reads the idempotency key and the caller's own deadline.
func (ownCallers) Take(call *fasthttp.RequestCtx, taken *dispatch.Call) error {
	taken.Request.Idempotency, taken.Request.Keyed = taken.Request.Header("idempotency-key")
	if asked, err := strconv.ParseInt(string(call.Request.Header.Peek(dispatch.HeaderHorizon)), 10, 32); err == nil && asked > 0 {
		taken.Request.Asked = time.Duration(asked) * time.Millisecond
	}
	return nil
}

// Answer tells the request's id and how it was decided.
func (ownCallers) Answer(call *fasthttp.RequestCtx, ended *dispatch.Ended) {
	call.Response.Header.Set(dispatch.HeaderRequest, ended.ID)
	if ended.Carried != nil {
		call.Response.Header.Set(dispatch.HeaderOutcome, dispatch.OutcomeName(ended.Carried.Ending))
	}
	if ended.Plan != nil {
		call.Response.Header.Set(dispatch.HeaderVersion, ended.Plan.Verdict.Version)
		call.Response.Header.Set(dispatch.HeaderReason, string(ended.Plan.Verdict.Reason))
		call.Response.Header.Set(dispatch.HeaderSetup, strconv.FormatUint(ended.Plan.Verdict.Setup, 10))
		call.Response.Header.Set(dispatch.HeaderTries, strconv.Itoa(ended.Tries))
	}
}

// Refuse answers in JSON.
func (ownCallers) Refuse(call *fasthttp.RequestCtx, err error, ran string, wait time.Duration) {
	daemon.Refuse(call, err, ran, nil)
	if wait > 0 {
		// The header counts in whole seconds, and coming back too early helps nobody.
		seconds := max(1, int64((wait+time.Second-1)/time.Second))
		call.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
}
