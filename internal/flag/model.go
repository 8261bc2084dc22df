package flag

import (
	"regexp"

	"github.com/Masterminds/semver/v3"
)

// TotalWeight is the sum of the weights of a rollout.
const TotalWeight = 100000

// DefaultKind is the context kind that a definition means if it names none.
const DefaultKind = "user"

// Reason is the step of the evaluation that decided the result. Verdict counts include it.
type Reason string

// The reasons, in the order of the steps.
const (
	ReasonError        Reason = "ERROR"               // the flag cannot be evaluated; Result.Error has the cause
	ReasonOff          Reason = "OFF"                 // the flag is off
	ReasonPrerequisite Reason = "PREREQUISITE_FAILED" // a prerequisite is not met
	ReasonTarget       Reason = "TARGET_MATCH"        // a target lists the context
	ReasonRule         Reason = "RULE_MATCH"          // a rule matches the context
	ReasonFallthrough  Reason = "FALLTHROUGH"         // no target and no rule applies
)

// ErrorCode is the cause of a result with ReasonError.
type ErrorCode string

// The error codes.
const (
	FlagNotFound  ErrorCode = "FLAG_NOT_FOUND"     // the flag does not exist
	KeyMissing    ErrorCode = "USER_NOT_SPECIFIED" // the context does not have DefaultKind, or one of its kinds has no key
	MalformedFlag ErrorCode = "MALFORMED_FLAG"     // the definition has a fault that Compile reports
)

// Prerequisite is another flag that must be on and whose result must be a certain variation.
type Prerequisite struct {
	Key       string `json:"key"`       // key of the other flag
	Variation int    `json:"variation"` // index in Flag.Variations of the other flag
}

// Target lists keys of contexts that get a variation. Targets take precedence over rules.
type Target struct {
	ContextKind string   `json:"contextKind,omitempty"` // context kind of the keys; empty means DefaultKind
	Variation   int      `json:"variation"`             // index in Flag.Variations
	Values      []string `json:"values"`                // keys of the contexts

	keySet map[string]bool // set of Values; made by Prepare
}

// Clause compares an attribute with values. It matches if any of the comparisons is true, or with Negate if none is.
type Clause struct {
	ContextKind string `json:"contextKind,omitempty"` // context kind that has the attribute; empty means DefaultKind
	Attribute   string `json:"attribute,omitempty"`   // name of the attribute; empty only with segmentMatch
	Operator    string `json:"operator"`              // key in operators, or segmentMatch
	Values      []any  `json:"values"`                // values to compare with, or with segmentMatch the keys of segments
	Negate      bool   `json:"negate,omitempty"`      // inverts the result

	// The values in the form that the operator needs, by index in Values. Elements are nil where the operator needs
	// none, or where the value is invalid. Prepare makes the lists.
	patterns   []*regexp.Regexp
	semvers    []*semver.Version
	timestamps []*int64 // milliseconds since 1970
}

// WeightedVariation is a variation with its weight in a rollout.
type WeightedVariation struct {
	Variation int `json:"variation"` // index in Flag.Variations
	Weight    int `json:"weight"`    // 0 to TotalWeight, which is all contexts
}

// Rollout is a percentage rollout: it distributes contexts over variations by their bucket.
type Rollout struct {
	ContextKind string              `json:"contextKind,omitempty"` // context kind that has the attribute; empty means DefaultKind
	BucketBy    string              `json:"bucketBy,omitempty"`    // attribute that determines the bucket; empty means the key
	Seed        *int64              `json:"seed,omitempty"`        // hashed in place of the flag's key and salt; nil means none
	Variations  []WeightedVariation `json:"variations"`            // weights must add up to TotalWeight
}

// Serve is either a variation or a rollout. One of the fields must be nil.
type Serve struct {
	Variation *int     `json:"variation,omitempty"` // index in Flag.Variations
	Rollout   *Rollout `json:"rollout,omitempty"`
}

// Rule serves a variation or a rollout to the contexts that match all of its clauses.
type Rule struct {
	ID      string   `json:"id"` // unique in the flag; Result.RuleID reports it
	Clauses []Clause `json:"clauses"`
	Serve
}

// Flag is the definition of a flag. Its other fields refer to a variation by the index in Variations.
type Flag struct {
	Key           string         `json:"key"`                     // unique among all flags
	On            bool           `json:"on"`                      // turns the flag on; a flag that is off serves OffVariation to every context
	Salt          string         `json:"salt"`                    // hashed with Key, so that flags have independent buckets
	Variations    []string       `json:"variations"`              // names of versions or services
	OffVariation  int            `json:"offVariation"`            // served if the flag is off or a prerequisite is not met
	Prerequisites []Prerequisite `json:"prerequisites,omitempty"` // all must be met for targets, rules and Fallthrough to apply
	Targets       []Target       `json:"targets,omitempty"`       // the first that lists the context applies
	Rules         []Rule         `json:"rules,omitempty"`         // the first that matches the context applies
	Fallthrough   Serve          `json:"fallthrough"`             // served if no target and no rule applies

	hasReferences bool // has prerequisites, or clauses that refer to segments; set by Prepare
}

// SegmentRule adds the contexts that match all of its clauses to a segment, or only a part of them by weight.
type SegmentRule struct {
	Clauses     []Clause `json:"clauses"`
	Weight      *int     `json:"weight,omitempty"`      // part of the matching contexts that is added, out of TotalWeight; nil means all
	BucketBy    string   `json:"bucketBy,omitempty"`    // attribute that determines the bucket; empty means the key
	ContextKind string   `json:"contextKind,omitempty"` // context kind that has the attribute; empty means DefaultKind
}

// Segment is a named set of contexts. It has the contexts in Included, and those that match a rule and are not in
// Excluded.
type Segment struct {
	Key      string        `json:"key"`                // unique among all segments
	Salt     string        `json:"salt"`               // hashed with Key, so that segments have independent buckets
	Included []string      `json:"included,omitempty"` // keys of contexts of DefaultKind
	Excluded []string      `json:"excluded,omitempty"` // keys of contexts of DefaultKind
	Rules    []SegmentRule `json:"rules,omitempty"`

	included, excluded map[string]bool // sets of Included and Excluded; made by Prepare
}

// Result is the result of an evaluation.
type Result struct {
	Index        int       // index of the variation; -1 with ReasonError, for which the caller uses its fallback
	Value        string    // name of the variation; empty with ReasonError
	Reason       Reason    // step of the evaluation that decided
	RuleID       string    // id of the rule that matched; only with ReasonRule
	Prerequisite string    // key of the flag of the prerequisite that was not met; only with ReasonPrerequisite
	Error        ErrorCode // cause of the error; only with ReasonError
}

// Set has all flags and segments that an evaluation may refer to, by key. Each must have been prepared, by Compile or
// by its own Prepare.
type Set struct {
	Flags    map[string]*Flag
	Segments map[string]*Segment
}
