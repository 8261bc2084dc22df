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
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/socket"
)

// bounds are what a caller may send, and how long it may take.
type bounds struct {
	head     int           // bytes of a head
	body     int           // bytes of a body
	headWait time.Duration // from the first byte of a head to its last
	quiet    time.Duration // without a byte, between requests or within one
}

// front takes requests from callers at one listener. A library's server would not do: the
// bounds change with the setup, a request that could be read in two ways is to be refused and
// not repaired, target and headers go on as they came, and new connections are taken for as
// long as this process lives.
type front struct {
	listener net.Listener
	bounds   func() bounds
	most     int // connections at once
	// leaving tells callers to take their connections back with the next answer.
	leaving *atomic.Bool
	// carried hears how many bytes of answers were written; may be nil.
	carried func(bytes int)
	// departures counts callers that leave while a call of theirs is under way.
	departures *dispatch.Departures
	// serve carries a request out; its context ends when the caller leaves.
	serve  func(ctx context.Context, head *Head, body []byte, came time.Time, reply *Reply)
	refuse func(head *Head, err error, reply *Reply)
	// room is how many bytes of large bodies may be held at once; taken is how many are.
	room  int64
	taken atomic.Int64

	lock  sync.Mutex
	talks map[*talk]struct{}
	ended bool
	gone  chan struct{} // closed when the last talk has ended after the end
}

// Sizes in bytes, and ratios.
const (
	firstRead   = 4 << 10  // of a connection's buffer; it grows with heads that need more
	bodyStep    = 64 << 10 // of a body before more of it has come; a larger one is counted
	bodyTimes   = 4        // times which room for a body grows as more of it comes
	joinMost    = 16 << 10 // bodies up to this are written together with their head
	lineMost    = 256      // of a chunk's size line
	lingerTimes = 16       // times the bound, of a body that is read and dropped after a refusal
	stillGood   = 4        // a deadline is moved once this part of it has passed
)

func newFront(listener net.Listener, most int, room int64, leaving *atomic.Bool, bounds func() bounds) *front {
	return &front{listener: listener, bounds: bounds, most: most, room: room, leaving: leaving, talks: map[*talk]struct{}{}, gone: make(chan struct{}), departures: &dispatch.Departures{}}
}

// run takes connections until the listener is closed.
func (f *front) run() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			// Descriptors may run out for a moment; only a closed listener takes no more for good.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		one := &talk{front: f, conn: socket.Of(conn)}
		f.lock.Lock()
		taken := !f.ended && (len(f.talks) < f.most || f.makeRoom())
		if taken {
			f.talks[one] = struct{}{}
		}
		f.lock.Unlock()
		if !taken {
			conn.Close()
			continue
		}
		go one.run()
	}
}

