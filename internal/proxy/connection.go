package proxy

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"meadowhinge/internal/errs"
)

// connection is one connection of a caller. The goroutine that runs serve handles its requests one after the other, in
// the order of arrival. While a call is in flight, a second goroutine, the disconnect watch, reads from the connection
// (disconnect_watch.go). Fields belong to the goroutine of serve unless their comment says otherwise.
type connection struct {
	listener *callerListener
	conn     net.Conn

	// buffer[bufferStart:bufferEnd] holds received bytes that are not consumed yet. While watching is set, the
	// disconnect watch owns the buffer; fillBuffer takes it back.
	buffer      []byte
	bufferStart int
	bufferEnd   int

	// readDeadline and writeDeadline are copies of the deadlines of conn, kept to avoid setting them for each request.
	readDeadline  time.Time
	writeDeadline time.Time

	// idleSince is the Unix time in nanoseconds since which the connection has been idle, 0 while a request is pending.
	// Changing it to 0 claims the connection, see callerListener.closeLongestIdle.
	idleSince atomic.Int64

	header        RequestHeader // header of the current request
	response      Response      // response to the current request
	writeBuffer   []byte        // reused for the header of each response
	reservedBytes int64         // bytes of the current body that count against the listener's largeBodyCapacity

	// callerContext is the context of each call on the connection. It ends when the caller disconnects or the connection
	// is closed.
	callerContext context.Context
	cancelCaller  context.CancelFunc

	watching     bool             // whether the disconnect watch owns the buffer
	watchResults chan watchResult // delivers the result of the watch's read; buffered for one
	inputClosed  atomic.Bool      // whether the caller's stream has ended, HTTP/1.1 only; set by the watch

	// writeLock guards responseStarted, callerDisconnected and deadlineExtended, and thereby the right to write to conn.
	// The watch may write until the response has started; after that only serve may.
	//
	// Two accesses of serve need no lock. It resets responseStarted before a watch starts, and it reads
	// callerDisconnected after beginResponse, when the field no longer changes.
	writeLock          sync.Mutex
	responseStarted    bool // whether serve may write the response
	callerDisconnected bool // whether the caller disconnected while its call was in flight
	deadlineExtended   bool // whether the watch moved the read deadline, which makes readDeadline outdated
}

// serve serves the requests of a connection until the connection ends.
func (c *connection) serve() {
	defer c.listener.removeConnection(c)
	defer func() { _ = c.conn.Close() }() // all responses have been written
	c.callerContext, c.cancelCaller = context.WithCancel(context.Background())
	defer c.cancelCaller()
	c.buffer = make([]byte, initialBufferSize)
	c.watchResults = make(chan watchResult, 1)
	for c.serveRequest() {
	}
}

// serveRequest reads one request and answers it. It reports whether the connection can be used for another request.
func (c *connection) serveRequest() bool {
	limits := c.listener.limits()
	c.response.reset()
	receivedAt, err := c.readHeader(limits)
	if errors.Is(err, errIdle) {
		return false
	}
	var body []byte
	if err == nil {
		body, err = c.readBody(limits)
	}
	defer c.releaseBody()
	if err != nil {
		c.rejectRequest(err, limits)
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

// rejectRequest answers a request that could not be read or parsed. The connection must be closed afterwards, because
// the bytes that follow must not be interpreted as a request.
func (c *connection) rejectRequest(err error, limits requestLimits) {
	// A caller that closed the connection in the middle of a request does not read a response.
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.listener.writeError(&c.header, err, &c.response)
	if c.writeResponse(true) == nil {
		c.lingeringClose(limits)
	}
}

// errIdle reports that the connection ended between two requests, so that no response is due.
var errIdle = errors.New("connection ended while idle")

// setReadTimeout sets the read deadline to now plus timeout. An earlier deadline is kept if the difference is at most
// timeout / deadlineRefreshDivisor, which saves work for each request.
func (c *connection) setReadTimeout(now time.Time, timeout time.Duration) {
	if left := c.readDeadline.Sub(now); left <= timeout && left >= timeout-timeout/deadlineRefreshDivisor {
		return
	}
	c.readDeadline = now.Add(timeout)
	_ = c.conn.SetReadDeadline(c.readDeadline) // a closed connection fails at the next read
}

// fillBuffer reads available bytes into the buffer, which must have room for at least one byte. It blocks until a byte
// arrives, and fails with errs.RequestTimeout at the read deadline. If the disconnect watch has the buffer, its result
// is used first.
func (c *connection) fillBuffer() error {
	var count int
	var err error
	if c.watching {
		count, err = c.awaitWatchResult()
	}
	// The deadline that ended the watch may have been moved since.
	if count == 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		count, err = c.conn.Read(c.buffer[c.bufferEnd:])
	}
	c.bufferEnd += count
	if count > 0 {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errs.Wrap(err, errs.RequestTimeout, "read request")
	}
	return err
}

// resetBuffer empties the buffer, in which no unconsumed byte may be left. A buffer that grew for a large header is
// replaced by one of the initial size.
func (c *connection) resetBuffer() {
	c.bufferStart, c.bufferEnd = 0, 0
	if len(c.buffer) > initialBufferSize {
		c.buffer = make([]byte, initialBufferSize)
	}
}

// growBuffer makes room for at least one more byte. Unconsumed bytes move to the start, and a full buffer doubles, up to
// maxBytes plus initialBufferSize.
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

// lingeringClose reads and discards input for a while after a rejection, at most for headerTimeout. Closing a connection
// with unread bytes resets it, and the caller would never see the response.
func (c *connection) lingeringClose(limits requestLimits) {
	if halfCloser, canHalfClose := c.conn.(interface{ CloseWrite() error }); canHalfClose {
		_ = halfCloser.CloseWrite() // the connection is closed soon in any case
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.headerTimeout)) // a closed connection fails at the read
	// The connection counts as idle now, so that a shutdown does not wait for it.
	c.idleSince.Store(time.Now().UnixNano())
	if c.listener.isClosed() {
		return
	}
	_, _ = io.CopyN(io.Discard, c.conn, int64(limits.maxBodyBytes)*rejectedBodyDiscardFactor) // best effort: the connection is closed next
}

// isLocalCaller reports whether the caller runs on this machine. Responses to it do not use the machine's uplink.
func (c *connection) isLocalCaller() bool {
	remote, remoteIsTCP := c.conn.RemoteAddr().(*net.TCPAddr)
	local, localIsTCP := c.conn.LocalAddr().(*net.TCPAddr)
	return remoteIsTCP && localIsTCP && remote.IP.Equal(local.IP)
}
