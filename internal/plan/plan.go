// Package plan makes the plan of a request, as data, before anything is sent. It does no
// I/O and reads no clock: the view, the time and the dice are handed in.
package plan

import (
	"fmt"
	"hash/fnv"
	"sort"
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
)

// CallerKind is the context kind that tells which service calls, and from where.
const CallerKind = "caller"

// Candidate is a worker that may get a call.
type Candidate struct {
	Instance string
	Proxy    string
	Address  string // of the worker's proxy
	Area     string
	Load     float64
	Since    time.Duration // when it was first known, on this process's clock
}

// Directory lists workers by service and version.
type Directory map[string]map[string][]Candidate

// View is one immutable picture of the world; a plan is made from one view only.
type View struct {
	Setup     *setup.Setup
	Directory Directory
}

// Request is what a plan needs to know of a request.
type Request struct {
	Caller      string
	Method      string
	Path        string
	Host        string // that the caller named
	Identity    string // the caller's own id of this try, "" for none
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
	Verdict    Verdict
	Class      setup.Class
	Horizon    time.Duration
	Candidates []Candidate // in the order in which to try them
}

// Facts are what a process knows of workers beyond the directory.
type Facts interface {
	// InFlight is how many calls this process has at a worker now.
	InFlight(instance string) int
	// Ejected tells whether the worker failed too often to be tried first, or its proxy
	// could not be reached.
	Ejected(worker Candidate, now time.Duration) bool
	// Unreached tells whether the worker's proxy gave no answer of late.
	Unreached(worker Candidate, now time.Duration) bool
	// Held tells whether a version other than the fallback must not be used now.
	Held(service, version string, now time.Duration) bool
}

// keyMost is the longest idempotency key, in bytes.
const keyMost = 256

// Options are the planner's bounds.
type Options struct {
	Area        string
	HorizonMost time.Duration
	Warmup      time.Duration // a new worker's share rises over this time
}

// Ratios of the planner.
const (
	ejectedMost = 2   // at most 1/ejectedMost of a pool may be ejected
	spillOver   = 3.0 // another zone is used when the own zone is this many times as loaded
	warmFloor   = 0.1 // share a worker starts with
)

// Dice gives numbers in [0,1).
type Dice func() float64

// Make makes the plan of a request. Beside a refusal by policy it gives what there is of the
// plan, so that the refusal can be counted and shown.
func Make(view *View, request *Request, options Options, facts Facts, now time.Duration, dice Dice) (*Plan, error) {
	route, found := view.Setup.Match(request.Path, request.Method)
	if !found {
		return nil, defect.New(defect.NoRoute, request.Method+" "+request.Path)
	}
	service := view.Setup.Services[route.Service]
	if service == nil {
		return nil, defect.New(defect.NoRoute, route.Service)
	}
	if !service.AllowsCaller(request.Caller) {
		return nil, defect.New(defect.NotAllowed, request.Caller+" may not call "+route.Service)
	}
	made := &Plan{Route: route, Service: route.Service, Class: route.ClassFor(request.Method), Horizon: min(route.Horizon, options.HorizonMost)}
	// A caller may ask for less time than the route gives, never for more.
	if request.Asked > 0 {
		made.Horizon = min(made.Horizon, request.Asked)
	}
	// A key that can't be kept would protect nothing, so its sender is told. Where requests may
	// be repeated anyway, a key says nothing and is left alone.
	if made.Class == setup.Once && request.Keyed && (request.Idempotency == "" || len(request.Idempotency) > keyMost) {
		return nil, defect.New(defect.Malformed, fmt.Sprintf("Idempotency-Key needs 1 to %d bytes", keyMost))
	}
	context := ContextOf(route, request, options.Area)
	// A policy says whether there is to be a call at all; only then the flag decides its version.
	if route.Policy != nil && !route.Policy.Holds(policyContext(route, request, options.Area, context)) {
		made.Verdict = Verdict{Flag: setup.FlagOf(route.Service), Reason: ReasonPolicy, Setup: view.Setup.Sequence}
		return made, defect.New(defect.PolicyRefused, route.PolicyName)
	}
	made.Verdict = decide(view, service, route, context)
	// The brake: a version other than the fallback gets no call that it may not have just now.
	if made.Verdict.Version != service.Fallback && (view.Setup.StopOn(route.Service, made.Verdict.Version) != nil || facts.Held(route.Service, made.Verdict.Version, now)) {
		made.Verdict.Evaluated = made.Verdict.Version
		made.Verdict.Version, made.Verdict.Reason = service.Fallback, ReasonHeld
	}
	pool := view.Directory[route.Service][made.Verdict.Version]
	// An empty pool would turn proper callers away; the fallback version is allowed to serve
	// them. A pool of which nobody can be reached is as good as empty, while the other's can.
	rest := view.Directory[route.Service][service.Fallback]
	empty := len(pool) == 0 || (!reached(pool, facts, now) && reached(rest, facts, now))
	if empty && made.Verdict.Version != service.Fallback {
		// What an exception changed before was not what the flag said.
		if made.Verdict.Evaluated == "" {
			made.Verdict.Evaluated = made.Verdict.Version
		}
		made.Verdict.Version, made.Verdict.Reason = service.Fallback, ReasonPoolEmpty
		pool = rest
	}
	if request.Idempotency != "" && made.Class == setup.Once {
		made.Candidates = rendezvous(pool, request.Caller+"\x00"+request.Idempotency, func(one Candidate) bool { return facts.Unreached(one, now) })
	} else {
		made.Candidates = place(pool, options, facts, now, dice)
	}
	return made, nil
}

