package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/proxy"
	"meadowhinge/schema"
)

// eventualTimeout is longer than the half second that the rule gives a worker after its caller disconnected, so that a
// busy machine does not fail these tests. The proxies' own counts judge how long it took.
const eventualTimeout = 10 * time.Second

// blockingWorker accepts requests and holds each until the test releases it or its connection ends.
type blockingWorker struct {
	address  string
	requests chan *blockedRequest
}

// blockedRequest is a request that a blockingWorker holds.
type blockedRequest struct {
	path         string
	release      chan struct{} // the test closes it to have the request answered
	disconnected chan struct{} // closed if the connection ends before that
	answered     chan struct{} // closed once the response is written
}

func startBlockingWorker(t *testing.T) *blockingWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // ends the goroutine below
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
	defer func() { _ = conn.Close() }() // all that was owed has been written
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	blocked := &blockedRequest{
		path:         request.URL.Path,
		release:      make(chan struct{}),
		disconnected: make(chan struct{}),
		answered:     make(chan struct{}),
	}
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
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"); err == nil {
		close(blocked.answered)
	}
}

// twoProxyMesh is two proxies: the callers of the tests are beside callerProxy, workers of the service "saves" are
// beside either.
type twoProxyMesh struct {
	callerProxy, workerProxy *proxy.StandaloneProxy
}

func startMesh(t *testing.T, workerHere, workerThere string, slots uint32) *twoProxyMesh {
	t.Helper()
	newOptions := func(name string) *schema.ProxyOptions {
		opts := standaloneOptions(name)
		opts.Callers = "shop=127.0.0.1:0"
		opts.HorizonMost = int64(time.Minute)
		return opts
	}
	m := &twoProxyMesh{
		callerProxy: proxy.StartStandaloneProxy(t, newOptions("here"), "shop"),
		workerProxy: proxy.StartStandaloneProxy(t, newOptions("there"), "saves"),
	}
	register := func(standalone *proxy.StandaloneProxy, worker string) {
		if worker == "" {
			return
		}
		description := dispatch.WorkerDescription{
			Address:     worker,
			Service:     "saves",
			Version:     "v1",
			HeartbeatMS: 60000,
			Token:       "i-" + worker,
			Slots:       slots,
		}
		if _, err := standalone.Workers().Register(description); err != nil {
			t.Fatal(err)
		}
	}
	register(m.callerProxy, workerHere)
	register(m.workerProxy, workerThere)
	items := []*schema.Item{
		newItem("service", "saves", `{"versions":["v1"],"fallback":"v1"}`),
		newItem("route", "load", `{"service":"saves","prefix":"/load/","class":"repeatable","horizon":"50s"}`),
		newItem("route", "commit", `{"service":"saves","prefix":"/commit/","class":"once","horizon":"50s"}`),
	}
	m.workerProxy.Apply(1, items)
	m.callerProxy.Apply(1, items, m.workerProxy.Source(), m.callerProxy.Source())
	return m
}

// send sends a request to callerProxy, on a connection of its own.
func (m *twoProxyMesh) send(t *testing.T, path, fields string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", m.callerProxy.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, fields); err != nil {
		t.Fatal(err)
	}
	return conn
}

// nextRequest waits for a request to reach the worker.
func (w *blockingWorker) nextRequest(t *testing.T) *blockedRequest {
	t.Helper()
	select {
	case blocked := <-w.requests:
		return blocked
	case <-time.After(eventualTimeout):
		t.Fatal("no request reached the worker")
		return nil
	}
}

// closesInTime waits until a channel is closed, at most eventualTimeout, and reports whether it was.
func closesInTime(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-time.After(eventualTimeout):
		return false
	}
}

// readStatus reads a response and returns its status.
func readStatus(reader *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// disconnectWays are the ways in which a caller disconnects.
var disconnectWays = map[string]func(net.Conn){
	"closes": func(conn net.Conn) { _ = conn.Close() }, // the tests find out what the proxy sees of it
	"resets": func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0) // without it the caller closes, which the other way tests
		_ = conn.Close()                     // as above
	},
}

// A worker's request of the idempotent class is cancelled when its caller disconnects, also through a second proxy.
func TestWorkersAreFreedOfDisconnectedCallers(t *testing.T) {
	for way, disconnect := range disconnectWays {
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
					t.Error("the worker goes on for a caller that has disconnected")
				}
				close(blocked.release)
			})
		}
	}
}

// checkInvariants checks, at the end of a test, that neither proxy counted a violation of the rules for disconnects.
func (m *twoProxyMesh) checkInvariants(t *testing.T) {
	t.Helper()
	for name, standalone := range map[string]*proxy.StandaloneProxy{"here": m.callerProxy, "there": m.workerProxy} {
		if counts := standalone.Disconnects(); counts.Violations() > 0 {
			t.Errorf("%s: %+v", name, counts)
		}
	}
}

