// Package journal keeps the state of a process as a fold over its events. Each appended event produces a new view from
// the previous one, and readers get the latest view without a lock. Nothing is written to disk.
//
// The proxy and the simulator keep their state in a Journal. All methods are safe for concurrent use.
package journal

import (
	"context"
	"sync"
	"sync/atomic"
)

// Journal folds events into a view and retains the most recent events.
type Journal[Event, View any] struct {
	fold func(View, Event) View // returns the view after an event
	view atomic.Pointer[View]   // latest view; written with lock held, read without it

	lock    sync.Mutex    // guards the fields below
	recent  []Event       // ring buffer of the retained events; its capacity is fixed by New
	next    int           // index of the oldest event in recent; 0 until recent is full
	changed chan struct{} // closed and replaced by each Append
}

// New returns a journal whose first view is initial, and which retains the last events, at most retained of them. fold
// returns the view after an event. It must not modify the view that it gets, and must not call the journal's methods,
// because the journal is locked meanwhile.
func New[Event, View any](initial View, retained int, fold func(View, Event) View) *Journal[Event, View] {
	j := &Journal[Event, View]{fold: fold, recent: make([]Event, 0, retained), changed: make(chan struct{})}
	j.view.Store(&initial)
	return j
}

// Append folds an event into the view, wakes all waiting calls of Wait, and returns the new view.
func (j *Journal[Event, View]) Append(event Event) View {
	j.lock.Lock()
	defer j.lock.Unlock()
	folded := j.fold(*j.view.Load(), event)
	j.view.Store(&folded)
	if len(j.recent) < cap(j.recent) {
		j.recent = append(j.recent, event)
	} else if cap(j.recent) > 0 {
		j.recent[j.next] = event
		j.next = (j.next + 1) % cap(j.recent)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	return folded
}

// View returns the latest view.
func (j *Journal[Event, View]) View() View { return *j.view.Load() }

// Wait blocks until ready is true for the latest view, and returns that view and true. If ctx ends first, it returns
// the last view that it checked and false. It may skip views that are replaced quickly.
func (j *Journal[Event, View]) Wait(ctx context.Context, ready func(View) bool) (View, bool) {
	for {
		j.lock.Lock()
		view, changed := *j.view.Load(), j.changed
		j.lock.Unlock()
		if ready(view) {
			return view, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view, false
		}
	}
}

// Recent returns a copy of the retained events, oldest first.
func (j *Journal[Event, View]) Recent() []Event {
	j.lock.Lock()
	defer j.lock.Unlock()
	return append(append([]Event(nil), j.recent[j.next:]...), j.recent[:j.next]...)
}
