// Package socket wraps TCP connections so that their reads and writes bypass the Go runtime's bookkeeping for blocking
// system calls.
//
// Package transport wraps the connections between mesh processes, and the proxy those to its callers and workers. All
// state is in each Conn, which is safe for concurrent use.
package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Conn is a TCP connection whose reads and writes are raw system calls. The Go runtime treats any other system call as
// one that may block. The first such call after an idle period wakes the monitor thread (sysmon), which polls several
// times before it sleeps again. A non-blocking socket needs no monitoring, and in a mostly idle process the monitoring
// is a large part of the cost of a request.
//
// As with net.Conn, reads and writes may run concurrently. Concurrent reads wait for each other, and so do writes.
type Conn struct {
	*net.TCPConn
	raw       syscall.RawConn // gives access to the socket of TCPConn
	readSide  direction       // state of Read
	writeSide direction       // state of Write
}

// direction is the state of one direction of a connection: its reads or its writes.
type direction struct {
	lock    sync.Mutex                // held during Conn.Read or Conn.Write; guards data, count and err
	data    []byte                    // buffer to read into, or the bytes left to write; nil between calls
	count   int                       // number of bytes that the last system call read or wrote
	err     error                     // error of the last system call
	onReady func(handle uintptr) bool // calls attempt; set once by Wrap, so that reads and writes allocate nothing
}

// Wrap returns a Conn for a TCP connection. It returns a connection that is not TCP, or whose socket it cannot access,
// unchanged.
func Wrap(conn net.Conn) net.Conn {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	wrapped := &Conn{TCPConn: tcp, raw: raw}
	wrapped.readSide.onReady = func(handle uintptr) bool { return wrapped.readSide.attempt(handle, Read) }
	wrapped.writeSide.onReady = func(handle uintptr) bool { return wrapped.writeSide.attempt(handle, Write) }
	return wrapped
}

// attempt makes the system call on d.data, and repeats it while it is interrupted. It returns false if the call would
// block. syscall.RawConn then waits until the socket is ready and calls attempt again.
func (d *direction) attempt(handle uintptr, call func(handle uintptr, data []byte) (int, error)) bool {
	for {
		count, err := call(handle, d.data)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return false
		}
		d.count, d.err = count, err
		return true
	}
}

// Read reads the bytes that have arrived, at most len(into), and waits if there are none. Like any io.Reader it
// returns io.EOF at the end of the stream.
func (c *Conn) Read(into []byte) (int, error) {
	if len(into) == 0 {
		return 0, nil
	}
	side := &c.readSide
	side.lock.Lock()
	defer side.lock.Unlock()
	side.data, side.count, side.err = into, 0, nil
	err := c.raw.Read(side.onReady)
	side.data = nil
	switch {
	case err != nil:
		return 0, err
	case side.err != nil:
		return 0, c.opError("read", side.err)
	case side.count == 0:
		return 0, io.EOF
	}
	return side.count, nil
}

// Write writes all of from. If it fails, it returns the number of bytes written before the error.
func (c *Conn) Write(from []byte) (int, error) {
	side := &c.writeSide
	side.lock.Lock()
	defer side.lock.Unlock()
	defer func() { side.data = nil }()
	for sent := 0; ; {
		side.data, side.count, side.err = from[sent:], 0, nil
		err := c.raw.Write(side.onReady)
		switch {
		case err != nil:
			return sent, err
		case side.err != nil:
			return sent, c.opError("write", side.err)
		}
		if sent += side.count; sent >= len(from) {
			return sent, nil
		}
	}
}

func (c *Conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, err)}
}
