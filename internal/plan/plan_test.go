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

// fakeLocalState is a LocalState with the statistics that a test sets.
type fakeLocalState struct {
	inFlight    map[string]int  // calls in flight, by worker instance
	ejected     map[string]bool // ejected workers, by instance
	blocked     bool            // every version is blocked
	unreachable map[string]bool // unreachable workers, by instance
}

// Stats implements LocalState.
func (f fakeLocalState) Stats(endpoint *Endpoint, _ time.Duration) EndpointStats {
	unreachable := f.unreachable[endpoint.Instance]
	return EndpointStats{
		InFlight:      f.inFlight[endpoint.Instance],
		OtherInFlight: float64(endpoint.ActiveRequests + endpoint.QueuedRequests),
		Slots:         endpoint.Slots,
		ServiceTime:   endpoint.ServiceTime,
		Ejected:       unreachable || f.ejected[endpoint.Instance],
		Unreachable:   unreachable,
	}
}

// VersionBlocked implements LocalState.
func (f fakeLocalState) VersionBlocked(string, string, time.Duration) bool { return f.blocked }

// viewOf returns a view of a service with a version flag and two routes, and the additional configuration in more.
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
	snapshot, found := config.Compile(config.State{}.Merge(items), 9)
	if len(faults)+len(found) > 0 {
		t.Fatalf("configuration has faults: parsing %v, compiling %v", faults, found)
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

// options are the planner's settings in most tests.
var options = Options{Zone: "near", MaxDeadline: 10 * time.Second, Warmup: 10 * time.Second}

// workers returns a pool of workers whose slow start is over. Those whose names begin with "far" are in another zone.
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

// TestVerdictKeepsFlagResult checks the version and the reason of verdicts, and that a verdict that differs from the
// flag's result keeps that result.
func TestVerdictKeepsFlagResult(t *testing.T) {
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
		"fallthrough selects the version":                            {full, "", false, user, "2", flag.ReasonFallthrough, ""},
		"matching rule selects the version":                          {full, "", false, map[string]string{"X-User": "ann", "X-Country": "se"}, "1", flag.ReasonRule, ""},
		"request without a key gets the fallback":                    {full, "", false, nil, "1", flag.ReasonError, ""},
		"empty pool is replaced by the fallback":                     {Directory{"shop": {"1": workers("old")}}, "", false, user, "1", ReasonPoolEmpty, "2"},
		"canary that is not blocked gets calls":                      {full, canary, false, user, "2", flag.ReasonFallthrough, ""},
		"blocked canary is replaced by the fallback":                 {full, canary, true, user, "1", ReasonVersionBlocked, "2"},
		"unreachable pool is replaced by the fallback":               {full, "", false, user, "1", ReasonPoolEmpty, "2"},
		"blocked version without a plan is replaced by the fallback": {full, "", true, user, "1", ReasonVersionBlocked, "2"},
		"fallback is never blocked":                                  {full, "", true, map[string]string{"X-User": "ann", "X-Country": "se"}, "1", flag.ReasonRule, ""},
		"stopped version is replaced by the fallback":                {full, `stop: "shop.2": {service: "shop", version: "2"}`, false, user, "1", ReasonVersionBlocked, "2"},
		"lifted stop has no effect":                                  {full, `stop: "shop.2": {service: "shop", version: "2", lifted: true}`, false, user, "2", flag.ReasonFallthrough, ""},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewOf(t, test.directory, test.more)
			request := newRequest("GET", "/shop/x", test.headers)
			local := fakeLocalState{blocked: test.blocked, unreachable: map[string]bool{"new": name == "unreachable pool is replaced by the fallback"}}
			callPlan, err := New(view, request, options, local, 0, rand.New(rand.NewPCG(1, 1)).Float64)
			if err != nil {
				t.Fatalf("New(): %v", err)
			}
			if v := callPlan.Verdict; v.Version != test.version || v.Reason != test.reason || v.Evaluated != test.evaluated || v.ConfigRevision != 9 {
				t.Errorf("New() verdict = %+v, want version %q, reason %q, evaluated %q and revision 9",
					v, test.version, test.reason, test.evaluated)
			}
			if len(callPlan.Candidates) != 1 {
				t.Errorf("New() candidates = %v, want exactly 1", callPlan.Candidates)
			}
		})
	}
}

