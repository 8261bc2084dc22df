package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// DefaultRetryWindow is the preset of the window in which extra tries are bounded.
const DefaultRetryWindow = 10 * time.Second

// How finely the window is kept. One slot more than it has is counted, so that no window
// anywhere exceeds the bound.
const windowSlots = 10

// RetryBudget bounds extra tries against a service's own calls in any window.
type RetryBudget struct {
	limits     atomic.Pointer[Limits] // that it was last set by
	lock       sync.Mutex
	ratio      float64
	slotLength time.Duration // length of one slot
	slots      [windowSlots + 1]struct {
		number int64
		calls  float64
		extras float64
	}
}

// NewRetryBudget makes a budget of a ratio of calls in any window; 0 for the preset.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slotLength: slotLengthOf(window)}
}

func slotLengthOf(window time.Duration) time.Duration {
	if window <= 0 {
		window = DefaultRetryWindow
	}
	return window / windowSlots
}

// setLimits sets another ratio, and another window. Extra tries of the window before count in the
// new one as if they were made now; its calls earn nothing more, so that no bound is exceeded.
func (b *RetryBudget) setLimits(now time.Duration, limits *Limits) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.limits.Store(limits)
	b.ratio = limits.RetryRatio
	if slotLength := slotLengthOf(limits.RetryWindow); slotLength != b.slotLength {
		retries, _ := b.sum(b.slot(now).number)
		b.slotLength = slotLength
		for i := range b.slots {
			b.slots[i].number, b.slots[i].calls, b.slots[i].extras = -windowSlots, 0, 0
		}
		b.slot(now).extras = retries
	}
}

// sum adds up what the window before a slot holds; calls of the oldest slot may lie outside of
// it, so they earn nothing.
func (b *RetryBudget) sum(until int64) (retries, calls float64) {
	for i := range b.slots {
		if age := until - b.slots[i].number; age >= 0 && age <= windowSlots {
			retries += b.slots[i].extras
			if age < windowSlots {
				calls += b.slots[i].calls
			}
		}
	}
	return retries, calls
}

// RecordCall notes a call of a caller.
func (b *RetryBudget) RecordCall(now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.slot(now).calls++
}

func (b *RetryBudget) slot(now time.Duration) *struct {
	number int64
	calls  float64
	extras float64
} {
	number := int64(now / b.slotLength)
	slot := &b.slots[number%int64(len(b.slots))]
	if slot.number != number {
		slot.number, slot.calls, slot.extras = number, 0, 0
	}
	return slot
}

// Allow takes one extra try if so much of the budget allows it; floor is this process's part of the
// tries allowed besides the ratio.
func (b *RetryBudget) Allow(now time.Duration, floor, fraction float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	current := b.slot(now)
	retries, calls := b.sum(current.number)
	if retries+1 > fraction*(b.ratio*calls+floor) {
		return false
	}
	current.extras++
	return true
}
