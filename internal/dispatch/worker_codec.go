package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/http1"
	"meadowhinge/schema"
)

// WorkerRegistration identifies the worker that a request is sent to.
type WorkerRegistration struct {
	Instance string // id of the registration
	Address  string // IP:port
	Token    string // token by which the worker recognizes requests meant for it
	Service  string
	Version  string
}

// ResponseInfo is the information that a [WorkerCodec] reads from the head of a worker's response.
type ResponseInfo struct {
	NotExecuted      bool // the worker did not run the request
	WrongWorker      bool // another worker has this address, and did not run the request
	WrongRequest     bool // the response belongs to another request
	ClosesConnection bool // the worker closes the connection after this response
	// EndsAtClose allows a response without a length to end where the worker closes the connection. Otherwise such a
	// response is invalid, because it cannot be distinguished from a truncated one.
	EndsAtClose bool
	// IdleTimeout is how long the worker keeps an idle connection open; 0 if not reported.
	IdleTimeout time.Duration
	// Running, Waiting and Slots are the worker's load as it reports it, in requests. Slots 0 means not reported.
	Running, Waiting, Slots uint32
}

// WorkerCodec translates between a proxy and its local workers: it writes and reads HTTP headers, and makes no
// decisions. Its methods are called concurrently.
type WorkerCodec interface {
	// WriteHeaders sets the headers of a request that are meant for the worker itself. Method, target, body and the
	// headers passed on from the caller are set already. left is the time that the worker has to answer.
	WriteHeaders(httpRequest *fasthttp.Request, request *schema.ForwardRequest, worker WorkerRegistration, left time.Duration)
	// ReadHeader reads the head of a response to the request.
	ReadHeader(head *http1.ResponseHead, request *schema.ForwardRequest) ResponseInfo
	// ValidBody reports whether a body that arrived completely is valid for its head.
	ValidBody(head *http1.ResponseHead, body []byte) bool
	// PassesHeader reports whether a header is passed on: from a worker to the caller if response is true, otherwise
	// from the caller to a worker.
	PassesHeader(name []byte, response bool) bool
}

// NativeCodec is the codec of this project's own worker API.
type NativeCodec struct{}

// WriteHeaders sets the headers for the host, the worker's token, the caller, the request id and the version.
func (NativeCodec) WriteHeaders(httpRequest *fasthttp.Request, request *schema.ForwardRequest, worker WorkerRegistration, _ time.Duration) {
	httpRequest.Header.SetHost(worker.Address)
	httpRequest.Header.Set(HeaderToken, worker.Token)
	httpRequest.Header.Set(HeaderCaller, request.Caller)
	httpRequest.Header.Set(HeaderRequest, request.Request)
	httpRequest.Header.Set(HeaderVersion, request.Version)
}

// ReadHeader recognizes the refusal of a request that was not meant for the worker, and whether the worker closes the
// connection.
func (NativeCodec) ReadHeader(head *http1.ResponseHead, _ *schema.ForwardRequest) ResponseInfo {
	return ResponseInfo{
		WrongWorker:      head.Status == fasthttp.StatusMisdirectedRequest && len(head.Value(HeaderRefused)) > 0,
		ClosesConnection: head.ClosesConnection,
	}
}

// ValidBody reports false for a body that is declared as JSON and is not valid JSON. An empty body is valid.
func (NativeCodec) ValidBody(head *http1.ResponseHead, body []byte) bool {
	mediaType, _, _ := strings.Cut(string(head.Value(fasthttp.HeaderContentType)), ";")
	return len(body) == 0 || strings.TrimSpace(strings.ToLower(mediaType)) != "application/json" || json.Valid(body)
}

// PassesHeader reports false for hop-by-hop headers and for headers that begin with HeaderPrefix.
func (NativeCodec) PassesHeader(name []byte, _ bool) bool {
	return !IsHopByHopHeader(name) && (len(name) < len(HeaderPrefix) || !bytes.EqualFold(name[:len(HeaderPrefix)], []byte(HeaderPrefix)))
}
