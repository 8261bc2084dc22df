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

// bufferBody reads the body that the head tells of.
func (c *connection) readBody(limits requestLimits) ([]byte, error) {
	switch {
	case c.header.contentLength > int64(limits.bodyBytes):
		return nil, errs.New(errs.BodyTooLarge, strconv.FormatInt(c.header.contentLength, 10)+" bytes")
	case c.header.contentLength == 0 && !c.header.chunked:
		return nil, nil
	case c.header.expectsContinue && c.bufferStart == c.bufferEnd:
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	if c.header.chunked {
		return c.readChunkedBody(limits)
	}
	return c.appendBody(nil, int(c.header.contentLength), limits)
}

// appendBody appends so many bytes of the body; room is made as they come, not as they are promised.
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

// reserveBody counts a large body against the room that all share; where there is none it is refused,
// for what a process may take of memory is bounded, and over the bound all its calls end.
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

// releaseBody makes the room free that a body took.
func (c *connection) releaseBody() {
	if c.reservedBytes > 0 {
		c.listener.largeBodyBytes.Add(-c.reservedBytes)
		c.reservedBytes = 0
	}
}

func bodyReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errs.Wrap(err, errs.RequestTimeout, "body")
	}
	return io.ErrUnexpectedEOF
}

// readChunkLine reads a line within a chunked body, without its end.
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

// readChunkedBody reads a chunked body; what follows its last chunk is dropped.
func (c *connection) readChunkedBody(limits requestLimits) ([]byte, error) {
	body := []byte{}
	for {
		line, err := c.readChunkLine(maxChunkLineBytes, limits)
		if err != nil {
			return nil, err
		}
		size, extension, _ := bytes.Cut(line, []byte(";"))
		count, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
		if err != nil || len(size) == 0 || !isHexDigit(size[0]) || !isPrintable(string(extension), ' ') {
			return nil, malformed("a chunk's size")
		}
		if count > uint64(limits.bodyBytes-len(body)) {
			return nil, errs.New(errs.BodyTooLarge, "more than "+strconv.Itoa(limits.bodyBytes)+" bytes")
		}
		if count == 0 {
			break
		}
		if body, err = c.appendBody(body, int(count), limits); err != nil {
			return nil, err
		}
		if terminator, err := c.readChunkLine(maxChunkLineBytes, limits); err != nil {
			return nil, err
		} else if len(terminator) > 0 {
			return nil, malformed("a chunk's end")
		}
	}
	for trailerBytesLeft := limits.headerBytes; ; {
		line, err := c.readChunkLine(trailerBytesLeft, limits)
		if err != nil || len(line) == 0 {
			return body, err
		}
		if trailerBytesLeft -= len(line); trailerBytesLeft <= 0 {
			return nil, errs.New(errs.HeaderTooLarge, "trailer")
		}
	}
}

func isHexDigit(char byte) bool {
	return (char >= '0' && char <= '9') || (char|0x20 >= 'a' && char|0x20 <= 'f')
}
