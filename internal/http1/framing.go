package http1

import (
	"bytes"
	"strconv"
)

// framingFields accumulates what the fields of a head say about the end of the body and of the connection.
type framingFields struct {
	hasLength         bool     // a Content-Length field was read
	contentLength     uint64   // its value; equal in all such fields
	hasTransferCoding bool     // a Transfer-Encoding field was read
	chunkedCodings    int      // number of times that chunked is listed
	connectionOptions [][]byte // options in Connection fields
}

// add applies a field.
func (f *framingFields) add(field Field) error {
	switch {
	case equalFold(field.Name, "Content-Length"):
		return f.addContentLength(field.Value)
	case equalFold(field.Name, "Transfer-Encoding"):
		return f.addTransferEncoding(field.Value)
	case equalFold(field.Name, "Connection"):
		for option := range listElements(field.Value) {
			f.connectionOptions = append(f.connectionOptions, option)
		}
	}
	return nil
}

// addContentLength applies a Content-Length field. The same length may be stated repeatedly, in several fields or in a
// list (RFC 9112, section 6.3, item 5).
func (f *framingFields) addContentLength(value []byte) error {
	for element := range bytes.SplitSeq(value, []byte{','}) {
		length, err := strconv.ParseUint(string(bytes.Trim(element, " \t")), 10, 63)
		if err != nil || (f.hasLength && length != f.contentLength) {
			return invalid("response has an invalid Content-Length, or two of them")
		}
		f.hasLength, f.contentLength = true, length
	}
	return nil
}

// addTransferEncoding applies a Transfer-Encoding field. Requests to workers ask for no transfer coding, so that only
// chunked can be decoded (RFC 9112, section 7).
func (f *framingFields) addTransferEncoding(value []byte) error {
	f.hasTransferCoding = true
	for coding := range listElements(value) {
		if !equalFold(coding, "chunked") {
			return invalid("response has a transfer coding other than chunked")
		}
		f.chunkedCodings++
	}
	return nil
}

// applyFraming determines the end of the body and of the connection once all fields are read. Combinations that are no
// sound framing are refused: they are what request smuggling and response splitting are made of (RFC 9112, sections 6.1
// and 6.3).
func (h *ResponseHead) applyFraming(framing *framingFields) error {
	switch {
	case framing.hasTransferCoding && framing.chunkedCodings != 1:
		return invalid("response does not have the transfer coding chunked exactly once")
	case framing.hasTransferCoding && framing.hasLength:
		return invalid("response has both Transfer-Encoding and Content-Length")
	case framing.hasTransferCoding && h.HTTP10:
		return invalid("response of HTTP/1.0 has a Transfer-Encoding")
	case framing.hasTransferCoding:
		h.BodyEnd = EndsWithLastChunk
	case framing.hasLength:
		h.BodyEnd, h.ContentLength = EndsWithLength, framing.contentLength
	}
	h.connectionOptions = framing.connectionOptions
	keepAlive := h.IsConnectionOption([]byte("keep-alive"))
	h.ClosesConnection = h.IsConnectionOption([]byte("close")) || (h.HTTP10 && !keepAlive)
	return nil
}

// listElements iterates over the elements of a comma-separated list, without white space and without empty elements (RFC
// 9110, section 5.6.1).
func listElements(list []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for element := range bytes.SplitSeq(list, []byte{','}) {
			if element = bytes.Trim(element, " \t"); len(element) > 0 && !yield(element) {
				return
			}
		}
	}
}
