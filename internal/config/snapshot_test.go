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

// stateOf parses CUE text into a state, each item with a sequence of its own.
func stateOf(t *testing.T, text string) (State, []*schema.FieldError) {
	t.Helper()
	items, faults := configsource.Parse([]byte(text))
	for i, item := range items {
		item.Version = &schema.Version{Term: 1, Sequence: uint64(i + 1)}
	}
	return State{}.With(items), faults
}

func TestValidConfigCompiles(t *testing.T) {
	state, faults := stateOf(t, validConfig)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	snapshot, faults := Compile(state, 7)
	if len(faults) > 0 {
		t.Fatal(faults)
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
				t.Errorf("%s %s matched %q, want %q", want.method, want.path, got, want.route)
			}
		})
	}
	route, _ := snapshot.Match("", "/shop/buy", "POST")
	if route.ClassFor("POST") != ClassNonIdempotent || route.ClassFor("GET") != ClassIdempotent {
		t.Error("only GET and HEAD may be retried by default")
	}
}

// Every fault of a text is reported at once, each at its path.
func TestEveryFaultIsReported(t *testing.T) {
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
			t.Errorf("no fault at %s; got %v", path, faults)
		}
	}
}

// Faults between items are each reported at the path of the item that refers.
func TestCrossFaults(t *testing.T) {
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
		t.Fatal(faults)
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
		t.Error(diff)
	}
}

// Of two versions of an item the newer stays, in whatever order they are merged.
func TestMergeKeepsNewer(t *testing.T) {
	older := &schema.Item{Kind: "flag", Name: "a", Version: &schema.Version{Term: 1, Sequence: 9}, Body: []byte("old")}
	newer := &schema.Item{Kind: "flag", Name: "a", Version: &schema.Version{Term: 2, Sequence: 1}, Body: []byte("new")}
	for _, order := range [][]*schema.Item{{older, newer}, {newer, older}} {
		merged := State{}
		for _, item := range order {
			merged = merged.With([]*schema.Item{item})
		}
		if string(merged["flag/a"].Body) != "new" {
			t.Error("an older copy displaced a newer one")
		}
	}
}

func stateWithRoutes(routes int) State {
	var items []*schema.Item
	for i := range routes {
		items = append(items, &schema.Item{Kind: "route", Name: fmt.Sprint("r", i), Version: &schema.Version{Term: 1, Sequence: 1},
			Body: []byte(fmt.Sprintf(`{"service":"shop","prefix":"/grown/%d","methods":[],"horizon":"2s","key":"X-User","attributes":{}}`, i))})
	}
	return State{}.With(items)
}

// A change to a large configuration costs by what changed; the rest is reused.
func BenchmarkCompileIncrementalOneChange(b *testing.B) {
	state := stateWithRoutes(5000)
	before, _ := Compile(state, 1)
	next := state.With([]*schema.Item{{Kind: "segment", Name: "s", Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(`{"salt":""}`)}})
	for b.Loop() {
		CompileIncremental(before, next, 2)
	}
}

