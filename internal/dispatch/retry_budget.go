package dispatch

import (
	"sync"
	"sync/atomic"
	"time"
)

// DefaultRetryWindow is the length of the window of a [RetryBudget] unless the limits set another one. Windows of a
// [CanaryGuard] always have this length.
const DefaultRetryWindow = 10 * time.Second

// windowSlots is the number of slots that a window is divided into. A retry budget counts the retries of one more slot,
// so that the bound holds for every window, wherever it begins.
const windowSlots = 10

// RetryBudget bounds the retries for one service. In any window the retries are at most a ratio of the service's calls,
// plus a floor. It is safe for concurrent use.
type RetryBudget struct {
	limits atomic.Pointer[Limits] // last applied by setLimits; nil before the first call of it

	lock       sync.Mutex                  // guards the fields below
	ratio      float64                     // retries per call
	slotLength time.Duration               // length of the window / windowSlots
	slots      [windowSlots + 1]budgetSlot // a ring, indexed by slot number modulo its length
}

// budgetSlot counts the calls and retries in one slot of the window.
type budgetSlot struct {
	number  int64   // number of the slot since the start of the process clock
	calls   float64 // calls recorded in the slot
	retries float64 // retries allowed in the slot
}

// NewRetryBudget returns a budget of ratio retries per call in any window. A window of 0 or less stands for
// DefaultRetryWindow.
func NewRetryBudget(ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slotLength: slotLengthOf(window)}
}

// slotLengthOf returns the length of one slot of a window. A window of 0 or less stands for DefaultRetryWindow.
func slotLengthOf(window time.Duration) time.Duration {
	if window <= 0 {
		window = DefaultRetryWindow
	}
	return window / windowSlots
}

// setLimits replaces the ratio and the window. If the length of the window changes, the retries of the last window
// count in the new one as if they were made now. Its calls add nothing more to the budget. So no bound is exceeded.
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

// sum returns the retries and calls in the window that ends with the slot numbered until. The oldest slot may lie
// partly outside the window, so its retries are counted and its calls are not. The caller holds the lock.
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

// RecordCall records a call by a caller, which adds the ratio to the budget. Retries are not recorded as calls.
func (b *RetryBudget) RecordCall(now time.Duration) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.slot(now).calls++
}

// slot returns the slot that contains now, cleared if its place in the ring was last used for an earlier slot. The
// caller holds the lock.
func (b *RetryBudget) slot(now time.Duration) *budgetSlot {
	number := int64(now / b.slotLength)
	slot := &b.slots[number%int64(len(b.slots))]
	if slot.number != number {
		*slot = budgetSlot{number: number}
	}
	return slot
}

// Allow takes one retry from the budget and reports whether the budget had one left. floor is this process's share of
// the retries in a window that are allowed in addition to the ratio. fraction is the part of the whole budget, floor
// included, that may be used: 1 for all of it.
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
