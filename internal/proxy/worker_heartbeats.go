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

// HeartbeatHandler serves the requests with which workers register and send heartbeats, at the workers' listener.
// Implementations must be safe for concurrent use.
type HeartbeatHandler interface {
	// Handle registers the worker that the request describes, or renews its registration, and writes the response to
	// call.
	Handle(call *fasthttp.RequestCtx, workers *dispatch.Workers)
}

// nativeHeartbeatHandler implements the mesh's native API: POST /v1/worker with one worker description as JSON.
type nativeHeartbeatHandler struct{}

// Handle registers the worker and answers with its instance name.
func (nativeHeartbeatHandler) Handle(requestCtx *fasthttp.RequestCtx, workers *dispatch.Workers) {
	if string(requestCtx.Path()) != "/v1/worker" || !requestCtx.IsPost() {
		daemon.WriteError(requestCtx, errs.New(errs.RouteNotFound, string(requestCtx.Path())), "", nil)
		return
	}
	description := dispatch.WorkerDescription{}
	decoder := json.NewDecoder(strings.NewReader(string(requestCtx.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&description); err != nil {
		daemon.WriteError(requestCtx, errs.Wrap(err, errs.MalformedRequest, "decode worker description"), "", nil)
		return
	}
	if fieldErrors := description.Validate(); len(fieldErrors) > 0 {
		daemon.WriteError(requestCtx, errs.New(errs.MalformedRequest, "worker description has invalid fields"), "", fieldErrors)
		return
	}
	instance, err := workers.Register(description)
	if err != nil {
		daemon.WriteError(requestCtx, err, "", nil)
		// The registration may succeed with the next heartbeat.
		heartbeatInterval := time.Duration(description.HeartbeatMS) * time.Millisecond
		requestCtx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(ceilSeconds(heartbeatInterval), 10))
		return
	}
	daemon.WriteJSON(requestCtx, fasthttp.StatusOK, map[string]string{"instance": instance})
}
