package dispatch

import (
	"bufio"
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
	"meadowhinge/internal/http1"
	"meadowhinge/schema"
)

// Bounds on what a worker may send in response to one request.
const (
	maxResponseHeads  = 16       // heads of interim responses and of the final one together
	maxStaleResponses = 4        // complete responses to other requests that are skipped
	bodyChunkSize     = 1 << 16  // first capacity of a body buffer, in bytes; a larger body counts against bodyMemory
	maxHeadBytes      = 16 << 10 // size of the head or the trailer of a response, and of the read buffer, in bytes
)

// headPool holds heads, whose buffers are used again.
var headPool = sync.Pool{New: func() any { return &http1.ResponseHead{} }}

// readerPool and writerPool hold the read and write buffers. A connection has buffers only during an exchange, so that
// idle connections hold none.
var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeadBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}
)

// exchange is one request to a worker and its response. Only the goroutine of the request uses it.
type exchange struct {
	request      *fasthttp.Request
	head         *http1.ResponseHead    // head of the last response that was read
	codec        WorkerCodec            // reads the response's head
	forward      *schema.ForwardRequest // the request as it came from the caller's proxy
	deadline     time.Time              // deadline of all reads and writes
	maxBodyBytes int                    // upper bound on the size of the response body
	bodyMemory   *semaphore.Weighted    // memory in bytes for the large bodies of all workers

	ctx           context.Context // ends when the run must end; never ends for a non-idempotent request
	sentAt        time.Duration   // start of sending the request, on the process clock; 0 if no byte was sent
	info          ResponseInfo    // read from the response's head by codec
	sending       *requestSending // sending of the request
	body          []byte          // body of the response as far as it has arrived
	reservedBytes int64           // bytes acquired from bodyMemory
}

