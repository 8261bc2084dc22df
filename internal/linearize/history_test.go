package linearize

import (
	"errors"
	"testing"
	"time"
)

func write(version uint64, content string, result Result, begin, end time.Duration) Operation {
	return Operation{Item: "item", Value: Value{Version: version, Content: content}, Result: result, Begin: begin, End: end}
}

func remove(version uint64, result Result, begin, end time.Duration) Operation {
	return Operation{Item: "item", Value: Value{Version: version, Absent: true}, Result: result, Begin: begin, End: end}
}

func read(version uint64, content string, begin, end time.Duration) Operation {
	return Operation{Item: "item", Read: true, Value: Value{Version: version, Content: content}, Result: Accepted, Begin: begin, End: end}
}

func readAbsent(begin, end time.Duration) Operation {
	return Operation{Item: "item", Read: true, Value: Value{Absent: true}, Result: Accepted, Begin: begin, End: end}
}

// TestCheckDecidesLinearizability checks that Check accepts the histories that a single store can produce, and
// rejects the others.
func TestCheckDecidesLinearizability(t *testing.T) {
	for name, test := range map[string]struct {
		history []Operation
		valid   bool // whether Check must accept the history
	}{
		"a write is read":                             {[]Operation{write(1, "a", Accepted, 0, 1), read(1, "a", 2, 3)}, true},
		"an accepted write is lost":                   {[]Operation{write(1, "a", Accepted, 0, 1), readAbsent(2, 3)}, false},
		"an overwritten value is read":                {[]Operation{write(1, "a", Accepted, 0, 1), write(2, "b", Accepted, 2, 3), read(1, "a", 4, 5)}, false},
		"the old value is read during the write":      {[]Operation{write(1, "a", Accepted, 0, 1), write(2, "b", Accepted, 2, 6), read(1, "a", 4, 5)}, true},
		"a later read returns an older value":         {[]Operation{write(1, "a", Accepted, 0, 1), write(2, "b", OutcomeUnknown, 2, 3), read(2, "b", 4, 5), read(1, "a", 6, 7)}, false},
		"two contents of one version accepted":        {[]Operation{write(1, "a", Accepted, 0, 1), write(1, "b", Accepted, 0, 1)}, false},
		"the second content of a version conflicts":   {[]Operation{write(1, "a", Accepted, 0, 1), write(1, "b", Conflicted, 0, 1), read(1, "a", 2, 3)}, true},
		"both contents of a version conflict":         {[]Operation{write(1, "a", Conflicted, 0, 1), write(1, "b", Conflicted, 0, 1)}, false},
		"a repeated write is accepted":                {[]Operation{write(1, "a", Accepted, 0, 1), write(1, "a", Accepted, 2, 3)}, true},
		"a repeated write conflicts":                  {[]Operation{write(1, "a", Accepted, 0, 1), write(1, "a", Conflicted, 2, 3)}, false},
		"another content below the stored version":    {[]Operation{write(1, "a", Accepted, 0, 1), write(2, "c", Accepted, 2, 3), write(1, "b", Accepted, 4, 5), read(2, "c", 6, 7)}, true},
		"a write below the stored version is read":    {[]Operation{write(2, "c", Accepted, 0, 1), write(1, "b", Accepted, 2, 3), read(1, "b", 4, 5)}, false},
		"a write with the version of a removal":       {[]Operation{remove(3, Accepted, 0, 1), write(3, "a", Accepted, 2, 3)}, false},
		"a write of unknown outcome took effect":      {[]Operation{write(1, "a", OutcomeUnknown, 0, 1), read(1, "a", 2, 3)}, true},
		"a write of unknown outcome took effect late": {[]Operation{write(1, "a", OutcomeUnknown, 0, 1), readAbsent(2, 3), read(1, "a", 4, 5)}, true},
		"a write rejected for another reason":         {[]Operation{write(1, "a", Rejected, 0, 1), readAbsent(2, 3)}, true},
		"a read without a response":                   {[]Operation{write(1, "a", Accepted, 0, 1), {Item: "item", Read: true, Value: Value{Absent: true}, Begin: 2, End: 3}}, true},
		"another item has another value":              {[]Operation{write(1, "a", Accepted, 0, 1), {Item: "other", Read: true, Value: Value{Absent: true}, Result: Accepted, Begin: 2, End: 3}}, true},
		"a value that was never written is read":      {[]Operation{read(1, "a", 0, 1)}, false},
		"a read returns content of no write":          {[]Operation{write(1, "a", Accepted, 0, 1), read(1, "b", 2, 3)}, false},
		"a removal and its repetition are accepted":   {[]Operation{write(1, "a", Accepted, 0, 1), remove(2, Accepted, 2, 3), remove(2, Accepted, 4, 5), readAbsent(6, 7)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			history := &History{}
			for _, operation := range test.history {
				history.Add(operation)
			}
			err := history.Check(time.Minute)
			if errors.Is(err, ErrUndecided) || (err == nil) != test.valid {
				t.Errorf("Check() = %v; history accepted: want %v, and want no ErrUndecided", err, test.valid)
			}
		})
	}
}
