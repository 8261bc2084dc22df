package flag

import (
	"regexp"

	"github.com/Masterminds/semver/v3"
)

// TotalWeight is what the weights of a rollout add up to.
const TotalWeight = 100000

// DefaultKind is the context kind where a definition names none.
const DefaultKind = "user"

// Reason tells which step of the evaluation decided. It is part of verdict counts.
type Reason string

// The reasons.
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
	KeyMissing    ErrorCode = "USER_NOT_SPECIFIED" // no context of DefaultKind, or a context without a key
	MalformedFlag ErrorCode = "MALFORMED_FLAG"     // the definition has a fault that Compile reports
)

// Prerequisite is another flag that must be on and give a certain variation.
type Prerequisite struct {
	Key       string `json:"key"`
	Variation int    `json:"variation"`
}

// Target lists the keys of contexts that get a variation, ahead of all rules.
type Target struct {
	ContextKind string   `json:"contextKind,omitempty"`
	Variation   int      `json:"variation"`
	Values      []string `json:"values"`

	keySet map[string]bool // Values; set by Prepare
}

// Clause compares an attribute with values. It matches if any comparison is true, or with Negate if none is.
type Clause struct {
	ContextKind string `json:"contextKind,omitempty"`
	Attribute   string `json:"attribute,omitempty"`
	Operator    string `json:"operator"`
	Values      []any  `json:"values"`
	Negate      bool   `json:"negate,omitempty"`

	// Values in the form that the operator needs, by index, nil where it needs none; set by Prepare.
	patterns []*regexp.Regexp
	semvers  []*semver.Version
	times    []*int64 // milliseconds since 1970
}

// WeightedVariation gives a variation its weight in a rollout.
type WeightedVariation struct {
	Variation int `json:"variation"` // index in Flag.Variations
	Weight    int `json:"weight"`    // of TotalWeight
}

// Rollout distributes contexts over variations by the bucket of an attribute.
type Rollout struct {
	ContextKind string              `json:"contextKind,omitempty"`
	BucketBy    string              `json:"bucketBy,omitempty"` // attribute; left out: the key
	Seed        *int64              `json:"seed,omitempty"`     // buckets by it instead of by the flag's key and salt
	Variations  []WeightedVariation `json:"variations"`
}

// Serve is either a variation or a rollout.
type Serve struct {
	Variation *int     `json:"variation,omitempty"`
	Rollout   *Rollout `json:"rollout,omitempty"`
}

// Rule serves the contexts that match all clauses.
type Rule struct {
	ID      string   `json:"id"`
	Clauses []Clause `json:"clauses"`
	Serve
}

// Flag is the definition of a flag. Variations are named by their index wherever else they appear.
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

	hasReferences bool // to other flags or to segments; set by Prepare
}

// SegmentRule includes contexts that match all clauses in a segment: all of them, or a part by weight.
type SegmentRule struct {
	Clauses     []Clause `json:"clauses"`
	Weight      *int     `json:"weight,omitempty"` // of TotalWeight; left out: all
	BucketBy    string   `json:"bucketBy,omitempty"`
	ContextKind string   `json:"contextKind,omitempty"`
}

// Segment is a named set of contexts: the included ones, and those that a rule includes and Excluded does not list.
type Segment struct {
	Key      string        `json:"key"`
	Salt     string        `json:"salt"`
	Included []string      `json:"included,omitempty"` // keys of DefaultKind
	Excluded []string      `json:"excluded,omitempty"` // keys of DefaultKind
	Rules    []SegmentRule `json:"rules,omitempty"`

	included, excluded map[string]bool // set by Prepare
}

// Result is the result of an evaluation: the variation, and why.
type Result struct {
	Index        int    // of the variation, -1 with ReasonError: the caller then uses its fallback
	Value        string // of the variation, empty with ReasonError
	Reason       Reason
	RuleID       string    // with ReasonRule
	Prerequisite string    // with ReasonPrerequisite: key of the flag that was not met
	Error        ErrorCode // with ReasonError
}

// Set has the definitions that an evaluation may need, by key. Each must be prepared first, by Compile or Prepare.
type Set struct {
	Flags    map[string]*Flag
	Segments map[string]*Segment
}
