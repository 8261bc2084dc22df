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

// bounds are what a caller may send, and how long it may take.
type bounds struct {
	head     int           // bytes of a head
	body     int           // bytes of a body
	headWait time.Duration // from the first byte of a head to its last
	quiet    time.Duration // without a byte, between requests or within one
}

// front takes requests from callers at one listener. A library's server would not do: the
// bounds change with the setup, a request that could be read in two ways is to be refused and
// not repaired, target and headers go on as they came, and new connections are taken for as
// long as this process lives.
type front struct {
	listener net.Listener
	bounds   func() bounds
	most     int // connections at once
	// leaving tells callers to take their connections back with the next answer.
	leaving *atomic.Bool
	// carried hears how many bytes of answers were written; may be nil.
	carried func(bytes int)
	// departures counts callers that leave while a call of theirs is under way.
	departures *dispatch.Departures
	// serve carries a request out; its context ends when the caller leaves.
	serve  func(ctx context.Context, head *Head, body []byte, came time.Time, reply *Reply)
	refuse func(head *Head, err error, reply *Reply)
	// room is how many bytes of large bodies may be held at once; taken is how many are.
	room  int64
	taken atomic.Int64

	lock        sync.Mutex
	connections map[*connection]struct{}
	ended       bool
	gone        chan struct{} // closed when the last connection has ended after the end
}

// Sizes in bytes, and ratios.
const (
	firstRead   = 4 << 10  // of a connection's buffer; it grows with heads that need more
	bodyStep    = 64 << 10 // of a body before more of it has come; a larger one is counted
	bodyTimes   = 4        // times which room for a body grows as more of it comes
	joinMost    = 16 << 10 // bodies up to this are written together with their head
	lineMost    = 256      // of a chunk's size line
	lingerTimes = 16       // times the bound, of a body that is read and dropped after a refusal
	stillGood   = 4        // a deadline is moved once this part of it has passed
)

func newFront(listener net.Listener, most int, room int64, leaving *atomic.Bool, bounds func() bounds) *front {
	return &front{listener: listener, bounds: bounds, most: most, room: room, leaving: leaving, connections: map[*connection]struct{}{}, gone: make(chan struct{}), departures: &dispatch.Departures{}}
}

// run takes connections until the listener is closed.
func (f *front) run() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			// Descriptors may run out for a moment; only a closed listener takes no more for good.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		one := &connection{front: f, conn: socket.Of(conn)}
		f.lock.Lock()
		taken := !f.ended && (len(f.connections) < f.most || f.makeRoom())
		if taken {
			f.connections[one] = struct{}{}
		}
		f.lock.Unlock()
		if !taken {
			conn.Close()
			continue
		}
		go one.run()
	}
}

// makeRoom ends the connection that has been quiet the longest, for callers that were refused come
// back on a new one and keep the old; the caller holds the lock. It tells whether any was quiet.
func (f *front) makeRoom() bool {
	var oldest *connection
	since := int64(0)
	for one := range f.connections {
		if at := one.idleSince.Load(); at != 0 && (oldest == nil || at < since) {
			oldest, since = one, at
		}
	}
	if oldest == nil || !oldest.idleSince.CompareAndSwap(since, 0) {
		return false
	}
	_ = oldest.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// acceptPause is how long a listener rests that could not take a connection.
const acceptPause = 10 * time.Millisecond

// finish takes no more connections and waits, as long as until, for the connections that are at a
// request; what is idle is closed. It tells whether all came to their end.
func (f *front) finish(until <-chan struct{}) bool {
	f.listener.Close()
	f.lock.Lock()
	f.ended = true
	if len(f.connections) == 0 {
		f.lock.Unlock()
		return true
	}
	for one := range f.connections {
		if one.idleSince.Load() != 0 {
			_ = one.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	f.lock.Unlock()
	select {
	case <-f.gone:
		return true
	case <-until:
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	for one := range f.connections {
		one.conn.Close()
	}
	return false
}

func (f *front) ending() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.ended
}

func (f *front) leave(one *connection) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.connections, one)
	if f.ended && len(f.connections) == 0 {
		close(f.gone)
	}
}
