package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Disconnects counts what becomes of calls whose callers leave before they are answered. The proxy
// that took a call counts Noticed and HalfClosed; the proxy beside the worker counts the rest.
type Disconnects struct {
	Detected   atomic.Uint64 // callers found gone while their call was under way
	HalfClosed atomic.Uint64 // callers that ended only their sending side, and still read
	Propagated atomic.Uint64 // callers known to be gone at the worker's proxy, while it was handing their call over or it ran
	Dequeued   atomic.Uint64 // calls taken out of a worker's queue, unrun
	Canceled   atomic.Uint64 // runs of repeatable calls that were ended for it
	RanToEnd   atomic.Uint64 // runs of calls that may not be repeated, which went on to their end

	// The next two are violations of what must hold, so they stay 0.
	SentLate atomic.Uint64 // calls handed to a worker though their caller was known to be gone
	Overrun  atomic.Uint64 // runs of repeatable calls that went on for longer than is allowed after it

	longestOverrun atomic.Int64 // that a repeatable run went on, after its caller was known to be gone
}

// DisconnectCounts are the counts of Departures at one moment.
type DisconnectCounts struct {
	Detected   uint64 `json:"noticed"`
	HalfClosed uint64 `json:"halfClosed"`
	Propagated uint64 `json:"told"`
	Dequeued   uint64 `json:"dropped"`
	Canceled   uint64 `json:"stopped"`
	RanToEnd   uint64 `json:"kept"`
	SentLate   uint64 `json:"handedLate"`
	Overrun    uint64 `json:"overrun"`
	LongestMS  int64  `json:"longestMs"`
}

// Counts gives the counts as they are now.
func (d *Disconnects) Counts() DisconnectCounts {
	return DisconnectCounts{Detected: d.Detected.Load(), HalfClosed: d.HalfClosed.Load(), Propagated: d.Propagated.Load(), Dequeued: d.Dequeued.Load(), Canceled: d.Canceled.Load(),
		RanToEnd: d.RanToEnd.Load(), SentLate: d.SentLate.Load(), Overrun: d.Overrun.Load(), LongestMS: time.Duration(d.longestOverrun.Load()).Milliseconds()}
}

// Add adds other counts; of the longest run the longer counts.
func (c *DisconnectCounts) Add(other DisconnectCounts) {
	c.Detected += other.Detected
	c.HalfClosed += other.HalfClosed
	c.Propagated += other.Propagated
	c.Dequeued += other.Dequeued
	c.Canceled += other.Canceled
	c.RanToEnd += other.RanToEnd
	c.SentLate += other.SentLate
	c.Overrun += other.Overrun
	c.LongestMS = max(c.LongestMS, other.LongestMS)
}

// Violations is how often what must hold did not.
func (c DisconnectCounts) Violations() uint64 { return c.SentLate + c.Overrun }

// disconnectWatch follows the caller of one call that is handed to a worker. Once the caller is known to be gone, a
// repeatable run has MaxOverrun to end; if it has not, that is a violation.
type disconnectWatch struct {
	counts     *Disconnects
	now        func() time.Duration
	stop       func() bool
	maxOverrun time.Duration
	mustStop   bool // the run must end with its caller

	lock           sync.Mutex
	disconnectedAt time.Duration // when the caller was known to be gone, 0 while it is not
	timer          *time.Timer
	finished       bool // the run has ended
}

// graceDivisor is the part of the time allowed that a run gets besides, so that a process which was stopped
// in the meantime can still end it.
const graceDivisor = 4

// watchCaller follows the caller whose leaving ends ctx, until end is called.
func (d *Disconnects) watchCaller(ctx context.Context, mustStop bool, maxOverrun time.Duration, now func() time.Duration) *disconnectWatch {
	watch := &disconnectWatch{counts: d, now: now, maxOverrun: maxOverrun, mustStop: mustStop}
	watch.stop = context.AfterFunc(ctx, watch.onDisconnect)
	return watch
}

// onDisconnect notes that the caller is gone.
func (w *disconnectWatch) onDisconnect() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.finished {
		return
	}
	w.disconnectedAt = max(1, w.now())
	w.counts.Propagated.Add(1)
	if w.mustStop && w.maxOverrun > 0 {
		w.timer = time.AfterFunc(w.maxOverrun, w.extendGrace)
	}
}

// extendGrace gives a run that is over its time the rest of it.
func (w *disconnectWatch) extendGrace() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.finished {
		w.timer = time.AfterFunc(w.maxOverrun/graceDivisor, w.recordOverrun)
	}
}

// recordOverrun counts a run that did not end with its caller.
func (w *disconnectWatch) recordOverrun() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.finished {
		w.counts.Overrun.Add(1)
	}
}

// finish ends the following with the run. It tells when the caller left, if it has.
func (w *disconnectWatch) finish() (disconnectedAt time.Duration, disconnected bool) {
	w.stop()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.finished = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.disconnectedAt, w.disconnectedAt > 0
}

// recordOverrunTime notes for how long a repeatable run went on after its caller was known to be gone.
func (d *Disconnects) recordOverrunTime(overrun time.Duration) {
	for {
		longest := d.longestOverrun.Load()
		if int64(overrun) <= longest || d.longestOverrun.CompareAndSwap(longest, int64(overrun)) {
			return
		}
	}
}
