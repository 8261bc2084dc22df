package dispatch

import (
	"testing"
	"time"
)

// A restarted proxy goes on with the worker that its earlier life told of, but the worker's own
// word comes first, before or after, and without one it is given up after a beat.
func TestTakenUpWorkers(t *testing.T) {
	const beat = 1500 * time.Millisecond
	told := Description{ID: "w", Address: "127.0.0.1:9", Service: "shop", Version: "v1", Slots: 4, BeatMS: beat.Milliseconds()}
	with := func(change func(*Description)) Description {
		said := told
		change(&said)
		return said
	}
	other := with(func(d *Description) { d.ID = "x" })
	gone := with(func(d *Description) { d.Gone = true })
	leaving := with(func(d *Description) { d.Leaving, d.Serial = true, 7 })
	word := with(func(d *Description) { d.Serial = 7 })
	for name, one := range map[string]struct {
		before, after []Description
		ids           bool // workers have ids of their own, and no tether
		at            time.Duration
		want          string
		leaves        bool
	}{
		"no word yet":                       {ids: true, at: beat, want: "w"},
		"no word for more than a beat":      {ids: true, at: beat + 1, want: ""},
		"its word within the beat":          {ids: true, after: []Description{word}, at: 3 * beat, want: "w"},
		"it is leaving":                     {ids: true, after: []Description{leaving}, at: beat, want: "w", leaves: true},
		"another life of it":                {ids: true, after: []Description{other}, at: beat, want: "x"},
		"it says that it is gone":           {ids: true, after: []Description{gone}, at: 0, want: ""},
		"it had said so":                    {ids: true, before: []Description{gone}, at: 0, want: ""},
		"another had spoken":                {ids: true, before: []Description{other}, at: 0, want: "x"},
		"it had said that it leaves":        {ids: true, before: []Description{leaving}, at: 0, want: "w", leaves: true},
		"workers are known by a connection": {at: 0, want: ""},
	} {
		now := time.Duration(0)
		workers := NewWorkers(WorkersOptions{Proxy: "p", Silence: 3, Most: 4, ConnsMost: 4, Untethered: one.ids, Now: func() time.Duration { return now }}, func() {})
		for _, said := range one.before {
			_, _ = workers.Describe(said)
		}
		workers.TakeUp(told)
		for _, said := range one.after {
			_, _ = workers.Describe(said)
		}
		now = one.at
		workers.Sweep()
		listed, got, leaves := workers.List(), "", false
		if len(listed) > 0 {
			got, leaves = listed[0].Instance, listed[0].Leaving
		}
		if got != one.want || leaves != one.leaves || len(listed) > 1 {
			t.Errorf("%s: %v, want %q", name, listed, one.want)
		}
	}
}
