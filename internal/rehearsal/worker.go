package rehearsal

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

// opHeader carries the name of a request from caller to worker.
const opHeader = "X-Op"

// askHeader tells how often the request had been asked for before.
const askHeader = "X-Ask"

// Worker is a stand-in worker. It runs what bears its token, and writes each run down.
type Worker struct {
	name    string
	said    dispatch.WorkerDescription
	describ string // where the proxy beside it takes descriptions
	ledger  *Ledger
	now     func() time.Duration
	delay   time.Duration

	lock     sync.Mutex
	conns    map[net.Conn]bool
	listener net.Listener
	ended    chan struct{}
	dead     atomic.Bool
	leaving  atomic.Bool
	running  atomic.Int64
	illness  atomic.Pointer[Illness]
	onward   atomic.Pointer[func(call *fasthttp.RequestCtx)] // what is done for an answer, besides
}

// Illness is how a bad version behaves.
type Illness struct {
	Prefix string        // only on paths with it; empty for all
	Fails  bool          // answers 500
	Delay  time.Duration // takes this much longer
	Loses  bool          // does the work and loses the answer
	Babble bool          // answers what is no JSON
	Load   int64         // ill only while more calls than this are under way at the worker
}

// Fall makes the worker ill, or well with nil.
func (w *Worker) Fall(ill *Illness) { w.illness.Store(ill) }

// beat is how often stand-in workers describe themselves.
const beat = time.Second

type countedListener struct {
	net.Listener
	worker *Worker
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.worker.lock.Lock()
		l.worker.conns[conn] = true
		l.worker.lock.Unlock()
	}
	return conn, err
}

// StartWorker begins a worker at an address and keeps describing it to its proxy.
func StartWorker(name, service, version, area, address, proxyAddress string, delay time.Duration, ledger *Ledger, now func() time.Duration) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "worker")
	}
	w := &Worker{name: name, describ: proxyAddress, ledger: ledger, now: now, delay: delay, conns: map[net.Conn]bool{}, listener: listener, ended: make(chan struct{}),
		said: dispatch.WorkerDescription{Address: address, Service: service, Version: version, Zone: area, Token: fmt.Sprintf("%s-%d", name, now()), HeartbeatMS: beat.Milliseconds()}}
	// That a proxy closed a connection is noted in the ledger where it counts.
	silent := log.New(io.Discard, "", 0)
	server := &fasthttp.Server{Handler: w.handle, NoDefaultServerHeader: true, Concurrency: 10000, Logger: silent}
	go func() { _ = server.Serve(countedListener{listener, w}) }()
	go w.keepDescribing()
	return w, nil
}

