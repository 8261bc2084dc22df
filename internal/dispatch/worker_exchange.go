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

	"meadowhinge/internal/errs"
	"meadowhinge/schema"
)

// Bounds on what a worker sends besides the response.
const (
	maxInterimResponses = 16       // interim responses before the final one
	maxStrayResponses   = 4        // complete responses to other requests
	bodyChunkSize       = 1 << 16  // bytes; a larger body counts against bodyMemory
	maxHeaderBytes      = 16 << 10 // bytes of a response header
)

// Buffers are borrowed for the duration of an exchange, so that idle connections hold none.
var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeaderBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}
)

// exchange is one request to a worker and what became of it. It belongs to the goroutine of the request.
type exchange struct {
	request      *fasthttp.Request
	response     *fasthttp.Response // its header is valid once the exchange has succeeded; its body is not used
	codec        WorkerCodec
	forward      *schema.ForwardRequest // the request as it came from the caller's proxy
	deadline     time.Time
	maxBodyBytes int                 // bytes of a body
	bodyMemory   *semaphore.Weighted // for large bodies of all workers

	ctx           context.Context // ends when the run is to end, which may be later than the call
	sentAt        time.Duration   // when the first byte of the request was sent, 0 for not at all
	info          ResponseInfo
	body          []byte
	reservedBytes int64 // acquired from bodyMemory
}

// HasNoBody reports whether the final response to a request has no body, whatever its headers say (RFC 9112, section 6.3).
func HasNoBody(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// exchange sends a request and reads its response. reusable reports whether the connection can carry another request.
func (c *workerConn) exchange(x *exchange) (reusable bool, err error) {
	c.bytesSent = 0
	writer := writerPool.Get().(*bufio.Writer)
	writer.Reset(c)
	writeErr := x.request.Write(writer)
	if writeErr == nil {
		writeErr = writer.Flush()
	}
	writer.Reset(nil)
	writerPool.Put(writer)
	if writeErr != nil && c.bytesSent == 0 {
		return false, errs.Wrap(writeErr, transferErrorCode(writeErr), "sending")
	}
	// A worker that does not read a request to its end may have answered it all the same.
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(c.Conn)
	defer func() {
		reader.Reset(nil)
		readerPool.Put(reader)
	}()
	for strays := 0; ; strays++ {
		if err := x.readFinalHeader(reader); err != nil {
			return false, err
		}
		x.info = x.codec.ReadHeader(&x.response.Header, x.forward)
		err := x.readBody(reader)
		// A late response to another request is skipped.
		if x.info.WrongRequest && err == nil && strays < maxStrayResponses {
			continue
		}
		if x.info.WrongRequest {
			return false, errs.New(errs.InvalidResponse, "answers another request")
		}
		// A header that says that the request did not run is enough, whatever becomes of the body.
		if err != nil && !x.info.NotExecuted && !x.info.WrongWorker {
			return false, err
		}
		// Bytes after a complete response belong to no request, so the connection is closed.
		return err == nil && writeErr == nil && strays == 0 && !x.info.ClosesConnection && reader.Buffered() == 0, nil
	}
}

// readFinalHeader reads the header of the final response, past interim ones.
func (x *exchange) readFinalHeader(reader *bufio.Reader) error {
	for range maxInterimResponses {
		if err := x.response.Header.Read(reader); err != nil {
			return errs.Wrap(err, transferErrorCode(err), "head of an answer")
		}
		status := x.response.StatusCode()
		switch {
		case status >= 200 && status <= 599:
			return nil
		case status < 100 || status > 199 || status == fasthttp.StatusSwitchingProtocols:
			return errs.New(errs.InvalidResponse, "no final status")
		}
	}
	return errs.New(errs.InvalidResponse, "no final answer")
}

// readBody reads the body that belongs to the header.
func (x *exchange) readBody(reader *bufio.Reader) error {
	x.body = nil
	header := &x.response.Header
	// Values of ContentLength for a body without one.
	const (
		inChunks = -1
		toTheEnd = -2 // up to the end of the connection
	)
	length := header.ContentLength()
	switch {
	case HasNoBody(x.forward.Method, header.StatusCode()):
		return nil
	case length == inChunks:
		return x.readChunks(reader, header)
	case length == toTheEnd && x.info.EndsAtClose:
		return x.readToClose(reader)
	case length < 0 || length > x.maxBodyBytes:
		return errs.New(errs.InvalidResponse, "no length, or too much")
	}
	return x.readMore(reader, length, length)
}

// readToClose reads a body that ends with its connection. It is complete if the worker closed the connection, and
// truncated if the connection was reset or time ran out.
func (x *exchange) readToClose(reader *bufio.Reader) error {
	for {
		_, err := reader.Peek(1)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errs.Wrap(err, transferErrorCode(err), "body to the end of the connection")
		case len(x.body)+reader.Buffered() > x.maxBodyBytes:
			return errs.New(errs.InvalidResponse, "too much before the end of the connection")
		}
		if err := x.readMore(reader, reader.Buffered(), x.maxBodyBytes); err != nil {
			return err
		}
	}
}

