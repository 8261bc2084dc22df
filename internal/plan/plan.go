// Package plan makes the plan of a request, as data, before anything is sent. It does no
// I/O and reads no clock: the view, the time and the dice are handed in.
package plan

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
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

// CallerKind is the context kind that tells which service calls, and from where.
const CallerKind = "caller"

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

// decideSplit decides the service of a route that is split.
func decideSplit(view *View, route *config.Route, subject flag.EvaluationContext) Verdict {
	decider := view.Config.ServiceDecider(route)
	result := view.Config.Flags.Decide(decider.Flag, subject)
	verdict := Verdict{Flag: decider.Key, Version: result.Value, Reason: result.Reason, Error: result.Error, ConfigRevision: view.Config.Revision}
	if result.Index < 0 {
		// The fallback of a split is the first that has any weight.
		verdict.Reason = flag.ReasonError
		if services := route.Services(); len(services) > 0 {
			verdict.Version = services[0]
		}
	}
	return verdict
}

// pickOtherService picks, for a split whose service has nobody, one that has, by weight. A key stays with
// its service for as long as that is so; its bucket is another than the split's, for all keys of
// the service that has nobody are alike in that one.
func pickOtherService(view *View, route *config.Route, decided, caller string, subject flag.EvaluationContext, local LocalState, now time.Duration) string {
	var available []config.WeightedService
	totalWeight := 0.0
	for _, target := range route.Split {
		service := view.Config.Services[target.Service]
		if target.Weight <= 0 || service == nil || !service.AllowsCaller(caller) {
			continue
		}
		if _, pool := decideVersion(view, target.Service, subject, local, now); len(pool) > 0 {
			available = append(available, target)
			totalWeight += target.Weight
		}
	}
	bucket, cumulative := flag.Bucket(route.SplitFlagKey(), route.Name+"."+decided, nil, subject, flag.DefaultKind, ""), 0.0
	for _, target := range available {
		if cumulative += target.Weight; bucket < cumulative/totalWeight {
			return target.Service
		}
	}
	if len(available) > 0 {
		return available[len(available)-1].Service
	}
	return ""
}

// decideVersion gives the verdict on the version of a service, and the pool that is to serve.
func decideVersion(view *View, serviceName string, subject flag.EvaluationContext, local LocalState, now time.Duration) (Verdict, []Endpoint) {
	service := view.Config.Services[serviceName]
	verdict := evaluateVersion(view, service, serviceName, subject)
	if verdict.Version == "" {
		return verdict, nil
	}
	// The brake: a version other than the fallback gets no call that it may not have just now.
	if verdict.Version != service.Fallback && (view.Config.ActiveStop(serviceName, verdict.Version) != nil || local.VersionBlocked(serviceName, verdict.Version, now)) {
		verdict.Evaluated = verdict.Version
		verdict.Version, verdict.Reason = service.Fallback, ReasonVersionBlocked
	}
	pool := view.Directory[serviceName][verdict.Version]
	// An empty pool would turn proper callers away; the fallback version is allowed to serve
	// them. A pool of which nobody can be reached is as good as empty, while the other's can.
	fallbackPool := view.Directory[serviceName][service.Fallback]
	empty := len(pool) == 0 || (!anyReachable(pool, local, now) && anyReachable(fallbackPool, local, now))
	if empty && verdict.Version != service.Fallback {
		// What an exception changed before was not what the flag said.
		if verdict.Evaluated == "" {
			verdict.Evaluated = verdict.Version
		}
		verdict.Version, verdict.Reason = service.Fallback, ReasonPoolEmpty
		pool = fallbackPool
	}
	return verdict, pool
}

// anyReachable tells whether any worker of a pool stands at a proxy that answers.
func anyReachable(pool []Endpoint, local LocalState, now time.Duration) bool {
	for i := range pool {
		if !local.Stats(&pool[i], now).Unreachable {
			return true
		}
	}
	return false
}

// evaluationContext is what flags are evaluated for: the user as the route says, and the caller. It reads
// the request where it is asked, for most flags ask for nothing but the key.
type evaluationContext struct {
	route   *config.Route
	request *Request
	zone    string
	key     string
}

// newEvaluationContext is the context of a request.
func newEvaluationContext(route *config.Route, request *Request, zone string) evaluationContext {
	evaluation := evaluationContext{route: route, request: request, zone: zone, key: request.Identity}
	// Where the route names no header, the request's own identity is the key.
	if route.KeyHeader != "" {
		evaluation.key, _ = request.Header(route.KeyHeader)
	}
	return evaluation
}

// KeyOf gives the user's key, or the calling service.
func (e *evaluationContext) KeyOf(kind string) (string, bool) {
	switch kind {
	case flag.DefaultKind:
		return e.key, true
	case CallerKind:
		return e.request.Caller, true
	}
	return "", false
}

// HasAllKeys tells whether both are known.
func (e *evaluationContext) HasAllKeys() bool { return e.key != "" && e.request.Caller != "" }

// Attribute gives what the route takes from headers, method and path; of the caller, its zone.
func (e *evaluationContext) Attribute(kind, name string) (any, bool) {
	if kind == CallerKind {
		return e.zone, name == "area"
	}
	// A route's own attribute goes before what every request has.
	if header, listed := e.route.Attributes[name]; listed && kind == flag.DefaultKind {
		if value, present := e.request.Header(header); present {
			return parseAttribute(value), true
		}
	}
	switch {
	case kind != flag.DefaultKind:
	case name == "method":
		return e.request.Method, true
	case name == "path":
		return e.request.Path, true
	}
	return nil, false
}

// parseAttribute reads a header's value: plain numbers and true or false are taken as such.
func parseAttribute(text string) any {
	if number, err := strconv.ParseFloat(text, 64); err == nil && !strings.ContainsAny(text, "xXpP_nN") {
		return number
	}
	switch text {
	case "true":
		return true
	case "false":
		return false
	}
	return text
}

// policyContext is what a policy sees: what the flag's context holds, by names of its own.
func policyContext(evaluation *evaluationContext) policy.Context {
	request := evaluation.request
	input := policy.Context{Caller: request.Caller, Zone: evaluation.zone, Method: request.Method, Path: request.Path, Key: evaluation.key, Attributes: map[string]any{}}
	for name := range evaluation.route.Attributes {
		if value, present := evaluation.Attribute(flag.DefaultKind, name); present {
			input.Attributes[name] = value
		}
	}
	return input
}

// evaluateVersion asks the flag for the version of a service.
func evaluateVersion(view *View, service *config.Service, serviceName string, subject flag.EvaluationContext) Verdict {
	decider := view.Config.VersionDecider(serviceName)
	result := view.Config.Flags.Decide(decider.Flag, subject)
	verdict := Verdict{Flag: decider.Key, Version: result.Value, Reason: result.Reason, RuleID: result.RuleID, Error: result.Error, ConfigRevision: view.Config.Revision}
	// The fallback stands in for an error. A version the setup does not list is never called.
	if result.Index < 0 || !service.AllowsVersion(result.Value) {
		verdict.Version, verdict.Reason = service.Fallback, flag.ReasonError
	}
	if service.Fallback == "" {
		verdict.Version, verdict.Reason, verdict.Error = "", ReasonNoVersion, ""
	}
	return verdict
}
