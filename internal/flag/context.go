package flag

// SingleContext is a context of one kind.
type SingleContext struct {
	Key        string
	Attributes map[string]any // besides kind and key
}

// Context is an EvaluationContext of one or several kinds, by kind.
type Context map[string]SingleContext

// EvaluationContext is what flags are evaluated for. Callers may implement it on the data that they have, instead of
// copying that into the maps of a Context.
type EvaluationContext interface {
	// KeyOf gives the key of the context of a kind; found is false if there is none.
	KeyOf(kind string) (key string, found bool)
	// Attribute gives an attribute besides kind and key; present is false for one that is absent or null.
	Attribute(kind, name string) (value any, present bool)
	// HasAllKeys tells whether every context has a key.
	HasAllKeys() bool
}

// KeyOf gives the key of the context of a kind.
func (c Context) KeyOf(kind string) (string, bool) {
	single, found := c[kind]
	return single.Key, found
}

// Attribute gives an attribute of the context of a kind.
func (c Context) Attribute(kind, name string) (any, bool) {
	value, found := c[kind].Attributes[name]
	return value, found && value != nil
}

// HasAllKeys tells whether every context has a key.
func (c Context) HasAllKeys() bool {
	for _, single := range c {
		if single.Key == "" {
			return false
		}
	}
	return true
}

// kindOrDefault is the kind that a definition means.
func kindOrDefault(kind string) string {
	if kind == "" {
		return DefaultKind
	}
	return kind
}

func hasKind(subject EvaluationContext, kind string) bool {
	_, found := subject.KeyOf(kind)
	return found
}

// attribute finds a value in the context of a kind; present is false for none or null.
func attribute(subject EvaluationContext, kind, name string) (value any, present bool) {
	kind = kindOrDefault(kind)
	key, found := subject.KeyOf(kind)
	switch {
	case !found:
		return nil, false
	case name == "kind":
		return kind, true
	case name == "" || name == "key":
		return key, key != ""
	}
	return subject.Attribute(kind, name)
}

// isEvaluable tells whether flags can be evaluated for a context: it has DefaultKind, and every kind has a key.
func isEvaluable(subject EvaluationContext) bool {
	return hasKind(subject, DefaultKind) && subject.HasAllKeys()
}
