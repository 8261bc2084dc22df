package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"meadowhinge/internal/errs"
)

// connection is one connection of a caller. Its requests are answered one after the other, in the
// order in which they came.
type connection struct {
	listener      *callerListener
	conn          net.Conn
	buffer        []byte // what has come and is not yet used is in [at:have]
	bufferStart   int
	bufferEnd     int
	readDeadline  time.Time // the deadlines set on the connection
	writeDeadline time.Time
	idleSince     atomic.Int64 // since when nothing is owed on it, 0 while a request is
	header        RequestHeader
	// callerContext ends when the caller has left.
	callerContext context.Context
	cancelCaller  context.CancelFunc
	// While a call is under way the buffer is its watch's, which tells here what came.
	watching     bool
	watchResults chan watchResult
	inputClosed  atomic.Bool // the caller sends nothing more on this connection
	// writeLock guards who may write: the watch until the answer is on its way, then nobody else.
	writeLock          sync.Mutex
	responseStarted    bool
	callerDisconnected bool  // the caller left while its call was under way
	deadlineExtended   bool  // the watch moved the deadline for reading
	reservedBytes      int64 // bytes of a large body that are counted
	response           Response
	writeBuffer        []byte
}

// serve serves the requests of a connection until it ends.
func (c *connection) serve() {
	defer c.listener.removeConnection(c)
	defer c.conn.Close()
	c.callerContext, c.cancelCaller = context.WithCancel(context.Background())
	defer c.cancelCaller()
	c.buffer, c.watchResults = make([]byte, initialBufferSize), make(chan watchResult, 1)
	for c.serveRequest() {
	}
}

// serveRequest takes one request and answers it; false ends the connection.
func (c *connection) serveRequest() bool {
	limits := c.listener.limits()
	c.response.reset()
	receivedAt, err := c.readHeader(limits)
	if err == errIdle {
		return false
	}
	var body []byte
	if err == nil {
		body, err = c.readBody(limits)
	}
	defer c.releaseBody()
	if err != nil {
		// Whoever closed the connection on its own request waits for no answer.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
			return false
		}
		c.listener.writeError(&c.header, err, &c.response)
		if c.writeResponse(true) == nil {
			c.lingeringClose(limits)
		}
		return false
	}
	c.startWatch()
	c.listener.handle(c.callerContext, &c.header, body, receivedAt, &c.response)
	c.beginResponse()
	if c.inputClosed.Load() && !c.callerDisconnected {
		c.listener.disconnects.HalfClosed.Add(1)
	}
	closeAfter := c.header.closeAfter || c.listener.draining.Load() || c.inputClosed.Load()
	return c.writeResponse(closeAfter) == nil && !closeAfter
}

// errIdle is the end of a connection between requests.
var errIdle = errors.New("idle connection")

// setReadTimeout moves the deadline for reading; one that is still good is left as it is.
func (c *connection) setReadTimeout(now time.Time, timeout time.Duration) {
	if left := c.readDeadline.Sub(now); left <= timeout && left >= timeout-timeout/deadlineRefreshDivisor {
		return
	}
	c.readDeadline = now.Add(timeout)
	_ = c.conn.SetReadDeadline(c.readDeadline)
}

// fillBuffer reads what is there into the buffer, which has room for at least one byte.
func (c *connection) fillBuffer() error {
	var count int
	var err error
	if c.watching {
		count, err = c.awaitWatchResult()
	}
	// A deadline that the watch met may have been moved since.
	if count == 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		count, err = c.conn.Read(c.buffer[c.bufferEnd:])
	}
	c.bufferEnd += count
	if count > 0 {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errs.Wrap(err, errs.RequestTimeout, "request")
	}
	return err
}

// resetBuffer makes room for what comes next, where nothing that came is left. A buffer that one large
// head needed is not kept for the small ones after it.
func (c *connection) resetBuffer() {
	c.bufferStart, c.bufferEnd = 0, 0
	if len(c.buffer) > initialBufferSize {
		c.buffer = make([]byte, initialBufferSize)
	}
}

