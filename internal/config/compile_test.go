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

// stateFromBodies returns a state with an item for each body, keyed by kind/name. The bodies are not checked against the
// CUE schema. Neither are those of items from an operator API that does not use CUE.
func stateFromBodies(bodies map[string]string) State {
	var items []*schema.Item
	for key, body := range bodies {
		kind, name, _ := strings.Cut(key, "/")
		items = append(items, &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Term: 1, Sequence: 1}})
	}
	return State{}.Merge(items)
}

func pathsOf(faults []*schema.FieldError) (paths []string) {
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	return paths
}

// Compile checks the items that were not checked against the CUE schema as strictly as CUE does, and reports each
// fault at its path.
func TestCompileReportsItemFaults(t *testing.T) {
	for body, wantPaths := range map[string][]string{
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
		t.Run(body, func(t *testing.T) {
			_, faults := Compile(stateFromBodies(map[string]string{"service/shop": `{}`, "service/bar": `{}`, "route/r": body}), 1)
			if diff := cmp.Diff(wantPaths, pathsOf(faults)); diff != "" {
				t.Errorf("Compile with route %s: paths of faults (-want +got):\n%s", body, diff)
			}
		})
	}
}

// Check reports the faults that an item has by itself, not a missing service, and none for a tombstone.
func TestCheckIgnoresReferencesAndTombstones(t *testing.T) {
	invalid := &schema.Item{Kind: "route", Name: "r", Body: []byte(`{"service":"gone","prefix":"/a/","tries":-1}`)}
	if diff := cmp.Diff([]string{"route.r.tries"}, pathsOf(Check([]*schema.Item{invalid, {Kind: "route", Name: "s", Deleted: true}}))); diff != "" {
		t.Errorf("Check: paths of faults (-want +got):\n%s", diff)
	}
}

// Limits that are left out have their defaults, and each invalid limit is reported at its path.
func TestOmittedLimitsHaveDefaults(t *testing.T) {
	for name, test := range map[string]struct {
		bodies map[string]string
		limits Limits
		paths  []string
	}{
		"no limits item has the defaults":            {nil, DefaultLimits, nil},
		"limits that are left out have the defaults": {map[string]string{"limits/limits": `{"headerMost":100,"quiet":"15000ms"}`}, Limits{MaxHeaderBytes: 100, MaxBodyBytes: DefaultLimits.MaxBodyBytes, HeaderTimeout: DefaultLimits.HeaderTimeout, IdleTimeout: 15 * time.Second, IdleTimeoutText: "15000ms"}, nil},
		"every invalid limit is reported":            {map[string]string{"limits/limits": `{"headerMost":-1,"bodyMost":-1,"quiet":"0s","headerWait":"x"}`}, Limits{}, []string{"limits.bodyMost", "limits.headerMost", "limits.headerWait", "limits.quiet"}},
		"an item by another name is reported":        {map[string]string{"limits/else": `{}`}, DefaultLimits, []string{"limits.else"}},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot, faults := Compile(stateFromBodies(test.bodies), 1)
			if diff := cmp.Diff(test.paths, pathsOf(faults)); diff != "" {
				t.Errorf("Compile: paths of faults (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.limits, snapshot.Limits); diff != "" && name != "every invalid limit is reported" {
				t.Errorf("Snapshot.Limits (-want +got):\n%s", diff)
			}
		})
	}
}

