package flag

import (
	"fmt"
	"maps"
	"regexp"
	"slices"

	"github.com/Masterminds/semver/v3"
)

// Fault is one thing wrong with a definition, at a path inside it.
type Fault struct {
	Path   string
	Reason string
}

// Compile prepares every definition for evaluation and reports all that is wrong.
// A set with faults can still be evaluated; its bad parts then match nothing.
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

// CheckReferences reports what is wrong between definitions that are each prepared. Most refer to no
// other and cost nothing here.
func (s *Set) CheckReferences() []Fault {
	var faults []Fault
	var referring []string
	for key, definition := range s.Flags {
		if definition.hasReferences {
			referring = append(referring, key)
		}
	}
	slices.Sort(referring)
	for _, key := range referring {
		faults = append(faults, s.Flags[key].checkReferences(s)...)
	}
	return append(faults, s.findCycles(referring)...)
}

func stringSet(values []string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, value := range values {
		set[value] = true
	}
	return set
}

// Prepare readies a flag for evaluation and reports what is wrong with it by itself.
func (f *Flag) Prepare() []Fault {
	path := "flag." + f.Key
	f.hasReferences = len(f.Prerequisites) > 0
	var faults []Fault
	add := func(at, format string, values ...any) {
		faults = append(faults, Fault{path + at, fmt.Sprintf(format, values...)})
	}
	checkIndex := func(at string, variation int) {
		if variation < 0 || variation >= len(f.Variations) {
			add(at, "variation %d is not one of the %d", variation, len(f.Variations))
		}
	}
	if len(f.Variations) == 0 {
		add(".variations", "a flag needs at least one variation")
	}
	checkIndex(".offVariation", f.OffVariation)
	for i := range f.Targets {
		checkIndex(fmt.Sprintf(".targets[%d]", i), f.Targets[i].Variation)
		f.Targets[i].keySet = stringSet(f.Targets[i].Values)
	}
	checkServe := func(at string, serve Serve) {
		if (serve.Variation == nil) == (serve.Rollout == nil) {
			add(at, "needs either a variation or a rollout")
			return
		}
		if serve.Variation != nil {
			checkIndex(at, *serve.Variation)
			return
		}
		sum := 0
		for _, weighted := range serve.Rollout.Variations {
			checkIndex(at+".rollout", weighted.Variation)
			if weighted.Weight < 0 || weighted.Weight > TotalWeight {
				add(at+".rollout", "weight %d is outside 0 to %d", weighted.Weight, TotalWeight)
				return
			}
			sum += weighted.Weight
		}
		if sum != TotalWeight {
			add(at+".rollout", "weights add up to %d, not %d", sum, TotalWeight)
		}
	}
	seen := map[string]bool{}
	for i := range f.Rules {
		at := fmt.Sprintf(".rules[%d]", i)
		if f.Rules[i].ID == "" || seen[f.Rules[i].ID] {
			add(at, "needs an id of its own")
		}
		seen[f.Rules[i].ID] = true
		faults = append(faults, compileClauses(f.Rules[i].Clauses, path+at, true)...)
		f.hasReferences = f.hasReferences || slices.ContainsFunc(f.Rules[i].Clauses, func(clause Clause) bool { return clause.Operator == segmentMatch })
		checkServe(at, f.Rules[i].Serve)
	}
	checkServe(".fallthrough", f.Fallthrough)
	return faults
}

// checkReferences reports what a flag names and is not there.
func (f *Flag) checkReferences(set *Set) []Fault {
	path := "flag." + f.Key
	var faults []Fault
	for i, prerequisite := range f.Prerequisites {
		at := fmt.Sprintf("%s.prerequisites[%d]", path, i)
		required, found := set.Flags[prerequisite.Key]
		if !found {
			faults = append(faults, Fault{at, fmt.Sprintf("flag %q does not exist", prerequisite.Key)})
		} else if prerequisite.Variation < 0 || prerequisite.Variation >= len(required.Variations) {
			faults = append(faults, Fault{at, fmt.Sprintf("flag %q has no variation %d", prerequisite.Key, prerequisite.Variation)})
		}
	}
	for i := range f.Rules {
		for j := range f.Rules[i].Clauses {
			clause := &f.Rules[i].Clauses[j]
			for k := range clause.Values {
				if name, _ := clause.Values[k].(string); clause.Operator == segmentMatch && set.Segments[name] == nil {
					faults = append(faults, Fault{fmt.Sprintf("%s.rules[%d].clauses[%d].values[%d]", path, i, j, k), fmt.Sprintf("segment %v does not exist", clause.Values[k])})
				}
			}
		}
	}
	return faults
}

// Prepare readies a segment for evaluation and reports what is wrong with it.
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

// compileValue prepares one value of a clause for its operator, or says what is wrong with it.
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
	segmentMatch:         func(*Clause, int) string { return "" }, // what it names is checked against the set
}

// segmentMatch is the operator that asks for segments.
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

// findCycles finds flags that are prerequisites of themselves, among those that have any.
func (s *Set) findCycles(referring []string) []Fault {
	var faults []Fault
	const walking, done = 1, 2
	state := map[string]int{}
	var walk func(key string)
	walk = func(key string) {
		state[key] = walking
		for _, prerequisite := range s.Flags[key].Prerequisites {
			if _, found := s.Flags[prerequisite.Key]; !found {
				continue
			}
			switch state[prerequisite.Key] {
			case walking:
				faults = append(faults, Fault{"flag." + key + ".prerequisites", fmt.Sprintf("%q closes a cycle", prerequisite.Key)})
			case 0:
				walk(prerequisite.Key)
			}
		}
		state[key] = done
	}
	for _, key := range referring {
		if state[key] == 0 {
			walk(key)
		}
	}
	return faults
}
