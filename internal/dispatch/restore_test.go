package dispatch

import (
	"testing"
	"time"
)

// A restarted proxy continues with the workers that its earlier incarnation knew. The worker's own descriptions take
// precedence, whether they arrive before or after, and without any it is dropped after one heartbeat interval.
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
		ids           bool // workers have ids of their own, and no liveness connection
		at            time.Duration
		want          string
		isDraining    bool
	}{
		"no description yet":                        {ids: true, at: heartbeatInterval, want: "w"},
		"no description for more than the interval": {ids: true, at: heartbeatInterval + 1, want: ""},
		"a description within the interval":         {ids: true, after: []WorkerDescription{newer}, at: 3 * heartbeatInterval, want: "w"},
		"it drains":                                 {ids: true, after: []WorkerDescription{draining}, at: heartbeatInterval, want: "w", isDraining: true},
		"another incarnation of it":                 {ids: true, after: []WorkerDescription{other}, at: heartbeatInterval, want: "x"},
		"it deregisters":                            {ids: true, after: []WorkerDescription{deregistered}, at: 0, want: ""},
		"it had deregistered":                       {ids: true, before: []WorkerDescription{deregistered}, at: 0, want: ""},
		"another had registered":                    {ids: true, before: []WorkerDescription{other}, at: 0, want: "x"},
		"it had drained":                            {ids: true, before: []WorkerDescription{draining}, at: 0, want: "w", isDraining: true},
		"workers are known by a connection":         {at: 0, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			workers := NewWorkers(WorkersOptions{
				Proxy:               "p",
				MaxMissedHeartbeats: 3,
				MaxWorkers:          4,
				MaxConns:            4,
				NoLivenessConn:      test.ids,
				Now:                 func() time.Duration { return now },
			}, func() {})
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
				t.Errorf("%v, want %q", listed, test.want)
			}
		})
	}
}
