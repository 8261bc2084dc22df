// Package flag decides which variation a context gets, by the fixed order of the
// evaluation rules: preliminary checks, prerequisites, targets, rules, fallthrough.
// It does no I/O, keeps no state and never panics on any definition or context.
package flag

import (
	"regexp"

	"github.com/Masterminds/semver/v3"
)

// TotalWeight is the sum that the weights of a rollout make up.
const TotalWeight = 100000

// DefaultKind is the context kind meant where none is named.
const DefaultKind = "user"

// Reason says in one word why a variation was given.
type Reason string

// The reasons of the evaluation itself.
const (
	ReasonError        Reason = "ERROR"
	ReasonOff          Reason = "OFF"
	ReasonPrerequisite Reason = "PREREQUISITE_FAILED"
	ReasonTarget       Reason = "TARGET_MATCH"
	ReasonRule         Reason = "RULE_MATCH"
	ReasonFallthrough  Reason = "FALLTHROUGH"
)

// ErrorCode narrows ReasonError.
type ErrorCode string

// The error codes.
const (
	FlagNotFound  ErrorCode = "FLAG_NOT_FOUND"
	KeyMissing    ErrorCode = "USER_NOT_SPECIFIED"
	MalformedFlag ErrorCode = "MALFORMED_FLAG"
)

// Prerequisite is another flag that must give one variation.
type Prerequisite struct {
	Key       string `json:"key"`
	Variation int    `json:"variation"`
}

// Target lists the keys that get one variation.
type Target struct {
	ContextKind string   `json:"contextKind,omitempty"`
	Variation   int      `json:"variation"`
	Values      []string `json:"values"`

	keySet map[string]bool
}

// Clause compares one attribute with values.
type Clause struct {
	ContextKind string `json:"contextKind,omitempty"`
	Attribute   string `json:"attribute,omitempty"`
	Operator    string `json:"operator"`
	Values      []any  `json:"values"`
	Negate      bool   `json:"negate,omitempty"`

	patterns []*regexp.Regexp
	semvers  []*semver.Version
	times    []*int64
}

// WeightedVariation gives a variation a part of Whole.
type WeightedVariation struct {
	Variation int `json:"variation"`
	Weight    int `json:"weight"`
}

// Rollout spreads contexts over variations by the bucket of an attribute.
type Rollout struct {
	ContextKind string              `json:"contextKind,omitempty"`
	BucketBy    string              `json:"bucketBy,omitempty"`
	Seed        *int64              `json:"seed,omitempty"`
	Variations  []WeightedVariation `json:"variations"`
}

// Serve is either one variation or a rollout.
type Serve struct {
	Variation *int     `json:"variation,omitempty"`
	Rollout   *Rollout `json:"rollout,omitempty"`
}

// Rule serves contexts for which all clauses hold.
type Rule struct {
	ID      string   `json:"id"`
	Clauses []Clause `json:"clauses"`
	Serve
}

// Flag is one definition. Variations are versions of a service.
type Flag struct {
	Key           string         `json:"key"`
	On            bool           `json:"on"`
	Salt          string         `json:"salt"`
	Variations    []string       `json:"variations"`
	OffVariation  int            `json:"offVariation"`
	Prerequisites []Prerequisite `json:"prerequisites,omitempty"`
	Targets       []Target       `json:"targets,omitempty"`
	Rules         []Rule         `json:"rules,omitempty"`
	Fallthrough   Serve          `json:"fallthrough"`

	hasReferences bool // to other flags or to segments
}

// ReachableVariations lists the variations that an evaluation may give as the flag stands, in order.
func (f *Flag) ReachableVariations() []string {
	reached := map[int]bool{}
	if !f.On || len(f.Prerequisites) > 0 {
		reached[f.OffVariation] = true
	}
	serve := func(served Serve) {
		if served.Variation != nil {
			reached[*served.Variation] = true
		}
		if served.Rollout != nil {
			for _, weighted := range served.Rollout.Variations {
				if weighted.Weight > 0 {
					reached[weighted.Variation] = true
				}
			}
		}
	}
	if f.On {
		for _, target := range f.Targets {
			reached[target.Variation] = true
		}
		for _, rule := range f.Rules {
			serve(rule.Serve)
		}
		serve(f.Fallthrough)
	}
	var names []string
	for i, name := range f.Variations {
		if reached[i] {
			names = append(names, name)
		}
	}
	return names
}

// SegmentRule takes contexts into a segment, all or by weight.
type SegmentRule struct {
	Clauses     []Clause `json:"clauses"`
	Weight      *int     `json:"weight,omitempty"`
	BucketBy    string   `json:"bucketBy,omitempty"`
	ContextKind string   `json:"contextKind,omitempty"`
}

