package store

import (
	"testing"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Decide gives each of its rulings on changes with expected sequences, against one state.
func TestDecideByExpectedSequences(t *testing.T) {
	at := func(sequence uint64) *schema.Version { return &schema.Version{Term: 1, Sequence: sequence} }
	state := config.State{}.Merge([]*schema.Item{
		{Kind: "service", Name: "shop", Version: at(1), Body: []byte(`{"versions":["1","2"],"fallback":"1","callers":[]}`)},
		{Kind: "progress", Name: "r", Version: at(2), Body: []byte(`{"duty":5}`)},
		{Kind: "segment", Name: "old", Version: at(3), Deleted: true},
	})
	item := func(kind, name, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Deleted: body == ""}
	}
	const accepted = schema.Ruling_RULING_ACCEPTED
	change := func(items ...*schema.Item) *schema.Change { return &schema.Change{Items: items} }
	withExpected := func(change *schema.Change, kind, name string, sequence uint64) *schema.Change {
		change.Expected = []*schema.ExpectedVersion{{Kind: kind, Name: name, Sequence: sequence}}
		return change
	}
	for name, test := range map[string]struct {
		change *schema.Change
		want   schema.Ruling
	}{
		"accepts a new item": {
			change(item("segment", "s", `{"salt":""}`)), accepted,
		},
		"accepts a deleted item as new": {
			change(item("segment", "old", `{"salt":""}`)), accepted,
		},
		"reports a conflict for an existing item written as new": {
			change(item("service", "shop", `{}`)), schema.Ruling_RULING_CONFLICT,
		},
		"reports a conflict for another expected sequence": {
			withExpected(change(item("service", "shop", `{}`)), "service", "shop", 9), schema.Ruling_RULING_CONFLICT,
		},
		"refuses a change with one invalid item": {
			change(item("segment", "s", `{"salt":""}`), item("route", "x", `{"service":"gone","prefix":"/","horizon":"1s"}`)),
			schema.Ruling_RULING_INVALID,
		},
		"refuses to delete an item that another one needs": {
			withExpected(change(item("service", "shop", ""), item("route", "x", `{"service":"shop","prefix":"/","horizon":"1s"}`)), "service", "shop", 1),
			schema.Ruling_RULING_INVALID,
		},
		"refuses an unknown kind": {
			change(item("thing", "x", `{}`)), schema.Ruling_RULING_INVALID,
		},
		"refuses a rollout controller of an earlier term": {
			withExpected(change(item("progress", "r", `{"duty":4}`)), "progress", "r", 2), schema.Ruling_RULING_STALE,
		},
		"accepts the rollout controller of the current term": {
			withExpected(change(item("progress", "r", `{"duty":5}`)), "progress", "r", 2), accepted,
		},
	} {
		t.Run(name, func(t *testing.T) {
			entry, _ := Decide(state, nil, test.change, at(10))
			if entry.Outcome.Ruling != test.want {
				t.Errorf("Decide ruled %v, want %v (faults: %v)", entry.Outcome.Ruling, test.want, entry.Outcome.Faults)
			}
			// A refused change writes no item.
			if wantItems := test.want == schema.Ruling_RULING_ACCEPTED; (len(entry.Items) > 0) != wantItems {
				t.Errorf("Decide returned %d items, want any: %t", len(entry.Items), wantItems)
			}
		})
	}
}

