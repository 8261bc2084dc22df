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

// operationHeader carries the name of a request (CallEntry.Operation) from caller to worker.
const operationHeader = "X-Op"

// callerRetryHeader carries CallEntry.CallerRetry.
const callerRetryHeader = "X-Ask"

// Worker is a fake worker. It executes the requests that bear its token, and records each execution.
type Worker struct {
	name                string
	description         dispatch.WorkerDescription
	registrationAddress string // IP:port at which its proxy takes registrations
	history             *History
	now                 func() time.Duration
	delay               time.Duration // of each request

	lock      sync.Mutex // guards description and conns
	conns     map[net.Conn]bool
	listener  net.Listener
	stopped   chan struct{}
	killed    atomic.Bool
	draining  atomic.Bool
	inFlight  atomic.Int64
	fault     atomic.Pointer[WorkerFault]
	onRequest atomic.Pointer[func(call *fasthttp.RequestCtx)] // called for each request before the response is written
}

// WorkerFault is how a worker misbehaves.
type WorkerFault struct {
	Prefix          string        // only on paths that begin with it; empty for all
	ReturnsError    bool          // answers 500
	ExtraDelay      time.Duration // takes this much longer
	DropsResponse   bool          // executes the request and closes the connection
	GarblesResponse bool          // answers with a cut JSON body
	AboveInFlight   int64         // faulty only while more requests than this are in flight; the delay then comes before the execution, in any case
}

// SetFault makes the worker faulty; nil ends that.
func (w *Worker) SetFault(fault *WorkerFault) { w.fault.Store(fault) }

// heartbeatInterval is between two heartbeats of a worker.
const heartbeatInterval = time.Second

// trackingListener keeps the connections that it accepted, so that Kill can reset them.
type trackingListener struct {
	net.Listener
	worker *Worker
}

// Accept accepts a connection and adds it to the worker's.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.worker.lock.Lock()
		l.worker.conns[conn] = true
		l.worker.lock.Unlock()
	}
	return conn, err
}

// WorkerOptions say what a worker is and where it runs.
type WorkerOptions struct {
	Name                string
	Service             string
	Version             string
	Zone                string
	Address             string        // IP:port at which it takes requests
	RegistrationAddress string        // IP:port at which its proxy takes registrations
	Delay               time.Duration // that each request takes
}

// StartWorker starts a worker and registers it with its proxy, at once and with each heartbeat. It records what it
// executes in the history, with times of now.
func StartWorker(o WorkerOptions, history *History, now func() time.Duration) (*Worker, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "worker")
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
	// Connections that proxies close are expected; where one matters, the history has it.
	discard := log.New(io.Discard, "", 0)
	server := &fasthttp.Server{Handler: w.handle, NoDefaultServerHeader: true, Concurrency: 10000, Logger: discard}
	go func() { _ = server.Serve(trackingListener{listener, w}) }()
	go w.heartbeatLoop()
	return w, nil
}

// handle serves one request.
func (w *Worker) handle(call *fasthttp.RequestCtx) {
	if w.killed.Load() {
		call.HijackSetNoResponse(true)
		call.Hijack(func(net.Conn) {})
		return
	}
	operation := string(call.Request.Header.Peek(operationHeader))
	if string(call.Request.Header.Peek(dispatch.HeaderToken)) != w.description.Token {
		// Meant for another worker: it is rejected, and was not executed.
		appendEntry(w.history, &w.history.MisdirectedRequests, w.name+" refused "+operation)
		call.Response.Header.Set(dispatch.HeaderRefused, "token")
		call.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	// Calls past the mesh only measure what the mesh adds.
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

// simulateWork takes as long as a request asks for, or until its connection ends, and records the end.
func (w *Worker) simulateWork(call *fasthttp.RequestCtx, operation string) {
	requestedMS, err := strconv.Atoi(string(call.Request.Header.Peek(workDurationHeader)))
	if err != nil {
		return
	}
	conn, connEnded := call.Conn(), make(chan bool, 1)
	go func() {
		// A proxy sends nothing before it has its response, so a read returns only at the end of the connection, or
		// at the deadline set below.
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

// directPath is the path of calls past the mesh, which are not recorded.
const directPath = "/direct"

// respond writes the response, once the worker's delay is over.
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

// register sends a heartbeat with the worker's description, once change was applied to it.
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
		return errs.Wrap(err, errs.PeerConnectionLost, w.name)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errs.New(errs.MalformedRequest, string(response.Body()))
	}
	return nil
}

// CallDirectly sends one call straight to the worker and returns how long it took.
func (w *Worker) CallDirectly() (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.description.Address + directPath)
	request.Header.Set(dispatch.HeaderToken, w.description.Token)
	begin := time.Now()
	err := fasthttp.DoTimeout(request, response, heartbeatInterval)
	return time.Since(begin), errs.Wrap(err, errs.WorkerConnectionLost, w.name)
}

// heartbeatLoop sends heartbeats until the worker is killed. A lost one is made up for by the next.
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

// Drain reports that the worker drains. It goes on serving.
func (w *Worker) Drain() error {
	w.draining.Store(true)
	err := w.register(func(description *dispatch.WorkerDescription) { description.Draining = true })
	appendEntry(w.history, &w.history.WorkerExits, WorkerExitEntry{w.name, w.now()})
	return err
}

// Shutdown deregisters the worker, waits for its requests in flight, and ends it.
func (w *Worker) Shutdown() {
	_ = w.register(func(description *dispatch.WorkerDescription) { description.Deregistered = true })
	for w.inFlight.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	w.Kill()
}

// Kill ends the worker as a crash does: every connection is reset, and nothing is reported.
func (w *Worker) Kill() {
	if w.killed.Swap(true) {
		return
	}
	close(w.stopped)
	_ = w.listener.Close() // a second close fails, and changes nothing
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