func (w *Worker) handle(call *fasthttp.RequestCtx) {
	if w.dead.Load() {
		call.HijackSetNoResponse(true)
		call.Hijack(func(net.Conn) {})
		return
	}
	op := string(call.Request.Header.Peek(opHeader))
	if string(call.Request.Header.Peek(dispatch.HeaderToken)) != w.said.Token {
		// Not meant for this worker: it says so, and has not run it.
		note(w.ledger, &w.ledger.Strays, w.name+" refused "+op)
		call.Response.Header.Set(dispatch.HeaderRefused, "token")
		call.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	// What is sent past the mesh, to measure what the mesh adds, is not of its ledger.
	if string(call.Path()) == directPath {
		w.answer(call, op)
		return
	}
	ill := w.illness.Load()
	struck := ill != nil && strings.HasPrefix(string(call.Path()), ill.Prefix) && w.running.Load() > ill.Load
	if ill != nil && ill.Load > 0 {
		time.Sleep(ill.Delay)
	}
	ask, _ := strconv.Atoi(string(call.Request.Header.Peek(askHeader)))
	note(w.ledger, &w.ledger.Runs, RunEntry{Op: op, Ask: ask, Caller: string(call.Request.Header.Peek(dispatch.HeaderCaller)), Service: w.said.Service,
		Version: w.said.Version, Worker: w.name, At: w.now(), Ill: struck})
	if struck && ill.Load == 0 {
		time.Sleep(ill.Delay)
	}
	w.work(call, op)
	w.answer(call, op)
	switch {
	case !struck:
	case ill.Fails:
		call.SetStatusCode(fasthttp.StatusInternalServerError)
	case ill.Loses:
		call.HijackSetNoResponse(true)
		call.Hijack(func(net.Conn) {})
	case ill.Babble:
		call.SetBodyString(`{"op": "` + op + `", "worker`)
	}
}

// work takes as long as a request asks, or until the connection that it came on ends.
func (w *Worker) work(call *fasthttp.RequestCtx, op string) {
	asked, err := strconv.Atoi(string(call.Request.Header.Peek(lastsHeader)))
	if err != nil {
		return
	}
	conn, ended := call.Conn(), make(chan bool, 1)
	go func() {
		// A proxy sends nothing before it has its answer, so what can be read is the end.
		_, err := conn.Read(make([]byte, 1))
		ended <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}()
	broken := false
	select {
	case broken = <-ended:
	case <-time.After(time.Duration(asked) * time.Millisecond):
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		broken = <-ended
		_ = conn.SetReadDeadline(time.Time{})
	}
	note(w.ledger, &w.ledger.Ends, EndEntry{op, w.name, w.now(), broken})
}

// directPath is for calls past the mesh.
const directPath = "/direct"

// answer does the work and answers.
func (w *Worker) answer(call *fasthttp.RequestCtx, op string) {
	if w.delay > 0 {
		time.Sleep(w.delay)
	}
	if onward := w.onward.Load(); onward != nil {
		(*onward)(call)
	}
	text, _ := json.Marshal(fakebackend.NewReply(op, w.name, string(bytes.Repeat([]byte("x"), 200))))
	call.SetContentType("application/json")
	call.SetBody(text)
}

func (w *Worker) describe(change func(*dispatch.WorkerDescription)) error {
	w.lock.Lock()
	if change != nil {
		change(&w.said)
	}
	said := w.said
	w.lock.Unlock()
	said.Load = float64(w.running.Load()) / 100
	text, _ := json.Marshal(said)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.describ + "/v1/worker")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(text)
	if err := fasthttp.DoTimeout(request, response, beat); err != nil {
		return errs.Wrap(err, errs.PeerConnectionLost, w.name)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errs.New(errs.MalformedRequest, string(response.Body()))
	}
	return nil
}

// Direct sends one call straight to the worker and tells how long it took.
func (w *Worker) Direct() (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.said.Address + directPath)
	request.Header.Set(dispatch.HeaderToken, w.said.Token)
	begin := time.Now()
	err := fasthttp.DoTimeout(request, response, beat)
	return time.Since(begin), errs.Wrap(err, errs.WorkerConnectionLost, w.name)
}

func (w *Worker) keepDescribing() {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		_ = w.describe(nil)
		select {
		case <-w.ended:
			return
		case <-ticker.C:
		}
	}
}

// Drain says that the worker is emptying, and goes on serving what it has.
func (w *Worker) Drain() error {
	w.leaving.Store(true)
	err := w.describe(func(said *dispatch.WorkerDescription) { said.Draining = true })
	note(w.ledger, &w.ledger.Leaves, LeaveEntry{w.name, w.now()})
	return err
}

// Leave says that the worker is gone, waits for what it runs, and ends.
func (w *Worker) Leave() {
	_ = w.describe(func(said *dispatch.WorkerDescription) { said.Deregistered = true })
	for w.running.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	w.Kill()
}

// Kill ends the worker at once, as a crash does: every connection is reset, nothing said.
func (w *Worker) Kill() {
	if w.dead.Swap(true) {
		return
	}
	close(w.ended)
	w.listener.Close()
	w.lock.Lock()
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	w.lock.Unlock()
	if !w.leaving.Load() {
		note(w.ledger, &w.ledger.Leaves, LeaveEntry{w.name, w.now()})
	}
}
