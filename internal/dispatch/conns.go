package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/socket"
)

// conns are the connections to one worker, each for one request at a time. The library's own
// client is not used: it sends again what it takes for unsent, gives up a connection without a
// word, and takes any answer that comes for the one that was asked for.
type conns struct {
	address string
	dial    func(address string) (net.Conn, error)
	now     func() time.Duration

	lock sync.Mutex
	idle []*conn // the one idle the longest first
	shut bool
	// idleMost is after how long the worker closes a connection that nothing comes on: by its own
	// word, or as it was found out; 0 for not known.
	idleMost time.Duration
}

// Ratios to how long a worker keeps an idle connection.
const (
	idleParts  = 8 // one this part of the time from its end is not used any more
	learnParts = 4 // what was found closed was closed this part earlier
)

// Bounds on what a worker sends beside the answer.
const (
	interimMost = 16 // interim answers before the final one
	straysMost  = 4  // whole answers to other requests
	piecesMost  = 1 << 16
	headMost    = 16 << 10
)

// Buffers are borrowed for the time of an exchange, so that idle connections hold none.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headMost) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}
)

// conn is one connection to a worker.
type conn struct {
	net.Conn
	sent   int // bytes of the request that left this process
	idleAt time.Duration
	raw    syscall.RawConn // nil for what is no socket
	look   func(handle uintptr) bool
	quiet  bool
}

// Write counts what left.
func (c *conn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent += count
	return count, err
}

func newConn(raw net.Conn) *conn {
	made := &conn{Conn: socket.Of(raw)}
	if plain, is := raw.(syscall.Conn); is {
		if inner, err := plain.SyscallConn(); err == nil {
			made.raw = inner
			var one [1]byte
			made.look = func(handle uintptr) bool {
				_, err := socket.Read(handle, one[:])
				made.quiet = errors.Is(err, syscall.EAGAIN)
				return true
			}
		}
	}
	return made
}

// alive tells whether nothing came on an idle connection: neither its end, nor bytes, which
// could only belong to a request that is over.
func (c *conn) alive() bool {
	if c.raw == nil {
		return true
	}
	return c.raw.Read(c.look) == nil && c.quiet
}

// exchange is one request to a worker and what became of it.
type exchange struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	until    time.Time
	most     int // bytes of a body
	bodiless func(status int) bool
	read     func(header *fasthttp.ResponseHeader) Said

	room *semaphore.Weighted // for large bodies

	ctx    context.Context // ends when the run is to end
	sentAt time.Duration   // when the first byte of the request was sent, 0 for not at all
	said   Said
	body   []byte
	taken  int64 // of the room
}

// hand sends a request and reads its answer. An error of the kind WORKER_UNOPENED proves that
// the worker saw nothing of it; any other leaves that open. When ctx ends the connection is closed, which
// is how a worker is told that nobody waits, and the error is of the kind CALLER_GONE. Once something was sent,
// the context of the exchange counts in its place.
func (c *conns) hand(ctx context.Context, x *exchange) error {
	for {
		if ctx.Err() != nil {
			return defect.New(defect.CallerGone, c.address)
		}
		one, fresh := c.take(x.until), false
		if one == nil {
			raw, err := c.dial(c.address)
			if err != nil {
				return defect.Wrap(err, defect.WorkerUnopened, c.address)
			}
			one, fresh = newConn(raw), true
			_ = one.SetDeadline(x.until)
		}
		// The worker may have been long in taking the connection.
		if ctx.Err() != nil {
			one.Close()
			return defect.New(defect.CallerGone, c.address)
		}
		began := c.now()
		stop := context.AfterFunc(x.ctx, one.interrupt)
		clean, err := one.exchange(x)
		if one.sent > 0 {
			x.sentAt = max(1, began)
		}
		// An interrupt that has begun may strike at any time from now on.
		if !stop() {
			clean = false
			if err != nil && one.sent > 0 {
				err = defect.New(defect.CallerGone, c.address)
			}
		}
		if clean {
			c.give(one, x.said.IdleMost)
		} else {
			one.Close()
		}
		switch {
		case err == nil || one.sent > 0:
			return err
		// Nothing left this process, so another connection may be tried; a fresh one will do.
		case fresh && ctx.Err() == nil:
			return defect.New(defect.WorkerUnopened, c.address)
		}
	}
}

