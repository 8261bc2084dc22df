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

// requestLimits are the limits of one request, from the configuration in use.
type requestLimits struct {
	headerBytes   int           // bytes of the request line, and bytes of the header lines after it
	bodyBytes     int           // bytes of a body
	headerTimeout time.Duration // from the first byte of a header to its last
	idleTimeout   time.Duration // without a byte, between requests or within a body
}

// callerListener is the entry point of one caller: it accepts connections and serves the requests on them.
//
// A library's server does not fit: the limits change with the configuration, a request that two readers could
// understand differently is rejected and not repaired, target and headers are forwarded as they came, and
// new connections are accepted until the process ends.
type callerListener struct {
	listener       net.Listener
	limits         func() requestLimits // called for each request
	maxConnections int                  // open at the same time
	// draining is set during a graceful shutdown: each response then ends its connection.
	draining *atomic.Bool
	// onWritten observes the bytes of each response to a caller on another machine; may be nil.
	onWritten func(bytes int)
	// disconnects counts callers that disconnect while a call of theirs is under way.
	disconnects *dispatch.Disconnects
	// handle serves a request and fills the response; ctx ends when the caller disconnects.
	handle func(ctx context.Context, header *RequestHeader, body []byte, receivedAt time.Time, response *Response)
	// writeError fills the response to a request that could not be read.
	writeError func(header *RequestHeader, err error, response *Response)
	// largeBodyCapacity bounds largeBodyBytes, the bytes of all large bodies in memory.
	largeBodyCapacity int64
	largeBodyBytes    atomic.Int64

	lock        sync.Mutex               // guards connections, closed and the closing of allClosed
	connections map[*connection]struct{} // open ones
	closed      bool                     // set by shutDown
	allClosed   chan struct{}            // closed when the last connection has ended after shutDown
}

// Sizes in bytes, and factors.
const (
	initialBufferSize      = 4 << 10  // of a connection's buffer; it grows for larger headers
	smallBodyBytes         = 64 << 10 // a larger body counts against largeBodyCapacity; also the first allocation for a body
	bodyGrowthFactor       = 4        // by which the memory of a body grows while its bytes arrive
	maxCombinedWriteBytes  = 16 << 10 // a body up to this size is written together with its header
	maxChunkLineBytes      = 256      // of the line with a chunk's size
	deadlineRefreshDivisor = 4        // a connection's deadline is moved only after this part of the timeout has passed

	// rejectedBodyDiscardFactor is how many times the body limit is read and dropped after a body was rejected
	// as too large: a connection that is closed with unread bytes is reset, and the caller never sees the response.
	rejectedBodyDiscardFactor = 16
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// pastDeadline is a deadline that has passed: a read that waits under it returns at once.
var pastDeadline = time.Unix(1, 0)

// newCallerListener makes an entry point on listener. The caller of this function sets handle and writeError
// before it starts acceptLoop; largeBodyCapacity is in bytes.
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
			// File descriptors may run out for a moment; only a closed listener never accepts again.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		accepted := &connection{listener: l, conn: socket.Wrap(conn)}
		if !l.admit(accepted) {
			_ = conn.Close() // nothing was sent on it
			continue
		}
		go accepted.serve()
	}
}

// admit adds a connection if there is room for it or an idle connection can be closed in its place.
func (l *callerListener) admit(accepted *connection) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	admitted := !l.closed && (len(l.connections) < l.maxConnections || l.closeLongestIdle())
	if admitted {
		l.connections[accepted] = struct{}{}
	}
	return admitted
}

// closeLongestIdle closes the connection that has been idle the longest, and reports whether there was one:
// callers that were rejected come back on new connections and keep the old ones open. The caller holds l.lock.
//
// Setting idleSince from its time to 0 claims the connection: its own goroutine does the same when a request
// arrives, so exactly one of the two wins.
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
	_ = oldest.conn.SetReadDeadline(pastDeadline) // fails only on a connection that has ended by itself
	return true
}

// shutDown stops accepting, closes idle connections and waits for the others to finish their request, until
// deadline is closed; then it closes these too. It reports whether all connections finished in time.
func (l *callerListener) shutDown(deadline <-chan struct{}) bool {
	_ = l.listener.Close() // the listener is not used again
	l.lock.Lock()
	l.closed = true
	if len(l.connections) == 0 {
		l.lock.Unlock()
		return true
	}
	for remaining := range l.connections {
		if remaining.idleSince.Load() != 0 {
			_ = remaining.conn.SetReadDeadline(pastDeadline) // fails only on a connection that has ended by itself
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
		_ = remaining.conn.Close() // the caller sees its call cut short
	}
	return false
}

// isClosed reports whether shutDown has begun.
func (l *callerListener) isClosed() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.closed
}

// removeConnection forgets a connection that has ended.
func (l *callerListener) removeConnection(finished *connection) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.connections, finished)
	if l.closed && len(l.connections) == 0 {
		close(l.allClosed)
	}
}
