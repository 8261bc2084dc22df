// Package dispatch carries plans out: on the caller's side it sends on, on the worker's
// side it checks and runs. Each dispatch ends answered, not run or unknown.
package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// BudgetWindow is the preset of the window in which extra tries are bounded.
const BudgetWindow = 10 * time.Second

// How finely the window is kept. One slot more than it has is counted, so that no window
// anywhere exceeds the bound.
const windowSlots = 10

// Budget bounds extra tries against a service's own calls in any window.
type Budget struct {
	by    atomic.Pointer[Bounds] // that it was last set by
	lock  sync.Mutex
	ratio float64
	span  time.Duration // length of one slot
	slots [windowSlots + 1]struct {
		number int64
		calls  float64
		extras float64
	}
}

// NewBudget makes a budget of a ratio of calls in any window; 0 for the preset.
func NewBudget(ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, span: spanOf(window)}
}

func spanOf(window time.Duration) time.Duration {
	if window <= 0 {
		window = BudgetWindow
	}
	return window / windowSlots
}

// rebound sets another ratio, and another window. Extra tries of the window before count in the
// new one as if they were made now; its calls earn nothing more, so that no bound is exceeded.
func (b *Budget) rebound(now time.Duration, bounds *Bounds) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.by.Store(bounds)
	b.ratio = bounds.ExtraRatio
	if span := spanOf(bounds.ExtraWindow); span != b.span {
		extras, _ := b.sum(b.slot(now).number)
		b.span = span
		for i := range b.slots {
			b.slots[i].number, b.slots[i].calls, b.slots[i].extras = -windowSlots, 0, 0
		}
		b.slot(now).extras = extras
	}
}

// sum adds up what the window before a slot holds; calls of the oldest slot may lie outside of
// it, so they earn nothing.
func (b *Budget) sum(until int64) (extras, calls float64) {
	for i := range b.slots {
		if age := until - b.slots[i].number; age >= 0 && age <= windowSlots {
			extras += b.slots[i].extras
			if age < windowSlots {
				calls += b.slots[i].calls
			}
		}
	}
	return extras, calls
}

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
	number := int64(now / b.span)
	slot := &b.slots[number%int64(len(b.slots))]
	if slot.number != number {
		slot.number, slot.calls, slot.extras = number, 0, 0
	}
	return slot
}

// Spend takes one extra try if so much of the budget allows it; floor is this process's part of the
// tries allowed besides the ratio.
func (b *Budget) Spend(now time.Duration, floor, part float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	current := b.slot(now)
	extras, calls := b.sum(current.number)
	if extras+1 > part*(b.ratio*calls+floor) {
		return false
	}
	current.extras++
	return true
}