// reached tells whether any worker of a pool stands at a proxy that answers.
func reached(pool []Candidate, facts Facts, now time.Duration) bool {
	for _, one := range pool {
		if !facts.Unreached(one, now) {
			return true
		}
	}
	return false
}

// ContextOf builds the context of a request: the user as the route says, and the caller.
func ContextOf(route *setup.Route, request *Request, area string) flag.Context {
	context := flag.Context{CallerKind: {Key: request.Caller, Attributes: map[string]any{"area": area}}}
	user := flag.Single{Attributes: map[string]any{"method": request.Method, "path": request.Path}}
	user.Key, _ = request.Header(route.Key)
	for name, header := range route.Attributes {
		if value, present := request.Header(header); present {
			user.Attributes[name] = typed(value)
		}
	}
	context[flag.DefaultKind] = user
	return context
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
func policyContext(route *setup.Route, request *Request, area string, context flag.Context) policy.Context {
	user := context[flag.DefaultKind]
	seen := policy.Context{Caller: request.Caller, Area: area, Method: request.Method, Path: request.Path, Key: user.Key, Attributes: map[string]any{}}
	for name := range route.Attributes {
		if value, present := user.Attributes[name]; present {
			seen.Attributes[name] = value
		}
	}
	return seen
}

func decide(view *View, service *setup.Service, route *setup.Route, context flag.Context) Verdict {
	key := setup.FlagOf(route.Service)
	result := view.Setup.Flags.Evaluate(key, context)
	verdict := Verdict{Flag: key, Version: result.Value, Reason: result.Reason, RuleID: result.RuleID, Error: result.Error, Setup: view.Setup.Sequence}
	// The fallback stands in for an error. A version the setup does not list is never called.
	if result.Index < 0 || !service.Allows(result.Value) {
		verdict.Version, verdict.Reason = service.Fallback, flag.ReasonError
	}
	return verdict
}

// rendezvous orders a pool by a key, so that a repeat reaches the worker that had it first. Who
// is not reached comes last: each key would else pay for the same loss anew from the budget.
func rendezvous(pool []Candidate, key string, unreached func(Candidate) bool) []Candidate {
	ordered := append([]Candidate(nil), pool...)
	weight := func(one Candidate) uint64 {
		hash := fnv.New64a()
		hash.Write([]byte(key + "\x00" + one.Instance))
		// A final mix, because FNV alone lets the last bytes decide too little.
		sum := hash.Sum64()
		sum ^= sum >> 33
		sum *= 0xff51afd7ed558ccd
		return sum ^ sum>>33
	}
	sort.Slice(ordered, func(i, j int) bool {
		if a, b := unreached(ordered[i]), unreached(ordered[j]); a != b {
			return b
		}
		return weight(ordered[i]) > weight(ordered[j])
	})
	return ordered
}

// cost says how unwelcome another call would be at a worker.
func cost(one Candidate, options Options, facts Facts, now time.Duration) float64 {
	warm := 1.0
	if age := now - one.Since; options.Warmup > 0 && age < options.Warmup {
		warm = max(warmFloor, float64(age)/float64(options.Warmup))
	}
	return (float64(facts.InFlight(one.Instance)) + 1) * (1 + one.Load) / warm
}

// place orders a pool: own zone first unless it is overloaded, the better of two drawn at
// random in front, ejected workers last.
func place(pool []Candidate, options Options, facts Facts, now time.Duration, dice Dice) []Candidate {
	var sound, ejected []Candidate
	for _, one := range pool {
		// Beyond the ratio nobody more is ejected: when all fail alike, none is the outlier.
		if facts.Ejected(one, now) && len(ejected) < len(pool)/ejectedMost {
			ejected = append(ejected, one)
		} else {
			sound = append(sound, one)
		}
	}
	var near, far []Candidate
	for _, one := range sound {
		if one.Area == options.Area {
			near = append(near, one)
		} else {
			far = append(far, one)
		}
	}
	drawTwo(near, options, facts, now, dice)
	drawTwo(far, options, facts, now, dice)
	if len(near) > 0 && len(far) > 0 && cost(near[0], options, facts, now) > spillOver*cost(far[0], options, facts, now) {
		near, far = far, near
	}
	return append(append(near, far...), ejected...)
}

// drawTwo shuffles and puts the cheaper of the first two in front.
func drawTwo(group []Candidate, options Options, facts Facts, now time.Duration, dice Dice) {
	for i := len(group) - 1; i > 0; i-- {
		j := int(dice() * float64(i+1))
		group[i], group[j] = group[j], group[i]
	}
	if len(group) > 1 && cost(group[1], options, facts, now) < cost(group[0], options, facts, now) {
		group[0], group[1] = group[1], group[0]
	}
}
