package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// oneByteConn is a connection of which each read gives one byte.
type oneByteConn struct {
	net.Conn
	text string
}

func (d *oneByteConn) Read(into []byte) (int, error) {
	if d.text == "" {
		return 0, io.EOF
	}
	into[0], d.text = d.text[0], d.text[1:]
	return 1, nil
}

func (d *oneByteConn) SetReadDeadline(time.Time) error { return nil }

// A line end before a request line is let be, also where its halves come apart.
func TestSplitLineEndBeforeRequestLine(t *testing.T) {
	for _, before := range []string{"", "\r\n", "\r\n\r\n"} {
		conn := &connection{listener: newCallerListener(nil, 1, 1, nil, nil), conn: &oneByteConn{text: before + "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"}, buffer: make([]byte, initialBufferSize)}
		if _, err := conn.readHeader(defaultLimits); err != nil || conn.header.Target != "/a" {
			t.Errorf("%q before: %q, %v", before, conn.header.Target, err)
		}
	}
}

// Whatever a caller sends as a head, what is taken of it can't be taken for two requests.
func FuzzParseRequestHeader(f *testing.F) {
	for _, seed := range []string{"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", "GET /\x00 HTTP/1.1\r\nHost : a\r\n\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		header := RequestHeader{}
		if parseRequestHeader(text, &header) != nil {
			return
		}
		if header.Method == "" || header.Target == "" || header.contentLength < 0 || header.chunked && header.contentLength > 0 {
			t.Fatalf("taken: %+v", header)
		}
		if strings.ContainsAny(header.Target+header.Host, "\r\n \x00") {
			t.Fatalf("taken: target %q, host %q", header.Target, header.Host)
		}
	})
}
