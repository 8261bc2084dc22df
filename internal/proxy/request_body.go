package proxy

import (
	"bytes"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"meadowhinge/internal/errs"
)

// readBody reads the body that the header announces.
func (c *connection) readBody(limits requestLimits) ([]byte, error) {
	switch {
	case c.header.contentLength > int64(limits.bodyBytes):
		return nil, errs.New(errs.BodyTooLarge, strconv.FormatInt(c.header.contentLength, 10)+" bytes")
	case c.header.contentLength == 0 && !c.header.chunked:
		return nil, nil
	case c.header.expectsContinue && c.bufferStart == c.bufferEnd:
		if _, err := io.WriteString(c.conn, continueResponse); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	if c.header.chunked {
		return c.readChunkedBody(limits)
	}
	return c.appendBody(nil, int(c.header.contentLength), limits)
}

// appendBody appends the next count bytes of the request to body. Memory grows as bytes arrive, not as they are
// announced.
func (c *connection) appendBody(body []byte, count int, limits requestLimits) ([]byte, error) {
	buffered := min(count, c.bufferEnd-c.bufferStart)
	if err := c.reserveBody(int64(len(body) + count)); err != nil {
		return nil, err
	}
	if body == nil {
		body = make([]byte, 0, min(count, smallBodyBytes))
	}
	body = append(body, c.buffer[c.bufferStart:c.bufferStart+buffered]...)
	c.bufferStart += buffered
	for count -= buffered; count > 0; {
		if len(body) == cap(body) {
			larger := make([]byte, len(body), min(len(body)+count, bodyGrowthFactor*cap(body)+smallBodyBytes))
			copy(larger, body)
			body = larger
		}
		free := body[len(body):min(cap(body), len(body)+count)]
		c.setReadTimeout(time.Now(), limits.idleTimeout)
		received, err := c.conn.Read(free)
		if received == 0 && err != nil {
			return nil, bodyReadError(err)
		}
		body, count = body[:len(body)+received], count-received
	}
	return body, nil
}

// reserveBody counts a large body of size bytes against the capacity that all connections of the listener share,
// and rejects it if there is no room: a process that exceeds its memory limit loses all its calls.
func (c *connection) reserveBody(size int64) error {
	if size <= smallBodyBytes {
		return nil
	}
	additional := size - c.reservedBytes
	if c.listener.largeBodyBytes.Add(additional) > c.listener.largeBodyCapacity {
		c.listener.largeBodyBytes.Add(-additional)
		return errs.New(errs.QueueFull, "too many large bodies at once")
	}
	c.reservedBytes = size
	return nil
}

// releaseBody gives back what reserveBody counted.
func (c *connection) releaseBody() {
	if c.reservedBytes > 0 {
		c.listener.largeBodyBytes.Add(-c.reservedBytes)
		c.reservedBytes = 0
	}
}

// bodyReadError is the error of a request whose body could not be read: a timeout is answered, a caller that
// ended the connection is not.
func bodyReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errs.Wrap(err, errs.RequestTimeout, "body")
	}
	return io.ErrUnexpectedEOF
}

// readChunkedBody reads a chunked body; its trailer is dropped.
func (c *connection) readChunkedBody(limits requestLimits) ([]byte, error) {
	body := []byte{}
	for {
		size, err := c.readChunkSize(limits)
		if err != nil {
			return nil, err
		}
		if size > uint64(limits.bodyBytes-len(body)) {
			return nil, errs.New(errs.BodyTooLarge, "more than "+strconv.Itoa(limits.bodyBytes)+" bytes")
		}
		if size == 0 {
			return body, c.skipTrailer(limits)
		}
		if body, err = c.appendBody(body, int(size), limits); err != nil {
			return nil, err
		}
		terminator, err := c.readChunkLine(maxChunkLineBytes, limits)
		if err != nil {
			return nil, err
		}
		if len(terminator) > 0 {
			return nil, malformed("a chunk's end")
		}
	}
}

// readChunkSize reads the line before a chunk and returns the chunk's size in bytes, 0 for the end of the body.
func (c *connection) readChunkSize(limits requestLimits) (uint64, error) {
	line, err := c.readChunkLine(maxChunkLineBytes, limits)
	if err != nil {
		return 0, err
	}
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 62)
	if err != nil || len(digits) == 0 || !isHexDigit(digits[0]) || !isPrintable(string(extension), ' ') {
		return 0, malformed("a chunk's size")
	}
	return size, nil
}

// skipTrailer reads and drops the header lines after the last chunk, up to the limit of a header.
func (c *connection) skipTrailer(limits requestLimits) error {
	for bytesLeft := limits.headerBytes; ; {
		line, err := c.readChunkLine(bytesLeft, limits)
		if err != nil || len(line) == 0 {
			return err
		}
		if bytesLeft -= len(line); bytesLeft <= 0 {
			return errs.New(errs.HeaderTooLarge, "trailer")
		}
	}
}

// readChunkLine reads a line of at most maxBytes within a chunked body and returns it without its line end. It is
// valid until the next read.
func (c *connection) readChunkLine(maxBytes int, limits requestLimits) ([]byte, error) {
	for searched := 0; ; {
		if lineFeed := bytes.IndexByte(c.buffer[c.bufferStart+searched:c.bufferEnd], '\n'); lineFeed >= 0 {
			line := c.buffer[c.bufferStart : c.bufferStart+searched+lineFeed]
			c.bufferStart += len(line) + 1
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return nil, malformed("a bare line end")
			}
			return line[:len(line)-1], nil
		}
		if searched = c.bufferEnd - c.bufferStart; searched > maxBytes {
			return nil, malformed("a long line between chunks")
		}
		c.growBuffer(maxBytes)
		c.setReadTimeout(time.Now(), limits.idleTimeout)
		if err := c.fillBuffer(); err != nil {
			return nil, bodyReadError(err)
		}
	}
}

func isHexDigit(char byte) bool {
	return (char >= '0' && char <= '9') || (char|0x20 >= 'a' && char|0x20 <= 'f')
}
