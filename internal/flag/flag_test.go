package flag

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func pointerTo(variation int) *int { return &variation }

// user returns a context that has DefaultKind only.
func user(key string, attributes map[string]any) Context {
	return Context{DefaultKind: {Key: key, Attributes: attributes}}
}

// setOf returns a compiled set of definitions, which must have no faults.
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
		tb.Fatalf("Compile returned faults: %v", faults)
	}
	return set
}

// flagWithFallthrough returns a flag without targets and rules, whose result is the last of three variations.
func flagWithFallthrough(key string) *Flag {
	return &Flag{Key: key, On: true, Salt: "s", Variations: []string{"v0", "v1", "v2"}, Fallthrough: Serve{Variation: pointerTo(2)}}
}

// Bucket agrees with buckets whose digits were computed with another implementation of SHA-1, in another language.
func TestBucketAgreesWithOtherImplementation(t *testing.T) {
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
				t.Errorf("Bucket(%q, %q) of user %q = %v, want %v", test.key, test.salt, test.value, got, want)
			}
		})
	}
	// A whole number has the bucket of its digits as text. A value that is neither text nor a whole number, or that is
	// absent, has bucket 0.
	context := user("k", map[string]any{"whole": 33333.0, "part": 1.5, "list": []any{"x"}, "null": nil})
	if got, want := Bucket("release.shop", "s", nil, context, DefaultKind, "whole"), float64(0xc420c55817b978b)/float64(0xFFFFFFFFFFFFFFF); got != want {
		t.Errorf("Bucket by a whole number = %v, want %v", got, want)
	}
	for _, attribute := range []string{"part", "list", "null", "absent"} {
		if got := Bucket("release.shop", "s", nil, context, DefaultKind, attribute); got != 0 {
			t.Errorf("Bucket by attribute %q = %v, want 0", attribute, got)
		}
	}
}

// The steps of an evaluation have a fixed order. The flag under test applies at every step, so the result shows which
// step decided.
func TestEvaluationStepsHaveFixedOrder(t *testing.T) {
	compileChanged := func(change func(*Flag)) *Set {
		required := flagWithFallthrough("needed")
		required.Fallthrough = Serve{Variation: pointerTo(1)}
		tested := flagWithFallthrough("f")
		tested.OffVariation = 0
		tested.Prerequisites = []Prerequisite{{Key: "needed", Variation: 1}}
		tested.Targets = []Target{{Variation: 1, Values: []string{"ann"}}}
		tested.Rules = []Rule{
			{ID: "first", Clauses: []Clause{{Attribute: "key", Operator: "in", Values: []any{"ann", "ben"}}}, Serve: Serve{Variation: pointerTo(0)}},
			{ID: "second", Clauses: []Clause{{Attribute: "key", Operator: "in", Values: []any{"ben"}}}, Serve: Serve{Variation: pointerTo(1)}},
		}
		change(tested)
		set := &Set{Flags: map[string]*Flag{"f": tested, "needed": required}, Segments: map[string]*Segment{}}
		set.Compile()
		return set
	}
	unchanged := func(*Flag) {}
	for _, test := range []struct {
		name    string
		change  func(*Flag)
		key     string
		context Context
		want    Result
	}{
		{"an unknown flag is an error", unchanged, "other", user("ann", nil), Result{Index: -1, Reason: ReasonError, Error: FlagNotFound}},
		{"a user without a key is an error", unchanged, "f", user("", nil), Result{Index: -1, Reason: ReasonError, Error: KeyMissing}},
		{"a context without a user is an error", unchanged, "f", Context{"caller": {Key: "x"}}, Result{Index: -1, Reason: ReasonError, Error: KeyMissing}},
		{"the check of the key comes before off", func(f *Flag) { f.On = false }, "f", user("", nil), Result{Index: -1, Reason: ReasonError, Error: KeyMissing}},
		{"off comes before prerequisites", func(f *Flag) { f.On = false; f.Prerequisites[0].Variation = 0 }, "f", user("ann", nil), Result{Index: 0, Value: "v0", Reason: ReasonOff}},
		{"prerequisites come before targets", func(f *Flag) { f.Prerequisites[0].Variation = 0 }, "f", user("ann", nil), Result{Index: 0, Value: "v0", Reason: ReasonPrerequisite, Prerequisite: "needed"}},
		{"a prerequisite that does not exist is not met", func(f *Flag) { f.Prerequisites[0].Key = "gone" }, "f", user("ann", nil), Result{Index: 0, Value: "v0", Reason: ReasonPrerequisite, Prerequisite: "gone"}},
		{"targets come before rules", unchanged, "f", user("ann", nil), Result{Index: 1, Value: "v1", Reason: ReasonTarget}},
		{"the first rule that matches decides", unchanged, "f", user("ben", nil), Result{Index: 0, Value: "v0", Reason: ReasonRule, RuleID: "first"}},
		{"the fallthrough comes last", unchanged, "f", user("cid", nil), Result{Index: 2, Value: "v2", Reason: ReasonFallthrough}},
		{"an index out of range is an error", func(f *Flag) { f.Fallthrough.Variation = pointerTo(9) }, "f", user("cid", nil), Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, compileChanged(test.change).Evaluate(test.key, test.context)); diff != "" {
				t.Errorf("Evaluate(%q) (-want +got):\n%s", test.key, diff)
			}
		})
	}
}

