package schema

// Key is the key of an item in a configuration: its kind and name, joined.
func Key(kind, name string) string { return kind + "/" + name }

// A configuration has one item of limits, whose kind and name these are.
const (
	LimitsKind = "limits"
	LimitsName = "limits"
)
