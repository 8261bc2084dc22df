package configsource

import (
	"encoding/json"
	"sort"

	"meadowhinge/schema"
)

// removeField is the top-level field that lists the names of items to remove, by kind.
const removeField = "remove"

// itemsOf returns the items of a change, ordered by schema.Key: an item for each that the text writes, and a tombstone
// for each that it removes. body is the text as JSON. It fails with a fault if the JSON does not have the form of a
// configuration.
func itemsOf(body []byte) ([]*schema.Item, *schema.FieldError) {
	var bodiesByKind map[string]map[string]json.RawMessage
	if err := json.Unmarshal(body, &bodiesByKind); err != nil {
		return nil, &schema.FieldError{Path: ".", Reason: err.Error()}
	}
	var items []*schema.Item
	for kind, bodyByName := range bodiesByKind {
		var kindItems []*schema.Item
		var fault *schema.FieldError
		switch kind {
		case removeField:
			kindItems, fault = tombstonesOf(bodyByName)
		case schema.LimitsKind:
			kindItems, fault = limitsItem(bodyByName)
		default:
			kindItems = itemsOfKind(kind, bodyByName)
		}
		if fault != nil {
			return nil, fault
		}
		items = append(items, kindItems...)
	}
	sort.Slice(items, func(i, j int) bool { return keyOf(items[i]) < keyOf(items[j]) })
	return items, nil
}

func keyOf(item *schema.Item) string { return schema.Key(item.Kind, item.Name) }

// itemsOfKind returns the items of a kind, in no particular order.
func itemsOfKind(kind string, bodyByName map[string]json.RawMessage) (items []*schema.Item) {
	for name, body := range bodyByName {
		items = append(items, &schema.Item{Kind: kind, Name: name, Body: body})
	}
	return items
}

// limitsItem returns the only item of limits, as a list. In the text, the fields of the limits are on the level at which
// other kinds have the names of their items.
func limitsItem(fields map[string]json.RawMessage) ([]*schema.Item, *schema.FieldError) {
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &schema.FieldError{Path: schema.LimitsKind, Reason: err.Error()}
	}
	return []*schema.Item{{Kind: schema.LimitsKind, Name: schema.LimitsName, Body: body}}, nil
}

// tombstonesOf returns a tombstone for each item that removeField lists.
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

// checkItems refuses a change that has no items, or that both writes and removes an item. The items must be ordered
// by schema.Key.
func checkItems(items []*schema.Item) *schema.FieldError {
	for i := 1; i < len(items); i++ {
		if keyOf(items[i]) == keyOf(items[i-1]) {
			return &schema.FieldError{Path: items[i].Kind + "." + items[i].Name, Reason: "must not be both written and removed"}
		}
	}
	if len(items) == 0 {
		return &schema.FieldError{Path: ".", Reason: "must write or remove at least one item"}
	}
	return nil
}