// readChunks reads a body in chunked encoding, with its trailer.
func (x *exchange) readChunks(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return errs.Wrap(err, transferErrorCode(err), "size of a chunk")
		}
		// Chunk extensions are ignored.
		digits, _, _ := bytes.Cut(bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'}), []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 31)
		switch {
		case err != nil || len(x.body)+int(size) > x.maxBodyBytes:
			return errs.New(errs.InvalidResponse, "size of a chunk")
		case size == 0:
			err = header.ReadTrailer(reader)
			return errs.Wrap(err, transferErrorCode(err), "end of chunks")
		}
		if err := x.readMore(reader, int(size), x.maxBodyBytes); err != nil {
			return err
		}
		if end, err := reader.Peek(2); err != nil || end[0] != '\r' || end[1] != '\n' {
			return errs.Wrap(errors.Join(err, io.ErrUnexpectedEOF), errs.InvalidResponse, "end of a chunk")
		}
		_, _ = reader.Discard(2) // cannot fail: Peek has buffered both bytes
	}
}

// readMore reads length more bytes of a body of at most limit bytes. The buffer grows as bytes arrive, because an
// announced length proves nothing. A large body first acquires its limit from bodyMemory, and waits, unread, while
// the bodies of all workers together take up too much.
func (x *exchange) readMore(reader *bufio.Reader, length, limit int) error {
	for target := len(x.body) + length; len(x.body) < target; {
		if len(x.body) == cap(x.body) {
			if cap(x.body) >= bodyChunkSize && x.reservedBytes == 0 {
				waitCtx, cancel := context.WithDeadline(x.ctx, x.deadline)
				err := x.bodyMemory.Acquire(waitCtx, int64(limit))
				cancel()
				if err != nil {
					return errs.Wrap(err, errs.DeadlineExceeded, "room for a body")
				}
				x.reservedBytes = int64(limit)
			}
			x.body = append(make([]byte, 0, min(target, max(2*cap(x.body), bodyChunkSize))), x.body...)
		}
		from, to := len(x.body), min(target, cap(x.body))
		x.body = x.body[:to]
		if _, err := io.ReadFull(reader, x.body[from:to]); err != nil {
			return errs.Wrap(err, transferErrorCode(err), "body")
		}
	}
	return nil
}

// releaseMemory returns what the body acquired from bodyMemory.
func (x *exchange) releaseMemory() {
	if x.reservedBytes > 0 {
		x.bodyMemory.Release(x.reservedBytes)
		x.reservedBytes = 0
	}
}

// transferErrorCode returns why a request or response was not transferred completely: the time ran out, the
// connection ended, or what arrived is no valid response.
func transferErrorCode(err error) errs.Code {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout):
		return errs.DeadlineExceeded
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return errs.WorkerConnectionLost
	}
	return errs.InvalidResponse
}
