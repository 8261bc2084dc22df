package dispatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/socket"
)

// connPool is the pool of connections to one worker, each for one request at a time. The HTTP library's own client
// is not used: it resends what it takes for unsent, gives up a connection without an error, and takes any response
// that arrives for the response to its request.
type connPool struct {
	address string // of the worker
	dial    func(address string) (net.Conn, error)
	now     func() time.Duration // the clock of the process

	lock   sync.Mutex    // guards the fields below; may be taken while the lock of Workers is held
	idle   []*workerConn // the one idle the longest first
	closed bool
	// idleTimeout is after how long the worker closes an idle connection: as it reported, or as was observed; 0
	// for not known.
	idleTimeout time.Duration
}

// Ratios to how long a worker keeps an idle connection.
const (
	idleMarginDivisor = 8 // a connection is not used any more when this part of the time is left
	idleLearnDivisor  = 4 // a connection that was found closed is assumed to have been closed this part earlier
)

// workerConn is one connection to a worker. It belongs to the goroutine that took it from the pool.
type workerConn struct {
	net.Conn
	bytesSent int                       // bytes of the request that left this process
	idleSince time.Duration             // on the clock of the process
	rawConn   syscall.RawConn           // nil for what is no socket
	probe     func(handle uintptr) bool // for rawConn.Read: sets noData; made once, so that alive allocates nothing
	noData    bool                      // the last probe found neither data nor the end of the connection
}

// Write counts the bytes that left this process.
func (c *workerConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.bytesSent += count
	return count, err
}

func newWorkerConn(raw net.Conn) *workerConn {
	conn := &workerConn{Conn: socket.Wrap(raw)}
	syscallConn, ok := raw.(syscall.Conn)
	if !ok {
		return conn
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return conn
	}
	conn.rawConn = rawConn
	var buffer [1]byte
	conn.probe = func(handle uintptr) bool {
		_, err := socket.Read(handle, buffer[:])
		conn.noData = errors.Is(err, syscall.EAGAIN)
		return true
	}
	return conn
}

// alive reports whether nothing arrived on an idle connection: neither its end, nor bytes, which could only belong
// to a request that is over. The probe consumes a byte that did arrive: the connection is then not used again.
func (c *workerConn) alive() bool {
	if c.rawConn == nil {
		return true
	}
	return c.rawConn.Read(c.probe) == nil && c.noData
}

// interrupt ends every read and write on a connection at once.
func (c *workerConn) interrupt() {
	_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, which is interrupted already
}

// discard closes a connection that is not used any more.
func (c *workerConn) discard() {
	_ = c.Close() // what it carried is over, and its descriptor is released in any case
}

// roundTrip sends a request and reads its response. An error with the code errs.WorkerConnectFailed proves that the
// worker saw nothing of it; any other leaves that open. When ctx ends, the connection is closed, by which the worker
// learns that its response is not awaited, and the error has the code errs.CallerDisconnected. Once something was
// sent, the context of the exchange counts in place of ctx.
func (c *connPool) roundTrip(ctx context.Context, x *exchange) error {
	for {
		conn, fresh, err := c.acquire(ctx, x)
		if err != nil {
			return err
		}
		err = c.exchangeOn(conn, x) //nolint:contextcheck // the run's own context, x.ctx, may outlive the call's
		switch {
		case err == nil || conn.bytesSent > 0:
			return err
		// Nothing left this process, so another connection may be tried; a second fresh one would do no better. Once ctx
		// has ended, acquire gives up in the next round.
		case fresh && ctx.Err() == nil:
			return errs.New(errs.WorkerConnectFailed, c.address)
		}
	}
}

// acquire returns an idle connection, or a fresh one if there is none. Its deadline is that of the exchange.
func (c *connPool) acquire(ctx context.Context, x *exchange) (conn *workerConn, fresh bool, err error) {
	if ctx.Err() != nil {
		return nil, false, errs.New(errs.CallerDisconnected, c.address)
	}
	conn = c.takeIdle(x.deadline)
	if conn == nil {
		raw, err := c.dial(c.address)
		if err != nil {
			return nil, false, errs.Wrap(err, errs.WorkerConnectFailed, c.address)
		}
		conn, fresh = newWorkerConn(raw), true
		_ = conn.SetDeadline(x.deadline) // fails only on a closed connection, which the exchange reports
	}
	// The worker may have taken long to accept the connection.
	if ctx.Err() != nil {
		conn.discard()
		return nil, false, errs.New(errs.CallerDisconnected, c.address)
	}
	return conn, fresh, nil
}

// exchangeOn runs an exchange on a connection, and returns the connection to the pool or closes it.
func (c *connPool) exchangeOn(conn *workerConn, x *exchange) error {
	startedAt := c.now()
	stop := context.AfterFunc(x.ctx, conn.interrupt)
	reusable, err := conn.exchange(x)
	if conn.bytesSent > 0 {
		x.sentAt = max(1, startedAt)
	}
	// An interrupt that has begun may take effect at any time from now on.
	if !stop() {
		reusable = false
		if err != nil && conn.bytesSent > 0 {
			err = errs.New(errs.CallerDisconnected, c.address)
		}
	}
	if reusable {
		c.putIdle(conn, x.info.IdleTimeout)
	} else {
		conn.discard()
	}
	return err
}

// takeIdle returns the connection that was idle the longest, nil for none. So connections in regular use stay open
// in turn, and only those that are not needed reach their idle timeout.
func (c *connPool) takeIdle(deadline time.Time) *workerConn {
	for {
		c.lock.Lock()
		if len(c.idle) == 0 {
			c.lock.Unlock()
			return nil
		}
		conn, idleTimeout := c.idle[0], c.idleTimeout
		c.idle = append(c.idle[:0], c.idle[1:]...)
		c.lock.Unlock()
		_ = conn.SetDeadline(deadline) // fails only on a closed connection, which is then not alive
		idleFor := c.now() - conn.idleSince
		switch {
		case idleTimeout > 0 && idleFor > idleTimeout-idleTimeout/idleMarginDivisor:
		case conn.alive():
			return conn
		default:
			c.learnIdleTimeout(idleFor)
		}
		conn.discard()
	}
}

// learnIdleTimeout records that the worker closed a connection that was idle for so long. So the idle timeout of a
// worker that does not report one is observed.
func (c *connPool) learnIdleTimeout(idleFor time.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.idleTimeout == 0 || idleFor < c.idleTimeout {
		c.idleTimeout = idleFor - idleFor/idleLearnDivisor
	}
}

// putIdle keeps a connection for the next request. reportedTimeout is the worker's idle timeout, 0 for not reported.
func (c *connPool) putIdle(conn *workerConn, reportedTimeout time.Duration) {
	conn.idleSince = c.now()
	c.lock.Lock()
	closed := c.closed
	if reportedTimeout > 0 {
		c.idleTimeout = reportedTimeout
	}
	if !closed {
		c.idle = append(c.idle, conn)
	}
	c.lock.Unlock()
	if closed {
		conn.discard()
	}
}

// close closes the connections that are idle now, and those in use once they are returned.
func (c *connPool) close() {
	c.lock.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.lock.Unlock()
	for _, conn := range idle {
		conn.discard()
	}
}
