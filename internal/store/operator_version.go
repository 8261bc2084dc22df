package store

import (
	"bytes"
	"encoding/json"
	"reflect"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// byOperatorVersion compares the items of a change with the state by their operator versions, which the operator's
// own system numbers. It returns the items to write and, for those in conflict, what is stored.
//
// An item with a higher version than the stored one, tombstones included, is written. One with a lower version
// was overtaken and changes nothing. Under one version an item has one content: the same content again is a
// repeat and changes nothing; another content is a conflict, for which the whole change must be refused.
func byOperatorVersion(state config.State, items []*schema.Item) (written []*schema.Item, conflicts []*schema.ExpectedVersion) {
	latest := map[string]*schema.Item{} // by key, of the change's items that are newer than the stored ones
	for _, item := range items {
		key := config.Key(item.Kind, item.Name)
		existing, seen := latest[key]
		if !seen {
			existing = state[key]
		}
		switch {
		case existing == nil || existing.OperatorVersion < item.OperatorVersion:
			latest[key] = item
		case existing.OperatorVersion == item.OperatorVersion && !sameContent(existing, item):
			conflicts = append(conflicts, &schema.ExpectedVersion{
				Kind:            item.Kind,
				Name:            item.Name,
				Sequence:        existing.Version.GetSequence(),
				OperatorVersion: existing.OperatorVersion,
			})
		}
	}
	for _, item := range items {
		if latest[config.Key(item.Kind, item.Name)] == item {
			written = append(written, item)
		}
	}
	return written, conflicts
}

// sameContent reports whether two items have the same content. What the operator wrote is compared where both
// items have it, since the body holds only the fields that the mesh uses.
func sameContent(a, b *schema.Item) bool {
	if a.Deleted || b.Deleted {
		return a.Deleted == b.Deleted
	}
	if len(a.OperatorBody) > 0 && len(b.OperatorBody) > 0 {
		return sameJSON(a.OperatorBody, b.OperatorBody)
	}
	return sameJSON(a.Body, b.Body)
}

// sameJSON compares two texts as JSON: white space and the order of fields do not matter, but numbers are equal
// only as they were written (1 is not 1.0).
func sameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	first, firstValid := decodeJSON(a)
	second, secondValid := decodeJSON(b)
	return firstValid && secondValid && reflect.DeepEqual(first, second)
}

// decodeJSON decodes the first JSON value of a text, numbers as json.Number.
func decodeJSON(text []byte) (value any, valid bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	err := decoder.Decode(&value)
	return value, err == nil
}
