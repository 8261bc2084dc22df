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

// connection is one connection of a caller. Its requests are served one after the other, in the order in
// which they arrive, by the goroutine that runs serve. While a call is under way a second goroutine, the
// disconnect watch, reads the connection (disconnect_watch.go).
type connection struct {
	listener *callerListener
	conn     net.Conn

	// buffer[bufferStart:bufferEnd] are the bytes that have arrived and are not used yet. While watching is
	// set the buffer belongs to the disconnect watch; fillBuffer takes it back.
	buffer      []byte
	bufferStart int
	bufferEnd   int

	// readDeadline and writeDeadline are the ones set on conn, so that they are not moved for each request.
	readDeadline  time.Time
	writeDeadline time.Time

	// idleSince is the Unix time in nanoseconds since which no response is owed on this connection, 0 while one
	// is. Setting it to 0 claims the connection, see callerListener.closeLongestIdle.
	idleSince atomic.Int64

	header      RequestHeader
	response    Response
	writeBuffer []byte // reused for the header of each response
	// reservedBytes of the current body count against the listener's largeBodyCapacity.
	reservedBytes int64

	// callerContext ends when the caller disconnects; it lives as long as the connection and is the parent of
	// each of its calls.
	callerContext context.Context
	cancelCaller  context.CancelFunc

	// watching is set while the disconnect watch owns the buffer; its result comes through watchResults.
	watching     bool
	watchResults chan watchResult
	inputClosed  atomic.Bool // set by the watch: the caller sends nothing more on this connection

	// writeLock guards responseStarted, callerDisconnected and deadlineExtended, and with them the right to
	// write: the watch may write until the response has started, then only serve may. Without the lock serve sets
	// responseStarted back before a watch starts, and reads callerDisconnected after beginResponse, from when on it
	// does not change.
	writeLock          sync.Mutex
	responseStarted    bool
	callerDisconnected bool // the caller disconnected while its call was under way
	deadlineExtended   bool // the watch moved the read deadline
}

// serve serves the requests of a connection until it ends.
func (c *connection) serve() {
	defer c.listener.removeConnection(c)
	defer func() { _ = c.conn.Close() }() // all that was owed has been written
	c.callerContext, c.cancelCaller = context.WithCancel(context.Background())
	defer c.cancelCaller()
	c.buffer = make([]byte, initialBufferSize)
	c.watchResults = make(chan watchResult, 1)
	for c.serveRequest() {
	}
}

// serveRequest reads one request and answers it; false ends the connection.
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

// rejectRequest answers a request that could not be read. The connection ends after it: what follows on it
// must not be taken for a request.
func (c *connection) rejectRequest(err error, limits requestLimits) {
	// A caller that closed the connection in the middle of its own request reads no response.
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.listener.writeError(&c.header, err, &c.response)
	if c.writeResponse(true) == nil {
		c.lingeringClose(limits)
	}
}

// errIdle is the end of a connection between two requests.
var errIdle = errors.New("idle connection")

// setReadTimeout moves the read deadline to now plus timeout; one that is near enough is left as it is, which
// saves work for each request.
func (c *connection) setReadTimeout(now time.Time, timeout time.Duration) {
	if left := c.readDeadline.Sub(now); left <= timeout && left >= timeout-timeout/deadlineRefreshDivisor {
		return
	}
	c.readDeadline = now.Add(timeout)
	_ = c.conn.SetReadDeadline(c.readDeadline) // a connection that has ended fails at the next read
}

// fillBuffer reads what has arrived into the buffer, which has room for at least one byte.
func (c *connection) fillBuffer() error {
	var count int
	var err error
	if c.watching {
		count, err = c.awaitWatchResult()
	}
	// A deadline that the watch ran into may have been moved since.
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

// resetBuffer makes room for the next request where no unused byte is left. A buffer that grew for one large
// header is not retained for the small ones after it.
func (c *connection) resetBuffer() {
	c.bufferStart, c.bufferEnd = 0, 0
	if len(c.buffer) > initialBufferSize {
		c.buffer = make([]byte, initialBufferSize)
	}
}

// growBuffer makes room for at least one more byte: unused bytes move to the start, and a full buffer doubles, up
// to a little more than maxBytes.
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

// lingeringClose reads on for a while after a rejection: a connection that is closed with unread bytes is
// reset, and the caller never sees the response.
func (c *connection) lingeringClose(limits requestLimits) {
	if halfCloser, canHalfClose := c.conn.(interface{ CloseWrite() error }); canHalfClose {
		_ = halfCloser.CloseWrite() // the connection is closed soon in any case
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.headerTimeout)) // a connection that has ended fails at the read
	// No response is owed any more, so that the process need not wait for this connection when it ends.
	c.idleSince.Store(time.Now().UnixNano())
	if c.listener.isClosed() {
		return
	}
	_, _ = io.CopyN(io.Discard, c.conn, int64(limits.bodyBytes)*rejectedBodyDiscardFactor) // best effort: the connection is closed next
}

// isLocalCaller reports whether the caller is on this machine: its responses do not use the machine's uplink.
func (c *connection) isLocalCaller() bool {
	remote, remoteIsTCP := c.conn.RemoteAddr().(*net.TCPAddr)
	local, localIsTCP := c.conn.LocalAddr().(*net.TCPAddr)
	return remoteIsTCP && localIsTCP && remote.IP.Equal(local.IP)
}
