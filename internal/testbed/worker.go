package testbed

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
)

// operationHeader is the request header with the name of the operation (CallEntry.Operation), which callers set.
const operationHeader = "X-Op"

// callerRetryHeader is the request header with CallEntry.CallerRetry, which callers set.
const callerRetryHeader = "X-Ask"

// Worker is a fake worker. It executes requests that carry its token and records each execution. Its methods may be
// called concurrently.
type Worker struct {
	name                string
	description         dispatch.WorkerDescription // what the worker registers; lock guards the fields that register changes
	registrationAddress string                     // IP:port at which the worker's proxy takes registrations
	history             *History
	now                 func() time.Duration // time since the run began
	delay               time.Duration        // time that each request takes

	lock     sync.Mutex        // guards conns and the changes of description
	conns    map[net.Conn]bool // all connections that were accepted
	listener net.Listener
	stopped  chan struct{} // closed by Kill; ends the heartbeats
	killed   atomic.Bool
	draining atomic.Bool
	inFlight atomic.Int64                // number of requests with the right token that are not yet answered
	fault    atomic.Pointer[WorkerFault] // nil while the worker is not faulty
	// onRequest, if not nil, is called for each request before the response is written.
	onRequest atomic.Pointer[func(call *fasthttp.RequestCtx)]
}

// WorkerFault describes how a worker misbehaves.
type WorkerFault struct {
	Prefix          string        // path prefix to which the fault is limited; empty for all paths
	ReturnsError    bool          // the worker answers with status 500
	ExtraDelay      time.Duration // the worker takes this much longer for a request
	DropsResponse   bool          // the worker executes the request and closes the connection without a response
	GarblesResponse bool          // the worker answers with a truncated JSON body
	// AboveInFlight limits the fault to times when more than this number of requests are in flight. If it is not 0,
	// ExtraDelay applies to every request, whatever its path, and before its execution is recorded.
	AboveInFlight int64
}

// SetFault makes the worker faulty. A nil fault ends the fault that was set before.
func (w *Worker) SetFault(fault *WorkerFault) { w.fault.Store(fault) }

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = time.Second

// trackingListener adds the connections that it accepts to its worker, so that Kill can reset them.
type trackingListener struct {
	net.Listener
	worker *Worker
}

// Accept accepts a connection and adds it to the worker's connections.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.worker.lock.Lock()
		l.worker.conns[conn] = true
		l.worker.lock.Unlock()
	}
	return conn, err
}

// WorkerOptions configure a worker.
type WorkerOptions struct {
	Name                string // unique name in the history
	Service             string
	Version             string
	Zone                string
	Address             string        // IP:port at which the worker takes requests
	RegistrationAddress string        // IP:port at which the worker's proxy takes registrations
	Delay               time.Duration // time that each request takes
}

// StartWorker starts a worker, which runs until Kill or Shutdown is called. The worker registers with its proxy at once
// and then with each heartbeat, and records its executions in the history, with times from now. StartWorker fails with
// errs.Internal if the worker cannot listen at its address.
func StartWorker(o WorkerOptions, history *History, now func() time.Duration) (*Worker, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, fmt.Sprintf("worker %s cannot listen at %s", o.Name, o.Address))
	}
	w := &Worker{
		name:                o.Name,
		registrationAddress: o.RegistrationAddress,
		history:             history,
		now:                 now,
		delay:               o.Delay,
		conns:               map[net.Conn]bool{},
		listener:            listener,
		stopped:             make(chan struct{}),
		description: dispatch.WorkerDescription{
			Address:     o.Address,
			Service:     o.Service,
			Version:     o.Version,
			Zone:        o.Zone,
			Token:       fmt.Sprintf("%s-%d", o.Name, now()),
			HeartbeatMS: heartbeatInterval.Milliseconds(),
		},
	}
	// The server's log is discarded: it reports connections that proxies close, which is expected. Closed connections
	// that matter are in the history.
	discard := log.New(io.Discard, "", 0)
	server := &fasthttp.Server{Handler: w.handle, NoDefaultServerHeader: true, Concurrency: 10000, Logger: discard}
	go func() { _ = server.Serve(trackingListener{listener, w}) }()
	go w.heartbeatLoop()
	return w, nil
}

