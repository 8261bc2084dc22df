package rehearsal

import (
	"fmt"
	"strings"
)

// Deployment is a fleet's size and what its callers do.
type Deployment struct {
	Name     string
	Edges    int
	Cores    int
	Areas    int
	Rate     float64 // client requests a second
	Internal float64 // calls between services, as a part of Rate
	Services []ServicePlan
	Routes   []RoutePlan
}

// ServicePlan is a service and how many workers of it there are.
type ServicePlan struct {
	Name    string
	Workers int
}

// RoutePlan is one kind of request.
type RoutePlan struct {
	Name, Service, Prefix, Method string
	Once                          bool
	Share                         float64 // of the client requests
	Internal                      bool    // called by other services rather than clients
}

// smallRoutes are the kinds of request of fleets that stand for no deployment of the users'.
var smallRoutes = []RoutePlan{
	{"shop-buy", "shop", "/shop/buy", "POST", true, 0.4, false},
	{"shop-look", "shop", "/shop/look", "GET", false, 0.3, false},
	{"save-commit", "saves", "/saves/commit", "POST", true, 0.3, false},
	{"check-slot", "saves", "/saves/slot", "GET", false, 1, true},
}

// Deployments are the fleets of today, and a small one for quick runs.
var Deployments = map[string]*Deployment{
	"wroblewski": {Name: "wroblewski", Edges: 15, Cores: 3, Areas: 3, Rate: 680, Internal: 0.3,
		Services: []ServicePlan{{"saves", 4}, {"shop", 4}, {"items", 4}, {"accounts", 3}},
		Routes: []RoutePlan{
			{"login", "accounts", "/accounts/login", "GET", false, 0.25, false},
			{"save-load", "saves", "/saves/load", "GET", false, 0.2, false},
			{"save-commit", "saves", "/saves/commit", "POST", true, 0.2, false},
			{"shop-buy", "shop", "/shop/buy", "POST", true, 0.15, false},
			{"backpack", "items", "/items/backpack", "GET", false, 0.2, false},
			{"check-price", "shop", "/shop/price", "GET", false, 0.4, true},
			{"check-slot", "saves", "/saves/slot", "GET", false, 0.3, true},
			{"check-item", "items", "/items/definition", "GET", false, 0.3, true},
		}},
	"kithul": {Name: "kithul", Edges: 14, Cores: 3, Areas: 3, Rate: 900, Internal: 0.3,
		Services: []ServicePlan{{"recipes", 4}, {"cookbooks", 4}, {"orders", 3}, {"search", 3}},
		Routes: []RoutePlan{
			{"recipe", "recipes", "/recipes/read", "GET", false, 0.4, false},
			{"cookbook-save", "cookbooks", "/cookbooks/save", "POST", true, 0.15, false},
			{"kit-order", "orders", "/orders/kit", "POST", true, 0.15, false},
			{"find", "search", "/search/find", "GET", false, 0.3, false},
			{"pantry", "recipes", "/recipes/pantry", "GET", false, 0.3, true},
			{"stock", "orders", "/orders/stock", "GET", false, 0.3, true},
			{"ranking", "search", "/search/ranking", "GET", false, 0.4, true},
		}},
	// As many processes as one machine bears beside its other work.
	"wide": {Name: "wide", Edges: 120, Cores: 3, Areas: 4, Rate: 240, Internal: 0.2,
		Services: []ServicePlan{{"shop", 60}, {"saves", 60}},
		Routes:   smallRoutes},
	"small": {Name: "small", Edges: 6, Cores: 3, Areas: 2, Rate: 60, Internal: 0.2,
		Services: []ServicePlan{{"shop", 3}, {"saves", 3}},
		Routes:   smallRoutes},
}

// clientKind is the caller whom the ingress listeners stand for.
const clientKind = "client"

// The versions that workers run; no worker of the barred one is in any setup.
const (
	versionOld    = "1.0.0"
	versionNew    = "1.1.0"
	versionBarred = "9.9.9"
)

// callersOf lists who may call a service: clients and every other service.
func (d *Deployment) callersOf(service string) []string {
	callers := []string{clientKind}
	for _, other := range d.Services {
		if other.Name != service {
			callers = append(callers, other.Name)
		}
	}
	return callers
}

func quoted(names []string) string {
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%q", name))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// FlagText is the release flag of a service at a share of the new version, in thousandths
// of a percent; mark changes with each writing, so that each writing is a change.
func (d *Deployment) FlagText(service string, newWeight, mark int) string {
	return fmt.Sprintf(`flag: "release.%s": {on: true, salt: "s", variations: [%q, %q], offVariation: 0,
	targets: [{variation: 0, values: ["nobody-%d"]}],
	fallthrough: rollout: variations: [{variation: 0, weight: %d}, {variation: 1, weight: %d}]}
`, service, versionOld, versionNew, mark, 100000-newWeight, newWeight)
}

// SetupText is the first setup of the fleet, in CUE, with the new version at a weight.
func (d *Deployment) SetupText(newWeight int) string {
	var text strings.Builder
	for _, service := range d.Services {
		fmt.Fprintf(&text, "service: %q: {versions: [%q, %q], fallback: %q, callers: %s}\n", service.Name, versionOld, versionNew, versionOld, quoted(d.callersOf(service.Name)))
		text.WriteString(d.FlagText(service.Name, newWeight, 0))
	}
	for _, route := range d.Routes {
		class := "repeatable"
		if route.Once {
			class = "once"
		}
		fmt.Fprintf(&text, "route: %q: {service: %q, prefix: %q, methods: [%q], class: %q, horizon: \"2s\", key: \"X-User\"}\n",
			route.Name, route.Service, route.Prefix, route.Method, class)
	}
	return text.String()
}

// workerPlan places a worker on an edge machine.
type workerPlan struct {
	edge    int
	service string
	version string
}

// placeWorkers puts one worker on each edge; each service runs both versions.
func (d *Deployment) placeWorkers() []workerPlan {
	var placed []workerPlan
	edge := 0
	for _, service := range d.Services {
		for i := 0; i < service.Workers; i++ {
			version := versionOld
			if i%2 == 1 {
				version = versionNew
			}
			placed = append(placed, workerPlan{edge % d.Edges, service.Name, version})
			edge++
		}
	}
	return placed
}
