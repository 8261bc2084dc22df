package proxy

import (
	"bytes"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/http1"
)

// readBody reads the body that the header announces. It returns nil for a request without a body. It fails with:
//   - errs.BodyTooLarge if the body exceeds limits.maxBodyBytes;
//   - errs.QueueFull if the capacity for large bodies is exceeded;
//   - errs.RequestTimeout if the next bytes do not arrive in time;
//   - errs.MalformedRequest if the chunked encoding or its trailer is invalid;
//   - errs.HeaderTooLarge if the trailer exceeds the limit of a header;
//   - io.ErrUnexpectedEOF if the caller closed the connection.
func (c *connection) readBody(limits requestLimits) ([]byte, error) {
	switch {
	case c.header.contentLength > int64(limits.maxBodyBytes):
		return nil, errs.New(errs.BodyTooLarge, "body of "+strconv.FormatInt(c.header.contentLength, 10)+" bytes")
	case c.header.contentLength == 0 && !c.header.chunked:
		return nil, nil
	case c.header.expectsContinue && c.bufferStart == c.bufferEnd:
		c.setWriteTimeout(time.Now(), false)
		if _, err := io.WriteString(c.conn, continueResponse); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	if c.header.chunked {
		return c.readChunkedBody(limits)
	}
	return c.appendBody(nil, int(c.header.contentLength), limits)
}

// appendBody reads the next count bytes of the request and appends them to body. Memory grows as bytes arrive, not by
// the announced length.
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

// reserveBody reserves memory for a body of size bytes if the body is large. All connections of the listener share the
// capacity for large bodies. It fails with errs.QueueFull if the capacity is exceeded, because a process that exceeds
// its memory limit is killed and loses all its calls.
func (c *connection) reserveBody(size int64) error {
	if size <= smallBodyBytes {
		return nil
	}
	additional := size - c.reservedBytes
	if c.listener.largeBodyBytes.Add(additional) > c.listener.largeBodyCapacity {
		c.listener.largeBodyBytes.Add(-additional)
		capacity := strconv.FormatInt(c.listener.largeBodyCapacity, 10)
		return errs.New(errs.QueueFull, "large request bodies exceed the capacity of "+capacity+" bytes")
	}
	c.reservedBytes = size
	return nil
}

// releaseBody releases the memory reserved by reserveBody.
func (c *connection) releaseBody() {
	if c.reservedBytes > 0 {
		c.listener.largeBodyBytes.Add(-c.reservedBytes)
		c.reservedBytes = 0
	}
}

// bodyReadError converts an error of reading a body. A timeout becomes errs.RequestTimeout, which is answered. Any other
// error becomes io.ErrUnexpectedEOF, which is not, because the caller has closed the connection.
func bodyReadError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errs.Wrap(err, errs.RequestTimeout, "read body")
	}
	return io.ErrUnexpectedEOF
}

// readChunkedBody reads a chunked body (RFC 9112, section 7.1) and discards its trailer.
func (c *connection) readChunkedBody(limits requestLimits) ([]byte, error) {
	body := []byte{}
	for {
		size, err := c.readChunkSize(limits)
		if err != nil {
			return nil, err
		}
		if size > uint64(limits.maxBodyBytes-len(body)) {
			return nil, errs.New(errs.BodyTooLarge, "chunked body of more than "+strconv.Itoa(limits.maxBodyBytes)+" bytes")
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
			return nil, malformed("missing line end after chunk data")
		}
	}
}

// readChunkSize reads the line before a chunk and returns the size of the chunk in bytes, 0 for the last chunk.
func (c *connection) readChunkSize(limits requestLimits) (uint64, error) {
	line, err := c.readChunkLine(maxChunkLineBytes, limits)
	if err != nil {
		return 0, err
	}
	size, err := http1.ParseChunkSize(line)
	if err != nil {
		return 0, malformed("invalid chunk size")
	}
	return size, nil
}

// skipTrailer reads and discards the trailer after the last chunk. It fails with errs.HeaderTooLarge if the trailer
// exceeds the limit of a header, and with errs.MalformedRequest if an incomplete line already exceeds what is left of
// the limit.
func (c *connection) skipTrailer(limits requestLimits) error {
	for bytesLeft := limits.maxHeaderBytes; ; {
		line, err := c.readChunkLine(bytesLeft, limits)
		if err != nil || len(line) == 0 {
			return err
		}
		if bytesLeft -= len(line); bytesLeft <= 0 {
			return errs.New(errs.HeaderTooLarge, "trailer of more than "+strconv.Itoa(limits.maxHeaderBytes)+" bytes")
		}
	}
}

// readChunkLine reads a line within a chunked body and returns it without its line end. It fails with
// errs.MalformedRequest if more than maxBytes of the line have arrived without its end. A longer line is accepted if it
// is already complete in the buffer. The result is valid until the next read.
func (c *connection) readChunkLine(maxBytes int, limits requestLimits) ([]byte, error) {
	for searched := 0; ; {
		if lineFeed := bytes.IndexByte(c.buffer[c.bufferStart+searched:c.bufferEnd], '\n'); lineFeed >= 0 {
			line := c.buffer[c.bufferStart : c.bufferStart+searched+lineFeed]
			c.bufferStart += len(line) + 1
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return nil, malformed("line in chunked body ends without carriage return")
			}
			return line[:len(line)-1], nil
		}
		if searched = c.bufferEnd - c.bufferStart; searched > maxBytes {
			return nil, malformed("line in chunked body is too long")
		}
		c.growBuffer(maxBytes)
		c.setReadTimeout(time.Now(), limits.idleTimeout)
		if err := c.fillBuffer(); err != nil {
			return nil, bodyReadError(err)
		}
	}
}
