package proxy

import (
	"bytes"
	"strconv"
	"strings"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/dispatch"
)

// Field is one line of a head, as it came.
type Field struct{ Name, Value string }

// Head is the head of a request, as it came.
type Head struct {
	Method string
	Target string // path with query, just as it is handed on
	Path   string
	Host   string
	Fields []Field

	old      bool  // HTTP/1.0
	closes   bool  // the caller wants no more on this connection
	chunked  bool  // the body comes in chunks
	length   int64 // of the body, if not
	expects  bool  // the caller waits for word before it sends the body
	dropping []string
	kept     []Field // what is handed on
}

// Get gives the first field of a name.
func (h *Head) Get(name string) (string, bool) {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value, true
		}
	}
	return "", false
}

// pass settles which fields are handed on: those that a speech passes, but for what the caller
// named as meant for this connection alone.
func (h *Head) pass(passes func(name string) bool) {
	h.kept = h.kept[:0]
next:
	for _, field := range h.Fields {
		for _, one := range h.dropping {
			if strings.EqualFold(one, field.Name) {
				continue next
			}
		}
		if passes(field.Name) {
			h.kept = append(h.kept, field)
		}
	}
}

// passed gives the first field of a name that is handed on.
func (h *Head) passed(name string) (string, bool) {
	for i := range h.kept {
		if strings.EqualFold(h.kept[i].Name, name) {
			return h.kept[i].Value, true
		}
	}
	return "", false
}

// tokens are the bytes of which names and methods consist.
var tokens = func() (table [256]bool) {
	for _, one := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		table[one] = true
	}
	return table
}()

func isToken(text string) bool {
	for i := 0; i < len(text); i++ {
		if !tokens[text[i]] {
			return false
		}
	}
	return text != ""
}

// clean tells whether every byte is from a least one up and is no DEL; tabs are let through.
func clean(text string, least byte) bool {
	for i := 0; i < len(text); i++ {
		if one := text[i]; (one < least && one != '\t') || one == 0x7f {
			return false
		}
	}
	return true
}

func malformed(detail string) error { return defect.New(defect.Malformed, detail) }

var endOfHead = []byte("\r\n\r\n")

// headEnds finds where a head ends in what has come so far, 0 while it has not; from is how
// far the search came before.
func headEnds(came []byte, from int) int {
	start := max(0, from-len(endOfHead)+1)
	if at := bytes.Index(came[start:], endOfHead); at >= 0 {
		return start + at + len(endOfHead)
	}
	return 0
}

// parseHead reads a whole head. It repairs nothing: what another reader could take otherwise,
// as a bare line end, a folded line or two lengths, is refused.
func parseHead(text string, into *Head) error {
	*into = Head{Fields: into.Fields[:0], kept: into.kept[:0]}
	line, rest, found := strings.Cut(text, "\r\n")
	if !found {
		return malformed("request line")
	}
	if err := into.parseLine(line); err != nil {
		return err
	}
	lengths, encodings, hosts := 0, 0, 0
	old := strings.HasSuffix(line, " HTTP/1.0")
	into.old = old
	for {
		line, rest, found = strings.Cut(rest, "\r\n")
		if !found {
			return malformed("a head that does not end")
		}
		if line == "" {
			break
		}
		name, value, colon := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !colon || !isToken(name) || !clean(value, ' ') {
			return malformed("header line")
		}
		into.Fields = append(into.Fields, Field{name, value})
		switch {
		case len(name) == len("Host") && strings.EqualFold(name, "Host"):
			hosts++
			if into.Host == "" {
				into.Host = value
			}
			if !validHost(value) {
				return malformed("Host")
			}
		case strings.EqualFold(name, "Content-Length"):
			length, err := strconv.ParseUint(value, 10, 62)
			if lengths++; err != nil || value[0] == '+' {
				return malformed("Content-Length")
			}
			into.length = int64(length)
		case strings.EqualFold(name, "Transfer-Encoding"):
			if encodings++; !strings.EqualFold(value, "chunked") {
				return malformed("Transfer-Encoding")
			}
			into.chunked = true
		case strings.EqualFold(name, "Expect"):
			if !strings.EqualFold(value, "100-continue") {
				return malformed("Expect")
			}
			into.expects = true
		case strings.EqualFold(name, "Connection"):
			for _, option := range strings.Split(value, ",") {
				switch option = strings.Trim(option, " \t"); {
				case strings.EqualFold(option, "close"):
					into.closes = true
				case option != "":
					into.dropping = append(into.dropping, option)
				}
			}
		}
	}
	switch {
	case rest != "":
		return malformed("head")
	case lengths > 1, encodings > 1, lengths+encodings > 1:
		return malformed("more than one length")
	case old && encodings > 0:
		return malformed("Transfer-Encoding in HTTP/1.0")
	case hosts > 1, hosts == 0 && !old:
		return malformed("Host is needed once")
	}
	into.closes = into.closes || old
	into.expects = into.expects && !old
	return nil
}

// parseLine reads the request line.
func (h *Head) parseLine(line string) error {
	method, rest, first := strings.Cut(line, " ")
	target, version, second := strings.Cut(rest, " ")
	switch {
	case !first || !second || !isToken(method) || target == "" || strings.ContainsRune(target, '\t') || !clean(target, '!'):
		return malformed("request line")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return malformed("protocol")
	}
	h.Method, h.Target = method, target
	// In the absolute form the target names the host itself, and the Host line says nothing.
	if scheme, after, absolute := strings.Cut(target, "://"); absolute && strings.EqualFold(scheme, "http") {
		at := strings.IndexAny(after, "/?")
		if at < 0 {
			at = len(after)
		}
		h.Host, h.Target = after[:at], after[at:]
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
func validHost(text string) bool { return clean(text, '!') && !strings.ContainsAny(text, "/?#@\\, \t") }

// Reply is what a caller gets.
type Reply struct {
	Status int
	Body   []byte
	fields []byte // as lines
}

func (r *Reply) reset() { r.Status, r.Body, r.fields = 0, nil, r.fields[:0] }

// Add adds a field.
func (r *Reply) Add(name, value string) {
	r.fields = dispatch.AppendField(r.fields, name, value)
}

// Field gives the first field of a name.
func (r *Reply) Field(name string) string {
	return dispatch.FieldOf(r.fields, name)
}