// The CUE schema and the decoders have the same field names, and the CUE schema refuses what Compile would report.
func TestParsedItemsCompile(t *testing.T) {
	state, faults := stateOf(t, `
service: {shop: {}, bar: {callers: ["client"]}}
route: r: {host: "A.example", prefix: "/a/", split: [{service: "shop", weight: 90}, {service: "bar", weight: 10}], aim: "200ms", tries: 2, rank: 1}
limits: {bodyMost: 100, quiet: "15s"}
`)
	if len(faults) > 0 {
		t.Fatalf("Parse reported faults: %v", faults)
	}
	snapshot, faults := Compile(state, 1)
	if len(faults) > 0 {
		t.Fatalf("Compile reported faults: %v", faults)
	}
	route, found := snapshot.Match("a.EXAMPLE", "/a/x", "GET")
	if !found || route.LatencyTarget != 200*time.Millisecond || route.MaxAttempts != 2 || route.Priority != 1 || route.Deadline != 2*time.Second || route.KeyHeader == "" {
		t.Errorf("Match returned %+v, %v; want a route with LatencyTarget 200ms, MaxAttempts 2, Priority 1, Deadline 2s and a KeyHeader", route, found)
	}
	if snapshot.Limits.MaxBodyBytes != 100 || snapshot.Limits.IdleTimeout != 15*time.Second {
		t.Errorf("Limits are %+v, want MaxBodyBytes 100 and IdleTimeout 15s", snapshot.Limits)
	}
	shopAllows, barAllows := snapshot.Services["shop"].AllowsCaller("anyone"), snapshot.Services["bar"].AllowsCaller("anyone")
	if !shopAllows || barAllows {
		t.Errorf("AllowsCaller: shop, without callers, gave %v, want true; bar, with other callers, gave %v, want false", shopAllows, barAllows)
	}
	for _, text := range []string{`route: r: {host: "", prefix: "/", service: "shop"}`, `route: r: {prefix: "/", service: "shop", tries: -1}`, `limits: {headerMost: 0}`, `limits: {colour: 1}`} {
		if _, faults := configsource.Parse([]byte(text)); len(faults) == 0 {
			t.Errorf("Parse reported no fault for %s", text)
		}
	}
}

// A service for which operators list no versions has the discovered ones. Listed versions take precedence.
func TestListedVersionsPrecedeDiscoveredOnes(t *testing.T) {
	for name, test := range map[string]struct {
		service, discovered, fallback string
		versions                      []string
		paths                         []string
	}{
		"neither listed nor discovered versions are no fault":            {`{}`, "", "", nil, nil},
		"discovered versions are used":                                   {`{}`, `{"versions":["v1","v2"],"fallback":"v2"}`, "v2", []string{"v1", "v2"}, nil},
		"listed versions take precedence":                                {`{"versions":["1"],"fallback":"1"}`, `{"versions":["v1"],"fallback":"v1"}`, "1", []string{"1"}, nil},
		"a listed fallback that is not listed as a version is a fault":   {`{"versions":["1"],"fallback":"2"}`, `{"versions":["2"],"fallback":"2"}`, "2", []string{"1"}, []string{"service.shop.fallback"}},
		"a fallback without versions is a fault":                         {`{"fallback":"2"}`, "", "2", nil, []string{"service.shop.fallback"}},
		"a discovered fallback that is no discovered version is a fault": {`{}`, `{"versions":["v1"],"fallback":"v3"}`, "v3", []string{"v1"}, []string{"service.shop.fallback", "standing.shop.fallback"}},
	} {
		t.Run(name, func(t *testing.T) {
			bodies := map[string]string{"service/shop": test.service}
			if test.discovered != "" {
				bodies["standing/shop"] = test.discovered
			}
			snapshot, faults := Compile(stateFromBodies(bodies), 1)
			if diff := cmp.Diff(test.paths, pathsOf(faults)); diff != "" {
				t.Errorf("Compile: paths of faults (-want +got):\n%s", diff)
			}
			service := snapshot.Services["shop"]
			if diff := cmp.Diff(test.versions, service.Versions); diff != "" || service.Fallback != test.fallback || snapshot.FallbackVersion("shop") != test.fallback {
				t.Errorf("Snapshot.Services has shop with versions %q and fallback %q, and FallbackVersion(shop) = %q; want versions %q and fallback %q", service.Versions, service.Fallback, snapshot.FallbackVersion("shop"), test.versions, test.fallback)
			}
			for _, version := range test.versions {
				if !service.AllowsVersion(version) {
					t.Errorf("AllowsVersion(%q) = false, want true", version)
				}
			}
		})
	}
	// If the discovered versions change while the service's item stays, the new snapshot has the new versions, and the
	// earlier snapshot keeps the old ones.
	first := stateFromBodies(map[string]string{"service/shop": `{}`, "standing/shop": `{"versions":["v1"],"fallback":"v1"}`})
	before, _ := Compile(first, 1)
	after, _ := CompileIncremental(before, first.Merge([]*schema.Item{{Kind: "standing", Name: "shop", Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(`{"versions":["v1","v2"],"fallback":"v2"}`)}}), 2)
	if before.Services["shop"].AllowsVersion("v2") || !after.Services["shop"].AllowsVersion("v2") || after.FallbackVersion("shop") != "v2" || before.FallbackVersion("shop") != "v1" {
		t.Errorf("versions and fallback before the change: %q, %q, want only v1; after it: %q, %q, want v2 too, as the fallback",
			before.Services["shop"].Versions, before.FallbackVersion("shop"), after.Services["shop"].Versions, after.FallbackVersion("shop"))
	}
}

