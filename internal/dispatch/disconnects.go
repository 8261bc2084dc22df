package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Disconnects counts what becomes of calls whose callers disconnect before they are answered. The proxy that received a
// call counts Detected and HalfClosed; the proxy beside the worker counts the rest.
type Disconnects struct {
	Detected   atomic.Uint64 // callers that were found to have disconnected while their call was under way
	HalfClosed atomic.Uint64 // callers that closed only their sending side, and still read
	Propagated atomic.Uint64 // disconnects known at the worker's proxy while the call was sent to the worker or ran
	Dequeued   atomic.Uint64 // calls removed from a worker's queue without having run
	Canceled   atomic.Uint64 // runs of idempotent calls that were ended for it
	RanToEnd   atomic.Uint64 // runs of non-idempotent calls, which went on to their end

	// The next two count violations of invariants, so they stay 0.
	SentLate atomic.Uint64 // calls sent to a worker although their caller was known to have disconnected
	Overrun  atomic.Uint64 // runs of idempotent calls that went on for longer than is allowed after it

	longestOverrun atomic.Int64 // nanoseconds that an idempotent run went on after the disconnect was known
}

// DisconnectCounts are the counts of Disconnects at one moment. The JSON keys are older than the fields' names.
type DisconnectCounts struct {
	Detected   uint64 `json:"noticed"`
	HalfClosed uint64 `json:"halfClosed"`
	Propagated uint64 `json:"told"`
	Dequeued   uint64 `json:"dropped"`
	Canceled   uint64 `json:"stopped"`
	RanToEnd   uint64 `json:"kept"`
	SentLate   uint64 `json:"handedLate"`
	Overrun    uint64 `json:"overrun"`
	LongestMS  int64  `json:"longestMs"` // longest overrun of an idempotent run, in milliseconds
}

// Counts returns the current counts.
func (d *Disconnects) Counts() DisconnectCounts {
	return DisconnectCounts{
		Detected:   d.Detected.Load(),
		HalfClosed: d.HalfClosed.Load(),
		Propagated: d.Propagated.Load(),
		Dequeued:   d.Dequeued.Load(),
		Canceled:   d.Canceled.Load(),
		RanToEnd:   d.RanToEnd.Load(),
		SentLate:   d.SentLate.Load(),
		Overrun:    d.Overrun.Load(),
		LongestMS:  time.Duration(d.longestOverrun.Load()).Milliseconds(),
	}
}

// Add adds other counts. Of the longest overruns it keeps the longer one.
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

// Violations returns how often an invariant was violated.
func (c DisconnectCounts) Violations() uint64 { return c.SentLate + c.Overrun }

// disconnectWatch watches the caller of one call that is sent to a worker. Once the caller is known to have
// disconnected, an idempotent run has maxOverrun to end; a longer one is a violation.
type disconnectWatch struct {
	counts     *Disconnects
	now        func() time.Duration
	stop       func() bool // stops the watch of the context
	maxOverrun time.Duration
	mustStop   bool // the run must end when its caller disconnects

	lock           sync.Mutex    // guards the fields below
	disconnectedAt time.Duration // when the disconnect was known, 0 for not yet
	timer          *time.Timer   // counts an overrun unless the run ends first
	finished       bool          // the run has ended
}

// graceDivisor is the part of maxOverrun that a run gets in addition, so that a process which was suspended meanwhile
// can still end it.
const graceDivisor = 4

// watchCaller watches the caller whose disconnect ends ctx, until finish is called.
func (d *Disconnects) watchCaller(ctx context.Context, mustStop bool, maxOverrun time.Duration, now func() time.Duration) *disconnectWatch {
	watch := &disconnectWatch{counts: d, now: now, maxOverrun: maxOverrun, mustStop: mustStop}
	watch.stop = context.AfterFunc(ctx, watch.onDisconnect)
	return watch
}

// onDisconnect records the disconnect.
func (w *disconnectWatch) onDisconnect() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.finished {
		return
	}
	w.disconnectedAt = max(1, w.now())
	w.counts.Propagated.Add(1)
	if w.mustStop && w.maxOverrun > 0 {
		w.timer = time.AfterFunc(w.maxOverrun, w.startGrace)
	}
}

// startGrace starts the grace period of a run that has used up maxOverrun; recordOverrun ends it.
func (w *disconnectWatch) startGrace() {
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

// finish ends the watch together with the run. It returns when the caller disconnected, if it has.
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

// recordOverrunTime records for how long an idempotent run went on after the disconnect was known.
func (d *Disconnects) recordOverrunTime(overrun time.Duration) {
	for {
		longest := d.longestOverrun.Load()
		if int64(overrun) <= longest || d.longestOverrun.CompareAndSwap(longest, int64(overrun)) {
			return
		}
	}
}
