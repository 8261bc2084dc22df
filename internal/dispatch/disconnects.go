package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Disconnects counts callers that disconnect before their call is answered, and what becomes of these calls. The
// caller's proxy counts Detected and HalfClosed. The worker's proxy counts the others.
type Disconnects struct {
	Detected   atomic.Uint64 // callers that were found to have disconnected while their call was in flight
	HalfClosed atomic.Uint64 // callers that closed only their sending side, and still read
	Propagated atomic.Uint64 // disconnects that the worker's proxy learned of while the call was sent to the worker or ran
	Dequeued   atomic.Uint64 // calls that ended without having run, most of them removed from a worker's queue
	Canceled   atomic.Uint64 // runs of idempotent calls that the disconnect ended
	RanToEnd   atomic.Uint64 // runs of non-idempotent calls, which the disconnect did not end

	// SentLate and Overrun count violations of invariants, so they must stay 0.
	SentLate atomic.Uint64 // calls sent to a worker more than MaxOverrun after their caller was known to have disconnected
	Overrun  atomic.Uint64 // runs of idempotent calls that continued for longer than MaxOverrun and its grace

	longestOverrun atomic.Int64 // longest time, in nanoseconds, that an idempotent run continued after a known disconnect
}

// DisconnectCounts is a snapshot of the counts of [Disconnects]. The JSON keys are older than the fields' names.
type DisconnectCounts struct {
	Detected   uint64 `json:"noticed"`
	HalfClosed uint64 `json:"halfClosed"`
	Propagated uint64 `json:"told"`
	Dequeued   uint64 `json:"dropped"`
	Canceled   uint64 `json:"stopped"`
	RanToEnd   uint64 `json:"kept"`
	SentLate   uint64 `json:"handedLate"`
	Overrun    uint64 `json:"overrun"`
	// LongestMS is the longest time that an idempotent run continued after a known disconnect, in milliseconds.
	LongestMS int64 `json:"longestMs"`
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

// Add adds other counts. LongestMS becomes the larger one of both.
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

// Violations returns how often an invariant was violated: the sum of SentLate and Overrun.
func (c DisconnectCounts) Violations() uint64 { return c.SentLate + c.Overrun }

// overrunWatch watches, at the worker's proxy, the caller of one call while the call is sent to a worker and runs. Once
// the caller is known to have disconnected, an idempotent run must end within maxOverrun and a grace period. Otherwise
// it is a violation.
type overrunWatch struct {
	counts     *Disconnects
	now        func() time.Duration // returns the process clock
	stop       func() bool          // detaches the watch from the caller's context
	maxOverrun time.Duration        // time that the run may take after the disconnect; 0 turns the detection of overruns off
	mustStop   bool                 // the run must end when its caller disconnects

	lock           sync.Mutex    // guards the fields below
	disconnectedAt time.Duration // time at which the disconnect became known, on the process clock; 0 before
	timer          *time.Timer   // ends maxOverrun, and then the grace period; nil if neither has begun
	finished       bool          // the run has ended
}

// graceDivisor sets the length of the grace period after maxOverrun: 1/graceDivisor of maxOverrun. In that time, a
// process that was suspended meanwhile can still end the run.
const graceDivisor = 4

// watchCaller starts to watch the caller whose disconnect ends ctx. finish must be called when the run ends. mustStop
// reports whether the run must end when its caller disconnects.
func (d *Disconnects) watchCaller(ctx context.Context, mustStop bool, maxOverrun time.Duration, now func() time.Duration) *overrunWatch {
	watch := &overrunWatch{counts: d, now: now, maxOverrun: maxOverrun, mustStop: mustStop}
	watch.stop = context.AfterFunc(ctx, watch.onDisconnect)
	return watch
}

// onDisconnect records the disconnect, and starts the time within which the run must end.
func (w *overrunWatch) onDisconnect() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.finished {
		return
	}
	w.recordDisconnect()
	if w.mustStop && w.maxOverrun > 0 {
		w.timer = time.AfterFunc(w.maxOverrun, w.startGrace)
	}
}

// recordDisconnect records that the disconnect is known now. The caller holds the lock.
func (w *overrunWatch) recordDisconnect() {
	w.disconnectedAt = max(1, w.now())
	w.counts.Propagated.Add(1)
}

// startGrace starts the grace period of a run that has used up maxOverrun. recordOverrun is called at its end.
func (w *overrunWatch) startGrace() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.finished {
		w.timer = time.AfterFunc(w.maxOverrun/graceDivisor, w.recordOverrun)
	}
}

// recordOverrun counts a run that has not ended by the end of its grace period.
func (w *overrunWatch) recordOverrun() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !w.finished {
		w.counts.Overrun.Add(1)
	}
}

// finish ends the watch when the run ends. It returns whether the disconnect of the caller became known, and at what time
// on the process clock.
func (w *overrunWatch) finish() (disconnectedAt time.Duration, disconnected bool) {
	detached := w.stop()
	w.lock.Lock()
	defer w.lock.Unlock()
	// The disconnect itself may have ended the run, before the goroutine of onDisconnect got to record it.
	if !detached && w.disconnectedAt == 0 {
		w.recordDisconnect()
	}
	w.finished = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.disconnectedAt, w.disconnectedAt > 0
}

// recordOverrunTime records how long an idempotent run continued after the disconnect was known. Only the longest time is
// kept.
func (d *Disconnects) recordOverrunTime(overrun time.Duration) {
	for {
		longest := d.longestOverrun.Load()
		if int64(overrun) <= longest || d.longestOverrun.CompareAndSwap(longest, int64(overrun)) {
			return
		}
	}
}