// makeRoom ends the connection that has been quiet the longest, for callers that were refused come
// back on a new one and keep the old; the caller holds the lock. It tells whether any was quiet.
func (f *front) makeRoom() bool {
	var oldest *talk
	since := int64(0)
	for one := range f.talks {
		if at := one.quietAt.Load(); at != 0 && (oldest == nil || at < since) {
			oldest, since = one, at
		}
	}
	if oldest == nil || !oldest.quietAt.CompareAndSwap(since, 0) {
		return false
	}
	_ = oldest.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// acceptPause is how long a listener rests that could not take a connection.
const acceptPause = 10 * time.Millisecond

// finish takes no more connections and waits, as long as until, for the talks that are at a
// request; what is idle is closed. It tells whether all came to their end.
func (f *front) finish(until <-chan struct{}) bool {
	f.listener.Close()
	f.lock.Lock()
	f.ended = true
	if len(f.talks) == 0 {
		f.lock.Unlock()
		return true
	}
	for one := range f.talks {
		if one.quietAt.Load() != 0 {
			_ = one.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	f.lock.Unlock()
	select {
	case <-f.gone:
		return true
	case <-until:
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	for one := range f.talks {
		one.conn.Close()
	}
	return false
}

func (f *front) ending() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.ended
}

func (f *front) leave(one *talk) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.talks, one)
	if f.ended && len(f.talks) == 0 {
		close(f.gone)
	}
}

// talk is one connection of a caller. Its requests are answered one after the other, in the
// order in which they came.
type talk struct {
	front   *front
	conn    net.Conn
	buffer  []byte // what has come and is not yet used is in [at:have]
	at      int
	have    int
	readBy  time.Time // the deadlines set on the connection
	writeBy time.Time
	quietAt atomic.Int64 // since when nothing is owed on it, 0 while a request is
	head    Head
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

func (t *talk) run() {
	defer t.front.leave(t)
	defer t.conn.Close()
	t.life, t.end = context.WithCancel(context.Background())
	defer t.end()
	t.buffer, t.watchEnded = make([]byte, firstRead), make(chan watched, 1)
	for t.exchange() {
	}
}

// exchange takes one request and answers it; false ends the connection.
func (t *talk) exchange() bool {
	limits := t.front.bounds()
	t.reply.reset()
	came, err := t.readHead(limits)
	if err == errIdle {
		return false
	}
	var body []byte
	if err == nil {
		body, err = t.readBody(limits)
	}
	defer t.giveBack()
	if err != nil {
		// Whoever closed the connection on its own request waits for no answer.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
			return false
		}
		t.front.refuse(&t.head, err, &t.reply)
		if t.write(true) == nil {
			t.linger(limits)
		}
		return false
	}
	t.startWatch()
	t.front.serve(t.life, &t.head, body, came, &t.reply)
	t.beginAnswer()
	if t.inputEnded.Load() && !t.gone {
		t.front.departures.HalfClosed.Add(1)
	}
	closes := t.head.closes || t.front.leaving.Load() || t.inputEnded.Load()
	return t.write(closes) == nil && !closes
}

// errIdle is the end of a connection between requests.
var errIdle = errors.New("idle connection")

// wait moves the deadline for reading; one that is still good is left as it is.
func (t *talk) wait(now time.Time, span time.Duration) {
	if left := t.readBy.Sub(now); left <= span && left >= span-span/stillGood {
		return
	}
	t.readBy = now.Add(span)
	_ = t.conn.SetReadDeadline(t.readBy)
}

// fill reads what is there into the buffer, which has room for at least one byte.
func (t *talk) fill() error {
	var count int
	var err error
	if t.watching {
		count, err = t.takeWatched()
	}
	// A deadline that the watch met may have been moved since.
	if count == 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		count, err = t.conn.Read(t.buffer[t.have:])
	}
	t.have += count
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
func (t *talk) resetBuffer() {
	t.at, t.have = 0, 0
	if len(t.buffer) > firstRead {
		t.buffer = make([]byte, firstRead)
	}
}

// readHead reads a request's head, and tells when its first byte was seen.
func (t *talk) readHead(limits bounds) (time.Time, error) {
	t.head = Head{Fields: t.head.Fields[:0], kept: t.head.kept[:0]}
	if t.at == t.have {
		if !t.watching {
			t.resetBuffer()
		}
		now := time.Now()
		t.wait(now, limits.quiet)
		t.quietAt.Store(now.UnixNano())
		if t.front.ending() {
			return time.Time{}, errIdle
		}
		err := t.fill()
		// Who was to make room and had sent a request already gets its answer all the same.
		if t.quietAt.Swap(0) == 0 {
			t.readBy = time.Time{}
		}
		if err != nil {
			return time.Time{}, errIdle
		}
	}
	came, searched := time.Now(), 0
	for partial := false; ; partial = true {
		// Line ends before a request line are let be, as is the custom.
		for searched == 0 && t.have-t.at >= 2 && t.buffer[t.at] == '\r' && t.buffer[t.at+1] == '\n' {
			t.at += 2
		}
		if end := headEnds(t.buffer[t.at:t.have], searched); end > 0 {
			text := string(t.buffer[t.at : t.at+end])
			// The bound is for the lines after the first, and for the first.
			if first := strings.IndexByte(text, '\n') + 1; first > limits.head || end-first > limits.head {
				return came, defect.New(defect.HeadTooLarge, strconv.Itoa(end)+" bytes")
			}
			t.at += end
			return came, parseHead(text, &t.head)
		}
		// Half of a line end before the request line says nothing yet.
		if searched = t.have - t.at; searched == 1 && t.buffer[t.at] == '\r' {
			searched = 0
		}
		switch {
		case searched > 2*limits.head:
			return came, defect.New(defect.HeadTooLarge, "more than "+strconv.Itoa(limits.head)+" bytes")
		case bareEnd(t.buffer[t.at:t.have]):
			return came, malformed("a bare line end")
		}
		t.makeRoom(2 * limits.head)
		if !partial {
			t.readBy = came.Add(limits.headWait)
			_ = t.conn.SetReadDeadline(t.readBy)
		}
		if err := t.fill(); err != nil {
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

// makeRoom lets the buffer take more, up to a bound above what it may hold.
func (t *talk) makeRoom(most int) {
	if t.at > 0 {
		copy(t.buffer, t.buffer[t.at:t.have])
		t.at, t.have = 0, t.have-t.at
	}
	if t.have == len(t.buffer) {
		larger := make([]byte, min(2*len(t.buffer), max(most, len(t.buffer))+firstRead))
		copy(larger, t.buffer[:t.have])
		t.buffer = larger
	}
}

// readBody reads the body that the head tells of.
func (t *talk) readBody(limits bounds) ([]byte, error) {
	switch {
	case t.head.length > int64(limits.body):
		return nil, defect.New(defect.TooLarge, strconv.FormatInt(t.head.length, 10)+" bytes")
	case t.head.length == 0 && !t.head.chunked:
		return nil, nil
	case t.head.expects && t.at == t.have:
		if _, err := io.WriteString(t.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	if t.head.chunked {
		return t.readChunks(limits)
	}
	return t.take(nil, int(t.head.length), limits)
}

// take appends so many bytes of the body; room is made as they come, not as they are promised.
func (t *talk) take(body []byte, count int, limits bounds) ([]byte, error) {
	buffered := min(count, t.have-t.at)
	if err := t.hold(int64(len(body) + count)); err != nil {
		return nil, err
	}
	if body == nil {
		body = make([]byte, 0, min(count, bodyStep))
	}
	body = append(body, t.buffer[t.at:t.at+buffered]...)
	t.at += buffered
	for count -= buffered; count > 0; {
		if len(body) == cap(body) {
			larger := make([]byte, len(body), min(len(body)+count, bodyTimes*cap(body)+bodyStep))
			copy(larger, body)
			body = larger
		}
		room := body[len(body):min(cap(body), len(body)+count)]
		t.wait(time.Now(), limits.quiet)
		got, err := t.conn.Read(room)
		if got == 0 && err != nil {
			return nil, endOfBody(err)
		}
		body, count = body[:len(body)+got], count-got
	}
	return body, nil
}

// hold counts a large body against the room that all share; where there is none it is refused,
// for what a process may take of memory is bounded, and over the bound all its calls end.
func (t *talk) hold(size int64) error {
	if size <= bodyStep {
		return nil
	}
	more := size - t.held
	if t.front.taken.Add(more) > t.front.room {
		t.front.taken.Add(-more)
		return defect.New(defect.BufferFull, "too many large bodies at once")
	}
	t.held = size
	return nil
}

// giveBack makes the room free that a body took.
func (t *talk) giveBack() {
	if t.held > 0 {
		t.front.taken.Add(-t.held)
		t.held = 0
	}
}

func endOfBody(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return defect.Wrap(err, defect.TooSlow, "body")
	}
	return io.ErrUnexpectedEOF
}

// line reads a line within a chunked body, without its end.
func (t *talk) line(most int, limits bounds) ([]byte, error) {
	for searched := 0; ; {
		if next := bytes.IndexByte(t.buffer[t.at+searched:t.have], '\n'); next >= 0 {
			line := t.buffer[t.at : t.at+searched+next]
			t.at += len(line) + 1
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return nil, malformed("a bare line end")
			}
			return line[:len(line)-1], nil
		}
		if searched = t.have - t.at; searched > most {
			return nil, malformed("a long line between chunks")
		}
		t.makeRoom(most)
		t.wait(time.Now(), limits.quiet)
		if err := t.fill(); err != nil {
			return nil, endOfBody(err)
		}
	}
}

// readChunks reads a chunked body; what follows its last chunk is dropped.
func (t *talk) readChunks(limits bounds) ([]byte, error) {
	body := []byte{}
	for {
		line, err := t.line(lineMost, limits)
		if err != nil {
			return nil, err
		}
		size, extension, _ := bytes.Cut(line, []byte(";"))
		count, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
		if err != nil || len(size) == 0 || !isHex(size[0]) || !clean(string(extension), ' ') {
			return nil, malformed("a chunk's size")
		}
		if count > uint64(limits.body-len(body)) {
			return nil, defect.New(defect.TooLarge, "more than "+strconv.Itoa(limits.body)+" bytes")
		}
		if count == 0 {
			break
		}
		if body, err = t.take(body, int(count), limits); err != nil {
			return nil, err
		}
		if end, err := t.line(lineMost, limits); err != nil {
			return nil, err
		} else if len(end) > 0 {
			return nil, malformed("a chunk's end")
		}
	}
	for left := limits.head; ; {
		line, err := t.line(left, limits)
		if err != nil || len(line) == 0 {
			return body, err
		}
		if left -= len(line); left <= 0 {
			return nil, defect.New(defect.HeadTooLarge, "trailer")
		}
	}
}

func isHex(one byte) bool {
	return (one >= '0' && one <= '9') || (one|0x20 >= 'a' && one|0x20 <= 'f')
}

// bodiless tells whether an answer has no body, whatever it would be.
func bodiless(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// write gives the caller its answer.
func (t *talk) write(closes bool) error {
	reply := &t.reply
	out := append(t.out[:0], "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(reply.Status), 10)
	out = append(append(append(out, ' '), fasthttp.StatusMessage(reply.Status)...), "\r\n"...)
	out = append(out, reply.fields...)
	body := reply.Body
	if bodiless(t.head.Method, reply.Status) {
		body = nil
	} else {
		out = append(strconv.AppendInt(append(out, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	if closes {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	t.boundWrite()
	var err error
	var count int64
	if len(body) <= joinMost {
		out = append(out, body...)
		written, failed := t.conn.Write(out)
		count, err = int64(written), failed
	} else {
		both := net.Buffers{out, body}
		count, err = both.WriteTo(t.conn)
	}
	if t.front.carried != nil && !t.beside() {
		t.front.carried(int(count))
	}
	t.out = out
	if cap(t.out) > 2*joinMost {
		t.out = nil
	}
	reply.Body = nil
	return err
}

// boundWrite bounds how long a write may take: a caller that reads nothing for long is not waited for.
func (t *talk) boundWrite() {
	quiet := t.front.bounds().quiet
	if now := time.Now(); t.writeBy.Sub(now) < quiet/2 {
		t.writeBy = now.Add(quiet)
		_ = t.conn.SetWriteDeadline(t.writeBy)
	}
}

// linger reads on for a while after a refusal: a connection closed on unread bytes is reset,
// and the caller would never see why.
func (t *talk) linger(limits bounds) {
	if half, can := t.conn.(interface{ CloseWrite() error }); can {
		_ = half.CloseWrite()
	}
	_ = t.conn.SetReadDeadline(time.Now().Add(limits.headWait))
	// Nothing is owed any more, so the end of this process need not wait for it.
	t.quietAt.Store(time.Now().UnixNano())
	if t.front.ending() {
		return
	}
	_, _ = io.CopyN(io.Discard, t.conn, int64(limits.body)*lingerTimes)
}

// beside tells whether the caller is on this machine: what it is answered never takes the link.
func (t *talk) beside() bool {
	caller, isTCP := t.conn.RemoteAddr().(*net.TCPAddr)
	here, hereTCP := t.conn.LocalAddr().(*net.TCPAddr)
	return isTCP && hereTCP && caller.IP.Equal(here.IP)
}
