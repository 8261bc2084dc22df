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

// requestLimits are what a caller may send, and how long it may take.
type requestLimits struct {
	headerBytes   int           // bytes of a head
	bodyBytes     int           // bytes of a body
	headerTimeout time.Duration // from the first byte of a head to its last
	idleTimeout   time.Duration // without a byte, between requests or within one
}

// callerListener takes requests from callers at one listener. A library's server would not do: the
// bounds change with the setup, a request that could be read in two ways is to be refused and
// not repaired, target and headers go on as they came, and new connections are taken for as
// long as this process lives.
type callerListener struct {
	listener       net.Listener
	limits         func() requestLimits
	maxConnections int // connections at once
	// draining tells callers to take their connections back with the next answer.
	draining *atomic.Bool
	// onWritten hears how many bytes of answers were written; may be nil.
	onWritten func(bytes int)
	// disconnects counts callers that leave while a call of theirs is under way.
	disconnects *dispatch.Disconnects
	// handle carries a request out; its context ends when the caller leaves.
	handle     func(ctx context.Context, head *RequestHeader, body []byte, came time.Time, reply *Response)
	writeError func(head *RequestHeader, err error, reply *Response)
	// largeBodyCapacity is how many bytes of large bodies may be held at once; taken is how many are.
	largeBodyCapacity int64
	largeBodyBytes    atomic.Int64

	lock        sync.Mutex
	connections map[*connection]struct{}
	closed      bool
	allClosed   chan struct{} // closed when the last connection has ended after the end
}

// Sizes in bytes, and ratios.
const (
	initialBufferSize      = 4 << 10  // of a connection's buffer; it grows with heads that need more
	smallBodyBytes         = 64 << 10 // of a body before more of it has come; a larger one is counted
	bodyGrowthFactor       = 4        // times which room for a body grows as more of it comes
	maxCombinedWriteBytes  = 16 << 10 // bodies up to this are written together with their head
	maxChunkLineBytes      = 256      // of a chunk's size line
	lingerDiscardFactor    = 16       // times the bound, of a body that is read and dropped after a refusal
	deadlineRefreshDivisor = 4        // a deadline is moved once this part of it has passed
)

func newCallerListener(listener net.Listener, maxConnections int, largeBodyCapacity int64, draining *atomic.Bool, limits func() requestLimits) *callerListener {
	return &callerListener{listener: listener, limits: limits, maxConnections: maxConnections, largeBodyCapacity: largeBodyCapacity, draining: draining, connections: map[*connection]struct{}{}, allClosed: make(chan struct{}), disconnects: &dispatch.Disconnects{}}
}

// acceptLoop takes connections until the listener is closed.
func (l *callerListener) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			// Descriptors may run out for a moment; only a closed listener takes no more for good.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		accepted := &connection{listener: l, conn: socket.Wrap(conn)}
		l.lock.Lock()
		admitted := !l.closed && (len(l.connections) < l.maxConnections || l.closeLongestIdle())
		if admitted {
			l.connections[accepted] = struct{}{}
		}
		l.lock.Unlock()
		if !admitted {
			conn.Close()
			continue
		}
		go accepted.serve()
	}
}

// closeLongestIdle ends the connection that has been quiet the longest, for callers that were refused come
// back on a new one and keep the old; the caller holds the lock. It tells whether any was quiet.
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
	_ = oldest.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// acceptRetryDelay is how long a listener rests that could not take a connection.
const acceptRetryDelay = 10 * time.Millisecond

// shutDown takes no more connections and waits, as long as until, for the connections that are at a
// request; what is idle is closed. It tells whether all came to their end.
func (l *callerListener) shutDown(deadline <-chan struct{}) bool {
	l.listener.Close()
	l.lock.Lock()
	l.closed = true
	if len(l.connections) == 0 {
		l.lock.Unlock()
		return true
	}
	for remaining := range l.connections {
		if remaining.idleSince.Load() != 0 {
			_ = remaining.conn.SetReadDeadline(time.Unix(1, 0))
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
		remaining.conn.Close()
	}
	return false
}

func (l *callerListener) isClosed() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.closed
}

func (l *callerListener) removeConnection(finished *connection) {
	l.lock.Lock()
	defer l.lock.Unlock()
	delete(l.connections, finished)
	if l.closed && len(l.connections) == 0 {
		close(l.allClosed)
	}
}
