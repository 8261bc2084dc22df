package proxy

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
)

// HeartbeatHandler serves the requests with which workers describe themselves, at the workers' listener. Several
// goroutines call it at the same time.
type HeartbeatHandler interface {
	// Handle registers the worker that the request describes, or renews its registration, and answers it.
	Handle(call *fasthttp.RequestCtx, workers *dispatch.Workers)
}

// nativeHeartbeatHandler is the mesh's own interface: each request carries one description as JSON.
type nativeHeartbeatHandler struct{}

// Handle registers the worker and answers with the instance name that it got.
func (nativeHeartbeatHandler) Handle(requestCtx *fasthttp.RequestCtx, workers *dispatch.Workers) {
	if string(requestCtx.Path()) != "/v1/worker" || !requestCtx.IsPost() {
		daemon.WriteError(requestCtx, errs.New(errs.RouteNotFound, string(requestCtx.Path())), "", nil)
		return
	}
	description := dispatch.WorkerDescription{}
	decoder := json.NewDecoder(strings.NewReader(string(requestCtx.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&description); err != nil {
		daemon.WriteError(requestCtx, errs.Wrap(err, errs.MalformedRequest, "description"), "", nil)
		return
	}
	if fieldErrors := description.Validate(); len(fieldErrors) > 0 {
		daemon.WriteError(requestCtx, errs.New(errs.MalformedRequest, "description"), "", fieldErrors)
		return
	}
	instance, err := workers.Register(description)
	if err != nil {
		daemon.WriteError(requestCtx, err, "", nil)
		// The next heartbeat may succeed.
		heartbeatInterval := time.Duration(description.HeartbeatMS) * time.Millisecond
		requestCtx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(ceilSeconds(heartbeatInterval), 10))
		return
	}
	daemon.WriteJSON(requestCtx, fasthttp.StatusOK, map[string]string{"instance": instance})
}
