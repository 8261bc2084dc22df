package proxy

import (
	"bytes"
	"strconv"
	"strings"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
)

// HeaderField is one line of a head, as it came.
type HeaderField struct{ Name, Value string }

// RequestHeader is the head of a request, as it came.
type RequestHeader struct {
	Method string
	Target string // path with query, just as it is handed on
	Path   string
	Host   string
	Fields []HeaderField

	http10            bool  // HTTP/1.0
	closeAfter        bool  // the caller wants no more on this connection
	chunked           bool  // the body comes in chunks
	contentLength     int64 // of the body, if not
	expectsContinue   bool  // the caller waits for word before it sends the body
	connectionOptions []string
	forwarded         []HeaderField // what is handed on
}

// Get gives the first field of a name.
func (h *RequestHeader) Get(name string) (string, bool) {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value, true
		}
	}
	return "", false
}

// selectForwarded settles which fields are handed on: those that a speech passes, but for what the caller
// named as meant for this connection alone.
func (h *RequestHeader) selectForwarded(passes func(name string) bool) {
	h.forwarded = h.forwarded[:0]
next:
	for _, field := range h.Fields {
		for _, option := range h.connectionOptions {
			if strings.EqualFold(option, field.Name) {
				continue next
			}
		}
		if passes(field.Name) {
			h.forwarded = append(h.forwarded, field)
		}
	}
}

// forwardedValue gives the first field of a name that is handed on.
func (h *RequestHeader) forwardedValue(name string) (string, bool) {
	for i := range h.forwarded {
		if strings.EqualFold(h.forwarded[i].Name, name) {
			return h.forwarded[i].Value, true
		}
	}
	return "", false
}

// tokenBytes are the bytes of which names and methods consist.
var tokenBytes = func() (table [256]bool) {
	for _, one := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		table[one] = true
	}
	return table
}()

func isToken(text string) bool {
	for i := 0; i < len(text); i++ {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

// isPrintable tells whether every byte is from a least one up and is no DEL; tabs are let through.
func isPrintable(text string, minByte byte) bool {
	for i := 0; i < len(text); i++ {
		if char := text[i]; (char < minByte && char != '\t') || char == 0x7f {
			return false
		}
	}
	return true
}

func malformed(detail string) error { return errs.New(errs.MalformedRequest, detail) }

var headerTerminator = []byte("\r\n\r\n")

// headerEnd finds where a head ends in what has come so far, 0 while it has not; from is how
// far the search came before.
func headerEnd(received []byte, searchedBytes int) int {
	start := max(0, searchedBytes-len(headerTerminator)+1)
	if index := bytes.Index(received[start:], headerTerminator); index >= 0 {
		return start + index + len(headerTerminator)
	}
	return 0
}

// parseRequestHeader reads a whole head. It repairs nothing: what another reader could take otherwise,
// as a bare line end, a folded line or two lengths, is refused.
func parseRequestHeader(text string, header *RequestHeader) error {
	*header = RequestHeader{Fields: header.Fields[:0], forwarded: header.forwarded[:0]}
	line, rest, found := strings.Cut(text, "\r\n")
	if !found {
		return malformed("request line")
	}
	if err := header.parseRequestLine(line); err != nil {
		return err
	}
	contentLengths, transferEncodings, hosts := 0, 0, 0
	http10 := strings.HasSuffix(line, " HTTP/1.0")
	header.http10 = http10
	for {
		line, rest, found = strings.Cut(rest, "\r\n")
		if !found {
			return malformed("a head that does not end")
		}
		if line == "" {
			break
		}
		name, value, hasColon := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !hasColon || !isToken(name) || !isPrintable(value, ' ') {
			return malformed("header line")
		}
		header.Fields = append(header.Fields, HeaderField{name, value})
		switch {
		case len(name) == len("Host") && strings.EqualFold(name, "Host"):
			hosts++
			if header.Host == "" {
				header.Host = value
			}
			if !validHost(value) {
				return malformed("Host")
			}
		case strings.EqualFold(name, "Content-Length"):
			length, err := strconv.ParseUint(value, 10, 62)
			if contentLengths++; err != nil || value[0] == '+' {
				return malformed("Content-Length")
			}
			header.contentLength = int64(length)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if transferEncodings++; !strings.EqualFold(value, "chunked") {
				return malformed("Transfer-Encoding")
			}
			header.chunked = true
		case strings.EqualFold(name, "Expect"):
			if !strings.EqualFold(value, "100-continue") {
				return malformed("Expect")
			}
			header.expectsContinue = true
		case strings.EqualFold(name, "Connection"):
			for _, option := range strings.Split(value, ",") {
				switch option = strings.Trim(option, " \t"); {
				case strings.EqualFold(option, "close"):
					header.closeAfter = true
				case option != "":
					header.connectionOptions = append(header.connectionOptions, option)
				}
			}
		}
	}
	switch {
	case rest != "":
		return malformed("head")
	case contentLengths > 1, transferEncodings > 1, contentLengths+transferEncodings > 1:
		return malformed("more than one length")
	case http10 && transferEncodings > 0:
		return malformed("Transfer-Encoding in HTTP/1.0")
	case hosts > 1, hosts == 0 && !http10:
		return malformed("Host is needed once")
	}
	header.closeAfter = header.closeAfter || http10
	header.expectsContinue = header.expectsContinue && !http10
	return nil
}

// parseRequestLine reads the request line.
func (h *RequestHeader) parseRequestLine(line string) error {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	switch {
	case !hasTarget || !hasVersion || !isToken(method) || target == "" || strings.ContainsRune(target, '\t') || !isPrintable(target, '!'):
		return malformed("request line")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return malformed("protocol")
	}
	h.Method, h.Target = method, target
	// In the absolute form the target names the host itself, and the Host line says nothing.
	if scheme, authorityAndPath, absolute := strings.Cut(target, "://"); absolute && strings.EqualFold(scheme, "http") {
		pathStart := strings.IndexAny(authorityAndPath, "/?")
		if pathStart < 0 {
			pathStart = len(authorityAndPath)
		}
		h.Host, h.Target = authorityAndPath[:pathStart], authorityAndPath[pathStart:]
		if h.Host == "" || !validHost(h.Host) {
			return malformed("target")
		}
		if h.Target == "" || h.Target[0] == '?' {
			h.Target = "/" + h.Target
		}
	}
	if h.Target[0] != '/' && !(h.Target == "*" && method == "OPTIONS") {
		return malformed("target")
	}
	h.Path, _, _ = strings.Cut(h.Target, "?")
	return nil
}

// validHost tells whether a text can be a host with or without a port.
func validHost(text string) bool {
	return isPrintable(text, '!') && !strings.ContainsAny(text, "/?#@\\, \t")
}

// Response is what a caller gets.
type Response struct {
	Status      int
	Body        []byte
	headerBlock []byte // as lines
}

func (r *Response) reset() { r.Status, r.Body, r.headerBlock = 0, nil, r.headerBlock[:0] }

// AddHeader adds a field.
func (r *Response) AddHeader(name, value string) {
	r.headerBlock = dispatch.AppendField(r.headerBlock, name, value)
}

// HeaderValue gives the first field of a name.
func (r *Response) HeaderValue(name string) string {
	return dispatch.FieldOf(r.headerBlock, name)
}
