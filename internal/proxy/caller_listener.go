package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/socket"
)

// requestLimits holds the limits of one request, from the configuration in use.
type requestLimits struct {
	maxHeaderBytes int           // maximum size of the request line, and separately of the header lines after it
	maxBodyBytes   int           // maximum size of the body
	headerTimeout  time.Duration // time from the first byte of a header to its last
	idleTimeout    time.Duration // time without a byte received, between requests or within a body; also bounds writes
}

// callerListener is the HTTP/1 entry point of one caller. It accepts connections and serves the requests on them.
//
// It replaces a library's server for these reasons:
//   - The limits change with the configuration.
//   - An ambiguous request, which two parsers could read differently, is rejected instead of repaired.
//   - Target and header fields are forwarded byte by byte.
//   - New connections are still accepted in the first stage of a graceful shutdown.
type callerListener struct {
	listener       net.Listener
	limits         func() requestLimits // returns the limits in effect; called for each request
	maxConnections int                  // maximum number of open connections
	// draining is set during a graceful shutdown; each response then closes its connection.
	draining *atomic.Bool
	// onWritten is called with the number of bytes of each response to a caller on another machine; may be nil.
	onWritten func(bytes int)
	// disconnects counts callers that disconnect while a call of theirs is in flight.
	disconnects *dispatch.Disconnects
	// handle serves a request and fills the response. ctx ends when the caller disconnects.
	handle func(ctx context.Context, header *RequestHeader, body []byte, receivedAt time.Time, response *Response)
	// writeError fills the response to a request that could not be read or parsed.
	writeError        func(header *RequestHeader, err error, response *Response)
	largeBodyCapacity int64        // maximum of largeBodyBytes
	largeBodyBytes    atomic.Int64 // bytes of all bodies in memory that are larger than smallBodyBytes

	lock        sync.Mutex               // guards connections, closed and the closing of allClosed
	connections map[*connection]struct{} // open connections
	closed      bool                     // whether shutDown has begun
	allClosed   chan struct{}            // closed when the last connection has ended after shutDown
}

// Sizes in bytes, and factors.
const (
	initialBufferSize      = 4 << 10  // initial size of a connection's buffer, which grows for larger headers
	smallBodyBytes         = 64 << 10 // larger bodies count against largeBodyCapacity; also bounds the first allocation
	bodyGrowthFactor       = 4        // growth factor of the memory of a body while its bytes arrive
	maxCombinedWriteBytes  = 16 << 10 // largest body that is written together with its header
	maxChunkLineBytes      = 256      // maximum size of an incomplete line in a chunked body
	deadlineRefreshDivisor = 4        // a read deadline is moved only after timeout / deadlineRefreshDivisor has passed

	// rejectedBodyDiscardFactor is the multiple of the body limit that is read and discarded after a rejection. Closing
	// a connection with unread bytes resets it, and the caller would never see the response.
	rejectedBodyDiscardFactor = 16
)

// acceptRetryDelay is the pause after a failed Accept.
const acceptRetryDelay = 10 * time.Millisecond

// pastDeadline is a deadline in the past. Setting it makes a blocked read return at once.
var pastDeadline = time.Unix(1, 0)

// newCallerListener creates a callerListener on listener. handle and writeError must be set before acceptLoop starts.
// largeBodyCapacity is in bytes.
func newCallerListener(
	listener net.Listener,
	maxConnections int,
	largeBodyCapacity int64,
	draining *atomic.Bool,
	limits func() requestLimits,
) *callerListener {
	return &callerListener{
		listener:          listener,
		limits:            limits,
		maxConnections:    maxConnections,
		largeBodyCapacity: largeBodyCapacity,
		draining:          draining,
		connections:       map[*connection]struct{}{},
		allClosed:         make(chan struct{}),
		disconnects:       &dispatch.Disconnects{},
	}
}

// acceptLoop accepts connections until the listener is closed.
func (l *callerListener) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			// Errors such as a lack of file descriptors are temporary; only a closed listener is permanent.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		accepted := &connection{listener: l, conn: socket.Wrap(conn)}
		if !l.admit(accepted) {
			_ = conn.Close() // nothing was sent on this connection
			continue
		}
		go accepted.serve()
	}
}

// admit adds a connection if the limit permits or an idle connection can be closed in exchange. It reports whether the
// connection was added.
func (l *callerListener) admit(accepted *connection) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	admitted := !l.closed && (len(l.connections) < l.maxConnections || l.closeLongestIdle())
	if admitted {
		l.connections[accepted] = struct{}{}
	}
	return admitted
}

// closeLongestIdle closes the connection that has been idle for the longest time, and reports whether there was one.
// Idle connections must make room because rejected callers reconnect without closing their old connections. The caller
// holds l.lock.
//
// Changing idleSince from its time to 0 claims the connection. The goroutine of the connection does the same when a
// request arrives, so exactly one of the two succeeds.
func (l *callerListener) closeLongestIdle() bool {
	var oldest *connection
	oldestIdleSince := int64(0)
	for candidate := range l.connections {
		if idleSince := candidate.idleSince.Load(); idleSince != 0 && (oldest == nil || idleSince < oldestIdleSince) {
			oldest, oldestIdleSince = candidate, idleSince
		}
	}
	if oldest == nil || !oldest.idleSince.CompareAndSwap(oldestIdleSince, 0) {
		return false
	}
	_ = oldest.conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
	return true
}

// shutDown stops accepting connections, closes idle ones and waits for the others to finish their request. When deadline
// is closed, it closes the remaining connections. It reports whether all connections finished before.
func (l *callerListener) shutDown(deadline <-chan struct{}) bool {
	_ = l.listener.Close() // not used again
	l.lock.Lock()
	l.closed = true
	if len(l.connections) == 0 {
		l.lock.Unlock()
		return true
	}
	for remaining := range l.connections {
		if remaining.idleSince.Load() != 0 {
			_ = remaining.conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
		}
	}
	l.lock.Unlock()
	select {
	case <-l.allClosed:
		return true
	case <-deadline:
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	for remaining := range l.connections {
		_ = remaining.conn.Close() // cuts off the call in flight
	}
	return false
}

// isClosed reports whether shutDown has begun.
func (l *callerListener) isClosed() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.closed
}

// removeConnection removes a closed connection, and signals allClosed if it was the last one after shutDown.
func (l *callerListener) removeConnection(finished *connection) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.connections, finished)
	if l.closed && len(l.connections) == 0 {
		close(l.allClosed)
	}
}
