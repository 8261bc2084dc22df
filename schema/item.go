package schema

// Key joins an item's kind and name.
func Key(kind, name string) string { return kind + "/" + name }

// The one item of limits has a kind and a name of its own.
const (
	LimitsKind = "limits"
	LimitsName = "limits"
)
