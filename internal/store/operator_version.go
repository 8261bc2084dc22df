package store

import (
	"bytes"
	"encoding/json"
	"reflect"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// selectByOperatorVersion compares the items of a change with the state by their operator versions, which the
// operator's own system assigns. It returns the items to write and, for the items in conflict, the stored versions.
//
//   - An item that is not stored, or has a higher version than the stored one, is written, also over a tombstone.
//   - An item with a lower version is outdated and changes nothing.
//   - An item with the stored version and the stored content is a repetition and changes nothing.
//   - An item with the stored version and another content is a conflict: the whole change must be refused.
//
// If an earlier item of the change has the same name and is newer than the stored one, the item is compared with that
// one instead. Of several items with one name only the newest is written.
func selectByOperatorVersion(state config.State, items []*schema.Item) (written []*schema.Item, conflicts []*schema.ExpectedVersion) {
	latest := map[string]*schema.Item{} // the change's newest item that is newer than the stored one, by key
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

// sameContent reports whether two items have the same content. It compares the operator's original texts if both items
// have one, since the body holds only the fields that the mesh uses.
func sameContent(a, b *schema.Item) bool {
	if a.Deleted || b.Deleted {
		return a.Deleted == b.Deleted
	}
	if len(a.OperatorBody) > 0 && len(b.OperatorBody) > 0 {
		return sameJSON(a.OperatorBody, b.OperatorBody)
	}
	return sameJSON(a.Body, b.Body)
}

// sameJSON reports whether two texts are equal as JSON: white space and the order of fields do not matter. Numbers are
// equal only if they are written the same way: 1 is not equal to 1.0.
func sameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	first, firstValid := decodeJSON(a)
	second, secondValid := decodeJSON(b)
	return firstValid && secondValid && reflect.DeepEqual(first, second)
}

// decodeJSON decodes the first JSON value of a text, with numbers as json.Number. valid is false if there is none.
func decodeJSON(text []byte) (value any, valid bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	err := decoder.Decode(&value)
	return value, err == nil
}