// Segment is a named set of contexts.
type Segment struct {
	Key      string        `json:"key"`
	Salt     string        `json:"salt"`
	Included []string      `json:"included,omitempty"`
	Excluded []string      `json:"excluded,omitempty"`
	Rules    []SegmentRule `json:"rules,omitempty"`

	included, excluded map[string]bool
}

// SingleContext is one context of one kind; Key is its key, Attributes hold the rest.
type SingleContext struct {
	Key        string
	Attributes map[string]any
}

// Context maps kinds to contexts; more than one makes a multi-context.
type Context map[string]SingleContext

// Result is a verdict: the variation, and why.
type Result struct {
	Index        int    // -1 when the fallback was given
	Value        string // the variation's value, empty when the fallback was given
	Reason       Reason
	RuleID       string
	Prerequisite string
	Error        ErrorCode
}

// Set holds the definitions one evaluation may need; it must be compiled first.
type Set struct {
	Flags    map[string]*Flag
	Segments map[string]*Segment
}

// EvaluationContext is what flags are evaluated for: a context of one or more kinds. Context is one; what
// is at hand already can be another, so that no maps need be made of it.
type EvaluationContext interface {
	// KeyOf gives the key of the context of a kind, found being false if there is none.
	KeyOf(kind string) (key string, found bool)
	// Attribute gives an attribute besides kind and key; null is as good as absent.
	Attribute(kind, name string) (value any, present bool)
	// HasAllKeys tells whether no context lacks its key.
	HasAllKeys() bool
}

// KeyOf gives the key of the context of a kind.
func (c Context) KeyOf(kind string) (string, bool) {
	single, found := c[kind]
	return single.Key, found
}

// Attribute gives an attribute of the context of a kind.
func (c Context) Attribute(kind, name string) (any, bool) {
	value, found := c[kind].Attributes[name]
	return value, found && value != nil
}

// HasAllKeys tells whether no context lacks its key.
func (c Context) HasAllKeys() bool {
	for _, single := range c {
		if single.Key == "" {
			return false
		}
	}
	return true
}

// kindOrDefault is the kind that is meant.
func kindOrDefault(kind string) string {
	if kind == "" {
		return DefaultKind
	}
	return kind
}

func hasKind(subject EvaluationContext, kind string) bool {
	_, found := subject.KeyOf(kind)
	return found
}

// attribute finds a value in the context of a kind; present is false for none or null.
func attribute(subject EvaluationContext, kind, name string) (value any, present bool) {
	kind = kindOrDefault(kind)
	key, found := subject.KeyOf(kind)
	switch {
	case !found:
		return nil, false
	// The kind itself can be asked for; it is the same whichever context is meant.
	case name == "kind":
		return kind, true
	case name == "" || name == "key":
		return key, key != ""
	}
	return subject.Attribute(kind, name)
}

// isEvaluable tells whether a context can be evaluated: a user with a key, and no keyless part.
func isEvaluable(subject EvaluationContext) bool {
	return hasKind(subject, DefaultKind) && subject.HasAllKeys()
}

// Evaluate decides a flag for a context. It never fails: what cannot be decided is ReasonError.
func (s *Set) Evaluate(key string, context EvaluationContext) Result {
	return s.Decide(s.Flags[key], context)
}

// Decide is Evaluate of a flag that was looked up already, nil if there is none.
func (s *Set) Decide(chosenFlag *Flag, context EvaluationContext) Result {
	if chosenFlag == nil {
		return Result{Index: -1, Reason: ReasonError, Error: FlagNotFound}
	}
	if !isEvaluable(context) {
		return Result{Index: -1, Reason: ReasonError, Error: KeyMissing}
	}
	return s.evaluate(chosenFlag, context, nil)
}

func (s *Set) evaluate(chosenFlag *Flag, context EvaluationContext, visiting map[string]bool) Result {
	if !chosenFlag.On {
		return chosenFlag.variationResult(chosenFlag.OffVariation, Result{Reason: ReasonOff})
	}
	// Cycles are refused on write; the walk is still bounded so that no definition can hang a proxy.
	if len(chosenFlag.Prerequisites) > 0 {
		if visiting[chosenFlag.Key] {
			return Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}
		}
		if visiting == nil {
			visiting = map[string]bool{}
		}
		visiting[chosenFlag.Key] = true
		defer delete(visiting, chosenFlag.Key)
	}

	for _, prerequisite := range chosenFlag.Prerequisites {
		requiredFlag, found := s.Flags[prerequisite.Key]
		met := found && requiredFlag.On
		if met {
			index := s.evaluate(requiredFlag, context, visiting).Index
			met = index >= 0 && index == prerequisite.Variation
		}
		if !met {
			return chosenFlag.variationResult(chosenFlag.OffVariation, Result{Reason: ReasonPrerequisite, Prerequisite: prerequisite.Key})
		}
	}
	for i := range chosenFlag.Targets {
		target := &chosenFlag.Targets[i]
		if key, found := context.KeyOf(kindOrDefault(target.ContextKind)); found && target.keySet[key] {
			return chosenFlag.variationResult(target.Variation, Result{Reason: ReasonTarget})
		}
	}
	for i := range chosenFlag.Rules {
		rule := &chosenFlag.Rules[i]
		if s.allClausesMatch(rule.Clauses, context, true) {
			return chosenFlag.serve(rule.Serve, context, Result{Reason: ReasonRule, RuleID: rule.ID})
		}
	}
	return chosenFlag.serve(chosenFlag.Fallthrough, context, Result{Reason: ReasonFallthrough})
}

