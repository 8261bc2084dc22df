package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"meadowhinge/internal/configsource"
	"meadowhinge/schema"
)

const validConfig = `
service: shop: {versions: ["1.0.0", "2.0.0"], fallback: "1.0.0", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"]}
route: look: {service: "shop", prefix: "/shop", key: "X-Player", attributes: country: "X-Country"}
flag: "release.shop": {on: true, salt: "s", variations: ["1.0.0", "2.0.0"], offVariation: 0,
	fallthrough: rollout: variations: [{variation: 0, weight: 90000}, {variation: 1, weight: 10000}]}
segment: testers: {salt: "t", included: ["ann"]}
release: r1: {service: "shop", version: "2.0.0", target: 50, over: "10m"}
`

// stateOf parses CUE text into a state. Each item gets its own sequence; all have term 1.
func stateOf(t *testing.T, text string) (State, []*schema.FieldError) {
	t.Helper()
	items, faults := configsource.Parse([]byte(text))
	for i, item := range items {
		item.Version = &schema.Version{Term: 1, Sequence: uint64(i + 1)}
	}
	return State{}.Merge(items), faults
}

// A valid configuration compiles without faults, and its routes match by prefix and method.
func TestValidConfigCompiles(t *testing.T) {
	state, faults := stateOf(t, validConfig)
	if len(faults) > 0 {
		t.Fatalf("Parse reported faults: %v", faults)
	}
	snapshot, faults := Compile(state, 7)
	if len(faults) > 0 {
		t.Fatalf("Compile reported faults: %v", faults)
	}
	for _, want := range []struct{ path, method, route string }{
		{"/shop/buy", "POST", "buy"}, {"/shop/buy", "GET", "look"}, {"/shop/x", "POST", "look"}, {"/other", "GET", ""},
	} {
		t.Run(want.method+" "+want.path, func(t *testing.T) {
			route, found := snapshot.Match("", want.path, want.method)
			got := ""
			if found {
				got = route.Name
			}
			if got != want.route {
				t.Errorf("Match(\"\", %q, %q) = route %q, want %q", want.path, want.method, got, want.route)
			}
		})
	}
	route, _ := snapshot.Match("", "/shop/buy", "POST")
	if route.ClassFor("POST") != ClassNonIdempotent || route.ClassFor("GET") != ClassIdempotent {
		t.Errorf("ClassFor(POST) = %q, want %q; ClassFor(GET) = %q, want %q", route.ClassFor("POST"), ClassNonIdempotent, route.ClassFor("GET"), ClassIdempotent)
	}
}

// Parse reports all faults of a text at once, each at its path.
func TestParseReportsEveryFault(t *testing.T) {
	_, faults := stateOf(t, `
service: shop: {versions: [], fallback: "1", callers: [], colour: "red"}
route: a: {service: "shop", prefix: "no-slash"}
release: r: {service: "shop", version: "1", target: 101, over: "10m", size: 3}
`)
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	got := strings.Join(paths, " ")
	for _, path := range []string{"service.shop.colour", "route.a.prefix", "release.r.target", "release.r.size"} {
		if !strings.Contains(got, path) {
			t.Errorf("Parse reported no fault at %s; got %v", path, faults)
		}
	}
}

// A fault between two items is reported at the path of the item that refers to the other.
func TestCompileReportsReferenceFaults(t *testing.T) {
	state, faults := stateOf(t, `
service: shop: {versions: ["1"], fallback: "2", callers: []}
route: a: {service: "nowhere", prefix: "/a"}
route: b: {service: "shop", prefix: "/a"}
flag: "release.shop": {on: true, salt: "", variations: ["9"], offVariation: 3, fallthrough: {variation: 0},
	prerequisites: [{key: "release.shop", variation: 0}]}
flag: odd: {on: true, salt: "", variations: ["x", "y"], offVariation: 0,
	fallthrough: rollout: variations: [{variation: 0, weight: 5}]}
flag: re: {on: true, salt: "", variations: ["x"], offVariation: 0, fallthrough: {variation: 0},
	rules: [{id: "r", variation: 0, clauses: [{attribute: "a", operator: "matches", values: ["("]}]}]}
release: r1: {service: "shop", version: "7", target: 50, over: "0s"}
release: r2: {service: "shop", version: "1", target: 50, over: "1s"}
`)
	if len(faults) > 0 {
		t.Fatalf("Parse reported faults: %v", faults)
	}
	_, faults = Compile(state, 1)
	got := map[string]int{}
	for _, fault := range faults {
		got[fault.Path]++
	}
	want := map[string]int{
		"service.shop.fallback": 1, "route.a.service": 1, "route.b": 1,
		"flag.release.shop.variations[0]": 1, "flag.release.shop.offVariation": 1, "flag.release.shop.prerequisites": 1,
		"flag.odd.fallthrough.rollout": 1, "flag.re.rules[0].clauses[0].values[0]": 1,
		"release.r1.version": 1, "release.r1.over": 1, "release.r1": 1, "release.r2": 2,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("Compile: number of faults by path (-want +got):\n%s", diff)
	}
}

