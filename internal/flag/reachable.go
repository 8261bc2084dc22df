package flag

// ReachableVariations returns the names of the variations that an evaluation of the flag can result in, in the order
// of Variations. Variations without weight in a rollout are not reachable.
func (f *Flag) ReachableVariations() []string {
	reached := map[int]bool{}
	if !f.On || len(f.Prerequisites) > 0 {
		reached[f.OffVariation] = true
	}
	if f.On {
		for _, target := range f.Targets {
			reached[target.Variation] = true
		}
		for _, rule := range f.Rules {
			rule.addReachable(reached)
		}
		f.Fallthrough.addReachable(reached)
	}
	var names []string
	for i, name := range f.Variations {
		if reached[i] {
			names = append(names, name)
		}
	}
	return names
}

// addReachable adds the indexes of the variations that can be served to reached.
func (s Serve) addReachable(reached map[int]bool) {
	if s.Variation != nil {
		reached[*s.Variation] = true
	}
	if s.Rollout == nil {
		return
	}
	for _, weighted := range s.Rollout.Variations {
		if weighted.Weight > 0 {
			reached[weighted.Variation] = true
		}
	}
}
