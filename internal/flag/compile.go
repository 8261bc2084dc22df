package flag

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"github.com/Masterminds/semver/v3"
)

// Fault is one thing that is wrong with a definition.
type Fault struct {
	Path   string // such as flag.KEY.rules[0]
	Reason string
}

// Compile prepares every definition for evaluation and reports every fault. A set with faults can still be
// evaluated; its faulty parts then match nothing, or give MalformedFlag.
func (s *Set) Compile() []Fault {
	var faults []Fault
	for _, key := range slices.Sorted(maps.Keys(s.Segments)) {
		faults = append(faults, s.Segments[key].Prepare()...)
	}
	for _, key := range slices.Sorted(maps.Keys(s.Flags)) {
		faults = append(faults, s.Flags[key].Prepare()...)
	}
	return append(faults, s.CheckReferences()...)
}

func stringSet(values []string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, value := range values {
		set[value] = true
	}
	return set
}

// faultList gathers the faults of a definition, whose path begins each of theirs.
type faultList struct {
	path   string
	faults []Fault
}

// add records a fault at a path within the definition.
func (l *faultList) add(at, format string, values ...any) {
	l.faults = append(l.faults, Fault{l.path + at, fmt.Sprintf(format, values...)})
}

// Prepare prepares a flag for evaluation, and reports what is wrong with it by itself.
func (f *Flag) Prepare() []Fault {
	f.hasReferences = len(f.Prerequisites) > 0
	list := &faultList{path: "flag." + f.Key}
	if len(f.Variations) == 0 {
		list.add(".variations", "a flag needs at least one variation")
	}
	f.checkVariation(list, ".offVariation", f.OffVariation)
	for i := range f.Targets {
		f.checkVariation(list, fmt.Sprintf(".targets[%d]", i), f.Targets[i].Variation)
		f.Targets[i].keySet = stringSet(f.Targets[i].Values)
	}
	f.prepareRules(list)
	f.checkServe(list, ".fallthrough", f.Fallthrough)
	return list.faults
}

func (f *Flag) prepareRules(list *faultList) {
	seen := map[string]bool{}
	for i := range f.Rules {
		rule, at := &f.Rules[i], fmt.Sprintf(".rules[%d]", i)
		if rule.ID == "" || seen[rule.ID] {
			list.add(at, "needs an id of its own")
		}
		seen[rule.ID] = true
		list.faults = append(list.faults, compileClauses(rule.Clauses, list.path+at, true)...)
		f.hasReferences = f.hasReferences || slices.ContainsFunc(rule.Clauses, refersToSegments)
		f.checkServe(list, at, rule.Serve)
	}
}

func refersToSegments(clause Clause) bool { return clause.Operator == segmentMatch }

// checkVariation reports an index that is none of the flag's variations.
func (f *Flag) checkVariation(list *faultList, at string, variation int) {
	if variation < 0 || variation >= len(f.Variations) {
		list.add(at, "variation %d is not one of the %d", variation, len(f.Variations))
	}
}

// checkServe reports a serve that is not either a variation or a rollout of TotalWeight.
func (f *Flag) checkServe(list *faultList, at string, serve Serve) {
	if (serve.Variation == nil) == (serve.Rollout == nil) {
		list.add(at, "needs either a variation or a rollout")
		return
	}
	if serve.Variation != nil {
		f.checkVariation(list, at, *serve.Variation)
		return
	}
	at += ".rollout"
	sum := 0
	for _, weighted := range serve.Rollout.Variations {
		f.checkVariation(list, at, weighted.Variation)
		if weighted.Weight < 0 || weighted.Weight > TotalWeight {
			list.add(at, "weight %d is outside 0 to %d", weighted.Weight, TotalWeight)
			return
		}
		sum += weighted.Weight
	}
	if sum != TotalWeight {
		list.add(at, "weights add up to %d, not %d", sum, TotalWeight)
	}
}

