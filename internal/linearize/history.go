// Package linearize checks whether a history of operators' calls is linearizable, that is, whether each call can have
// taken effect at one moment between its begin and its end, on a single store that follows the rule of operator
// versions.
//
// The rule applies to each item by itself:
//   - A write with a higher version than the stored one takes effect.
//   - A write with a lower version is accepted without effect, and so is one with the stored version and content.
//   - A write with the stored version and a different content is refused and has no effect.
//   - A read returns the stored value.
//
// The search for an order is done by Porcupine (github.com/anishathalye/porcupine). The simulator and the tests of
// package store and of the platform check their histories with this package. A History is its only state, and is safe
// for concurrent use.
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
	OutcomeUnknown Result = iota // no response: the call may have taken effect at any time after its begin, or never
	Accepted                     // a write was acknowledged, or a read returned a value
	Conflicted                   // a write was refused because of this item's version and content
	Rejected                     // a write was refused for a reason other than this item
)

// Value is the state of an item as written or read.
type Value struct {
	Version uint64 // operator version; 0 if the item is read as absent, because then the version is unknown
	Content string // empty if the item is absent
	Absent  bool   // the item was removed or never written
}

// Operation is one call on one item.
type Operation struct {
	Client     int           // id of the caller; calls of one client must not overlap in time
	Item       string        // name of the item
	Read       bool          // true for a read, false for a write or a removal
	Value      Value         // value that was written or returned
	Result     Result        // result as the caller knows it
	Begin, End time.Duration // times on a clock common to all operations; End is ignored for OutcomeUnknown
}

// ErrUndecided is wrapped by the error of Check if the search reached its timeout before it found an order of the
// calls or ruled out all orders.
var ErrUndecided = errors.New("linearizability not decided within the timeout")

// History collects operations. All methods are safe for concurrent use.
type History struct {
	lock       sync.Mutex // guards operations
	operations []Operation
}

// Add appends an operation to the history.
func (h *History) Add(operation Operation) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.operations = append(h.operations, operation)
}

// Len returns the number of operations in the history.
func (h *History) Len() int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return len(h.operations)
}

// Check returns nil if the calls on every item are linearizable. Otherwise it returns an error that names an item for
// which no order of the calls explains their results. If there is no such item but the search for an order took longer
// than timeout for some item, it returns an error that wraps ErrUndecided.
func (h *History) Check(timeout time.Duration) error {
	var undecided error
	for item, operations := range h.byItem() {
		switch porcupine.CheckOperationsTimeout(versionedRegister, operations, timeout) {
		case porcupine.Illegal:
			return fmt.Errorf("item %q: its %d calls are not linearizable", item, len(operations))
		case porcupine.Unknown:
			undecided = fmt.Errorf("item %q: %w", item, ErrUndecided)
		}
	}
	return undecided
}

// byItem returns the informative operations on each item, converted for Porcupine.
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

// toPorcupine converts an operation for Porcupine. An operation that is compatible with every order is not informative:
// a rejected write, or a read without a response.
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

// versionedRegister is the Porcupine model of the rule of operator versions for one item.
var versionedRegister = porcupine.Model{
	Init: func() any { return Value{Absent: true} },
	Step: func(state, input, _ any) (bool, any) {
		return step(state.(Value), input.(Operation))
	},
}

// step reports whether an operation on the stored value current can have its result, and returns the value stored
// after it.
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
