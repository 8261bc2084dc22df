package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"meadowhinge/internal/defect"
)

// connection is one connection of a caller. Its requests are answered one after the other, in the
// order in which they came.
type connection struct {
	front     *front
	conn      net.Conn
	buffer    []byte // what has come and is not yet used is in [at:have]
	at        int
	have      int
	readBy    time.Time // the deadlines set on the connection
	writeBy   time.Time
	idleSince atomic.Int64 // since when nothing is owed on it, 0 while a request is
	head      Head
	// life ends when the caller has left.
	life context.Context
	end  context.CancelFunc
	// While a call is under way the buffer is its watch's, which tells here what came.
	watching   bool
	watchEnded chan watched
	inputEnded atomic.Bool // the caller sends nothing more on this connection
	// writing guards who may write: the watch until the answer is on its way, then nobody else.
	writing   sync.Mutex
	answering bool
	gone      bool  // the caller left while its call was under way
	extended  bool  // the watch moved the deadline for reading
	held      int64 // bytes of a large body that are counted
	reply     Reply
	out       []byte
}

// run serves the requests of a connection until it ends.
func (c *connection) run() {
	defer c.front.leave(c)
	defer c.conn.Close()
	c.life, c.end = context.WithCancel(context.Background())
	defer c.end()
	c.buffer, c.watchEnded = make([]byte, firstRead), make(chan watched, 1)
	for c.exchange() {
	}
}

// exchange takes one request and answers it; false ends the connection.
func (c *connection) exchange() bool {
	limits := c.front.bounds()
	c.reply.reset()
	came, err := c.readHead(limits)
	if err == errIdle {
		return false
	}
	var body []byte
	if err == nil {
		body, err = c.readBody(limits)
	}
	defer c.giveBack()
	if err != nil {
		// Whoever closed the connection on its own request waits for no answer.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
			return false
		}
		c.front.refuse(&c.head, err, &c.reply)
		if c.write(true) == nil {
			c.linger(limits)
		}
		return false
	}
	c.startWatch()
	c.front.serve(c.life, &c.head, body, came, &c.reply)
	c.beginAnswer()
	if c.inputEnded.Load() && !c.gone {
		c.front.departures.HalfClosed.Add(1)
	}
	closes := c.head.closes || c.front.leaving.Load() || c.inputEnded.Load()
	return c.write(closes) == nil && !closes
}

// errIdle is the end of a connection between requests.
var errIdle = errors.New("idle connection")

// wait moves the deadline for reading; one that is still good is left as it is.
func (c *connection) wait(now time.Time, span time.Duration) {
	if left := c.readBy.Sub(now); left <= span && left >= span-span/stillGood {
		return
	}
	c.readBy = now.Add(span)
	_ = c.conn.SetReadDeadline(c.readBy)
}

// fill reads what is there into the buffer, which has room for at least one byte.
func (c *connection) fill() error {
	var count int
	var err error
	if c.watching {
		count, err = c.takeWatched()
	}
	// A deadline that the watch met may have been moved since.
	if count == 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		count, err = c.conn.Read(c.buffer[c.have:])
	}
	c.have += count
	if count > 0 {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return defect.Wrap(err, defect.TooSlow, "request")
	}
	return err
}

// resetBuffer makes room for what comes next, where nothing that came is left. A buffer that one large
// head needed is not kept for the small ones after it.
func (c *connection) resetBuffer() {
	c.at, c.have = 0, 0
	if len(c.buffer) > firstRead {
		c.buffer = make([]byte, firstRead)
	}
}