// TestNewRefusesCallsAndLimitsDeadlines checks that New fails without a matching route, or if the service does not
// allow the caller. It also checks that a caller's deadline can only shorten the route's.
func TestNewRefusesCallsAndLimitsDeadlines(t *testing.T) {
	view := viewOf(t, nil, "")
	random := rand.New(rand.NewPCG(1, 1)).Float64
	if _, err := New(view, newRequest("GET", "/other", nil), options, fakeLocalState{}, 0, random); errs.CodeOf(err) != errs.RouteNotFound {
		t.Errorf("New() without a matching route: error = %v, want code %s", err, errs.RouteNotFound)
	}
	unauthorized := newRequest("GET", "/shop", nil)
	unauthorized.Caller = "saves"
	if _, err := New(view, unauthorized, options, fakeLocalState{}, 0, random); errs.CodeOf(err) != errs.CallerNotAllowed {
		t.Errorf("New() for a caller that is not allowed: error = %v, want code %s", err, errs.CallerNotAllowed)
	}
	for callerDeadline, want := range map[time.Duration]time.Duration{0: 2 * time.Second, time.Second: time.Second, time.Minute: 2 * time.Second} {
		request := newRequest("POST", "/shop/buy", nil)
		request.CallerDeadline = callerDeadline
		if callPlan, err := New(view, request, options, fakeLocalState{}, 0, random); err != nil || callPlan.Deadline != want || callPlan.Class != config.ClassNonIdempotent {
			t.Errorf("New() with caller deadline %v = %+v, %v, want deadline %v and class %v",
				callerDeadline, callPlan, err, want, config.ClassNonIdempotent)
		}
	}
}

// TestPolicyDecidesBeforeFlag checks that a route's policy decides whether the call is made, before the flag decides its
// version.
func TestPolicyDecidesBeforeFlag(t *testing.T) {
	for name, test := range map[string]struct {
		policy  string
		headers map[string]string
		allowed bool
	}{
		"true expression allows the call":                     {`caller == "client" and country == "se"`, map[string]string{"X-User": "ann", "X-Country": "se"}, true},
		"false expression denies the call":                    {`country == "no"`, map[string]string{"X-User": "ann", "X-Country": "se"}, false},
		"expression that cannot be evaluated denies the call": {`country > 3`, map[string]string{"X-User": "ann", "X-Country": "se"}, false},
		"missing attribute denies the call":                   {`country == "se"`, map[string]string{"X-User": "ann"}, false},
		"caller comes from the listener, not from a header":   {`caller != "saves"`, map[string]string{"X-User": "ann", "Caller": "saves"}, true},
		"missing key is an empty string":                      {`key != ""`, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewOf(t, Directory{"shop": {"1": workers("old"), "2": workers("new")}}, fmt.Sprintf(`policy: only: expression: %q
route: guarded: {service: "shop", prefix: "/shop/guarded", key: "X-User", attributes: country: "X-Country", policy: "only"}`, test.policy))
			callPlan, err := New(view, newRequest("GET", "/shop/guarded", test.headers), options, fakeLocalState{}, 0, rand.Float64)
			if test.allowed != (err == nil) || (err != nil && (errs.CodeOf(err) != errs.PolicyDenied || callPlan.Verdict.Reason != ReasonPolicy || len(callPlan.Candidates) > 0)) {
				t.Errorf("New() with policy %q = %+v, %v, want allowed %t, or else code %s with reason %q and no candidates",
					test.policy, callPlan, err, test.allowed, errs.PolicyDenied, ReasonPolicy)
			}
			// Another route of the service is not affected.
			if _, err := New(view, newRequest("GET", "/shop/x", test.headers), options, fakeLocalState{}, 0, rand.Float64); err != nil {
				t.Errorf("New() on a route without a policy: %v", err)
			}
		})
	}
}

