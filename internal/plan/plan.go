package plan

import (
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/flag"
)

// The reasons of verdicts that differ from the flag's result. Each reason is counted separately.
const (
	// ReasonPoolEmpty means that no worker of the version is reachable, so the fallback version serves the call.
	ReasonPoolEmpty flag.Reason = "POOL_EMPTY"
	// ReasonVersionBlocked means that the version is not the fallback, and is stopped or must not be used by this
	// process now.
	ReasonVersionBlocked flag.Reason = "HELD"
	// ReasonPolicy means that the route's policy denied the call, so no version was selected.
	ReasonPolicy flag.Reason = "POLICY"
	// ReasonSplitEmpty means that the service selected by the split has no workers, and another service of the split
	// serves the call.
	ReasonSplitEmpty flag.Reason = "SPLIT_EMPTY"
	// ReasonNoVersion means that no version of the service is configured, and no worker has reported one yet.
	ReasonNoVersion flag.Reason = "NO_VERSION"
)

// View is an immutable snapshot of the configuration and the workers. Each plan is made from a single view.
type View struct {
	Config    *config.Snapshot
	Directory Directory
}

// Request holds the properties of a request that determine its plan. Package proxy fills it in from the caller's HTTP
// request.
type Request struct {
	Caller string // authenticated calling service or client kind
	Host   string // host as named by the caller
	// Identity is the id that the caller gave this request, which may itself be a retry; it has nothing to do with the
	// attempts of package dispatch. It is the key for flags if the route names no key header.
	Identity          string
	Method            string                           // HTTP method
	Path              string                           // URL path
	Header            func(name string) (string, bool) // returns the value of a header, and whether it is present
	HasIdempotencyKey bool                             // an Idempotency-Key header is present
	IdempotencyKey    string                           // value of the Idempotency-Key header
	CallerDeadline    time.Duration                    // time that the caller allows for the call, 0 for no limit
}

// Verdict is the result of one decision, with its reason. For a service it is the version whose workers get the call,
// for a split route the service. The JSON keys are part of the operators' API.
type Verdict struct {
	Flag           string         `json:"flag"`                // key of the flag that decides
	Version        string         `json:"version"`             // selected version, or service of a split route; empty if none
	Reason         flag.Reason    `json:"reason"`              // reason of the flag's result, or why the verdict differs from it
	RuleID         string         `json:"rule,omitempty"`      // id of the flag's rule that matched, empty if none did
	Error          flag.ErrorCode `json:"error,omitempty"`     // error of the flag's evaluation, empty for none
	ConfigRevision uint64         `json:"setup"`               // revision of the configuration that was evaluated
	Evaluated      string         `json:"evaluated,omitempty"` // the flag's result if the verdict differs from it, else empty
}

// Plan is the routing decision for a request.
type Plan struct {
	Route   *config.Route // matched route
	Service string        // name of the service that gets the call
	// Split is the verdict that selected the service of a split route. It is zero if the route is not split.
	Split         Verdict
	Verdict       Verdict       // verdict that selected the version of the service
	Class         config.Class  // idempotency class of the request
	Deadline      time.Duration // time allowed for the whole call, counted from its start
	LatencyTarget time.Duration // latency within which a response has its full value, 0 for none
	Candidates    []Endpoint    // endpoints in the order in which to try them

	evaluation evaluationContext // context for evaluating flags and policies
}

// maxIdempotencyKeyBytes is the length of the longest idempotency key, in bytes.
const maxIdempotencyKeyBytes = 256

// Options are the planner's settings.
type Options struct {
	Zone        string        // zone of this proxy
	MaxDeadline time.Duration // upper limit of the deadline of any call
	Warmup      time.Duration // slow start of a new worker whose slots are unknown, 0 for none
}

// Random returns pseudo-random numbers in [0,1).
type Random func() float64

// New returns the plan of a request. It fails with code errs.RouteNotFound, errs.CallerNotAllowed,
// errs.MalformedRequest, errs.PolicyDenied or errs.NoWorker. With the last two it also returns the incomplete plan, so
// that the refusal can be counted and shown.
func New(view *View, request *Request, options Options, local LocalState, now time.Duration, random Random) (*Plan, error) {
	route, found := view.Config.Match(request.Host, request.Path, request.Method)
	if !found {
		return nil, errs.New(errs.RouteNotFound, fmt.Sprintf("no route for %s %s on host %q", request.Method, request.Path, request.Host))
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
	// The policy decides whether the call is made at all. The flag decides the version only if it is.
	if route.Policy != nil && !route.Policy.Allows(policyContext(&plan.evaluation)) {
		plan.Verdict = Verdict{
			Flag:           config.VersionFlagKey(plan.Service),
			Reason:         ReasonPolicy,
			ConfigRevision: view.Config.Revision,
		}
		return plan, errs.New(errs.PolicyDenied, fmt.Sprintf("policy %q of route %q does not allow the call", route.PolicyName, route.Name))
	}
	pool := plan.selectPool(&decision)
	if plan.Verdict.Version == "" {
		return plan, errs.New(errs.NoWorker, fmt.Sprintf("no version of service %q is known yet", plan.Service))
	}
	if plan.UsesIdempotencyKey(request) {
		plan.Candidates = rendezvousOrder(pool, request.Caller+"\x00"+request.IdempotencyKey, func(endpoint *Endpoint) bool {
			return local.Stats(endpoint, now).Unreachable
		})
	} else {
		packed := view.Config.RampingByDeadline(plan.Service, plan.Verdict.Version)
		plan.Candidates = pickEndpoints(pool, packed, plan.LatencyTarget, options, local, now, random)
	}
	return plan, nil
}

// newPlan returns a plan with the fields that follow from the route and the request alone.
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

// deadlineOf returns the time allowed for a call. A caller may ask for less time than the route allows, never for more.
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

// checkRequest checks that the service exists and allows the caller, and that the idempotency key has a valid length.
func (p *Plan) checkRequest(view *View, request *Request) error {
	service := view.Config.Services[p.Service]
	if service == nil {
		return errs.New(errs.RouteNotFound, fmt.Sprintf("service %q of route %q does not exist", p.Service, p.Route.Name))
	}
	if !service.AllowsCaller(request.Caller) {
		return errs.New(errs.CallerNotAllowed, fmt.Sprintf("caller %q may not call service %q", request.Caller, p.Service))
	}
	// A key that cannot be stored would not prevent a duplicate, so it is rejected. An idempotent request needs no key,
	// so its key is ignored.
	keyLength := len(request.IdempotencyKey)
	if p.Class == config.ClassNonIdempotent && request.HasIdempotencyKey && (keyLength == 0 || keyLength > maxIdempotencyKeyBytes) {
		return errs.New(errs.MalformedRequest, fmt.Sprintf("Idempotency-Key has %d bytes; 1 to %d bytes are allowed", keyLength, maxIdempotencyKeyBytes))
	}
	return nil
}

// UsesIdempotencyKey reports whether the call must run at most once under its idempotency key. The key of an idempotent
// request is ignored.
func (p *Plan) UsesIdempotencyKey(request *Request) bool {
	return request.IdempotencyKey != "" && p.Class == config.ClassNonIdempotent
}

// selectPool sets the verdict on the version and returns the workers that serve the call. For a split whose selected
// service has no workers, it also selects another service.
func (p *Plan) selectPool(decision *decision) []Endpoint {
	verdict, pool := decision.decideVersion(p.Service)
	// Any service of a split with a positive weight may serve. The services that have workers share the calls of one
	// that has none, in proportion to their weights.
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
