package flag

import (
	"fmt"
	"slices"
)

// CheckReferences reports the faults between definitions that are each prepared already: names that do not exist, and
// cycles of prerequisites. Definitions without references cost next to nothing here.
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

// checkReferences reports the flags, variations and segments that a flag names and that do not exist.
func (f *Flag) checkReferences(set *Set) []Fault {
	path := "flag." + f.Key
	var faults []Fault
	for i, prerequisite := range f.Prerequisites {
		at := fmt.Sprintf("%s.prerequisites[%d]", path, i)
		required, found := set.Flags[prerequisite.Key]
		switch {
		case !found:
			faults = append(faults, Fault{at, fmt.Sprintf("flag %q does not exist", prerequisite.Key)})
		case prerequisite.Variation < 0 || prerequisite.Variation >= len(required.Variations):
			faults = append(faults, Fault{at, fmt.Sprintf("flag %q has no variation %d", prerequisite.Key, prerequisite.Variation)})
		}
	}
	for i := range f.Rules {
		for j := range f.Rules[i].Clauses {
			if clause := &f.Rules[i].Clauses[j]; refersToSegments(*clause) {
				at := fmt.Sprintf("%s.rules[%d].clauses[%d]", path, i, j)
				faults = append(faults, clause.checkSegments(set, at)...)
			}
		}
	}
	return faults
}

// checkSegments reports the segments that a clause with segmentMatch names and that do not exist.
func (c *Clause) checkSegments(set *Set, path string) (faults []Fault) {
	for i, value := range c.Values {
		if name, _ := value.(string); set.Segments[name] == nil {
			faults = append(faults, Fault{fmt.Sprintf("%s.values[%d]", path, i), fmt.Sprintf("segment %v does not exist", value)})
		}
	}
	return faults
}

// findCycles reports the flags that are prerequisites of themselves, directly or not, among those of some keys.
func (s *Set) findCycles(referring []string) []Fault {
	var faults []Fault
	// The state of a flag in the depth-first walk, 0 before it.
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
