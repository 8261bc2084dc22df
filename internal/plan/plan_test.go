package plan

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/flag"
	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

type facts struct {
	inFlight map[string]int
	ejected  map[string]bool
	held     bool
	lost     map[string]bool
}

func (f facts) InFlight(instance string) int                  { return f.inFlight[instance] }
func (f facts) Ejected(one Candidate, _ time.Duration) bool   { return f.ejected[one.Instance] }
func (f facts) Unreached(one Candidate, _ time.Duration) bool { return f.lost[one.Instance] }
func (f facts) Held(string, string, time.Duration) bool       { return f.held }

func viewOf(t *testing.T, directory Directory, more string) *View {
	t.Helper()
	items, faults := setup.Read([]byte(`
service: shop: {versions: ["1", "2"], fallback: "1", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"], horizon: "2s", key: "X-User"}
route: look: {service: "shop", prefix: "/shop", horizon: "3s", key: "X-User", attributes: country: "X-Country"}
flag: "release.shop": {on: true, salt: "s", variations: ["1", "2"], offVariation: 0, fallthrough: {variation: 1},
	rules: [{id: "norse", variation: 0, clauses: [{attribute: "country", operator: "in", values: ["no", "se"]}]}]}
` + more))
	for i, item := range items {
		item.Version = &schema.Version{Epoch: 1, Sequence: uint64(i + 1)}
	}
	made, found := setup.Compile(setup.State{}.With(items), 9)
	if len(faults)+len(found) > 0 {
		t.Fatal(faults, found)
	}
	return &View{Setup: made, Directory: directory}
}

func asking(method, path string, headers map[string]string) *Request {
	return &Request{Caller: "client", Method: method, Path: path, Header: func(name string) (string, bool) { value, found := headers[name]; return value, found }}
}

var options = Options{Area: "near", HorizonMost: 10 * time.Second, Warmup: 10 * time.Second}

func workers(names ...string) []Candidate {
	var pool []Candidate
	for _, name := range names {
		area := "near"
		if strings.HasPrefix(name, "far") {
			area = "far"
		}
		pool = append(pool, Candidate{Instance: name, Area: area, Since: -time.Hour})
	}
	return pool
}

func TestVerdicts(t *testing.T) {
	full := Directory{"shop": {"1": workers("old"), "2": workers("new")}}
	trial := `release: r: {service: "shop", version: "2", target: 50, over: "1m"}`
	user := map[string]string{"X-User": "ann"}
	for name, one := range map[string]struct {
		directory Directory
		more      string
		held      bool
		headers   map[string]string
		version   string
		reason    flag.Reason
		evaluated string
	}{
		"the fallthrough":               {full, "", false, user, "2", flag.ReasonFallthrough, ""},
		"a rule":                        {full, "", false, map[string]string{"X-User": "ann", "X-Country": "se"}, "1", flag.ReasonRule, ""},
		"no key":                        {full, "", false, nil, "1", flag.ReasonError, ""},
		"an empty pool":                 {Directory{"shop": {"1": workers("old")}}, "", false, user, "1", ReasonPoolEmpty, "2"},
		"on trial, and allowed":         {full, trial, false, user, "2", flag.ReasonFallthrough, ""},
		"on trial, and held":            {full, trial, true, user, "1", ReasonHeld, "2"},
		"nobody of the pool is reached": {full, "", false, user, "1", ReasonPoolEmpty, "2"},
		"held without any plan":         {full, "", true, user, "1", ReasonHeld, "2"},
		"the fallback is never held":    {full, "", true, map[string]string{"X-User": "ann", "X-Country": "se"}, "1", flag.ReasonRule, ""},
		"stopped":                       {full, `stop: "shop.2": {service: "shop", version: "2"}`, false, user, "1", ReasonHeld, "2"},
		"a stop that was lifted":        {full, `stop: "shop.2": {service: "shop", version: "2", lifted: true}`, false, user, "2", flag.ReasonFallthrough, ""},
	} {
		made, err := Make(viewOf(t, one.directory, one.more), asking("GET", "/shop/x", one.headers), options, facts{held: one.held, lost: map[string]bool{"new": name == "nobody of the pool is reached"}}, 0, rand.New(rand.NewPCG(1, 1)).Float64)
		if err != nil {
			t.Fatal(name, err)
		}
		if v := made.Verdict; v.Version != one.version || v.Reason != one.reason || v.Evaluated != one.evaluated || v.Setup != 9 {
			t.Errorf("%s: %+v", name, v)
		}
		if len(made.Candidates) != 1 {
			t.Errorf("%s: %v", name, made.Candidates)
		}
	}
}

func TestRefusalsAndDeadlines(t *testing.T) {
	view := viewOf(t, nil, "")
	dice := rand.New(rand.NewPCG(1, 1)).Float64
	if _, err := Make(view, asking("GET", "/other", nil), options, facts{}, 0, dice); defect.KindOf(err) != defect.NoRoute {
		t.Errorf("no route gave %v", err)
	}
	stranger := asking("GET", "/shop", nil)
	stranger.Caller = "saves"
	if _, err := Make(view, stranger, options, facts{}, 0, dice); defect.KindOf(err) != defect.NotAllowed {
		t.Errorf("a stranger gave %v", err)
	}
	for asked, want := range map[time.Duration]time.Duration{0: 2 * time.Second, time.Second: time.Second, time.Minute: 2 * time.Second} {
		request := asking("POST", "/shop/buy", nil)
		request.Asked = asked
		if made, err := Make(view, request, options, facts{}, 0, dice); err != nil || made.Horizon != want || made.Class != setup.Once {
			t.Errorf("asked %v: %v, %v", asked, made, err)
		}
	}
}