// A split becomes a flag whose weights add up to flag.TotalWeight, whatever the scale of the operator's weights.
func TestSplitBecomesFlagWithTotalWeight(t *testing.T) {
	for split, want := range map[string][]int{
		`[{"service":"a","weight":90},{"service":"b","weight":10}]`:                             {90000, 10000},
		`[{"service":"a","weight":1},{"service":"b","weight":1},{"service":"a","weight":1}]`:    {33333, 33334, 33333},
		`[{"service":"a","weight":0},{"service":"b","weight":0.25}]`:                            {0, 100000},
		`[{"service":"a","weight":100000},{"service":"b","weight":100000}]`:                     {50000, 50000},
		`[{"service":"b","weight":7},{"service":"a","weight":0},{"service":"b","weight":0.01}]`: {99857, 0, 143},
	} {
		t.Run(split, func(t *testing.T) {
			snapshot, faults := Compile(stateFromBodies(map[string]string{"service/a": `{}`, "service/b": `{}`, "route/r": fmt.Sprintf(`{"prefix":"/","split":%s}`, split)}), 1)
			if len(faults) > 0 {
				t.Fatalf("Compile reported faults: %v", faults)
			}
			splitFlag := snapshot.Flags.Flags["route.r"]
			var got []int
			for _, weighted := range splitFlag.Fallthrough.Rollout.Variations {
				got = append(got, weighted.Weight)
			}
			if diff := cmp.Diff(want, got); diff != "" || splitFlag.Salt != "r" || !splitFlag.On {
				t.Errorf("flag route.r has salt %q and On %v, want salt r and true; weights (-want +got):\n%s", splitFlag.Salt, splitFlag.On, diff)
			}
		})
	}
	// The flag's key is reserved for the route: an operator's flag must not have it.
	_, faults := Compile(stateFromBodies(map[string]string{"service/a": `{}`, "route/r": `{"prefix":"/","split":[{"service":"a","weight":1}]}`,
		"flag/route.r": `{"on":true,"salt":"","variations":["a"],"offVariation":0,"fallthrough":{"variation":0}}`}), 1)
	if diff := cmp.Diff([]string{"flag.route.r"}, pathsOf(faults)); diff != "" {
		t.Errorf("operator's flag with the key of a split route: paths of faults (-want +got):\n%s", diff)
	}
}

// A request matches the route with the longest prefix among those for its host, and if there is none, among those
// for any host.
func TestMatchPrefersHostThenLongestPrefix(t *testing.T) {
	snapshot, faults := Compile(stateFromBodies(map[string]string{"service/s": `{}`,
		"route/any": `{"service":"s","prefix":"/"}`, "route/own": `{"service":"s","prefix":"/a/","host":"a.example"}`,
		"route/deep": `{"service":"s","prefix":"/a/b/","host":"a.example","methods":["GET"]}`, "route/post": `{"service":"s","prefix":"/a/b/","host":"a.example","methods":["POST"]}`,
		"route/open": `{"service":"s","prefix":"/open"}`, "route/other": `{"service":"s","prefix":"/a/b/c/","host":"b.example:81"}`,
		"route/six": `{"service":"s","prefix":"/","host":"[::1]:8080"}`, "route/aa": `{"service":"s","prefix":"/a/a/","host":"a.example"}`}), 1)
	if len(faults) > 0 {
		t.Fatalf("Compile reported faults: %v", faults)
	}
	for _, test := range []struct{ host, path, method, want string }{
		{"a.example", "/a/", "GET", "own"},
		{"A.Example:8304", "/a/x", "GET", "own"},
		{"a.example", "/a", "GET", "any"}, // the prefix /a/ ends with a slash, so it does not match
		{"a.example", "/ab/x", "GET", "any"},
		{"a.example", "/a/b/x", "GET", "deep"},
		{"a.example", "/a/b/x", "POST", "post"},
		{"a.example", "/a/b/x", "PUT", "own"}, // /a/b/ is longer, but its routes do not match the method
		{"a.example", "/a/c/x", "GET", "own"}, // /a/b/ is ordered just before the path, but does not match it
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
		t.Run(test.method+" "+test.host+test.path, func(t *testing.T) {
			route, found := snapshot.Match(test.host, test.path, test.method)
			got := ""
			if found {
				got = route.Name
			}
			if got != test.want {
				t.Errorf("Match(%q, %q, %q) = route %q, want %q", test.host, test.path, test.method, got, test.want)
			}
		})
	}
}

