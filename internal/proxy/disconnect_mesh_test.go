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

// eventualTimeout bounds every wait in these tests. The proxies must free a worker within half a second after its
// caller disconnected; the timeout is longer, so that the tests pass on a busy machine. The proxies' own counts verify
// the limit.
const eventualTimeout = 10 * time.Second

// blockingWorker is a worker that holds each request until the test releases it or its connection ends.
type blockingWorker struct {
	address  string
	requests chan *blockedRequest // requests in the order of arrival
}

// blockedRequest is a request that a blockingWorker holds.
type blockedRequest struct {
	path         string
	release      chan struct{} // closed by the test to let the worker answer
	disconnected chan struct{} // closed when the connection ends
	answered     chan struct{} // closed once the response is written
}

// startBlockingWorker starts a blockingWorker. It ends with the test.
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

// serve serves the single request of a connection.
func (w *blockingWorker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the response has been written
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

// twoProxyMesh is a mesh of two proxies. Callers connect to callerProxy; either proxy may have a local worker of the
// service "saves".
type twoProxyMesh struct {
	callerProxy, workerProxy *proxy.StandaloneProxy
}

// startMesh starts two proxies. callerSideWorker and workerSideWorker are the addresses of the local workers of
// callerProxy and workerProxy; a proxy with an empty address has none. slots is the number of calls that a worker serves
// concurrently.
func startMesh(t *testing.T, callerSideWorker, workerSideWorker string, slots uint32) *twoProxyMesh {
	t.Helper()
	return startMeshOf(t, dispatch.NativeCodec{}, callerSideWorker, workerSideWorker, slots)
}

// startMeshOf starts two proxies like startMesh, with workers that speak codec.
func startMeshOf(t *testing.T, codec dispatch.WorkerCodec, callerSideWorker, workerSideWorker string, slots uint32) *twoProxyMesh {
	t.Helper()
	newOptions := func(name string) *schema.ProxyOptions {
		opts := standaloneOptions(name)
		opts.BodyMost = 2 * uploadBytes
		opts.Callers = "shop=127.0.0.1:0"
		opts.HorizonMost = int64(time.Minute)
		return opts
	}
	m := &twoProxyMesh{
		callerProxy: proxy.StartStandaloneProxy(t, newOptions("caller-proxy"), "shop", proxy.WithWorkerCodec(codec)),
		workerProxy: proxy.StartStandaloneProxy(t, newOptions("worker-proxy"), "saves", proxy.WithWorkerCodec(codec)),
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
	register(m.callerProxy, callerSideWorker)
	register(m.workerProxy, workerSideWorker)
	items := meshItems()
	m.workerProxy.Apply(1, items)
	m.callerProxy.Apply(1, items, m.workerProxy.Source(), m.callerProxy.Source())
	return m
}

// meshItems returns the configuration of a twoProxyMesh.
func meshItems() []*schema.Item {
	return []*schema.Item{
		newItem("limits", "limits", fmt.Sprintf(`{"bodyMost":%d}`, uploadBytes)),
		newItem("service", "saves", `{"versions":["v1"],"fallback":"v1"}`),
		newItem("route", "load", `{"service":"saves","prefix":"/load/","class":"repeatable","horizon":"50s"}`),
		newItem("route", "commit", `{"service":"saves","prefix":"/commit/","class":"once","horizon":"50s"}`),
	}
}

// send sends a request to callerProxy on a new connection. fields holds additional header lines with their line ends.
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
		t.Fatalf("no request reached the worker within %s", eventualTimeout)
		return nil
	}
}

// closedWithinTimeout waits until a channel is closed, at most eventualTimeout, and reports whether it was.
func closedWithinTimeout(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-time.After(eventualTimeout):
		return false
	}
}

// readStatus reads a response and returns its status code.
func readStatus(reader *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// disconnectMethods maps the ways in which a caller disconnects to functions that do so.
var disconnectMethods = map[string]func(net.Conn){
	"closes": func(conn net.Conn) { _ = conn.Close() }, // the test checks the effect at the proxy
	"resets": func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0) // if this fails, the connection closes without a reset, like "closes"
		_ = conn.Close()                     // the test checks the effect at the proxy
	},
}

// The request of an idempotent call is cancelled at the worker when its caller disconnects, also through a second proxy.
func TestDisconnectCancelsIdempotentCall(t *testing.T) {
	for method, disconnect := range disconnectMethods {
		for _, workerIsLocal := range []bool{false, true} {
			t.Run(fmt.Sprintf("caller %s, worker at the same proxy %t", method, workerIsLocal), func(t *testing.T) {
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
				if !closedWithinTimeout(blocked.disconnected) {
					t.Errorf("request at the worker not cancelled within %s after the disconnect of its caller", eventualTimeout)
				}
				close(blocked.release)
			})
		}
	}
}

// checkInvariants checks at the end of a test that neither proxy counted a violation of the invariants for disconnects.
func (m *twoProxyMesh) checkInvariants(t *testing.T) {
	t.Helper()
	for name, standalone := range map[string]*proxy.StandaloneProxy{"caller-proxy": m.callerProxy, "worker-proxy": m.workerProxy} {
		if counts := standalone.Disconnects(); counts.Violations() > 0 {
			t.Errorf("%s counted %d violations of the invariants for disconnects, want 0: %+v", name, counts.Violations(), counts)
		}
	}
}