// TestIdempotencyKeyOfInvalidLengthIsRejected checks that an idempotency key of invalid length is rejected for a
// non-idempotent request, and ignored for an idempotent one.
func TestIdempotencyKeyOfInvalidLengthIsRejected(t *testing.T) {
	view := viewOf(t, nil, "")
	for _, test := range []struct {
		method, key string
		hasKey      bool
		want        errs.Code // empty for no error
	}{
		{"POST", "k", true, ""}, {"POST", "", false, ""}, {"POST", "", true, errs.MalformedRequest},
		{"POST", strings.Repeat("k", maxIdempotencyKeyBytes), true, ""}, {"POST", strings.Repeat("k", maxIdempotencyKeyBytes+1), true, errs.MalformedRequest},
		{"GET", "", true, ""}, {"GET", strings.Repeat("k", maxIdempotencyKeyBytes+1), true, ""},
	} {
		request := newRequest(test.method, "/shop/buy", nil)
		request.HasIdempotencyKey, request.IdempotencyKey = test.hasKey, test.key
		_, err := New(view, request, options, fakeLocalState{}, 0, rand.New(rand.NewPCG(1, 1)).Float64)
		if (err == nil) != (test.want == "") || (err != nil && errs.CodeOf(err) != test.want) {
			t.Errorf("New() of %s with idempotency key present %t and of %d bytes: error = %v, want code %q (empty for no error)",
				test.method, test.hasKey, len(test.key), err, test.want)
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
		callPlan, err := New(view, newRequest("GET", "/shop/x", map[string]string{"X-User": "ann"}), options, local, now, random.Float64)
		if err != nil || len(callPlan.Candidates) != len(pool) {
			t.Fatalf("New() = %+v, %v, want %d candidates", callPlan, err, len(pool))
		}
		counts[callPlan.Candidates[0].Instance]++
	}
	return counts
}

// TestCandidatesFollowEachRuleOfOrder checks each rule of the order of candidates separately.
func TestCandidatesFollowEachRuleOfOrder(t *testing.T) {
	if got := countFirstPicks(t, workers("a", "b", "far1"), fakeLocalState{}, 0); got["far1"] > 0 || got["a"] < 400 || got["b"] < 400 {
		t.Errorf("first candidates = %v, want only a and b, each at least 400 of 1000 times", got)
	}
	if got := countFirstPicks(t, workers("a", "far1"), fakeLocalState{inFlight: map[string]int{"a": 9}}, 0); got["far1"] != 1000 {
		t.Errorf("first candidates with the own zone overloaded = %v, want only far1", got)
	}
	if got := countFirstPicks(t, workers("a", "b", "c"), fakeLocalState{inFlight: map[string]int{"a": 5}}, 0); got["a"] > 0 {
		t.Errorf("first candidates with a the busiest = %v, want never a", got)
	}
	if got := countFirstPicks(t, workers("a", "b"), fakeLocalState{ejected: map[string]bool{"a": true}}, 0); got["a"] > 0 {
		t.Errorf("first candidates with a ejected = %v, want never a", got)
	}
	if got := countFirstPicks(t, workers("a", "b"), fakeLocalState{ejected: map[string]bool{"a": true, "b": true}}, 0); len(got) != 1 {
		t.Errorf("first candidates with all workers ejected = %v, want only one, because at most half are ejected", got)
	}
	young := workers("a", "b", "c")
	young[0].FirstSeenAt = 0
	if got := countFirstPicks(t, young, fakeLocalState{inFlight: map[string]int{"b": 1, "c": 1}}, time.Second); got["a"] > 0 {
		t.Errorf("first candidates with a in slow start = %v, want never a", got)
	}
}

// TestIdempotencyKeyKeepsItsWorker checks that calls with a key go to the same worker while it is listed, and that only
// the keys of a worker that disappears go to others.
func TestIdempotencyKeyKeepsItsWorker(t *testing.T) {
	pool := workers("a", "b", "c", "d")
	unreachable := map[string]bool{}
	pickFor := func(pool []Endpoint, key string) string {
		request := newRequest("POST", "/shop/buy", map[string]string{"X-User": "ann"})
		request.IdempotencyKey = key
		callPlan, err := New(viewOf(t, Directory{"shop": {"2": pool}}, ""), request, options, fakeLocalState{unreachable: unreachable}, 0, rand.Float64)
		if err != nil {
			t.Fatalf("New() with key %q: %v", key, err)
		}
		return callPlan.Candidates[0].Instance
	}
	used := map[string]bool{}
	for i := range 40 {
		key := strings.Repeat("k", i+1)
		before := pickFor(pool, key)
		used[before] = true
		if again := pickFor(pool, key); again != before {
			t.Errorf("first candidate of key %q on a repeat = %s, want %s", key, again, before)
		}
		if after := pickFor(pool[:3], key); before != "d" && after != before {
			t.Errorf("first candidate of key %q without d = %s, want %s", key, after, before)
		}
	}
	// An unreachable worker is never the first candidate.
	unreachable["a"] = true
	for i := range 40 {
		if got := pickFor(pool, strings.Repeat("k", i+1)); got == "a" {
			t.Errorf("first candidate of key %q = %s, which is unreachable", strings.Repeat("k", i+1), got)
		}
	}
	if len(used) < 4 {
		t.Errorf("first candidates of 40 keys = %v, want all 4 workers", used)
	}
}

// TestFlagKeyIsHeaderOrIdentity checks that the key for flags is the header that the route names, or else the request's
// identity.
func TestFlagKeyIsHeaderOrIdentity(t *testing.T) {
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
		callPlan, err := New(view, request, options, fakeLocalState{}, 0, rand.Float64)
		if err != nil || callPlan.Verdict.Version != test.version {
			t.Errorf("New() of %s with identity %q and X-User %q = %+v, %v, want version %q",
				test.path, test.identity, test.header, callPlan, err, test.version)
		}
	}
}