// The route matcher finds the same route as a linear search for the longest matching prefix, for random routes.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	randomPath := func(maxLength int) string {
		path := "/"
		for range random.IntN(maxLength) {
			path += string("ab/"[random.IntN(3)])
		}
		return path
	}
	methods := []string{"", "GET", "POST"}
	for range 200 {
		var routes []*Route
		for i := range 1 + random.IntN(12) {
			route := &Route{Name: fmt.Sprint("r", i), Host: []string{"", "a", "b"}[random.IntN(3)], Prefix: randomPath(6)}
			if method := methods[random.IntN(3)]; method != "" {
				route.Methods = []string{method}
			}
			routes = mergeRoutes(routes, []*Route{route})
		}
		matcher := newMatcher(routes)
		for range 50 {
			host, path := []string{"", "a", "b", "c"}[random.IntN(4)], randomPath(9)
			var best *Route
			for _, route := range routes {
				if route.Host == host && strings.HasPrefix(path, route.Prefix) && route.matchesMethod("GET") && (best == nil || len(route.Prefix) > len(best.Prefix)) {
					best = route
				}
			}
			if got := matcher.find(host, path, "GET"); got != best {
				t.Fatalf("find(%q, %q, GET) = %+v, want %+v", host, path, got, best)
			}
		}
	}
}

// Two routes with the same host, prefix and method are a fault, unless both have operator versions. Which of the two
// is matched does not depend on the order in which they arrived.
func TestOverlappingRoutesNeedOperatorVersions(t *testing.T) {
	route := func(name string, sequence, operatorVersion uint64) *schema.Item {
		return &schema.Item{Kind: "route", Name: name, OperatorVersion: operatorVersion, Version: &schema.Version{Term: 1, Sequence: sequence}, Body: []byte(`{"service":"s","prefix":"/","host":"h"}`)}
	}
	service := &schema.Item{Kind: "service", Name: "s", Version: &schema.Version{Term: 1, Sequence: 1}, Body: []byte(`{}`)}
	for name, test := range map[string]struct {
		first, second uint64
		want          string
		paths         []string
	}{
		"two routes without operator versions are a fault": {0, 0, "a", []string{"route.b"}},
		"two routes with one operator version are a fault": {0, 4, "b", []string{"route.a"}},
		"the higher operator version is matched, route a":  {5, 4, "a", nil},
		"the higher operator version is matched, route b":  {4, 5, "b", nil},
		"of equal operator versions the first by name is":  {4, 4, "a", nil},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := route("a", 1, test.first), route("b", 1, test.second)
			for _, order := range [][]*schema.Item{{service, a, b}, {service, b, a}} {
				state, snapshot := State{}, (*Snapshot)(nil)
				var faults []*schema.FieldError
				for _, item := range order {
					state = state.Merge([]*schema.Item{item})
					snapshot, faults = CompileIncremental(snapshot, state, 1)
				}
				if diff := cmp.Diff(test.paths, pathsOf(faults)); diff != "" {
					t.Errorf("route %s arrived last: paths of faults (-want +got):\n%s", order[2].Name, diff)
				}
				if got, _ := snapshot.Match("h", "/", "GET"); got.Name != test.want {
					t.Errorf("route %s arrived last: Match returned route %q, want %q", order[2].Name, got.Name, test.want)
				}
			}
		})
	}
}

// stateWithHosts returns a state with a number of routes, two to each host. Every tenth route is split.
func stateWithHosts(routes int) State {
	bodies := map[string]string{"service/a": `{}`, "service/b": `{}`, "standing/a": `{"versions":["v1"],"fallback":"v1"}`,
		"flag/release.a": `{"on":true,"salt":"s","variations":["v1"],"offVariation":0,"fallthrough":{"variation":0}}`}
	for i := range routes {
		destination := `"service":"a"`
		if i%10 == 0 {
			destination = `"split":[{"service":"a","weight":90},{"service":"b","weight":10}]`
		}
		bodies[fmt.Sprint("route/r", i)] = fmt.Sprintf(`{"host":"h%d.example","prefix":"/p%d/",%s,"class":"repeatable","horizon":"800ms","aim":"200ms","tries":2,"rank":1}`, i/2, i, destination)
	}
	return stateFromBodies(bodies)
}

