package plan

import (
	"strconv"
	"strings"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
)

// CallerKind is the flag context kind whose key is the calling service and whose attributes describe the caller.
const CallerKind = "caller"

// evaluationContext is the context in which flags are evaluated for a request. It has the user, as identified by the
// route, and the caller. It reads the request lazily, because most flags need only the key. It implements
// flag.EvaluationContext.
type evaluationContext struct {
	route   *config.Route
	request *Request
	zone    string // zone of this proxy, which is also the zone of the caller beside it
	key     string // key of the user, empty if unknown
}

// newEvaluationContext returns the context of a request. If the route names no key header, the request's own identity is
// the key.
func newEvaluationContext(route *config.Route, request *Request, zone string) evaluationContext {
	evaluation := evaluationContext{route: route, request: request, zone: zone, key: request.Identity}
	if route.KeyHeader != "" {
		evaluation.key, _ = request.Header(route.KeyHeader)
	}
	return evaluation
}

// KeyOf returns the key of a context kind, and whether the kind is known. The key is the user's for flag.DefaultKind and
// the calling service for CallerKind.
func (e *evaluationContext) KeyOf(kind string) (string, bool) {
	switch kind {
	case flag.DefaultKind:
		return e.key, true
	case CallerKind:
		return e.request.Caller, true
	}
	return "", false
}

// HasAllKeys reports whether the keys of both context kinds are known.
func (e *evaluationContext) HasAllKeys() bool { return e.key != "" && e.request.Caller != "" }

// Attribute returns the value of an attribute, and whether it is present. The user's attributes are those that the route
// takes from headers, and the method and the path. The caller's only attribute is its zone, named area.
func (e *evaluationContext) Attribute(kind, name string) (any, bool) {
	if kind == CallerKind {
		return e.zone, name == "area"
	}
	// An attribute that the route declares takes precedence over the method and the path.
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

// parseAttribute parses the value of a header. It returns a float64 for a plain decimal number, a bool for true or
// false, and the text itself for anything else.
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

// policyContext returns the context for evaluating a policy, with the same values as the flags' context.
func policyContext(evaluation *evaluationContext) policy.Context {
	request := evaluation.request
	input := policy.Context{
		Caller:     request.Caller,
		Zone:       evaluation.zone,
		Method:     request.Method,
		Path:       request.Path,
		Key:        evaluation.key,
		Attributes: map[string]any{},
	}
	for name := range evaluation.route.Attributes {
		if value, present := evaluation.Attribute(flag.DefaultKind, name); present {
			input.Attributes[name] = value
		}
	}
	return input
}