// interrupt ends every read and write on a connection at once.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// take gives the connection that was idle the longest: so all that are in use by turns stay
// open, and those that are not needed run out.
func (c *conns) take(until time.Time) *conn {
	for {
		c.lock.Lock()
		if len(c.idle) == 0 {
			c.lock.Unlock()
			return nil
		}
		one, bound := c.idle[0], c.idleMost
		c.idle = append(c.idle[:0], c.idle[1:]...)
		c.lock.Unlock()
		_ = one.SetDeadline(until)
		idle := c.now() - one.idleAt
		switch {
		case bound > 0 && idle > bound-bound/idleParts:
		case one.alive():
			return one
		default:
			// Whoever closes without a word when is found out by it.
			c.lock.Lock()
			if c.idleMost == 0 || idle < c.idleMost {
				c.idleMost = idle - idle/learnParts
			}
			c.lock.Unlock()
		}
		one.Close()
	}
}

// give keeps a connection for the next request.
func (c *conns) give(one *conn, told time.Duration) {
	one.idleAt = c.now()
	c.lock.Lock()
	shut := c.shut
	if told > 0 {
		c.idleMost = told
	}
	if !shut {
		c.idle = append(c.idle, one)
	}
	c.lock.Unlock()
	if shut {
		one.Close()
	}
}

// close ends what is idle now, and what is in use as soon as it is not.
func (c *conns) close() {
	c.lock.Lock()
	idle := c.idle
	c.idle, c.shut = nil, true
	c.lock.Unlock()
	for _, one := range idle {
		one.Close()
	}
}

// exchange sends a request and reads up to its answer; clean tells that the connection is as
// good as new.
func (c *conn) exchange(x *exchange) (clean bool, err error) {
	c.sent = 0
	writer := writers.Get().(*bufio.Writer)
	writer.Reset(c)
	unsent := x.request.Write(writer)
	if unsent == nil {
		unsent = writer.Flush()
	}
	writer.Reset(nil)
	writers.Put(writer)
	if unsent != nil && c.sent == 0 {
		return false, defect.Wrap(unsent, kindOf(unsent), "sending")
	}
	// A worker that does not take a request to its end may have answered it all the same.
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(c.Conn)
	defer func() {
		reader.Reset(nil)
		readers.Put(reader)
	}()
	for strays := 0; ; strays++ {
		if err := x.head(reader); err != nil {
			return false, err
		}
		x.said = x.read(&x.response.Header)
		err := x.fill(reader)
		// An answer to another request, which came late, is passed over as a whole.
		if x.said.Stray && err == nil && strays < straysMost {
			continue
		}
		if x.said.Stray {
			return false, defect.New(defect.BadAnswer, "answers another request")
		}
		// That it did not run holds, however little comes after that word.
		if err != nil && !x.said.NotRun && !x.said.Elsewhere {
			return false, err
		}
		// Bytes after a whole answer belong to no request, so the connection goes with them.
		return err == nil && unsent == nil && strays == 0 && !x.said.Closing && reader.Buffered() == 0, nil
	}
}

// head reads the head of a final answer.
func (x *exchange) head(reader *bufio.Reader) error {
	for range interimMost {
		if err := x.response.Header.Read(reader); err != nil {
			return defect.Wrap(err, kindOf(err), "head of an answer")
		}
		status := x.response.StatusCode()
		switch {
		case status >= 200 && status <= 599:
			return nil
		case status < 100 || status > 199 || status == fasthttp.StatusSwitchingProtocols:
			return defect.New(defect.BadAnswer, "no final status")
		}
	}
	return defect.New(defect.BadAnswer, "no final answer")
}