// HasNoBody reports whether the final response to a request has no body, whatever its headers say (RFC 9112, section
// 6.3). method is that of the request.
func HasNoBody(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// uploadStallDivisor sets when sending stops that goes on after the response is complete: once the worker has taken
// nothing for 1/uploadStallDivisor of the time left. A worker that answers before it reads gets the whole request so, and
// its connection can be used again.
const uploadStallDivisor = 16

// exchange sends a request and reads its response. reusable reports whether the connection can carry another request.
// An error has one of the codes of [transferErrorCode]. If c.bytesSent is 0, nothing was sent.
func (c *workerConn) exchange(x *exchange) (reusable bool, err error) {
	x.sending = c.startSending(x.request)
	if x.sending.done == nil && x.sending.err != nil && c.bytesSent.Load() == 0 {
		return false, x.nothingSent()
	}
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(c.Conn)
	defer func() {
		reader.Reset(nil)
		readerPool.Put(reader)
	}()
	// A worker may answer a request without reading it to its end, so the response is valid even if sending fails.
	mayContinue, err := x.readResponse(reader)
	if !mayContinue {
		_ = x.sending.stop() // the connection is closed, so that what was not sent does not matter
	}
	sendErr := x.sending.wait(time.Until(x.deadline) / uploadStallDivisor)
	if sendErr != nil && c.bytesSent.Load() == 0 {
		return false, x.nothingSent()
	}
	return mayContinue && sendErr == nil, err
}

// nothingSent returns the error of an exchange that could not send a byte of its request.
func (x *exchange) nothingSent() error {
	return errs.Wrap(x.sending.err, transferErrorCode(x.sending.err), "sending the request to the worker")
}

// readResponse reads the response to the request, and skips late responses to other requests. mayContinue reports whether
// the connection can carry another request once this one has been sent.
func (x *exchange) readResponse(reader *bufio.Reader) (mayContinue bool, err error) {
	for staleResponses := 0; ; staleResponses++ {
		if err := x.readFinalHead(reader); err != nil {
			return false, err
		}
		x.info = x.codec.ReadHeader(x.head, x.forward)
		err := x.readBody(reader)
		// A late response to another request is skipped.
		if x.info.WrongRequest && err == nil && staleResponses < maxStaleResponses {
			continue
		}
		if x.info.WrongRequest {
			return false, errs.New(errs.InvalidResponse, "worker's response belongs to another request")
		}
		// A head that proves that the request did not run is sufficient, even if reading the body fails.
		if err != nil && !x.info.NotExecuted && !x.info.WrongWorker {
			return false, err
		}
		// Bytes after a complete response belong to no request, so the connection is closed.
		return err == nil && staleResponses == 0 && !x.closesConnection() && reader.Buffered() == 0, nil
	}
}

// closesConnection reports whether the connection ends with the response, whose head has been read. It ends also if a
// response that has no body announces one, because the bytes that may follow belong to no request.
func (x *exchange) closesConnection() bool {
	head := x.head
	if head.Status == fasthttp.StatusNoContent && (head.ContentLength > 0 || head.BodyEnd == http1.EndsWithLastChunk) {
		return true
	}
	endsWithBody := head.BodyEnd == http1.EndsWithConnection && !HasNoBody(x.forward.Method, head.Status)
	return x.info.ClosesConnection || endsWithBody
}

// switchesProtocol reports whether what follows the head is no HTTP response any more: after the status 101, which answers
// an Upgrade that is never sent, and after a success of CONNECT (RFC 9110, sections 7.8 and 9.3.6).
func (x *exchange) switchesProtocol() bool {
	isSuccess := x.head.Status/100 == fasthttp.StatusOK/100
	return x.head.Status == fasthttp.StatusSwitchingProtocols || (isSuccess && x.forward.Method == fasthttp.MethodConnect)
}

// readFinalHead reads the head of the final response, and skips interim responses (RFC 9110, section 15.2).
func (x *exchange) readFinalHead(reader *bufio.Reader) error {
	for range maxResponseHeads {
		if err := x.head.Read(reader, maxHeadBytes); err != nil {
			return errs.Wrap(err, transferErrorCode(err), "reading the head of the worker's response")
		}
		switch {
		case x.switchesProtocol():
			return errs.New(errs.InvalidResponse, "worker's response switches to another protocol")
		case x.head.Status >= fasthttp.StatusOK:
			return nil
		}
	}
	return errs.New(errs.InvalidResponse, "worker sent no final response within "+strconv.Itoa(maxResponseHeads)+" responses")
}

// readBody reads the body of the final response, whose head has been read.
func (x *exchange) readBody(reader *bufio.Reader) error {
	x.body = nil
	head := x.head
	switch {
	case HasNoBody(x.forward.Method, head.Status):
		return nil
	case head.BodyEnd == http1.EndsWithLastChunk:
		return x.readChunks(reader)
	case head.BodyEnd == http1.EndsWithConnection && x.info.EndsAtClose:
		return x.readToClose(reader)
	case head.BodyEnd == http1.EndsWithConnection || head.ContentLength > uint64(x.maxBodyBytes):
		return errs.New(errs.InvalidResponse, "worker's response has no Content-Length, or one above "+strconv.Itoa(x.maxBodyBytes)+" bytes")
	}
	length := int(head.ContentLength)
	return x.appendBody(reader, length, length)
}

// readToClose reads a body that ends with the connection. The body is complete if the worker closed the connection, and
// truncated if the connection was reset or the deadline passed.
func (x *exchange) readToClose(reader *bufio.Reader) error {
	for {
		_, err := reader.Peek(1)
		switch {
		case errors.Is(err, io.EOF) && x.sending.foundReset():
			return errs.Wrap(x.sending.err, transferErrorCode(x.sending.err), "sending the request, before the end of the response body was seen")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errs.Wrap(err, transferErrorCode(err), "reading a response body up to the end of the connection")
		case len(x.body)+reader.Buffered() > x.maxBodyBytes:
			return errs.New(errs.InvalidResponse, "response body up to the end of the connection exceeds "+strconv.Itoa(x.maxBodyBytes)+" bytes")
		}
		if err := x.appendBody(reader, reader.Buffered(), x.maxBodyBytes); err != nil {
			return err
		}
	}
}

// readChunks reads a body in chunked transfer coding, with its trailer (RFC 9112, section 7.1).
func (x *exchange) readChunks(reader *bufio.Reader) error {
	for {
		size, err := x.readChunkSize(reader)
		if err != nil {
			return err
		}
		if size == 0 {
			err = http1.SkipTrailer(reader, maxHeadBytes)
			return errs.Wrap(err, transferErrorCode(err), "reading the trailer after the last chunk")
		}
		if err := x.appendBody(reader, size, x.maxBodyBytes); err != nil {
			return err
		}
		end, err := http1.ReadLine(reader)
		switch {
		case err != nil:
			return errs.Wrap(err, transferErrorCode(err), "reading the line end after a chunk")
		case len(end) > 0:
			return errs.New(errs.InvalidResponse, "chunk is longer than its size")
		}
	}
}

// readChunkSize reads the line before a chunk and returns the size of the chunk, 0 for the last one. It fails if the
// chunk does not fit into the longest body.
func (x *exchange) readChunkSize(reader *bufio.Reader) (int, error) {
	line, err := http1.ReadLine(reader)
	if err != nil {
		return 0, errs.Wrap(err, transferErrorCode(err), "reading the size of a chunk")
	}
	size, err := http1.ParseChunkSize(line)
	if err != nil {
		return 0, err
	}
	if size > uint64(x.maxBodyBytes-len(x.body)) {
		return 0, errs.New(errs.InvalidResponse, "response body exceeds "+strconv.Itoa(x.maxBodyBytes)+" bytes")
	}
	return int(size), nil
}

// appendBody reads length more bytes of a body of at most limit bytes. The buffer grows only as bytes arrive, because
// the announced length is not trusted. A body that outgrows bodyChunkSize first acquires limit bytes from bodyMemory.
// It waits for them, unread, while the bodies of all workers together use up that memory.
func (x *exchange) appendBody(reader *bufio.Reader, length, limit int) error {
	for target := len(x.body) + length; len(x.body) < target; {
		if len(x.body) == cap(x.body) {
			if cap(x.body) >= bodyChunkSize && x.reservedBytes == 0 {
				waitCtx, cancel := context.WithDeadline(x.ctx, x.deadline)
				err := x.bodyMemory.Acquire(waitCtx, int64(limit))
				cancel()
				if err != nil {
					return errs.Wrap(err, errs.DeadlineExceeded, "waiting for memory for a response body of up to "+strconv.Itoa(limit)+" bytes")
				}
				x.reservedBytes = int64(limit)
			}
			x.body = append(make([]byte, 0, min(target, max(2*cap(x.body), bodyChunkSize))), x.body...)
		}
		from, to := len(x.body), min(target, cap(x.body))
		x.body = x.body[:to]
		if _, err := io.ReadFull(reader, x.body[from:to]); err != nil {
			return errs.Wrap(err, transferErrorCode(err), "reading the response body")
		}
	}
	return nil
}

// releaseMemory returns the bytes that the body acquired from bodyMemory.
func (x *exchange) releaseMemory() {
	if x.reservedBytes > 0 {
		x.bodyMemory.Release(x.reservedBytes)
		x.reservedBytes = 0
	}
}

// transferErrorCode returns the code for a request or response that was not transferred completely:
// errs.DeadlineExceeded if the time ran out, errs.WorkerConnectionLost if the connection ended, and
// errs.InvalidResponse if the bytes that arrived are no valid response.
func transferErrorCode(err error) errs.Code {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errs.DeadlineExceeded
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return errs.WorkerConnectionLost
	}
	return errs.InvalidResponse
}
