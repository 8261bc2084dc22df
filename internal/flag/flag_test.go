package flag

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func number(n int) *int { return &n }

func user(key string, attributes map[string]any) Context {
	return Context{DefaultKind: {Key: key, Attributes: attributes}}
}

// setOf compiles definitions that must have no faults.
func setOf(tb testing.TB, flags []*Flag, segments ...*Segment) *Set {
	tb.Helper()
	set := &Set{Flags: map[string]*Flag{}, Segments: map[string]*Segment{}}
	for _, definition := range flags {
		set.Flags[definition.Key] = definition
	}
	for _, segment := range segments {
		set.Segments[segment.Key] = segment
	}
	if faults := set.Compile(); len(faults) > 0 {
		tb.Fatalf("faults: %v", faults)
	}
	return set
}

func plain(key string) *Flag {
	return &Flag{Key: key, On: true, Salt: "s", Variations: []string{"v0", "v1", "v2"}, Fallthrough: Serve{Variation: number(2)}}
}

// The expected digits were computed with another implementation of SHA-1, in another language.
func TestBucketVectors(t *testing.T) {
	seed := int64(61)
	for _, test := range []struct {
		key, salt, value string
		seed             *int64
		digits           uint64
	}{
		{"hashKey", "saltyA", "userKeyA", nil, 0x6bec658111d6ad9},
		{"hashKey", "saltyA", "userKeyB", nil, 0xabbcba2157240ad},
		{"hashKey", "saltyA", "userKeyC", nil, 0x1a7a754382d1e86},
		{"release.shop", "", "user-1", nil, 0xc63cd7dcb9607a3},
		{"release.shop", "s", "33333", nil, 0xc420c55817b978b},
		{"a", "b", "ключ", nil, 0xd3a980592ff9790},
		{"any", "thing", "userKeyA", &seed, 0x19175196da26483},
	} {
		t.Run(test.key+"."+test.salt+"."+test.value, func(t *testing.T) {
			want := float64(test.digits) / float64(0xFFFFFFFFFFFFFFF)
			if got := Bucket(test.key, test.salt, test.seed, user(test.value, nil), DefaultKind, ""); got != want {
				t.Errorf("%s.%s.%s: got %v, want %v", test.key, test.salt, test.value, got, want)
			}
		})
	}
	// A whole number buckets as its digits; what is neither text nor whole number, or absent, gives 0.
	context := user("k", map[string]any{"whole": 33333.0, "part": 1.5, "list": []any{"x"}, "null": nil})
	if got := Bucket("release.shop", "s", nil, context, DefaultKind, "whole"); got != float64(0xc420c55817b978b)/float64(0xFFFFFFFFFFFFFFF) {
		t.Errorf("whole number gave %v", got)
	}
	for _, attribute := range []string{"part", "list", "null", "absent"} {
		if got := Bucket("release.shop", "s", nil, context, DefaultKind, attribute); got != 0 {
			t.Errorf("%s gave %v", attribute, got)
		}
	}
}