// Merge keeps the newer of two versions of an item, in whatever order they are merged.
func TestMergeKeepsNewerVersion(t *testing.T) {
	older := &schema.Item{Kind: "flag", Name: "a", Version: &schema.Version{Term: 1, Sequence: 9}, Body: []byte("old")}
	newer := &schema.Item{Kind: "flag", Name: "a", Version: &schema.Version{Term: 2, Sequence: 1}, Body: []byte("new")}
	for _, order := range [][]*schema.Item{{older, newer}, {newer, older}} {
		merged := State{}
		for _, item := range order {
			merged = merged.Merge([]*schema.Item{item})
		}
		if string(merged["flag/a"].Body) != "new" {
			t.Errorf("merged %q, then %q: got body %q, want new", order[0].Body, order[1].Body, merged["flag/a"].Body)
		}
	}
}

// stateWithRoutes returns a state with a number of routes for any host, each with a prefix of its own.
func stateWithRoutes(routes int) State {
	var items []*schema.Item
	for i := range routes {
		items = append(items, &schema.Item{Kind: "route", Name: fmt.Sprint("r", i), Version: &schema.Version{Term: 1, Sequence: 1},
			Body: []byte(fmt.Sprintf(`{"service":"shop","prefix":"/grown/%d","methods":[],"horizon":"2s","key":"X-User","attributes":{}}`, i))})
	}
	return State{}.Merge(items)
}

// The cost of a change to a large configuration should depend on the size of the change, since unchanged items are
// reused.
func BenchmarkCompileIncrementalOneChange(b *testing.B) {
	state := stateWithRoutes(5000)
	before, _ := Compile(state, 1)
	next := state.Merge([]*schema.Item{{Kind: "segment", Name: "s", Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(`{"salt":""}`)}})
	for b.Loop() {
		CompileIncremental(before, next, 2)
	}
}

// CompileIncremental returns the same routes as Compile after routes were changed and removed.
func TestCompileIncrementalReturnsRoutesOfCompile(t *testing.T) {
	state := stateWithRoutes(20)
	before, _ := Compile(state, 1)
	next := state.Merge([]*schema.Item{
		{Kind: "route", Name: "r3", Version: &schema.Version{Term: 1, Sequence: 2}, Deleted: true},
		{Kind: "route", Name: "r4", Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(`{"service":"shop","prefix":"/moved","methods":[],"horizon":"1s","key":"K","attributes":{}}`)},
	})
	after, _ := CompileIncremental(before, next, 2)
	fromScratch, _ := Compile(next, 2)
	prefixes := func(s *Snapshot) (list []string) {
		for _, route := range s.Routes {
			list = append(list, route.Name+route.Prefix)
		}
		return list
	}
	if diff := cmp.Diff(prefixes(fromScratch), prefixes(after)); diff != "" {
		t.Errorf("routes of Compile (-) and CompileIncremental (+) differ:\n%s", diff)
	}
	if route, found := after.Match("", "/grown/3", "GET"); found {
		t.Errorf("Match for the removed route r3 returned %+v, want none", route)
	}
	if route, found := after.Match("", "/moved", "GET"); !found || route.KeyHeader != "K" {
		t.Errorf("Match for the changed route r4 returned %+v, %v; want a route with key header K", route, found)
	}
}

