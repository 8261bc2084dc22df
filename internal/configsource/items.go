package configsource

import (
	"encoding/json"
	"sort"

	"meadowhinge/schema"
)

// removeField is the field under which a configuration lists the names of items to remove, by kind.
const removeField = "remove"

// itemsOf gives the items of a configuration in JSON, ordered by schema.Key: those that it writes, and a
// tombstone for each that it removes.
func itemsOf(body []byte) ([]*schema.Item, *schema.FieldError) {
	var bodiesByKind map[string]map[string]json.RawMessage
	if err := json.Unmarshal(body, &bodiesByKind); err != nil {
		return nil, &schema.FieldError{Path: ".", Reason: err.Error()}
	}
	var items []*schema.Item
	for kind, bodyByName := range bodiesByKind {
		var ofKind []*schema.Item
		var fault *schema.FieldError
		switch kind {
		case removeField:
			ofKind, fault = tombstonesOf(bodyByName)
		case schema.LimitsKind:
			ofKind, fault = limitsItem(bodyByName)
		default:
			ofKind = itemsOfKind(kind, bodyByName)
		}
		if fault != nil {
			return nil, fault
		}
		items = append(items, ofKind...)
	}
	sort.Slice(items, func(i, j int) bool { return keyOf(items[i]) < keyOf(items[j]) })
	return items, nil
}

func keyOf(item *schema.Item) string { return schema.Key(item.Kind, item.Name) }

func itemsOfKind(kind string, bodyByName map[string]json.RawMessage) (items []*schema.Item) {
	for name, body := range bodyByName {
		items = append(items, &schema.Item{Kind: kind, Name: name, Body: body})
	}
	return items
}

// limitsItem gives the one item of limits, whose fields stand where other kinds have names.
func limitsItem(fields map[string]json.RawMessage) ([]*schema.Item, *schema.FieldError) {
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &schema.FieldError{Path: schema.LimitsKind, Reason: err.Error()}
	}
	return []*schema.Item{{Kind: schema.LimitsKind, Name: schema.LimitsName, Body: body}}, nil
}

func tombstonesOf(namesByKind map[string]json.RawMessage) (items []*schema.Item, fault *schema.FieldError) {
	for kind, list := range namesByKind {
		var names []string
		if err := json.Unmarshal(list, &names); err != nil {
			return nil, &schema.FieldError{Path: removeField + "." + kind, Reason: err.Error()}
		}
		for _, name := range names {
			items = append(items, &schema.Item{Kind: kind, Name: name, Deleted: true})
		}
	}
	return items, nil
}

// checkItems refuses a change without items, and one that has an item twice; the items are ordered.
func checkItems(items []*schema.Item) *schema.FieldError {
	for i := 1; i < len(items); i++ {
		if keyOf(items[i]) == keyOf(items[i-1]) {
			return &schema.FieldError{Path: items[i].Kind + "." + items[i].Name, Reason: "is both written and removed"}
		}
	}
	if len(items) == 0 {
		return &schema.FieldError{Path: ".", Reason: "states no item"}
	}
	return nil
}
