package dispatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/socket"
)

// connPool is the pool of connections to one worker. A connection carries one request at a time. The client of the HTTP
// library is not used, for three reasons: it resends requests that it takes for unsent, it gives up a connection
// without an error, and it takes any response that arrives for the response to its request.
type connPool struct {
	address string                                 // address of the worker, IP:port
	dial    func(address string) (net.Conn, error) // opens a connection to the worker
	now     func() time.Duration                   // returns the process clock

	lock   sync.Mutex    // guards the fields below; may be taken while the lock of Workers is held
	idle   []*workerConn // idle connections, the longest idle first
	closed bool          // connections are closed as soon as they are idle
	// idleTimeout is how long the worker keeps an idle connection open, as it reported or as was observed; 0 if neither is
	// known.
	idleTimeout time.Duration
}

// Fractions of idle times. A divisor n stands for the fraction 1/n.
const (
	idleMarginDivisor = 8 // a connection is not used any more once less than 1/8 of the idle timeout is left
	idleLearnDivisor  = 4 // a connection that is found closed is assumed to have been closed after 3/4 of its idle time
)

// workerConn is one connection to a worker. Only the goroutine that took it from the pool uses it.
type workerConn struct {
	net.Conn
	bytesSent atomic.Int64              // bytes of the current request that were written to the connection
	idleSince time.Duration             // time of the last return to the pool, on the process clock
	rawConn   syscall.RawConn           // nil if the connection is no socket
	probe     func(handle uintptr) bool // passed to rawConn.Read, sets noData; allocated once, so that alive allocates nothing
	noData    bool                      // the last probe found neither data nor the end of the connection
}

// maxWriteBytes is the most that one write to a connection takes, in bytes, so that bytesSent shows the progress of a large
// request.
const maxWriteBytes = 1 << 16

// Write writes to the connection and adds the bytes that were written to bytesSent.
func (c *workerConn) Write(data []byte) (written int, err error) {
	for {
		count, err := c.Conn.Write(data[written:min(len(data), written+maxWriteBytes)])
		written += count
		c.bytesSent.Add(int64(count))
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// newWorkerConn returns a worker connection over raw. It prepares the probe if raw is a socket.
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

// alive reports whether nothing has arrived on an idle connection: neither its end, nor bytes, which could only belong
// to a request that has ended. The probe consumes a byte that has arrived, so the connection must not be used after
// alive returned false. A connection that is no socket is assumed to be alive.
func (c *workerConn) alive() bool {
	if c.rawConn == nil {
		return true
	}
	return c.rawConn.Read(c.probe) == nil && c.noData
}

// interrupt ends all reads and writes on a connection at once.
func (c *workerConn) interrupt() {
	_ = c.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, which is interrupted already
}

// discard closes a connection that is not used any more.
func (c *workerConn) discard() {
	_ = c.Close() // the last request has ended, and the descriptor is released even if Close fails
}

// roundTrip sends a request and reads its response. An error with the code errs.WorkerConnectFailed proves that the
// worker received nothing of the request. After any other error the worker may have received it, if x.sentAt is not 0.
//
// When ctx ends before the request is sent, or x.ctx ends after that, the connection is closed and the error has the
// code errs.CallerDisconnected. The worker learns from the closed connection that its response is not awaited any more.
func (c *connPool) roundTrip(ctx context.Context, x *exchange) error {
	for {
		conn, fresh, err := c.acquire(ctx, x)
		if err != nil {
			return err
		}
		err = c.exchangeOn(conn, x) //nolint:contextcheck // the run's own context, x.ctx, may outlive the call's
		switch {
		case err == nil || conn.bytesSent.Load() > 0:
			return err
		// Nothing was sent, so another connection may be tried. After a fresh connection none is tried, because a second
		// fresh one would fail as well. If ctx has ended, acquire returns the error for that in the next round.
		case fresh && ctx.Err() == nil:
			return errs.New(errs.WorkerConnectFailed, c.address)
		}
	}
}

// acquire returns an idle connection, or a fresh one if there is none, with the deadline of the exchange set. It fails
// with errs.CallerDisconnected if ctx has ended, and with errs.WorkerConnectFailed if no connection can be opened.
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
	// ctx may have ended while the connection was being opened.
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
	if conn.bytesSent.Load() > 0 {
		x.sentAt = max(1, startedAt)
	}
	// An interrupt that has begun may still take effect, so the connection cannot be used again.
	if !stop() {
		reusable = false
		if err != nil && conn.bytesSent.Load() > 0 {
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

// takeIdle returns the usable connection that has been idle the longest, or nil if there is none, and closes those that
// are not usable. Taking the longest idle one first uses all connections in turn, which keeps them from reaching their
// idle timeout.
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

// learnIdleTimeout lowers the assumed idle timeout after a connection was found closed that had been idle for idleFor.
// So the idle timeout is observed if the worker does not report it.
func (c *connPool) learnIdleTimeout(idleFor time.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.idleTimeout == 0 || idleFor < c.idleTimeout {
		c.idleTimeout = idleFor - idleFor/idleLearnDivisor
	}
}

// putIdle returns a connection to the pool, or closes it if the pool is closed. reportedTimeout is the idle timeout
// that the worker reported, 0 if it reported none.
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

// close closes the pool and its idle connections. Connections in use are closed when they are returned.
func (c *connPool) close() {
	c.lock.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.lock.Unlock()
	for _, conn := range idle {
		conn.discard()
	}
}
