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

// explainMaxDeadline is the deadline of an explained request whose route sets none.
const explainMaxDeadline = time.Hour

// ExplainRequest describes a request of which an operator wants to know the plan; it is not sent.
type ExplainRequest struct {
	Caller   string            `json:"caller"`
	Host     string            `json:"host,omitempty"`
	Identity string            `json:"identity,omitempty"` // the key, where the route names no header
	Method   string            `json:"method"`
	Path     string            `json:"path"`
	Zone     string            `json:"area"` // of the proxy that would plan it
	Headers  map[string]string `json:"headers"`
}

// ExplainResponse says which version the request would get, and why.
type ExplainResponse struct {
	Route      string       `json:"route"`
	Service    string       `json:"service"`
	Class      config.Class `json:"class"`
	Deadline   string       `json:"horizon"` // a duration
	Verdict    plan.Verdict `json:"verdict"`
	Candidates []string     `json:"pool"`              // the instances that it may be sent to
	Policy     string       `json:"policy,omitempty"`  // that the route names
	Refused    bool         `json:"refused,omitempty"` // by the policy

	Split *plan.Verdict `json:"split,omitempty"` // which service, of a route that is split
}

// noFacts takes the place of a proxy's own measurements, of which the registry has none.
type noFacts struct{}

// Stats gives what the worker reports of itself.
func (noFacts) Stats(worker *plan.Endpoint, _ time.Duration) plan.EndpointStats {
	return plan.EndpointStats{
		Slots:         worker.Slots,
		ServiceTime:   worker.ServiceTime,
		OtherInFlight: float64(worker.Running + worker.Waiting),
	}
}

// VersionBlocked is false: a proxy may block a version by itself, which is not known here.
func (noFacts) VersionBlocked(string, string, time.Duration) bool { return false }

func (o *operatorServer) handleExplain(_ context.Context, call *fasthttp.RequestCtx) {
	query := &ExplainRequest{}
	if err := json.Unmarshal(call.PostBody(), query); err != nil {
		daemon.WriteError(call, errs.Wrap(err, errs.MalformedRequest, "question"), "", nil)
		return
	}
	snapshot, _ := o.state.compiledConfig()
	view := &plan.View{Config: snapshot, Directory: plan.DirectoryOf(o.state.sources(), nil, nil)}
	options := plan.Options{Zone: query.Zone, MaxDeadline: explainMaxDeadline}
	// The first candidate of each random choice is as good as any: it is the same at each call.
	firstChoice := func() float64 { return 0 }
	decision, err := plan.Make(view, planRequest(query), options, noFacts{}, 0, firstChoice)
	// A request that is refused, or for a service without a known version, has a decision all the same, which says so.
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

// planRequest is the request as it would be planned. Header names are compared without regard to case.
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
