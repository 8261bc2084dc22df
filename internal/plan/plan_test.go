package plan

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/flag"
	"meadowhinge/schema"
)

// fakeLocalState is what a test says of workers, by instance.
type fakeLocalState struct {
	inFlight    map[string]int
	ejected     map[string]bool
	blocked     bool
	unreachable map[string]bool
}

func (f fakeLocalState) Stats(endpoint *Endpoint, _ time.Duration) EndpointStats {
	unreachable := f.unreachable[endpoint.Instance]
	return EndpointStats{
		InFlight:      f.inFlight[endpoint.Instance],
		OtherInFlight: float64(endpoint.Running + endpoint.Waiting),
		Slots:         endpoint.Slots,
		ServiceTime:   endpoint.ServiceTime,
		Ejected:       unreachable || f.ejected[endpoint.Instance],
		Unreachable:   unreachable,
	}
}

func (f fakeLocalState) VersionBlocked(string, string, time.Duration) bool { return f.blocked }

// viewOf returns a view of a service with a version flag and two routes, and of more configuration.
func viewOf(t *testing.T, directory Directory, more string) *View {
	t.Helper()
	items, faults := configsource.Parse([]byte(`
service: shop: {versions: ["1", "2"], fallback: "1", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"], horizon: "2s", key: "X-User"}
route: look: {service: "shop", prefix: "/shop", horizon: "3s", key: "X-User", attributes: country: "X-Country"}
flag: "release.shop": {on: true, salt: "s", variations: ["1", "2"], offVariation: 0, fallthrough: {variation: 1},
	rules: [{id: "norse", variation: 0, clauses: [{attribute: "country", operator: "in", values: ["no", "se"]}]}]}
` + more))
	for i, item := range items {
		item.Version = &schema.Version{Term: 1, Sequence: uint64(i + 1)}
	}
	snapshot, found := config.Compile(config.State{}.With(items), 9)
	if len(faults)+len(found) > 0 {
		t.Fatal(faults, found)
	}
	return &View{Config: snapshot, Directory: directory}
}

// newRequest returns a request of the caller "client".
func newRequest(method, path string, headers map[string]string) *Request {
	header := func(name string) (string, bool) {
		value, found := headers[name]
		return value, found
	}
	return &Request{Caller: "client", Method: method, Path: path, Header: header}
}

var options = Options{Zone: "near", MaxDeadline: 10 * time.Second, Warmup: 10 * time.Second}

// workers returns a pool of long-known workers; those whose names begin with "far" are in another zone.
func workers(names ...string) []Endpoint {
	var pool []Endpoint
	for _, name := range names {
		zone := "near"
		if strings.HasPrefix(name, "far") {
			zone = "far"
		}
		pool = append(pool, Endpoint{Instance: name, Zone: zone, FirstSeenAt: -time.Hour})
	}
	return pool
}

// Each verdict names the version, the reason, and what the flag said where an exception changed it.
func TestVerdicts(t *testing.T) {
	full := Directory{"shop": {"1": workers("old"), "2": workers("new")}}
	canary := `release: r: {service: "shop", version: "2", target: 50, over: "1m"}`
	user := map[string]string{"X-User": "ann"}
	for name, test := range map[string]struct {
		directory Directory
		more      string
		blocked   bool
		headers   map[string]string
		version   string
		reason    flag.Reason
		evaluated string
	}{
		"the fallthrough":                    {full, "", false, user, "2", flag.ReasonFallthrough, ""},
		"a rule":                             {full, "", false, map[string]string{"X-User": "ann", "X-Country": "se"}, "1", flag.ReasonRule, ""},
		"no key":                             {full, "", false, nil, "1", flag.ReasonError, ""},
		"an empty pool":                      {Directory{"shop": {"1": workers("old")}}, "", false, user, "1", ReasonPoolEmpty, "2"},
		"in canary, and allowed":             {full, canary, false, user, "2", flag.ReasonFallthrough, ""},
		"in canary, and blocked":             {full, canary, true, user, "1", ReasonVersionBlocked, "2"},
		"no worker of the pool is reachable": {full, "", false, user, "1", ReasonPoolEmpty, "2"},
		"blocked without any release":        {full, "", true, user, "1", ReasonVersionBlocked, "2"},
		"the fallback is never blocked":      {full, "", true, map[string]string{"X-User": "ann", "X-Country": "se"}, "1", flag.ReasonRule, ""},
		"stopped":                            {full, `stop: "shop.2": {service: "shop", version: "2"}`, false, user, "1", ReasonVersionBlocked, "2"},
		"a stop that was lifted":             {full, `stop: "shop.2": {service: "shop", version: "2", lifted: true}`, false, user, "2", flag.ReasonFallthrough, ""},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewOf(t, test.directory, test.more)
			request := newRequest("GET", "/shop/x", test.headers)
			local := fakeLocalState{blocked: test.blocked, unreachable: map[string]bool{"new": name == "no worker of the pool is reachable"}}
			callPlan, err := Make(view, request, options, local, 0, rand.New(rand.NewPCG(1, 1)).Float64)
			if err != nil {
				t.Fatal(err)
			}
			if v := callPlan.Verdict; v.Version != test.version || v.Reason != test.reason || v.Evaluated != test.evaluated || v.ConfigRevision != 9 {
				t.Errorf("%+v", v)
			}
			if len(callPlan.Candidates) != 1 {
				t.Errorf("%v", callPlan.Candidates)
			}
		})
	}
}

