package proxy

import (
	"bytes"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"meadowhinge/internal/defect"
)

// readBody reads the body that the head tells of.
func (c *connection) readBody(limits bounds) ([]byte, error) {
	switch {
	case c.head.length > int64(limits.body):
		return nil, defect.New(defect.TooLarge, strconv.FormatInt(c.head.length, 10)+" bytes")
	case c.head.length == 0 && !c.head.chunked:
		return nil, nil
	case c.head.expects && c.at == c.have:
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	if c.head.chunked {
		return c.readChunks(limits)
	}
	return c.take(nil, int(c.head.length), limits)
}

// take appends so many bytes of the body; room is made as they come, not as they are promised.
func (c *connection) take(body []byte, count int, limits bounds) ([]byte, error) {
	buffered := min(count, c.have-c.at)
	if err := c.hold(int64(len(body) + count)); err != nil {
		return nil, err
	}
	if body == nil {
		body = make([]byte, 0, min(count, bodyStep))
	}
	body = append(body, c.buffer[c.at:c.at+buffered]...)
	c.at += buffered
	for count -= buffered; count > 0; {
		if len(body) == cap(body) {
			larger := make([]byte, len(body), min(len(body)+count, bodyTimes*cap(body)+bodyStep))
			copy(larger, body)
			body = larger
		}
		room := body[len(body):min(cap(body), len(body)+count)]
		c.wait(time.Now(), limits.quiet)
		got, err := c.conn.Read(room)
		if got == 0 && err != nil {
			return nil, endOfBody(err)
		}
		body, count = body[:len(body)+got], count-got
	}
	return body, nil
}

// hold counts a large body against the room that all share; where there is none it is refused,
// for what a process may take of memory is bounded, and over the bound all its calls end.
func (c *connection) hold(size int64) error {
	if size <= bodyStep {
		return nil
	}
	more := size - c.held
	if c.front.taken.Add(more) > c.front.room {
		c.front.taken.Add(-more)
		return defect.New(defect.BufferFull, "too many large bodies at once")
	}
	c.held = size
	return nil
}

// giveBack makes the room free that a body took.
func (c *connection) giveBack() {
	if c.held > 0 {
		c.front.taken.Add(-c.held)
		c.held = 0
	}
}

func endOfBody(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return defect.Wrap(err, defect.TooSlow, "body")
	}
	return io.ErrUnexpectedEOF
}

// line reads a line within a chunked body, without its end.
func (c *connection) line(most int, limits bounds) ([]byte, error) {
	for searched := 0; ; {
		if next := bytes.IndexByte(c.buffer[c.at+searched:c.have], '\n'); next >= 0 {
			line := c.buffer[c.at : c.at+searched+next]
			c.at += len(line) + 1
			if len(line) == 0 || line[len(line)-1] != '\r' {
				return nil, malformed("a bare line end")
			}
			return line[:len(line)-1], nil
		}
		if searched = c.have - c.at; searched > most {
			return nil, malformed("a long line between chunks")
		}
		c.makeRoom(most)
		c.wait(time.Now(), limits.quiet)
		if err := c.fill(); err != nil {
			return nil, endOfBody(err)
		}
	}
}

// readChunks reads a chunked body; what follows its last chunk is dropped.
func (c *connection) readChunks(limits bounds) ([]byte, error) {
	body := []byte{}
	for {
		line, err := c.line(lineMost, limits)
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
		if body, err = c.take(body, int(count), limits); err != nil {
			return nil, err
		}
		if end, err := c.line(lineMost, limits); err != nil {
			return nil, err
		} else if len(end) > 0 {
			return nil, malformed("a chunk's end")
		}
	}
	for left := limits.head; ; {
		line, err := c.line(left, limits)
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