// A policy decides whether there is a call, before the flag decides its version.
func TestPolicies(t *testing.T) {
	for name, one := range map[string]struct {
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
		view := viewOf(t, Directory{"shop": {"1": workers("old"), "2": workers("new")}}, fmt.Sprintf(`policy: only: expression: %q
route: guarded: {service: "shop", prefix: "/shop/guarded", key: "X-User", attributes: country: "X-Country", policy: "only"}`, one.policy))
		made, err := Make(view, asking("GET", "/shop/guarded", one.headers), options, facts{}, 0, rand.Float64)
		if one.holds != (err == nil) || (err != nil && (defect.KindOf(err) != defect.PolicyRefused || made.Verdict.Reason != ReasonPolicy || len(made.Candidates) > 0)) {
			t.Errorf("%s: %v, %+v", name, err, made)
		}
		// Another route of the service is not touched by it.
		if _, err := Make(view, asking("GET", "/shop/x", one.headers), options, facts{}, 0, rand.Float64); err != nil {
			t.Errorf("%s: a route without a policy: %v", name, err)
		}
	}
}

// A key that can't be kept is refused where it would have mattered, and left alone elsewhere.
func TestKeys(t *testing.T) {
	view := viewOf(t, nil, "")
	for _, one := range []struct {
		method, key string
		keyed       bool
		want        defect.Kind
	}{
		{"POST", "k", true, ""}, {"POST", "", false, ""}, {"POST", "", true, defect.Malformed},
		{"POST", strings.Repeat("k", keyMost), true, ""}, {"POST", strings.Repeat("k", keyMost+1), true, defect.Malformed},
		{"GET", "", true, ""}, {"GET", strings.Repeat("k", keyMost+1), true, ""},
	} {
		request := asking(one.method, "/shop/buy", nil)
		request.Keyed, request.Idempotency = one.keyed, one.key
		_, err := Make(view, request, options, facts{}, 0, rand.New(rand.NewPCG(1, 1)).Float64)
		if (err == nil) != (one.want == "") || (err != nil && defect.KindOf(err) != one.want) {
			t.Errorf("%s with a key of %d bytes: %v", one.method, len(one.key), err)
		}
	}
}

// How often each worker comes first, over many draws.
func firsts(t *testing.T, pool []Candidate, f facts, now time.Duration) map[string]int {
	t.Helper()
	dice := rand.New(rand.NewPCG(2, 2))
	view := viewOf(t, Directory{"shop": {"2": pool}}, "")
	counts := map[string]int{}
	for range 1000 {
		made, err := Make(view, asking("GET", "/shop/x", map[string]string{"X-User": "ann"}), options, f, now, dice.Float64)
		if err != nil || len(made.Candidates) != len(pool) {
			t.Fatal(made, err)
		}
		counts[made.Candidates[0].Instance]++
	}
	return counts
}

func TestPlace(t *testing.T) {
	if got := firsts(t, workers("a", "b", "far1"), facts{}, 0); got["far1"] > 0 || got["a"] < 400 || got["b"] < 400 {
		t.Errorf("own zone first, evenly: %v", got)
	}
	if got := firsts(t, workers("a", "far1"), facts{inFlight: map[string]int{"a": 9}}, 0); got["far1"] != 1000 {
		t.Errorf("an overloaded zone spills over: %v", got)
	}
	if got := firsts(t, workers("a", "b", "c"), facts{inFlight: map[string]int{"a": 5}}, 0); got["a"] > 0 {
		t.Errorf("of two drawn, the busier goes second: %v", got)
	}
	if got := firsts(t, workers("a", "b"), facts{ejected: map[string]bool{"a": true}}, 0); got["a"] > 0 {
		t.Errorf("an ejected worker comes last: %v", got)
	}
	if got := firsts(t, workers("a", "b"), facts{ejected: map[string]bool{"a": true, "b": true}}, 0); len(got) != 1 {
		t.Errorf("at most half of a pool is ejected: %v", got)
	}
	young := workers("a", "b", "c")
	young[0].Since = 0
	if got := firsts(t, young, facts{inFlight: map[string]int{"b": 1, "c": 1}}, time.Second); got["a"] > 0 {
		t.Errorf("a worker that warms up is spared: %v", got)
	}
}

// A key keeps its worker while that is there, and moves alone when it goes.
func TestKeysStay(t *testing.T) {
	pool := workers("a", "b", "c", "d")
	lost := map[string]bool{}
	place := func(pool []Candidate, key string) string {
		request := asking("POST", "/shop/buy", map[string]string{"X-User": "ann"})
		request.Idempotency = key
		made, err := Make(viewOf(t, Directory{"shop": {"2": pool}}, ""), request, options, facts{lost: lost}, 0, rand.Float64)
		if err != nil {
			t.Fatal(err)
		}
		return made.Candidates[0].Instance
	}
	used := map[string]bool{}
	for i := range 40 {
		key := strings.Repeat("k", i+1)
		before := place(pool, key)
		used[before] = true
		if again := place(pool, key); again != before {
			t.Errorf("%s moved from %s to %s", key, before, again)
		}
		if after := place(pool[:3], key); before != "d" && after != before {
			t.Errorf("%s moved from %s to %s when d went", key, before, after)
		}
	}
	// While a worker's proxy is not reached, no key goes there first.
	lost["a"] = true
	for i := range 40 {
		if got := place(pool, strings.Repeat("k", i+1)); got == "a" {
			t.Error("a key goes first where nobody is reached")
		}
	}
	if len(used) < 4 {
		t.Errorf("keys went to %v only", used)
	}
}
