package plan

import (
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/flag"
)

// Exceptions to the flag's verdict. Each is counted under a reason of its own.
const (
	// ReasonPoolEmpty: the version has no worker that is reachable, so the fallback version serves.
	ReasonPoolEmpty flag.Reason = "POOL_EMPTY"
	// ReasonVersionBlocked: the version is not the fallback, and this proxy must not use it now.
	ReasonVersionBlocked flag.Reason = "HELD"
	// ReasonPolicy: the route's policy refused the call, so no version was decided.
	ReasonPolicy flag.Reason = "POLICY"
	// ReasonSplitEmpty: the split's service has no worker, and another one of the split has.
	ReasonSplitEmpty flag.Reason = "SPLIT_EMPTY"
	// ReasonNoVersion: no version of the service is configured, and no worker has reported one yet.
	ReasonNoVersion flag.Reason = "NO_VERSION"
)

// View is an immutable snapshot of what a plan is made from. A plan is made from one view only.
type View struct {
	Config    *config.Snapshot
	Directory Directory
}

// Request is what a plan needs to know of a request. Package proxy fills it in from the caller's HTTP request.
type Request struct {
	Caller            string // the authenticated calling service or client kind
	Host              string // as the caller named it
	Identity          string // the caller's own id of this attempt: the context's key where the route names no header
	Method            string
	Path              string
	Header            func(name string) (string, bool) // value of a header, and whether it is present
	HasIdempotencyKey bool                             // an Idempotency-Key header is present
	IdempotencyKey    string                           // its value
	CallerDeadline    time.Duration                    // time that the caller gives, 0 for no bound
}

// Verdict is the result of one decision, and its reason: of a service, the version whose workers get the call; of a
// split route, the service. The JSON keys are the operators' API.
type Verdict struct {
	Flag           string         `json:"flag"`           // key of the flag that decided
	Version        string         `json:"version"`        // of a split: the service
	Reason         flag.Reason    `json:"reason"`         // the flag's, or an exception
	RuleID         string         `json:"rule,omitempty"` // the flag's rule that matched
	Error          flag.ErrorCode `json:"error,omitempty"`
	ConfigRevision uint64         `json:"setup"`
	Evaluated      string         `json:"evaluated,omitempty"` // what the flag said, where an exception changed it
}

// Plan is what is to happen to a request.
type Plan struct {
	Route         *config.Route
	Service       string
	Split         Verdict // of a route that is split: its Version is the service; without a flag if the route is not
	Verdict       Verdict
	Class         config.Class
	Deadline      time.Duration // for the whole call, from its start
	LatencyTarget time.Duration // the time within which an answer is worth most, 0 for none
	Candidates    []Endpoint    // in the order in which to try them

	evaluation evaluationContext // of its request
}

// maxIdempotencyKeyBytes is the length of the longest idempotency key, in bytes.
const maxIdempotencyKeyBytes = 256

// Options are the planner's settings.
type Options struct {
	Zone        string        // of this proxy
	MaxDeadline time.Duration // upper bound on the deadline of any call
	Warmup      time.Duration // slow start of a new worker that does not report its own, 0 for none
}

// Random returns numbers in [0,1).
type Random func() float64

