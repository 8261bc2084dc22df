package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/schema"
)

// Registered is the worker that a request is handed to, as it stands registered.
type Registered struct {
	Instance string
	Address  string
	Token    string
	Service  string
	Version  string
}

// Said is what an answer of a worker says beside its status and its body.
type Said struct {
	NotRun    bool // the worker's word that it did not run the request
	Elsewhere bool // another worker stands at this address, and did not run it either
	Stray     bool // it answers another request than ours
	Closing   bool // the worker gives the connection back with this answer
	// Unframed lets an answer that tells no length end where the worker closes its connection. Where
	// it is not set, such an answer is not whole, for it cannot be told from one cut short.
	Unframed bool
	// IdleMost is how long the worker keeps a connection that nothing comes on, 0 for not told.
	IdleMost time.Duration
	// The worker's load, by its own word; slots 0 for not told.
	Running, Waiting, Slots uint32
}

// WorkerSpeech is how a proxy and the workers beside it make themselves understood over
// HTTP: it reads and writes headers, and decides nothing.
type WorkerSpeech interface {
	// Dress sets what a request says to its worker beside method, target, body and the headers passed on.
	Dress(request *fasthttp.Request, carry *schema.Carry, worker Registered, left time.Duration)
	// Read tells what the head of an answer says.
	Read(header *fasthttp.ResponseHeader, carry *schema.Carry) Said
	// Sound tells whether a body that came whole can be what the worker meant to answer.
	Sound(header *fasthttp.ResponseHeader, body []byte) bool
	// Passes tells whether a header is passed on, from a caller or, with answer, to it.
	Passes(name []byte, answer bool) bool
}

// OwnSpeech is how workers are spoken to by this project's own interface.
type OwnSpeech struct{}

// Dress hands a worker the token it registered with, who calls, and what for.
func (OwnSpeech) Dress(request *fasthttp.Request, carry *schema.Carry, worker Registered, _ time.Duration) {
	request.Header.SetHost(worker.Address)
	request.Header.Set(HeaderToken, worker.Token)
	request.Header.Set(HeaderCaller, carry.Caller)
	request.Header.Set(HeaderRequest, carry.Request)
	request.Header.Set(HeaderVersion, carry.Version)
}

// Read finds the one thing that workers say: that the request was not meant for them.
func (OwnSpeech) Read(header *fasthttp.ResponseHeader, _ *schema.Carry) Said {
	return Said{Elsewhere: header.StatusCode() == fasthttp.StatusMisdirectedRequest && len(header.Peek(HeaderRefused)) > 0,
		Closing: header.ConnectionClose()}
}

// Sound refuses what calls itself JSON and is not.
func (OwnSpeech) Sound(header *fasthttp.ResponseHeader, body []byte) bool {
	kind, _, _ := strings.Cut(string(header.ContentType()), ";")
	return len(body) == 0 || strings.TrimSpace(strings.ToLower(kind)) != "application/json" || json.Valid(body)
}

// Passes keeps headers of our own namespace from coming in or out.
func (OwnSpeech) Passes(name []byte, _ bool) bool {
	return !HopHeader(name) && (len(name) < len(Namespace) || !bytes.EqualFold(name[:len(Namespace)], []byte(Namespace)))
}

// hopHeaders are meant for one connection only, or are set anew at each; by length, so that
// most names are told apart without looking at them.
var hopHeaders = func() map[int][][]byte {
	byLength := map[int][][]byte{}
	for _, name := range []string{"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding",
		"upgrade", "content-length", "host", "proxy-connection", "expect"} {
		byLength[len(name)] = append(byLength[len(name)], []byte(name))
	}
	return byLength
}()

// HopHeader tells whether a header is meant for one connection only, or is set anew at each.
func HopHeader(name []byte) bool {
	for _, one := range hopHeaders[len(name)] {
		if bytes.EqualFold(one, name) {
			return true
		}
	}
	return false
}
