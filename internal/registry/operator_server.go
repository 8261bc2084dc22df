package registry

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// Limits of the operators' HTTP API.
const (
	operatorMaxConns    = 1024             // most concurrent connections; further ones are refused
	operatorReadTimeout = 30 * time.Second // time to read a whole request
	operatorIdleTimeout = time.Minute      // time a keep-alive connection may wait for its next request
	maxChangeIDBytes    = 128              // length of the longest change id, in bytes
)

// operatorServer serves the operators' HTTP API: the paths under /v1, and an additional OperatorAPI if Run was given
// one. Its fields do not change after construction.
type operatorServer struct {
	state        *sharedState
	options      *liveOptions
	store        schema.DRPCStoreClient
	peers        *peerClients
	acknowledger *acknowledger
	backend      *operatorBackend
	status       *statusReporter
	additional   OperatorAPI // gets every request first; nil for none
}

// operatorHandler responds to one request. The registry's shutdown does not end ctx, since the shutdown waits for
// requests in flight.
type operatorHandler func(ctx context.Context, call *fasthttp.RequestCtx)

// listen serves the API at an address until the returned server is shut down. It fails with errs.InvalidOptions if it
// cannot listen at the address.
func (o *operatorServer) listen(ctx context.Context, address string) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, "operator-listen")
	}
	requestCtx := context.WithoutCancel(ctx)
	handlers := o.handlers()
	server := &fasthttp.Server{
		Name:                  "meadowhinge",
		Concurrency:           operatorMaxConns,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    int(o.state.config.maxChangeBytes),
		ReadTimeout:           operatorReadTimeout,
		IdleTimeout:           operatorIdleTimeout,
		CloseOnShutdown:       true,
		Handler:               func(call *fasthttp.RequestCtx) { o.route(requestCtx, handlers, call) },
		ErrorHandler:          writeMalformedRequest,
	}
	go func() { _ = server.Serve(listener) }() // returns at shutdown; no caller is left to report another error to
	return server, nil
}

// handlers returns the handlers by method and path. Paths that end with a change id are handled by route.
func (o *operatorServer) handlers() map[string]operatorHandler {
	return map[string]operatorHandler{
		"POST /v1/changes": o.handleChange,
		"GET /v1/setup":    o.handleConfig,
		"GET /v1/verdicts": o.handleVerdicts,
		"GET /v1/workers":  o.handleWorkers,
		"GET /v1/releases": o.handleReleases,
		"GET /v1/status":   o.handleStatus,
		"POST /v1/explain": o.handleExplain,
	}
}

// route dispatches a request to the additional API, to a path that ends with a change id, or to one of the handlers. It
// responds with errs.RouteNotFound if none of them matches.
func (o *operatorServer) route(ctx context.Context, handlers map[string]operatorHandler, call *fasthttp.RequestCtx) {
	if o.additional != nil && o.additional.Handle(call, o.backend) {
		return
	}
	path := string(call.Path())
	if id, matches := strings.CutPrefix(path, "/v1/changes/"); matches && call.IsGet() {
		o.handleOutcome(ctx, call, id)
		return
	}
	if id, matches := strings.CutPrefix(path, "/v1/trace/"); matches && call.IsGet() {
		o.handleTrace(ctx, call, id)
		return
	}
	handler, found := handlers[string(call.Method())+" "+path]
	if !found {
		daemon.WriteError(call, errs.New(errs.RouteNotFound, path), "", nil)
		return
	}
	handler(ctx, call)
	// A quorum that is missing now may be back after one lease renewal interval, so suggest to retry then.
	if call.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
		seconds := max(1, int64(o.queryTimeout()/time.Second))
		call.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
}

// queryTimeout returns the timeout of the RPCs behind a read-only operator request: one lease renewal interval.
func (o *operatorServer) queryTimeout() time.Duration {
	return o.state.config.lease / session.RenewalsPerLease
}

// writeMalformedRequest responds to a request that could not be read: with errs.BodyTooLarge if its body exceeds the
// limit, otherwise with errs.MalformedRequest.
func writeMalformedRequest(call *fasthttp.RequestCtx, err error) {
	code := errs.MalformedRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = errs.BodyTooLarge
	}
	daemon.WriteError(call, errs.Wrap(err, code, "reading the request"), "", nil)
}