// No plan is made without a route, or for a caller that may not call. A caller's deadline only shortens the route's.
func TestRefusalsAndDeadlines(t *testing.T) {
	view := viewOf(t, nil, "")
	random := rand.New(rand.NewPCG(1, 1)).Float64
	if _, err := Make(view, newRequest("GET", "/other", nil), options, fakeLocalState{}, 0, random); errs.CodeOf(err) != errs.RouteNotFound {
		t.Errorf("no route gave %v", err)
	}
	unauthorized := newRequest("GET", "/shop", nil)
	unauthorized.Caller = "saves"
	if _, err := Make(view, unauthorized, options, fakeLocalState{}, 0, random); errs.CodeOf(err) != errs.CallerNotAllowed {
		t.Errorf("a caller that may not call gave %v", err)
	}
	for callerDeadline, want := range map[time.Duration]time.Duration{0: 2 * time.Second, time.Second: time.Second, time.Minute: 2 * time.Second} {
		request := newRequest("POST", "/shop/buy", nil)
		request.CallerDeadline = callerDeadline
		if callPlan, err := Make(view, request, options, fakeLocalState{}, 0, random); err != nil || callPlan.Deadline != want || callPlan.Class != config.ClassNonIdempotent {
			t.Errorf("asked %v: %v, %v", callerDeadline, callPlan, err)
		}
	}
}

// A policy decides whether the call is made, before the flag decides its version.
func TestPolicies(t *testing.T) {
	for name, test := range map[string]struct {
		policy  string
		headers map[string]string
		holds   bool
	}{
		"holds":                      {`caller == "client" and country == "se"`, map[string]string{"X-User": "ann", "X-Country": "se"}, true},
		"does not":                   {`country == "no"`, map[string]string{"X-User": "ann", "X-Country": "se"}, false},
		"cannot be evaluated":        {`country > 3`, map[string]string{"X-User": "ann", "X-Country": "se"}, false},
		"by what the call lacks":     {`country == "se"`, map[string]string{"X-User": "ann"}, false},
		"by what the listener says":  {`caller != "saves"`, map[string]string{"X-User": "ann", "Caller": "saves"}, true},
		"by the flag's key, missing": {`key != ""`, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewOf(t, Directory{"shop": {"1": workers("old"), "2": workers("new")}}, fmt.Sprintf(`policy: only: expression: %q
route: guarded: {service: "shop", prefix: "/shop/guarded", key: "X-User", attributes: country: "X-Country", policy: "only"}`, test.policy))
			callPlan, err := Make(view, newRequest("GET", "/shop/guarded", test.headers), options, fakeLocalState{}, 0, rand.Float64)
			if test.holds != (err == nil) || (err != nil && (errs.CodeOf(err) != errs.PolicyDenied || callPlan.Verdict.Reason != ReasonPolicy || len(callPlan.Candidates) > 0)) {
				t.Errorf("%v, %+v", err, callPlan)
			}
			// Another route of the service is not affected.
			if _, err := Make(view, newRequest("GET", "/shop/x", test.headers), options, fakeLocalState{}, 0, rand.Float64); err != nil {
				t.Errorf("a route without a policy: %v", err)
			}
		})
	}
}