// A prerequisite whose flag is off is not met, even if the off variation is the required one.
func TestPrerequisiteThatIsOffIsNotMet(t *testing.T) {
	required := flagWithFallthrough("needed")
	required.On, required.OffVariation = false, 1
	tested := flagWithFallthrough("f")
	tested.Prerequisites = []Prerequisite{{Key: "needed", Variation: 1}}
	if got := setOf(t, []*Flag{required, tested}).Evaluate("f", user("ann", nil)); got.Reason != ReasonPrerequisite {
		t.Errorf("Evaluate = %+v, want reason %s", got, ReasonPrerequisite)
	}
}

// Each operator matches only values of its type, and a negated clause has the opposite result.
func TestOperatorsMatchOnlyValuesOfTheirType(t *testing.T) {
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
				tested := flagWithFallthrough("f")
				tested.Rules = []Rule{{ID: "r", Clauses: []Clause{{Attribute: test.attribute, Operator: test.operator, Values: test.values, Negate: negate}}, Serve: Serve{Variation: pointerTo(0)}}}
				matched := setOf(t, []*Flag{tested}).Evaluate("f", user("ann", attributes)).Reason == ReasonRule
				if matched != (test.want != negate) {
					t.Errorf("clause %s %s %v with Negate %v matched: %v, want %v", test.attribute, test.operator, test.values, negate, matched, test.want != negate)
				}
			}
		})
	}
	// A clause on a null or absent attribute does not match, whether it is negated or not.
	for _, attribute := range []string{"null", "absent"} {
		for _, negate := range []bool{false, true} {
			tested := flagWithFallthrough("f")
			tested.Rules = []Rule{{ID: "r", Clauses: []Clause{{Attribute: attribute, Operator: "in", Values: []any{"x"}, Negate: negate}}, Serve: Serve{Variation: pointerTo(0)}}}
			if got := setOf(t, []*Flag{tested}).Evaluate("f", user("ann", attributes)); got.Reason != ReasonFallthrough {
				t.Errorf("clause on attribute %q with Negate %v: got reason %s, want %s", attribute, negate, got.Reason, ReasonFallthrough)
			}
		}
	}
}

// Included takes precedence over Excluded, and Excluded over the rules. A rule with a weight adds contexts by bucket.
func TestSegmentPrecedence(t *testing.T) {
	weight := 50000
	testers := &Segment{Key: "testers", Salt: "z", Included: []string{"ann"}, Excluded: []string{"ann", "ben"}, Rules: []SegmentRule{
		{Clauses: []Clause{{Attribute: "country", Operator: "in", Values: []any{"se"}}}},
		{Clauses: []Clause{{Attribute: "country", Operator: "in", Values: []any{"no"}}}, Weight: &weight},
	}}
	matches := func(key, country string, negate bool) bool {
		tested := flagWithFallthrough("f")
		tested.Rules = []Rule{{ID: "r", Clauses: []Clause{{Operator: "segmentMatch", Values: []any{"testers"}, Negate: negate}}, Serve: Serve{Variation: pointerTo(0)}}}
		return setOf(t, []*Flag{tested}, testers).Evaluate("f", user(key, map[string]any{"country": country})).Reason == ReasonRule
	}
	for _, test := range []struct {
		key, country string
		want         bool
	}{{"ann", "dk", true}, {"ben", "se", false}, {"cid", "se", true}, {"cid", "dk", false}} {
		if got, negated := matches(test.key, test.country, false), matches(test.key, test.country, true); got != test.want || negated == test.want {
			t.Errorf("user %q from %q: segmentMatch = %v, want %v; negated = %v, want %v", test.key, test.country, got, test.want, negated, !test.want)
		}
	}
	for i := range 200 {
		key := fmt.Sprint("k", i)
		if want := Bucket("testers", "z", nil, user(key, nil), DefaultKind, "") < 0.5; matches(key, "no", false) != want {
			t.Errorf("user %q and a rule for half of the contexts: segmentMatch = %v, want %v by the bucket", key, !want, want)
		}
	}
}

