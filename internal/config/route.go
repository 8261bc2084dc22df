package config

import (
	"time"

	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
)

// Class is the idempotency class of a request: whether it may be executed more than once.
type Class string

// The two classes.
const (
	ClassNonIdempotent Class = "once"       // must not be executed a second time
	ClassIdempotent    Class = "repeatable" // may be executed again, so it may be retried after an unknown outcome
)

// WeightedService is one of the services over which a route splits its requests.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is not negative and of any scale. The service gets Weight divided by the sum of the split's weights, as a
	// fraction of the route's requests.
	Weight float64 `json:"weight"`
}

// Route sends the requests that match its host, path prefix and methods to a service, or splits them over several.
// Operators write it.
type Route struct {
	Name              string            `json:"-"`                    // name of the route's item
	HostText          *string           `json:"host,omitempty"`       // host as the operator wrote it; nil matches any host
	Service           string            `json:"service,omitempty"`    // service that gets the requests; empty if Split is set
	Split             []WeightedService `json:"split,omitempty"`      // services that share the requests; empty if Service is set
	Prefix            string            `json:"prefix"`               // prefix of the paths that the route matches
	Methods           []string          `json:"methods,omitempty"`    // HTTP methods that the route matches; empty matches any
	Class             Class             `json:"class,omitempty"`      // class of the requests; if empty, ClassFor derives it from the method
	DeadlineText      string            `json:"horizon,omitempty"`    // Deadline as the operator wrote it, such as 800ms
	LatencyTargetText string            `json:"aim,omitempty"`        // LatencyTarget as the operator wrote it, such as 200ms
	MaxAttempts       int               `json:"tries,omitempty"`      // maximum number of attempts that may reach a worker; 0 means no limit
	Priority          int               `json:"rank,omitempty"`       // requests with a lower value are served first under overload
	KeyHeader         string            `json:"key,omitempty"`        // header with the key for flags; empty means the caller's id of the attempt
	Attributes        map[string]string `json:"attributes,omitempty"` // headers with the attributes for flags and policies, keyed by attribute
	PolicyName        string            `json:"policy,omitempty"`     // policy that must allow each call; empty means no policy

	Host          string          `json:"-"` // HostText normalized by NormalizeHost; empty matches any host
	Deadline      time.Duration   `json:"-"` // longest time for a request; 0 means no limit but those of the caller and the proxy
	LatencyTarget time.Duration   `json:"-"` // time within which a response is worth most; 0 means no target
	Policy        *policy.Program `json:"-"` // compiled policy; nil if there is none, or if it does not compile

	splitFlag       *flag.Flag // flag that picks the service; nil if the route has no valid split
	operatorVersion uint64     // Item.operator_version of the route's item, 0 for none
}

// SplitFlagKey returns the key of the flag that picks the service of the route, if it is split.
func (r *Route) SplitFlagKey() string { return RouteFlagKey(r.Name) }

// Services returns the services to which the route may send requests. Services without weight in a split are left
// out.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	var services []string
	for _, weighted := range r.Split {
		if weighted.Weight > 0 {
			services = append(services, weighted.Service)
		}
	}
	return services
}

// ClassFor returns the class of the route's requests with a method. Where the operator set none, only GET and HEAD
// requests are idempotent.
func (r *Route) ClassFor(method string) Class {
	if r.Class != "" {
		return r.Class
	}
	// GET and HEAD are safe methods (RFC 9110, section 9.2.1). Requests with other methods may change state, so
	// they are retried only if an operator allows it.
	if method == "GET" || method == "HEAD" {
		return ClassIdempotent
	}
	return ClassNonIdempotent
}

func (r *Route) matchesMethod(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, allowed := range r.Methods {
		if allowed == method {
			return true
		}
	}
	return false
}

// Policy is a rule that decides which calls a route allows. Operators write it, and routes name it.
type Policy struct {
	Expression string `json:"expression"` // boolean expression over the call's context, in the language of package policy
}
