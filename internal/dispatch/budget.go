// Package dispatch carries plans out: on the caller's side it sends on, on the worker's
// side it checks and runs. Each dispatch ends answered, not run or unknown.
package dispatch

import (
	"sync"
	"time"
)

// The window in which extra tries are bounded, and how finely it is kept. One slot more
// than the window is counted, so that no ten seconds anywhere exceed the bound.
const (
	window      = 10 * time.Second
	windowSlots = 10
)

// Budget bounds extra tries against a service's own calls in any window.
type Budget struct {
	lock  sync.Mutex
	ratio float64
	slots [windowSlots + 1]struct {
		number int64
		calls  float64
		extras float64
	}
}

// NewBudget makes a budget of a ratio of calls.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// Call notes a call of a caller.
func (b *Budget) Call(now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.slot(now).calls++
}

func (b *Budget) slot(now time.Duration) *struct {
	number int64
	calls  float64
	extras float64
} {
	number := int64(now / (window / windowSlots))
	slot := &b.slots[number%int64(len(b.slots))]
	if slot.number != number {
		slot.number, slot.calls, slot.extras = number, 0, 0
	}
	return slot
}

// Spend takes one extra try if the budget allows it; floor is this process's part of the
// tries allowed besides the ratio.
func (b *Budget) Spend(now time.Duration, floor float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	current := b.slot(now)
	var calls, extras float64
	for i := range b.slots {
		if age := current.number - b.slots[i].number; age >= 0 && age <= windowSlots {
			extras += b.slots[i].extras
			// Calls of the oldest slot may lie outside the window, so they earn nothing.
			if age < windowSlots {
				calls += b.slots[i].calls
			}
		}
	}
	if extras+1 > b.ratio*calls+floor {
		return false
	}
	current.extras++
	return true
}
