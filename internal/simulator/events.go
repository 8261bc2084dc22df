package simulator

import (
	"container/heap"
	"time"
)

// event is a function to run at a point in virtual time.
type event struct {
	at       time.Duration // virtual time at which the event is due
	sequence uint64        // position in the order of scheduling; breaks ties between events due at the same time
	run      func()
}

// eventQueue is a min-heap of scheduled events, ordered by due time. Its methods implement heap.Interface.
type eventQueue []event

// Len returns the number of scheduled events.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by due time, then by the order in which they were scheduled.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event for heap.Push.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event for heap.Pop.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule schedules a function as an event that is due after a delay. Events and goroutines may call it.
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

// scheduleOn runs a function on a process after a delay, unless the current run of the process ends before. If the
// process is frozen when the task is due, the task waits for the thaw. It is then kept in process.deferred, and also
// scheduled for the planned end of the freeze. Whichever comes first runs it. The flag done makes the other a no-op.
func (w *World) scheduleOn(p *process, delay time.Duration, run func()) {
	processRun, _, _ := w.processRunOf(p)
	var task func()
	done := false
	task = func() {
		if done || !p.up || p.processRun != processRun {
			return
		}
		if p.thawAt > w.now {
			p.deferred = append(p.deferred, task)
			w.schedule(p.thawAt-w.now, task)
			return
		}
		done = true
		run()
	}
	w.schedule(delay, task)
}

// scheduleEvery runs a function on a process at an interval until the current run of the process ends. The first
// execution is due after a random part of the interval, so that the loops of several processes do not run in step.
func (w *World) scheduleEvery(p *process, interval time.Duration, run func()) {
	var runAndReschedule func()
	runAndReschedule = func() {
		run()
		w.scheduleOn(p, interval, runAndReschedule)
	}
	w.scheduleOn(p, w.randomDuration(interval), runAndReschedule)
}

// retryEvery calls attempt at once and then at an interval, until it returns true.
func (w *World) retryEvery(interval time.Duration, attempt func() (done bool)) {
	var retry func()
	retry = func() {
		if !attempt() {
			w.schedule(interval, retry)
		}
	}
	retry()
}
