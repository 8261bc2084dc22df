// Package journal holds what happened in a process: events are appended in memory, and a
// view is folded from them that readers take without a lock.
package journal

import (
	"context"
	"sync"
	"sync/atomic"
)

// Journal folds events into a view and keeps the last of them.
type Journal[Event, View any] struct {
	lock    sync.Mutex
	fold    func(View, Event) View
	view    atomic.Pointer[View]
	recent  []Event
	next    int
	changed chan struct{}
}

// New makes a journal that starts from a view and keeps the last few events.
func New[Event, View any](initial View, retained int, fold func(View, Event) View) *Journal[Event, View] {
	j := &Journal[Event, View]{fold: fold, recent: make([]Event, 0, retained), changed: make(chan struct{})}
	j.view.Store(&initial)
	return j
}

// Append folds an event in and wakes whoever waits.
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

// View is the latest view.
func (j *Journal[Event, View]) View() View { return *j.view.Load() }

// Wait returns the first view, from now on, for which ready holds; false if ctx ends first.
func (j *Journal[Event, View]) Wait(ctx context.Context, ready func(View) bool) (View, bool) {
	for {
		j.lock.Lock()
		view, moved := *j.view.Load(), j.changed
		j.lock.Unlock()
		if ready(view) {
			return view, true
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return view, false
		}
	}
}

// Recent gives the events kept, oldest first.
func (j *Journal[Event, View]) Recent() []Event {
	j.lock.Lock()
	defer j.lock.Unlock()
	return append(append([]Event(nil), j.recent[j.next:]...), j.recent[:j.next]...)
}