// An idempotency key that cannot be retained is refused where it would matter, and ignored elsewhere.
func TestKeys(t *testing.T) {
	view := viewOf(t, nil, "")
	for _, test := range []struct {
		method, key string
		keyed       bool
		want        errs.Code
	}{
		{"POST", "k", true, ""}, {"POST", "", false, ""}, {"POST", "", true, errs.MalformedRequest},
		{"POST", strings.Repeat("k", maxIdempotencyKeyBytes), true, ""}, {"POST", strings.Repeat("k", maxIdempotencyKeyBytes+1), true, errs.MalformedRequest},
		{"GET", "", true, ""}, {"GET", strings.Repeat("k", maxIdempotencyKeyBytes+1), true, ""},
	} {
		request := newRequest(test.method, "/shop/buy", nil)
		request.HasIdempotencyKey, request.IdempotencyKey = test.keyed, test.key
		_, err := Make(view, request, options, fakeLocalState{}, 0, rand.New(rand.NewPCG(1, 1)).Float64)
		if (err == nil) != (test.want == "") || (err != nil && errs.CodeOf(err) != test.want) {
			t.Errorf("%s with a key of %d bytes: %v", test.method, len(test.key), err)
		}
	}
}

// countFirstPicks returns how often each worker is the first candidate of 1000 plans.
func countFirstPicks(t *testing.T, pool []Endpoint, local fakeLocalState, now time.Duration) map[string]int {
	t.Helper()
	random := rand.New(rand.NewPCG(2, 2))
	view := viewOf(t, Directory{"shop": {"2": pool}}, "")
	counts := map[string]int{}
	for range 1000 {
		callPlan, err := Make(view, newRequest("GET", "/shop/x", map[string]string{"X-User": "ann"}), options, local, now, random.Float64)
		if err != nil || len(callPlan.Candidates) != len(pool) {
			t.Fatal(callPlan, err)
		}
		counts[callPlan.Candidates[0].Instance]++
	}
	return counts
}

// Each rule of the order of candidates, alone.
func TestPickEndpoints(t *testing.T) {
	if got := countFirstPicks(t, workers("a", "b", "far1"), fakeLocalState{}, 0); got["far1"] > 0 || got["a"] < 400 || got["b"] < 400 {
		t.Errorf("the own zone is first, evenly: %v", got)
	}
	if got := countFirstPicks(t, workers("a", "far1"), fakeLocalState{inFlight: map[string]int{"a": 9}}, 0); got["far1"] != 1000 {
		t.Errorf("an overloaded zone spills over: %v", got)
	}
	if got := countFirstPicks(t, workers("a", "b", "c"), fakeLocalState{inFlight: map[string]int{"a": 5}}, 0); got["a"] > 0 {
		t.Errorf("of two drawn, the busier goes second: %v", got)
	}
	if got := countFirstPicks(t, workers("a", "b"), fakeLocalState{ejected: map[string]bool{"a": true}}, 0); got["a"] > 0 {
		t.Errorf("an ejected worker comes last: %v", got)
	}
	if got := countFirstPicks(t, workers("a", "b"), fakeLocalState{ejected: map[string]bool{"a": true, "b": true}}, 0); len(got) != 1 {
		t.Errorf("at most half of a pool is ejected: %v", got)
	}
	young := workers("a", "b", "c")
	young[0].FirstSeenAt = 0
	if got := countFirstPicks(t, young, fakeLocalState{inFlight: map[string]int{"b": 1, "c": 1}}, time.Second); got["a"] > 0 {
		t.Errorf("a worker in its slow start gets fewer calls: %v", got)
	}
}

// A key keeps its worker while that is listed, and only the keys of a worker that disappears move.
func TestKeysStay(t *testing.T) {
	pool := workers("a", "b", "c", "d")
	lost := map[string]bool{}
	pickFor := func(pool []Endpoint, key string) string {
		request := newRequest("POST", "/shop/buy", map[string]string{"X-User": "ann"})
		request.IdempotencyKey = key
		callPlan, err := Make(viewOf(t, Directory{"shop": {"2": pool}}, ""), request, options, fakeLocalState{unreachable: lost}, 0, rand.Float64)
		if err != nil {
			t.Fatal(err)
		}
		return callPlan.Candidates[0].Instance
	}
	used := map[string]bool{}
	for i := range 40 {
		key := strings.Repeat("k", i+1)
		before := pickFor(pool, key)
		used[before] = true
		if again := pickFor(pool, key); again != before {
			t.Errorf("%s moved from %s to %s", key, before, again)
		}
		if after := pickFor(pool[:3], key); before != "d" && after != before {
			t.Errorf("%s moved from %s to %s when d went", key, before, after)
		}
	}
	// While a worker's proxy is unreachable, no key goes there first.
	lost["a"] = true
	for i := range 40 {
		if got := pickFor(pool, strings.Repeat("k", i+1)); got == "a" {
			t.Error("a key goes first to an unreachable worker")
		}
	}
	if len(used) < 4 {
		t.Errorf("keys went to %v only", used)
	}
}

