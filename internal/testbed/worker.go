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

// operationHeader carries the name of a request from caller to worker.
const operationHeader = "X-Op"

// callerRetryHeader tells how often the request had been asked for before.
const callerRetryHeader = "X-Ask"

// Worker is a stand-in worker. It runs what bears its token, and writes each run down.
type Worker struct {
	name                string
	description         dispatch.WorkerDescription
	registrationAddress string // where the proxy beside it takes descriptions
	history             *History
	now                 func() time.Duration
	delay               time.Duration

	lock      sync.Mutex
	conns     map[net.Conn]bool
	listener  net.Listener
	stopped   chan struct{}
	killed    atomic.Bool
	draining  atomic.Bool
	inFlight  atomic.Int64
	fault     atomic.Pointer[WorkerFault]
	onRequest atomic.Pointer[func(call *fasthttp.RequestCtx)] // what is done for an answer, besides
}

// WorkerFault is how a bad version behaves.
type WorkerFault struct {
	Prefix          string        // only on paths with it; empty for all
	ReturnsError    bool          // answers 500
	ExtraDelay      time.Duration // takes this much longer
	DropsResponse   bool          // does the work and loses the answer
	GarblesResponse bool          // answers what is no JSON
	AboveInFlight   int64         // ill only while more calls than this are under way at the worker
}

// SetFault makes the worker ill, or well with nil.
func (w *Worker) SetFault(fault *WorkerFault) { w.fault.Store(fault) }

// heartbeatInterval is how often stand-in workers describe themselves.
const heartbeatInterval = time.Second

type trackingListener struct {
	net.Listener
	worker *Worker
}

func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.worker.lock.Lock()
		l.worker.conns[conn] = true
		l.worker.lock.Unlock()
	}
	return conn, err
}

// StartWorker begins a worker at an address and keeps describing it to its proxy.
func StartWorker(name, service, version, zone, address, registrationAddress string, delay time.Duration, history *History, now func() time.Duration) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "worker")
	}
	w := &Worker{name: name, registrationAddress: registrationAddress, history: history, now: now, delay: delay, conns: map[net.Conn]bool{}, listener: listener, stopped: make(chan struct{}),
		description: dispatch.WorkerDescription{Address: address, Service: service, Version: version, Zone: zone, Token: fmt.Sprintf("%s-%d", name, now()), HeartbeatMS: heartbeatInterval.Milliseconds()}}
	// That a proxy closed a connection is noted in the ledger where it counts.
	discard := log.New(io.Discard, "", 0)
	server := &fasthttp.Server{Handler: w.handle, NoDefaultServerHeader: true, Concurrency: 10000, Logger: discard}
	go func() { _ = server.Serve(trackingListener{listener, w}) }()
	go w.heartbeatLoop()
	return w, nil
}

func (w *Worker) handle(call *fasthttp.RequestCtx) {
	if w.killed.Load() {
		call.HijackSetNoResponse(true)
		call.Hijack(func(net.Conn) {})
		return
	}
	operation := string(call.Request.Header.Peek(operationHeader))
	if string(call.Request.Header.Peek(dispatch.HeaderToken)) != w.description.Token {
		// Not meant for this worker: it says so, and has not run it.
		appendEntry(w.history, &w.history.MisdirectedRequests, w.name+" refused "+operation)
		call.Response.Header.Set(dispatch.HeaderRefused, "token")
		call.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	w.inFlight.Add(1)
	defer w.inFlight.Add(-1)
	// What is sent past the mesh, to measure what the mesh adds, is not of its ledger.
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
	appendEntry(w.history, &w.history.Executions, ExecutionEntry{Operation: operation, CallerRetry: callerRetry, Caller: string(call.Request.Header.Peek(dispatch.HeaderCaller)), Service: w.description.Service,
		Version: w.description.Version, Worker: w.name, At: w.now(), Faulty: faulty})
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

// simulateWork takes as long as a request asks, or until the connection that it came on ends.
func (w *Worker) simulateWork(call *fasthttp.RequestCtx, operation string) {
	requestedMS, err := strconv.Atoi(string(call.Request.Header.Peek(workDurationHeader)))
	if err != nil {
		return
	}
	conn, connEnded := call.Conn(), make(chan bool, 1)
	go func() {
		// A proxy sends nothing before it has its answer, so what can be read is the end.
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

// directPath is for calls past the mesh.
const directPath = "/direct"

// respond does the work and answers.
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

// CallDirectly sends one call straight to the worker and tells how long it took.
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

// Drain says that the worker is emptying, and goes on serving what it has.
func (w *Worker) Drain() error {
	w.draining.Store(true)
	err := w.register(func(description *dispatch.WorkerDescription) { description.Draining = true })
	appendEntry(w.history, &w.history.WorkerExits, WorkerExitEntry{w.name, w.now()})
	return err
}

// Shutdown says that the worker is gone, waits for what it runs, and ends.
func (w *Worker) Shutdown() {
	_ = w.register(func(description *dispatch.WorkerDescription) { description.Deregistered = true })
	for w.inFlight.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	w.Kill()
}

// Kill ends the worker at once, as a crash does: every connection is reset, nothing said.
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
