package dispatch

import (
	"bufio"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/socket"
)

// maxInlineBodyBytes is the size of the largest request body that is sent before the response is read. The kernel's
// buffers take such a request at once, so that sending it does not wait for the worker.
const maxInlineBodyBytes = 1 << 16

// requestSending is the sending of a request to a worker. The response is read meanwhile, because a worker may answer
// before it has read the request, and need not read the rest. Only the goroutine of the request uses it.
type requestSending struct {
	conn *workerConn
	done chan struct{} // closed once sending has ended; nil if it ended before startSending returned
	err  error         // error of sending; nil if all was sent. Valid once done is closed
}

// startSending starts to send a request. One of the methods wait and stop must be called before the request is released
// or the connection is used otherwise.
func (c *workerConn) startSending(request *fasthttp.Request) *requestSending {
	c.bytesSent.Store(0)
	sending := &requestSending{conn: c}
	if len(request.Body()) <= maxInlineBodyBytes {
		sending.err = c.send(request)
		return sending
	}
	sending.done = make(chan struct{})
	go func() {
		defer close(sending.done)
		sending.err = c.send(request)
		// Nothing can answer a request of which nothing was sent, so that the response is not waited for.
		if sending.err != nil && c.bytesSent.Load() == 0 {
			c.interrupt()
		}
	}()
	return sending
}

// send writes a request to the connection.
func (c *workerConn) send(request *fasthttp.Request) error {
	writer := writerPool.Get().(*bufio.Writer)
	writer.Reset(c)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	writer.Reset(nil)
	writerPool.Put(writer)
	return err
}

// wait waits until all of the request is sent. It stops sending once the worker has taken nothing for stallTimeout. It
// returns the error of sending, which is nil if all was sent.
func (s *requestSending) wait(stallTimeout time.Duration) error {
	if s.done == nil {
		return s.err
	}
	ticker := time.NewTicker(max(1, stallTimeout))
	defer ticker.Stop()
	for before := s.progress(); ; {
		select {
		case <-s.done:
			return s.err
		case <-ticker.C:
		}
		now := s.progress()
		if now == before {
			return s.stop()
		}
		before = now
	}
}

// sendingProgress changes whenever a worker takes something of a request.
type sendingProgress struct {
	written        int64 // bytes of the request that the kernel has accepted, by whole writes
	unacknowledged int64 // bytes that the kernel still holds
}

// progress returns the present progress.
func (s *requestSending) progress() sendingProgress {
	return sendingProgress{written: s.conn.bytesSent.Load(), unacknowledged: socket.UnacknowledgedBytes(s.conn.Conn)}
}

// stop stops sending and returns its error, which is nil if all was sent. What was not sent is never sent, so the
// connection can carry no other request.
func (s *requestSending) stop() error {
	if s.done != nil {
		_ = s.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which sending ends too
		<-s.done
	}
	return s.err
}

// foundReset stops sending and reports whether it has found that the connection was reset or broken before the worker
// closed its side. The kernel reports that only once: if sending has got the report, a read finds the end of the
// connection instead of an error. EPIPE reports a reset that came after the worker had closed its side.
func (s *requestSending) foundReset() bool {
	err := s.stop()
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
