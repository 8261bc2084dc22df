package proxy

import (
	"strconv"
	"strings"

	"meadowhinge/internal/errs"
)

// tokenBytes are the bytes that header names and methods consist of (RFC 9110, section 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for _, char := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		table[char] = true
	}
	return table
}()

// isToken reports whether a text is a name or method.
func isToken(text string) bool {
	for i := 0; i < len(text); i++ {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

// isPrintable reports whether every byte is minByte or higher and none is DEL; tabs are allowed.
func isPrintable(text string, minByte byte) bool {
	for i := 0; i < len(text); i++ {
		if char := text[i]; (char < minByte && char != '\t') || char == 0x7f {
			return false
		}
	}
	return true
}

// malformed is the error of a request that cannot be understood; the caller reads detail in the response.
func malformed(detail string) error { return errs.New(errs.MalformedRequest, detail) }

// framingLines counts the header lines that decide where the request ends and for which host it is.
type framingLines struct {
	contentLengths    int
	transferEncodings int
	hosts             int
}

// parseRequestHeader parses a complete header into header. It repairs nothing: what another reader could understand
// differently (a bare line end, a folded line, two lengths) is rejected.
//
// The first wrong line decides the error. A line is counted before its value is checked.
func parseRequestHeader(text string, header *RequestHeader) error {
	*header = RequestHeader{Fields: header.Fields[:0], forwarded: header.forwarded[:0]}
	line, rest, found := strings.Cut(text, "\r\n")
	if !found {
		return malformed("request line")
	}
	if err := header.parseRequestLine(line); err != nil {
		return err
	}
	lines := framingLines{}
	for {
		line, rest, found = strings.Cut(rest, "\r\n")
		if !found {
			return malformed("a head that does not end")
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

// parseRequestLine parses method, target and protocol version.
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
	if err := h.splitAbsoluteTarget(); err != nil {
		return err
	}
	isStar := h.Target == "*" && method == "OPTIONS"
	if h.Target[0] != '/' && !isStar {
		return malformed("target")
	}
	h.Path, _, _ = strings.Cut(h.Target, "?")
	h.http10 = version == "HTTP/1.0"
	return nil
}

// splitAbsoluteTarget splits a target in absolute form into host and target. It names the host itself, so that the
// value of the Host line is not used (RFC 9112, section 3.2.2). Other targets stay as they are.
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
		return malformed("target")
	}
	if h.Target == "" || h.Target[0] == '?' {
		h.Target = "/" + h.Target
	}
	return nil
}

// parseHeaderLine adds one header line to the fields and applies those that concern the connection itself.
func (h *RequestHeader) parseHeaderLine(line string, lines *framingLines) error {
	name, value, hasColon := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !hasColon || !isToken(name) || !isPrintable(value, ' ') {
		return malformed("header line")
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

// applyHost takes the host of a Host line, unless the target or an earlier line gave one.
func (h *RequestHeader) applyHost(value string, lines *framingLines) error {
	lines.hosts++
	if h.Host == "" {
		h.Host = value
	}
	if !validHost(value) {
		return malformed("Host")
	}
	return nil
}

// applyContentLength takes the length of the body in bytes.
func (h *RequestHeader) applyContentLength(value string, lines *framingLines) error {
	lines.contentLengths++
	length, err := strconv.ParseUint(value, 10, 62)
	if err != nil || value[0] == '+' {
		return malformed("Content-Length")
	}
	h.contentLength = int64(length)
	return nil
}

// applyTransferEncoding accepts chunks alone: no other encoding is decoded here.
func (h *RequestHeader) applyTransferEncoding(value string, lines *framingLines) error {
	lines.transferEncodings++
	if !strings.EqualFold(value, "chunked") {
		return malformed("Transfer-Encoding")
	}
	h.chunked = true
	return nil
}

// applyExpect accepts the only expectation that is defined.
func (h *RequestHeader) applyExpect(value string) error {
	if !strings.EqualFold(value, "100-continue") {
		return malformed("Expect")
	}
	h.expectsContinue = true
	return nil
}

// applyConnection takes the options of a Connection line.
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

// checkFraming rejects a header whose lines together leave it open where the request ends or for which host it is.
// afterHeader is what the text holds after the header's end.
func (h *RequestHeader) checkFraming(lines *framingLines, afterHeader string) error {
	switch {
	case afterHeader != "":
		return malformed("head")
	case lines.contentLengths+lines.transferEncodings > 1:
		return malformed("more than one length")
	case h.http10 && lines.transferEncodings > 0:
		return malformed("Transfer-Encoding in HTTP/1.0")
	case lines.hosts > 1, lines.hosts == 0 && !h.http10:
		return malformed("Host is needed once")
	}
	return nil
}

// validHost reports whether a text can be a host with or without a port.
func validHost(text string) bool {
	return isPrintable(text, '!') && !strings.ContainsAny(text, "/?#@\\, \t")
}
