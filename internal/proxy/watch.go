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
func (t *talk) startWatch() {
	if t.at < t.have {
		return
	}
	t.resetBuffer()
	t.answering = false
	t.watching = true
	go t.watch(t.buffer, t.head.old)
}

// watch reads into the connection's empty buffer until something comes, or the connection ends.
func (t *talk) watch(into []byte, old bool) {
	for {
		count, err := t.conn.Read(into)
		// The deadline was for requests; a call may take longer.
		if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && t.extend() {
			continue
		}
		if count == 0 && err != nil {
			t.ended(err, old)
		}
		t.watchEnded <- watched{count, err}
		return
	}
}

// extend moves the deadline for reading while a call is under way; false once it is answered.
func (t *talk) extend() bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	if t.answering {
		return false
	}
	_ = t.conn.SetReadDeadline(time.Now().Add(t.front.bounds().quiet))
	t.extended = true
	return true
}

// ended finds out what the end of a connection means for the call under way. Callers of HTTP/1.0 know
// no interim answers, and hardly one of them closes one side only.
func (t *talk) ended(err error, old bool) {
	if errors.Is(err, io.EOF) && !old {
		t.inputEnded.Store(true)
		if t.reads() {
			return
		}
	}
	t.left()
}

// left ends the call under way, for its caller is gone; unless it has been answered.
func (t *talk) left() {
	t.writing.Lock()
	defer t.writing.Unlock()
	if !t.answering {
		t.gone = true
		t.end()
		t.front.departures.Noticed.Add(1)
	}
}

// reads tells whether a caller that sends nothing more still reads: it is sent an interim answer, and
// did not reset the connection on it by the time that its call is answered.
func (t *talk) reads() bool {
	sent, err := t.sendInterim()
	if err != nil {
		return false
	}
	return !sent || !t.awaitReset()
}

// sendInterim sends the interim answer, unless the final one is on its way.
func (t *talk) sendInterim() (sent bool, err error) {
	t.writing.Lock()
	defer t.writing.Unlock()
	if t.answering {
		return false, nil
	}
	t.boundWrite()
	_, err = io.WriteString(t.conn, interim)
	return true, err
}

// awaitReset waits until the other side resets the connection; false if this side ends it before.
func (t *talk) awaitReset() bool {
	plain, is := t.conn.(syscall.Conn)
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
		if reset || err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !t.extend() {
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
func (t *talk) takeWatched() (int, error) {
	result := <-t.watchEnded
	t.watching = false
	return result.count, result.err
}

// beginAnswer ends the watch's right to write and to move the deadline.
func (t *talk) beginAnswer() {
	t.writing.Lock()
	defer t.writing.Unlock()
	t.answering = true
	if t.extended {
		t.readBy, t.extended = time.Time{}, false
	}
}
