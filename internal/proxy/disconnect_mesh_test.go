package proxy_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/proxy"
	"meadowhinge/schema"
)

// The rule gives a worker half a second after its caller left. A test waits longer for what must come, so that a
// busy machine does not fail it, and the counts of the proxies judge how long it took.
const eventualTimeout = 10 * time.Second

// blockingWorker takes requests and answers one when it is told to, or sees its connection end.
type blockingWorker struct {
	address  string
	requests chan *blockedRequest
}

// blockedRequest is a request that a blockingWorker is at.
type blockedRequest struct {
	path         string
	release      chan struct{} // closed for the answer to be given
	disconnected chan struct{} // closed once the connection ended before that
	answered     chan struct{} // closed once the answer was given
}

func startBlockingWorker(t *testing.T) *blockingWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	worker := &blockingWorker{address: listener.Addr().String(), requests: make(chan *blockedRequest, 256)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go worker.serve(conn)
		}
	}()
	return worker
}

func (w *blockingWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	blocked := &blockedRequest{path: request.URL.Path, release: make(chan struct{}), disconnected: make(chan struct{}), answered: make(chan struct{})}
	go func() {
		if _, err := reader.Peek(1); err != nil {
			close(blocked.disconnected)
		}
	}()
	w.requests <- blocked
	select {
	case <-blocked.disconnected:
		return
	case <-blocked.release:
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
	close(blocked.answered)
}

// twoProxyMesh is two proxies; workers of the service saves are beside either.
type twoProxyMesh struct {
	callerProxy, workerProxy *proxy.StandaloneProxy
}

func startMesh(t *testing.T, workerHere, workerThere string, slots uint32) *twoProxyMesh {
	t.Helper()
	newOptions := func(name string) *schema.ProxyOptions {
		return &schema.ProxyOptions{Name: name, Callers: "shop=127.0.0.1:0", Area: "a", Buffer: 2048, CallersMost: 64, BodyMost: 1 << 20, HorizonMost: int64(time.Minute), Lease: int64(8 * time.Second),
			MembersMost: 64, ExtraRatio: 0.2, ExtraFloor: 60, Remembered: 12000, Silence: 3, FailuresMost: 5, Ejection: int64(5 * time.Second), Trial: int64(time.Second),
			TrialFailures: 40, TrialTimes: 2, TrialExcess: 0.02, TrialSlow: 10}
	}
	m := &twoProxyMesh{callerProxy: proxy.StartStandaloneProxy(t, newOptions("here"), "shop"), workerProxy: proxy.StartStandaloneProxy(t, newOptions("there"), "saves")}
	register := func(lone *proxy.StandaloneProxy, worker string) {
		if worker == "" {
			return
		}
		description := dispatch.WorkerDescription{Address: worker, Service: "saves", Version: "v1", HeartbeatMS: 60000, Token: "i-" + worker, Slots: slots}
		if _, err := lone.Workers().Register(description); err != nil {
			t.Fatal(err)
		}
	}
	register(m.callerProxy, workerHere)
	register(m.workerProxy, workerThere)
	item := func(kind, name, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Term: 1, Sequence: 1}}
	}
	items := []*schema.Item{
		item("service", "saves", `{"versions":["v1"],"fallback":"v1"}`),
		item("route", "load", `{"service":"saves","prefix":"/load/","class":"repeatable","horizon":"50s"}`),
		item("route", "commit", `{"service":"saves","prefix":"/commit/","class":"once","horizon":"50s"}`),
	}
	m.workerProxy.Apply(1, items)
	m.callerProxy.Apply(1, items, m.workerProxy.Source(), m.callerProxy.Source())
	return m
}

// send sends a request from a caller beside the first proxy, on a connection of its own.
func (m *twoProxyMesh) send(t *testing.T, path, fields string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", m.callerProxy.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, fields)
	return conn
}

func (w *blockingWorker) nextRequest(t *testing.T) *blockedRequest {
	t.Helper()
	select {
	case blocked := <-w.requests:
		return blocked
	case <-time.After(eventualTimeout):
		t.Fatal("no request came to the worker")
		return nil
	}
}

func closesInTime(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-time.After(eventualTimeout):
		return false
	}
}

// closing are the ways in which a caller leaves.
var closing = map[string]func(net.Conn){
	"closes": func(conn net.Conn) { conn.Close() },
	"resets": func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	},
}

// A worker is freed of a call that may be repeated when its caller leaves, by whichever proxy the call went.
func TestWorkersAreFreedOfDisconnectedCallers(t *testing.T) {
	for way, disconnect := range closing {
		for _, workerIsLocal := range []bool{false, true} {
			t.Run(fmt.Sprintf("caller %s, worker beside it %t", way, workerIsLocal), func(t *testing.T) {
				t.Parallel()
				worker := startBlockingWorker(t)
				var m *twoProxyMesh
				if workerIsLocal {
					m = startMesh(t, worker.address, "", 4)
				} else {
					m = startMesh(t, "", worker.address, 4)
				}
				conn := m.send(t, "/load/1", "")
				blocked := worker.nextRequest(t)
				disconnect(conn)
				if !closesInTime(blocked.disconnected) {
					t.Error("the worker goes on for a caller that has left")
				}
				close(blocked.release)
			})
		}
	}
}

// checkInvariants ends every test here: what must hold of departures did, at either proxy.
func (m *twoProxyMesh) checkInvariants(t *testing.T) {
	t.Helper()
	for name, lone := range map[string]*proxy.StandaloneProxy{"here": m.callerProxy, "there": m.workerProxy} {
		if counts := lone.Disconnects(); counts.Violations() > 0 {
			t.Errorf("%s: %+v", name, counts)
		}
	}
}

