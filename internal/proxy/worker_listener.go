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
	maxHeartbeatBodyBytes    = 64 << 10 // of one worker description
	workerConcurrencyFactor  = 4        // heartbeats served at the same time, as a multiple of the option "buffer"
	workerConnectionIdleTime = time.Minute
)

// listenForWorkers opens the listener at which workers register and send heartbeats.
func (s *Server) listenForWorkers(address string) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, address)
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
		_ = server.Serve(listener) // it ends with Shutdown; a listener that fails earlier shows as missing heartbeats
	}()
	return server, nil
}

// handleHeartbeat serves one request of a worker.
func (s *Server) handleHeartbeat(requestCtx *fasthttp.RequestCtx) {
	if err := bufferBody(requestCtx, maxHeartbeatBodyBytes); err != nil {
		rejectHeartbeat(requestCtx, err)
		return
	}
	s.extensions.heartbeatHandler.Handle(requestCtx, s.workers)
	// During a shutdown the response announces the close, so that no worker sends its next heartbeat on a closed connection.
	if s.draining.Load() {
		requestCtx.SetConnectionClose()
	}
}

// rejectUnreadHeartbeat answers a request that the HTTP server could not read.
func rejectUnreadHeartbeat(requestCtx *fasthttp.RequestCtx, err error) {
	code := errs.MalformedRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = errs.BodyTooLarge
	}
	rejectHeartbeat(requestCtx, errs.Wrap(err, code, "request"))
}

// rejectHeartbeat answers with an error and closes the connection.
func rejectHeartbeat(requestCtx *fasthttp.RequestCtx, err error) {
	daemon.WriteError(requestCtx, err, outcomeNotExecuted, nil)
	requestCtx.SetConnectionClose()
}

// bufferBody reads a request's body into memory if it is at most maxBytes long.
func bufferBody(requestCtx *fasthttp.RequestCtx, maxBytes int) error {
	if !requestCtx.Request.IsBodyStream() {
		return nil
	}
	stream := requestCtx.RequestBodyStream()
	body, err := io.ReadAll(io.LimitReader(stream, int64(maxBytes)+1))
	if err != nil {
		return errs.Wrap(err, errs.MalformedRequest, "body")
	}
	if len(body) > maxBytes {
		_, _ = io.CopyN(io.Discard, stream, int64(maxBytes)*rejectedBodyDiscardFactor) // best effort: the connection is closed next
		return errs.New(errs.BodyTooLarge, fmt.Sprintf("more than %d bytes", maxBytes))
	}
	requestCtx.Request.SetBody(body)
	return nil
}