// The steps of an evaluation have a fixed order: a flag that would match at every step shows which one decides.
func TestFixedOrder(t *testing.T) {
	full := func(change func(*Flag)) *Set {
		needed := plain("needed")
		needed.Fallthrough = Serve{Variation: number(1)}
		decided := plain("f")
		decided.OffVariation = 0
		decided.Prerequisites = []Prerequisite{{Key: "needed", Variation: 1}}
		decided.Targets = []Target{{Variation: 1, Values: []string{"ann"}}}
		decided.Rules = []Rule{
			{ID: "first", Clauses: []Clause{{Attribute: "key", Operator: "in", Values: []any{"ann", "ben"}}}, Serve: Serve{Variation: number(0)}},
			{ID: "second", Clauses: []Clause{{Attribute: "key", Operator: "in", Values: []any{"ben"}}}, Serve: Serve{Variation: number(1)}},
		}
		change(decided)
		set := &Set{Flags: map[string]*Flag{"f": decided, "needed": needed}, Segments: map[string]*Segment{}}
		set.Compile()
		return set
	}
	none := func(*Flag) {}
	for _, test := range []struct {
		name    string
		change  func(*Flag)
		key     string
		context Context
		want    Result
	}{
		{"unknown flag", none, "other", user("ann", nil), Result{Index: -1, Reason: ReasonError, Error: FlagNotFound}},
		{"no key", none, "f", user("", nil), Result{Index: -1, Reason: ReasonError, Error: KeyMissing}},
		{"no user", none, "f", Context{"caller": {Key: "x"}}, Result{Index: -1, Reason: ReasonError, Error: KeyMissing}},
		{"no key goes before off", func(f *Flag) { f.On = false }, "f", user("", nil), Result{Index: -1, Reason: ReasonError, Error: KeyMissing}},
		{"off goes before prerequisites", func(f *Flag) { f.On = false; f.Prerequisites[0].Variation = 0 }, "f", user("ann", nil), Result{Index: 0, Value: "v0", Reason: ReasonOff}},
		{"prerequisites go before targets", func(f *Flag) { f.Prerequisites[0].Variation = 0 }, "f", user("ann", nil), Result{Index: 0, Value: "v0", Reason: ReasonPrerequisite, Prerequisite: "needed"}},
		{"a prerequisite that is missing", func(f *Flag) { f.Prerequisites[0].Key = "gone" }, "f", user("ann", nil), Result{Index: 0, Value: "v0", Reason: ReasonPrerequisite, Prerequisite: "gone"}},
		{"targets go before rules", none, "f", user("ann", nil), Result{Index: 1, Value: "v1", Reason: ReasonTarget}},
		{"the first rule that matches", none, "f", user("ben", nil), Result{Index: 0, Value: "v0", Reason: ReasonRule, RuleID: "first"}},
		{"fallthrough", none, "f", user("cid", nil), Result{Index: 2, Value: "v2", Reason: ReasonFallthrough}},
		{"bad index", func(f *Flag) { f.Fallthrough.Variation = number(9) }, "f", user("cid", nil), Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, full(test.change).Evaluate(test.key, test.context)); diff != "" {
				t.Errorf("%s: %s", test.name, diff)
			}
		})
	}
}

// A prerequisite that is off is not met, even if its off variation is the one required.
func TestPrerequisiteOff(t *testing.T) {
	needed := plain("needed")
	needed.On, needed.OffVariation = false, 1
	decided := plain("f")
	decided.Prerequisites = []Prerequisite{{Key: "needed", Variation: 1}}
	if got := setOf(t, []*Flag{needed, decided}).Evaluate("f", user("ann", nil)); got.Reason != ReasonPrerequisite {
		t.Errorf("got %v", got)
	}
}

