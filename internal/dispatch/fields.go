package dispatch

import (
	"bytes"
	"iter"
	"strings"
)

// A head is the headers that go on, as lines: they are handed from connection to connection as
// they came, and nobody on the way needs to take them apart.

const (
	fieldMiddle = ": "
	fieldEnd    = "\r\n"
)

// AppendField adds a header to a head. What would end its line early is taken out.
func AppendField[Text string | []byte](head []byte, name, value Text) []byte {
	head = append(append(head, name...), fieldMiddle...)
	from := len(head)
	head = append(head, value...)
	for i := from; i < len(head); i++ {
		if head[i] == '\r' || head[i] == '\n' {
			head[i] = ' '
		}
	}
	return append(head, fieldEnd...)
}

// Fields are the headers of a head, in order.
func Fields(head []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for len(head) > 0 {
			line, rest, _ := bytes.Cut(head, []byte(fieldEnd))
			name, value, _ := bytes.Cut(line, []byte(fieldMiddle))
			if !yield(name, value) {
				return
			}
			head = rest
		}
	}
}

// FieldOf is the first header of a name in a head.
func FieldOf(head []byte, name string) string {
	for held, value := range Fields(head) {
		if strings.EqualFold(string(held), name) {
			return string(value)
		}
	}
	return ""
}
