package dispatch

import (
	"context"
	"errors"
	"sync"
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
	Told       atomic.Uint64 // callers known to be gone at the worker's proxy, while it was handing their call over or it ran
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
	Told       uint64 `json:"told"`
	Dropped    uint64 `json:"dropped"`
	Stopped    uint64 `json:"stopped"`
	Kept       uint64 `json:"kept"`
	HandedLate uint64 `json:"handedLate"`
	Overrun    uint64 `json:"overrun"`
	LongestMS  int64  `json:"longestMs"`
}

// Counts gives the counts as they are now.
func (d *Departures) Counts() DepartureCounts {
	return DepartureCounts{Noticed: d.Noticed.Load(), HalfClosed: d.HalfClosed.Load(), Told: d.Told.Load(), Dropped: d.Dropped.Load(), Stopped: d.Stopped.Load(),
		Kept: d.Kept.Load(), HandedLate: d.HandedLate.Load(), Overrun: d.Overrun.Load(), LongestMS: time.Duration(d.longest.Load()).Milliseconds()}
}

// Add adds other counts; of the longest run the longer counts.
func (c *DepartureCounts) Add(other DepartureCounts) {
	c.Noticed += other.Noticed
	c.HalfClosed += other.HalfClosed
	c.Told += other.Told
	c.Dropped += other.Dropped
	c.Stopped += other.Stopped
	c.Kept += other.Kept
	c.HandedLate += other.HandedLate
	c.Overrun += other.Overrun
	c.LongestMS = max(c.LongestMS, other.LongestMS)
}

// Violations is how often what must hold did not.
func (c DepartureCounts) Violations() uint64 { return c.HandedLate + c.Overrun }

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

// departure follows the caller of one call that is handed to a worker. Once the caller is known to be gone, a
// repeatable run has OverrunMost to end; if it has not, that is a violation.
type departure struct {
	counts  *Departures
	now     func() time.Duration
	stop    func() bool
	most    time.Duration
	limited bool // the run must end with its caller

	lock  sync.Mutex
	at    time.Duration // when the caller was known to be gone, 0 while it is not
	timer *time.Timer
	over  bool // the run has ended
}

// graceParts is the part of the time allowed that a run gets besides, so that a process which was stopped
// in the meantime can still end it.
const graceParts = 4

// followCaller follows the caller whose leaving ends ctx, until end is called.
func (d *Departures) followCaller(ctx context.Context, limited bool, most time.Duration, now func() time.Duration) *departure {
	one := &departure{counts: d, now: now, most: most, limited: limited}
	one.stop = context.AfterFunc(ctx, one.left)
	return one
}

// left notes that the caller is gone.
func (d *departure) left() {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.over {
		return
	}
	d.at = max(1, d.now())
	d.counts.Told.Add(1)
	if d.limited && d.most > 0 {
		d.timer = time.AfterFunc(d.most, d.late)
	}
}

// late gives a run that is over its time the rest of it.
func (d *departure) late() {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.over {
		d.timer = time.AfterFunc(d.most/graceParts, d.overrun)
	}
}

// overrun counts a run that did not end with its caller.
func (d *departure) overrun() {
	d.lock.Lock()
	defer d.lock.Unlock()
	if !d.over {
		d.counts.Overrun.Add(1)
	}
}

// end ends the following with the run. It tells when the caller left, if it has.
func (d *departure) end() (at time.Duration, left bool) {
	d.stop()
	d.lock.Lock()
	defer d.lock.Unlock()
	d.over = true
	if d.timer != nil {
		d.timer.Stop()
	}
	return d.at, d.at > 0
}

// lasted notes for how long a repeatable run went on after its caller was known to be gone.
func (d *Departures) lasted(span time.Duration) {
	for {
		longest := d.longest.Load()
		if int64(span) <= longest || d.longest.CompareAndSwap(longest, int64(span)) {
			return
		}
	}
}
