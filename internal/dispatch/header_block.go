package dispatch

import (
	"bytes"
	"iter"
	"strings"

	"meadowhinge/internal/http1"
)

// A header block holds the headers of a request or response as lines of text. Proxies pass the lines on as they
// arrived, without parsing them.

// Separators within a header block.
const (
	nameSeparator  = ": "   // between the name and the value of a header
	fieldSeparator = "\r\n" // ends each header
)

// AppendField appends a header to a header block and returns the extended block. Carriage returns and line feeds in the
// value, which would end the header early, are replaced by spaces.
func AppendField[Text string | []byte](block []byte, name, value Text) []byte {
	block = append(append(block, name...), nameSeparator...)
	from := len(block)
	block = append(block, value...)
	for i := from; i < len(block); i++ {
		if block[i] == '\r' || block[i] == '\n' {
			block[i] = ' '
		}
	}
	return append(block, fieldSeparator...)
}

// Fields iterates over the headers of a header block, in order.
func Fields(block []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for len(block) > 0 {
			line, rest, _ := bytes.Cut(block, []byte(fieldSeparator))
			name, value, _ := bytes.Cut(line, []byte(nameSeparator))
			if !yield(name, value) {
				return
			}
			block = rest
		}
	}
}

// isValidHeaderBlock reports whether each line of a header block is a header that may be passed on: its name is a token,
// its value has no control byte, and it is not meant for one connection only. Any other line could change where the
// header ends, or where the body does, for whoever reads the block as text.
func isValidHeaderBlock(block []byte) bool {
	for len(block) > 0 {
		line, rest, ended := bytes.Cut(block, []byte(fieldSeparator))
		name, value, separated := bytes.Cut(line, []byte(nameSeparator))
		if !ended || !separated || !http1.IsToken(name) || !http1.IsFieldContent(value) || IsHopByHopHeader(name) {
			return false
		}
		block = rest
	}
	return true
}

// FieldValue returns the value of the first header in a header block with the given name, whatever its case. It is
// empty if there is none.
func FieldValue(block []byte, name string) string {
	for fieldName, value := range Fields(block) {
		if strings.EqualFold(string(fieldName), name) {
			return string(value)
		}
	}
	return ""
}
