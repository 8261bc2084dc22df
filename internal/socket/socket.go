// Package socket reads and writes TCP connections with less of the Go runtime's work around each system call. It
// owns no state besides that of each Conn.
//
// Package transport wraps the connections between processes with it, the proxy those to callers and workers.
package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Conn is a TCP connection whose reads and writes are raw system calls. The Go runtime treats every other system
// call as one that may block: the first one after an idle period wakes its monitor thread (sysmon), which polls
// several times before it sleeps again. A non-blocking socket needs none of that, and in a process that is mostly
// idle it is a large part of the cost of a call.
//
// As with net.Conn, reads may run beside writes; concurrent reads, or writes, wait for each other.
type Conn struct {
	*net.TCPConn
	raw       syscall.RawConn
	readSide  direction
	writeSide direction
}

// direction is one direction of a connection.
type direction struct {
	lock    sync.Mutex                // held during a call; guards the fields below
	data    []byte                    // of the call: to read into, or left to write
	count   int                       // bytes read or written by the last system call
	err     error                     // of the last system call
	onReady func(handle uintptr) bool // calls attempt; made once, so that a call allocates nothing
}

// Wrap gives a Conn for a TCP connection, and any other connection as it is.
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

// attempt makes a system call for data, again if it was interrupted. It gives false if the call would block, upon
// which syscall.RawConn waits until the socket is ready and calls it again.
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

// Read reads what has arrived, and waits if nothing has.
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

// Write writes all of from, or gives how many bytes it wrote before an error.
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
