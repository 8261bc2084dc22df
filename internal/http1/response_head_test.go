package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"meadowhinge/internal/errs"
)

// maxTestBytes bounds the heads and trailers of these tests.
const maxTestBytes = 256

// readHead reads the head that consists of a status line and lines, each of which has its line end.
func readHead(lines string) (*ResponseHead, error) {
	head := &ResponseHead{}
	err := head.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+lines+"\r\n")), maxTestBytes)
	return head, err
}

// A field name may hold any byte of a token and no other byte, wherever it stands.
func TestFieldNamesAreTokens(t *testing.T) {
	const special = "!#$%&'*+-.^_`|~"
	for char := range 256 {
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9'
		valid := letter || strings.ContainsRune(special, rune(char))
		if char == ':' {
			continue // ends the name
		}
		for _, format := range []string{"%sX: 1\r\n", "X%sX: 1\r\n", "X%s: 1\r\n", "X: 1\r\n%sX: 1\r\n"} {
			lines := fmt.Sprintf(format, string([]byte{byte(char)}))
			if _, err := readHead(lines); (err == nil) != valid {
				t.Errorf("Read(%q): error %v, want valid %t", lines, err, valid)
			}
		}
	}
}

// A field value holds no control byte but tabs, and has no white space around it.
func TestFieldValues(t *testing.T) {
	for char := range 256 {
		control := char < ' ' && char != '\t' || char == 0x7f
		lines := fmt.Sprintf("X: a%sb\r\n", string([]byte{byte(char)}))
		if _, err := readHead(lines); (err == nil) == control {
			t.Errorf("Read(%q): error %v, want valid %t", lines, err, !control)
		}
	}
	for line, want := range map[string]string{"X:a": "a", "X: \t a b \t": "a b", "X:": "", "X: ": "", "X: a: b": "a: b"} {
		head, err := readHead("Y: 0\r\n" + line + "\r\n")
		if err != nil || string(head.Value("x")) != want || len(head.Fields) != 2 {
			t.Errorf("Read(%q): value %q, %d fields, error %v; want %q, 2 fields and no error", line, head.Value("x"), len(head.Fields), err, want)
		}
	}
}

// A head that ends early has the error of the reader, and one above the limit is invalid.
func TestIncompleteAndLargeHeads(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n"
	for length := range len(text) {
		err := (&ResponseHead{}).Read(bufio.NewReader(strings.NewReader(text[:length])), maxTestBytes)
		if !errors.Is(err, io.EOF) {
			t.Errorf("Read of the first %d bytes: error %v, want io.EOF", length, err)
		}
	}
	if _, err := readHead("X: " + strings.Repeat("x", maxTestBytes) + "\r\n"); errs.CodeOf(err) != errs.InvalidResponse {
		t.Errorf("Read of a head above the limit: error %v, want code %s", err, errs.InvalidResponse)
	}
	if err := SkipTrailer(bufio.NewReader(strings.NewReader(strings.Repeat("X: 1\r\n", maxTestBytes)+"\r\n")), maxTestBytes); errs.CodeOf(err) != errs.InvalidResponse {
		t.Errorf("SkipTrailer above the limit: error %v, want code %s", err, errs.InvalidResponse)
	}
}

// A trailer ends with an empty line, and has neither invalid fields nor such that belong into a head.
func TestSkipTrailer(t *testing.T) {
	for trailer, valid := range map[string]bool{
		"\r\n":                             true,
		"X-Sum: 1\r\nx-odd: \r\n\r\n":      true,
		"X-Sum: 1\r\n":                     false,
		"X-Sum: 1\n\r\n":                   false,
		"X Sum: 1\r\n\r\n":                 false,
		"X-Sum : 1\r\n\r\n":                false,
		"X-Sum: \x01\r\n\r\n":              false,
		"content-length: 5\r\n\r\n":        false,
		"Transfer-Encoding: chunked\r\n\r": false,
		"":                                 false,
	} {
		reader := bufio.NewReader(strings.NewReader(trailer + "rest"))
		err := SkipTrailer(reader, maxTestBytes)
		if rest, _ := io.ReadAll(reader); (err == nil) != valid || (valid && string(rest) != "rest") {
			t.Errorf("SkipTrailer(%q): error %v, left %q; want valid %t, with only the rest left", trailer, err, rest, valid)
		}
	}
}

// A head may be read again after another one, and keeps nothing of it.
func TestHeadIsReadAgain(t *testing.T) {
	reader := bufio.NewReader(strings.NewReader("HTTP/1.0 404 No\r\nX-First: 1\r\nConnection: X-First\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK\r\nX-Second: 2\r\n\r\n"))
	head := &ResponseHead{}
	for _, want := range []string{"404 true X-First 1 true", "200 false X-Second 2 false"} {
		if err := head.Read(reader, maxTestBytes); err != nil {
			t.Fatalf("Read: %v", err)
		}
		got := fmt.Sprintf("%d %t %s %s %t", head.Status, head.HTTP10, head.Fields[0].Name, head.Fields[0].Value, head.IsConnectionOption([]byte("x-first")))
		if got != want {
			t.Errorf("Read: got %q, want %q", got, want)
		}
	}
}

// Whatever bytes arrive, a head that is accepted has a valid status and valid fields, and reads the same when it is
// written out again.
func FuzzResponseHead(f *testing.F) {
	for _, lines := range []string{"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close, x\r\nx:\t1 \r\n", "X Odd: 1\r\n", "X: 1\r\n y\r\n", "X: 1\n"} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + lines + "\r\n"))
	}
	f.Add([]byte("HTTP/1.0 000\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		head := &ResponseHead{}
		if head.Read(bufio.NewReader(bytes.NewReader(text)), maxTestBytes) != nil {
			return
		}
		minor := 1
		if head.HTTP10 {
			minor = 0
		}
		written := fmt.Sprintf("HTTP/1.%d %03d\r\n", minor, head.Status)
		for _, field := range head.Fields {
			if !IsToken(field.Name) || !IsFieldContent(field.Value) {
				t.Fatalf("Read(%q): accepted the field %q: %q", text, field.Name, field.Value)
			}
			written += string(field.Name) + ":" + string(field.Value) + "\r\n"
		}
		again := &ResponseHead{}
		if err := again.Read(bufio.NewReader(strings.NewReader(written+"\r\n")), 2*maxTestBytes); err != nil {
			t.Fatalf("Read(%q): accepted, but not when written as %q: %v", text, written, err)
		}
		got := fmt.Sprint(again.StatusLine, again.Fields, again.BodyEnd, again.ContentLength, again.ClosesConnection)
		if want := fmt.Sprint(head.StatusLine, head.Fields, head.BodyEnd, head.ContentLength, head.ClosesConnection); got != want || head.Status < MinStatus || head.Status > MaxStatus {
			t.Fatalf("Read(%q) = %s, and %s when written as %q; want the same, and a status from %d to %d", text, want, got, written, MinStatus, MaxStatus)
		}
	})
}