// variationResult fills in the variation, or turns a bad index into an error.
func (f *Flag) variationResult(index int, result Result) Result {
	if index < 0 || index >= len(f.Variations) {
		return Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}
	}
	result.Index, result.Value = index, f.Variations[index]
	return result
}

func (f *Flag) serve(serve Serve, context EvaluationContext, result Result) Result {
	if serve.Variation != nil {
		return f.variationResult(*serve.Variation, result)
	}
	if serve.Rollout == nil {
		return Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}
	}
	index, found := serve.Rollout.pickVariation(f.Key, f.Salt, context)
	if !found {
		return Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}
	}
	return f.variationResult(index, result)
}

// pickVariation picks the first variation whose running weight exceeds the context's bucket.
func (r *Rollout) pickVariation(key, salt string, context EvaluationContext) (int, bool) {
	kind := kindOrDefault(r.ContextKind)
	last, found := 0, false
	for _, weighted := range r.Variations {
		if weighted.Weight > 0 {
			// A context of another kind cannot be bucketed: it gets the first that has any weight. And
			// what has all the weight needs no bucket.
			if weighted.Weight == TotalWeight || !hasKind(context, kind) {
				return weighted.Variation, true
			}
			last, found = weighted.Variation, true
		}
	}
	bucket := Bucket(key, salt, r.Seed, context, kind, r.BucketBy)
	sum := 0
	for _, weighted := range r.Variations {
		sum += weighted.Weight
		if bucket < float64(sum)/TotalWeight {
			return weighted.Variation, true
		}
	}
	// A bucket can be exactly 1, which no sum exceeds: it belongs to the last variation with weight.
	return last, found
}

// allClausesMatch tells whether every clause holds. A flag rule that names a custom attribute
// that is null is skipped even where a negated clause would hold.
func (s *Set) allClausesMatch(clauses []Clause, context EvaluationContext, allowSegments bool) bool {
	for i := range clauses {
		if !s.clauseMatches(&clauses[i], context, allowSegments) {
			return false
		}
	}
	return true
}

func (s *Set) clauseMatches(clause *Clause, context EvaluationContext, allowSegments bool) bool {
	if clause.Operator == segmentMatch {
		if !allowSegments {
			return false
		}
		inside := false
		for _, value := range clause.Values {
			name, _ := value.(string)
			if segment, found := s.Segments[name]; found && s.contains(segment, context) {
				inside = true
				break
			}
		}
		return inside != clause.Negate
	}
	value, present := attribute(context, clause.ContextKind, clause.Attribute)
	// Null and absent both mean there is nothing to compare, so the rule is skipped, negated or not.
	if !present {
		return false
	}
	compare, found := operators[clause.Operator]
	if !found {
		return false
	}
	matched := false
	if list, isList := value.([]any); isList {
		for _, element := range list {
			if matched = matchesAnyValue(compare, element, clause); matched {
				break
			}
		}
	} else {
		matched = matchesAnyValue(compare, value, clause)
	}
	return matched != clause.Negate
}

func matchesAnyValue(compare comparison, value any, clause *Clause) bool {
	for i := range clause.Values {
		if compare(value, clause, i) {
			return true
		}
	}
	return false
}

func (s *Set) contains(segment *Segment, context EvaluationContext) bool {
	user, _ := context.KeyOf(DefaultKind)
	if segment.included[user] {
		return true
	}
	if segment.excluded[user] {
		return false
	}
	for i := range segment.Rules {
		rule := &segment.Rules[i]
		if !s.allClausesMatch(rule.Clauses, context, false) {
			continue
		}
		if rule.Weight == nil {
			return true
		}
		if Bucket(segment.Key, segment.Salt, nil, context, kindOrDefault(rule.ContextKind), rule.BucketBy) < float64(*rule.Weight)/TotalWeight {
			return true
		}
	}
	return false
}