// Prepare prepares a segment for evaluation, and reports what is wrong with it.
func (s *Segment) Prepare() []Fault {
	s.included, s.excluded = stringSet(s.Included), stringSet(s.Excluded)
	var faults []Fault
	for i := range s.Rules {
		at := fmt.Sprintf("segment.%s.rules[%d]", s.Key, i)
		faults = append(faults, compileClauses(s.Rules[i].Clauses, at, false)...)
		if weight := s.Rules[i].Weight; weight != nil && (*weight < 0 || *weight > TotalWeight) {
			faults = append(faults, Fault{at, fmt.Sprintf("weight %d is outside 0 to %d", *weight, TotalWeight)})
		}
	}
	return faults
}

// compileValue has, for each operator, the function that prepares the i-th value of a clause, or gives the reason for
// which it is refused.
var compileValue = map[string]func(clause *Clause, i int) string{
	"matches": func(clause *Clause, i int) string {
		text, isText := clause.Values[i].(string)
		pattern, err := regexp.Compile(text)
		if !isText || err != nil {
			return fmt.Sprintf("%v is not a regular expression", clause.Values[i])
		}
		clause.patterns[i] = pattern
		return ""
	},
	"semVerEqual":        compileSemver,
	"semVerLessThan":     compileSemver,
	"semVerGreaterThan":  compileSemver,
	"before":             compileTime,
	"after":              compileTime,
	"lessThan":           requireNumber,
	"lessThanOrEqual":    requireNumber,
	"greaterThan":        requireNumber,
	"greaterThanOrEqual": requireNumber,
	"startsWith":         requireText,
	"endsWith":           requireText,
	"contains":           requireText,
	"in":                 func(*Clause, int) string { return "" },
	segmentMatch:         func(*Clause, int) string { return "" }, // CheckReferences checks the names
}

// segmentMatch is the operator that matches contexts in one of the segments that its values name.
const segmentMatch = "segmentMatch"

func compileSemver(clause *Clause, i int) string {
	text, isText := clause.Values[i].(string)
	version, err := semver.NewVersion(text)
	if !isText || err != nil {
		return fmt.Sprintf("%v is not a semantic version", clause.Values[i])
	}
	clause.semvers[i] = version
	return ""
}

func compileTime(clause *Clause, i int) string {
	instant, isTimestamp := parseTimestamp(clause.Values[i])
	if !isTimestamp {
		return fmt.Sprintf("%v is neither milliseconds since 1970 nor RFC 3339 text", clause.Values[i])
	}
	clause.times[i] = &instant
	return ""
}

func requireNumber(clause *Clause, i int) string {
	if _, isNumber := numeric(clause.Values[i]); !isNumber {
		return fmt.Sprintf("%v is not a number", clause.Values[i])
	}
	return ""
}

func requireText(clause *Clause, i int) string {
	if _, isText := clause.Values[i].(string); !isText {
		return fmt.Sprintf("%v is not text", clause.Values[i])
	}
	return ""
}

// compileClauses prepares clauses at a path, and reports what is wrong with them.
func compileClauses(clauses []Clause, path string, allowSegments bool) []Fault {
	var faults []Fault
	for i := range clauses {
		clause, at := &clauses[i], fmt.Sprintf("%s.clauses[%d]", path, i)
		clause.patterns = make([]*regexp.Regexp, len(clause.Values))
		clause.semvers = make([]*semver.Version, len(clause.Values))
		clause.times = make([]*int64, len(clause.Values))
		prepare, found := compileValue[clause.Operator]
		switch {
		case !found:
			faults = append(faults, Fault{at, fmt.Sprintf("operator %q does not exist", clause.Operator)})
			continue
		case clause.Operator == segmentMatch && !allowSegments:
			faults = append(faults, Fault{at, "a segment's own rules may not use segmentMatch"})
			continue
		case clause.Operator != segmentMatch && clause.Attribute == "":
			faults = append(faults, Fault{at, "names no attribute"})
		case len(clause.Values) == 0:
			faults = append(faults, Fault{at, "has no values"})
		}
		for j := range clause.Values {
			if reason := prepare(clause, j); reason != "" {
				faults = append(faults, Fault{fmt.Sprintf("%s.values[%d]", at, j), reason})
			}
		}
	}
	return faults
}