// The guarded versions are those that the version flag may pick besides the fallback. A stop must be named after its
// service and version, which must exist. A version with an active stop must not be the fallback.
func TestGuardedVersionsAndFaultsOfStops(t *testing.T) {
	base := `service: shop: {versions: ["1", "2", "3"], fallback: "1", callers: []}
`
	for name, test := range map[string]struct {
		text   string
		guards []string
		faults int
	}{
		"without a flag no version is guarded":                  {"", nil, 0},
		"a flag that picks only the fallback guards no version": {`flag: "release.shop": {on: true, salt: "", variations: ["1", "2"], offVariation: 1, fallthrough: {variation: 0}}`, nil, 0},
		"the off variation of a flag that is off is guarded":    {`flag: "release.shop": {on: false, salt: "", variations: ["1", "2"], offVariation: 1, fallthrough: {variation: 0}}`, []string{"2"}, 0},
		"a variation without weight is not guarded":             {`flag: "release.shop": {on: true, salt: "", variations: ["1", "2"], offVariation: 0, fallthrough: rollout: variations: [{variation: 0, weight: 100000}, {variation: 1, weight: 0}]}`, nil, 0},
		"the variations of targets and rules are guarded": {`flag: "release.shop": {on: true, salt: "", variations: ["1", "2", "3"], offVariation: 0, fallthrough: {variation: 0},
			targets: [{variation: 2, values: ["ann"]}], rules: [{id: "r", clauses: [], variation: 1}]}`, []string{"2", "3"}, 0},
		"a stop is valid":                         {`stop: "shop.2": {service: "shop", version: "2"}`, nil, 0},
		"a stop by another name is a fault":       {`stop: "two": {service: "shop", version: "2"}`, nil, 1},
		"a stop of an unknown version is a fault": {`stop: "shop.9": {service: "shop", version: "9"}`, nil, 1},
		"a stop of an unknown service is a fault": {`stop: "gone.2": {service: "gone", version: "2"}`, nil, 1},
		"a stop of the fallback is a fault":       {`stop: "shop.1": {service: "shop", version: "1"}`, nil, 1},
		"a lifted stop of the fallback is valid":  {`stop: "shop.1": {service: "shop", version: "1", lifted: true}`, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			state, faults := stateOf(t, base+test.text)
			snapshot, compileFaults := Compile(state, 9)
			if len(faults) > 0 || len(compileFaults) != test.faults {
				t.Errorf("Parse reported faults %v, want none; Compile reported faults %v, want %d", faults, compileFaults, test.faults)
			}
			if diff := cmp.Diff(test.guards, snapshot.GuardedVersions["shop"]); diff != "" {
				t.Errorf("GuardedVersions of shop (-want +got):\n%s", diff)
			}
		})
	}
}

// Each fault of a policy is reported at its path. A policy that compiled once is not compiled again for a later
// snapshot.
func TestPolicyFaultsAndReuse(t *testing.T) {
	base := `service: shop: {versions: ["1"], fallback: "1", callers: []}
`
	for name, test := range map[string]struct {
		text  string
		paths []string
	}{
		"a policy that a route names is valid": {`policy: p: expression: "country == \"se\""
route: r: {service: "shop", prefix: "/r", attributes: country: "X", policy: "p"}`, nil},
		"a policy without a route is valid":       {`policy: p: expression: "country == \"se\""`, nil},
		"a policy that is not boolean is a fault": {`policy: p: expression: "caller"`, []string{"policy.p.expression"}},
		"a policy that does not parse is a fault": {`policy: p: expression: "caller =="`, []string{"policy.p.expression"}},
		"an attribute that the route does not have is a fault": {`policy: p: expression: "country == \"se\""
route: r: {service: "shop", prefix: "/r", policy: "p"}`, []string{"policy.p.expression"}},
		"a policy that does not exist is a fault of the route": {`route: r: {service: "shop", prefix: "/r", policy: "p"}`, []string{"route.r.policy"}},
		"an attribute with a built-in name is a fault": {`policy: p: expression: "caller == \"a\""
route: r: {service: "shop", prefix: "/r", attributes: caller: "X", policy: "p"}`, []string{"route.r.attributes.caller"}},
		"each policy has faults of its own": {`policy: {p: expression: "caller", q: expression: "1 +"}`, []string{"policy.p.expression", "policy.q.expression"}},
	} {
		t.Run(name, func(t *testing.T) {
			state, faults := stateOf(t, base+test.text)
			snapshot, compileFaults := Compile(state, 9)
			var paths []string
			for _, fault := range append(faults, compileFaults...) {
				paths = append(paths, fault.Path)
			}
			if diff := cmp.Diff(test.paths, paths); diff != "" {
				t.Errorf("Parse and Compile: paths of faults (-want +got):\n%s", diff)
			}
			// The next snapshot reuses the compiled program.
			if next, _ := CompileIncremental(snapshot, state, 10); len(test.paths) == 0 && len(snapshot.Routes) > 0 && next.Routes[0].Policy != snapshot.Routes[0].Policy {
				t.Errorf("program of the next snapshot is %p, want %p: the policy was compiled again", next.Routes[0].Policy, snapshot.Routes[0].Policy)
			}
		})
	}
}
