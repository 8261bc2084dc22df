package proxy

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// oneByteConn is a connection whose reads return one byte each.
type oneByteConn struct {
	net.Conn
	text string // bytes not read yet
}

// Read returns the next byte of the text, or io.EOF after the last one.
func (c *oneByteConn) Read(into []byte) (int, error) {
	if c.text == "" {
		return 0, io.EOF
	}
	into[0], c.text = c.text[0], c.text[1:]
	return 1, nil
}

// SetReadDeadline does nothing, because Read never blocks.
func (c *oneByteConn) SetReadDeadline(time.Time) error { return nil }

// Empty lines before the request line are skipped even if CR and LF arrive in separate reads.
func TestEmptyLinesBeforeRequestLineAreSkipped(t *testing.T) {
	for _, before := range []string{"", "\r\n", "\r\n\r\n"} {
		t.Run(strconv.Quote(before), func(t *testing.T) {
			conn := &connection{
				listener: newCallerListener(nil, 1, 1, nil, nil),
				conn:     &oneByteConn{text: before + "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"},
				buffer:   make([]byte, initialBufferSize),
			}
			if _, err := conn.readHeader(defaultLimits); err != nil || conn.header.Target != "/a" {
				t.Errorf("readHeader: target %q, error %v; want %q and no error", conn.header.Target, err, "/a")
			}
		})
	}
}

// If several lines are invalid, the first one determines the error in the response to the caller. Rules on all lines
// together are checked last.
func TestFirstInvalidLineDeterminesError(t *testing.T) {
	const requestLine = "GET /a HTTP/1.1\r\n"
	for name, test := range map[string]struct{ text, want string }{
		"length before host":           {requestLine + "Content-Length: x\r\nHost: a/b\r\n\r\n", "invalid Content-Length"},
		"host before length":           {requestLine + "Host: a/b\r\nContent-Length: x\r\n\r\n", "invalid Host"},
		"encoding before expect":       {requestLine + "Transfer-Encoding: gzip\r\nExpect: x\r\n\r\n", "unsupported Transfer-Encoding"},
		"expect before invalid line":   {requestLine + "Expect: x\r\nX\r\n\r\n", "unsupported Expect"},
		"request line before others":   {"GET a HTTP/1.1\r\nX\r\n\r\n", "invalid target"},
		"line before missing end":      {requestLine + "Host: a/b\r\nX: y", "invalid Host"},
		"missing end before framing":   {requestLine + "Content-Length: 1\r\nContent-Length: 1\r\n", "header is not terminated"},
		"trailing data before framing": {requestLine + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "data after the end of the header"},
		"framing before host":          {requestLine + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", "more than one Content-Length or Transfer-Encoding"},
		"HTTP/1.0 before hosts":        {"GET /a HTTP/1.0\r\nHost: a\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding in HTTP/1.0"},
		"no host":                      {requestLine + "\r\n", "missing or repeated Host"},
	} {
		t.Run(name, func(t *testing.T) {
			if got, want := fmt.Sprint(parseRequestHeader(test.text, &RequestHeader{})), malformed(test.want).Error(); got != want {
				t.Errorf("parseRequestHeader(%q): error %q, want %q", test.text, got, want)
			}
		})
	}
}

// A header that the parser accepts cannot be interpreted as two requests, whatever the input.
func FuzzParseRequestHeader(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n",
		"GET /\x00 HTTP/1.1\r\nHost : a\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		header := RequestHeader{}
		if parseRequestHeader(text, &header) != nil {
			return
		}
		if header.Method == "" || header.Target == "" || header.contentLength < 0 || header.chunked && header.contentLength > 0 {
			t.Fatalf("parseRequestHeader(%q) accepted an incomplete or ambiguous header: %+v", text, header)
		}
		if strings.ContainsAny(header.Target+header.Host, "\r\n \x00") {
			t.Fatalf("parseRequestHeader(%q) accepted target %q and host %q, want an error for white space or NUL",
				text, header.Target, header.Host)
		}
	})
}
