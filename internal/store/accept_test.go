package store

import (
	"testing"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Each ruling on a change, against one state.
func TestAdmit(t *testing.T) {
	at := func(sequence uint64) *schema.Version { return &schema.Version{Epoch: 1, Sequence: sequence} }
	state := setup.State{}.With([]*schema.Item{
		{Kind: "service", Name: "shop", Version: at(1), Body: []byte(`{"versions":["1","2"],"fallback":"1","callers":[]}`)},
		{Kind: "progress", Name: "r", Version: at(2), Body: []byte(`{"duty":5}`)},
		{Kind: "segment", Name: "old", Version: at(3), Deleted: true},
	})
	item := func(kind, name, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Deleted: body == ""}
	}
	expect := func(kind, name string, sequence uint64) *schema.Expected {
		return &schema.Expected{Kind: kind, Name: name, Sequence: sequence}
	}
	for name, one := range map[string]struct {
		change *schema.Change
		want   schema.Ruling
	}{
		"a new item":                       {&schema.Change{Items: []*schema.Item{item("segment", "s", `{"salt":""}`)}}, schema.Ruling_RULING_ACCEPTED},
		"an item again that was removed":   {&schema.Change{Items: []*schema.Item{item("segment", "old", `{"salt":""}`)}}, schema.Ruling_RULING_ACCEPTED},
		"an item that stands, as if new":   {&schema.Change{Items: []*schema.Item{item("service", "shop", `{}`)}}, schema.Ruling_RULING_CONFLICT},
		"an item by an older version":      {&schema.Change{Items: []*schema.Item{item("service", "shop", `{}`)}, Expected: []*schema.Expected{expect("service", "shop", 9)}}, schema.Ruling_RULING_CONFLICT},
		"one that the rest does not allow": {&schema.Change{Items: []*schema.Item{item("segment", "s", `{"salt":""}`), item("route", "x", `{"service":"gone","prefix":"/","horizon":"1s"}`)}}, schema.Ruling_RULING_INVALID},
		"a removal that is needed":         {&schema.Change{Items: []*schema.Item{item("service", "shop", ""), item("route", "x", `{"service":"shop","prefix":"/","horizon":"1s"}`)}, Expected: []*schema.Expected{expect("service", "shop", 1)}}, schema.Ruling_RULING_INVALID},
		"a kind that does not exist":       {&schema.Change{Items: []*schema.Item{item("thing", "x", `{}`)}}, schema.Ruling_RULING_INVALID},
		"a duty under a passed epoch":      {&schema.Change{Items: []*schema.Item{item("progress", "r", `{"duty":4}`)}, Expected: []*schema.Expected{expect("progress", "r", 2)}}, schema.Ruling_RULING_STALE},
		"a duty under its own epoch":       {&schema.Change{Items: []*schema.Item{item("progress", "r", `{"duty":5}`)}, Expected: []*schema.Expected{expect("progress", "r", 2)}}, schema.Ruling_RULING_ACCEPTED},
	} {
		entry, _ := Accept(state, nil, one.change, at(10))
		if entry.Outcome.Ruling != one.want {
			t.Errorf("%s: %v, want %v (%v)", name, entry.Outcome.Ruling, one.want, entry.Outcome.Faults)
		}
		// Whole or nothing: a refusal carries no item.
		if (len(entry.Items) > 0) != (one.want == schema.Ruling_RULING_ACCEPTED) {
			t.Errorf("%s: ruled %v with %d items", name, one.want, len(entry.Items))
		}
	}
}
