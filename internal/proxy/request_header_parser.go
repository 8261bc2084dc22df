package proxy

import (
	"strconv"
	"strings"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/http1"
)

// malformed returns the error of a request that violates the protocol. The error response to the caller contains detail.
func malformed(detail string) error { return errs.New(errs.MalformedRequest, detail) }

// framingLines counts the header lines that determine the end of the request and its host.
type framingLines struct {
	contentLengths    int // Content-Length lines
	transferEncodings int // Transfer-Encoding lines
	hosts             int // Host lines
}

// parseRequestHeader parses the text of a complete header into header (RFC 9112). It repairs nothing: a header that
// another parser could interpret differently, with a bare line feed, a folded line or two lengths, is rejected with
// errs.MalformedRequest.
//
// The first invalid line determines the error. A line is counted before its value is checked.
func parseRequestHeader(text string, header *RequestHeader) error {
	*header = RequestHeader{Fields: header.Fields[:0], forwarded: header.forwarded[:0]}
	line, rest, found := strings.Cut(text, "\r\n")
	if !found {
		return malformed("invalid request line")
	}
	if err := header.parseRequestLine(line); err != nil {
		return err
	}
	lines := framingLines{}
	for {
		line, rest, found = strings.Cut(rest, "\r\n")
		if !found {
			return malformed("header is not terminated")
		}
		if line == "" {
			break
		}
		if err := header.parseHeaderLine(line, &lines); err != nil {
			return err
		}
	}
	if err := header.checkFraming(&lines, rest); err != nil {
		return err
	}
	header.closeAfter = header.closeAfter || header.http10
	header.expectsContinue = header.expectsContinue && !header.http10
	return nil
}

// parseRequestLine parses the method, the target and the protocol version.
func (h *RequestHeader) parseRequestLine(line string) error {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	switch {
	case !hasTarget || !hasVersion || !http1.IsToken(method) || target == "" || strings.ContainsAny(target, " \t") || !http1.IsFieldContent(target):
		return malformed("invalid request line")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return malformed("unsupported protocol version")
	}
	h.Method, h.Target = method, target
	if err := h.splitAbsoluteTarget(); err != nil {
		return err
	}
	isStar := h.Target == "*" && method == "OPTIONS"
	if h.Target[0] != '/' && !isStar {
		return malformed("invalid target")
	}
	h.Path, _, _ = strings.Cut(h.Target, "?")
	h.http10 = version == "HTTP/1.0"
	return nil
}

// splitAbsoluteTarget splits a target in absolute form into host and origin form. The host of such a target takes
// precedence over the Host field (RFC 9112, section 3.2.2). Other targets are left unchanged.
func (h *RequestHeader) splitAbsoluteTarget() error {
	scheme, authorityAndPath, absolute := strings.Cut(h.Target, "://")
	if !absolute || !strings.EqualFold(scheme, "http") {
		return nil
	}
	pathStart := strings.IndexAny(authorityAndPath, "/?")
	if pathStart < 0 {
		pathStart = len(authorityAndPath)
	}
	h.Host, h.Target = authorityAndPath[:pathStart], authorityAndPath[pathStart:]
	if h.Host == "" || !validHost(h.Host) {
		return malformed("invalid host in target")
	}
	if h.Target == "" || h.Target[0] == '?' {
		h.Target = "/" + h.Target
	}
	return nil
}

// parseHeaderLine appends one header line to Fields, and applies the fields that concern framing or the connection.
func (h *RequestHeader) parseHeaderLine(line string, lines *framingLines) error {
	name, value, hasColon := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !hasColon || !http1.IsToken(name) || !http1.IsFieldContent(value) {
		return malformed("invalid header line")
	}
	h.Fields = append(h.Fields, HeaderField{name, value})
	switch {
	case len(name) == len("Host") && strings.EqualFold(name, "Host"):
		return h.applyHost(value, lines)
	case strings.EqualFold(name, "Content-Length"):
		return h.applyContentLength(value, lines)
	case strings.EqualFold(name, "Transfer-Encoding"):
		return h.applyTransferEncoding(value, lines)
	case strings.EqualFold(name, "Expect"):
		return h.applyExpect(value)
	case strings.EqualFold(name, "Connection"):
		h.applyConnection(value)
	}
	return nil
}

// applyHost sets the host from a Host line, unless the target or an earlier line has set it.
func (h *RequestHeader) applyHost(value string, lines *framingLines) error {
	lines.hosts++
	if h.Host == "" {
		h.Host = value
	}
	if !validHost(value) {
		return malformed("invalid Host")
	}
	return nil
}

// applyContentLength sets the length of the body from a Content-Length line. Only decimal digits are accepted.
func (h *RequestHeader) applyContentLength(value string, lines *framingLines) error {
	lines.contentLengths++
	length, err := strconv.ParseUint(value, 10, 62)
	if err != nil || value[0] == '+' {
		return malformed("invalid Content-Length")
	}
	h.contentLength = int64(length)
	return nil
}

// applyTransferEncoding applies a Transfer-Encoding line. It accepts only "chunked", because the proxy decodes no other
// encoding.
func (h *RequestHeader) applyTransferEncoding(value string, lines *framingLines) error {
	lines.transferEncodings++
	if !strings.EqualFold(value, "chunked") {
		return malformed("unsupported Transfer-Encoding")
	}
	h.chunked = true
	return nil
}

// applyExpect applies an Expect line. It accepts only "100-continue", the only defined expectation.
func (h *RequestHeader) applyExpect(value string) error {
	if !strings.EqualFold(value, "100-continue") {
		return malformed("unsupported Expect")
	}
	h.expectsContinue = true
	return nil
}

// applyConnection applies the options of a Connection line.
func (h *RequestHeader) applyConnection(value string) {
	for _, option := range strings.Split(value, ",") {
		switch option = strings.Trim(option, " \t"); {
		case strings.EqualFold(option, "close"):
			h.closeAfter = true
		case option != "":
			h.connectionOptions = append(h.connectionOptions, option)
		}
	}
}

// checkFraming rejects a header whose lines together leave the end or the host of the request ambiguous. afterHeader is
// the text that follows the header, which must be empty.
func (h *RequestHeader) checkFraming(lines *framingLines, afterHeader string) error {
	switch {
	case afterHeader != "":
		return malformed("data after the end of the header")
	case lines.contentLengths+lines.transferEncodings > 1:
		return malformed("more than one Content-Length or Transfer-Encoding")
	case h.http10 && lines.transferEncodings > 0:
		return malformed("Transfer-Encoding in HTTP/1.0")
	case lines.hosts > 1, lines.hosts == 0 && !h.http10:
		return malformed("missing or repeated Host")
	}
	return nil
}

// validHost reports whether text can be a host with or without a port. An empty text is valid.
func validHost(text string) bool {
	return http1.IsFieldContent(text) && !strings.ContainsAny(text, "/?#@\\, \t")
}
