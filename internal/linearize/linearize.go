// Package linearize judges a history of operators' calls: whether each of them can have happened
// at one moment between its begin and its end, on one store that keeps the rule of versions.
//
// The rule, for each item by itself: a write with a higher version than the one held takes effect;
// one with a lower version is accepted without effect, and so is one with the version and the
// content held; one with the version held and another content is refused and has no effect. A read
// gives what is held.
package linearize

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Result is what a caller was told.
type Result int

// The results of a call.
const (
	OutcomeUnknown Result = iota // no answer: the call may have taken effect at any time, or never
	Accepted                     // a write was confirmed, or a read was answered
	Conflicted                   // a write was refused because of this item
	Rejected                     // a write was refused for a reason that this item has no part in
)

// Value is an item as it is written or read. Dropped items, and those that never were, are absent.
type Value struct {
	Version uint64 // not known of what is read as absent
	Content string
	Absent  bool
}

// Operation is one call on one item.
type Operation struct {
	Client     int
	Item       string
	Read       bool
	Value      Value // written, or read
	Result     Result
	Begin, End time.Duration
}

// ErrUndecided is given where the search took too long to find an order or to rule all out.
var ErrUndecided = errors.New("no order of the calls was found or ruled out in time")

// History gathers operations; several goroutines may add to it.
type History struct {
	lock       sync.Mutex
	operations []Operation
}

// Add puts an operation into the history.
func (h *History) Add(operation Operation) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.operations = append(h.operations, operation)
}

// Len is how many operations the history holds.
func (h *History) Len() int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return len(h.operations)
}

// Check gives an error that names an item for which no order of the calls explains what the
// callers were told, or ErrUndecided if the search for one takes longer than the bound.
func (h *History) Check(timeout time.Duration) error {
	h.lock.Lock()
	byItem := map[string][]porcupine.Operation{}
	for _, operation := range h.operations {
		if converted, informative := toPorcupine(operation); informative {
			byItem[operation.Item] = append(byItem[operation.Item], converted)
		}
	}
	h.lock.Unlock()
	undecided := error(nil)
	for item, operations := range byItem {
		switch porcupine.CheckOperationsTimeout(versionedRegister, operations, timeout) {
		case porcupine.Illegal:
			return fmt.Errorf("%s: no order of its %d calls explains what the callers were told", item, len(operations))
		case porcupine.Unknown:
			undecided = fmt.Errorf("%s: %w", item, ErrUndecided)
		}
	}
	return undecided
}

// toPorcupine gives an operation as the checker takes it; one that tells nothing is left out.
func toPorcupine(operation Operation) (converted porcupine.Operation, informative bool) {
	if operation.Result == Rejected || operation.Read && operation.Result == OutcomeUnknown {
		return converted, false
	}
	converted = porcupine.Operation{ClientId: operation.Client, Input: operation, Call: int64(operation.Begin), Output: operation.Result, Return: int64(operation.End)}
	if operation.Result == OutcomeUnknown {
		converted.Return = math.MaxInt64
	}
	return converted, true
}

// versionedRegister is the rule of versions for one item.
var versionedRegister = porcupine.Model{
	Init: func() any { return Value{Absent: true} },
	Step: func(state, input, _ any) (bool, any) {
		held, operation := state.(Value), input.(Operation)
		return step(held, operation)
	},
}

// step tells whether an operation can happen on what is held, and what is held after it.
func step(current Value, operation Operation) (possible bool, after Value) {
	value := operation.Value
	if operation.Read {
		return current.Absent && value.Absent || current == value, current
	}
	newer := current.Version < value.Version
	conflicts := current.Version == value.Version && (current.Absent != value.Absent || current.Content != value.Content)
	switch {
	case operation.Result == Conflicted:
		return conflicts, current
	case conflicts:
		return operation.Result == OutcomeUnknown, current
	case newer:
		return true, value
	}
	return true, current
}
