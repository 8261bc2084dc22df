// Package socket reads and writes TCP connections with less of the runtime's work around each
// system call.
package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Conn is a TCP connection whose reads and writes are plain system calls. The runtime takes any
// system call for one that may take long: it wakes its watching thread for the first one after a
// rest, which sleeps and looks about several times before it rests again. A socket that never
// blocks needs none of that, and in a process that mostly rests this is much of what a call costs.
type Conn struct {
	*net.TCPConn
	raw       syscall.RawConn
	readSide  direction
	writeSide direction
}

// direction is one direction of a connection.
type direction struct {
	lock    sync.Mutex
	data    []byte
	count   int
	err     error
	onReady func(handle uintptr) bool // made once, so that a call allocates nothing
}

// Wrap gives a connection the plain calls, if it is one that can have them.
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

// attempt makes one call for what is left; false waits until the socket is ready for more.
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

// Read takes what is there, or waits for something.
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

// Write sends everything, or tells how much of it went before what error.
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
