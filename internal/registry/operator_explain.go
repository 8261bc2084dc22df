package registry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/config"
	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
)

// explainMaxDeadline is the upper limit of an explained request's deadline. It is the deadline if the route sets none.
const explainMaxDeadline = time.Hour

// ExplainRequest describes a request whose routing decision an operator asks for. The request itself is not sent.
type ExplainRequest struct {
	Caller   string            `json:"caller"`             // calling service
	Host     string            `json:"host,omitempty"`     // host that the caller names
	Identity string            `json:"identity,omitempty"` // key of the evaluation context if the route names no header for it
	Method   string            `json:"method"`
	Path     string            `json:"path"`
	Zone     string            `json:"area"` // zone of the proxy that would route the request
	Headers  map[string]string `json:"headers"`
}

// ExplainResponse is the routing decision for an ExplainRequest.
type ExplainResponse struct {
	Route      string       `json:"route"`             // name of the matched route
	Service    string       `json:"service"`           // service that gets the request
	Class      config.Class `json:"class"`             // whether the request may be executed more than once
	Deadline   string       `json:"horizon"`           // time limit of the request, as a Go duration
	Verdict    plan.Verdict `json:"verdict"`           // chosen version and the reason for it
	Candidates []string     `json:"pool"`              // worker instances to which the request may be sent
	Policy     string       `json:"policy,omitempty"`  // name of the route's policy; empty for none
	Refused    bool         `json:"refused,omitempty"` // whether the policy denies the request

	Split *plan.Verdict `json:"split,omitempty"` // choice of a split route's service; nil on other routes
}

// reportedStats implements plan.LocalState with the workers' own statistics, since a registry does not measure workers
// as a proxy does.
type reportedStats struct{}

// Stats returns the statistics that a worker reports about itself.
func (reportedStats) Stats(worker *plan.Endpoint, _ time.Duration) plan.EndpointStats {
	return plan.EndpointStats{
		Slots:         worker.Slots,
		ServiceTime:   worker.ServiceTime,
		OtherInFlight: float64(worker.ActiveRequests + worker.QueuedRequests),
	}
}

// VersionBlocked returns false: the registry does not know which versions a proxy blocks on its own.
func (reportedStats) VersionBlocked(string, string, time.Duration) bool { return false }

// handleExplain responds with the routing decision for an ExplainRequest, made from this registry's configuration and
// service directory.
func (o *operatorServer) handleExplain(_ context.Context, call *fasthttp.RequestCtx) {
	query := &ExplainRequest{}
	if err := json.Unmarshal(call.PostBody(), query); err != nil {
		daemon.WriteError(call, errs.Wrap(err, errs.MalformedRequest, "decoding the explain request"), "", nil)
		return
	}
	snapshot, _ := o.state.compiledConfig()
	view := &plan.View{Config: snapshot, Directory: plan.NewDirectory(o.state.sources(), nil, nil)}
	options := plan.Options{Zone: query.Zone, MaxDeadline: explainMaxDeadline}
	// Take the first candidate of each random choice, so that every call gives the same answer.
	firstChoice := func() float64 { return 0 }
	decision, err := plan.New(view, planRequest(query), options, reportedStats{}, 0, firstChoice)
	// A request that is denied, or whose service has no known version, fails with a decision that shows the reason.
	if err != nil && decision == nil {
		daemon.WriteError(call, err, "", nil)
		return
	}
	response := ExplainResponse{
		Route:      decision.Route.Name,
		Service:    decision.Service,
		Class:      decision.Class,
		Deadline:   decision.Deadline.String(),
		Verdict:    decision.Verdict,
		Candidates: []string{},
		Policy:     decision.Route.PolicyName,
		Refused:    err != nil && errs.CodeOf(err) == errs.PolicyDenied,
	}
	if decision.Split.Flag != "" {
		response.Split = &decision.Split
	}
	for _, candidate := range decision.Candidates {
		response.Candidates = append(response.Candidates, candidate.Instance)
	}
	daemon.WriteJSON(call, fasthttp.StatusOK, response)
}

// planRequest converts an ExplainRequest to the request that plan.New takes. Header names are case-insensitive.
func planRequest(query *ExplainRequest) *plan.Request {
	headers := map[string]string{}
	for name, value := range query.Headers {
		headers[strings.ToLower(name)] = value
	}
	return &plan.Request{
		Caller:   query.Caller,
		Host:     query.Host,
		Identity: query.Identity,
		Method:   query.Method,
		Path:     query.Path,
		Header: func(name string) (string, bool) {
			value, found := headers[strings.ToLower(name)]
			return value, found
		},
	}
}
