package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// dripping is a connection of which each read gives one byte.
type dripping struct {
	net.Conn
	text string
}

func (d *dripping) Read(into []byte) (int, error) {
	if d.text == "" {
		return 0, io.EOF
	}
	into[0], d.text = d.text[0], d.text[1:]
	return 1, nil
}

func (d *dripping) SetReadDeadline(time.Time) error { return nil }

// A line end before a request line is let be, also where its halves come apart.
func TestLineEndInHalves(t *testing.T) {
	for _, before := range []string{"", "\r\n", "\r\n\r\n"} {
		one := &connection{front: newFront(nil, 1, 1, nil, nil), conn: &dripping{text: before + "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"}, buffer: make([]byte, firstRead)}
		if _, err := one.readHead(usual); err != nil || one.head.Target != "/a" {
			t.Errorf("%q before: %q, %v", before, one.head.Target, err)
		}
	}
}

// Whatever a caller sends as a head, what is taken of it can't be taken for two requests.
func FuzzParseHead(f *testing.F) {
	for _, seed := range []string{"GET /a HTTP/1.1\r\nHost: a\r\n\r\n", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", "GET /\x00 HTTP/1.1\r\nHost : a\r\n\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		head := Head{}
		if parseHead(text, &head) != nil {
			return
		}
		if head.Method == "" || head.Target == "" || head.length < 0 || head.chunked && head.length > 0 {
			t.Fatalf("taken: %+v", head)
		}
		if strings.ContainsAny(head.Target+head.Host, "\r\n \x00") {
			t.Fatalf("taken: target %q, host %q", head.Target, head.Host)
		}
	})
}
