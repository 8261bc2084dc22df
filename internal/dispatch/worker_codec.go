package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/schema"
)

// WorkerRegistration identifies the worker that a request is sent to, as it is registered.
type WorkerRegistration struct {
	Instance string
	Address  string // IP:port
	Token    string // by which the worker knows that a request is meant for it
	Service  string
	Version  string
}

// ResponseInfo is what the header of a worker's response says besides its status.
type ResponseInfo struct {
	NotExecuted      bool // the worker did not run the request
	WrongWorker      bool // another worker is at this address, and did not run the request either
	WrongRequest     bool // the response belongs to another request
	ClosesConnection bool // the worker closes the connection after this response
	// EndsAtClose lets a response without a length end where the worker closes its connection. Where it is not set,
	// such a response is invalid, because it cannot be distinguished from a truncated one.
	EndsAtClose bool
	// IdleTimeout is how long the worker keeps an idle connection open, 0 for not reported.
	IdleTimeout time.Duration
	// The worker's load as it reports it, in requests. Slots 0 means not reported.
	Running, Waiting, Slots uint32
}

// WorkerCodec translates between a proxy and the workers beside it: it writes and reads HTTP headers, and makes no
// decisions. Its methods are called concurrently.
type WorkerCodec interface {
	// WriteHeaders sets what a request says to its worker besides method, target, body and the headers passed on. left
	// is the time that the worker has to answer.
	WriteHeaders(httpRequest *fasthttp.Request, request *schema.ForwardRequest, worker WorkerRegistration, left time.Duration)
	// ReadHeader returns what the header of a response to the request says.
	ReadHeader(header *fasthttp.ResponseHeader, request *schema.ForwardRequest) ResponseInfo
	// ValidBody reports whether a body that arrived completely can be what the worker meant to answer.
	ValidBody(header *fasthttp.ResponseHeader, body []byte) bool
	// PassesHeader reports whether a header is passed on: to a caller if response is set, else to a worker.
	PassesHeader(name []byte, response bool) bool
}

// NativeCodec is the codec of the native worker API.
type NativeCodec struct{}

// WriteHeaders sets the worker's token, the caller, the request id and the version.
func (NativeCodec) WriteHeaders(httpRequest *fasthttp.Request, request *schema.ForwardRequest, worker WorkerRegistration, _ time.Duration) {
	httpRequest.Header.SetHost(worker.Address)
	httpRequest.Header.Set(HeaderToken, worker.Token)
	httpRequest.Header.Set(HeaderCaller, request.Caller)
	httpRequest.Header.Set(HeaderRequest, request.Request)
	httpRequest.Header.Set(HeaderVersion, request.Version)
}

// ReadHeader recognizes the one thing that workers report: that the request was not meant for them.
func (NativeCodec) ReadHeader(header *fasthttp.ResponseHeader, _ *schema.ForwardRequest) ResponseInfo {
	return ResponseInfo{
		WrongWorker:      header.StatusCode() == fasthttp.StatusMisdirectedRequest && len(header.Peek(HeaderRefused)) > 0,
		ClosesConnection: header.ConnectionClose(),
	}
}

// ValidBody rejects a body that is declared as JSON and is not.
func (NativeCodec) ValidBody(header *fasthttp.ResponseHeader, body []byte) bool {
	mediaType, _, _ := strings.Cut(string(header.ContentType()), ";")
	return len(body) == 0 || strings.TrimSpace(strings.ToLower(mediaType)) != "application/json" || json.Valid(body)
}

// PassesHeader keeps this project's own headers from being passed on.
func (NativeCodec) PassesHeader(name []byte, _ bool) bool {
	return !IsHopByHopHeader(name) && (len(name) < len(HeaderPrefix) || !bytes.EqualFold(name[:len(HeaderPrefix)], []byte(HeaderPrefix)))
}
