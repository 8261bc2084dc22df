package proxy

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// While a call is carried out, its connection is read on by a goroutine of its own, so that the end
// of the connection is found when it comes and not with the answer. That read is the same one that
// would wait for the next request: at rest a watched connection costs no system call more.
//
// What a read can find:
//   - bytes: the next request, so the caller is there; the watch ends;
//   - a reset: the caller has left;
//   - the end of the stream: the caller has closed the connection, or only its sending side and
//     still reads. The two look alike until something is sent, so an interim answer is: a closed
//     connection resets on it, an open one ignores it (RFC 9110, section 15.2).

// interim is sent to find out whether a caller that sends nothing more still reads. 100 is the one
// interim status that every client of HTTP/1.1 passes over.
const interim = "HTTP/1.1 100 Continue\r\n\r\n"

// watched is what the read of a watch came to.
type watched struct {
	count int
	err   error
}

// startWatch begins to watch the connection. Where bytes of a next request have come already there is
// no need: its caller waits for that one.
func (c *connection) startWatch() {
	if c.at < c.have {
		return
	}
	c.resetBuffer()
	c.answering = false
	c.watching = true
	go c.watch(c.buffer, c.head.old)
}

// watch reads into the connection's empty buffer until something comes, or the connection ends.
func (c *connection) watch(into []byte, old bool) {
	for {
		count, err := c.conn.Read(into)
		// The deadline was for requests; a call may take longer.
		if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
			continue
		}
		if count == 0 && err != nil {
			c.ended(err, old)
		}
		c.watchEnded <- watched{count, err}
		return
	}
}

// extend moves the deadline for reading while a call is under way; false once it is answered.
func (c *connection) extend() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.answering {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(c.front.bounds().quiet))
	c.extended = true
	return true
}

// ended finds out what the end of a connection means for the call under way. Callers of HTTP/1.0 know
// no interim answers, and hardly one of them closes one side only.
func (c *connection) ended(err error, old bool) {
	if errors.Is(err, io.EOF) && !old {
		c.inputEnded.Store(true)
		if c.reads() {
			return
		}
	}
	c.left()
}

// left ends the call under way, for its caller is gone; unless it has been answered.
func (c *connection) left() {
	c.writing.Lock()
	defer c.writing.Unlock()
	if !c.answering {
		c.gone = true
		c.end()
		c.front.departures.Noticed.Add(1)
	}
}

// reads tells whether a caller that sends nothing more still reads: it is sent an interim answer, and
// did not reset the connection on it by the time that its call is answered.
func (c *connection) reads() bool {
	sent, err := c.sendInterim()
	if err != nil {
		return false
	}
	return !sent || !c.awaitReset()
}

// sendInterim sends the interim answer, unless the final one is on its way.
func (c *connection) sendInterim() (sent bool, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.answering {
		return false, nil
	}
	c.boundWrite()
	_, err = io.WriteString(c.conn, interim)
	return true, err
}

// awaitReset waits until the other side resets the connection; false if this side ends it before.
func (c *connection) awaitReset() bool {
	plain, is := c.conn.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := plain.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	for {
		err := raw.Read(func(handle uintptr) bool {
			reset = failed(handle)
			return reset
		})
		if reset || err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return reset
		}
	}
}

// failed tells whether a socket's connection has failed.
func failed(handle uintptr) bool {
	fault, err := unix.GetsockoptInt(int(handle), unix.SOL_SOCKET, unix.SO_ERROR)
	return err == nil && fault != 0
}

// takeWatched gives what the watch came to.
func (c *connection) takeWatched() (int, error) {
	result := <-c.watchEnded
	c.watching = false
	return result.count, result.err
}

// beginAnswer ends the watch's right to write and to move the deadline.
func (c *connection) beginAnswer() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.answering = true
	if c.extended {
		c.readBy, c.extended = time.Time{}, false
	}
}
