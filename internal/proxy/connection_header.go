package proxy

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"meadowhinge/internal/errs"
)

// readHeader reads and parses the next request's header. It returns when the first byte of it was seen, or
// errIdle if the connection ended before one arrived.
func (c *connection) readHeader(limits requestLimits) (time.Time, error) {
	c.header = RequestHeader{Fields: c.header.Fields[:0], forwarded: c.header.forwarded[:0]}
	if c.bufferStart == c.bufferEnd {
		if err := c.awaitFirstByte(limits); err != nil {
			return time.Time{}, err
		}
	}
	receivedAt, searchedBytes := time.Now(), 0
	for partial := false; ; partial = true {
		if searchedBytes == 0 {
			c.skipLeadingLineEnds()
		}
		if headerLength := headerEnd(c.buffer[c.bufferStart:c.bufferEnd], searchedBytes); headerLength > 0 {
			return receivedAt, c.takeHeader(headerLength, limits)
		}
		// The first half of a line end before the request line is not yet part of a header.
		if searchedBytes = c.bufferEnd - c.bufferStart; searchedBytes == 1 && c.buffer[c.bufferStart] == '\r' {
			searchedBytes = 0
		}
		if err := c.checkPartialHeader(searchedBytes, limits); err != nil {
			return receivedAt, err
		}
		c.growBuffer(2 * limits.headerBytes)
		// The deadline is set once: a caller that sends byte after byte gets no more time.
		if !partial {
			c.readDeadline = receivedAt.Add(limits.headerTimeout)
			_ = c.conn.SetReadDeadline(c.readDeadline) // a connection that has ended fails at the next read
		}
		if err := c.fillBuffer(); err != nil {
			return receivedAt, err
		}
	}
}

// awaitFirstByte waits, as an idle connection, for the first bytes of a request. It returns errIdle if the
// connection ends or the listener shuts down first.
func (c *connection) awaitFirstByte(limits requestLimits) error {
	if !c.watching {
		c.resetBuffer()
	}
	now := time.Now()
	c.setReadTimeout(now, limits.idleTimeout)
	// The connection is marked idle before isClosed is read, so that shutDown sees the mark or this sees the shutdown.
	c.idleSince.Store(now.UnixNano())
	if c.listener.isClosed() {
		return errIdle
	}
	err := c.fillBuffer()
	// closeLongestIdle claimed the connection, but a request had already been sent: it is answered all the same.
	// The deadline that closeLongestIdle set must be replaced.
	if c.idleSince.Swap(0) == 0 {
		c.readDeadline = time.Time{}
	}
	if err != nil {
		return errIdle
	}
	return nil
}

// skipLeadingLineEnds skips line ends before the request line (RFC 9112, section 2.2).
func (c *connection) skipLeadingLineEnds() {
	for c.bufferEnd-c.bufferStart >= 2 && c.buffer[c.bufferStart] == '\r' && c.buffer[c.bufferStart+1] == '\n' {
		c.bufferStart += 2
	}
}

// takeHeader parses the header that the next headerLength bytes of the buffer hold, and uses them up.
func (c *connection) takeHeader(headerLength int, limits requestLimits) error {
	text := string(c.buffer[c.bufferStart : c.bufferStart+headerLength])
	// The limit holds for the request line and, apart from it, for the header lines.
	lineLength := strings.IndexByte(text, '\n') + 1
	if lineLength > limits.headerBytes || headerLength-lineLength > limits.headerBytes {
		return errs.New(errs.HeaderTooLarge, strconv.Itoa(headerLength)+" bytes")
	}
	c.bufferStart += headerLength
	return parseRequestHeader(text, &c.header)
}

// checkPartialHeader rejects a header that has not ended yet but is too large or can never end.
func (c *connection) checkPartialHeader(searchedBytes int, limits requestLimits) error {
	switch {
	case searchedBytes > 2*limits.headerBytes:
		return errs.New(errs.HeaderTooLarge, "more than "+strconv.Itoa(limits.headerBytes)+" bytes")
	case hasBareLineFeed(c.buffer[c.bufferStart:c.bufferEnd]):
		return malformed("a bare line end")
	}
	return nil
}

// hasBareLineFeed reports whether a line ends without a carriage return: such a header might never end.
func hasBareLineFeed(received []byte) bool {
	for offset := 0; ; {
		lineFeed := bytes.IndexByte(received[offset:], '\n')
		if lineFeed < 0 {
			return false
		}
		if offset += lineFeed; offset == 0 || received[offset-1] != '\r' {
			return true
		}
		offset++
	}
}

var headerTerminator = []byte("\r\n\r\n")

// headerEnd returns the length of the header at the start of received, 0 if its end has not arrived. The first
// searchedBytes were searched before.
func headerEnd(received []byte, searchedBytes int) int {
	start := max(0, searchedBytes-len(headerTerminator)+1)
	if index := bytes.Index(received[start:], headerTerminator); index >= 0 {
		return start + index + len(headerTerminator)
	}
	return 0
}
