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

// Fields are the headers of a head, in order.
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

// FieldOf is the first header of a name in a head.
func FieldOf(block []byte, name string) string {
	for fieldName, value := range Fields(block) {
		if strings.EqualFold(string(fieldName), name) {
			return string(value)
		}
	}
	return ""
}
