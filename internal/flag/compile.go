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
	return append(faults, s.Check()...)
}

// Check reports what is wrong between definitions that are each prepared. Most refer to no
// other and cost nothing here.
func (s *Set) Check() []Fault {
	var faults []Fault
	var referring []string
	for key, one := range s.Flags {
		if one.refers {
			referring = append(referring, key)
		}
	}
	slices.Sort(referring)
	for _, key := range referring {
		faults = append(faults, s.Flags[key].check(s)...)
	}
	return append(faults, s.cycles(referring)...)
}

func listed(values []string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, value := range values {
		set[value] = true
	}
	return set
}

// Prepare readies a flag for evaluation and reports what is wrong with it by itself.
func (f *Flag) Prepare() []Fault {
	path := "flag." + f.Key
	f.refers = len(f.Prerequisites) > 0
	var faults []Fault
	add := func(at, format string, values ...any) {
		faults = append(faults, Fault{path + at, fmt.Sprintf(format, values...)})
	}
	index := func(at string, variation int) {
		if variation < 0 || variation >= len(f.Variations) {
			add(at, "variation %d is not one of the %d", variation, len(f.Variations))
		}
	}
	if len(f.Variations) == 0 {
		add(".variations", "a flag needs at least one variation")
	}
	index(".offVariation", f.OffVariation)
	for i := range f.Targets {
		index(fmt.Sprintf(".targets[%d]", i), f.Targets[i].Variation)
		f.Targets[i].listed = listed(f.Targets[i].Values)
	}
	served := func(at string, serve Serve) {
		if (serve.Variation == nil) == (serve.Rollout == nil) {
			add(at, "needs either a variation or a rollout")
			return
		}
		if serve.Variation != nil {
			index(at, *serve.Variation)
			return
		}
		sum := 0
		for _, weighted := range serve.Rollout.Variations {
			index(at+".rollout", weighted.Variation)
			if weighted.Weight < 0 || weighted.Weight > Whole {
				add(at+".rollout", "weight %d is outside 0 to %d", weighted.Weight, Whole)
				return
			}
			sum += weighted.Weight
		}
		if sum != Whole {
			add(at+".rollout", "weights add up to %d, not %d", sum, Whole)
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
		f.refers = f.refers || slices.ContainsFunc(f.Rules[i].Clauses, func(one Clause) bool { return one.Operator == segmentMatch })
		served(at, f.Rules[i].Serve)
	}
	served(".fallthrough", f.Fallthrough)
	return faults
}

// check reports what a flag names and is not there.
func (f *Flag) check(set *Set) []Fault {
	path := "flag." + f.Key
	var faults []Fault
	for i, prerequisite := range f.Prerequisites {
		at := fmt.Sprintf("%s.prerequisites[%d]", path, i)
		needed, found := set.Flags[prerequisite.Key]
		if !found {
			faults = append(faults, Fault{at, fmt.Sprintf("flag %q does not exist", prerequisite.Key)})
		} else if prerequisite.Variation < 0 || prerequisite.Variation >= len(needed.Variations) {
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
	s.included, s.excluded = listed(s.Included), listed(s.Excluded)
	var faults []Fault
	for i := range s.Rules {
		at := fmt.Sprintf("segment.%s.rules[%d]", s.Key, i)
		faults = append(faults, compileClauses(s.Rules[i].Clauses, at, false)...)
		if weight := s.Rules[i].Weight; weight != nil && (*weight < 0 || *weight > Whole) {
			faults = append(faults, Fault{at, fmt.Sprintf("weight %d is outside 0 to %d", *weight, Whole)})
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
	"lessThan":           needNumber,
	"lessThanOrEqual":    needNumber,
	"greaterThan":        needNumber,
	"greaterThanOrEqual": needNumber,
	"startsWith":         needText,
	"endsWith":           needText,
	"contains":           needText,
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
	instant, isMoment := moment(clause.Values[i])
	if !isMoment {
		return fmt.Sprintf("%v is neither milliseconds since 1970 nor RFC 3339 text", clause.Values[i])
	}
	clause.times[i] = &instant
	return ""
}

func needNumber(clause *Clause, i int) string {
	if _, isNumber := numeric(clause.Values[i]); !isNumber {
		return fmt.Sprintf("%v is not a number", clause.Values[i])
	}
	return ""
}

func needText(clause *Clause, i int) string {
	if _, isText := clause.Values[i].(string); !isText {
		return fmt.Sprintf("%v is not text", clause.Values[i])
	}
	return ""
}

func compileClauses(clauses []Clause, path string, segments bool) []Fault {
	var faults []Fault
	for i := range clauses {
		clause, at := &clauses[i], fmt.Sprintf("%s.clauses[%d]", path, i)
		clause.patterns = make([]*regexp.Regexp, len(clause.Values))
		clause.semvers = make([]*semver.Version, len(clause.Values))
		clause.times = make([]*int64, len(clause.Values))
		prepare, known := compileValue[clause.Operator]
		switch {
		case !known:
			faults = append(faults, Fault{at, fmt.Sprintf("operator %q does not exist", clause.Operator)})
			continue
		case clause.Operator == segmentMatch && !segments:
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

// cycles finds flags that are prerequisites of themselves, among those that have any.
func (s *Set) cycles(referring []string) []Fault {
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
