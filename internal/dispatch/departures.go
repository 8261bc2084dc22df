package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/schema"
)

// Departures counts what becomes of calls whose callers leave before they are answered. The proxy
// that took a call counts Noticed and HalfClosed; the proxy beside the worker counts the rest.
type Departures struct {
	Noticed    atomic.Uint64 // callers found gone while their call was under way
	HalfClosed atomic.Uint64 // callers that ended only their sending side, and still read
	Dropped    atomic.Uint64 // calls taken out of a worker's queue, unrun
	Stopped    atomic.Uint64 // runs of repeatable calls that were ended for it
	Kept       atomic.Uint64 // runs of calls that may not be repeated, which went on to their end

	// The next two are violations of what must hold, so they stay 0.
	HandedLate atomic.Uint64 // calls handed to a worker though their caller was known to be gone
	Overrun    atomic.Uint64 // runs of repeatable calls that went on for longer than is allowed after it

	longest atomic.Int64 // that a repeatable run went on, after its caller was known to be gone
}

// DepartureCounts are the counts of Departures at one moment.
type DepartureCounts struct {
	Noticed    uint64 `json:"noticed"`
	HalfClosed uint64 `json:"halfClosed"`
	Dropped    uint64 `json:"dropped"`
	Stopped    uint64 `json:"stopped"`
	Kept       uint64 `json:"kept"`
	HandedLate uint64 `json:"handedLate"`
	Overrun    uint64 `json:"overrun"`
	LongestMS  int64  `json:"longestMs"`
}

// Counts gives the counts as they are now.
func (d *Departures) Counts() DepartureCounts {
	return DepartureCounts{Noticed: d.Noticed.Load(), HalfClosed: d.HalfClosed.Load(), Dropped: d.Dropped.Load(), Stopped: d.Stopped.Load(),
		Kept: d.Kept.Load(), HandedLate: d.HandedLate.Load(), Overrun: d.Overrun.Load(), LongestMS: time.Duration(d.longest.Load()).Milliseconds()}
}

// Violations is how often what must hold did not.
func (c DepartureCounts) Violations() uint64 { return c.HandedLate + c.Overrun }

// ranOn notes for how long a repeatable run went on after its caller was known to be gone; most is
// what is allowed.
func (d *Departures) ranOn(lasted, most time.Duration) {
	if lasted > most {
		d.Overrun.Add(1)
	}
	for {
		longest := d.longest.Load()
		if int64(lasted) <= longest || d.longest.CompareAndSwap(longest, int64(lasted)) {
			return
		}
	}
}

// endOf names why a call's context has ended: its time is over, or its caller, or the proxy that took
// the call, has left.
func endOf(ctx context.Context) defect.Kind {
	if errors.Is(ctx.Err(), context.Canceled) {
		return defect.CallerGone
	}
	return defect.HorizonPast
}

// calledOff tells whether a dispatch ended because nobody waits for it any more. That says nothing of
// its worker, of the version that runs there, or of the link.
func calledOff(carried *schema.Carried) bool { return defect.Kind(carried.Defect) == defect.CallerGone }

// departure is when the caller of a call under way was known to be gone.
type departure struct {
	at   atomic.Int64 // 0 for not known
	stop func() bool
}

// followCaller notes when a call's context ends, until end is called.
func followCaller(ctx context.Context, now func() time.Duration) *departure {
	d := &departure{}
	d.stop = context.AfterFunc(ctx, func() { d.at.Store(max(1, int64(now()))) })
	return d
}

// end tells when the caller left, if it has.
func (d *departure) end() (at time.Duration, left bool) {
	d.stop()
	at = time.Duration(d.at.Load())
	return at, at > 0
}