// fill reads the body that belongs to a head.
func (x *exchange) fill(reader *bufio.Reader) error {
	x.body = nil
	header := &x.response.Header
	const (
		inChunks = -1
		toTheEnd = -2 // of its connection
	)
	length := header.ContentLength()
	switch {
	case x.bodiless(header.StatusCode()):
		return nil
	case length == inChunks:
		return x.chunks(reader, header)
	case length == toTheEnd && x.said.Unframed:
		return x.rest(reader)
	case length < 0 || length > x.most:
		return defect.New(defect.BadAnswer, "no length, or too much")
	}
	return x.more(reader, length, length)
}

// rest reads a body that ends when its connection does. It is whole if the worker closed the
// connection, and cut short if the connection was reset or time ran out.
func (x *exchange) rest(reader *bufio.Reader) error {
	for {
		_, err := reader.Peek(1)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return defect.Wrap(err, kindOf(err), "body to the end of the connection")
		case len(x.body)+reader.Buffered() > x.most:
			return defect.New(defect.BadAnswer, "too much before the end of the connection")
		}
		if err := x.more(reader, reader.Buffered(), x.most); err != nil {
			return err
		}
	}
}

// chunks reads a body that comes in chunks, up to the end of its tail.
func (x *exchange) chunks(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return defect.Wrap(err, kindOf(err), "size of a chunk")
		}
		// Extensions of a chunk mean nothing to us.
		digits, _, _ := bytes.Cut(bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'}), []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 31)
		switch {
		case err != nil || len(x.body)+int(size) > x.most:
			return defect.New(defect.BadAnswer, "size of a chunk")
		case size == 0:
			err = header.ReadTrailer(reader)
			return defect.Wrap(err, kindOf(err), "end of chunks")
		}
		if err := x.more(reader, int(size), x.most); err != nil {
			return err
		}
		if end, err := reader.Peek(2); err != nil || end[0] != '\r' || end[1] != '\n' {
			return defect.Wrap(errors.Join(err, io.ErrUnexpectedEOF), defect.BadAnswer, "end of a chunk")
		}
		_, _ = reader.Discard(2)
	}
}

// more reads so much more of a body that may come to all in all. Large ones take memory only as
// they come in, for that they are said to be large proves nothing; and only as far as there is
// room for what all workers here answer at once, or they wait where they are.
func (x *exchange) more(reader *bufio.Reader, length, all int) error {
	for whole := len(x.body) + length; len(x.body) < whole; {
		if len(x.body) == cap(x.body) {
			if cap(x.body) >= piecesMost && x.taken == 0 {
				waiting, cancel := context.WithDeadline(x.ctx, x.until)
				err := x.room.Acquire(waiting, int64(all))
				cancel()
				if err != nil {
					return defect.Wrap(err, defect.HorizonPast, "room for a body")
				}
				x.taken = int64(all)
			}
			x.body = append(make([]byte, 0, min(whole, max(2*cap(x.body), piecesMost))), x.body...)
		}
		from, to := len(x.body), min(whole, cap(x.body))
		x.body = x.body[:to]
		if _, err := io.ReadFull(reader, x.body[from:to]); err != nil {
			return defect.Wrap(err, kindOf(err), "body")
		}
	}
	return nil
}

// leave gives back the room that a body took.
func (x *exchange) leave() {
	if x.taken > 0 {
		x.room.Release(x.taken)
		x.taken = 0
	}
}

// kindOf tells of what is left open whether time ran out, the connection ended, or what came
// was no answer.
func kindOf(err error) defect.Kind {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout):
		return defect.HorizonPast
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return defect.WorkerLost
	}
	return defect.BadAnswer
}