// Each operator compares values and types as documented, and a negated clause is its opposite.
func TestOperators(t *testing.T) {
	attributes := map[string]any{"text": "hello", "number": 5.0, "flag": true, "list": []any{"a", 7.0}, "null": nil, "version": "1.2.3", "when": "2026-01-01T00:00:00Z", "ms": 1767225600000.0, "empty": []any{}}
	for _, test := range []struct {
		attribute, operator string
		values              []any
		want                bool
	}{
		{"text", "in", []any{"x", "hello"}, true}, {"text", "in", []any{"Hello"}, false},
		{"number", "in", []any{"5"}, false}, {"number", "in", []any{5.0}, true}, {"flag", "in", []any{true}, true}, {"flag", "in", []any{"true"}, false},
		{"list", "in", []any{7.0}, true}, {"list", "in", []any{"b"}, false}, {"empty", "in", []any{"b"}, false},
		{"text", "endsWith", []any{""}, true}, {"text", "endsWith", []any{"llo"}, true}, {"text", "endsWith", []any{"hel"}, false}, {"number", "endsWith", []any{"5"}, false},
		{"text", "startsWith", []any{"hel"}, true}, {"text", "startsWith", []any{"ello"}, false},
		{"text", "contains", []any{"ell"}, true}, {"text", "contains", []any{"xx"}, false},
		{"text", "matches", []any{"^h.*o$"}, true}, {"text", "matches", []any{"ll"}, true}, {"text", "matches", []any{"^l"}, false}, {"number", "matches", []any{"5"}, false},
		{"number", "lessThan", []any{5.0}, false}, {"number", "lessThan", []any{5.5}, true}, {"number", "lessThanOrEqual", []any{5.0}, true},
		{"number", "greaterThan", []any{5.0}, false}, {"number", "greaterThan", []any{4.0}, true}, {"number", "greaterThanOrEqual", []any{5.0}, true}, {"text", "lessThan", []any{9.0}, false},
		{"when", "before", []any{"2026-01-01T00:00:01Z"}, true}, {"when", "after", []any{1767225599999.0}, true}, {"when", "after", []any{1767225600000.0}, false},
		{"ms", "before", []any{"2026-01-02T00:00:00+00:00"}, true}, {"text", "before", []any{9e15}, false},
		{"version", "semVerEqual", []any{"1.2.3+build"}, true}, {"version", "semVerLessThan", []any{"1.2.4"}, true}, {"version", "semVerLessThan", []any{"1.2.3"}, false},
		{"version", "semVerGreaterThan", []any{"1.2.3-rc.1"}, true}, {"version", "semVerGreaterThan", []any{"2"}, false}, {"text", "semVerEqual", []any{"1.0.0"}, false},
		{"key", "in", []any{"ann"}, true}, {"kind", "in", []any{"user"}, true},
	} {
		t.Run(fmt.Sprint(test.attribute, " ", test.operator, " ", test.values), func(t *testing.T) {
			for _, negate := range []bool{false, true} {
				decided := plain("f")
				decided.Rules = []Rule{{ID: "r", Clauses: []Clause{{Attribute: test.attribute, Operator: test.operator, Values: test.values, Negate: negate}}, Serve: Serve{Variation: number(0)}}}
				matched := setOf(t, []*Flag{decided}).Evaluate("f", user("ann", attributes)).Reason == ReasonRule
				if matched != (test.want != negate) {
					t.Errorf("%s %s %v, negated %v: got %v", test.attribute, test.operator, test.values, negate, matched)
				}
			}
		})
	}
	// A null or absent attribute skips the rule, whether the clause is negated or not.
	for _, attribute := range []string{"null", "absent"} {
		for _, negate := range []bool{false, true} {
			decided := plain("f")
			decided.Rules = []Rule{{ID: "r", Clauses: []Clause{{Attribute: attribute, Operator: "in", Values: []any{"x"}, Negate: negate}}, Serve: Serve{Variation: number(0)}}}
			if got := setOf(t, []*Flag{decided}).Evaluate("f", user("ann", attributes)); got.Reason != ReasonFallthrough {
				t.Errorf("%s, negated %v: got %v", attribute, negate, got.Reason)
			}
		}
	}
}

// Included goes before excluded, and excluded before the rules; a rule with a weight includes by bucket.
func TestSegments(t *testing.T) {
	weight := 50000
	testers := &Segment{Key: "testers", Salt: "z", Included: []string{"ann"}, Excluded: []string{"ann", "ben"}, Rules: []SegmentRule{
		{Clauses: []Clause{{Attribute: "country", Operator: "in", Values: []any{"se"}}}},
		{Clauses: []Clause{{Attribute: "country", Operator: "in", Values: []any{"no"}}}, Weight: &weight},
	}}
	inside := func(key, country string, negate bool) bool {
		decided := plain("f")
		decided.Rules = []Rule{{ID: "r", Clauses: []Clause{{Operator: "segmentMatch", Values: []any{"testers"}, Negate: negate}}, Serve: Serve{Variation: number(0)}}}
		return setOf(t, []*Flag{decided}, testers).Evaluate("f", user(key, map[string]any{"country": country})).Reason == ReasonRule
	}
	for _, test := range []struct {
		key, country string
		want         bool
	}{{"ann", "dk", true}, {"ben", "se", false}, {"cid", "se", true}, {"cid", "dk", false}} {
		if inside(test.key, test.country, false) != test.want || inside(test.key, test.country, true) == test.want {
			t.Errorf("%s from %s: want %v", test.key, test.country, test.want)
		}
	}
	for i := range 200 {
		key := fmt.Sprint("k", i)
		if want := Bucket("testers", "z", nil, user(key, nil), DefaultKind, "") < 0.5; inside(key, "no", false) != want {
			t.Errorf("%s: want %v by its bucket", key, want)
		}
	}
}