// viewOfBodies returns a view of a configuration that is given as JSON bodies by kind and name.
func viewOfBodies(tb testing.TB, bodies map[string]string, directory Directory) *View {
	tb.Helper()
	var items []*schema.Item
	for key, body := range bodies {
		kind, name, _ := strings.Cut(key, "/")
		items = append(items, &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Term: 1, Sequence: 1}})
	}
	snapshot, faults := config.Compile(config.State{}.Merge(items), 9)
	if len(faults) > 0 {
		tb.Fatalf("config.Compile() reported faults: %v", faults)
	}
	return &View{Config: snapshot, Directory: directory}
}

// TestSplitSelectsServiceByWeightAndKey checks that a split selects the service by weight and key, and that the
// service's own flag then selects the version. Other services with a positive weight take the calls only if the selected
// service has no workers.
func TestSplitSelectsServiceByWeightAndKey(t *testing.T) {
	bodies := map[string]string{"service/a": `{"versions":["1"],"fallback":"1"}`, "service/b": `{"versions":["1"],"fallback":"1"}`, "service/c": `{"versions":["1"],"fallback":"1","callers":["saves"]}`, "service/d": `{"versions":["1"],"fallback":"1"}`,
		"route/r": `{"prefix":"/","split":[{"service":"a","weight":60},{"service":"b","weight":30},{"service":"c","weight":10},{"service":"d","weight":0}]}`}
	directoryOf := func(names ...string) Directory {
		directory := Directory{}
		for _, name := range names {
			directory[name] = map[string][]Endpoint{"1": workers("at-" + name)}
		}
		return directory
	}
	for name, test := range map[string]struct {
		directory   Directory
		unreachable map[string]bool // unreachable workers, by instance
		caller      string
		// keys holds the keys of 1000 that each service gets, plus or minus 60. "" stands for calls without candidates,
		// "denied" for calls whose caller is not allowed.
		keys       map[string]int
		splitEmpty int // keys of 1000 with ReasonSplitEmpty, plus or minus 60
	}{
		"services get keys by weight":                             {directoryOf("a", "b", "c", "d"), nil, "saves", map[string]int{"a": 600, "b": 300, "c": 100}, 0},
		"services share the keys of one without workers":          {directoryOf("b", "c", "d"), nil, "saves", map[string]int{"b": 750, "c": 250}, 600},
		"service with weight 0 gets no keys":                      {directoryOf("d"), nil, "saves", map[string]int{"": 1000}, 0},
		"unreachable service keeps its keys":                      {directoryOf("a", "b", "c"), map[string]bool{"at-a": true}, "saves", map[string]int{"a": 600, "b": 300, "c": 100}, 0},
		"service that denies the caller takes no keys of another": {directoryOf("b", "d"), nil, "client", map[string]int{"b": 900, "denied": 100}, 600},
	} {
		t.Run(name, func(t *testing.T) {
			view := viewOfBodies(t, bodies, test.directory)
			got, gotSplitEmpty := map[string]int{}, 0
			for i := range 1000 {
				request := newRequest("GET", "/x", nil)
				request.Identity, request.Caller = fmt.Sprint("key-", i), test.caller
				callPlan, err := New(view, request, options, fakeLocalState{unreachable: test.unreachable}, 0, rand.Float64)
				switch {
				case errs.CodeOf(err) == errs.CallerNotAllowed && err != nil:
					got["denied"]++
					continue
				case err != nil:
					t.Fatalf("New() with key %q: %v", request.Identity, err)
				case len(callPlan.Candidates) == 0:
					got[""]++
					continue
				}
				got[callPlan.Service]++
				if callPlan.Split.Flag != "route.r" || callPlan.Split.Version != callPlan.Service || callPlan.Candidates[0].Instance != "at-"+callPlan.Service || callPlan.Verdict.Flag != "release."+callPlan.Service {
					t.Errorf("New() with key %q = %+v, want split flag route.r and version flag release.%s with a worker of that service first",
						request.Identity, callPlan, callPlan.Service)
				}
				if callPlan.Split.Reason == ReasonSplitEmpty {
					gotSplitEmpty++
					if callPlan.Split.Evaluated == callPlan.Service || callPlan.Split.Evaluated == "" {
						t.Errorf("split verdict of key %q = %+v, want the flag's own result in Evaluated", request.Identity, callPlan.Split)
					}
				}
				if again, _ := New(view, request, options, fakeLocalState{unreachable: test.unreachable}, 0, rand.Float64); again.Service != callPlan.Service {
					t.Errorf("service of key %q on a repeat = %s, want %s", request.Identity, again.Service, callPlan.Service)
				}
			}
			for service, want := range test.keys {
				if diff := got[service] - want; diff < -60 || diff > 60 {
					t.Errorf("keys by service = %v, want %d for %q, plus or minus 60", got, want, service)
				}
			}
			if len(got) != len(test.keys) || gotSplitEmpty < test.splitEmpty-60 || gotSplitEmpty > test.splitEmpty+60 {
				t.Errorf("keys by service = %v with %d of reason %s, want services %v with %d, plus or minus 60",
					got, gotSplitEmpty, ReasonSplitEmpty, test.keys, test.splitEmpty)
			}
		})
	}
	// Without a key, the split selects its first service with a positive weight, and reports an error.
	callPlan, err := New(viewOfBodies(t, bodies, directoryOf("a")), newRequest("GET", "/x", nil), options, fakeLocalState{}, 0, rand.Float64)
	if err != nil || callPlan.Service != "a" || callPlan.Split.Reason != flag.ReasonError || callPlan.Split.Error != flag.KeyMissing {
		t.Errorf("New() without a key = %+v, %v, want service a with reason %s and error %s",
			callPlan, err, flag.ReasonError, flag.KeyMissing)
	}
}