// CompileIncremental decodes only the items that changed, even if every item is a new copy of the earlier one, and
// its result is the same as that of Compile.
func TestOnlyChangedItemsAreDecoded(t *testing.T) {
	state := stateWithHosts(500)
	before, faults := Compile(state, 1)
	if before.decodeCount != len(state) || len(faults) > 0 {
		t.Fatalf("Compile decoded %d items, want %d; faults: %v", before.decodeCount, len(state), faults)
	}
	changed := func(kind, name, body string, deleted bool) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(body), Deleted: deleted}
	}
	for name, test := range map[string]struct {
		items   []*schema.Item
		decodes int
	}{
		"no change decodes nothing":                          {nil, 0},
		"a changed route is decoded":                         {[]*schema.Item{changed("route", "r7", `{"host":"h7.example","prefix":"/","service":"a"}`, false)}, 1},
		"a new route is decoded":                             {[]*schema.Item{changed("route", "new", `{"host":"h7.example","prefix":"/","service":"a"}`, false)}, 1},
		"a removed route decodes nothing":                    {[]*schema.Item{changed("route", "r7", "", true)}, 0},
		"a split route that gets one service is decoded":     {[]*schema.Item{changed("route", "r10", `{"host":"h5.example","prefix":"/p10/","service":"b"}`, false)}, 1},
		"a route whose split has changed weights is decoded": {[]*schema.Item{changed("route", "r10", `{"host":"h5.example","prefix":"/p10/","split":[{"service":"b","weight":1}]}`, false)}, 1},
		"changed discovered versions are decoded":            {[]*schema.Item{changed("standing", "a", `{"versions":["v1","v2"],"fallback":"v1"}`, false)}, 1},
		"a changed flag is decoded":                          {[]*schema.Item{changed("flag", "release.a", `{"on":false,"salt":"s","variations":["v1"],"offVariation":0,"fallthrough":{"variation":0}}`, false)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			next := state.Merge(test.items)
			copied := State{}
			for key, item := range next {
				copied[key] = &schema.Item{Kind: item.Kind, Name: item.Name, Version: &schema.Version{Term: 1, Sequence: item.Version.Sequence}, Body: append([]byte(nil), item.Body...), Deleted: item.Deleted}
			}
			fromScratch, scratchFaults := Compile(next, 2)
			if len(scratchFaults) > 0 {
				t.Fatalf("Compile reported faults: %v", scratchFaults)
			}
			for _, state := range []State{next, copied} {
				after, faults := CompileIncremental(before, state, 2)
				if after.decodeCount != test.decodes || len(faults) > 0 {
					t.Errorf("CompileIncremental decoded %d items, want %d; faults: %v", after.decodeCount, test.decodes, faults)
				}
				describe := func(snapshot *Snapshot) (list []string) {
					for _, route := range snapshot.Routes {
						list = append(list, fmt.Sprint(route.Name, route.Host, route.Prefix, route.Service, route.Split))
					}
					for _, key := range sortedKeys(snapshot.Flags.Flags) {
						list = append(list, fmt.Sprint(key, snapshot.Flags.Flags[key].On, snapshot.Flags.Flags[key].Variations))
					}
					return append(list, fmt.Sprint(snapshot.Services["a"].Versions, len(snapshot.routeMatcher.groups), snapshot.routeMatcher.hosts))
				}
				if diff := cmp.Diff(describe(fromScratch), describe(after)); diff != "" {
					t.Errorf("snapshots of Compile (-) and CompileIncremental (+) differ:\n%s", diff)
				}
			}
		})
	}
	if splitFlag := before.Flags.Flags["route.r10"]; splitFlag == nil || splitFlag.Fallthrough.Rollout.Variations[0].Weight != flag.TotalWeight*9/10 {
		t.Errorf("flag route.r10 of the earlier snapshot is now %+v, want its first weight to be %d", splitFlag, flag.TotalWeight*9/10)
	}
}

func BenchmarkCompile350Routes(b *testing.B) {
	state := stateWithHosts(350)
	for b.Loop() {
		Compile(state, 1)
	}
}

func BenchmarkCompileIncrementalOneRouteOf500(b *testing.B) {
	state := stateWithHosts(500)
	before, _ := Compile(state, 1)
	next := state.Merge([]*schema.Item{{Kind: "route", Name: "r7", Version: &schema.Version{Term: 1, Sequence: 2}, Body: []byte(`{"host":"h7.example","prefix":"/","service":"a"}`)}})
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