// A non-idempotent call runs to its end once it has reached a worker, even if its caller disconnects.
func TestNonIdempotentCallSurvivesDisconnect(t *testing.T) {
	for method, disconnect := range disconnectMethods {
		t.Run(method, func(t *testing.T) {
			worker := startBlockingWorker(t)
			m := startMesh(t, "", worker.address, 4)
			conn := m.send(t, "/commit/1", "")
			blocked := worker.nextRequest(t)
			disconnect(conn)
			requireEventually(t, "disconnect detected", func() bool { return m.callerProxy.Disconnects().Detected == 1 })
			requireEventually(t, "disconnect propagated to the worker's proxy", func() bool {
				return m.workerProxy.Disconnects().Propagated == 1
			})
			close(blocked.release)
			if !closedWithinTimeout(blocked.answered) {
				t.Errorf("worker did not answer the call within %s, want the call to run to its end", eventualTimeout)
			}
			requireEventually(t, "call counted as run to its end", func() bool { return m.workerProxy.Disconnects().RanToEnd == 1 })
			m.checkInvariants(t)
		})
	}
}

// A queued call, idempotent or not, is dropped when its caller disconnects, and never reaches the worker.
func TestDisconnectDropsQueuedCalls(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 1)
	// A worker with one slot gets two calls at once, so that it need not wait for the next one to be sent.
	running := []*blockedRequest{}
	for _, path := range []string{"/load/1", "/load/2"} {
		m.send(t, path, "")
		running = append(running, worker.nextRequest(t))
	}
	load, commit := m.send(t, "/load/3", ""), m.send(t, "/commit/4", "")
	requireEventually(t, "both calls queued", func() bool { return m.workerProxy.QueuedCalls() == 2 })
	for _, conn := range []net.Conn{load, commit} {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	requireEventually(t, "both calls dropped from the queue", func() bool {
		return m.workerProxy.Disconnects().Dequeued == 2 && m.workerProxy.QueuedCalls() == 0
	})
	m.send(t, "/load/5", "")
	for _, blocked := range running {
		close(blocked.release)
	}
	if next := worker.nextRequest(t); next.path != "/load/5" {
		t.Errorf("next request at the worker: %s, want /load/5", next.path)
	}
	m.checkInvariants(t)
}

// A caller that closes only its sending side gets its response through both proxies.
func TestHalfClosedCallerIsAnsweredThroughMesh(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 4)
	conn := m.send(t, "/load/1", "")
	blocked := worker.nextRequest(t)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	if status, err := readStatus(reader); err != nil || status != http.StatusContinue {
		t.Fatalf("interim response: status %d, error %v; want 100", status, err)
	}
	close(blocked.release)
	if status, err := readStatus(reader); err != nil || status != http.StatusOK {
		t.Errorf("final response: status %d, error %v; want 200", status, err)
	}
	m.checkInvariants(t)
}

// Many callers that disconnect at once do not affect the remaining callers. Disconnects do not count as failures of the
// worker: it is not ejected, and its version is not blocked.
func TestDisconnectsDoNotAffectOtherCallers(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 64)
	const disconnecting, staying = 40, 20
	var disconnectingConns, stayingConns []net.Conn
	for i := range disconnecting + staying {
		path, conns := "/load/disconnects", &disconnectingConns
		if i%3 == 0 {
			path, conns = "/load/stays", &stayingConns
		}
		*conns = append(*conns, m.send(t, path, ""))
	}
	var blocked []*blockedRequest
	for range disconnecting + staying {
		blocked = append(blocked, worker.nextRequest(t))
	}
	for _, conn := range disconnectingConns {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	for _, request := range blocked {
		if request.path == "/load/disconnects" && !closedWithinTimeout(request.disconnected) {
			t.Fatalf("request at the worker not cancelled within %s after the disconnect of its caller", eventualTimeout)
		}
	}
	for _, request := range blocked {
		if request.path == "/load/stays" {
			close(request.release)
		}
	}
	for _, conn := range stayingConns {
		if status, err := readStatus(bufio.NewReader(conn)); err != nil || status != http.StatusOK {
			t.Errorf("caller that stayed: status %d, error %v; want 200", status, err)
		}
	}
	// The worker still gets calls.
	last := m.send(t, "/load/last", "")
	close(worker.nextRequest(t).release)
	if status, err := readStatus(bufio.NewReader(last)); err != nil || status != http.StatusOK {
		t.Errorf("call after the disconnects: status %d, error %v; want 200", status, err)
	}
	m.checkInvariants(t)
}

// If the caller's proxy ends while a call is in flight, the request at the worker is cancelled as if the caller had
// disconnected.
func TestEndOfCallerProxyCancelsCall(t *testing.T) {
	worker := startBlockingWorker(t)
	m := startMesh(t, "", worker.address, 4)
	m.send(t, "/load/1", "")
	blocked := worker.nextRequest(t)
	m.callerProxy.Stop()
	if !closedWithinTimeout(blocked.disconnected) {
		t.Errorf("request at the worker not cancelled within %s after the end of the caller's proxy", eventualTimeout)
	}
	m.checkInvariants(t)
}

// A disconnect cancels nested calls, which workers make while they serve a call: here a chain of three calls, each
// through two proxies.
func TestDisconnectCancelsNestedCalls(t *testing.T) {
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
	if !closedWithinTimeout(blocked.disconnected) {
		t.Errorf("request at the last worker of the chain not cancelled within %s after the disconnect", eventualTimeout)
	}
	for _, mesh := range meshes {
		mesh.checkInvariants(t)
	}
}

// startCallingWorker starts a worker that makes a nested call to next for each request, and cancels that call when its
// own caller disconnects. It returns the address of the worker.
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
		_ = response.Body.Close() // only the status is passed on
		writer.WriteHeader(response.StatusCode)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() }) // the test is over
	return listener.Addr().String()
}

// requireEventually waits until a condition holds, at most eventualTimeout. condition describes it in the failure
// message.
func requireEventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventualTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition %q does not hold after %s", condition, eventualTimeout)
		}
	}
}
