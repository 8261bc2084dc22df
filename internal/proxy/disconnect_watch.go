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

// continueResponse is sent to find out whether a caller that sends nothing more still reads. 100 is the one
// interim status that every client of HTTP/1.1 passes over.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// watchResult is what the read of a watch came to.
type watchResult struct {
	count int
	err   error
}

// startWatch begins to watch the connection. Where bytes of a next request have come already there is
// no need: its caller waits for that one.
func (c *connection) startWatch() {
	if c.bufferStart < c.bufferEnd {
		return
	}
	c.resetBuffer()
	c.responseStarted = false
	c.watching = true
	go c.watchInput(c.buffer, c.header.http10)
}

// watchInput reads into the connection's empty buffer until something comes, or the connection ends.
func (c *connection) watchInput(buffer []byte, http10 bool) {
	for {
		count, err := c.conn.Read(buffer)
		// The deadline was for requests; a call may take longer.
		if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendReadDeadline() {
			continue
		}
		if count == 0 && err != nil {
			c.handleInputEnd(err, http10)
		}
		c.watchResults <- watchResult{count, err}
		return
	}
}

// extendReadDeadline moves the deadline for reading while a call is under way; false once it is answered.
func (c *connection) extendReadDeadline() bool {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if c.responseStarted {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(c.listener.limits().idleTimeout))
	c.deadlineExtended = true
	return true
}

// handleInputEnd finds out what the end of a connection means for the call under way. Callers of HTTP/1.0 know
// no interim answers, and hardly one of them closes one side only.
func (c *connection) handleInputEnd(err error, http10 bool) {
	if errors.Is(err, io.EOF) && !http10 {
		c.inputClosed.Store(true)
		if c.callerStillReads() {
			return
		}
	}
	c.markDisconnected()
}

// markDisconnected ends the call under way, for its caller is gone; unless it has been answered.
func (c *connection) markDisconnected() {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if !c.responseStarted {
		c.callerDisconnected = true
		c.cancelCaller()
		c.listener.disconnects.Detected.Add(1)
	}
}

// callerStillReads tells whether a caller that sends nothing more still reads: it is sent an interim answer, and
// did not reset the connection on it by the time that its call is answered.
func (c *connection) callerStillReads() bool {
	sent, err := c.sendContinue()
	if err != nil {
		return false
	}
	return !sent || !c.awaitReset()
}

// sendContinue sends the interim answer, unless the final one is on its way.
func (c *connection) sendContinue() (sent bool, err error) {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if c.responseStarted {
		return false, nil
	}
	c.setWriteTimeout()
	_, err = io.WriteString(c.conn, continueResponse)
	return true, err
}

// awaitReset waits until the other side resets the connection; false if this side ends it before.
func (c *connection) awaitReset() bool {
	syscallConn, supported := c.conn.(syscall.Conn)
	if !supported {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	for {
		err := raw.Read(func(descriptor uintptr) bool {
			reset = hasSocketError(descriptor)
			return reset
		})
		if reset || err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendReadDeadline() {
			return reset
		}
	}
}

// hasSocketError tells whether a socket's connection has failed.
func hasSocketError(descriptor uintptr) bool {
	socketError, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
	return err == nil && socketError != 0
}

// awaitWatchResult gives what the watch came to.
func (c *connection) awaitWatchResult() (int, error) {
	result := <-c.watchResults
	c.watching = false
	return result.count, result.err
}

// beginResponse ends the watch's right to write and to move the deadline.
func (c *connection) beginResponse() {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	c.responseStarted = true
	if c.deadlineExtended {
		c.readDeadline, c.deadlineExtended = time.Time{}, false
	}
}