func rollout(weights ...int) *Rollout {
	result := &Rollout{}
	for i, weight := range weights {
		result.Variations = append(result.Variations, WeightedVariation{Variation: i, Weight: weight})
	}
	return result
}

// Contexts that cannot be bucketed, and buckets at the ends, get a variation with weight.
func TestRolloutEdges(t *testing.T) {
	decided := plain("f")
	decided.Fallthrough = Serve{Rollout: rollout(0, 30000, 70000)}
	set := setOf(t, []*Flag{decided})
	// A kind that the context does not have: the first variation with any weight.
	decided.Fallthrough.Rollout.ContextKind = "device"
	if got := set.Evaluate("f", user("ann", nil)); got.Index != 1 {
		t.Errorf("kind mismatch gave %d", got.Index)
	}
	// The kind is there but not the attribute: bucket 0, so the first variation with any weight too.
	decided.Fallthrough.Rollout.ContextKind, decided.Fallthrough.Rollout.BucketBy = "", "absent"
	if got := set.Evaluate("f", user("ann", nil)); got.Index != 1 {
		t.Errorf("missing value gave %d", got.Index)
	}
	// A bucket of exactly 1 exceeds every sum; it belongs to the last variation with weight.
	if index, found := (&Rollout{Variations: []WeightedVariation{{Variation: 0, Weight: 0}, {Variation: 1, Weight: 0}, {Variation: 2, Weight: 0}}}).pickVariation("f", "s", user("ann", nil)); found {
		t.Errorf("no weight at all gave %d", index)
	}
	if index, found := (&Rollout{Variations: []WeightedVariation{{Variation: 0, Weight: 1}, {Variation: 1, Weight: 0}}}).pickVariation("f", "s", user("ann", nil)); !found || index != 0 {
		t.Errorf("past the last sum gave %d, %v", index, found)
	}
}

