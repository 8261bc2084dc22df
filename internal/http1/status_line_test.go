package http1

import "testing"

// A status line is accepted with any reason phrase or none, and refused if any part of it is invalid.
func TestParseStatusLine(t *testing.T) {
	for line, want := range map[string]StatusLine{
		"HTTP/1.1 200 OK":                {Status: 200},
		"HTTP/1.1 200 ":                  {Status: 200},
		"HTTP/1.1 200":                   {Status: 200},
		"HTTP/1.1 100 Continue":          {Status: 100},
		"HTTP/1.1 599 \tVer\xfc rare ":   {Status: 599},
		"HTTP/1.0 404 Not Found":         {Status: 404, HTTP10: true},
		"HTTP/1.7 200 later minor":       {Status: 200},
		"":                               {},
		"HTTP/1.1":                       {},
		"HTTP/1.1 ":                      {},
		"HTTP/1.1 20":                    {},
		"HTTP/1.1 000 None":              {},
		"HTTP/1.1 099 Low":               {},
		"HTTP/1.1 600 High":              {},
		"HTTP/1.1 999 High":              {},
		"HTTP/1.1 2000 OK":               {},
		"HTTP/1.1 200OK":                 {},
		"HTTP/1.1 200\tOK":               {},
		"HTTP/1.1 +20 OK":                {},
		"HTTP/1.1 2x0 OK":                {},
		"HTTP/1.1 200 O\x00K":            {},
		"HTTP/1.1 200 O\rK":              {},
		"HTTP/1.1 200 O\x7fK":            {},
		"HTTP/1.1  200 OK":               {},
		" HTTP/1.1 200 OK":               {},
		"http/1.1 200 OK":                {},
		"HTTP/2.0 200 OK":                {},
		"HTTP/1.x 200 OK":                {},
		"HTTP/1.11 200 OK":               {},
		"ICY 200 OK, this is no HTTP/1.": {},
	} {
		got, err := ParseStatusLine([]byte(line))
		if got != want || (err == nil) != (want.Status > 0) {
			t.Errorf("ParseStatusLine(%q) = %+v, error %v; want %+v, and an error for a zero value", line, got, err, want)
		}
	}
}