// A call that may not be repeated runs to its end once a worker has it, whoever waits for it.
func TestNonIdempotentCallsOutliveTheirCallers(t *testing.T) {
	for way, disconnect := range closing {
		t.Run(way, func(t *testing.T) {
			worker := startBlockingWorker(t)
			m := startMesh(t, "", worker.address, 4)
			conn := m.send(t, "/commit/1", "")
			blocked := worker.nextRequest(t)
			disconnect(conn)
			requireEventually(t, "noticed", func() bool { return m.callerProxy.Disconnects().Detected == 1 })
			requireEventually(t, "told", func() bool { return m.workerProxy.Disconnects().Propagated == 1 })
			close(blocked.release)
			if !closesInTime(blocked.answered) {
				t.Error("it was broken off")
			}
			requireEventually(t, "kept", func() bool { return m.workerProxy.Disconnects().RanToEnd == 1 })
			m.checkInvariants(t)
		})
	}
}

// What waits for a worker, of either class, is dropped when its caller leaves, and never comes to the worker.
func TestQueuedCallsAreDroppedWithTheirCallers(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 1)
	// One slot takes two calls, so that the way to the worker costs it no time.
	first := []*blockedRequest{}
	for _, path := range []string{"/load/1", "/load/2"} {
		m.send(t, path, "")
		first = append(first, worker.nextRequest(t))
	}
	load, commit := m.send(t, "/load/3", ""), m.send(t, "/commit/4", "")
	requireEventually(t, "both wait", func() bool { return m.workerProxy.QueuedCalls() == 2 })
	load.Close()
	commit.Close()
	requireEventually(t, "both are dropped", func() bool { return m.workerProxy.Disconnects().Dequeued == 2 && m.workerProxy.QueuedCalls() == 0 })
	m.send(t, "/load/5", "")
	for _, running := range first {
		close(running.release)
	}
	if next := worker.nextRequest(t); next.path != "/load/5" {
		t.Errorf("%s came to the worker", next.path)
	}
	m.checkInvariants(t)
}

// A caller that ends only its sending side has its answer through both proxies.
func TestHalfClosedCallersAreAnsweredThroughTheMesh(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 4)
	conn := m.send(t, "/load/1", "")
	blocked := worker.nextRequest(t)
	_ = conn.(*net.TCPConn).CloseWrite()
	reader := bufio.NewReader(conn)
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v", response, err)
	}
	close(blocked.release)
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v, %v", response, err)
	}
	m.checkInvariants(t)
}

// A storm of leaving callers takes nothing from those that stay, and says nothing of the worker: it is neither ejected
// nor its version stopped.
func TestDisconnectingCallersHarmNobodyElse(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 64)
	const disconnecting, staying = 40, 20
	var left, stay []net.Conn
	for i := range disconnecting + staying {
		path, where := "/load/leaves", &left
		if i%3 == 0 {
			path, where = "/load/stays", &stay
		}
		*where = append(*where, m.send(t, path, ""))
	}
	var blocked []*blockedRequest
	for range disconnecting + staying {
		blocked = append(blocked, worker.nextRequest(t))
	}
	for _, conn := range left {
		conn.Close()
	}
	for _, request := range blocked {
		if request.path == "/load/leaves" && !closesInTime(request.disconnected) {
			t.Fatal("the worker goes on for a caller that has left")
		}
	}
	for _, request := range blocked {
		if request.path == "/load/stays" {
			close(request.release)
		}
	}
	for _, conn := range stay {
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("one that stayed got %v, %v", response, err)
		}
	}
	// The worker is called as before.
	last := m.send(t, "/load/last", "")
	close(worker.nextRequest(t).release)
	if response, err := http.ReadResponse(bufio.NewReader(last), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the last got %v, %v", response, err)
	}
	m.checkInvariants(t)
}

// The proxy that took a call ends while the call is under way: its worker is freed as by the caller itself.
func TestWorkersAreFreedWhenTheCallersProxyEnds(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 4)
	m.send(t, "/load/1", "")
	blocked := worker.nextRequest(t)
	m.callerProxy.Stop()
	if !closesInTime(blocked.disconnected) {
		t.Error("the worker goes on for a proxy that is gone")
	}
	m.checkInvariants(t)
}

// A call that a worker makes in the course of another ends with it: callers, two proxies each, three deep.
func TestCallsOfCallsEndWithTheFirstCaller(t *testing.T) {
	leaf := startBlockingWorker(t)
	meshes := []*twoProxyMesh{startMesh(t, "", leaf.address, 4)}
	for range 2 {
		inner := meshes[len(meshes)-1]
		meshes = append(meshes, startMesh(t, "", startCallingWorker(t, inner.callerProxy.CallerAddress), 4))
	}
	outer := meshes[len(meshes)-1]
	conn := outer.send(t, "/load/1", "")
	blocked := leaf.nextRequest(t)
	conn.Close()
	if !closesInTime(blocked.disconnected) {
		t.Error("the last worker of the chain goes on")
	}
	for _, tested := range meshes {
		tested.checkInvariants(t)
	}
}

// startCallingWorker starts a worker that makes a call of its own for each request, and ends it when its own
// caller is gone.
func startCallingWorker(t *testing.T, next string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		inner, err := http.NewRequestWithContext(request.Context(), request.Method, "http://"+next+request.URL.Path, nil)
		if err != nil {
			return
		}
		response, err := http.DefaultTransport.RoundTrip(inner)
		if err != nil {
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		response.Body.Close()
		writer.WriteHeader(response.StatusCode)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func requireEventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventualTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, eventualTimeout)
		}
	}
}
