package simulator

import (
	"time"
)

// Timing and size of the simulated fleet.
const (
	leaseDuration        = 8 * time.Second    // of a proxy's lease and of a key reservation
	keyReservationWindow = 12 * leaseDuration // for which registries remember a reserved key
	heartbeatTimeout     = 1500 * time.Millisecond
	stallTimeout         = 2 * time.Second       // after which a replica treats a pending write as stalled
	pollInterval         = 50 * time.Millisecond // of the loops that follow the state of another part
	recoveryBound        = 15 * time.Second      // within which service is back after the last fault
	memberCount          = 3                     // of the core in a mesh
)

// clock is the local clock of one process. It starts at an arbitrary offset and runs slightly fast or slow, so
// that code which compares the readings of two processes misbehaves visibly.
type clock struct {
	offset time.Duration
	rate   float64 // local nanoseconds per nanosecond of virtual time
}

// at converts virtual time to local time.
func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// process is what can crash, freeze and be partitioned. Only events change it; World.lock guards up, processRun,
// thawAt, thaw and exited because goroutines read them.
type process struct {
	name       string
	up         bool
	processRun int // counts starts, so that events scheduled for an earlier run are dropped
	thawAt     time.Duration
	thaw       chan struct{} // closed when the process thaws before thawAt; nil while it is not frozen
	deferred   []func()      // tasks that came due while the process was frozen; events only
	clock      clock
	exited     chan struct{} // closed when the current run ends
}

// startProcess begins a new run of a process.
func (w *World) startProcess(m *process) {
	w.lock.Lock()
	defer w.lock.Unlock()
	m.up = true
	m.processRun++
	m.exited = make(chan struct{})
	w.recordDisturbance(w.time(), hostOf(m.name))
}

// stopProcess ends the current run of a process; it does nothing if the process is down.
func (w *World) stopProcess(m *process) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if m.up {
		m.up = false
		w.recordDisturbance(w.time(), hostOf(m.name))
		close(m.exited)
	}
}

// freeze suspends a process until a point in virtual time; a time that has passed thaws it.
func (w *World) freeze(m *process, until time.Duration) {
	w.lock.Lock()
	m.thawAt = until
	w.recordDisturbance(max(until, w.time()), hostOf(m.name))
	var deferred []func()
	if until > w.time() && m.thaw == nil {
		m.thaw = make(chan struct{})
	} else if until <= w.time() && m.thaw != nil {
		// A process that thaws early runs its deferred tasks at once; see scheduleOn.
		close(m.thaw)
		deferred = m.deferred
		m.deferred = nil
		m.thaw = nil
	}
	w.lock.Unlock()
	for _, task := range deferred {
		w.schedule(0, task)
	}
}

// isResponsive reports whether a process is up and not frozen.
func (w *World) isResponsive(m *process) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return m.up && m.thawAt <= w.time()
}

// processRunOf returns the number of a process's current run, the channel that closes with it, and whether it is up.
func (w *World) processRunOf(m *process) (processRun int, exited chan struct{}, up bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return m.processRun, m.exited, m.up
}

// awaitThaw blocks a goroutine while the process it belongs to is frozen. It returns false if the given run has ended.
func (w *World) awaitThaw(m *process, processRun int) bool {
	for {
		w.lock.Lock()
		remaining := m.thawAt - w.time()
		isSameRun := m.up && m.processRun == processRun
		exited, thaw := m.exited, m.thaw
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
