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

// HeartbeatHandler takes what workers say of themselves at the workers' listener.
type HeartbeatHandler interface {
	Handle(call *fasthttp.RequestCtx, workers *dispatch.Workers)
}

// nativeHeartbeatHandler is our own interface: one JSON description a call.
type nativeHeartbeatHandler struct{}

// Handle takes a description and tells the instance that it stands under.
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
		// It may do with the next beat.
		heartbeatInterval := time.Duration(description.HeartbeatMS) * time.Millisecond
		requestCtx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64((heartbeatInterval+time.Second-1)/time.Second), 10))
		return
	}
	daemon.WriteJSON(requestCtx, fasthttp.StatusOK, map[string]string{"instance": instance})
}
