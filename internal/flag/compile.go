package flag

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"github.com/Masterminds/semver/v3"
)

// Fault is a validation error in the definition of a flag or segment.
type Fault struct {
	Path   string // path of the invalid part, such as flag.KEY.rules[0]
	Reason string // reason for which the part is invalid, shown to operators
}

// Compile prepares every definition of the set for evaluation, and returns every fault. A set with faults can still
// be evaluated; its faulty parts then match nothing, or make the result MalformedFlag.
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

// stringSet returns the set of some strings, for lookups.
func stringSet(values []string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, value := range values {
		set[value] = true
	}
	return set
}

// faultList collects the faults of a definition.
type faultList struct {
	path   string // path of the definition, with which the path of each fault begins
	faults []Fault
}

// add appends a fault; at is its path within the definition, and format and values make its reason.
func (l *faultList) add(at, format string, values ...any) {
	l.faults = append(l.faults, Fault{l.path + at, fmt.Sprintf(format, values...)})
}

// Prepare prepares the flag for evaluation, and returns the faults that it has by itself, without regard to the flags
// and segments that it names. Set.CheckReferences returns the other faults.
func (f *Flag) Prepare() []Fault {
	f.hasReferences = len(f.Prerequisites) > 0
	list := &faultList{path: "flag." + f.Key}
	if len(f.Variations) == 0 {
		list.add(".variations", "must have at least one variation")
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

// prepareRules prepares the rules of the flag, and reports their faults.
func (f *Flag) prepareRules(list *faultList) {
	seen := map[string]bool{}
	for i := range f.Rules {
		rule, at := &f.Rules[i], fmt.Sprintf(".rules[%d]", i)
		if rule.ID == "" || seen[rule.ID] {
			list.add(at, "id %q must not be empty or the id of an earlier rule", rule.ID)
		}
		seen[rule.ID] = true
		list.faults = append(list.faults, compileClauses(rule.Clauses, list.path+at, true)...)
		f.hasReferences = f.hasReferences || slices.ContainsFunc(rule.Clauses, refersToSegments)
		f.checkServe(list, at, rule.Serve)
	}
}

// refersToSegments reports whether the values of a clause are names of segments.
func refersToSegments(clause Clause) bool { return clause.Operator == segmentMatch }

// checkVariation reports an index that is out of the range of the flag's variations.
func (f *Flag) checkVariation(list *faultList, at string, variation int) {
	if variation < 0 || variation >= len(f.Variations) {
		list.add(at, "variation %d does not exist, the flag has %d variations", variation, len(f.Variations))
	}
}

// checkServe reports a serve that has both a variation and a rollout, or neither of them. It also reports a variation
// that does not exist, a weight that is out of range, and weights that do not add up to TotalWeight.
func (f *Flag) checkServe(list *faultList, at string, serve Serve) {
	if (serve.Variation == nil) == (serve.Rollout == nil) {
		list.add(at, "must have either a variation or a rollout")
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
			list.add(at, "weight must be from 0 to %d, got %d", TotalWeight, weighted.Weight)
			return
		}
		sum += weighted.Weight
	}
	if sum != TotalWeight {
		list.add(at, "weights add up to %d, must add up to %d", sum, TotalWeight)
	}
}

// Prepare prepares the segment for evaluation, and returns its faults.
func (s *Segment) Prepare() []Fault {
	s.included, s.excluded = stringSet(s.Included), stringSet(s.Excluded)
	var faults []Fault
	for i := range s.Rules {
		at := fmt.Sprintf("segment.%s.rules[%d]", s.Key, i)
		faults = append(faults, compileClauses(s.Rules[i].Clauses, at, false)...)
		if weight := s.Rules[i].Weight; weight != nil && (*weight < 0 || *weight > TotalWeight) {
			faults = append(faults, Fault{at, fmt.Sprintf("weight must be from 0 to %d, got %d", TotalWeight, *weight)})
		}
	}
	return faults
}

// valueCompilers has, by operator, the function that prepares the i-th value of a clause. The function returns the
// reason for which the value is rejected, empty for a valid value.
var valueCompilers = map[string]func(clause *Clause, i int) string{
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

// segmentMatch is the operator that matches the contexts in any of the segments that its values name.
const segmentMatch = "segmentMatch"

// compileSemver parses a value that must be a semantic version.
func compileSemver(clause *Clause, i int) string {
	text, isText := clause.Values[i].(string)
	version, err := semver.NewVersion(text)
	if !isText || err != nil {
		return fmt.Sprintf("%v is not a semantic version", clause.Values[i])
	}
	clause.semvers[i] = version
	return ""
}

// compileTime parses a value that must be a timestamp.
func compileTime(clause *Clause, i int) string {
	timestamp, isTimestamp := parseTimestamp(clause.Values[i])
	if !isTimestamp {
		return fmt.Sprintf("%v is neither whole milliseconds since 1970 nor RFC 3339 text", clause.Values[i])
	}
	clause.timestamps[i] = &timestamp
	return ""
}

// requireNumber rejects a value that is not a number.
func requireNumber(clause *Clause, i int) string {
	if _, isNumber := numeric(clause.Values[i]); !isNumber {
		return fmt.Sprintf("%v is not a number", clause.Values[i])
	}
	return ""
}

// requireText rejects a value that is not text.
func requireText(clause *Clause, i int) string {
	if _, isText := clause.Values[i].(string); !isText {
		return fmt.Sprintf("%v is not text", clause.Values[i])
	}
	return ""
}

// compileClauses prepares the clauses of the rule at a path, and returns their faults. allowSegments is false for the
// rules of segments, which must not refer to segments.
func compileClauses(clauses []Clause, path string, allowSegments bool) []Fault {
	var faults []Fault
	for i := range clauses {
		clause, at := &clauses[i], fmt.Sprintf("%s.clauses[%d]", path, i)
		clause.patterns = make([]*regexp.Regexp, len(clause.Values))
		clause.semvers = make([]*semver.Version, len(clause.Values))
		clause.timestamps = make([]*int64, len(clause.Values))
		compileValue, found := valueCompilers[clause.Operator]
		switch {
		case !found:
			faults = append(faults, Fault{at, fmt.Sprintf("operator %q does not exist", clause.Operator)})
			continue
		case clause.Operator == segmentMatch && !allowSegments:
			faults = append(faults, Fault{at, "rules of segments must not use segmentMatch"})
			continue
		case clause.Operator != segmentMatch && clause.Attribute == "":
			faults = append(faults, Fault{at, "attribute is missing"})
		case len(clause.Values) == 0:
			faults = append(faults, Fault{at, "values are missing"})
		}
		for j := range clause.Values {
			if reason := compileValue(clause, j); reason != "" {
				faults = append(faults, Fault{fmt.Sprintf("%s.values[%d]", at, j), reason})
			}
		}
	}
	return faults
}
