package proxy

import (
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/dispatch"
)

// Response is the response to a caller. Each connection has one and reuses it, so it must not be retained.
type Response struct {
	Status      int    // HTTP status code
	Body        []byte // response body; not sent if the method or the status permits none
	headerBlock []byte // header lines in wire format, each with its line end
}

// reset clears the response for the next request.
func (r *Response) reset() { r.Status, r.Body, r.headerBlock = 0, nil, r.headerBlock[:0] }

// AddHeader adds a header field. The connection adds Content-Length and Connection itself.
func (r *Response) AddHeader(name, value string) {
	r.headerBlock = dispatch.AppendField(r.headerBlock, name, value)
}

// writeResponse writes the response to the caller and returns the error of the write. closeAfter adds Connection: close.
func (c *connection) writeResponse(closeAfter bool) error {
	body := c.response.Body
	if dispatch.HasNoBody(c.header.Method, c.response.Status) {
		body = nil
	}
	out := c.appendResponseHeader(c.writeBuffer[:0], len(body), closeAfter)
	c.setWriteTimeout()
	var err error
	var bytesWritten int64
	if len(body) <= maxCombinedWriteBytes {
		out = append(out, body...)
		written, writeErr := c.conn.Write(out)
		bytesWritten, err = int64(written), writeErr
	} else {
		buffers := net.Buffers{out, body}
		bytesWritten, err = buffers.WriteTo(c.conn)
	}
	if c.listener.onWritten != nil && !c.isLocalCaller() {
		c.listener.onWritten(int(bytesWritten))
	}
	c.writeBuffer = out
	if cap(c.writeBuffer) > 2*maxCombinedWriteBytes {
		c.writeBuffer = nil
	}
	c.response.Body = nil
	return err
}

// appendResponseHeader appends the status line and all header lines to out, with the empty line that ends them.
func (c *connection) appendResponseHeader(out []byte, bodyBytes int, closeAfter bool) []byte {
	response := &c.response
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(response.Status), 10)
	out = append(out, ' ')
	out = append(out, fasthttp.StatusMessage(response.Status)...)
	out = append(out, "\r\n"...)
	out = append(out, response.headerBlock...)
	if !dispatch.HasNoBody(c.header.Method, response.Status) {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(bodyBytes), 10)
		out = append(out, "\r\n"...)
	}
	if closeAfter {
		out = append(out, "Connection: close\r\n"...)
	}
	return append(out, "\r\n"...)
}

// setWriteTimeout bounds the duration of a write, so that the proxy does not wait for a caller that stopped reading. The
// limit is the idle timeout, of which at least half remains for each write.
func (c *connection) setWriteTimeout() {
	timeout := c.listener.limits().idleTimeout
	if now := time.Now(); c.writeDeadline.Sub(now) < timeout/2 {
		c.writeDeadline = now.Add(timeout)
		_ = c.conn.SetWriteDeadline(c.writeDeadline) // a closed connection fails at the write
	}
}