// A call of the non-idempotent class runs to its end once a worker has it, also if its caller disconnects.
func TestNonIdempotentCallsOutliveTheirCallers(t *testing.T) {
	for way, disconnect := range disconnectWays {
		t.Run(way, func(t *testing.T) {
			worker := startBlockingWorker(t)
			m := startMesh(t, "", worker.address, 4)
			conn := m.send(t, "/commit/1", "")
			blocked := worker.nextRequest(t)
			disconnect(conn)
			requireEventually(t, "the disconnect is detected", func() bool { return m.callerProxy.Disconnects().Detected == 1 })
			requireEventually(t, "the disconnect reaches the worker's proxy", func() bool { return m.workerProxy.Disconnects().Propagated == 1 })
			close(blocked.release)
			if !closesInTime(blocked.answered) {
				t.Error("the call was cancelled")
			}
			requireEventually(t, "the call is counted as run to its end", func() bool { return m.workerProxy.Disconnects().RanToEnd == 1 })
			m.checkInvariants(t)
		})
	}
}

// A call of either class that waits for a worker is dropped when its caller disconnects, and never reaches the worker.
func TestQueuedCallsAreDroppedWithTheirCallers(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 1)
	// A worker with one slot gets two calls, so that it does not wait for the next one to be sent.
	first := []*blockedRequest{}
	for _, path := range []string{"/load/1", "/load/2"} {
		m.send(t, path, "")
		first = append(first, worker.nextRequest(t))
	}
	load, commit := m.send(t, "/load/3", ""), m.send(t, "/commit/4", "")
	requireEventually(t, "both wait", func() bool { return m.workerProxy.QueuedCalls() == 2 })
	for _, conn := range []net.Conn{load, commit} {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	requireEventually(t, "both are dropped", func() bool {
		return m.workerProxy.Disconnects().Dequeued == 2 && m.workerProxy.QueuedCalls() == 0
	})
	m.send(t, "/load/5", "")
	for _, running := range first {
		close(running.release)
	}
	if next := worker.nextRequest(t); next.path != "/load/5" {
		t.Errorf("%s reached the worker", next.path)
	}
	m.checkInvariants(t)
}

// A caller that closes only its sending side is answered through both proxies.
func TestHalfClosedCallersAreAnsweredThroughTheMesh(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 4)
	conn := m.send(t, "/load/1", "")
	blocked := worker.nextRequest(t)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	if status, err := readStatus(reader); err != nil || status != http.StatusContinue {
		t.Fatalf("%d, %v", status, err)
	}
	close(blocked.release)
	if status, err := readStatus(reader); err != nil || status != http.StatusOK {
		t.Errorf("%d, %v", status, err)
	}
	m.checkInvariants(t)
}

// Many callers that disconnect at once do no harm to those that stay, and are no evidence against the worker: it is not
// ejected and its version is not stopped.
func TestDisconnectingCallersHarmNobodyElse(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 64)
	const disconnecting, staying = 40, 20
	var leaving, remaining []net.Conn
	for i := range disconnecting + staying {
		path, conns := "/load/leaves", &leaving
		if i%3 == 0 {
			path, conns = "/load/stays", &remaining
		}
		*conns = append(*conns, m.send(t, path, ""))
	}
	var blocked []*blockedRequest
	for range disconnecting + staying {
		blocked = append(blocked, worker.nextRequest(t))
	}
	for _, conn := range leaving {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	for _, request := range blocked {
		if request.path == "/load/leaves" && !closesInTime(request.disconnected) {
			t.Fatal("the worker goes on for a caller that has disconnected")
		}
	}
	for _, request := range blocked {
		if request.path == "/load/stays" {
			close(request.release)
		}
	}
	for _, conn := range remaining {
		if status, err := readStatus(bufio.NewReader(conn)); err != nil || status != http.StatusOK {
			t.Errorf("a caller that stayed got %d, %v", status, err)
		}
	}
	// The worker gets calls as before.
	last := m.send(t, "/load/last", "")
	close(worker.nextRequest(t).release)
	if status, err := readStatus(bufio.NewReader(last)); err != nil || status != http.StatusOK {
		t.Errorf("the last call got %d, %v", status, err)
	}
	m.checkInvariants(t)
}

// If the callers' proxy ends while a call is under way, the worker's request is cancelled as if the caller had
// disconnected.
func TestWorkersAreFreedWhenTheCallersProxyEnds(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 4)
	m.send(t, "/load/1", "")
	blocked := worker.nextRequest(t)
	m.callerProxy.Stop()
	if !closesInTime(blocked.disconnected) {
		t.Error("the worker goes on for a proxy that has ended")
	}
	m.checkInvariants(t)
}

// A call that a worker makes in the course of another ends with it, through three calls with two proxies each.
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
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	if !closesInTime(blocked.disconnected) {
		t.Error("the last worker of the chain goes on")
	}
	for _, mesh := range meshes {
		mesh.checkInvariants(t)
	}
}

// startCallingWorker starts a worker that makes a call of its own to next for each request, and cancels it when its own
// caller disconnects.
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
		_ = response.Body.Close() // only the status matters
		writer.WriteHeader(response.StatusCode)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() }) // the test is over
	return listener.Addr().String()
}

// requireEventually waits until a condition holds, at most eventualTimeout.
func requireEventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventualTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, eventualTimeout)
		}
	}
}
