package plan

import (
	"strconv"
	"strings"

	"meadowhinge/internal/config"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
)

// CallerKind is the context kind whose key is the calling service and whose attributes describe the caller.
const CallerKind = "caller"

// evaluationContext is what flags are evaluated for: the user, as the route identifies users, and the caller. It reads the
// request lazily, because most flags need only the key. It implements flag.EvaluationContext.
type evaluationContext struct {
	route   *config.Route
	request *Request
	zone    string // of this proxy, and thereby of the caller beside it
	key     string // of the user
}

// newEvaluationContext returns the context of a request. Where the route names no header for the key, the request's own
// identity is the key.
func newEvaluationContext(route *config.Route, request *Request, zone string) evaluationContext {
	evaluation := evaluationContext{route: route, request: request, zone: zone, key: request.Identity}
	if route.KeyHeader != "" {
		evaluation.key, _ = request.Header(route.KeyHeader)
	}
	return evaluation
}

// KeyOf returns the user's key, or the calling service.
func (e *evaluationContext) KeyOf(kind string) (string, bool) {
	switch kind {
	case flag.DefaultKind:
		return e.key, true
	case CallerKind:
		return e.request.Caller, true
	}
	return "", false
}

// HasAllKeys reports whether both keys are known.
func (e *evaluationContext) HasAllKeys() bool { return e.key != "" && e.request.Caller != "" }

// Attribute returns what the route takes from headers, method and path; of the caller, its zone.
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

// parseAttribute parses a header's value: plain decimal numbers and booleans are taken as such, all else as text.
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

// policyContext returns what a policy sees: what the flags' context holds, under the names of package policy.
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