// handle serves one request. A worker that was killed closes the connection without a response.
func (w *Worker) handle(call *fasthttp.RequestCtx) {
	if w.killed.Load() {
		call.HijackSetNoResponse(true)
		call.Hijack(func(net.Conn) {})
		return
	}
	operation := string(call.Request.Header.Peek(operationHeader))
	if string(call.Request.Header.Peek(dispatch.HeaderToken)) != w.description.Token {
		// The request was meant for another worker, so it is rejected without being executed.
		appendEntry(w.history, &w.history.MisdirectedRequests, w.name+" refused "+operation)
		call.Response.Header.Set(dispatch.HeaderRefused, "token")
		call.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	// Calls that bypass the mesh are only a baseline for latencies: they are not recorded and no fault applies.
	if string(call.Path()) == directPath {
		w.respond(call, operation)
		return
	}
	fault := w.fault.Load()
	faulty := fault != nil && strings.HasPrefix(string(call.Path()), fault.Prefix) && w.inFlight.Load() > fault.AboveInFlight
	if fault != nil && fault.AboveInFlight > 0 {
		time.Sleep(fault.ExtraDelay)
	}
	callerRetry, _ := strconv.Atoi(string(call.Request.Header.Peek(callerRetryHeader)))
	appendEntry(w.history, &w.history.Executions, ExecutionEntry{
		Operation:   operation,
		CallerRetry: callerRetry,
		Caller:      string(call.Request.Header.Peek(dispatch.HeaderCaller)),
		Service:     w.description.Service,
		Version:     w.description.Version,
		Worker:      w.name,
		At:          w.now(),
		Faulty:      faulty,
	})
	if faulty && fault.AboveInFlight == 0 {
		time.Sleep(fault.ExtraDelay)
	}
	w.simulateWork(call, operation)
	w.respond(call, operation)
	switch {
	case !faulty:
	case fault.ReturnsError:
		call.SetStatusCode(fasthttp.StatusInternalServerError)
	case fault.DropsResponse:
		call.HijackSetNoResponse(true)
		call.Hijack(func(net.Conn) {})
	case fault.GarblesResponse:
		call.SetBodyString(`{"op": "` + operation + `", "worker`)
	}
}

// simulateWork works for the duration that the request asks for in workDurationHeader, or until its connection ends, and
// records the end. Without the header it returns at once.
func (w *Worker) simulateWork(call *fasthttp.RequestCtx, operation string) {
	requestedMS, err := strconv.Atoi(string(call.Request.Header.Peek(workDurationHeader)))
	if err != nil {
		return
	}
	conn, connEnded := call.Conn(), make(chan bool, 1)
	go func() {
		// A proxy sends nothing more before it has the response. The read therefore returns only when the connection
		// ends or at the deadline that is set below.
		_, err := conn.Read(make([]byte, 1))
		connEnded <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}()
	connLost := false
	select {
	case connLost = <-connEnded:
	case <-time.After(time.Duration(requestedMS) * time.Millisecond):
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		connLost = <-connEnded
		_ = conn.SetReadDeadline(time.Time{})
	}
	appendEntry(w.history, &w.history.ExecutionEnds, ExecutionEndEntry{operation, w.name, w.now(), connLost})
}

// directPath is the path of calls that bypass the mesh.
const directPath = "/direct"

// respond waits for the worker's delay and writes the response.
func (w *Worker) respond(call *fasthttp.RequestCtx, operation string) {
	if w.delay > 0 {
		time.Sleep(w.delay)
	}
	if onRequest := w.onRequest.Load(); onRequest != nil {
		(*onRequest)(call)
	}
	text, _ := json.Marshal(fakebackend.NewReply(operation, w.name, string(bytes.Repeat([]byte("x"), 200))))
	call.SetContentType("application/json")
	call.SetBody(text)
}

// register applies change, if it is not nil, to the worker's description and sends the description to the proxy as a
// heartbeat. It fails with errs.PeerConnectionLost if the proxy does not answer, and with errs.MalformedRequest if it
// rejects the description.
func (w *Worker) register(change func(*dispatch.WorkerDescription)) error {
	w.lock.Lock()
	if change != nil {
		change(&w.description)
	}
	description := w.description
	w.lock.Unlock()
	description.Load = float64(w.inFlight.Load()) / 100
	text, _ := json.Marshal(description)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.registrationAddress + "/v1/worker")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(text)
	if err := fasthttp.DoTimeout(request, response, heartbeatInterval); err != nil {
		return errs.Wrap(err, errs.PeerConnectionLost,
			fmt.Sprintf("worker %s got no response from its proxy at %s", w.name, w.registrationAddress))
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errs.New(errs.MalformedRequest, fmt.Sprintf("worker %s was rejected by its proxy at %s with status %d: %s",
			w.name, w.registrationAddress, response.StatusCode(), response.Body()))
	}
	return nil
}

// CallDirectly sends one call to the worker without the mesh and returns how long it took. It fails with
// errs.WorkerConnectionLost if there was no response.
func (w *Worker) CallDirectly() (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.description.Address + directPath)
	request.Header.Set(dispatch.HeaderToken, w.description.Token)
	begin := time.Now()
	err := fasthttp.DoTimeout(request, response, heartbeatInterval)
	return time.Since(begin), errs.Wrap(err, errs.WorkerConnectionLost, "direct call of worker "+w.name+" at "+w.description.Address)
}

// heartbeatLoop sends heartbeats until the worker is killed. Errors are ignored, because the next heartbeat makes up for
// a lost one.
func (w *Worker) heartbeatLoop() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		_ = w.register(nil)
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
	}
}

// Drain reports to the proxy that the worker is draining and records the time. The worker keeps serving. Drain fails
// like register if the report is not accepted.
func (w *Worker) Drain() error {
	w.draining.Store(true)
	err := w.register(func(description *dispatch.WorkerDescription) { description.Draining = true })
	appendEntry(w.history, &w.history.WorkerExits, WorkerExitEntry{w.name, w.now()})
	return err
}

// Shutdown deregisters the worker, waits until no request is in flight, and ends the worker. Deregistration is not
// retried if it fails.
func (w *Worker) Shutdown() {
	_ = w.register(func(description *dispatch.WorkerDescription) { description.Deregistered = true })
	for w.inFlight.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	w.Kill()
}

// Kill ends the worker as a crash would: it resets every connection and reports nothing to the proxy. It records the
// time unless Drain was called before.
func (w *Worker) Kill() {
	if w.killed.Swap(true) {
		return
	}
	close(w.stopped)
	_ = w.listener.Close() // an error means that it is closed already
	w.lock.Lock()
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // reset rather than close; best effort
		}
		_ = conn.Close()
	}
	w.lock.Unlock()
	if !w.draining.Load() {
		appendEntry(w.history, &w.history.WorkerExits, WorkerExitEntry{w.name, w.now()})
	}
}
