// Package journal holds the state of a process as a fold over its events: events are appended, each gives a new
// view from the one before, and readers get the latest view without a lock. Nothing is written to disk.
//
// The proxy and the simulator hold their state in one. All methods are safe for concurrent use.
package journal

import (
	"context"
	"sync"
	"sync/atomic"
)

// Journal folds events into a view and retains the last of them.
type Journal[Event, View any] struct {
	fold func(View, Event) View
	view atomic.Pointer[View] // written with lock held, read without

	lock    sync.Mutex    // guards the fields below
	recent  []Event       // ring buffer of the retained events
	next    int           // index of the oldest event in recent, once it is full
	changed chan struct{} // closed and replaced by each Append
}

// New makes a journal that starts from a view and retains the last events, at most as many as retained says. fold
// gives the view after an event; it must not change the view that it gets, and is called with the journal locked.
func New[Event, View any](initial View, retained int, fold func(View, Event) View) *Journal[Event, View] {
	j := &Journal[Event, View]{fold: fold, recent: make([]Event, 0, retained), changed: make(chan struct{})}
	j.view.Store(&initial)
	return j
}

// Append folds an event into the view, wakes all calls of Wait, and gives the new view.
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

// View gives the latest view.
func (j *Journal[Event, View]) View() View { return *j.view.Load() }

// Wait gives the current view or else the next one for which ready is true; if ctx ends first, the latest view that
// was checked, and false. Views that are replaced quickly may be skipped.
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

// Recent gives a copy of the retained events, oldest first.
func (j *Journal[Event, View]) Recent() []Event {
	j.lock.Lock()
	defer j.lock.Unlock()
	return append(append([]Event(nil), j.recent[j.next:]...), j.recent[:j.next]...)
}
