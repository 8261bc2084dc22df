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
	Unknown  Result = iota // no answer: the call may have taken effect at any time, or never
	Accepted               // a write was confirmed, or a read was answered
	Clashed                // a write was refused because of this item
	Refused                // a write was refused for a reason that this item has no part in
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
func (h *History) Check(bound time.Duration) error {
	h.lock.Lock()
	byItem := map[string][]porcupine.Operation{}
	for _, operation := range h.operations {
		if told, tells := asPorcupine(operation); tells {
			byItem[operation.Item] = append(byItem[operation.Item], told)
		}
	}
	h.lock.Unlock()
	undecided := error(nil)
	for item, operations := range byItem {
		switch porcupine.CheckOperationsTimeout(register, operations, bound) {
		case porcupine.Illegal:
			return fmt.Errorf("%s: no order of its %d calls explains what the callers were told", item, len(operations))
		case porcupine.Unknown:
			undecided = fmt.Errorf("%s: %w", item, ErrUndecided)
		}
	}
	return undecided
}

// asPorcupine gives an operation as the checker takes it; one that tells nothing is left out.
func asPorcupine(operation Operation) (told porcupine.Operation, tells bool) {
	if operation.Result == Refused || operation.Read && operation.Result == Unknown {
		return told, false
	}
	told = porcupine.Operation{ClientId: operation.Client, Input: operation, Call: int64(operation.Begin), Output: operation.Result, Return: int64(operation.End)}
	if operation.Result == Unknown {
		told.Return = math.MaxInt64
	}
	return told, true
}

// register is the rule of versions for one item.
var register = porcupine.Model{
	Init: func() any { return Value{Absent: true} },
	Step: func(state, input, _ any) (bool, any) {
		held, operation := state.(Value), input.(Operation)
		return step(held, operation)
	},
}

// step tells whether an operation can happen on what is held, and what is held after it.
func step(held Value, operation Operation) (possible bool, after Value) {
	value := operation.Value
	if operation.Read {
		return held.Absent && value.Absent || held == value, held
	}
	newer := held.Version < value.Version
	clashes := held.Version == value.Version && (held.Absent != value.Absent || held.Content != value.Content)
	switch {
	case operation.Result == Clashed:
		return clashes, held
	case clashes:
		return operation.Result == Unknown, held
	case newer:
		return true, value
	}
	return true, held
}
