package store

import (
	"bytes"
	"encoding/json"
	"reflect"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// byOperatorVersion compares the items of a change with the state by the versions that operators gave them.
//
// An item with a higher version than the one held, tombstones included, is written. One with a
// lower version was overtaken and changes nothing. Under one version an item has one content: the
// same content again is a repeat and changes nothing, another content is a clash, by which the
// whole change must be refused.
func byOperatorVersion(state config.State, items []*schema.Item) (written []*schema.Item, conflicts []*schema.ExpectedVersion) {
	latest := map[string]*schema.Item{}
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
			conflicts = append(conflicts, &schema.ExpectedVersion{Kind: item.Kind, Name: item.Name, Sequence: existing.Version.GetSequence(), OperatorVersion: existing.OperatorVersion})
		}
	}
	for _, item := range items {
		if latest[config.Key(item.Kind, item.Name)] == item {
			written = append(written, item)
		}
	}
	return written, conflicts
}

// sameContent tells whether two items say the same. What the operator said counts where both
// items have it: the body holds only what the product makes use of.
func sameContent(a, b *schema.Item) bool {
	if a.Deleted || b.Deleted {
		return a.Deleted == b.Deleted
	}
	if len(a.OperatorBody) > 0 && len(b.OperatorBody) > 0 {
		return sameJSON(a.OperatorBody, b.OperatorBody)
	}
	return sameJSON(a.Body, b.Body)
}

// sameJSON compares two texts as JSON: spaces and the order of fields do not count, but numbers
// count as they were written.
func sameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	first, firstValid := decodeJSON(a)
	second, secondValid := decodeJSON(b)
	return firstValid && secondValid && reflect.DeepEqual(first, second)
}

func decodeJSON(text []byte) (value any, valid bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	err := decoder.Decode(&value)
	return value, err == nil
}
