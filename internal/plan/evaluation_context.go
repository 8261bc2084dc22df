package plan

import (
	"strconv"
	"strings"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
)

// CallerKind is the context kind that tells which service calls, and from where.
const CallerKind = "caller"

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
