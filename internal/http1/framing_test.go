package http1

import (
	"bufio"
	"strings"
	"testing"
)

// The end of a body and of the connection follows from the fields, and from nothing that only looks like them.
func TestFraming(t *testing.T) {
	type framing struct {
		end    BodyEnd
		length uint64
		closes bool
	}
	for text, want := range map[string]framing{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n":                                  {end: EndsWithLength, length: 5},
		"HTTP/1.1 200 OK\r\ncontent-length:005\r\n":                                 {end: EndsWithLength, length: 5},
		"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n":                               {end: EndsWithLength, length: 5},
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n":             {end: EndsWithLength, length: 5},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n":                         {end: EndsWithLastChunk},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: , chunked,\r\n":                      {end: EndsWithLastChunk},
		"HTTP/1.1 200 OK\r\nX-Content-Length: 5\r\nX: Content-Length: 5\r\n":        {},
		"HTTP/1.1 200 OK\r\n":                                                       {},
		"HTTP/1.1 200 OK\r\nConnection: close\r\n":                                  {closes: true},
		"HTTP/1.1 200 OK\r\nConnection: X-A ,, Close\r\nConnection: keep-alive\r\n": {closes: true},
		"HTTP/1.1 200 OK\r\nConnection: closed\r\n":                                 {},
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n":                                  {end: EndsWithLength, length: 5, closes: true},
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\nConnection: Keep-Alive\r\n":        {end: EndsWithLength, length: 5},
	} {
		head := &ResponseHead{}
		err := head.Read(bufio.NewReader(strings.NewReader(text+"\r\n")), maxTestBytes)
		if got := (framing{head.BodyEnd, head.ContentLength, head.ClosesConnection}); err != nil || got != want {
			t.Errorf("Read(%q): framing %+v, error %v; want %+v and no error", text, got, err, want)
		}
	}
}

// A chunk size is hexadecimal, and may be followed by white space and an extension.
func TestParseChunkSize(t *testing.T) {
	for line, want := range map[string]uint64{
		"0": 0, "000": 0, "5": 5, "00ff": 255, "Ff": 255, "5 \t": 5, "5;a=b": 5, "5 ; a=\"b c\"": 5, "3fffffffffffffff": 1<<62 - 1,
	} {
		if size, err := ParseChunkSize([]byte(line)); err != nil || size != want {
			t.Errorf("ParseChunkSize(%q) = %d, error %v; want %d", line, size, err, want)
		}
	}
	for _, line := range []string{"", " ", ";a", " 5", "+5", "-5", "0x5", "5 5", "5g", "5_0", "5\r", "5;a\x01", "4000000000000000", "10000000000000005"} {
		if size, err := ParseChunkSize([]byte(line)); err == nil {
			t.Errorf("ParseChunkSize(%q) = %d, want an error", line, size)
		}
	}
}