// TestServiceWithoutVersion checks that a service without any known version gets no call, and that New also returns the
// incomplete plan, so that the refusal can be counted.
func TestServiceWithoutVersion(t *testing.T) {
	view := viewOfBodies(t, map[string]string{"service/a": `{}`, "route/r": `{"service":"a","prefix":"/"}`}, Directory{"a": {"v1": workers("w")}})
	callPlan, err := New(view, newRequest("GET", "/x", nil), options, fakeLocalState{}, 0, rand.Float64)
	if err == nil || errs.CodeOf(err) != errs.NoWorker || callPlan == nil || callPlan.Verdict.Reason != ReasonNoVersion || callPlan.Service != "a" {
		t.Errorf("New() of a service without versions = %+v, %v, want code %s and a plan for service a with reason %s",
			callPlan, err, errs.NoWorker, ReasonNoVersion)
	}
}

// TestPackedCallsFillWorkersInTurn checks that packed calls fill the workers of a version one after the other, in the
// same order from every zone. Unreachable workers are avoided. If no worker has capacity, the usual order applies.
func TestPackedCallsFillWorkersInTurn(t *testing.T) {
	pool := workers("w2", "far1", "w1")
	for i := range pool {
		pool[i].Slots, pool[i].ServiceTime = 10, 10*time.Millisecond
	}
	random := rand.New(rand.NewPCG(1, 2)).Float64
	for name, test := range map[string]struct {
		local fakeLocalState
		want  string // first candidate; empty for any
	}{
		"first by instance id if all are idle": {fakeLocalState{}, "far1"},
		"second if the first is full":          {fakeLocalState{inFlight: map[string]int{"far1": 8}}, "w1"},
		"first while it is nearly full":        {fakeLocalState{inFlight: map[string]int{"far1": 7}}, "far1"},
		"last if the others are full":          {fakeLocalState{inFlight: map[string]int{"far1": 8, "w1": 9}}, "w2"},
		"second if the first is unreachable":   {fakeLocalState{unreachable: map[string]bool{"far1": true}}, "w1"},
		"any if all are full":                  {fakeLocalState{inFlight: map[string]int{"far1": 9, "w1": 9, "w2": 9}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			for _, zone := range []string{"near", "far"} {
				for range 50 {
					got := pickEndpoints(pool, true, 0, Options{Zone: zone, MaxDeadline: time.Second}, test.local, time.Second, random)
					if len(got) != len(pool) || test.want != "" && got[0].Instance != test.want {
						t.Fatalf("pickEndpoints() from zone %s = %v, want %q first of %d", zone, got, test.want, len(pool))
					}
				}
			}
		})
	}
}
