package schema

// Key returns the key that identifies an item in a configuration: its kind and name, joined by a slash.
func Key(kind, name string) string { return kind + "/" + name }

// The kind and the name of the item of limits. A configuration has at most one.
const (
	LimitsKind = "limits"
	LimitsName = "limits"
)
