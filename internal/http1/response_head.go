package http1

import (
	"bufio"
	"bytes"
	"strconv"
)

// Field is a header field: its name and its value without the white space around it, as they arrived.
type Field struct{ Name, Value []byte }

// BodyEnd is what ends the body of a response (RFC 9112, section 6.3).
type BodyEnd int

// The ways in which a body ends. They apply to responses that have a body at all.
const (
	EndsWithConnection BodyEnd = iota // the sender closes its side of the connection
	EndsWithLength                    // ContentLength bytes
	EndsWithLastChunk                 // chunked transfer coding
)

// ResponseHead is the head of a response: its status line and its header fields. A value may be read into repeatedly;
// what was read before is then invalid. It is not safe for concurrent use.
type ResponseHead struct {
	StatusLine
	Fields        []Field // header fields in the order of arrival
	BodyEnd       BodyEnd // what ends the body, by the fields alone
	ContentLength uint64  // length of the body in bytes, valid with EndsWithLength
	// ClosesConnection reports whether the sender closes the connection after the response.
	ClosesConnection bool

	connectionOptions [][]byte // options in Connection fields: names of fields that are meant for one connection only
	text              []byte   // lines of the head, which the fields refer to
}

// Read reads a head of at most maxBytes bytes from reader, whose buffer must hold the longest line. It fails with the
// error of the reader, and with errs.InvalidResponse if the head is invalid. Nothing is repaired: names are tokens
// directly followed by a colon, lines end with CR LF, and no line is folded.
func (h *ResponseHead) Read(reader *bufio.Reader, maxBytes int) error {
	*h = ResponseHead{Fields: h.Fields[:0], connectionOptions: h.connectionOptions[:0], text: h.text[:0]}
	line, err := h.readLine(reader, maxBytes)
	if err != nil {
		return err
	}
	if h.StatusLine, err = ParseStatusLine(line); err != nil {
		return err
	}
	framing := framingFields{}
	for {
		line, err := h.readLine(reader, maxBytes)
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return h.applyFraming(&framing)
		}
		field, err := parseField(line)
		if err != nil {
			return err
		}
		h.Fields = append(h.Fields, field)
		if err := framing.add(field); err != nil {
			return err
		}
	}
}

// Value returns the value of the first field called name, and nil if there is none. Names are not case-sensitive.
func (h *ResponseHead) Value(name string) []byte {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// IsConnectionOption reports whether a Connection field lists name, so that a field of that name is not passed on (RFC
// 9110, section 7.6.1).
func (h *ResponseHead) IsConnectionOption(name []byte) bool {
	for _, option := range h.connectionOptions {
		if bytes.EqualFold(option, name) {
			return true
		}
	}
	return false
}

// readLine reads the next line of the head, appends it to the text, and returns it without its line end.
func (h *ResponseHead) readLine(reader *bufio.Reader, maxBytes int) ([]byte, error) {
	line, err := ReadLine(reader)
	if err != nil {
		return nil, err
	}
	start := len(h.text)
	if h.text = append(h.text, line...); len(h.text) > maxBytes {
		return nil, invalid("head of the response exceeds " + strconv.Itoa(maxBytes) + " bytes")
	}
	return h.text[start:], nil
}

// ReadLine reads a line that ends with CR LF, and returns it without these. The line is valid until the next read. It
// fails with the error of the reader, with bufio.ErrBufferFull if the line exceeds the reader's buffer, and with
// errs.InvalidResponse if a line feed stands alone.
func ReadLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	line, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended {
		return nil, invalid("line of the response ends without a carriage return")
	}
	return line, nil
}

// parseField parses a field line without its line end (RFC 9112, section 5). White space around the name, which includes
// the start of a folded line, is refused.
func parseField(line []byte) (Field, error) {
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	value = bytes.Trim(value, " \t")
	switch {
	case !hasColon || !IsToken(name):
		return Field{}, invalid("response has a field whose name is no token")
	case !IsFieldContent(value):
		return Field{}, invalid("response has a control byte in the value of the field " + string(name))
	}
	return Field{Name: name, Value: value}, nil
}

// equalFold compares a field name with a name, whatever their case, and does not allocate.
func equalFold(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}
