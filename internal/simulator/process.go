package simulator

import (
	"time"
)

// Bounds of the simulated fleet.
const (
	leaseDuration        = 8 * time.Second
	keyReservationWindow = 12 * leaseDuration
	heartbeatTimeout     = 1500 * time.Millisecond
	stallTimeout         = 2 * time.Second
	pollInterval         = 50 * time.Millisecond
	recoveryBound        = 15 * time.Second
	memberCount          = 3
)

// clock is a node's own: it starts anywhere and runs a little fast or slow.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// process is what can die, freeze and be cut off. Only events change it.
type process struct {
	name       string
	up         bool
	processRun int // counts starts, so that events of an earlier life are dropped
	thawAt     time.Duration
	thaw       chan struct{} // closed once it thaws before that; nil while it is not frozen
	deferred   []func()      // what it was held up in
	clock      clock
	exited     chan struct{} // closed when this life ends
}

// startProcess and fall begin and end a machine's life.
func (w *World) startProcess(m *process) {
	w.lock.Lock()
	defer w.lock.Unlock()
	m.up, m.processRun, m.exited = true, m.processRun+1, make(chan struct{})
	w.markDisturbed(w.time(), hostOf(m.name))
}

func (w *World) stopProcess(m *process) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if m.up {
		m.up = false
		w.markDisturbed(w.time(), hostOf(m.name))
		close(m.exited)
	}
}

// freeze lets a machine do nothing until a time.
func (w *World) freeze(m *process, until time.Duration) {
	w.lock.Lock()
	m.thawAt = until
	w.markDisturbed(max(until, w.time()), hostOf(m.name))
	var deferred []func()
	if until > w.time() && m.thaw == nil {
		m.thaw = make(chan struct{})
	} else if until <= w.time() && m.thaw != nil {
		// Who is thawed early does at once what it was held up in.
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

// isResponsive tells whether a machine is up and not frozen.
func (w *World) isResponsive(m *process) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return m.up && m.thawAt <= w.time()
}

// processRunOf gives a machine's life and what closes with it.
func (w *World) processRunOf(m *process) (processRun int, exited chan struct{}, up bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return m.processRun, m.exited, m.up
}

// awaitThaw waits while a machine is frozen; false if its life has ended.
func (w *World) awaitThaw(m *process, processRun int) bool {
	for {
		w.lock.Lock()
		remaining, isSameRun, exited, thaw := m.thawAt-w.time(), m.up && m.processRun == processRun, m.exited, m.thaw
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