// rollout returns a rollout with the weights of the variations, from index 0.
func rollout(weights ...int) *Rollout {
	result := &Rollout{}
	for i, weight := range weights {
		result.Variations = append(result.Variations, WeightedVariation{Variation: i, Weight: weight})
	}
	return result
}

// A context that cannot be bucketed, and one with a bucket at either end, gets a variation that has weight.
func TestRolloutPicksVariationWithWeight(t *testing.T) {
	tested := flagWithFallthrough("f")
	tested.Fallthrough = Serve{Rollout: rollout(0, 30000, 70000)}
	set := setOf(t, []*Flag{tested})
	// A context that does not have the kind gets the first variation with any weight.
	tested.Fallthrough.Rollout.ContextKind = "device"
	if got := set.Evaluate("f", user("ann", nil)); got.Index != 1 {
		t.Errorf("rollout by a kind that the context does not have: variation %d, want 1", got.Index)
	}
	// A context that has the kind but not the attribute has bucket 0, and so gets that variation too.
	tested.Fallthrough.Rollout.ContextKind, tested.Fallthrough.Rollout.BucketBy = "", "absent"
	if got := set.Evaluate("f", user("ann", nil)); got.Index != 1 {
		t.Errorf("rollout by an absent attribute: variation %d, want 1", got.Index)
	}
	// A bucket that no sum of weights exceeds belongs to the last variation with weight, if there is one.
	if index, found := (&Rollout{Variations: []WeightedVariation{{Variation: 0, Weight: 0}, {Variation: 1, Weight: 0}, {Variation: 2, Weight: 0}}}).pickVariation("f", "s", user("ann", nil)); found {
		t.Errorf("pickVariation without any weight = %d, want none", index)
	}
	if index, found := (&Rollout{Variations: []WeightedVariation{{Variation: 0, Weight: 1}, {Variation: 1, Weight: 0}}}).pickVariation("f", "s", user("ann", nil)); !found || index != 0 {
		t.Errorf("pickVariation with a bucket beyond all weights = %d, %v, want 0, true", index, found)
	}
}

