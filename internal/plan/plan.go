// Package plan makes the plan of a request, as data, before anything is sent. It does no
// I/O and reads no clock: the view, the time and the dice are handed in.
package plan

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
	"meadowhinge/internal/setup"
)

// Exceptions to the flag's verdict; each is counted under its own reason.
const (
	ReasonPoolEmpty flag.Reason = "POOL_EMPTY"
	// ReasonHeld: the version is not the fallback, and this proxy may not use it just now.
	ReasonHeld flag.Reason = "HELD"
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
	Setup     *setup.Setup
	Directory Directory
}

// Request is what a plan needs to know of a request.
type Request struct {
	Caller      string
	Host        string // as the caller named it
	Identity    string // the caller's own id of this try: the context's key where the route names no header
	Method      string
	Path        string
	Header      func(name string) (string, bool)
	Keyed       bool          // an Idempotency-Key came with it
	Idempotency string        // its value
	Asked       time.Duration // the caller's own deadline, 0 for none
}

// Verdict is which version pool gets the call, and the plain reason why.
type Verdict struct {
	Flag      string         `json:"flag"`
	Version   string         `json:"version"`
	Reason    flag.Reason    `json:"reason"`
	RuleID    string         `json:"rule,omitempty"`
	Error     flag.ErrorCode `json:"error,omitempty"`
	Setup     uint64         `json:"setup"`
	Evaluated string         `json:"evaluated,omitempty"` // what the flag said, where an exception changed it
}

// Plan is what will be carried out.
type Plan struct {
	Route      *setup.Route
	Service    string
	Split      Verdict // of a route that is split: the service, in place of a version; else without a flag
	Verdict    Verdict
	Class      setup.Class
	Horizon    time.Duration
	Aim        time.Duration // the time within which an answer is worth most, 0 for none
	Candidates []Candidate   // in the order in which to try them

	context context // of its request
}

// keyMost is the longest idempotency key, in bytes.
const keyMost = 256

// Options are the planner's bounds.
type Options struct {
	Area        string
	HorizonMost time.Duration
	Warmup      time.Duration // a new worker's share rises over this time
}

// Dice gives numbers in [0,1).
type Dice func() float64

// Make makes the plan of a request. Beside a refusal it gives what there is of the plan, if any,
// so that the refusal can be counted and shown.
func Make(view *View, request *Request, options Options, facts Facts, now time.Duration, dice Dice) (*Plan, error) {
	route, found := view.Setup.Match(request.Host, request.Path, request.Method)
	if !found {
		return nil, defect.New(defect.NoRoute, request.Method+" "+request.Path)
	}
	made := &Plan{Route: route, Class: route.ClassFor(request.Method), Horizon: options.HorizonMost}
	if route.Horizon > 0 {
		made.Horizon = min(made.Horizon, route.Horizon)
	}
	// A caller may ask for less time than the route gives, never for more.
	if request.Asked > 0 {
		made.Horizon = min(made.Horizon, request.Asked)
	}
	made.Aim = min(route.Aim, made.Horizon)
	made.context = contextOf(route, request, options.Area)
	context := &made.context
	made.Service = route.Service
	if len(route.Split) > 0 {
		made.Split = split(view, route, context)
		made.Service = made.Split.Version
	}
	service := view.Setup.Services[made.Service]
	if service == nil {
		return nil, defect.New(defect.NoRoute, made.Service)
	}
	if !service.AllowsCaller(request.Caller) {
		return nil, defect.New(defect.NotAllowed, request.Caller+" may not call "+made.Service)
	}
	// A key that can't be kept would protect nothing, so its sender is told. Where requests may
	// be repeated anyway, a key says nothing and is left alone.
	if made.Class == setup.Once && request.Keyed && (request.Idempotency == "" || len(request.Idempotency) > keyMost) {
		return nil, defect.New(defect.Malformed, fmt.Sprintf("Idempotency-Key needs 1 to %d bytes", keyMost))
	}
	// A policy says whether there is to be a call at all; only then the flag decides its version.
	if route.Policy != nil && !route.Policy.Holds(policyContext(context)) {
		made.Verdict = Verdict{Flag: setup.FlagOf(made.Service), Reason: ReasonPolicy, Setup: view.Setup.Sequence}
		return made, defect.New(defect.PolicyRefused, route.PolicyName)
	}
	verdict, pool := decide(view, made.Service, context, facts, now)
	// Of a split, any service with weight may serve: where the one that was decided has nobody,
	// those that have somebody share its calls by their weights.
	if len(pool) == 0 && len(route.Split) > 0 {
		if other := otherOf(view, route, made.Service, request.Caller, context, facts, now); other != "" {
			made.Split.Evaluated, made.Split.Version, made.Split.Reason = made.Service, other, ReasonSplitEmpty
			made.Service = other
			verdict, pool = decide(view, other, context, facts, now)
		}
	}
	made.Verdict = verdict
	if verdict.Version == "" {
		return made, defect.New(defect.NoWorker, made.Service+" has no version yet")
	}
	if request.Idempotency != "" && made.Class == setup.Once {
		made.Candidates = rendezvous(pool, request.Caller+"\x00"+request.Idempotency, func(one *Candidate) bool { return facts.See(one, now).Unreached })
	} else {
		made.Candidates = place(pool, view.Setup.Proving(made.Service, verdict.Version), made.Aim, options, facts, now, dice)
	}
	return made, nil
}

// split decides the service of a route that is split.
func split(view *View, route *setup.Route, context flag.Subject) Verdict {
	decider := view.Setup.Service(route)
	result := view.Setup.Flags.Decide(decider.Flag, context)
	verdict := Verdict{Flag: decider.Key, Version: result.Value, Reason: result.Reason, Error: result.Error, Setup: view.Setup.Sequence}
	if result.Index < 0 {
		// The fallback of a split is the first that has any weight.
		verdict.Reason = flag.ReasonError
		if services := route.Services(); len(services) > 0 {
			verdict.Version = services[0]
		}
	}
	return verdict
}

