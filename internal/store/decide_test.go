package store

import (
	"testing"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Each ruling on a change by expected sequences, against one state.
func TestDecide(t *testing.T) {
	at := func(sequence uint64) *schema.Version { return &schema.Version{Term: 1, Sequence: sequence} }
	state := config.State{}.With([]*schema.Item{
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
		"a new item": {
			change(item("segment", "s", `{"salt":""}`)), accepted,
		},
		"a removed item anew": {
			change(item("segment", "old", `{"salt":""}`)), accepted,
		},
		"an existing item, as if new": {
			change(item("service", "shop", `{}`)), schema.Ruling_RULING_CONFLICT,
		},
		"an item by an older version": {
			withExpected(change(item("service", "shop", `{}`)), "service", "shop", 9), schema.Ruling_RULING_CONFLICT,
		},
		"one that the others rule out": {
			change(item("segment", "s", `{"salt":""}`), item("route", "x", `{"service":"gone","prefix":"/","horizon":"1s"}`)),
			schema.Ruling_RULING_INVALID,
		},
		"a removal that is needed": {
			withExpected(change(item("service", "shop", ""), item("route", "x", `{"service":"shop","prefix":"/","horizon":"1s"}`)), "service", "shop", 1),
			schema.Ruling_RULING_INVALID,
		},
		"a kind that does not exist": {
			change(item("thing", "x", `{}`)), schema.Ruling_RULING_INVALID,
		},
		"a controller of a past term": {
			withExpected(change(item("progress", "r", `{"duty":4}`)), "progress", "r", 2), schema.Ruling_RULING_STALE,
		},
		"the controller of this term": {
			withExpected(change(item("progress", "r", `{"duty":5}`)), "progress", "r", 2), accepted,
		},
	} {
		t.Run(name, func(t *testing.T) {
			entry, _ := Decide(state, nil, test.change, at(10))
			if entry.Outcome.Ruling != test.want {
				t.Errorf("%v, want %v (%v)", entry.Outcome.Ruling, test.want, entry.Outcome.Faults)
			}
			// All or nothing: a refusal carries no item.
			if (len(entry.Items) > 0) != (test.want == schema.Ruling_RULING_ACCEPTED) {
				t.Errorf("ruled %v with %d items", test.want, len(entry.Items))
			}
		})
	}
}

// The ruling on a change by operator versions, and the items that it writes, against one state.
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
	state := config.State{}.With([]*schema.Item{
		stored(1, item("stands", 7, `{"salt":""}`)),
		stored(2, item("dropped", 7, "")),
		stored(3, item("ours", 0, `{"salt":""}`)),
	})
	route := func(name string, version uint64) *schema.Item {
		return &schema.Item{Kind: "route", Name: name, OperatorVersion: version, Body: []byte(`{"service":"gone","prefix":"/","horizon":"1s"}`)}
	}
	for name, test := range map[string]struct {
		items   []*schema.Item
		want    schema.Ruling
		written map[string]uint64 // operator version by name
	}{
		"higher":                            {[]*schema.Item{item("stands", 8, body)}, accepted, map[string]uint64{"stands": 8}},
		"equal, the same":                   {[]*schema.Item{item("stands", 7, `{"salt":""}`)}, accepted, nil},
		"equal, the same with spaces":       {[]*schema.Item{item("stands", 7, `{ "salt" : "" }`)}, accepted, nil},
		"equal, another content":            {[]*schema.Item{item("stands", 7, body)}, conflict, nil},
		"equal, a drop":                     {[]*schema.Item{item("stands", 7, "")}, conflict, nil},
		"equal, a drop again":               {[]*schema.Item{item("dropped", 7, "")}, accepted, nil},
		"equal, beside one newer":           {[]*schema.Item{item("stands", 7, body), item("more", 2, body)}, conflict, nil},
		"equal, never right":                {[]*schema.Item{item("stands", 7, `{"salt":5}`)}, invalid, nil},
		"equal, over what no operator gave": {[]*schema.Item{item("ours", 0, body)}, conflict, nil},
		"lower, a drop":                     {[]*schema.Item{item("stands", 6, "")}, accepted, nil},
		"lower, never right":                {[]*schema.Item{item("stands", 6, `{"salt":5}`)}, invalid, nil},
		"older than a drop":                 {[]*schema.Item{item("dropped", 6, body)}, accepted, nil},
		"set under a drop's own version":    {[]*schema.Item{item("dropped", 7, body)}, conflict, nil},
		"newer than a drop":                 {[]*schema.Item{item("dropped", 9, body)}, accepted, map[string]uint64{"dropped": 9}},
		"a drop of what never was":          {[]*schema.Item{item("never", 3, "")}, accepted, map[string]uint64{"never": 3}},
		"over what no operator gave":        {[]*schema.Item{item("ours", 1, body)}, accepted, map[string]uint64{"ours": 1}},
		"some newer":                        {[]*schema.Item{item("stands", 6, body), item("more", 2, body)}, accepted, map[string]uint64{"more": 2}},
		"one name twice":                    {[]*schema.Item{item("stands", 9, body), item("stands", 8, "")}, accepted, map[string]uint64{"stands": 9}},
		"one name twice, two contents":      {[]*schema.Item{item("stands", 9, body), item("stands", 9, "")}, conflict, nil},
		"one name twice, the same":          {[]*schema.Item{item("stands", 9, body), item("stands", 9, body)}, accepted, map[string]uint64{"stands": 9}},
		"one newer that is invalid":         {[]*schema.Item{item("stands", 9, body), route("r", 9)}, invalid, nil},
		"one newer beside a broken kind":    {[]*schema.Item{item("stands", 9, body), {Kind: "thing", Name: "x", OperatorVersion: 9}}, invalid, nil},
	} {
		t.Run(name, func(t *testing.T) {
			entry, _ := Decide(state, nil, &schema.Change{Items: test.items, ByOperatorVersion: true}, at(10))
			if entry.Outcome.Ruling != test.want || len(entry.Items) != len(test.written) {
				t.Errorf("%v with %d items (%v)", entry.Outcome.Ruling, len(entry.Items), entry.Outcome.Faults)
			}
			if test.want == conflict && len(entry.Outcome.Current) == 0 {
				t.Error("the refusal names no item")
			}
			for _, written := range entry.Items {
				if written.OperatorVersion != test.written[written.Name] {
					t.Errorf("%s is written under %d", written.Name, written.OperatorVersion)
				}
			}
		})
	}
	// A write without an operator version leaves the stored one.
	change := &schema.Change{
		Items:    []*schema.Item{item("stands", 0, body)},
		Expected: []*schema.ExpectedVersion{{Kind: "segment", Name: "stands", Sequence: 1}},
	}
	entry, _ := Decide(state, nil, change, at(10))
	if len(entry.Items) != 1 || entry.Items[0].OperatorVersion != 7 {
		t.Errorf("written without a version: %v", entry)
	}
}

// Under one operator version, the content is what the operator wrote, including fields that the mesh does not use.
func TestContentIsWhatTheOperatorWrote(t *testing.T) {
	service := func(source string) *schema.Item {
		return &schema.Item{Kind: "service", Name: "shop", OperatorVersion: 7, Body: []byte(`{}`), OperatorBody: []byte(source)}
	}
	stored := service(`{"MaxConns":20,"Name":"shop"}`)
	stored.Version = &schema.Version{Term: 1, Sequence: 4}
	state := config.State{}.With([]*schema.Item{stored})
	for source, want := range map[string]schema.Ruling{
		`{"Name":"shop", "MaxConns":20}`: schema.Ruling_RULING_ACCEPTED,
		`{"MaxConns":21,"Name":"shop"}`:  schema.Ruling_RULING_CONFLICT,
		`{"Name":"shop"}`:                schema.Ruling_RULING_CONFLICT,
	} {
		t.Run(source, func(t *testing.T) {
			change := &schema.Change{Items: []*schema.Item{service(source)}, ByOperatorVersion: true}
			entry, _ := Decide(state, nil, change, &schema.Version{Term: 1, Sequence: 9})
			if entry.Outcome.Ruling != want || len(entry.Items) > 0 {
				t.Errorf("%v", entry.Outcome)
			}
		})
	}
}