// Each fault of a definition is reported, and a definition with faults can be evaluated all the same.
func TestFaults(t *testing.T) {
	bad := func(change func(*Flag)) []Fault {
		decided := plain("f")
		change(decided)
		return (&Set{Flags: map[string]*Flag{"f": decided}, Segments: map[string]*Segment{}}).Compile()
	}
	clause := func(operator string, value any) func(*Flag) {
		return func(f *Flag) {
			f.Rules = []Rule{{ID: "r", Clauses: []Clause{{Attribute: "a", Operator: operator, Values: []any{value}}}, Serve: Serve{Variation: number(0)}}}
		}
	}
	for name, change := range map[string]func(*Flag){
		"off index":         func(f *Flag) { f.OffVariation = 3 },
		"target index":      func(f *Flag) { f.Targets = []Target{{Variation: -1}} },
		"sum":               func(f *Flag) { f.Fallthrough = Serve{Rollout: rollout(50000, 49999)} },
		"negative weight":   func(f *Flag) { f.Fallthrough = Serve{Rollout: rollout(100001, -1)} },
		"neither":           func(f *Flag) { f.Fallthrough = Serve{} },
		"both":              func(f *Flag) { f.Fallthrough.Rollout = rollout(100000) },
		"cycle":             func(f *Flag) { f.Prerequisites = []Prerequisite{{Key: "f"}} },
		"prerequisite gone": func(f *Flag) { f.Prerequisites = []Prerequisite{{Key: "x"}} },
		"regex":             clause("matches", "("),
		"semver":            clause("semVerEqual", "one"),
		"time":              clause("before", "soon"),
		"not a number":      clause("lessThan", "5"),
		"operator":          clause("like", "x"),
		"segment":           clause("segmentMatch", "x"),
		"no variations":     func(f *Flag) { f.Variations = nil },
		"rule id twice": func(f *Flag) {
			f.Rules = []Rule{{ID: "r", Serve: Serve{Variation: number(0)}}, {ID: "r", Serve: Serve{Variation: number(0)}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			if len(bad(change)) == 0 {
				t.Error("no fault was reported")
			}
		})
	}
	cycle := []*Flag{plain("a"), plain("b"), plain("c")}
	for i, member := range cycle {
		member.Prerequisites = []Prerequisite{{Key: cycle[(i+1)%3].Key}}
	}
	set := &Set{Flags: map[string]*Flag{"a": cycle[0], "b": cycle[1], "c": cycle[2]}}
	if faults := set.Compile(); len(faults) != 1 {
		t.Errorf("a cycle of three gave %v", faults)
	}
	// Evaluating a cycle must not recurse without end or panic.
	if got := set.Evaluate("a", user("ann", nil)); got.Reason != ReasonPrerequisite {
		t.Errorf("cycle gave %v", got)
	}
}

// The variations' shares of a large population are close to their weights.
func TestSpread(t *testing.T) {
	decided := plain("f")
	decided.Fallthrough = Serve{Rollout: rollout(20000, 30000, 50000)}
	set := setOf(t, []*Flag{decided})
	const population = 20000
	var counts [3]int
	for i := range population {
		counts[set.Evaluate("f", user(fmt.Sprint("user-", i), nil)).Index]++
	}
	for i, weight := range []float64{0.2, 0.3, 0.5} {
		// Five standard deviations. The keys are fixed, so the test is not flaky.
		if spread := 5 * math.Sqrt(weight*(1-weight)/population); math.Abs(float64(counts[i])/population-weight) > spread {
			t.Errorf("variation %d got %d of %d, want about %v", i, counts[i], population, weight)
		}
	}
}

// When the weight of one variation grows at the cost of another, contexts move only to the one that grew.
func TestMonotoneMovement(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		before := random.IntN(TotalWeight + 1)
		after := before + random.IntN(TotalWeight+1-before)
		key := fmt.Sprintf("%x", random.Uint64())
		index := func(weight int) int {
			decided := plain("f")
			decided.Fallthrough = Serve{Rollout: &Rollout{Variations: []WeightedVariation{{Variation: 1, Weight: weight}, {Variation: 0, Weight: TotalWeight - weight}}}}
			return setOf(t, []*Flag{decided}).Evaluate("f", user(key, nil)).Index
		}
		if index(before) == 1 && index(after) != 1 {
			t.Fatalf("%q left the version whose weight grew from %d to %d", key, before, after)
		}
	}
}

// Evaluation is a function of its inputs and never panics, whatever the definition.
func FuzzEvaluate(f *testing.F) {
	f.Add([]byte(`{"key":"f","on":true,"variations":["a","b"],"fallthrough":{"rollout":{"variations":[{"variation":0,"weight":100000}]}}}`), []byte(`{"x":1}`), "ann")
	f.Add([]byte(`{"key":"f","on":true,"variations":[],"rules":[{"id":"r","clauses":[{"attribute":"x","operator":"matches","values":["(",1,null]}],"variation":7}]}`), []byte(`{"x":["a",null,{}]}`), "ben")
	f.Add([]byte(`{"key":"f","on":true,"prerequisites":[{"key":"f","variation":-1}],"fallthrough":{"rollout":{"seed":-5,"bucketBy":"x","variations":[{"variation":-3,"weight":-9}]}}}`), []byte(`{"x":1e300}`), "")
	f.Fuzz(func(t *testing.T, definition, attributes []byte, key string) {
		var decided Flag
		var custom map[string]any
		if json.Unmarshal(definition, &decided) != nil || json.Unmarshal(attributes, &custom) != nil {
			return
		}
		set := &Set{Flags: map[string]*Flag{decided.Key: &decided}, Segments: map[string]*Segment{}}
		faults := set.Compile()
		got := set.Evaluate(decided.Key, user(key, custom))
		if got != set.Evaluate(decided.Key, user(key, custom)) {
			t.Fatal("the same inputs gave another result")
		}
		if len(faults) == 0 && key != "" && got.Reason == ReasonError {
			t.Fatalf("a definition without faults gave %v", got)
		}
	})
}
