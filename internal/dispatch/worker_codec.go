package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/schema"
)

// WorkerRegistration is the worker that a request is handed to, as it stands registered.
type WorkerRegistration struct {
	Instance string
	Address  string
	Token    string
	Service  string
	Version  string
}

// ResponseInfo is what an answer of a worker says beside its status and its body.
type ResponseInfo struct {
	NotExecuted      bool // the worker's word that it did not run the request
	WrongWorker      bool // another worker stands at this address, and did not run it either
	WrongRequest     bool // it answers another request than ours
	ClosesConnection bool // the worker gives the connection back with this answer
	// EndsAtClose lets an answer that tells no length end where the worker closes its connection. Where
	// it is not set, such an answer is not whole, for it cannot be told from one cut short.
	EndsAtClose bool
	// IdleTimeout is how long the worker keeps a connection that nothing comes on, 0 for not told.
	IdleTimeout time.Duration
	// The worker's load, by its own word; slots 0 for not told.
	Running, Waiting, Slots uint32
}

// WorkerCodec is how a proxy and the workers beside it make themselves understood over
// HTTP: it reads and writes headers, and decides nothing.
type WorkerCodec interface {
	// WriteHeaders sets what a request says to its worker beside method, target, body and the headers passed on.
	WriteHeaders(request *fasthttp.Request, carry *schema.ForwardRequest, worker WorkerRegistration, left time.Duration)
	// ReadHeader tells what the head of an answer says.
	ReadHeader(header *fasthttp.ResponseHeader, carry *schema.ForwardRequest) ResponseInfo
	// ValidBody tells whether a body that came whole can be what the worker meant to answer.
	ValidBody(header *fasthttp.ResponseHeader, body []byte) bool
	// PassesHeader tells whether a header is passed on, from a caller or, with answer, to it.
	PassesHeader(name []byte, answer bool) bool
}

// NativeCodec is how workers are spoken to by this project's own interface.
type NativeCodec struct{}

// WriteHeaders hands a worker the token it registered with, who calls, and what for.
func (NativeCodec) WriteHeaders(httpRequest *fasthttp.Request, request *schema.ForwardRequest, worker WorkerRegistration, _ time.Duration) {
	httpRequest.Header.SetHost(worker.Address)
	httpRequest.Header.Set(HeaderToken, worker.Token)
	httpRequest.Header.Set(HeaderCaller, request.Caller)
	httpRequest.Header.Set(HeaderRequest, request.Request)
	httpRequest.Header.Set(HeaderVersion, request.Version)
}

// ReadHeader finds the one thing that workers say: that the request was not meant for them.
func (NativeCodec) ReadHeader(header *fasthttp.ResponseHeader, _ *schema.ForwardRequest) ResponseInfo {
	return ResponseInfo{WrongWorker: header.StatusCode() == fasthttp.StatusMisdirectedRequest && len(header.Peek(HeaderRefused)) > 0,
		ClosesConnection: header.ConnectionClose()}
}

// ValidBody refuses what calls itself JSON and is not.
func (NativeCodec) ValidBody(header *fasthttp.ResponseHeader, body []byte) bool {
	mediaType, _, _ := strings.Cut(string(header.ContentType()), ";")
	return len(body) == 0 || strings.TrimSpace(strings.ToLower(mediaType)) != "application/json" || json.Valid(body)
}

// PassesHeader keeps headers of our own namespace from coming in or out.
func (NativeCodec) PassesHeader(name []byte, _ bool) bool {
	return !IsHopByHopHeader(name) && (len(name) < len(HeaderPrefix) || !bytes.EqualFold(name[:len(HeaderPrefix)], []byte(HeaderPrefix)))
}
