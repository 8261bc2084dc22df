package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// DefaultRetryWindow is the window in which retries are bounded unless the limits say otherwise.
const DefaultRetryWindow = 10 * time.Second

// windowSlots is how many slots a window is divided into. One slot more is counted, so that no window, wherever it
// begins, exceeds the bound.
const windowSlots = 10

// RetryBudget bounds the retries for one service, in any window, to a ratio of the service's own calls. It is safe for
// concurrent use.
type RetryBudget struct {
	limits atomic.Pointer[Limits] // last applied by setLimits; nil before

	lock       sync.Mutex // guards the fields below
	ratio      float64    // retries per call
	slotLength time.Duration
	slots      [windowSlots + 1]budgetSlot // a ring, by number modulo its length
}

// budgetSlot counts what happened in one slot of the window.
type budgetSlot struct {
	number  int64 // of the slot since the clock began
	calls   float64
	retries float64
}

// NewRetryBudget returns a budget of ratio retries per call in any window, 0 for DefaultRetryWindow.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slotLength: slotLengthOf(window)}
}

// slotLengthOf returns the length of one slot of a window.
func slotLengthOf(window time.Duration) time.Duration {
	if window <= 0 {
		window = DefaultRetryWindow
	}
	return window / windowSlots
}

// setLimits sets another ratio and window. Retries of the window before count in the new one as if they were made now,
// and its calls earn nothing more, so that no bound is exceeded.
func (b *RetryBudget) setLimits(now time.Duration, limits *Limits) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.limits.Store(limits)
	b.ratio = limits.RetryRatio
	if slotLength := slotLengthOf(limits.RetryWindow); slotLength != b.slotLength {
		retries, _ := b.sum(b.slot(now).number)
		b.slotLength = slotLength
		for i := range b.slots {
			b.slots[i] = budgetSlot{number: -windowSlots}
		}
		b.slot(now).retries = retries
	}
}

// sum returns the retries and calls in the window that ends with the slot until. Calls of the oldest slot may lie
// outside the window, so they earn nothing. The caller holds the lock.
func (b *RetryBudget) sum(until int64) (retries, calls float64) {
	for i := range b.slots {
		if age := until - b.slots[i].number; age >= 0 && age <= windowSlots {
			retries += b.slots[i].retries
			if age < windowSlots {
				calls += b.slots[i].calls
			}
		}
	}
	return retries, calls
}

// RecordCall records a call of a caller, which earns a part of a retry.
func (b *RetryBudget) RecordCall(now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.slot(now).calls++
}

// slot returns the slot of a moment, cleared if it was last used for an earlier one. The caller holds the lock.
func (b *RetryBudget) slot(now time.Duration) *budgetSlot {
	number := int64(now / b.slotLength)
	slot := &b.slots[number%int64(len(b.slots))]
	if slot.number != number {
		*slot = budgetSlot{number: number}
	}
	return slot
}

// Allow takes one retry from the budget and reports whether it could. Floor is this process's part of the retries in
// a window that are allowed besides the ratio; only the given fraction of the budget may be used.
func (b *RetryBudget) Allow(now time.Duration, floor, fraction float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	current := b.slot(now)
	retries, calls := b.sum(current.number)
	if retries+1 > fraction*(b.ratio*calls+floor) {
		return false
	}
	current.retries++
	return true
}
