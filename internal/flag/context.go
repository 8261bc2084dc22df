package flag

// SingleContext is the data of one context kind.
type SingleContext struct {
	Key        string         // identifies the context among those of its kind
	Attributes map[string]any // attributes besides kind and key, by name; values are as decoded from JSON
}

// Context is an EvaluationContext made of maps. It has a SingleContext for each context kind.
type Context map[string]SingleContext

// EvaluationContext is the context for which flags are evaluated, with data of one or several context kinds. Callers
// may implement it on their own data, which saves copying the data into a Context.
type EvaluationContext interface {
	// KeyOf returns the key of a context kind; found is false if the context does not have the kind.
	KeyOf(kind string) (key string, found bool)
	// Attribute returns an attribute besides kind and key; present is false if it is absent or null.
	Attribute(kind, name string) (value any, present bool)
	// HasAllKeys reports whether every kind that the context has comes with a key that is not empty.
	HasAllKeys() bool
}

// KeyOf returns the key of a context kind, and false if the context does not have the kind.
func (c Context) KeyOf(kind string) (string, bool) {
	single, found := c[kind]
	return single.Key, found
}

// Attribute returns an attribute of a context kind, and false if it is absent or null.
func (c Context) Attribute(kind, name string) (any, bool) {
	value, found := c[kind].Attributes[name]
	return value, found && value != nil
}

// HasAllKeys reports whether every context kind has a key.
func (c Context) HasAllKeys() bool {
	for _, single := range c {
		if single.Key == "" {
			return false
		}
	}
	return true
}

// kindOrDefault returns the context kind that a definition means; empty means DefaultKind.
func kindOrDefault(kind string) string {
	if kind == "" {
		return DefaultKind
	}
	return kind
}

// hasKind reports whether a context has data of a kind.
func hasKind(context EvaluationContext, kind string) bool {
	_, found := context.KeyOf(kind)
	return found
}

// attribute returns the attribute of a context kind; present is false if it is absent or null. Unlike
// EvaluationContext.Attribute it includes kind and key, and an empty name means the key.
func attribute(context EvaluationContext, kind, name string) (value any, present bool) {
	kind = kindOrDefault(kind)
	key, found := context.KeyOf(kind)
	switch {
	case !found:
		return nil, false
	case name == "kind":
		return kind, true
	case name == "" || name == "key":
		return key, key != ""
	}
	return context.Attribute(kind, name)
}

// isEvaluable reports whether flags can be evaluated for a context: it has DefaultKind, and every kind has a key.
func isEvaluable(context EvaluationContext) bool {
	return hasKind(context, DefaultKind) && context.HasAllKeys()
}
