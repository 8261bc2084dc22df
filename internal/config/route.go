package config

import (
	"time"

	"meadowhinge/internal/flag"
	"meadowhinge/internal/policy"
)

// Class tells whether a request may be executed more than once.
type Class string

// The two classes of route.
const (
	ClassNonIdempotent Class = "once"
	ClassIdempotent    Class = "repeatable"
)

// WeightedService is a service that gets a part of a route's requests, by its weight among the others.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // of any scale, not below 0
}

// Route sends requests of a host, with a prefix and method, to one service or split over several. Operators
// write it.
type Route struct {
	Name              string            `json:"-"`
	HostText          *string           `json:"host,omitempty"` // left out: any host
	Service           string            `json:"service,omitempty"`
	Split             []WeightedService `json:"split,omitempty"` // in place of Service
	Prefix            string            `json:"prefix"`
	Methods           []string          `json:"methods,omitempty"` // left out: any method
	Class             Class             `json:"class,omitempty"`   // left out: by the method, see ClassFor
	DeadlineText      string            `json:"horizon,omitempty"` // left out: as long as the caller and the proxy allow
	LatencyTargetText string            `json:"aim,omitempty"`
	MaxAttempts       int               `json:"tries,omitempty"` // workers that one request may be sent to, 0 for no bound
	Priority          int               `json:"rank,omitempty"`  // lower is served first where not all requests can be
	KeyHeader         string            `json:"key,omitempty"`   // header with the key that flags bucket by; left out: the request's own id
	Attributes        map[string]string `json:"attributes,omitempty"`
	PolicyName        string            `json:"policy,omitempty"`

	Host          string          `json:"-"` // normalized by NormalizeHost, empty for any
	Deadline      time.Duration   `json:"-"` // 0 for none of its own
	LatencyTarget time.Duration   `json:"-"` // time within which a response is worth most, 0 for none
	Policy        *policy.Program `json:"-"` // must allow a call for it to be planned; nil for none

	splitFlag       *flag.Flag // picks the service of a split route; nil for no split
	operatorVersion uint64     // of the item, 0 for none
}

// SplitFlagKey names the flag that picks the service of a split route.
func (r *Route) SplitFlagKey() string { return RouteFlagKey(r.Name) }

// Services lists the services that a route may send to, those without weight left out.
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

// ClassFor gives the class of requests with a method on the route.
func (r *Route) ClassFor(method string) Class {
	if r.Class != "" {
		return r.Class
	}
	// By HTTP's own rules only these change nothing, so only they are retried unless an operator says otherwise.
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

// Policy is an expression over a call's context that routes may name. Operators write it.
type Policy struct {
	Expression string `json:"expression"`
}