// otherOf picks, for a split whose service has nobody, one that has, by weight. A key stays with
// its service for as long as that is so; its bucket is another than the split's, for all keys of
// the service that has nobody are alike in that one.
func otherOf(view *View, route *setup.Route, decided, caller string, context flag.Subject, facts Facts, now time.Duration) string {
	var able []setup.Share
	whole := 0.0
	for _, share := range route.Split {
		service := view.Setup.Services[share.Service]
		if share.Weight <= 0 || service == nil || !service.AllowsCaller(caller) {
			continue
		}
		if _, pool := decide(view, share.Service, context, facts, now); len(pool) > 0 {
			able = append(able, share)
			whole += share.Weight
		}
	}
	bucket, sum := flag.Bucket(route.SplitFlag(), route.Name+"."+decided, nil, context, flag.DefaultKind, ""), 0.0
	for _, share := range able {
		if sum += share.Weight; bucket < sum/whole {
			return share.Service
		}
	}
	if len(able) > 0 {
		return able[len(able)-1].Service
	}
	return ""
}

// decide gives the verdict on the version of a service, and the pool that is to serve.
func decide(view *View, name string, context flag.Subject, facts Facts, now time.Duration) (Verdict, []Candidate) {
	service := view.Setup.Services[name]
	verdict := evaluate(view, service, name, context)
	if verdict.Version == "" {
		return verdict, nil
	}
	// The brake: a version other than the fallback gets no call that it may not have just now.
	if verdict.Version != service.Fallback && (view.Setup.StopOn(name, verdict.Version) != nil || facts.Held(name, verdict.Version, now)) {
		verdict.Evaluated = verdict.Version
		verdict.Version, verdict.Reason = service.Fallback, ReasonHeld
	}
	pool := view.Directory[name][verdict.Version]
	// An empty pool would turn proper callers away; the fallback version is allowed to serve
	// them. A pool of which nobody can be reached is as good as empty, while the other's can.
	rest := view.Directory[name][service.Fallback]
	empty := len(pool) == 0 || (!reached(pool, facts, now) && reached(rest, facts, now))
	if empty && verdict.Version != service.Fallback {
		// What an exception changed before was not what the flag said.
		if verdict.Evaluated == "" {
			verdict.Evaluated = verdict.Version
		}
		verdict.Version, verdict.Reason = service.Fallback, ReasonPoolEmpty
		pool = rest
	}
	return verdict, pool
}

// reached tells whether any worker of a pool stands at a proxy that answers.
func reached(pool []Candidate, facts Facts, now time.Duration) bool {
	for i := range pool {
		if !facts.See(&pool[i], now).Unreached {
			return true
		}
	}
	return false
}

// context is what flags are evaluated for: the user as the route says, and the caller. It reads
// the request where it is asked, for most flags ask for nothing but the key.
type context struct {
	route   *setup.Route
	request *Request
	area    string
	key     string
}

// contextOf is the context of a request.
func contextOf(route *setup.Route, request *Request, area string) context {
	made := context{route: route, request: request, area: area, key: request.Identity}
	// Where the route names no header, the request's own identity is the key.
	if route.Key != "" {
		made.key, _ = request.Header(route.Key)
	}
	return made
}

// KeyOf gives the user's key, or the calling service.
func (c *context) KeyOf(kind string) (string, bool) {
	switch kind {
	case flag.DefaultKind:
		return c.key, true
	case CallerKind:
		return c.request.Caller, true
	}
	return "", false
}

// Keyed tells whether both are known.
func (c *context) Keyed() bool { return c.key != "" && c.request.Caller != "" }

// Attribute gives what the route takes from headers, method and path; of the caller, its zone.
func (c *context) Attribute(kind, name string) (any, bool) {
	if kind == CallerKind {
		return c.area, name == "area"
	}
	// A route's own attribute goes before what every request has.
	if header, listed := c.route.Attributes[name]; listed && kind == flag.DefaultKind {
		if value, present := c.request.Header(header); present {
			return typed(value), true
		}
	}
	switch {
	case kind != flag.DefaultKind:
	case name == "method":
		return c.request.Method, true
	case name == "path":
		return c.request.Path, true
	}
	return nil, false
}

// typed reads a header's value: plain numbers and true or false are taken as such.
func typed(text string) any {
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
func policyContext(context *context) policy.Context {
	request := context.request
	seen := policy.Context{Caller: request.Caller, Area: context.area, Method: request.Method, Path: request.Path, Key: context.key, Attributes: map[string]any{}}
	for name := range context.route.Attributes {
		if value, present := context.Attribute(flag.DefaultKind, name); present {
			seen.Attributes[name] = value
		}
	}
	return seen
}

// evaluate asks the flag for the version of a service.
func evaluate(view *View, service *setup.Service, name string, context flag.Subject) Verdict {
	decider := view.Setup.Version(name)
	result := view.Setup.Flags.Decide(decider.Flag, context)
	verdict := Verdict{Flag: decider.Key, Version: result.Value, Reason: result.Reason, RuleID: result.RuleID, Error: result.Error, Setup: view.Setup.Sequence}
	// The fallback stands in for an error. A version the setup does not list is never called.
	if result.Index < 0 || !service.Allows(result.Value) {
		verdict.Version, verdict.Reason = service.Fallback, flag.ReasonError
	}
	if service.Fallback == "" {
		verdict.Version, verdict.Reason, verdict.Error = "", ReasonNoVersion, ""
	}
	return verdict
}