// The key of the context is the header that the route names, or else the request's identity.
func TestIdentityIsTheKey(t *testing.T) {
	view := viewOfBodies(t, map[string]string{"service/shop": `{"versions":["1","2"],"fallback":"1"}`,
		"route/own":         `{"service":"shop","prefix":"/own/"}`,
		"route/named":       `{"service":"shop","prefix":"/named/","key":"X-User"}`,
		"flag/release.shop": `{"on":true,"salt":"","variations":["1","2"],"offVariation":0,"fallthrough":{"variation":0},"targets":[{"variation":1,"values":["ann"]}]}`},
		Directory{"shop": {"1": workers("old"), "2": workers("new")}})
	for _, test := range []struct{ path, identity, header, version string }{
		{"/own/x", "ann", "", "2"}, {"/own/x", "bob", "ann", "1"}, {"/own/x", "", "ann", "1"}, {"/named/x", "bob", "ann", "2"}, {"/named/x", "ann", "", "1"},
	} {
		request := newRequest("GET", test.path, map[string]string{"X-User": test.header})
		request.Identity = test.identity
		callPlan, err := Make(view, request, options, fakeLocalState{}, 0, rand.Float64)
		if err != nil || callPlan.Verdict.Version != test.version {
			t.Errorf("%+v: %+v, %v", test, callPlan, err)
		}
	}
}

// viewOfBodies returns a view of a configuration, given as JSON by kind and name.
func viewOfBodies(tb testing.TB, bodies map[string]string, directory Directory) *View {
	tb.Helper()
	var items []*schema.Item
	for key, body := range bodies {
		kind, name, _ := strings.Cut(key, "/")
		items = append(items, &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Term: 1, Sequence: 1}})
	}
	snapshot, faults := config.Compile(config.State{}.With(items), 9)
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	return &View{Config: snapshot, Directory: directory}
}