// readHeader reads a request's head, and tells when its first byte was seen.
func (c *connection) readHeader(limits requestLimits) (time.Time, error) {
	c.header = RequestHeader{Fields: c.header.Fields[:0], forwarded: c.header.forwarded[:0]}
	if c.bufferStart == c.bufferEnd {
		if !c.watching {
			c.resetBuffer()
		}
		now := time.Now()
		c.setReadTimeout(now, limits.idleTimeout)
		c.idleSince.Store(now.UnixNano())
		if c.listener.isClosed() {
			return time.Time{}, errIdle
		}
		err := c.fillBuffer()
		// Who was to make room and had sent a request already gets its answer all the same.
		if c.idleSince.Swap(0) == 0 {
			c.readDeadline = time.Time{}
		}
		if err != nil {
			return time.Time{}, errIdle
		}
	}
	receivedAt, searchedBytes := time.Now(), 0
	for partial := false; ; partial = true {
		// Line ends before a request line are let be, as is the custom.
		for searchedBytes == 0 && c.bufferEnd-c.bufferStart >= 2 && c.buffer[c.bufferStart] == '\r' && c.buffer[c.bufferStart+1] == '\n' {
			c.bufferStart += 2
		}
		if headerLength := headerEnd(c.buffer[c.bufferStart:c.bufferEnd], searchedBytes); headerLength > 0 {
			text := string(c.buffer[c.bufferStart : c.bufferStart+headerLength])
			// The bound is for the lines after the first, and for the first.
			if lineLength := strings.IndexByte(text, '\n') + 1; lineLength > limits.headerBytes || headerLength-lineLength > limits.headerBytes {
				return receivedAt, errs.New(errs.HeaderTooLarge, strconv.Itoa(headerLength)+" bytes")
			}
			c.bufferStart += headerLength
			return receivedAt, parseRequestHeader(text, &c.header)
		}
		// Half of a line end before the request line says nothing yet.
		if searchedBytes = c.bufferEnd - c.bufferStart; searchedBytes == 1 && c.buffer[c.bufferStart] == '\r' {
			searchedBytes = 0
		}
		switch {
		case searchedBytes > 2*limits.headerBytes:
			return receivedAt, errs.New(errs.HeaderTooLarge, "more than "+strconv.Itoa(limits.headerBytes)+" bytes")
		case hasBareLineFeed(c.buffer[c.bufferStart:c.bufferEnd]):
			return receivedAt, malformed("a bare line end")
		}
		c.growBuffer(2 * limits.headerBytes)
		if !partial {
			c.readDeadline = receivedAt.Add(limits.headerTimeout)
			_ = c.conn.SetReadDeadline(c.readDeadline)
		}
		if err := c.fillBuffer(); err != nil {
			return receivedAt, err
		}
	}
}

// hasBareLineFeed tells whether a line ends without a carriage return: such a head might never end.
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

// hasNoBody tells whether an answer has no body, whatever it would be.
func hasNoBody(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// growBuffer lets the buffer take more, up to a bound above what it may hold.
func (c *connection) growBuffer(maxBytes int) {
	if c.bufferStart > 0 {
		copy(c.buffer, c.buffer[c.bufferStart:c.bufferEnd])
		c.bufferStart, c.bufferEnd = 0, c.bufferEnd-c.bufferStart
	}
	if c.bufferEnd == len(c.buffer) {
		larger := make([]byte, min(2*len(c.buffer), max(maxBytes, len(c.buffer))+initialBufferSize))
		copy(larger, c.buffer[:c.bufferEnd])
		c.buffer = larger
	}
}

// writeResponse gives the caller its answer.
func (c *connection) writeResponse(closeAfter bool) error {
	response := &c.response
	out := append(c.writeBuffer[:0], "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(response.Status), 10)
	out = append(append(append(out, ' '), fasthttp.StatusMessage(response.Status)...), "\r\n"...)
	out = append(out, response.headerBlock...)
	body := response.Body
	if hasNoBody(c.header.Method, response.Status) {
		body = nil
	} else {
		out = append(strconv.AppendInt(append(out, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	if closeAfter {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	c.setWriteTimeout()
	var err error
	var bytesWritten int64
	if len(body) <= maxCombinedWriteBytes {
		out = append(out, body...)
		written, writeErr := c.conn.Write(out)
		bytesWritten, err = int64(written), writeErr
	} else {
		buffers := net.Buffers{out, body}
		bytesWritten, err = buffers.WriteTo(c.conn)
	}
	if c.listener.onWritten != nil && !c.isLocalCaller() {
		c.listener.onWritten(int(bytesWritten))
	}
	c.writeBuffer = out
	if cap(c.writeBuffer) > 2*maxCombinedWriteBytes {
		c.writeBuffer = nil
	}
	response.Body = nil
	return err
}

// setWriteTimeout bounds how long a write may take: a caller that reads nothing for long is not waited for.
func (c *connection) setWriteTimeout() {
	timeout := c.listener.limits().idleTimeout
	if now := time.Now(); c.writeDeadline.Sub(now) < timeout/2 {
		c.writeDeadline = now.Add(timeout)
		_ = c.conn.SetWriteDeadline(c.writeDeadline)
	}
}

// lingeringClose reads on for a while after a refusal: a connection closed on unread bytes is reset,
// and the caller would never see why.
func (c *connection) lingeringClose(limits requestLimits) {
	if halfCloser, canHalfClose := c.conn.(interface{ CloseWrite() error }); canHalfClose {
		_ = halfCloser.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.headerTimeout))
	// Nothing is owed any more, so the end of this process need not wait for it.
	c.idleSince.Store(time.Now().UnixNano())
	if c.listener.isClosed() {
		return
	}
	_, _ = io.CopyN(io.Discard, c.conn, int64(limits.bodyBytes)*lingerDiscardFactor)
}

// isLocalCaller tells whether the caller is on this machine: what it is answered never takes the link.
func (c *connection) isLocalCaller() bool {
	remote, remoteIsTCP := c.conn.RemoteAddr().(*net.TCPAddr)
	local, localIsTCP := c.conn.LocalAddr().(*net.TCPAddr)
	return remoteIsTCP && localIsTCP && remote.IP.Equal(local.IP)
}
