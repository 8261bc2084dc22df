package config

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"meadowhinge/internal/configsource"
	"meadowhinge/internal/flag"
	"meadowhinge/schema"
)

// stateFromBodies makes a state of items as an adapter states them, without CUE: kind/name to body.
func stateFromBodies(bodies map[string]string) State {
	var items []*schema.Item
	for key, body := range bodies {
		kind, name, _ := strings.Cut(key, "/")
		items = append(items, &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Term: 1, Sequence: 1}})
	}
	return State{}.With(items)
}

func pathsOf(faults []*schema.FieldError) (paths []string) {
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	return paths
}

// What comes without CUE is held to the same, each fault at its path.
func TestItemFaults(t *testing.T) {
	for body, paths := range map[string][]string{
		`{"service":"shop","prefix":"/a/"}`: nil,
		`{"service":"shop","prefix":"/a/","host":"a.example","horizon":"800ms","aim":"200ms","tries":2,"rank":2}`:  nil,
		`{"service":"shop","prefix":"/a/","horizon":"1s","aim":"60.9s"}`:                                           nil,
		`{"service":"shop","prefix":"/a/","horizon":"1s","aim":"61s"}`:                                             {"route.r.aim"},
		`{"service":"shop","prefix":"/a/","horizon":"0s"}`:                                                         {"route.r.horizon"},
		`{"service":"shop","prefix":"/a/","horizon":"soon","aim":"late"}`:                                          {"route.r.aim", "route.r.horizon"},
		`{"service":"shop","prefix":"/a/","tries":-1}`:                                                             {"route.r.tries"},
		`{"service":"shop","prefix":"/a/","host":""}`:                                                              {"route.r.host"},
		`{"service":"shop","prefix":"/a/","class":"twice"}`:                                                        {"route.r.class"},
		`{"service":"gone","prefix":"/a/"}`:                                                                        {"route.r.service"},
		`{"prefix":"/a/"}`:                                                                                         {"route.r.service"},
		`{"service":"shop","prefix":"/a/","colour":1}`:                                                             {"route.r"},
		`{"split":[{"service":"shop","weight":90},{"service":"bar","weight":10}],"prefix":"/a/"}`:                  nil,
		`{"split":[{"service":"shop","weight":0.5},{"service":"bar","weight":0}],"prefix":"/a/"}`:                  nil,
		`{"split":[{"service":"shop","weight":90},{"service":"gone","weight":10}],"prefix":"/a/"}`:                 {"route.r.split[1].service"},
		`{"split":[{"service":"shop","weight":90},{"service":"bar","weight":-1}],"prefix":"/a/"}`:                  {"route.r.split[1].weight"},
		`{"split":[{"service":"shop","weight":0},{"service":"bar","weight":0}],"prefix":"/a/"}`:                    {"route.r.split"},
		`{"service":"shop","split":[{"service":"shop","weight":1}],"prefix":"/a/"}`:                                {"route.r.service"},
		`{"split":[{"service":"gone","weight":-1}],"prefix":"/a/","host":"","tries":-2,"horizon":"1s","aim":"3m"}`: {"route.r.aim", "route.r.host", "route.r.split[0].service", "route.r.split[0].weight", "route.r.tries"},
		`{"service":"shop"`: {"route.r"},
	} {
		_, faults := Compile(stateFromBodies(map[string]string{"service/shop": `{}`, "service/bar": `{}`, "route/r": body}), 1)
		if diff := cmp.Diff(paths, pathsOf(faults)); diff != "" {
			t.Errorf("%s: %s", body, diff)
		}
	}
}

// An item that can never be right is found out by itself, so also where a newer one stands.
func TestCheck(t *testing.T) {
	invalid := &schema.Item{Kind: "route", Name: "r", Body: []byte(`{"service":"gone","prefix":"/a/","tries":-1}`)}
	if diff := cmp.Diff([]string{"route.r.tries"}, pathsOf(Check([]*schema.Item{invalid, {Kind: "route", Name: "s", Deleted: true}}))); diff != "" {
		t.Error(diff)
	}
}