// Decide compares operator versions with the stored ones: it writes the newer items, ignores outdated and repeated ones
// and reports a conflict for another content under the same version.
func TestDecideByOperatorVersion(t *testing.T) {
	at := func(sequence uint64) *schema.Version { return &schema.Version{Term: 1, Sequence: sequence} }
	item := func(name string, version uint64, body string) *schema.Item {
		return &schema.Item{Kind: "segment", Name: name, OperatorVersion: version, Body: []byte(body), Deleted: body == ""}
	}
	stored := func(sequence uint64, item *schema.Item) *schema.Item { item.Version = at(sequence); return item }
	const body = `{"salt":"new"}`
	const (
		accepted = schema.Ruling_RULING_ACCEPTED
		conflict = schema.Ruling_RULING_CONFLICT
		invalid  = schema.Ruling_RULING_INVALID
	)
	state := config.State{}.Merge([]*schema.Item{
		stored(1, item("present", 7, `{"salt":""}`)),
		stored(2, item("deleted", 7, "")),
		stored(3, item("unversioned", 0, `{"salt":""}`)),
	})
	route := func(name string, version uint64) *schema.Item {
		return &schema.Item{Kind: "route", Name: name, OperatorVersion: version, Body: []byte(`{"service":"gone","prefix":"/","horizon":"1s"}`)}
	}
	for name, test := range map[string]struct {
		items   []*schema.Item
		want    schema.Ruling
		written map[string]uint64 // operator version by name
	}{
		"a higher version is written":                                 {[]*schema.Item{item("present", 8, body)}, accepted, map[string]uint64{"present": 8}},
		"the same version and content changes nothing":                {[]*schema.Item{item("present", 7, `{"salt":""}`)}, accepted, nil},
		"the same content with other white space changes nothing":     {[]*schema.Item{item("present", 7, `{ "salt" : "" }`)}, accepted, nil},
		"the same version with another content conflicts":             {[]*schema.Item{item("present", 7, body)}, conflict, nil},
		"a deletion under the same version conflicts":                 {[]*schema.Item{item("present", 7, "")}, conflict, nil},
		"a repeated deletion changes nothing":                         {[]*schema.Item{item("deleted", 7, "")}, accepted, nil},
		"one conflict refuses the whole change":                       {[]*schema.Item{item("present", 7, body), item("more", 2, body)}, conflict, nil},
		"invalid content under the same version is refused":           {[]*schema.Item{item("present", 7, `{"salt":5}`)}, invalid, nil},
		"version 0 over an unversioned item conflicts":                {[]*schema.Item{item("unversioned", 0, body)}, conflict, nil},
		"a deletion under a lower version changes nothing":            {[]*schema.Item{item("present", 6, "")}, accepted, nil},
		"invalid content under a lower version is refused":            {[]*schema.Item{item("present", 6, `{"salt":5}`)}, invalid, nil},
		"a write under a version below a tombstone's changes nothing": {[]*schema.Item{item("deleted", 6, body)}, accepted, nil},
		"a write under a tombstone's version conflicts":               {[]*schema.Item{item("deleted", 7, body)}, conflict, nil},
		"a write under a version above a tombstone's is written":      {[]*schema.Item{item("deleted", 9, body)}, accepted, map[string]uint64{"deleted": 9}},
		"a deletion of an unknown item is written":                    {[]*schema.Item{item("unknown", 3, "")}, accepted, map[string]uint64{"unknown": 3}},
		"a version over an unversioned item is written":               {[]*schema.Item{item("unversioned", 1, body)}, accepted, map[string]uint64{"unversioned": 1}},
		"only the newer items are written":                            {[]*schema.Item{item("present", 6, body), item("more", 2, body)}, accepted, map[string]uint64{"more": 2}},
		"the newest of two items of one name is written":              {[]*schema.Item{item("present", 9, body), item("present", 8, "")}, accepted, map[string]uint64{"present": 9}},
		"two contents of one name under one version conflict":         {[]*schema.Item{item("present", 9, body), item("present", 9, "")}, conflict, nil},
		"the same item twice is written once":                         {[]*schema.Item{item("present", 9, body), item("present", 9, body)}, accepted, map[string]uint64{"present": 9}},
		"an invalid item makes the whole change invalid":              {[]*schema.Item{item("present", 9, body), route("r", 9)}, invalid, nil},
		"an item of an unknown kind makes the whole change invalid":   {[]*schema.Item{item("present", 9, body), {Kind: "thing", Name: "x", OperatorVersion: 9}}, invalid, nil},
	} {
		t.Run(name, func(t *testing.T) {
			entry, _ := Decide(state, nil, &schema.Change{Items: test.items, ByOperatorVersion: true}, at(10))
			if entry.Outcome.Ruling != test.want || len(entry.Items) != len(test.written) {
				t.Errorf("Decide ruled %v with %d items (faults: %v), want %v with %d",
					entry.Outcome.Ruling, len(entry.Items), entry.Outcome.Faults, test.want, len(test.written))
			}
			if test.want == conflict && len(entry.Outcome.Current) == 0 {
				t.Errorf("Decide ruled %v with no current versions, want those of the items in conflict", entry.Outcome.Ruling)
			}
			for _, written := range entry.Items {
				if want := test.written[written.Name]; written.OperatorVersion != want {
					t.Errorf("%s is written under operator version %d, want %d", written.Name, written.OperatorVersion, want)
				}
			}
		})
	}
	// A write without an operator version keeps the stored operator version.
	change := &schema.Change{
		Items:    []*schema.Item{item("present", 0, body)},
		Expected: []*schema.ExpectedVersion{{Kind: "segment", Name: "present", Sequence: 1}},
	}
	entry, _ := Decide(state, nil, change, at(10))
	if len(entry.Items) != 1 || entry.Items[0].OperatorVersion != 7 {
		t.Errorf("Decide on a write without an operator version returned %v, want one item under operator version 7", entry)
	}
}

// Items of one operator version are compared by what the operator wrote, including fields that the mesh does not use.
func TestOperatorContentIsCompared(t *testing.T) {
	service := func(source string) *schema.Item {
		return &schema.Item{Kind: "service", Name: "shop", OperatorVersion: 7, Body: []byte(`{}`), OperatorBody: []byte(source)}
	}
	stored := service(`{"MaxConns":20,"Name":"shop"}`)
	stored.Version = &schema.Version{Term: 1, Sequence: 4}
	state := config.State{}.Merge([]*schema.Item{stored})
	for source, want := range map[string]schema.Ruling{
		`{"Name":"shop", "MaxConns":20}`: schema.Ruling_RULING_ACCEPTED,
		`{"MaxConns":21,"Name":"shop"}`:  schema.Ruling_RULING_CONFLICT,
		`{"Name":"shop"}`:                schema.Ruling_RULING_CONFLICT,
	} {
		t.Run(source, func(t *testing.T) {
			change := &schema.Change{Items: []*schema.Item{service(source)}, ByOperatorVersion: true}
			entry, _ := Decide(state, nil, change, &schema.Version{Term: 1, Sequence: 9})
			if entry.Outcome.Ruling != want || len(entry.Items) > 0 {
				t.Errorf("Decide returned the outcome %v with %d items, want %v without items", entry.Outcome, len(entry.Items), want)
			}
		})
	}
}
