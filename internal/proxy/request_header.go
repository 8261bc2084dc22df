package proxy

import "strings"

// HeaderField is one header field as it arrived, without the white space around its value.
type HeaderField struct{ Name, Value string }

// RequestHeader is the header of a request as it arrived: the request line and the header fields. The connection reuses
// the value for the next request, so it must not be retained after the response is written.
type RequestHeader struct {
	Method string        // request method
	Target string        // path with query, forwarded byte by byte
	Path   string        // target without its query
	Host   string        // host of an absolute target, otherwise the value of the Host field
	Fields []HeaderField // all header fields in the order of arrival

	http10            bool          // whether the request uses HTTP/1.0
	closeAfter        bool          // whether the caller sends no further request on this connection
	chunked           bool          // whether the body is chunked
	contentLength     int64         // length of a body that is not chunked, in bytes; 0 for none
	expectsContinue   bool          // whether the caller waits for an interim response before it sends the body
	connectionOptions []string      // names in Connection fields, other than "close"; fields with these names are not forwarded
	forwarded         []HeaderField // fields to forward; set by selectForwarded
}

// Get returns the value of the first field called name, and whether there is one. Names are not case-sensitive.
func (h *RequestHeader) Get(name string) (string, bool) { return firstValue(h.Fields, name) }

// selectForwarded selects the fields to forward: those for which passes returns true, except the hop-by-hop fields that
// the caller named in Connection (RFC 9110, section 7.6.1).
func (h *RequestHeader) selectForwarded(passes func(name string) bool) {
	h.forwarded = h.forwarded[:0]
	for _, field := range h.Fields {
		if !h.isConnectionOption(field.Name) && passes(field.Name) {
			h.forwarded = append(h.forwarded, field)
		}
	}
}

// isConnectionOption reports whether a Connection field lists name.
func (h *RequestHeader) isConnectionOption(name string) bool {
	for _, option := range h.connectionOptions {
		if strings.EqualFold(option, name) {
			return true
		}
	}
	return false
}

// forwardedValue returns the value of the first forwarded field called name, and whether there is one.
func (h *RequestHeader) forwardedValue(name string) (string, bool) {
	return firstValue(h.forwarded, name)
}

// firstValue returns the value of the first of fields called name, and whether there is one. Names are not
// case-sensitive.
func firstValue(fields []HeaderField, name string) (string, bool) {
	for i := range fields {
		if strings.EqualFold(fields[i].Name, name) {
			return fields[i].Value, true
		}
	}
	return "", false
}