// Make makes the plan of a request. The error has the code errs.RouteNotFound, CallerNotAllowed, MalformedRequest,
// PolicyDenied or NoWorker. With the last two it comes with the plan as far as it was made, so that the refusal can
// be counted and shown.
func Make(view *View, request *Request, options Options, local LocalState, now time.Duration, random Random) (*Plan, error) {
	route, found := view.Config.Match(request.Host, request.Path, request.Method)
	if !found {
		return nil, errs.New(errs.RouteNotFound, request.Method+" "+request.Path)
	}
	plan := newPlan(route, request, options)
	decision := decision{view: view, subject: &plan.evaluation, caller: request.Caller, local: local, now: now}
	if len(route.Split) > 0 {
		plan.Split = decision.decideSplit(route)
		plan.Service = plan.Split.Version
	}
	if err := plan.checkRequest(view, request); err != nil {
		return nil, err
	}
	// The policy decides whether the call is made at all; only then the flag decides its version.
	if route.Policy != nil && !route.Policy.Allows(policyContext(&plan.evaluation)) {
		plan.Verdict = Verdict{
			Flag:           config.VersionFlagKey(plan.Service),
			Reason:         ReasonPolicy,
			ConfigRevision: view.Config.Revision,
		}
		return plan, errs.New(errs.PolicyDenied, route.PolicyName)
	}
	pool := plan.decide(&decision)
	if plan.Verdict.Version == "" {
		return plan, errs.New(errs.NoWorker, plan.Service+" has no version yet")
	}
	if plan.UsesIdempotencyKey(request) {
		plan.Candidates = rendezvous(pool, request.Caller+"\x00"+request.IdempotencyKey, func(endpoint *Endpoint) bool {
			return local.Stats(endpoint, now).Unreachable
		})
	} else {
		packed := view.Config.RampingByDeadline(plan.Service, plan.Verdict.Version)
		plan.Candidates = pickEndpoints(pool, packed, plan.LatencyTarget, options, local, now, random)
	}
	return plan, nil
}

// newPlan returns a plan with what the route alone decides.
func newPlan(route *config.Route, request *Request, options Options) *Plan {
	deadline := deadlineOf(route, request, options)
	return &Plan{
		Route:         route,
		Service:       route.Service,
		Class:         route.ClassFor(request.Method),
		Deadline:      deadline,
		LatencyTarget: min(route.LatencyTarget, deadline),
		evaluation:    newEvaluationContext(route, request, options.Zone),
	}
}

// deadlineOf returns the time that a call has. A caller may ask for less time than the route gives, never for more.
func deadlineOf(route *config.Route, request *Request, options Options) time.Duration {
	deadline := options.MaxDeadline
	if route.Deadline > 0 {
		deadline = min(deadline, route.Deadline)
	}
	if request.CallerDeadline > 0 {
		deadline = min(deadline, request.CallerDeadline)
	}
	return deadline
}

// checkRequest checks that the service exists and the caller may call it, and the form of its idempotency key.
func (p *Plan) checkRequest(view *View, request *Request) error {
	service := view.Config.Services[p.Service]
	if service == nil {
		return errs.New(errs.RouteNotFound, p.Service)
	}
	if !service.AllowsCaller(request.Caller) {
		return errs.New(errs.CallerNotAllowed, request.Caller+" may not call "+p.Service)
	}
	// A key that cannot be retained would protect nothing, so it is refused. An idempotent request needs no key, so
	// a key that comes with it is ignored.
	keyLength := len(request.IdempotencyKey)
	if p.Class == config.ClassNonIdempotent && request.HasIdempotencyKey && (keyLength == 0 || keyLength > maxIdempotencyKeyBytes) {
		return errs.New(errs.MalformedRequest, fmt.Sprintf("Idempotency-Key needs 1 to %d bytes", maxIdempotencyKeyBytes))
	}
	return nil
}

// UsesIdempotencyKey reports whether the call must not run twice under its idempotency key. A key that comes with an
// idempotent request is ignored.
func (p *Plan) UsesIdempotencyKey(request *Request) bool {
	return request.IdempotencyKey != "" && p.Class == config.ClassNonIdempotent
}

// decide decides the version, and for a split whose service has no workers another service. It returns the pool that
// is to serve.
func (p *Plan) decide(decision *decision) []Endpoint {
	verdict, pool := decision.decideVersion(p.Service)
	// Any service of a split with a weight may serve: the services that have workers share the calls of one that
	// has none, by their weights.
	if len(pool) == 0 && len(p.Route.Split) > 0 {
		otherService := decision.pickOtherService(p.Route, p.Service)
		if otherService != "" {
			p.Split.Evaluated, p.Split.Version, p.Split.Reason = p.Service, otherService, ReasonSplitEmpty
			p.Service = otherService
			verdict, pool = decision.decideVersion(otherService)
		}
	}
	p.Verdict = verdict
	return pool
}
