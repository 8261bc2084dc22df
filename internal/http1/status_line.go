package http1

import (
	"bytes"

	"meadowhinge/internal/errs"
)

// MinStatus and MaxStatus bound the status codes that RFC 9110, section 15, defines. Codes outside are invalid.
const (
	MinStatus = 100
	MaxStatus = 599
)

// StatusLine is the first line of a response.
type StatusLine struct {
	Status int  // status code, 100 to 599
	HTTP10 bool // whether the response has version HTTP/1.0; higher minor versions are treated as HTTP/1.1
}

// ParseStatusLine parses a status line without its line end (RFC 9112, section 4). The reason phrase may be missing,
// with or without the space before it, because section 4 lets recipients ignore both.
func ParseStatusLine(line []byte) (StatusLine, error) {
	const (
		prefix   = "HTTP/1."
		minor    = len(prefix)
		code     = minor + len("1 ")
		afterEnd = code + len("200")
	)
	if len(line) < afterEnd || !bytes.HasPrefix(line, []byte(prefix)) || !isDigit(line[minor]) || line[minor+1] != ' ' {
		return StatusLine{}, invalid("response has an invalid status line")
	}
	status := 0
	for _, char := range line[code:afterEnd] {
		if !isDigit(char) {
			return StatusLine{}, invalid("response has a status that is no number of three digits")
		}
		status = 10*status + int(char-'0')
	}
	reason := line[afterEnd:]
	switch {
	case len(reason) > 0 && (reason[0] != ' ' || !IsFieldContent(reason)):
		return StatusLine{}, invalid("response has an invalid reason phrase")
	case status < MinStatus || status > MaxStatus:
		return StatusLine{}, invalid("response has a status outside 100 to 599")
	}
	return StatusLine{Status: status, HTTP10: line[minor] == '0'}, nil
}

// isDigit reports whether char is a decimal digit.
func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// invalid returns the error of a response that violates the syntax.
func invalid(detail string) error { return errs.New(errs.InvalidResponse, detail) }
