package dispatch

import (
	"testing"
	"time"
)

// A restarted proxy restores the workers that its earlier incarnation knew. A worker's own descriptions take
// precedence, whether they arrive before or after that. Without any, a restored worker is dropped after one heartbeat
// interval.
func TestOwnDescriptionsOverrideRestoredWorkers(t *testing.T) {
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
		before, after  []WorkerDescription // descriptions that arrive before and after Restore
		noLivenessConn bool                // WorkersOptions.NoLivenessConn
		at             time.Duration       // time of the listing, on the process clock
		want           string              // instance that is listed; empty for none
		wantDraining   bool                // the listed worker is draining
	}{
		"no description within the interval: listed":                  {noLivenessConn: true, at: heartbeatInterval, want: "w"},
		"no description after the interval: dropped":                  {noLivenessConn: true, at: heartbeatInterval + 1, want: ""},
		"description within the interval: listed":                     {noLivenessConn: true, after: []WorkerDescription{newer}, at: 3 * heartbeatInterval, want: "w"},
		"drains after restore: listed as draining":                    {noLivenessConn: true, after: []WorkerDescription{draining}, at: heartbeatInterval, want: "w", wantDraining: true},
		"new incarnation after restore: replaces the restored worker": {noLivenessConn: true, after: []WorkerDescription{other}, at: heartbeatInterval, want: "x"},
		"deregisters after restore: not listed":                       {noLivenessConn: true, after: []WorkerDescription{deregistered}, at: 0, want: ""},
		"deregistered before restore: not restored":                   {noLivenessConn: true, before: []WorkerDescription{deregistered}, at: 0, want: ""},
		"new incarnation before restore: not replaced":                {noLivenessConn: true, before: []WorkerDescription{other}, at: 0, want: "x"},
		"drained before restore: remains draining":                    {noLivenessConn: true, before: []WorkerDescription{draining}, at: 0, want: "w", wantDraining: true},
		"liveness connections: not restored":                          {at: 0, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			workers := NewWorkers(WorkersOptions{
				Proxy:               "p",
				MaxMissedHeartbeats: 3,
				MaxWorkers:          4,
				MaxConns:            4,
				NoLivenessConn:      test.noLivenessConn,
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
			if got != test.want || isDraining != test.wantDraining || len(listed) > 1 {
				t.Errorf("List at %v: got the workers %v, want only the instance %q (none if empty) with draining %t", test.at, listed, test.want, test.wantDraining)
			}
		})
	}
}
