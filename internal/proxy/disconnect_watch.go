package proxy

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// The disconnect watch is a goroutine that reads the caller's connection while a call is in flight. It detects a
// disconnect when that happens instead of when the response is written. The read is the same one that otherwise waits
// for the next request, so a watched connection costs no additional system call while nothing happens.
//
// The read has one of these results:
//   - Bytes arrive. They belong to the next request, so the caller is connected, and the watch ends.
//   - The connection is reset. The caller has disconnected.
//   - The stream ends. The caller has closed either the connection or only its sending side, and in the second case still
//     reads. The two cannot be distinguished until something is sent, so the watch sends an interim response. A closed
//     connection answers it with a reset; a caller that still reads ignores it (RFC 9110, section 15.2).

// continueResponse is the interim response that requests the body after Expect: 100-continue. It also probes whether a
// caller that closed its sending side still reads. 100 is the only interim status that every HTTP/1.1 client accepts and
// skips.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// watchResult is the result of the read of a disconnect watch.
type watchResult struct {
	count int   // number of bytes read to the start of the connection's buffer
	err   error // read error; nil if bytes were read without one
}

// startWatch starts the disconnect watch, unless bytes of the next request have already arrived. The caller of a
// pipelined request is taken to be waiting for its response.
func (c *connection) startWatch() {
	if c.bufferStart < c.bufferEnd {
		return
	}
	c.resetBuffer()
	c.responseStarted = false
	c.watching = true
	go c.watchInput(c.buffer, c.header.http10)
}

// watchInput reads into the connection's empty buffer until bytes arrive or the connection ends, and sends the result to
// watchResults.
func (c *connection) watchInput(buffer []byte, http10 bool) {
	for {
		count, err := c.conn.Read(buffer)
		// The deadline applies to reading requests; a call may take longer.
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

// extendReadDeadline moves the read deadline while a call is in flight. It returns false once the response has started.
func (c *connection) extendReadDeadline() bool {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if c.responseStarted {
		return false
	}
	// Setting the deadline fails only on a closed connection, which fails at the next read.
	_ = c.conn.SetReadDeadline(time.Now().Add(c.listener.limits().idleTimeout))
	c.deadlineExtended = true
	return true
}

// handleInputEnd determines whether the end of the input is a disconnect, and cancels the call in flight if so. HTTP/1.0
// callers are not probed: they do not know interim responses, and hardly any of them closes only its sending side.
func (c *connection) handleInputEnd(err error, http10 bool) {
	if errors.Is(err, io.EOF) && !http10 {
		c.inputClosed.Store(true)
		if c.callerStillReads() {
			return
		}
	}
	c.cancelDisconnected()
}

// cancelDisconnected cancels the call in flight because its caller has disconnected, unless the response has started.
func (c *connection) cancelDisconnected() {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if !c.responseStarted {
		c.callerDisconnected = true
		c.cancelCaller()
		c.listener.disconnects.Detected.Add(1)
	}
}

// callerStillReads reports whether a caller that closed its sending side still reads. It sends an interim response and
// waits until the caller resets the connection or the final response starts.
func (c *connection) callerStillReads() bool {
	sent, err := c.sendContinue()
	if err != nil {
		return false
	}
	return !sent || !c.awaitReset()
}

// sendContinue sends the interim response, unless the final response has started. It reports whether it was sent.
func (c *connection) sendContinue() (sent bool, err error) {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	if c.responseStarted {
		return false, nil
	}
	c.setWriteTimeout(time.Now(), false)
	_, err = io.WriteString(c.conn, continueResponse)
	return true, err
}

// awaitReset waits until the caller resets the connection and reports whether it did. It returns false if the response
// starts first or the connection is not a socket.
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

// hasSocketError reports whether the socket has a pending error, such as a reset.
func hasSocketError(descriptor uintptr) bool {
	socketError, err := unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
	return err == nil && socketError != 0
}

// awaitWatchResult waits for the read of the disconnect watch, takes back the buffer and returns the result of the read.
func (c *connection) awaitWatchResult() (int, error) {
	result := <-c.watchResults
	c.watching = false
	return result.count, result.err
}

// beginResponse passes the right to write from the disconnect watch to serve. After that the watch neither moves
// the read deadline nor cancels the call.
func (c *connection) beginResponse() {
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	c.responseStarted = true
	if c.deadlineExtended {
		c.readDeadline, c.deadlineExtended = time.Time{}, false
	}
}
