package plan

import (
	"fmt"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/flag"
)

// Exceptions to the flag's verdict; each is counted under its own reason.
const (
	ReasonPoolEmpty flag.Reason = "POOL_EMPTY"
	// ReasonVersionBlocked: the version is not the fallback, and this proxy may not use it just now.
	ReasonVersionBlocked flag.Reason = "HELD"
	// ReasonPolicy: the route's policy refused the call, so no version was asked for.
	ReasonPolicy flag.Reason = "POLICY"
	// ReasonSplitEmpty: the split's service has no worker, and another of the split has.
	ReasonSplitEmpty flag.Reason = "SPLIT_EMPTY"
	// ReasonNoVersion: no version of the service is stated, and no worker has told one yet.
	ReasonNoVersion flag.Reason = "NO_VERSION"
)

// View is one immutable picture of the world; a plan is made from one view only.
type View struct {
	Config    *config.Snapshot
	Directory Directory
}

// Request is what a plan needs to know of a request.
type Request struct {
	Caller            string
	Host              string // as the caller named it
	Identity          string // the caller's own id of this try: the context's key where the route names no header
	Method            string
	Path              string
	Header            func(name string) (string, bool)
	HasIdempotencyKey bool          // an Idempotency-Key came with it
	IdempotencyKey    string        // its value
	CallerDeadline    time.Duration // the caller's own deadline, 0 for none
}

// Verdict is which version pool gets the call, and the plain reason why.
type Verdict struct {
	Flag           string         `json:"flag"`
	Version        string         `json:"version"`
	Reason         flag.Reason    `json:"reason"`
	RuleID         string         `json:"rule,omitempty"`
	Error          flag.ErrorCode `json:"error,omitempty"`
	ConfigRevision uint64         `json:"setup"`
	Evaluated      string         `json:"evaluated,omitempty"` // what the flag said, where an exception changed it
}

// Plan is what will be carried out.
type Plan struct {
	Route         *config.Route
	Service       string
	Split         Verdict // of a route that is split: the service, in place of a version; else without a flag
	Verdict       Verdict
	Class         config.Class
	Deadline      time.Duration
	LatencyTarget time.Duration // the time within which an answer is worth most, 0 for none
	Candidates    []Endpoint    // in the order in which to try them

	context evaluationContext // of its request
}

// maxIdempotencyKeyBytes is the longest idempotency key, in bytes.
const maxIdempotencyKeyBytes = 256

// Options are the planner's bounds.
type Options struct {
	Zone        string
	MaxDeadline time.Duration
	Warmup      time.Duration // a new worker's share rises over this time
}

// Random gives numbers in [0,1).
type Random func() float64

// Make makes the plan of a request. Beside a refusal it gives what there is of the plan, if any,
// so that the refusal can be counted and shown.
func Make(view *View, request *Request, options Options, local LocalState, now time.Duration, random Random) (*Plan, error) {
	route, found := view.Config.Match(request.Host, request.Path, request.Method)
	if !found {
		return nil, errs.New(errs.RouteNotFound, request.Method+" "+request.Path)
	}
	plan := &Plan{Route: route, Class: route.ClassFor(request.Method), Deadline: options.MaxDeadline}
	if route.Deadline > 0 {
		plan.Deadline = min(plan.Deadline, route.Deadline)
	}
	// A caller may ask for less time than the route gives, never for more.
	if request.CallerDeadline > 0 {
		plan.Deadline = min(plan.Deadline, request.CallerDeadline)
	}
	plan.LatencyTarget = min(route.LatencyTarget, plan.Deadline)
	plan.context = newEvaluationContext(route, request, options.Zone)
	subject := &plan.context
	plan.Service = route.Service
	if len(route.Split) > 0 {
		plan.Split = decideSplit(view, route, subject)
		plan.Service = plan.Split.Version
	}
	service := view.Config.Services[plan.Service]
	if service == nil {
		return nil, errs.New(errs.RouteNotFound, plan.Service)
	}
	if !service.AllowsCaller(request.Caller) {
		return nil, errs.New(errs.CallerNotAllowed, request.Caller+" may not call "+plan.Service)
	}
	// A key that can't be kept would protect nothing, so its sender is told. Where requests may
	// be repeated anyway, a key says nothing and is left alone.
	if plan.Class == config.ClassNonIdempotent && request.HasIdempotencyKey && (request.IdempotencyKey == "" || len(request.IdempotencyKey) > maxIdempotencyKeyBytes) {
		return nil, errs.New(errs.MalformedRequest, fmt.Sprintf("Idempotency-Key needs 1 to %d bytes", maxIdempotencyKeyBytes))
	}
	// A policy says whether there is to be a call at all; only then the flag decides its version.
	if route.Policy != nil && !route.Policy.Allows(policyContext(subject)) {
		plan.Verdict = Verdict{Flag: config.VersionFlagKey(plan.Service), Reason: ReasonPolicy, ConfigRevision: view.Config.Revision}
		return plan, errs.New(errs.PolicyDenied, route.PolicyName)
	}
	verdict, pool := decideVersion(view, plan.Service, subject, local, now)
	// Of a split, any service with weight may serve: where the one that was decided has nobody,
	// those that have somebody share its calls by their weights.
	if len(pool) == 0 && len(route.Split) > 0 {
		if otherService := pickOtherService(view, route, plan.Service, request.Caller, subject, local, now); otherService != "" {
			plan.Split.Evaluated, plan.Split.Version, plan.Split.Reason = plan.Service, otherService, ReasonSplitEmpty
			plan.Service = otherService
			verdict, pool = decideVersion(view, otherService, subject, local, now)
		}
	}
	plan.Verdict = verdict
	if verdict.Version == "" {
		return plan, errs.New(errs.NoWorker, plan.Service+" has no version yet")
	}
	if request.IdempotencyKey != "" && plan.Class == config.ClassNonIdempotent {
		plan.Candidates = rendezvous(pool, request.Caller+"\x00"+request.IdempotencyKey, func(endpoint *Endpoint) bool { return local.Stats(endpoint, now).Unreachable })
	} else {
		plan.Candidates = pickEndpoints(pool, view.Config.RampingByDeadline(plan.Service, verdict.Version), plan.LatencyTarget, options, local, now, random)
	}
	return plan, nil
}