// Compile reports each fault of a definition, and a definition with faults can be evaluated all the same.
func TestCompileReportsFaults(t *testing.T) {
	compileChanged := func(change func(*Flag)) []Fault {
		tested := flagWithFallthrough("f")
		change(tested)
		return (&Set{Flags: map[string]*Flag{"f": tested}, Segments: map[string]*Segment{}}).Compile()
	}
	clause := func(operator string, value any) func(*Flag) {
		return func(f *Flag) {
			f.Rules = []Rule{{ID: "r", Clauses: []Clause{{Attribute: "a", Operator: operator, Values: []any{value}}}, Serve: Serve{Variation: pointerTo(0)}}}
		}
	}
	for name, change := range map[string]func(*Flag){
		"off variation out of range":         func(f *Flag) { f.OffVariation = 3 },
		"variation of a target out of range": func(f *Flag) { f.Targets = []Target{{Variation: -1}} },
		"weights with a wrong sum":           func(f *Flag) { f.Fallthrough = Serve{Rollout: rollout(50000, 49999)} },
		"negative weight":                    func(f *Flag) { f.Fallthrough = Serve{Rollout: rollout(100001, -1)} },
		"neither a variation nor a rollout":  func(f *Flag) { f.Fallthrough = Serve{} },
		"both a variation and a rollout":     func(f *Flag) { f.Fallthrough.Rollout = rollout(100000) },
		"prerequisite of itself":             func(f *Flag) { f.Prerequisites = []Prerequisite{{Key: "f"}} },
		"prerequisite that does not exist":   func(f *Flag) { f.Prerequisites = []Prerequisite{{Key: "x"}} },
		"invalid regular expression":         clause("matches", "("),
		"invalid semantic version":           clause("semVerEqual", "one"),
		"invalid timestamp":                  clause("before", "soon"),
		"text in place of a number":          clause("lessThan", "5"),
		"operator that does not exist":       clause("like", "x"),
		"segment that does not exist":        clause("segmentMatch", "x"),
		"no variations":                      func(f *Flag) { f.Variations = nil },
		"two rules with the same id": func(f *Flag) {
			f.Rules = []Rule{{ID: "r", Serve: Serve{Variation: pointerTo(0)}}, {ID: "r", Serve: Serve{Variation: pointerTo(0)}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			if len(compileChanged(change)) == 0 {
				t.Errorf("Compile of a flag with %s returned no fault, want at least one", name)
			}
		})
	}
	cycle := []*Flag{flagWithFallthrough("a"), flagWithFallthrough("b"), flagWithFallthrough("c")}
	for i, member := range cycle {
		member.Prerequisites = []Prerequisite{{Key: cycle[(i+1)%3].Key}}
	}
	set := &Set{Flags: map[string]*Flag{"a": cycle[0], "b": cycle[1], "c": cycle[2]}}
	if faults := set.Compile(); len(faults) != 1 {
		t.Errorf("Compile of a cycle of three flags returned %v, want one fault", faults)
	}
	// Evaluating a cycle must not recurse without end or panic.
	if got := set.Evaluate("a", user("ann", nil)); got.Reason != ReasonPrerequisite {
		t.Errorf("Evaluate of a cycle = %+v, want reason %s", got, ReasonPrerequisite)
	}
}

// A rollout over many contexts gives each variation a part of them that is close to its weight.
func TestRolloutFollowsWeights(t *testing.T) {
	tested := flagWithFallthrough("f")
	tested.Fallthrough = Serve{Rollout: rollout(20000, 30000, 50000)}
	set := setOf(t, []*Flag{tested})
	const population = 20000
	var counts [3]int
	for i := range population {
		counts[set.Evaluate("f", user(fmt.Sprint("user-", i), nil)).Index]++
	}
	for i, weight := range []float64{0.2, 0.3, 0.5} {
		// The tolerance is five standard deviations. The keys are fixed, so the test is not flaky.
		if tolerance := 5 * math.Sqrt(weight*(1-weight)/population); math.Abs(float64(counts[i])/population-weight) > tolerance {
			t.Errorf("variation %d got %d of %d contexts, want a ratio of %v within %v", i, counts[i], population, weight, tolerance)
		}
	}
}

// If the weight of one variation rises at the cost of another, no context leaves the variation whose weight rose.
func TestRisingWeightKeepsContexts(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		before := random.IntN(TotalWeight + 1)
		after := before + random.IntN(TotalWeight+1-before)
		key := fmt.Sprintf("%x", random.Uint64())
		index := func(weight int) int {
			tested := flagWithFallthrough("f")
			tested.Fallthrough = Serve{Rollout: &Rollout{Variations: []WeightedVariation{{Variation: 1, Weight: weight}, {Variation: 0, Weight: TotalWeight - weight}}}}
			return setOf(t, []*Flag{tested}).Evaluate("f", user(key, nil)).Index
		}
		if index(before) == 1 && index(after) != 1 {
			t.Fatalf("user %q: variation 1 at weight %d, but %d at weight %d, want 1", key, before, index(after), after)
		}
	}
}

// Evaluate depends on its inputs alone and never panics, whatever the definition and the context.
func FuzzEvaluate(f *testing.F) {
	f.Add([]byte(`{"key":"f","on":true,"variations":["a","b"],"fallthrough":{"rollout":{"variations":[{"variation":0,"weight":100000}]}}}`), []byte(`{"x":1}`), "ann")
	f.Add([]byte(`{"key":"f","on":true,"variations":[],"rules":[{"id":"r","clauses":[{"attribute":"x","operator":"matches","values":["(",1,null]}],"variation":7}]}`), []byte(`{"x":["a",null,{}]}`), "ben")
	f.Add([]byte(`{"key":"f","on":true,"prerequisites":[{"key":"f","variation":-1}],"fallthrough":{"rollout":{"seed":-5,"bucketBy":"x","variations":[{"variation":-3,"weight":-9}]}}}`), []byte(`{"x":1e300}`), "")
	f.Fuzz(func(t *testing.T, definition, attributes []byte, key string) {
		var tested Flag
		var decodedAttributes map[string]any
		if json.Unmarshal(definition, &tested) != nil || json.Unmarshal(attributes, &decodedAttributes) != nil {
			return
		}
		set := &Set{Flags: map[string]*Flag{tested.Key: &tested}, Segments: map[string]*Segment{}}
		faults := set.Compile()
		got := set.Evaluate(tested.Key, user(key, decodedAttributes))
		if again := set.Evaluate(tested.Key, user(key, decodedAttributes)); got != again {
			t.Fatalf("Evaluate = %+v, then with the same inputs %+v", got, again)
		}
		if len(faults) == 0 && key != "" && got.Reason == ReasonError {
			t.Fatalf("Evaluate of a definition without faults = %+v, want no error", got)
		}
	})
}