func TestLimits(t *testing.T) {
	for name, one := range map[string]struct {
		bodies map[string]string
		limits Limits
		paths  []string
	}{
		"none":   {nil, DefaultLimits, nil},
		"some":   {map[string]string{"limits/limits": `{"headerMost":100,"quiet":"15000ms"}`}, Limits{MaxHeaderBytes: 100, MaxBodyBytes: DefaultLimits.MaxBodyBytes, HeaderTimeout: DefaultLimits.HeaderTimeout, IdleTimeout: 15 * time.Second, IdleTimeoutText: "15000ms"}, nil},
		"wrong":  {map[string]string{"limits/limits": `{"headerMost":-1,"bodyMost":-1,"quiet":"0s","headerWait":"x"}`}, Limits{}, []string{"limits.bodyMost", "limits.headerMost", "limits.headerWait", "limits.quiet"}},
		"others": {map[string]string{"limits/else": `{}`}, DefaultLimits, []string{"limits.else"}},
	} {
		snapshot, faults := Compile(stateFromBodies(one.bodies), 1)
		if diff := cmp.Diff(one.paths, pathsOf(faults)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if diff := cmp.Diff(one.limits, snapshot.Limits); diff != "" && name != "wrong" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Operators of the product's own interface have the same words.
func TestParsedItemsCompile(t *testing.T) {
	state, faults := stateOf(t, `
service: {shop: {}, bar: {callers: ["client"]}}
route: r: {host: "A.example", prefix: "/a/", split: [{service: "shop", weight: 90}, {service: "bar", weight: 10}], aim: "200ms", tries: 2, rank: 1}
limits: {bodyMost: 100, quiet: "15s"}
`)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	snapshot, faults := Compile(state, 1)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	route, found := snapshot.Match("a.EXAMPLE", "/a/x", "GET")
	if !found || route.LatencyTarget != 200*time.Millisecond || route.MaxAttempts != 2 || route.Priority != 1 || route.Deadline != 2*time.Second || route.KeyHeader == "" {
		t.Errorf("%+v", route)
	}
	if snapshot.Limits.MaxBodyBytes != 100 || snapshot.Limits.IdleTimeout != 15*time.Second {
		t.Errorf("%+v", snapshot.Limits)
	}
	if !snapshot.Services["shop"].AllowsCaller("anyone") || snapshot.Services["bar"].AllowsCaller("anyone") {
		t.Error("callers left out are anyone, those named are they alone")
	}
	for _, text := range []string{`route: r: {host: "", prefix: "/", service: "shop"}`, `route: r: {prefix: "/", service: "shop", tries: -1}`, `limits: {headerMost: 0}`, `limits: {colour: 1}`} {
		if _, faults := configsource.Parse([]byte(text)); len(faults) == 0 {
			t.Errorf("%s was read", text)
		}
	}
}

// Versions that a service leaves out are those that stand; what it states itself goes first.
func TestDiscoveredVersions(t *testing.T) {
	for name, one := range map[string]struct {
		service, standing, fallback string
		versions                    []string
		paths                       []string
	}{
		"nothing yet":            {`{}`, "", "", nil, nil},
		"what stands":            {`{}`, `{"versions":["v1","v2"],"fallback":"v2"}`, "v2", []string{"v1", "v2"}, nil},
		"stated":                 {`{"versions":["1"],"fallback":"1"}`, `{"versions":["v1"],"fallback":"v1"}`, "1", []string{"1"}, nil},
		"stated, wrong":          {`{"versions":["1"],"fallback":"2"}`, `{"versions":["2"],"fallback":"2"}`, "2", []string{"1"}, []string{"service.shop.fallback"}},
		"a fallback alone":       {`{"fallback":"2"}`, "", "2", nil, []string{"service.shop.fallback"}},
		"standing, inconsistent": {`{}`, `{"versions":["v1"],"fallback":"v3"}`, "v3", []string{"v1"}, []string{"service.shop.fallback", "standing.shop.fallback"}},
	} {
		bodies := map[string]string{"service/shop": one.service}
		if one.standing != "" {
			bodies["standing/shop"] = one.standing
		}
		snapshot, faults := Compile(stateFromBodies(bodies), 1)
		if diff := cmp.Diff(one.paths, pathsOf(faults)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		service := snapshot.Services["shop"]
		if diff := cmp.Diff(one.versions, service.Versions); diff != "" || service.Fallback != one.fallback || snapshot.FallbackOf("shop") != one.fallback {
			t.Errorf("%s: %+v", name, service)
		}
		for _, version := range one.versions {
			if !service.AllowsVersion(version) {
				t.Errorf("%s: bars %q", name, version)
			}
		}
	}
	// What stands may change while the service's item stays, and the earlier setup keeps its own.
	first := stateFromBodies(map[string]string{"service/shop": `{}`, "standing/shop": `{"versions":["v1"],"fallback":"v1"}`})
	before, _ := Compile(first, 1)
	after, _ := CompileIncremental(before, first.With([]*schema.Item{{Kind: "standing", Name: "shop", Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(`{"versions":["v1","v2"],"fallback":"v2"}`)}}), 2)
	if before.Services["shop"].AllowsVersion("v2") || !after.Services["shop"].AllowsVersion("v2") || after.FallbackOf("shop") != "v2" || before.FallbackOf("shop") != "v1" {
		t.Error("a change of what stands did not come through, or reached back")
	}
}

// A split is a flag: weights of any scale make up the whole, in the order of their sums.
func TestSplitFlags(t *testing.T) {
	for shares, want := range map[string][]int{
		`[{"service":"a","weight":90},{"service":"b","weight":10}]`:                             {90000, 10000},
		`[{"service":"a","weight":1},{"service":"b","weight":1},{"service":"a","weight":1}]`:    {33333, 33334, 33333},
		`[{"service":"a","weight":0},{"service":"b","weight":0.25}]`:                            {0, 100000},
		`[{"service":"a","weight":100000},{"service":"b","weight":100000}]`:                     {50000, 50000},
		`[{"service":"b","weight":7},{"service":"a","weight":0},{"service":"b","weight":0.01}]`: {99857, 0, 143},
	} {
		snapshot, faults := Compile(stateFromBodies(map[string]string{"service/a": `{}`, "service/b": `{}`, "route/r": fmt.Sprintf(`{"prefix":"/","split":%s}`, shares)}), 1)
		if len(faults) > 0 {
			t.Fatal(shares, faults)
		}
		decider := snapshot.Flags.Flags["route.r"]
		var got []int
		for _, one := range decider.Fallthrough.Rollout.Variations {
			got = append(got, one.Weight)
		}
		if diff := cmp.Diff(want, got); diff != "" || decider.Salt != "r" || !decider.On {
			t.Errorf("%s: %s", shares, diff)
		}
	}
	// The name is the route's: a flag that an operator writes cannot have it.
	_, faults := Compile(stateFromBodies(map[string]string{"service/a": `{}`, "route/r": `{"prefix":"/","split":[{"service":"a","weight":1}]}`,
		"flag/route.r": `{"on":true,"salt":"","variations":["a"],"offVariation":0,"fallthrough":{"variation":0}}`}), 1)
	if diff := cmp.Diff([]string{"flag.route.r"}, pathsOf(faults)); diff != "" {
		t.Error(diff)
	}
}

func TestMatch(t *testing.T) {
	snapshot, faults := Compile(stateFromBodies(map[string]string{"service/s": `{}`,
		"route/any": `{"service":"s","prefix":"/"}`, "route/own": `{"service":"s","prefix":"/a/","host":"a.example"}`,
		"route/deep": `{"service":"s","prefix":"/a/b/","host":"a.example","methods":["GET"]}`, "route/post": `{"service":"s","prefix":"/a/b/","host":"a.example","methods":["POST"]}`,
		"route/open": `{"service":"s","prefix":"/open"}`, "route/other": `{"service":"s","prefix":"/a/b/c/","host":"b.example:81"}`,
		"route/six": `{"service":"s","prefix":"/","host":"[::1]:8080"}`, "route/aa": `{"service":"s","prefix":"/a/a/","host":"a.example"}`}), 1)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for _, one := range []struct{ host, path, method, want string }{
		{"a.example", "/a/", "GET", "own"},
		{"A.Example:8304", "/a/x", "GET", "own"},
		{"a.example", "/a", "GET", "any"}, // the prefix ends with a slash
		{"a.example", "/ab/x", "GET", "any"},
		{"a.example", "/a/b/x", "GET", "deep"},
		{"a.example", "/a/b/x", "POST", "post"},
		{"a.example", "/a/b/x", "PUT", "own"}, // the longest that takes the method
		{"a.example", "/a/c/x", "GET", "own"}, // not what stands before it in order
		{"a.example", "/a/b/c/x", "GET", "deep"},
		{"a.example", "/open/x", "GET", "open"},
		{"b.example", "/a/b/c/x", "GET", "other"},
		{"b.example", "/a/b/x", "GET", "any"},
		{"", "/a/x", "GET", "any"},
		{"", "/opened", "GET", "open"},
		{"[::1]", "/x", "GET", "six"},
		{"[::1]:99", "/x", "GET", "six"},
		{"c.example", "x", "GET", ""},
	} {
		route, found := snapshot.Match(one.host, one.path, one.method)
		got := ""
		if found {
			got = route.Name
		}
		if got != one.want {
			t.Errorf("%s %s%s matched %q, not %q", one.method, one.host, one.path, got, one.want)
		}
	}
}

// The index finds what going through all routes would.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	text := func(most int) string {
		made := "/"
		for range random.IntN(most) {
			made += string("ab/"[random.IntN(3)])
		}
		return made
	}
	methods := []string{"", "GET", "POST"}
	for range 200 {
		var routes []*Route
		for i := range 1 + random.IntN(12) {
			route := &Route{Name: fmt.Sprint("r", i), Host: []string{"", "a", "b"}[random.IntN(3)], Prefix: text(6)}
			if method := methods[random.IntN(3)]; method != "" {
				route.Methods = []string{method}
			}
			routes = mergeRoutes(routes, []*Route{route})
		}
		made := newMatcher(routes)
		for range 50 {
			host, path := []string{"", "a", "b", "c"}[random.IntN(4)], text(9)
			var best *Route
			for _, route := range routes {
				if route.Host == host && strings.HasPrefix(path, route.Prefix) && route.matchesMethod("GET") && (best == nil || len(route.Prefix) > len(best.Prefix)) {
					best = route
				}
			}
			if got := made.find(host, path, "GET"); got != best {
				t.Fatalf("%s%s: %+v, not %+v", host, path, got, best)
			}
		}
	}
}

// Two routes at one place are refused; operators whose items have versions of their own may
// race for one, and then it is settled who goes first, in whatever order the changes came.
func TestRoutesWithSamePrefix(t *testing.T) {
	route := func(name string, sequence, given uint64) *schema.Item {
		return &schema.Item{Kind: "route", Name: name, OperatorVersion: given, Version: &schema.Version{Term: 1, Sequence: sequence}, Body: []byte(`{"service":"s","prefix":"/","host":"h"}`)}
	}
	service := &schema.Item{Kind: "service", Name: "s", Version: &schema.Version{Term: 1, Sequence: 1}, Body: []byte(`{}`)}
	for name, one := range map[string]struct {
		first, second uint64
		want          string
		paths         []string
	}{
		"none given":   {0, 0, "a", []string{"route.b"}},
		"one given":    {0, 4, "b", []string{"route.a"}},
		"higher first": {5, 4, "a", nil},
		"higher last":  {4, 5, "b", nil},
		"alike":        {4, 4, "a", nil},
	} {
		a, b := route("a", 1, one.first), route("b", 1, one.second)
		for _, order := range [][]*schema.Item{{service, a, b}, {service, b, a}} {
			state, snapshot := State{}, (*Snapshot)(nil)
			var faults []*schema.FieldError
			for _, item := range order {
				state = state.With([]*schema.Item{item})
				snapshot, faults = CompileIncremental(snapshot, state, 1)
			}
			if diff := cmp.Diff(one.paths, pathsOf(faults)); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
			if got, _ := snapshot.Match("h", "/", "GET"); got.Name != one.want {
				t.Errorf("%s: %s goes first", name, got.Name)
			}
		}
	}
}

// stateWithHosts is a state as an operator of many hosts has it.
func stateWithHosts(routes int) State {
	bodies := map[string]string{"service/a": `{}`, "service/b": `{}`, "standing/a": `{"versions":["v1"],"fallback":"v1"}`,
		"flag/release.a": `{"on":true,"salt":"s","variations":["v1"],"offVariation":0,"fallthrough":{"variation":0}}`}
	for i := range routes {
		to := `"service":"a"`
		if i%10 == 0 {
			to = `"split":[{"service":"a","weight":90},{"service":"b","weight":10}]`
		}
		bodies[fmt.Sprint("route/r", i)] = fmt.Sprintf(`{"host":"h%d.example","prefix":"/p%d/",%s,"class":"repeatable","horizon":"800ms","aim":"200ms","tries":2,"rank":1}`, i/2, i, to)
	}
	return stateFromBodies(bodies)
}

// A change costs by what it changes, also where the whole state is sent anew; what was taken
// over is the same as if made anew.
func TestDecodesOnlyChangedItems(t *testing.T) {
	state := stateWithHosts(500)
	before, faults := Compile(state, 1)
	if before.decodeCount != len(state) || len(faults) > 0 {
		t.Fatal(before.decodeCount, faults)
	}
	at := func(kind, name, body string, deleted bool) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(body), Deleted: deleted}
	}
	for name, one := range map[string]struct {
		items   []*schema.Item
		decodes int
	}{
		"nothing":               {nil, 0},
		"a route":               {[]*schema.Item{at("route", "r7", `{"host":"h7.example","prefix":"/","service":"a"}`, false)}, 1},
		"a new route":           {[]*schema.Item{at("route", "new", `{"host":"h7.example","prefix":"/","service":"a"}`, false)}, 1},
		"a route less":          {[]*schema.Item{at("route", "r7", "", true)}, 0},
		"a split now a service": {[]*schema.Item{at("route", "r10", `{"host":"h5.example","prefix":"/p10/","service":"b"}`, false)}, 1},
		"a split's weights":     {[]*schema.Item{at("route", "r10", `{"host":"h5.example","prefix":"/p10/","split":[{"service":"b","weight":1}]}`, false)}, 1},
		"what stands":           {[]*schema.Item{at("standing", "a", `{"versions":["v1","v2"],"fallback":"v1"}`, false)}, 1},
		"a flag":                {[]*schema.Item{at("flag", "release.a", `{"on":false,"salt":"s","variations":["v1"],"offVariation":0,"fallthrough":{"variation":0}}`, false)}, 1},
	} {
		next := state.With(one.items)
		again := State{}
		for key, item := range next {
			again[key] = &schema.Item{Kind: item.Kind, Name: item.Name, Version: &schema.Version{Term: 1, Sequence: item.Version.Sequence}, Body: append([]byte(nil), item.Body...), Deleted: item.Deleted}
		}
		anew, wrong := Compile(next, 2)
		if len(wrong) > 0 {
			t.Fatal(name, wrong)
		}
		for _, state := range []State{next, again} {
			after, faults := CompileIncremental(before, state, 2)
			if after.decodeCount != one.decodes || len(faults) > 0 {
				t.Errorf("%s: %d decodes, %v", name, after.decodeCount, faults)
			}
			shown := func(made *Snapshot) (list []string) {
				for _, route := range made.Routes {
					list = append(list, fmt.Sprint(route.Name, route.Host, route.Prefix, route.Service, route.Split))
				}
				for _, key := range sortedKeys(made.Flags.Flags) {
					list = append(list, fmt.Sprint(key, made.Flags.Flags[key].On, made.Flags.Flags[key].Variations))
				}
				return append(list, fmt.Sprint(made.Services["a"].Versions, len(made.routeMatcher.groups), made.routeMatcher.hosts))
			}
			if diff := cmp.Diff(shown(anew), shown(after)); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	}
	if decider := before.Flags.Flags["route.r10"]; decider == nil || decider.Fallthrough.Rollout.Variations[0].Weight != flag.TotalWeight*9/10 {
		t.Error("an earlier setup was changed")
	}
}

func BenchmarkCompileFirst(b *testing.B) {
	state := stateWithHosts(350)
	for b.Loop() {
		Compile(state, 1)
	}
}

func BenchmarkCompileOneRouteOf500(b *testing.B) {
	state := stateWithHosts(500)
	before, _ := Compile(state, 1)
	next := state.With([]*schema.Item{{Kind: "route", Name: "r7", Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(`{"host":"h7.example","prefix":"/","service":"a"}`)}})
	for b.Loop() {
		CompileIncremental(before, next, 2)
	}
}

func BenchmarkMatch(b *testing.B) {
	snapshot, _ := Compile(stateWithHosts(500), 1)
	for b.Loop() {
		snapshot.Match("h170.example:8304", "/p340/2f", "GET")
	}
}
