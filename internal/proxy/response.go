package proxy

import (
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

	deadline time.Time // time until which the caller waits for the response; zero if not known
}

// reset clears the response for the next request.
func (r *Response) reset() { *r = Response{headerBlock: r.headerBlock[:0]} }

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
	if len(body) <= maxCombinedWriteBytes {
		out, body = append(out, body...), nil
	}
	bytesWritten, err := c.writeParts(out, body)
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
