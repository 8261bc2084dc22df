package proxy

import (
	"encoding/json"
	"strconv"
	"time"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
)

// CallerSpeech is how callers and the proxy beside them make themselves understood over HTTP:
// it reads and writes what is said beside the request itself, and decides nothing.
type CallerSpeech interface {
	// Take reads what a request asks for beside its method, target, headers and body; an error
	// is a request that cannot be understood, and refuses it.
	Take(head *Head, taken *dispatch.Call) error
	// Answer says what there is to say beside the worker's answer, or beside a refusal.
	Answer(ended *dispatch.Ended, reply *Reply)
	// Refuse gives the final answer to a request that no worker answered: why, what became of
	// it (an outcome's name), and after which time to ask again, 0 for no word of that. Of a
	// request that could not be read, the head holds what there is.
	Refuse(head *Head, err error, ran string, wait time.Duration, reply *Reply)
}

// ownCallers is our own interface: refusals in JSON, and what was decided in headers.
type ownCallers struct{}

// Take reads the idempotency key and the caller's own deadline.
func (ownCallers) Take(head *Head, taken *dispatch.Call) error {
	taken.Request.Idempotency, taken.Request.Keyed = head.Get("Idempotency-Key")
	text, _ := head.Get(dispatch.HeaderHorizon)
	if asked, err := strconv.ParseInt(text, 10, 32); err == nil && asked > 0 {
		taken.Request.Asked = time.Duration(asked) * time.Millisecond
	}
	return nil
}

// Answer tells the request's id and how it was decided.
func (ownCallers) Answer(ended *dispatch.Ended, reply *Reply) {
	reply.Add(dispatch.HeaderRequest, ended.ID)
	if ended.Carried != nil {
		reply.Add(dispatch.HeaderOutcome, dispatch.OutcomeName(ended.Carried.Ending))
	}
	if ended.Plan != nil {
		reply.Add(dispatch.HeaderVersion, ended.Plan.Verdict.Version)
		reply.Add(dispatch.HeaderReason, string(ended.Plan.Verdict.Reason))
		reply.Add(dispatch.HeaderSetup, strconv.FormatUint(ended.Plan.Verdict.Setup, 10))
		reply.Add(dispatch.HeaderTries, strconv.Itoa(ended.Tries))
	}
}

// Refuse answers in JSON.
func (ownCallers) Refuse(_ *Head, err error, ran string, wait time.Duration, reply *Reply) {
	status, refusal := daemon.RefusalOf(err, ran, nil)
	reply.Status = status
	reply.Body, _ = json.Marshal(refusal)
	reply.Add("Content-Type", "application/json")
	if wait > 0 {
		// The header counts in whole seconds, and coming back too early helps nobody.
		seconds := max(1, int64((wait+time.Second-1)/time.Second))
		reply.Add("Retry-After", strconv.FormatInt(seconds, 10))
	}
}
