package dispatch

import (
	"bytes"
	"iter"
	"strings"
)

// A header block is a request's or response's headers as lines. The lines are passed from connection to connection as
// they arrived, and no process on the way has to parse them.

// Separators within a header block.
const (
	fieldMiddle = ": " // between name and value
	fieldEnd    = "\r\n"
)

// AppendField appends a header to a header block. Line breaks in the value, which would end the header early, become
// spaces.
func AppendField[Text string | []byte](block []byte, name, value Text) []byte {
	block = append(append(block, name...), fieldMiddle...)
	from := len(block)
	block = append(block, value...)
	for i := from; i < len(block); i++ {
		if block[i] == '\r' || block[i] == '\n' {
			block[i] = ' '
		}
	}
	return append(block, fieldEnd...)
}

// Fields iterates over the headers of a header block, in order.
func Fields(block []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for len(block) > 0 {
			line, rest, _ := bytes.Cut(block, []byte(fieldEnd))
			name, value, _ := bytes.Cut(line, []byte(fieldMiddle))
			if !yield(name, value) {
				return
			}
			block = rest
		}
	}
}

// FieldOf returns the value of the first header of a name in a header block, empty for none.
func FieldOf(block []byte, name string) string {
	for fieldName, value := range Fields(block) {
		if strings.EqualFold(string(fieldName), name) {
			return string(value)
		}
	}
	return ""
}