// Compiling after an earlier snapshot gives the same as compiling from scratch.
func TestCompileIncremental(t *testing.T) {
	state := stateWithRoutes(20)
	before, _ := Compile(state, 1)
	next := state.With([]*schema.Item{
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
		t.Error(diff)
	}
	if _, found := after.Match("", "/grown/3", "GET"); found {
		t.Error("a removed route is still there")
	}
	if route, found := after.Match("", "/moved", "GET"); !found || route.KeyHeader != "K" {
		t.Error("a changed route was reused from the earlier snapshot")
	}
}

// The rollback guard watches what a flag may pick besides the fallback. A stop must be named after the service
// and version that it stops, which must exist and not be the fallback.
func TestGuardsAndStops(t *testing.T) {
	base := `service: shop: {versions: ["1", "2", "3"], fallback: "1", callers: []}
`
	for name, test := range map[string]struct {
		text   string
		guards []string
		faults int
	}{
		"no flag":                 {"", nil, 0},
		"a flag for the fallback": {`flag: "release.shop": {on: true, salt: "", variations: ["1", "2"], offVariation: 1, fallthrough: {variation: 0}}`, nil, 0},
		"off, to another version": {`flag: "release.shop": {on: false, salt: "", variations: ["1", "2"], offVariation: 1, fallthrough: {variation: 0}}`, []string{"2"}, 0},
		"no weight on it":         {`flag: "release.shop": {on: true, salt: "", variations: ["1", "2"], offVariation: 0, fallthrough: rollout: variations: [{variation: 0, weight: 100000}, {variation: 1, weight: 0}]}`, nil, 0},
		"a target and a rule": {`flag: "release.shop": {on: true, salt: "", variations: ["1", "2", "3"], offVariation: 0, fallthrough: {variation: 0},
			targets: [{variation: 2, values: ["ann"]}], rules: [{id: "r", clauses: [], variation: 1}]}`, []string{"2", "3"}, 0},
		"a stop":                      {`stop: "shop.2": {service: "shop", version: "2"}`, nil, 0},
		"a stop by another name":      {`stop: "two": {service: "shop", version: "2"}`, nil, 1},
		"a stop of no version":        {`stop: "shop.9": {service: "shop", version: "9"}`, nil, 1},
		"a stop of no service":        {`stop: "gone.2": {service: "gone", version: "2"}`, nil, 1},
		"a stop of the fallback":      {`stop: "shop.1": {service: "shop", version: "1"}`, nil, 1},
		"a lifted stop, now fallback": {`stop: "shop.1": {service: "shop", version: "1", lifted: true}`, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			state, faults := stateOf(t, base+test.text)
			snapshot, cross := Compile(state, 9)
			if len(faults) > 0 || len(cross) != test.faults {
				t.Errorf("%s: faults %v, %v", name, faults, cross)
			}
			if diff := cmp.Diff(test.guards, snapshot.GuardedVersions["shop"]); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		})
	}
}

// Each fault of a policy is reported at its path; a policy that compiled is not compiled again.
func TestPolicies(t *testing.T) {
	base := `service: shop: {versions: ["1"], fallback: "1", callers: []}
`
	for name, test := range map[string]struct {
		text  string
		paths []string
	}{
		"sound": {`policy: p: expression: "country == \"se\""
route: r: {service: "shop", prefix: "/r", attributes: country: "X", policy: "p"}`, nil},
		"sound, no route yet": {`policy: p: expression: "country == \"se\""`, nil},
		"no bool":             {`policy: p: expression: "caller"`, []string{"policy.p.expression"}},
		"does not parse":      {`policy: p: expression: "caller =="`, []string{"policy.p.expression"}},
		"no such attribute": {`policy: p: expression: "country == \"se\""
route: r: {service: "shop", prefix: "/r", policy: "p"}`, []string{"policy.p.expression"}},
		"missing, or removed": {`route: r: {service: "shop", prefix: "/r", policy: "p"}`, []string{"route.r.policy"}},
		"hides the context": {`policy: p: expression: "caller == \"a\""
route: r: {service: "shop", prefix: "/r", attributes: caller: "X", policy: "p"}`, []string{"route.r.attributes.caller"}},
		"each by itself": {`policy: {p: expression: "caller", q: expression: "1 +"}`, []string{"policy.p.expression", "policy.q.expression"}},
	} {
		t.Run(name, func(t *testing.T) {
			state, faults := stateOf(t, base+test.text)
			snapshot, cross := Compile(state, 9)
			var paths []string
			for _, fault := range append(faults, cross...) {
				paths = append(paths, fault.Path)
			}
			if diff := cmp.Diff(test.paths, paths); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
			// Compiled once: the next snapshot reuses the program.
			if next, _ := CompileIncremental(snapshot, state, 10); len(test.paths) == 0 && len(snapshot.Routes) > 0 && next.Routes[0].Policy != snapshot.Routes[0].Policy {
				t.Errorf("%s: was compiled again", name)
			}
		})
	}
}
