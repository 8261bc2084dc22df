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
	text string
}

func (c *oneByteConn) Read(into []byte) (int, error) {
	if c.text == "" {
		return 0, io.EOF
	}
	into[0], c.text = c.text[0], c.text[1:]
	return 1, nil
}

func (c *oneByteConn) SetReadDeadline(time.Time) error { return nil }

// Line ends before a request line are skipped, also if their two bytes arrive apart.
func TestSplitLineEndBeforeRequestLine(t *testing.T) {
	for _, before := range []string{"", "\r\n", "\r\n\r\n"} {
		t.Run(strconv.Quote(before), func(t *testing.T) {
			conn := &connection{
				listener: newCallerListener(nil, 1, 1, nil, nil),
				conn:     &oneByteConn{text: before + "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"},
				buffer:   make([]byte, initialBufferSize),
			}
			if _, err := conn.readHeader(defaultLimits); err != nil || conn.header.Target != "/a" {
				t.Errorf("target %q, %v", conn.header.Target, err)
			}
		})
	}
}

// If several lines are wrong, the first one decides the error that the caller reads; what the lines make together is
// judged after all of them.
func TestFirstWrongLineDecidesTheError(t *testing.T) {
	const requestLine = "GET /a HTTP/1.1\r\n"
	for name, test := range map[string]struct{ text, want string }{
		"length before host":       {requestLine + "Content-Length: x\r\nHost: a/b\r\n\r\n", "Content-Length"},
		"host before length":       {requestLine + "Host: a/b\r\nContent-Length: x\r\n\r\n", "Host"},
		"encoding before expect":   {requestLine + "Transfer-Encoding: gzip\r\nExpect: x\r\n\r\n", "Transfer-Encoding"},
		"expect before a bad line": {requestLine + "Expect: x\r\nX\r\n\r\n", "Expect"},
		"request line before all":  {"GET a HTTP/1.1\r\nX\r\n\r\n", "target"},
		"a line before the end":    {requestLine + "Host: a/b\r\nX: y", "Host"},
		"the end before framing":   {requestLine + "Content-Length: 1\r\nContent-Length: 1\r\n", "a head that does not end"},
		"rest before framing":      {requestLine + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "head"},
		"framing before host":      {requestLine + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", "more than one length"},
		"HTTP/1.0 before host":     {"GET /a HTTP/1.0\r\nHost: a\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding in HTTP/1.0"},
		"no host":                  {requestLine + "\r\n", "Host is needed once"},
	} {
		t.Run(name, func(t *testing.T) {
			if got, want := fmt.Sprint(parseRequestHeader(test.text, &RequestHeader{})), malformed(test.want).Error(); got != want {
				t.Errorf("error %q, want %q", got, want)
			}
		})
	}
}

// Whatever a caller sends as a header, what the parser accepts of it cannot be understood as two requests.
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
			t.Fatalf("accepted: %+v", header)
		}
		if strings.ContainsAny(header.Target+header.Host, "\r\n \x00") {
			t.Fatalf("accepted: target %q, host %q", header.Target, header.Host)
		}
	})
}
