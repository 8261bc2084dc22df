package proxy

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/daemon"
	"meadowhinge/internal/defect"
	"meadowhinge/internal/dispatch"
)

// BeatSpeech takes what workers say of themselves at the workers' listener.
type BeatSpeech interface {
	Handle(call *fasthttp.RequestCtx, workers *dispatch.Workers)
}

// ownBeats is our own interface: one JSON description a call.
type ownBeats struct{}

// Handle takes a description and tells the instance that it stands under.
func (ownBeats) Handle(call *fasthttp.RequestCtx, workers *dispatch.Workers) {
	if string(call.Path()) != "/v1/worker" || !call.IsPost() {
		daemon.Refuse(call, defect.New(defect.NoRoute, string(call.Path())), "", nil)
		return
	}
	said := dispatch.Description{}
	decoder := json.NewDecoder(strings.NewReader(string(call.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&said); err != nil {
		daemon.Refuse(call, defect.Wrap(err, defect.Malformed, "description"), "", nil)
		return
	}
	if faults := said.Check(); len(faults) > 0 {
		daemon.Refuse(call, defect.New(defect.Malformed, "description"), "", faults)
		return
	}
	instance, err := workers.Describe(said)
	if err != nil {
		daemon.Refuse(call, err, "", nil)
		// It may do with the next beat.
		beat := time.Duration(said.BeatMS) * time.Millisecond
		call.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64((beat+time.Second-1)/time.Second), 10))
		return
	}
	daemon.Answer(call, fasthttp.StatusOK, map[string]string{"instance": instance})
}