// readHead reads a request's head, and tells when its first byte was seen.
func (c *connection) readHead(limits bounds) (time.Time, error) {
	c.head = Head{Fields: c.head.Fields[:0], kept: c.head.kept[:0]}
	if c.at == c.have {
		if !c.watching {
			c.resetBuffer()
		}
		now := time.Now()
		c.wait(now, limits.quiet)
		c.idleSince.Store(now.UnixNano())
		if c.front.ending() {
			return time.Time{}, errIdle
		}
		err := c.fill()
		// Who was to make room and had sent a request already gets its answer all the same.
		if c.idleSince.Swap(0) == 0 {
			c.readBy = time.Time{}
		}
		if err != nil {
			return time.Time{}, errIdle
		}
	}
	came, searched := time.Now(), 0
	for partial := false; ; partial = true {
		// Line ends before a request line are let be, as is the custom.
		for searched == 0 && c.have-c.at >= 2 && c.buffer[c.at] == '\r' && c.buffer[c.at+1] == '\n' {
			c.at += 2
		}
		if end := headEnds(c.buffer[c.at:c.have], searched); end > 0 {
			text := string(c.buffer[c.at : c.at+end])
			// The bound is for the lines after the first, and for the first.
			if first := strings.IndexByte(text, '\n') + 1; first > limits.head || end-first > limits.head {
				return came, defect.New(defect.HeadTooLarge, strconv.Itoa(end)+" bytes")
			}
			c.at += end
			return came, parseHead(text, &c.head)
		}
		// Half of a line end before the request line says nothing yet.
		if searched = c.have - c.at; searched == 1 && c.buffer[c.at] == '\r' {
			searched = 0
		}
		switch {
		case searched > 2*limits.head:
			return came, defect.New(defect.HeadTooLarge, "more than "+strconv.Itoa(limits.head)+" bytes")
		case bareEnd(c.buffer[c.at:c.have]):
			return came, malformed("a bare line end")
		}
		c.makeRoom(2 * limits.head)
		if !partial {
			c.readBy = came.Add(limits.headWait)
			_ = c.conn.SetReadDeadline(c.readBy)
		}
		if err := c.fill(); err != nil {
			return came, err
		}
	}
}

// bareEnd tells whether a line ends without a carriage return: such a head might never end.
func bareEnd(came []byte) bool {
	for at := 0; ; {
		next := bytes.IndexByte(came[at:], '\n')
		if next < 0 {
			return false
		}
		if at += next; at == 0 || came[at-1] != '\r' {
			return true
		}
		at++
	}
}

// bodiless tells whether an answer has no body, whatever it would be.
func bodiless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// makeRoom lets the buffer take more, up to a bound above what it may hold.
func (c *connection) makeRoom(most int) {
	if c.at > 0 {
		copy(c.buffer, c.buffer[c.at:c.have])
		c.at, c.have = 0, c.have-c.at
	}
	if c.have == len(c.buffer) {
		larger := make([]byte, min(2*len(c.buffer), max(most, len(c.buffer))+firstRead))
		copy(larger, c.buffer[:c.have])
		c.buffer = larger
	}
}

// write gives the caller its answer.
func (c *connection) write(closes bool) error {
	reply := &c.reply
	out := append(c.out[:0], "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(reply.Status), 10)
	out = append(append(append(out, ' '), fasthttp.StatusMessage(reply.Status)...), "\r\n"...)
	out = append(out, reply.fields...)
	body := reply.Body
	if bodiless(c.head.Method, reply.Status) {
		body = nil
	} else {
		out = append(strconv.AppendInt(append(out, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	if closes {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	c.boundWrite()
	var err error
	var count int64
	if len(body) <= joinMost {
		out = append(out, body...)
		written, failed := c.conn.Write(out)
		count, err = int64(written), failed
	} else {
		both := net.Buffers{out, body}
		count, err = both.WriteTo(c.conn)
	}
	if c.front.carried != nil && !c.beside() {
		c.front.carried(int(count))
	}
	c.out = out
	if cap(c.out) > 2*joinMost {
		c.out = nil
	}
	reply.Body = nil
	return err
}

// boundWrite bounds how long a write may take: a caller that reads nothing for long is not waited for.
func (c *connection) boundWrite() {
	quiet := c.front.bounds().quiet
	if now := time.Now(); c.writeBy.Sub(now) < quiet/2 {
		c.writeBy = now.Add(quiet)
		_ = c.conn.SetWriteDeadline(c.writeBy)
	}
}

// linger reads on for a while after a refusal: a connection closed on unread bytes is reset,
// and the caller would never see why.
func (c *connection) linger(limits bounds) {
	if half, can := c.conn.(interface{ CloseWrite() error }); can {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.headWait))
	// Nothing is owed any more, so the end of this process need not wait for it.
	c.idleSince.Store(time.Now().UnixNano())
	if c.front.ending() {
		return
	}
	_, _ = io.CopyN(io.Discard, c.conn, int64(limits.body)*lingerTimes)
}

// beside tells whether the caller is on this machine: what it is answered never takes the link.
func (c *connection) beside() bool {
	caller, isTCP := c.conn.RemoteAddr().(*net.TCPAddr)
	here, hereTCP := c.conn.LocalAddr().(*net.TCPAddr)
	return isTCP && hereTCP && caller.IP.Equal(here.IP)
}
