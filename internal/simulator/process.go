package simulator

import (
	"time"
)

// Durations and sizes of the simulated fleet.
const (
	leaseDuration        = 8 * time.Second         // duration of a proxy's lease and of a key reservation
	keyReservationWindow = 12 * leaseDuration      // how long registries remember a reserved key
	heartbeatTimeout     = 1500 * time.Millisecond // how long a replica that is not heard from counts as alive
	stallTimeout         = 2 * time.Second         // how long a write may take before the replica is unfit to lead
	pollInterval         = 50 * time.Millisecond   // interval at which loops poll the state of another component
	recoveryBound        = 15 * time.Second        // longest time in which service must recover after the last fault
	memberCount          = 3                       // members of the core in a mesh
)

// clock is the local clock of one process. It starts at an arbitrary offset and runs slightly fast or slow, so that
// code that wrongly compares the readings of two processes fails visibly.
type clock struct {
	offset time.Duration // local time at virtual time zero
	rate   float64       // local nanoseconds per nanosecond of virtual time
}

// at converts virtual time to local time.
func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// process is a daemon or a replica: the unit that can crash and freeze. Links are cut between hosts; see hostOf. Only
// events change it.
// World.lock guards up, processRun, thawAt, thaw and exited, because goroutines read them.
type process struct {
	name       string
	up         bool          // a run has started and not ended; the process may be frozen
	processRun int           // number of starts; events scheduled for an earlier run are dropped
	thawAt     time.Duration // virtual time until which the process is frozen; not in the future if it is not
	thaw       chan struct{} // closed when a repair thaws the process; nil before a first freeze and after such a thaw
	deferred   []func()      // tasks that came due while it was frozen, even those that have run since; only events use it
	clock      clock
	exited     chan struct{} // closed when the current run ends
}

// startProcess begins a new run of a process.
func (w *World) startProcess(p *process) {
	w.lock.Lock()
	defer w.lock.Unlock()
	p.up = true
	p.processRun++
	p.exited = make(chan struct{})
	w.recordDisturbance(w.time(), hostOf(p.name))
}

// stopProcess ends the current run of a process; it does nothing if the process is down.
func (w *World) stopProcess(p *process) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if p.up {
		p.up = false
		w.recordDisturbance(w.time(), hostOf(p.name))
		close(p.exited)
	}
}

// freeze suspends a process until a point in virtual time. A time that has passed thaws it.
func (w *World) freeze(p *process, until time.Duration) {
	w.lock.Lock()
	p.thawAt = until
	w.recordDisturbance(max(until, w.time()), hostOf(p.name))
	var deferred []func()
	if until > w.time() && p.thaw == nil {
		p.thaw = make(chan struct{})
	} else if until <= w.time() && p.thaw != nil {
		// A process that thaws early runs its deferred tasks at once; see scheduleOn.
		close(p.thaw)
		deferred = p.deferred
		p.deferred = nil
		p.thaw = nil
	}
	w.lock.Unlock()
	for _, task := range deferred {
		w.schedule(0, task)
	}
}

// isResponsive reports whether a process is up and not frozen.
func (w *World) isResponsive(p *process) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return p.up && p.thawAt <= w.time()
}

// processRunOf returns the number of a process's current run, the channel that closes when it ends, and whether the
// process is up.
func (w *World) processRunOf(p *process) (processRun int, exited chan struct{}, up bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return p.processRun, p.exited, p.up
}

// awaitThaw blocks a goroutine while the process that it belongs to is frozen. It returns false once the given run has
// ended.
func (w *World) awaitThaw(p *process, processRun int) bool {
	for {
		w.lock.Lock()
		remaining := p.thawAt - w.time()
		isSameRun := p.up && p.processRun == processRun
		exited, thaw := p.exited, p.thaw
		w.lock.Unlock()
		if !isSameRun || remaining <= 0 {
			return isSameRun
		}
		select {
		case <-exited:
		case <-thaw:
		case <-time.After(remaining):
		}
	}
}
