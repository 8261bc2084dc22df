package dispatch

import (
	"testing"
	"time"
)

// A restarted proxy goes on with the worker that its earlier life told of, but the worker's own
// word comes first, before or after, and without one it is given up after a beat.
func TestTakenUpWorkers(t *testing.T) {
	const heartbeatInterval = 1500 * time.Millisecond
	description := WorkerDescription{ID: "w", Address: "127.0.0.1:9", Service: "shop", Version: "v1", Slots: 4, HeartbeatMS: heartbeatInterval.Milliseconds()}
	with := func(change func(*WorkerDescription)) WorkerDescription {
		update := description
		change(&update)
		return update
	}
	other := with(func(d *WorkerDescription) { d.ID = "x" })
	deregistered := with(func(d *WorkerDescription) { d.Deregistered = true })
	draining := with(func(d *WorkerDescription) { d.Draining, d.Serial = true, 7 })
	newer := with(func(d *WorkerDescription) { d.Serial = 7 })
	for name, test := range map[string]struct {
		before, after []WorkerDescription
		ids           bool // workers have ids of their own, and no tether
		at            time.Duration
		want          string
		isDraining    bool
	}{
		"no word yet":                       {ids: true, at: heartbeatInterval, want: "w"},
		"no word for more than a beat":      {ids: true, at: heartbeatInterval + 1, want: ""},
		"its word within the beat":          {ids: true, after: []WorkerDescription{newer}, at: 3 * heartbeatInterval, want: "w"},
		"it is leaving":                     {ids: true, after: []WorkerDescription{draining}, at: heartbeatInterval, want: "w", isDraining: true},
		"another life of it":                {ids: true, after: []WorkerDescription{other}, at: heartbeatInterval, want: "x"},
		"it says that it is gone":           {ids: true, after: []WorkerDescription{deregistered}, at: 0, want: ""},
		"it had said so":                    {ids: true, before: []WorkerDescription{deregistered}, at: 0, want: ""},
		"another had spoken":                {ids: true, before: []WorkerDescription{other}, at: 0, want: "x"},
		"it had said that it leaves":        {ids: true, before: []WorkerDescription{draining}, at: 0, want: "w", isDraining: true},
		"workers are known by a connection": {at: 0, want: ""},
	} {
		now := time.Duration(0)
		workers := NewWorkers(WorkersOptions{Proxy: "p", MaxMissedHeartbeats: 3, MaxWorkers: 4, MaxConns: 4, NoLivenessConn: test.ids, Now: func() time.Duration { return now }}, func() {})
		for _, update := range test.before {
			_, _ = workers.Register(update)
		}
		workers.Restore(description)
		for _, update := range test.after {
			_, _ = workers.Register(update)
		}
		now = test.at
		workers.DropUnresponsive()
		listed, got, isDraining := workers.List(), "", false
		if len(listed) > 0 {
			got, isDraining = listed[0].Instance, listed[0].Draining
		}
		if got != test.want || isDraining != test.isDraining || len(listed) > 1 {
			t.Errorf("%s: %v, want %q", name, listed, test.want)
		}
	}
}
