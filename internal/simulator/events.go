package simulator

import (
	"container/heap"
	"time"
)

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule lets something happen later; events and goroutines may call it.
func (w *World) schedule(delay time.Duration, run func()) {
	w.lock.Lock()
	w.lastEventSequence++
	heap.Push(&w.events, event{w.time() + delay, w.lastEventSequence, run})
	w.lock.Unlock()
	select {
	case w.eventAdded <- struct{}{}:
	default:
	}
}

// scheduleOn runs something on a machine, in this life only; a frozen machine does it when it thaws.
func (w *World) scheduleOn(m *process, delay time.Duration, run func()) {
	processRun, _, _ := w.processRunOf(m)
	var task func()
	done := false
	task = func() {
		if done || !m.up || m.processRun != processRun {
			return
		}
		if m.thawAt > w.now {
			m.deferred = append(m.deferred, task)
			w.schedule(m.thawAt-w.now, task)
			return
		}
		done = true
		run()
	}
	w.schedule(delay, task)
}

func (w *World) scheduleEvery(m *process, interval time.Duration, run func()) {
	var runAndReschedule func()
	runAndReschedule = func() {
		run()
		w.scheduleOn(m, interval, runAndReschedule)
	}
	w.scheduleOn(m, w.randomDuration(interval), runAndReschedule)
}
