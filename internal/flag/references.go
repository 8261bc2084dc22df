package flag

import (
	"fmt"
	"slices"
)

// CheckReferences returns the faults between definitions: references to flags, variations and segments that do not
// exist, and cycles of prerequisites. Every definition must have been prepared. Flags without references are skipped,
// so they cost next to nothing.
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

// checkReferences returns a fault for each reference of the flag to a flag, variation or segment that does not exist.
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

// checkSegments returns a fault for each segment that a clause with segmentMatch names and that does not exist.
func (c *Clause) checkSegments(set *Set, path string) (faults []Fault) {
	for i, value := range c.Values {
		if name, _ := value.(string); set.Segments[name] == nil {
			faults = append(faults, Fault{fmt.Sprintf("%s.values[%d]", path, i), fmt.Sprintf("segment %v does not exist", value)})
		}
	}
	return faults
}

// findCycles returns a fault for each cycle of prerequisites that a depth-first search finds. referring has the keys of
// the flags from which the search starts.
func (s *Set) findCycles(referring []string) []Fault {
	var faults []Fault
	// The states of a flag in the search.
	const unvisited, onPath, done = 0, 1, 2
	state := map[string]int{}
	var visit func(key string)
	visit = func(key string) {
		state[key] = onPath
		for _, prerequisite := range s.Flags[key].Prerequisites {
			if _, found := s.Flags[prerequisite.Key]; !found {
				continue
			}
			switch state[prerequisite.Key] {
			case onPath:
				faults = append(faults, Fault{"flag." + key + ".prerequisites", fmt.Sprintf("%q closes a cycle", prerequisite.Key)})
			case unvisited:
				visit(prerequisite.Key)
			}
		}
		state[key] = done
	}
	for _, key := range referring {
		if state[key] == unvisited {
			visit(key)
		}
	}
	return faults
}
