package proxy

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"meadowhinge/internal/errs"
)

// readHeader reads and parses the header of the next request into c.header. It returns the time at which the first byte
// was read. It fails with errIdle if the connection ended before a byte arrived, with errs.HeaderTooLarge,
// errs.MalformedRequest or errs.RequestTimeout for a request to be rejected, and else with the read error.
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
			return receivedAt, c.consumeHeader(headerLength, limits)
		}
		// A lone CR may be the first half of a line end before the request line, which is not part of the header.
		if searchedBytes = c.bufferEnd - c.bufferStart; searchedBytes == 1 && c.buffer[c.bufferStart] == '\r' {
			searchedBytes = 0
		}
		if err := c.checkPartialHeader(searchedBytes, limits); err != nil {
			return receivedAt, err
		}
		c.growBuffer(2 * limits.maxHeaderBytes)
		// The deadline is set once, so that a caller that sends single bytes gets no more time.
		if !partial {
			c.readDeadline = receivedAt.Add(limits.headerTimeout)
			_ = c.conn.SetReadDeadline(c.readDeadline) // a closed connection fails at the next read
		}
		if err := c.fillBuffer(); err != nil {
			return receivedAt, err
		}
	}
}

// awaitFirstByte marks the connection as idle and waits for the first bytes of a request. It fails with errIdle if the
// connection ends, the idle timeout passes or the listener shuts down first.
func (c *connection) awaitFirstByte(limits requestLimits) error {
	if !c.watching {
		c.resetBuffer()
	}
	now := time.Now()
	c.setReadTimeout(now, limits.idleTimeout)
	// The order matters: the connection is marked as idle before isClosed is read. Either shutDown sees the mark, or
	// this goroutine sees the shutdown.
	c.idleSince.Store(now.UnixNano())
	if c.listener.isClosed() {
		return errIdle
	}
	err := c.fillBuffer()
	// If closeLongestIdle claimed the connection although a request had already arrived, the request is still answered.
	// The deadline that closeLongestIdle set must then be replaced.
	if c.idleSince.Swap(0) == 0 {
		c.readDeadline = time.Time{}
	}
	if err != nil {
		return errIdle
	}
	return nil
}

// skipLeadingLineEnds skips empty lines before the request line (RFC 9112, section 2.2).
func (c *connection) skipLeadingLineEnds() {
	for c.bufferEnd-c.bufferStart >= 2 && c.buffer[c.bufferStart] == '\r' && c.buffer[c.bufferStart+1] == '\n' {
		c.bufferStart += 2
	}
}

// consumeHeader consumes the next headerLength bytes of the buffer, which hold a complete header, and parses them into
// c.header. It fails with errs.HeaderTooLarge or errs.MalformedRequest.
func (c *connection) consumeHeader(headerLength int, limits requestLimits) error {
	text := string(c.buffer[c.bufferStart : c.bufferStart+headerLength])
	// The limit applies separately to the request line and to the header lines.
	lineLength := strings.IndexByte(text, '\n') + 1
	if lineLength > limits.maxHeaderBytes || headerLength-lineLength > limits.maxHeaderBytes {
		return errs.New(errs.HeaderTooLarge, "header of "+strconv.Itoa(headerLength)+" bytes")
	}
	c.bufferStart += headerLength
	return parseRequestHeader(text, &c.header)
}

// checkPartialHeader rejects an incomplete header that is already too large or can never end. receivedBytes is the
// number of bytes received so far.
func (c *connection) checkPartialHeader(receivedBytes int, limits requestLimits) error {
	switch {
	case receivedBytes > 2*limits.maxHeaderBytes:
		return errs.New(errs.HeaderTooLarge, "header of more than "+strconv.Itoa(limits.maxHeaderBytes)+" bytes")
	case hasBareLineFeed(c.buffer[c.bufferStart:c.bufferEnd]):
		return malformed("header line ends without carriage return")
	}
	return nil
}

// hasBareLineFeed reports whether received contains a line feed without a preceding carriage return. A header with such
// a line might never be terminated.
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

// headerTerminator ends the header: a line end followed by an empty line.
var headerTerminator = []byte("\r\n\r\n")

// headerEnd returns the length of the header at the start of received, 0 if its end has not arrived. An earlier call has
// searched the first searchedBytes bytes.
func headerEnd(received []byte, searchedBytes int) int {
	start := max(0, searchedBytes-len(headerTerminator)+1)
	if index := bytes.Index(received[start:], headerTerminator); index >= 0 {
		return start + index + len(headerTerminator)
	}
	return 0
}
