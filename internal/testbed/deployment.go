package testbed

import (
	"fmt"
	"strings"
)

// Deployment describes the size of a fleet and the load on it.
type Deployment struct {
	Name          string
	Edges         int     // number of edge machines, each with a proxy
	CoreMembers   int     // number of core machines, each with a store and a registry
	Zones         int     // number of zones, over which the machines of each kind are spread
	RequestRate   float64 // requests per second of clients, at all proxies together
	InternalRatio float64 // rate of the internal calls at a proxy, as a fraction of the clients' rate there
	Services      []ServiceSpec
	Routes        []RouteSpec
}

// ServiceSpec describes a service of a deployment.
type ServiceSpec struct {
	Name    string
	Workers int // number of workers
}

// RouteSpec describes a route of a deployment and its part in the load.
type RouteSpec struct {
	Name          string
	Service       string
	Prefix        string  // path prefix
	Method        string  // HTTP method
	NonIdempotent bool    // requests must not be executed more than once
	Weight        float64 // share of the route in the requests of a caller, relative to the weights of its other routes
	Internal      bool    // the route is called by services; otherwise by clients
}

// smallRoutes holds the routes of the deployments that are not models of a user's deployment.
var smallRoutes = []RouteSpec{
	{Name: "shop-buy", Service: "shop", Prefix: "/shop/buy", Method: "POST", NonIdempotent: true, Weight: 0.4},
	{Name: "shop-look", Service: "shop", Prefix: "/shop/look", Method: "GET", Weight: 0.3},
	{Name: "save-commit", Service: "saves", Prefix: "/saves/commit", Method: "POST", NonIdempotent: true, Weight: 0.3},
	{Name: "check-slot", Service: "saves", Prefix: "/saves/slot", Method: "GET", Weight: 1, Internal: true},
}

// Deployments holds all deployments by name: models of the users' deployments, and others for quick and for wide runs.
// It must not be modified.
var Deployments = map[string]*Deployment{
	"wroblewski": {Name: "wroblewski", Edges: 15, CoreMembers: 3, Zones: 3, RequestRate: 680, InternalRatio: 0.3,
		Services: []ServiceSpec{{"saves", 4}, {"shop", 4}, {"items", 4}, {"accounts", 3}},
		Routes: []RouteSpec{
			{Name: "login", Service: "accounts", Prefix: "/accounts/login", Method: "GET", Weight: 0.25},
			{Name: "save-load", Service: "saves", Prefix: "/saves/load", Method: "GET", Weight: 0.2},
			{Name: "save-commit", Service: "saves", Prefix: "/saves/commit", Method: "POST", NonIdempotent: true, Weight: 0.2},
			{Name: "shop-buy", Service: "shop", Prefix: "/shop/buy", Method: "POST", NonIdempotent: true, Weight: 0.15},
			{Name: "backpack", Service: "items", Prefix: "/items/backpack", Method: "GET", Weight: 0.2},
			{Name: "check-price", Service: "shop", Prefix: "/shop/price", Method: "GET", Weight: 0.4, Internal: true},
			{Name: "check-slot", Service: "saves", Prefix: "/saves/slot", Method: "GET", Weight: 0.3, Internal: true},
			{Name: "check-item", Service: "items", Prefix: "/items/definition", Method: "GET", Weight: 0.3, Internal: true},
		}},
	"kithul": {Name: "kithul", Edges: 14, CoreMembers: 3, Zones: 3, RequestRate: 900, InternalRatio: 0.3,
		Services: []ServiceSpec{{"recipes", 4}, {"cookbooks", 4}, {"orders", 3}, {"search", 3}},
		Routes: []RouteSpec{
			{Name: "recipe", Service: "recipes", Prefix: "/recipes/read", Method: "GET", Weight: 0.4},
			{Name: "cookbook-save", Service: "cookbooks", Prefix: "/cookbooks/save", Method: "POST", NonIdempotent: true, Weight: 0.15},
			{Name: "kit-order", Service: "orders", Prefix: "/orders/kit", Method: "POST", NonIdempotent: true, Weight: 0.15},
			{Name: "find", Service: "search", Prefix: "/search/find", Method: "GET", Weight: 0.3},
			{Name: "pantry", Service: "recipes", Prefix: "/recipes/pantry", Method: "GET", Weight: 0.3, Internal: true},
			{Name: "stock", Service: "orders", Prefix: "/orders/stock", Method: "GET", Weight: 0.3, Internal: true},
			{Name: "ranking", Service: "search", Prefix: "/search/ranking", Method: "GET", Weight: 0.4, Internal: true},
		}},
	// The wide deployment has as many processes as one machine can run beside its other work.
	"wide": {Name: "wide", Edges: 120, CoreMembers: 3, Zones: 4, RequestRate: 240, InternalRatio: 0.2,
		Services: []ServiceSpec{{"shop", 60}, {"saves", 60}},
		Routes:   smallRoutes},
	"small": {Name: "small", Edges: 6, CoreMembers: 3, Zones: 2, RequestRate: 60, InternalRatio: 0.2,
		Services: []ServiceSpec{{"shop", 3}, {"saves", 3}},
		Routes:   smallRoutes},
}

// clientCaller is the caller name of all clients outside the mesh.
const clientCaller = "client"

// Versions of workers, the same for each service.
const (
	versionOld        = "1.0.0" // listed in the configuration; the fallback version
	versionNew        = "1.1.0" // listed in the configuration
	versionNotAllowed = "9.9.9" // not listed in the configuration, so that its workers must not get calls
)

// allowedCallers returns the names of the callers that may call a service: clients and every other service.
func (d *Deployment) allowedCallers(service string) []string {
	callers := []string{clientCaller}
	for _, other := range d.Services {
		if other.Name != service {
			callers = append(callers, other.Name)
		}
	}
	return callers
}

// quoteList formats names as a CUE list of strings.
func quoteList(names []string) string {
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%q", name))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// FlagText returns the release flag of a service, in CUE. newWeight is the weight of the new version, in thousandths of
// a percent. Texts with different generations differ even if the weight is the same, so that each is a change.
func (d *Deployment) FlagText(service string, newWeight, generation int) string {
	return fmt.Sprintf(`flag: "release.%s": {on: true, salt: "s", variations: [%q, %q], offVariation: 0,
	targets: [{variation: 0, values: ["nobody-%d"]}],
	fallthrough: rollout: variations: [{variation: 0, weight: %d}, {variation: 1, weight: %d}]}
`, service, versionOld, versionNew, generation, 100000-newWeight, newWeight)
}

// ConfigText returns the initial configuration of the fleet, in CUE. newWeight is the weight of the new version of each
// service, in thousandths of a percent.
func (d *Deployment) ConfigText(newWeight int) string {
	var text strings.Builder
	for _, service := range d.Services {
		fmt.Fprintf(&text, "service: %q: {versions: [%q, %q], fallback: %q, callers: %s}\n",
			service.Name, versionOld, versionNew, versionOld, quoteList(d.allowedCallers(service.Name)))
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

// workerPlacement assigns a worker to an edge machine.
type workerPlacement struct {
	edge    int // index of the edge machine
	service string
	version string
}

// assignWorkers assigns the workers of all services to the edge machines in turn. The workers of each service have the
// old and the new version alternately.
func (d *Deployment) assignWorkers() []workerPlacement {
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
