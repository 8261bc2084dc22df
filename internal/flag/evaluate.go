package flag

// Evaluate evaluates the flag of a key for a context. What cannot be evaluated gives ReasonError.
func (s *Set) Evaluate(key string, context EvaluationContext) Result {
	return s.Decide(s.Flags[key], context)
}

// Decide is Evaluate for a flag that has been looked up already, nil if there is none.
func (s *Set) Decide(chosenFlag *Flag, context EvaluationContext) Result {
	if chosenFlag == nil {
		return Result{Index: -1, Reason: ReasonError, Error: FlagNotFound}
	}
	if !isEvaluable(context) {
		return Result{Index: -1, Reason: ReasonError, Error: KeyMissing}
	}
	return s.evaluate(chosenFlag, context, nil)
}

// evaluate goes through the steps; visiting has the keys of the flags whose prerequisites led here, nil for none.
func (s *Set) evaluate(chosenFlag *Flag, context EvaluationContext, visiting map[string]bool) Result {
	if !chosenFlag.On {
		return chosenFlag.variationResult(chosenFlag.OffVariation, Result{Reason: ReasonOff})
	}
	// Compile reports cycles, but a set with faults can be evaluated too, and must not recurse without end.
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
		if !s.isMet(prerequisite, context, visiting) {
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

// isMet tells whether a prerequisite's flag is on and gives the variation required.
func (s *Set) isMet(prerequisite Prerequisite, context EvaluationContext, visiting map[string]bool) bool {
	requiredFlag, found := s.Flags[prerequisite.Key]
	if !found || !requiredFlag.On {
		return false
	}
	index := s.evaluate(requiredFlag, context, visiting).Index
	return index >= 0 && index == prerequisite.Variation
}

// variationResult fills the variation into a result; a bad index gives MalformedFlag.
func (f *Flag) variationResult(index int, result Result) Result {
	if index < 0 || index >= len(f.Variations) {
		return Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}
	}
	result.Index, result.Value = index, f.Variations[index]
	return result
}

// serve gives the result of a rule or a fallthrough.
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

// pickVariation gives the first variation whose cumulative weight exceeds the context's bucket; found is false if no
// variation has any weight.
func (r *Rollout) pickVariation(key, salt string, context EvaluationContext) (index int, found bool) {
	kind := kindOrDefault(r.ContextKind)
	last := 0
	for _, weighted := range r.Variations {
		if weighted.Weight > 0 {
			// A context without the kind cannot be bucketed: it gets the first variation with any weight. A
			// variation with all the weight needs no bucket.
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
	// A bucket can be exactly 1, which no sum exceeds: it belongs to the last variation with any weight.
	return last, found
}

// allClausesMatch tells whether every clause matches. Rules of segments may not refer to segments: allowSegments is
// false for them.
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
		return allowSegments && s.inAnySegment(clause.Values, context) != clause.Negate
	}
	value, present := attribute(context, clause.ContextKind, clause.Attribute)
	// With nothing to compare, the clause does not match even if it is negated.
	if !present {
		return false
	}
	compare, found := operators[clause.Operator]
	if !found {
		return false
	}
	return matchesAnyElement(compare, value, clause) != clause.Negate
}

// inAnySegment tells whether a context is in one of the segments that a clause's values name.
func (s *Set) inAnySegment(names []any, context EvaluationContext) bool {
	for _, value := range names {
		name, _ := value.(string)
		if segment, found := s.Segments[name]; found && s.contains(segment, context) {
			return true
		}
	}
	return false
}

// matchesAnyElement compares the elements of a list, or a value that is not a list, with a clause's values.
func matchesAnyElement(compare comparison, value any, clause *Clause) bool {
	list, isList := value.([]any)
	if !isList {
		return matchesAnyValue(compare, value, clause)
	}
	for _, element := range list {
		if matchesAnyValue(compare, element, clause) {
			return true
		}
	}
	return false
}

func matchesAnyValue(compare comparison, value any, clause *Clause) bool {
	for i := range clause.Values {
		if compare(value, clause, i) {
			return true
		}
	}
	return false
}

// contains tells whether a context is in a segment.
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
		bucket := Bucket(segment.Key, segment.Salt, nil, context, kindOrDefault(rule.ContextKind), rule.BucketBy)
		if bucket < float64(*rule.Weight)/TotalWeight {
			return true
		}
	}
	return false
}
