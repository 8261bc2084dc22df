package journal

import (
	"context"
	"slices"
	"testing"
)

func sum(view, event int) int { return view + event }

// TestAppendFoldsAndRetainsEvents checks that the view is the fold of all events, and that the retained events are
// the last ones, oldest first.
func TestAppendFoldsAndRetainsEvents(t *testing.T) {
	for name, test := range map[string]struct {
		retained int   // capacity for retained events
		events   []int // appended events
		view     int   // wanted view; the first view is 100
		recent   []int // wanted retained events
	}{
		"no event":                {2, nil, 100, nil},
		"below capacity":          {3, []int{1, 2}, 103, []int{1, 2}},
		"beyond capacity":         {3, []int{1, 2, 3, 4, 5}, 115, []int{3, 4, 5}},
		"capacity zero":           {0, []int{1, 2}, 103, nil},
		"exactly at the capacity": {2, []int{7, 8}, 115, []int{7, 8}},
	} {
		t.Run(name, func(t *testing.T) {
			events := New(100, test.retained, sum)
			for _, event := range test.events {
				events.Append(event)
			}
			if view := events.View(); view != test.view {
				t.Errorf("View() = %d, want %d", view, test.view)
			}
			if recent := events.Recent(); !slices.Equal(recent, test.recent) {
				t.Errorf("Recent() = %v, want %v", recent, test.recent)
			}
		})
	}
}

// TestWaitReturnsWhenReadyOrCancelled checks that Wait returns at once if the view is ready, after the event that
// makes it ready, or when its context ends.
func TestWaitReturnsWhenReadyOrCancelled(t *testing.T) {
	events := New(0, 0, sum)
	atLeast := func(threshold int) func(int) bool { return func(view int) bool { return view >= threshold } }
	if view, ready := events.Wait(t.Context(), atLeast(0)); !ready || view != 0 {
		t.Errorf("Wait for a view that is ready = %d, %v; want 0, true", view, ready)
	}
	go func() {
		for range 5 {
			events.Append(1)
		}
	}()
	if view, ready := events.Wait(t.Context(), atLeast(5)); !ready || view != 5 {
		t.Errorf("Wait for a view that becomes ready = %d, %v; want 5, true", view, ready)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if view, ready := events.Wait(ended, atLeast(6)); ready || view != 5 {
		t.Errorf("Wait with an ended context = %d, %v; want 5, false", view, ready)
	}
}
