package proxy

import "strings"

// HeaderField is one header line as it arrived, without the white space around its value.
type HeaderField struct{ Name, Value string }

// RequestHeader is a request's header as it arrived: the request line and the header lines. Its connection reuses
// it for the next request.
type RequestHeader struct {
	Method string
	Target string // path with query, forwarded byte by byte
	Path   string // the target without its query
	Host   string // of an absolute target, otherwise of the Host line
	Fields []HeaderField

	http10            bool          // HTTP/1.0
	closeAfter        bool          // the caller sends no other request on this connection
	chunked           bool          // the body is chunked
	contentLength     int64         // of the body in bytes, if it is not chunked
	expectsContinue   bool          // the caller waits for an interim response before it sends the body
	connectionOptions []string      // the names in Connection lines: fields that are not forwarded
	forwarded         []HeaderField // the fields to forward, set by selectForwarded
}

// Get returns the first field of a name, in any case of letters, and whether there is one.
func (h *RequestHeader) Get(name string) (string, bool) { return firstValue(h.Fields, name) }

// selectForwarded selects the fields to forward: those that passes accepts, without the ones that the caller named
// as meant for this connection only (RFC 9110, section 7.6.1).
func (h *RequestHeader) selectForwarded(passes func(name string) bool) {
	h.forwarded = h.forwarded[:0]
	for _, field := range h.Fields {
		if !h.isConnectionOption(field.Name) && passes(field.Name) {
			h.forwarded = append(h.forwarded, field)
		}
	}
}

// isConnectionOption reports whether a Connection line names a field.
func (h *RequestHeader) isConnectionOption(name string) bool {
	for _, option := range h.connectionOptions {
		if strings.EqualFold(option, name) {
			return true
		}
	}
	return false
}

// forwardedValue returns the first field of a name among those that are forwarded.
func (h *RequestHeader) forwardedValue(name string) (string, bool) {
	return firstValue(h.forwarded, name)
}

// firstValue returns the first value of a name in fields, and whether there is one.
func firstValue(fields []HeaderField, name string) (string, bool) {
	for i := range fields {
		if strings.EqualFold(fields[i].Name, name) {
			return fields[i].Value, true
		}
	}
	return "", false
}