// A split decides the service by weight and key, then the service's own flag decides its version. Only where the decided
// service has no workers do the other services with a weight take its calls.
func TestSplit(t *testing.T) {
	bodies := map[string]string{"service/a": `{"versions":["1"],"fallback":"1"}`, "service/b": `{"versions":["1"],"fallback":"1"}`, "service/c": `{"versions":["1"],"fallback":"1","callers":["saves"]}`, "service/d": `{"versions":["1"],"fallback":"1"}`,
		"route/r": `{"prefix":"/","split":[{"service":"a","weight":60},{"service":"b","weight":30},{"service":"c","weight":10},{"service":"d","weight":0}]}`}
	at := func(names ...string) Directory {
		directory := Directory{}
		for _, name := range names {
			directory[name] = map[string][]Endpoint{"1": workers("at-" + name)}
		}
		return directory
	}
	for name, test := range map[string]struct {
		directory Directory
		lost      map[string]bool
		caller    string
		shares    map[string]int // expected of 1000 keys, plus or minus 60
		empty     int            // of which by the exception, plus or minus 60
	}{
		"all have workers":                         {at("a", "b", "c", "d"), nil, "saves", map[string]int{"a": 600, "b": 300, "c": 100}, 0},
		"one empty":                                {at("b", "c", "d"), nil, "saves", map[string]int{"b": 750, "c": 250}, 600},
		"only what has no weight":                  {at("d"), nil, "saves", map[string]int{"": 1000}, 0},
		"one unreachable":                          {at("a", "b", "c"), map[string]bool{"at-a": true}, "saves", map[string]int{"a": 600, "b": 300, "c": 100}, 0},
		"empty for those that the caller may call": {at("b", "d"), nil, "client", map[string]int{"b": 900, "denied": 100}, 600},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewOfBodies(t, bodies, test.directory)
			got, exceptions := map[string]int{}, 0
			for i := range 1000 {
				request := newRequest("GET", "/x", nil)
				request.Identity, request.Caller = fmt.Sprint("key-", i), test.caller
				callPlan, err := Make(view, request, options, fakeLocalState{unreachable: test.lost}, 0, rand.Float64)
				switch {
				case errs.CodeOf(err) == errs.CallerNotAllowed && err != nil:
					got["denied"]++
					continue
				case err != nil:
					t.Fatal(err)
				case len(callPlan.Candidates) == 0:
					got[""]++
					continue
				}
				got[callPlan.Service]++
				if callPlan.Split.Flag != "route.r" || callPlan.Split.Version != callPlan.Service || callPlan.Candidates[0].Instance != "at-"+callPlan.Service || callPlan.Verdict.Flag != "release."+callPlan.Service {
					t.Errorf("%+v", callPlan)
				}
				if callPlan.Split.Reason == ReasonSplitEmpty {
					exceptions++
					if callPlan.Split.Evaluated == callPlan.Service || callPlan.Split.Evaluated == "" {
						t.Errorf("what the flag said is not kept: %+v", callPlan.Split)
					}
				}
				if again, _ := Make(view, request, options, fakeLocalState{unreachable: test.lost}, 0, rand.Float64); again.Service != callPlan.Service {
					t.Errorf("a key moved from %s to %s", callPlan.Service, again.Service)
				}
			}
			for service, want := range test.shares {
				if diff := got[service] - want; diff < -60 || diff > 60 {
					t.Errorf("%v", got)
				}
			}
			if len(got) != len(test.shares) || exceptions < test.empty-60 || exceptions > test.empty+60 {
				t.Errorf("%v, %d exceptions", got, exceptions)
			}
		})
	}
	// Without a key the service is the first with a weight, and the reason an error.
	callPlan, err := Make(viewOfBodies(t, bodies, at("a")), newRequest("GET", "/x", nil), options, fakeLocalState{}, 0, rand.Float64)
	if err != nil || callPlan.Service != "a" || callPlan.Split.Reason != flag.ReasonError || callPlan.Split.Error != flag.KeyMissing {
		t.Errorf("no key: %+v, %v", callPlan, err)
	}
}

// A service of which no version is known yet gets no call, and the refusal can be counted.
func TestNoVersionYet(t *testing.T) {
	view := viewOfBodies(t, map[string]string{"service/a": `{}`, "route/r": `{"service":"a","prefix":"/"}`}, Directory{"a": {"v1": workers("w")}})
	callPlan, err := Make(view, newRequest("GET", "/x", nil), options, fakeLocalState{}, 0, rand.Float64)
	if err == nil || errs.CodeOf(err) != errs.NoWorker || callPlan == nil || callPlan.Verdict.Reason != ReasonNoVersion || callPlan.Service != "a" {
		t.Errorf("%+v, %v", callPlan, err)
	}
}

// Where a version is to show how it performs under load, all proxies fill its workers one after the other. Failing and
// unreachable workers are avoided, and where none has capacity the usual order applies.
func TestPackedCallsFillWorkersInTurn(t *testing.T) {
	pool := workers("w2", "far1", "w1")
	for i := range pool {
		pool[i].Slots, pool[i].ServiceTime = 10, 10*time.Millisecond
	}
	random := rand.New(rand.NewPCG(1, 2)).Float64
	for name, test := range map[string]struct {
		local fakeLocalState
		want  string
	}{
		"all idle":           {fakeLocalState{}, "far1"},
		"one is full":        {fakeLocalState{inFlight: map[string]int{"far1": 8}}, "w1"},
		"one is nearly full": {fakeLocalState{inFlight: map[string]int{"far1": 7}}, "far1"},
		"two are full":       {fakeLocalState{inFlight: map[string]int{"far1": 8, "w1": 9}}, "w2"},
		"one is unreachable": {fakeLocalState{unreachable: map[string]bool{"far1": true}}, "w1"},
		"all are full":       {fakeLocalState{inFlight: map[string]int{"far1": 9, "w1": 9, "w2": 9}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, zone := range []string{"near", "far"} {
				for range 50 {
					got := pickEndpoints(pool, true, 0, Options{Zone: zone, MaxDeadline: time.Second}, test.local, time.Second, random)
					if len(got) != len(pool) || test.want != "" && got[0].Instance != test.want {
						t.Fatalf("from %s: %v first of %d, want %s", zone, got[0].Instance, len(got), test.want)
					}
				}
			}
		})
	}
}
