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

// connPool are the connections to one worker, each for one request at a time. The library's own
// client is not used: it sends again what it takes for unsent, gives up a connection without a
// word, and takes any answer that comes for the one that was asked for.
type connPool struct {
	address string
	dial    func(address string) (net.Conn, error)
	now     func() time.Duration

	lock   sync.Mutex
	idle   []*workerConn // the one idle the longest first
	closed bool
	// idleTimeout is after how long the worker closes a connection that nothing comes on: by its own
	// word, or as it was found out; 0 for not known.
	idleTimeout time.Duration
}

// Ratios to how long a worker keeps an idle connection.
const (
	idleMarginDivisor = 8 // one this part of the time from its end is not used any more
	idleLearnDivisor  = 4 // what was found closed was closed this part earlier
)

// workerConn is one connection to a worker.
type workerConn struct {
	net.Conn
	bytesSent int // bytes of the request that left this process
	idleSince time.Duration
	rawConn   syscall.RawConn // nil for what is no socket
	peek      func(handle uintptr) bool
	noData    bool
}

// Write counts what left.
func (c *workerConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.bytesSent += count
	return count, err
}

func newWorkerConn(raw net.Conn) *workerConn {
	conn := &workerConn{Conn: socket.Wrap(raw)}
	if syscallConn, ok := raw.(syscall.Conn); ok {
		if rawConn, err := syscallConn.SyscallConn(); err == nil {
			conn.rawConn = rawConn
			var buffer [1]byte
			conn.peek = func(handle uintptr) bool {
				_, err := socket.Read(handle, buffer[:])
				conn.noData = errors.Is(err, syscall.EAGAIN)
				return true
			}
		}
	}
	return conn
}

// alive tells whether nothing came on an idle connection: neither its end, nor bytes, which
// could only belong to a request that is over.
func (c *workerConn) alive() bool {
	if c.rawConn == nil {
		return true
	}
	return c.rawConn.Read(c.peek) == nil && c.noData
}

// roundTrip sends a request and reads its answer. An error of the kind WORKER_UNOPENED proves that
// the worker saw nothing of it; any other leaves that open. When ctx ends the connection is closed, which
// is how a worker is told that nobody waits, and the error is of the kind CALLER_GONE. Once something was sent,
// the context of the exchange counts in its place.
func (c *connPool) roundTrip(ctx context.Context, x *exchange) error {
	for {
		if ctx.Err() != nil {
			return errs.New(errs.CallerDisconnected, c.address)
		}
		conn, fresh := c.takeIdle(x.deadline), false
		if conn == nil {
			raw, err := c.dial(c.address)
			if err != nil {
				return errs.Wrap(err, errs.WorkerConnectFailed, c.address)
			}
			conn, fresh = newWorkerConn(raw), true
			_ = conn.SetDeadline(x.deadline)
		}
		// The worker may have been long in taking the connection.
		if ctx.Err() != nil {
			conn.Close()
			return errs.New(errs.CallerDisconnected, c.address)
		}
		startedAt := c.now()
		stop := context.AfterFunc(x.ctx, conn.interrupt)
		reusable, err := conn.exchange(x)
		if conn.bytesSent > 0 {
			x.sentAt = max(1, startedAt)
		}
		// An interrupt that has begun may strike at any time from now on.
		if !stop() {
			reusable = false
			if err != nil && conn.bytesSent > 0 {
				err = errs.New(errs.CallerDisconnected, c.address)
			}
		}
		if reusable {
			c.putIdle(conn, x.info.IdleTimeout)
		} else {
			conn.Close()
		}
		switch {
		case err == nil || conn.bytesSent > 0:
			return err
		// Nothing left this process, so another connection may be tried; a fresh one will do.
		case fresh && ctx.Err() == nil:
			return errs.New(errs.WorkerConnectFailed, c.address)
		}
	}
}

// interrupt ends every read and write on a connection at once.
func (c *workerConn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// takeIdle gives the connection that was idle the longest: so all that are in use by turns stay
// open, and those that are not needed run out.
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
		_ = conn.SetDeadline(deadline)
		idleFor := c.now() - conn.idleSince
		switch {
		case idleTimeout > 0 && idleFor > idleTimeout-idleTimeout/idleMarginDivisor:
		case conn.alive():
			return conn
		default:
			// Whoever closes without a word when is found out by it.
			c.lock.Lock()
			if c.idleTimeout == 0 || idleFor < c.idleTimeout {
				c.idleTimeout = idleFor - idleFor/idleLearnDivisor
			}
			c.lock.Unlock()
		}
		conn.Close()
	}
}

// putIdle keeps a connection for the next request.
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
		conn.Close()
	}
}

// close ends what is idle now, and what is in use as soon as it is not.
func (c *connPool) close() {
	c.lock.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.lock.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}
