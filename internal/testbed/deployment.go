package testbed

import (
	"fmt"
	"strings"
)

// Deployment is a fleet's size and what its callers do.
type Deployment struct {
	Name          string
	Edges         int
	CoreMembers   int
	Zones         int
	RequestRate   float64 // client requests a second
	InternalRatio float64 // calls between services, as a part of Rate
	Services      []ServiceSpec
	Routes        []RouteSpec
}

// ServiceSpec is a service and how many workers of it there are.
type ServiceSpec struct {
	Name    string
	Workers int
}

// RouteSpec is one kind of request.
type RouteSpec struct {
	Name, Service, Prefix, Method string
	NonIdempotent                 bool
	Weight                        float64 // of the client requests
	Internal                      bool    // called by other services rather than clients
}

// smallRoutes are the kinds of request of fleets that stand for no deployment of the users'.
var smallRoutes = []RouteSpec{
	{"shop-buy", "shop", "/shop/buy", "POST", true, 0.4, false},
	{"shop-look", "shop", "/shop/look", "GET", false, 0.3, false},
	{"save-commit", "saves", "/saves/commit", "POST", true, 0.3, false},
	{"check-slot", "saves", "/saves/slot", "GET", false, 1, true},
}

// Deployments are the fleets of today, and a small one for quick runs.
var Deployments = map[string]*Deployment{
	"wroblewski": {Name: "wroblewski", Edges: 15, CoreMembers: 3, Zones: 3, RequestRate: 680, InternalRatio: 0.3,
		Services: []ServiceSpec{{"saves", 4}, {"shop", 4}, {"items", 4}, {"accounts", 3}},
		Routes: []RouteSpec{
			{"login", "accounts", "/accounts/login", "GET", false, 0.25, false},
			{"save-load", "saves", "/saves/load", "GET", false, 0.2, false},
			{"save-commit", "saves", "/saves/commit", "POST", true, 0.2, false},
			{"shop-buy", "shop", "/shop/buy", "POST", true, 0.15, false},
			{"backpack", "items", "/items/backpack", "GET", false, 0.2, false},
			{"check-price", "shop", "/shop/price", "GET", false, 0.4, true},
			{"check-slot", "saves", "/saves/slot", "GET", false, 0.3, true},
			{"check-item", "items", "/items/definition", "GET", false, 0.3, true},
		}},
	"kithul": {Name: "kithul", Edges: 14, CoreMembers: 3, Zones: 3, RequestRate: 900, InternalRatio: 0.3,
		Services: []ServiceSpec{{"recipes", 4}, {"cookbooks", 4}, {"orders", 3}, {"search", 3}},
		Routes: []RouteSpec{
			{"recipe", "recipes", "/recipes/read", "GET", false, 0.4, false},
			{"cookbook-save", "cookbooks", "/cookbooks/save", "POST", true, 0.15, false},
			{"kit-order", "orders", "/orders/kit", "POST", true, 0.15, false},
			{"find", "search", "/search/find", "GET", false, 0.3, false},
			{"pantry", "recipes", "/recipes/pantry", "GET", false, 0.3, true},
			{"stock", "orders", "/orders/stock", "GET", false, 0.3, true},
			{"ranking", "search", "/search/ranking", "GET", false, 0.4, true},
		}},
	// As many processes as one machine bears beside its other work.
	"wide": {Name: "wide", Edges: 120, CoreMembers: 3, Zones: 4, RequestRate: 240, InternalRatio: 0.2,
		Services: []ServiceSpec{{"shop", 60}, {"saves", 60}},
		Routes:   smallRoutes},
	"small": {Name: "small", Edges: 6, CoreMembers: 3, Zones: 2, RequestRate: 60, InternalRatio: 0.2,
		Services: []ServiceSpec{{"shop", 3}, {"saves", 3}},
		Routes:   smallRoutes},
}

// clientCaller is the caller whom the ingress listeners stand for.
const clientCaller = "client"

// The versions that workers run; no worker of the barred one is in any setup.
const (
	versionOld        = "1.0.0"
	versionNew        = "1.1.0"
	versionNotAllowed = "9.9.9"
)

// allowedCallers lists who may call a service: clients and every other service.
func (d *Deployment) allowedCallers(service string) []string {
	callers := []string{clientCaller}
	for _, other := range d.Services {
		if other.Name != service {
			callers = append(callers, other.Name)
		}
	}
	return callers
}

func quoteList(names []string) string {
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%q", name))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// FlagText is the release flag of a service at a share of the new version, in thousandths
// of a percent; mark changes with each writing, so that each writing is a change.
func (d *Deployment) FlagText(service string, newWeight, generation int) string {
	return fmt.Sprintf(`flag: "release.%s": {on: true, salt: "s", variations: [%q, %q], offVariation: 0,
	targets: [{variation: 0, values: ["nobody-%d"]}],
	fallthrough: rollout: variations: [{variation: 0, weight: %d}, {variation: 1, weight: %d}]}
`, service, versionOld, versionNew, generation, 100000-newWeight, newWeight)
}

// ConfigText is the first setup of the fleet, in CUE, with the new version at a weight.
func (d *Deployment) ConfigText(newWeight int) string {
	var text strings.Builder
	for _, service := range d.Services {
		fmt.Fprintf(&text, "service: %q: {versions: [%q, %q], fallback: %q, callers: %s}\n", service.Name, versionOld, versionNew, versionOld, quoteList(d.allowedCallers(service.Name)))
		text.WriteString(d.FlagText(service.Name, newWeight, 0))
	}
	for _, route := range d.Routes {
		class := "repeatable"
		if route.NonIdempotent {
			class = "once"
		}
		fmt.Fprintf(&text, "route: %q: {service: %q, prefix: %q, methods: [%q], class: %q, horizon: \"2s\", key: \"X-User\"}\n",
			route.Name, route.Service, route.Prefix, route.Method, class)
	}
	return text.String()
}

// workerPlacement places a worker on an edge machine.
type workerPlacement struct {
	edge    int
	service string
	version string
}

// placeWorkers puts one worker on each edge; each service runs both versions.
func (d *Deployment) placeWorkers() []workerPlacement {
	var placements []workerPlacement
	edge := 0
	for _, service := range d.Services {
		for i := 0; i < service.Workers; i++ {
			version := versionOld
			if i%2 == 1 {
				version = versionNew
			}
			placements = append(placements, workerPlacement{edge % d.Edges, service.Name, version})
			edge++
		}
	}
	return placements
}
