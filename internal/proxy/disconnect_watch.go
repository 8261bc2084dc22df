package proxy

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// While a call is under way a goroutine of its own reads the caller's connection, so that a disconnect is detected
// when it happens and not when the response is written. It is the same read that otherwise waits for the next
// request: a watched connection costs no additional system call while nothing happens.
//
// What the read can find:
//   - bytes: they belong to the next request, so the caller is there; the watch ends;
//   - a reset: the caller has disconnected;
//   - the end of the stream: the caller has closed the connection, or only its sending side and still reads. The
//     two look alike until something is sent, so the watch sends an interim response: a closed connection answers
//     it with a reset, an open one ignores it (RFC 9110, section 15.2).

// continueResponse asks for the body of a request that expects it, and probes whether a caller that sends nothing
// more still reads. 100 is the one interim status that every client of HTTP/1.1 passes over.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// watchResult is the result of the watch's read.
type watchResult struct {
	count int
	err   error
}

// startWatch starts to watch the connection. It is not needed if bytes of a next request have arrived already: their
// caller waits for the response to it.
func (c *connection) startWatch() {
	if c.bufferStart < c.bufferEnd {
		return
	}
	c.resetBuffer()
	c.responseStarted = false
	c.watching = true
	go c.watchInput(c.buffer, c.header.http10)
}

// watchInput reads into the connection's empty buffer until something arrives or the connection ends.
func (c *connection) watchInput(buffer []byte, http10 bool) {
	for {
		count, err := c.conn.Read(buffer)
		// The deadline was meant for reading requests; a call may take longer.
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

// extendReadDeadline moves the read deadline while a call is under way; false once its response has started.
func (c *connection) extendReadDeadline() bool {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if c.responseStarted {
		return false
	}
	// A connection that has ended fails at the next read.
	_ = c.conn.SetReadDeadline(time.Now().Add(c.listener.limits().idleTimeout))
	c.deadlineExtended = true
	return true
}

// handleInputEnd finds out what the end of the input means for the call under way. Callers of HTTP/1.0 do not know
// interim responses, and hardly any of them closes only its sending side.
func (c *connection) handleInputEnd(err error, http10 bool) {
	if errors.Is(err, io.EOF) && !http10 {
		c.inputClosed.Store(true)
		if c.callerStillReads() {
			return
		}
	}
	c.cancelDisconnected()
}

// cancelDisconnected cancels the call under way because its caller has disconnected, unless its response has started.
func (c *connection) cancelDisconnected() {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if !c.responseStarted {
		c.callerDisconnected = true
		c.cancelCaller()
		c.listener.disconnects.Detected.Add(1)
	}
}

// callerStillReads reports whether a caller that sends nothing more still reads: it is sent an interim response and
// has not reset the connection by the time its call is answered.
func (c *connection) callerStillReads() bool {
	sent, err := c.sendContinue()
	if err != nil {
		return false
	}
	return !sent || !c.awaitReset()
}

// sendContinue sends the interim response, unless the final one has started.
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

// awaitReset waits until the caller resets the connection; false if the response starts first, or if the connection
// is not a socket.
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

// hasSocketError reports whether a socket's connection has failed.
func hasSocketError(descriptor uintptr) bool {
	socketError, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
	return err == nil && socketError != 0
}

// awaitWatchResult waits for the watch's read to end and takes the buffer back from it.
func (c *connection) awaitWatchResult() (int, error) {
	result := <-c.watchResults
	c.watching = false
	return result.count, result.err
}

// beginResponse ends the watch's right to write and to move the read deadline.
func (c *connection) beginResponse() {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	c.responseStarted = true
	if c.deadlineExtended {
		c.readDeadline, c.deadlineExtended = time.Time{}, false
	}
}
