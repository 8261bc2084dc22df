package proxy

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
)

const (
	maxHeartbeatBodyBytes    = 64 << 10    // maximum size of one worker description
	workerConcurrencyFactor  = 4           // maximum number of concurrent connections, as a multiple of the option "buffer"
	workerConnectionIdleTime = time.Minute // time without a request after which a connection is closed
)

// listenForWorkers opens the listener at which workers register and send heartbeats, and starts to serve it. It fails
// with errs.InvalidOptions if the address cannot be listened on.
func (s *Server) listenForWorkers(address string) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, "open workers' listener at "+address)
	}
	server := &fasthttp.Server{
		Name:                         "meadowhinge",
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		Concurrency:                  int(s.initialOptions.Buffer) * workerConcurrencyFactor,
		MaxRequestBodySize:           maxHeartbeatBodyBytes,
		ReadTimeout:                  time.Duration(s.initialOptions.HorizonMost),
		IdleTimeout:                  workerConnectionIdleTime,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		StreamRequestBody:            true,
		Handler:                      s.handleHeartbeat,
		ErrorHandler:                 rejectUnreadHeartbeat,
	}
	go func() {
		_ = server.Serve(listener) // returns on Shutdown; an earlier failure shows as missing heartbeats
	}()
	return server, nil
}

// handleHeartbeat serves one request of a worker with the configured HeartbeatHandler.
func (s *Server) handleHeartbeat(requestCtx *fasthttp.RequestCtx) {
	if err := bufferBody(requestCtx, maxHeartbeatBodyBytes); err != nil {
		rejectHeartbeat(requestCtx, err)
		return
	}
	s.extensions.heartbeatHandler.Handle(requestCtx, s.workers)
	// During a shutdown the response announces the close. Otherwise a worker might send its next heartbeat on a closed
	// connection.
	if s.draining.Load() {
		requestCtx.SetConnectionClose()
	}
}

// rejectUnreadHeartbeat answers a request that the HTTP server failed to read with err.
func rejectUnreadHeartbeat(requestCtx *fasthttp.RequestCtx, err error) {
	code := errs.MalformedRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = errs.BodyTooLarge
	}
	rejectHeartbeat(requestCtx, errs.Wrap(err, code, "read request of worker"))
}

// rejectHeartbeat answers a request with err and closes the connection.
func rejectHeartbeat(requestCtx *fasthttp.RequestCtx, err error) {
	daemon.WriteError(requestCtx, err, outcomeNotExecuted, nil)
	requestCtx.SetConnectionClose()
}

// bufferBody reads a streamed request body into memory. It fails with errs.BodyTooLarge if the body is longer than
// maxBytes, and with errs.MalformedRequest if the body cannot be read.
func bufferBody(requestCtx *fasthttp.RequestCtx, maxBytes int) error {
	if !requestCtx.Request.IsBodyStream() {
		return nil
	}
	stream := requestCtx.RequestBodyStream()
	body, err := io.ReadAll(io.LimitReader(stream, int64(maxBytes)+1))
	if err != nil {
		return errs.Wrap(err, errs.MalformedRequest, "read body of worker request")
	}
	if len(body) > maxBytes {
		_, _ = io.CopyN(io.Discard, stream, int64(maxBytes)*rejectedBodyDiscardFactor) // best effort: the connection is closed next
		return errs.New(errs.BodyTooLarge, fmt.Sprintf("worker request with a body of more than %d bytes", maxBytes))
	}
	requestCtx.Request.SetBody(body)
	return nil
}
