// Package linearize checks whether a history of operators' calls is linearizable: whether each call can have
// happened at one moment between its begin and its end, on a single store that follows the rule of operator versions.
//
// The rule, for each item by itself: a write with a higher version than the stored one takes effect. One with a lower
// version is accepted without effect, and so is one with the stored version and the stored content. One with the
// stored version and another content is refused and has no effect. A read returns the stored value.
//
// The simulator, and tests of package store and of the platform, check their histories with it. Its only
// state is a History, which several goroutines may add to.
package linearize

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Result is the result of a call, as its caller knows it.
type Result int

// The results of a call.
const (
	OutcomeUnknown Result = iota // no response: the call may have taken effect at any time since its begin, or never
	Accepted                     // a write was acknowledged, or a read was answered
	Conflicted                   // a write was refused because of this item
	Rejected                     // a write was refused for a reason other than this item
)

// Value is an item as it is written or read. Items that were removed, or never written, are absent.
type Value struct {
	Version uint64 // operator version; not known of an item that is read as absent
	Content string
	Absent  bool
}

// Operation is one call on one item.
type Operation struct {
	Client     int // calls of one client do not overlap
	Item       string
	Read       bool  // else a write
	Value      Value // written, or read
	Result     Result
	Begin, End time.Duration // on one clock for all operations; End counts only if the outcome is known
}

// ErrUndecided is the error of Check where the search took too long to find an order of the calls, or to rule out all
// orders.
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

// Check returns an error that names an item for which no order of the calls explains their results, or else
// ErrUndecided if the search for one item's order took longer than timeout.
func (h *History) Check(timeout time.Duration) error {
	var undecided error
	for item, operations := range h.byItem() {
		switch porcupine.CheckOperationsTimeout(versionedRegister, operations, timeout) {
		case porcupine.Illegal:
			return fmt.Errorf("%s: no order of its %d calls explains what the callers were told", item, len(operations))
		case porcupine.Unknown:
			undecided = fmt.Errorf("%s: %w", item, ErrUndecided)
		}
	}
	return undecided
}

// byItem returns the operations on each item in the checker's form.
func (h *History) byItem() map[string][]porcupine.Operation {
	h.lock.Lock()
	defer h.lock.Unlock()
	byItem := map[string][]porcupine.Operation{}
	for _, operation := range h.operations {
		if converted, informative := toPorcupine(operation); informative {
			byItem[operation.Item] = append(byItem[operation.Item], converted)
		}
	}
	return byItem
}

// toPorcupine converts an operation to the checker's form. One that cannot contradict any order is not informative.
func toPorcupine(operation Operation) (converted porcupine.Operation, informative bool) {
	if operation.Result == Rejected || operation.Read && operation.Result == OutcomeUnknown {
		return converted, false
	}
	converted = porcupine.Operation{
		ClientId: operation.Client,
		Input:    operation,
		Call:     int64(operation.Begin),
		Output:   operation.Result,
		Return:   int64(operation.End),
	}
	if operation.Result == OutcomeUnknown {
		converted.Return = math.MaxInt64
	}
	return converted, true
}

// versionedRegister is the rule of operator versions for one item, as a model for the checker.
var versionedRegister = porcupine.Model{
	Init: func() any { return Value{Absent: true} },
	Step: func(state, input, _ any) (bool, any) {
		return step(state.(Value), input.(Operation))
	},
}

// step reports whether an operation can have its result on a stored value, and returns the value stored after it.
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
