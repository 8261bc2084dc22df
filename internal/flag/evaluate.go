package flag

// Evaluate returns the result of the flag with a key for a context. The result has ReasonError if the flag does not
// exist, or if it or the context cannot be evaluated.
func (s *Set) Evaluate(key string, context EvaluationContext) Result {
	return s.EvaluateFlag(s.Flags[key], context)
}

// EvaluateFlag returns the same as Evaluate for a flag that has been looked up already; nil means that it does not
// exist.
func (s *Set) EvaluateFlag(evaluated *Flag, context EvaluationContext) Result {
	if evaluated == nil {
		return Result{Index: -1, Reason: ReasonError, Error: FlagNotFound}
	}
	if !isEvaluable(context) {
		return Result{Index: -1, Reason: ReasonError, Error: KeyMissing}
	}
	return s.evaluate(evaluated, context, nil)
}

// evaluate goes through the steps of the evaluation. visiting has the keys of the flags with prerequisites on the
// path of evaluations that led to this one; nil means none.
func (s *Set) evaluate(evaluated *Flag, context EvaluationContext, visiting map[string]bool) Result {
	if !evaluated.On {
		return evaluated.variationResult(evaluated.OffVariation, Result{Reason: ReasonOff})
	}
	// Compile reports cycles of prerequisites, but a set with faults may be evaluated all the same. Such an evaluation
	// must not recurse without end.
	if len(evaluated.Prerequisites) > 0 {
		if visiting[evaluated.Key] {
			return Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}
		}
		if visiting == nil {
			visiting = map[string]bool{}
		}
		visiting[evaluated.Key] = true
		defer delete(visiting, evaluated.Key)
	}

	for _, prerequisite := range evaluated.Prerequisites {
		if !s.isMet(prerequisite, context, visiting) {
			return evaluated.variationResult(evaluated.OffVariation, Result{Reason: ReasonPrerequisite, Prerequisite: prerequisite.Key})
		}
	}
	for i := range evaluated.Targets {
		target := &evaluated.Targets[i]
		if key, found := context.KeyOf(kindOrDefault(target.ContextKind)); found && target.keySet[key] {
			return evaluated.variationResult(target.Variation, Result{Reason: ReasonTarget})
		}
	}
	for i := range evaluated.Rules {
		rule := &evaluated.Rules[i]
		if s.allClausesMatch(rule.Clauses, context, true) {
			return evaluated.serve(rule.Serve, context, Result{Reason: ReasonRule, RuleID: rule.ID})
		}
	}
	return evaluated.serve(evaluated.Fallthrough, context, Result{Reason: ReasonFallthrough})
}

// isMet reports whether the flag of a prerequisite is on and its result is the variation that the prerequisite
// requires.
func (s *Set) isMet(prerequisite Prerequisite, context EvaluationContext, visiting map[string]bool) bool {
	requiredFlag, found := s.Flags[prerequisite.Key]
	if !found || !requiredFlag.On {
		return false
	}
	index := s.evaluate(requiredFlag, context, visiting).Index
	return index >= 0 && index == prerequisite.Variation
}

// variationResult returns result with the variation of an index, or MalformedFlag if the index is out of range.
func (f *Flag) variationResult(index int, result Result) Result {
	if index < 0 || index >= len(f.Variations) {
		return Result{Index: -1, Reason: ReasonError, Error: MalformedFlag}
	}
	result.Index, result.Value = index, f.Variations[index]
	return result
}

// serve returns result with the variation that a rule or the fallthrough serves to a context.
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

// pickVariation returns the index of the first variation whose cumulative weight, divided by TotalWeight, exceeds the
// bucket of the context. found is false if no variation has any weight.
func (r *Rollout) pickVariation(key, salt string, context EvaluationContext) (index int, found bool) {
	kind := kindOrDefault(r.ContextKind)
	last := 0
	for _, weighted := range r.Variations {
		if weighted.Weight > 0 {
			// A context that does not have the kind cannot be bucketed and gets the first variation with any
			// weight. If one variation has all the weight, no bucket is needed.
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
	// A bucket can be exactly 1, which no sum of weights exceeds. It belongs to the last variation with any weight.
	return last, found
}

// allClausesMatch reports whether every clause matches. allowSegments is false for the rules of segments, where a clause
// that refers to segments does not match.
func (s *Set) allClausesMatch(clauses []Clause, context EvaluationContext, allowSegments bool) bool {
	for i := range clauses {
		if !s.clauseMatches(&clauses[i], context, allowSegments) {
			return false
		}
	}
	return true
}

// clauseMatches reports whether a clause matches, with Clause.Negate taken into account.
func (s *Set) clauseMatches(clause *Clause, context EvaluationContext, allowSegments bool) bool {
	if clause.Operator == segmentMatch {
		return allowSegments && s.inAnySegment(clause.Values, context) != clause.Negate
	}
	value, present := attribute(context, clause.ContextKind, clause.Attribute)
	// A clause without a value to compare does not match, even if it is negated.
	if !present {
		return false
	}
	compare, found := operators[clause.Operator]
	if !found {
		return false
	}
	return matchesAnyElement(compare, value, clause) != clause.Negate
}

// inAnySegment reports whether a context is in any of the segments that names has. Elements that are not text are
// ignored.
func (s *Set) inAnySegment(names []any, context EvaluationContext) bool {
	for _, value := range names {
		name, _ := value.(string)
		if segment, found := s.Segments[name]; found && s.contains(segment, context) {
			return true
		}
	}
	return false
}

// matchesAnyElement reports whether an attribute matches any value of a clause. Of an attribute that is a list, one
// element must match.
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

// matchesAnyValue reports whether a value matches any value of a clause.
func matchesAnyValue(compare comparison, value any, clause *Clause) bool {
	for i := range clause.Values {
		if compare(value, clause, i) {
			return true
		}
	}
	return false
}

// contains reports whether a context is in a segment. Included takes precedence over Excluded, and Excluded over the
// rules.
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
