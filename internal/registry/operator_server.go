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

// Limits of the operators' HTTP interface.
const (
	operatorMaxConns    = 1024 // served at once; further ones are refused
	operatorReadTimeout = 30 * time.Second
	operatorIdleTimeout = time.Minute
	maxChangeIDBytes    = 128
)

// operatorServer serves the operators' HTTP interface: the paths under /v1, and another dialect if one was given to Run. Its
// fields are set at the start and do not change.
type operatorServer struct {
	state        *sharedState
	options      *liveOptions
	store        schema.DRPCStoreClient
	peers        *peerClients
	acknowledger *acknowledger
	backend      *operatorBackend
	status       *statusReporter
	dialect      OperatorAPI // nil for none
}

// operatorHandler answers one call. ctx is not ended by the registry's shutdown, which waits for calls in flight.
type operatorHandler func(ctx context.Context, call *fasthttp.RequestCtx)

// listen opens the interface and serves it until the returned server is shut down. It fails with errs.InvalidOptions if the
// address cannot be listened at.
func (o *operatorServer) listen(ctx context.Context, address string) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidOptions, "operator-listen")
	}
	callCtx := context.WithoutCancel(ctx)
	handlers := o.handlers()
	server := &fasthttp.Server{
		Name:                  "meadowhinge",
		Concurrency:           operatorMaxConns,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    int(o.state.config.maxChangeBytes),
		ReadTimeout:           operatorReadTimeout,
		IdleTimeout:           operatorIdleTimeout,
		CloseOnShutdown:       true,
		Handler:               func(call *fasthttp.RequestCtx) { o.route(callCtx, handlers, call) },
		ErrorHandler:          writeMalformedRequest,
	}
	go func() { _ = server.Serve(listener) }() // it ends with the server's shutdown; there is no one to report another end to
	return server, nil
}

// handlers are the handlers by method and path; what is not among them does not exist, but for the prefixes of route.
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

// route answers a call by the dialect, by a path that ends with a change id, or by one of the handlers.
func (o *operatorServer) route(ctx context.Context, handlers map[string]operatorHandler, call *fasthttp.RequestCtx) {
	if o.dialect != nil && o.dialect.Handle(call, o.backend) {
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
	// Without a majority now, there may be one once leases have been renewed.
	if call.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
		seconds := max(1, int64(o.queryTimeout()/time.Second))
		call.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
}

// queryTimeout bounds the RPCs that answer an operator's question.
func (o *operatorServer) queryTimeout() time.Duration {
	return o.state.config.lease / session.RenewalsPerLease
}

// writeMalformedRequest answers a request that cannot be read.
func writeMalformedRequest(call *fasthttp.RequestCtx, err error) {
	code := errs.MalformedRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = errs.BodyTooLarge
	}
	daemon.WriteError(call, errs.Wrap(err, code, "request"), "", nil)
}
