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
const eventually = 10 * time.Second

// heldWorker takes requests and answers one when it is told to, or sees its connection end.
type heldWorker struct {
	address string
	took    chan *heldRequest
}

// heldRequest is a request that a heldWorker is at.
type heldRequest struct {
	path    string
	release chan struct{} // closed for the answer to be given
	ended   chan struct{} // closed once the connection ended before that
	done    chan struct{} // closed once the answer was given
}

func startHeldWorker(t *testing.T) *heldWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	worker := &heldWorker{address: listener.Addr().String(), took: make(chan *heldRequest, 256)}
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

func (w *heldWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	held := &heldRequest{path: request.URL.Path, release: make(chan struct{}), ended: make(chan struct{}), done: make(chan struct{})}
	go func() {
		if _, err := reader.Peek(1); err != nil {
			close(held.ended)
		}
	}()
	w.took <- held
	select {
	case <-held.ended:
		return
	case <-held.release:
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
	close(held.done)
}

// mesh is two proxies; workers of the service saves are beside either.
type mesh struct {
	here, there *proxy.Lone
}

func startMesh(t *testing.T, workerHere, workerThere string, slots uint32) *mesh {
	t.Helper()
	given := func(name string) *schema.ProxyOptions {
		return &schema.ProxyOptions{Name: name, Callers: "shop=127.0.0.1:0", Area: "a", Buffer: 2048, CallersMost: 64, BodyMost: 1 << 20, HorizonMost: int64(time.Minute), Lease: int64(8 * time.Second),
			MembersMost: 64, ExtraRatio: 0.2, ExtraFloor: 60, Remembered: 12000, Silence: 3, FailuresMost: 5, Ejection: int64(5 * time.Second), Trial: int64(time.Second),
			TrialFailures: 40, TrialTimes: 2, TrialExcess: 0.02, TrialSlow: 10}
	}
	m := &mesh{here: proxy.StartLone(t, given("here"), "shop"), there: proxy.StartLone(t, given("there"), "saves")}
	describe := func(lone *proxy.Lone, worker string) {
		if worker == "" {
			return
		}
		said := dispatch.Description{Address: worker, Service: "saves", Version: "v1", BeatMS: 60000, Token: "i-" + worker, Slots: slots}
		if _, err := lone.Workers().Describe(said); err != nil {
			t.Fatal(err)
		}
	}
	describe(m.here, workerHere)
	describe(m.there, workerThere)
	item := func(kind, name, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Epoch: 1, Sequence: 1}}
	}
	items := []*schema.Item{
		item("service", "saves", `{"versions":["v1"],"fallback":"v1"}`),
		item("route", "load", `{"service":"saves","prefix":"/load/","class":"repeatable","horizon":"50s"}`),
		item("route", "commit", `{"service":"saves","prefix":"/commit/","class":"once","horizon":"50s"}`),
	}
	m.there.Learn(1, items)
	m.here.Learn(1, items, m.there.Source(), m.here.Source())
	return m
}

// send sends a request from a caller beside the first proxy, on a connection of its own.
func (m *mesh) send(t *testing.T, path, fields string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", m.here.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, fields)
	return conn
}

func (w *heldWorker) next(t *testing.T) *heldRequest {
	t.Helper()
	select {
	case held := <-w.took:
		return held
	case <-time.After(eventually):
		t.Fatal("no request came to the worker")
		return nil
	}
}

func happens(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-time.After(eventually):
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
func TestWorkersAreFreedOfCallersThatLeft(t *testing.T) {
	for way, leave := range closing {
		for _, beside := range []bool{false, true} {
			t.Run(fmt.Sprintf("caller %s, worker beside it %t", way, beside), func(t *testing.T) {
				t.Parallel()
				worker := startHeldWorker(t)
				var m *mesh
				if beside {
					m = startMesh(t, worker.address, "", 4)
				} else {
					m = startMesh(t, "", worker.address, 4)
				}
				conn := m.send(t, "/load/1", "")
				held := worker.next(t)
				leave(conn)
				if !happens(held.ended) {
					t.Error("the worker goes on for a caller that has left")
				}
				close(held.release)
			})
		}
	}
}

// holds ends every test here: what must hold of departures did, at either proxy.
func (m *mesh) holds(t *testing.T) {
	t.Helper()
	for name, lone := range map[string]*proxy.Lone{"here": m.here, "there": m.there} {
		if counts := lone.Departures(); counts.Violations() > 0 {
			t.Errorf("%s: %+v", name, counts)
		}
	}
}

// A call that may not be repeated runs to its end once a worker has it, whoever waits for it.
func TestOnceCallsOutliveTheirCallers(t *testing.T) {
	for way, leave := range closing {
		t.Run(way, func(t *testing.T) {
			worker := startHeldWorker(t)
			m := startMesh(t, "", worker.address, 4)
			conn := m.send(t, "/commit/1", "")
			held := worker.next(t)
			leave(conn)
			eventuallyHolds(t, "noticed", func() bool { return m.here.Departures().Noticed == 1 })
			eventuallyHolds(t, "told", func() bool { return m.there.Departures().Told == 1 })
			close(held.release)
			if !happens(held.done) {
				t.Error("it was broken off")
			}
			eventuallyHolds(t, "kept", func() bool { return m.there.Departures().Kept == 1 })
			m.holds(t)
		})
	}
}

// What waits for a worker, of either class, is dropped when its caller leaves, and never comes to the worker.
func TestQueuedCallsAreDroppedWithTheirCallers(t *testing.T) {
	worker := startHeldWorker(t)
	m := startMesh(t, "", worker.address, 1)
	// One slot takes two calls, so that the way to the worker costs it no time.
	first := []*heldRequest{}
	for _, path := range []string{"/load/1", "/load/2"} {
		m.send(t, path, "")
		first = append(first, worker.next(t))
	}
	load, commit := m.send(t, "/load/3", ""), m.send(t, "/commit/4", "")
	eventuallyHolds(t, "both wait", func() bool { return m.there.Waiting() == 2 })
	load.Close()
	commit.Close()
	eventuallyHolds(t, "both are dropped", func() bool { return m.there.Departures().Dropped == 2 && m.there.Waiting() == 0 })
	m.send(t, "/load/5", "")
	for _, one := range first {
		close(one.release)
	}
	if next := worker.next(t); next.path != "/load/5" {
		t.Errorf("%s came to the worker", next.path)
	}
	m.holds(t)
}

// A caller that ends only its sending side has its answer through both proxies.
func TestHalfClosedCallersAreAnsweredThroughTheMesh(t *testing.T) {
	worker := startHeldWorker(t)
	m := startMesh(t, "", worker.address, 4)
	conn := m.send(t, "/load/1", "")
	held := worker.next(t)
	_ = conn.(*net.TCPConn).CloseWrite()
	reader := bufio.NewReader(conn)
	if told, err := http.ReadResponse(reader, nil); err != nil || told.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v", told, err)
	}
	close(held.release)
	if told, err := http.ReadResponse(reader, nil); err != nil || told.StatusCode != http.StatusOK {
		t.Errorf("%v, %v", told, err)
	}
	m.holds(t)
}

// A storm of leaving callers takes nothing from those that stay, and says nothing of the worker: it is neither ejected
// nor its version stopped.
func TestLeavingCallersHarmNobodyElse(t *testing.T) {
	worker := startHeldWorker(t)
	m := startMesh(t, "", worker.address, 64)
	const leaving, staying = 40, 20
	var left, stay []net.Conn
	for i := range leaving + staying {
		path, where := "/load/leaves", &left
		if i%3 == 0 {
			path, where = "/load/stays", &stay
		}
		*where = append(*where, m.send(t, path, ""))
	}
	var held []*heldRequest
	for range leaving + staying {
		held = append(held, worker.next(t))
	}
	for _, conn := range left {
		conn.Close()
	}
	for _, one := range held {
		if one.path == "/load/leaves" && !happens(one.ended) {
			t.Fatal("the worker goes on for a caller that has left")
		}
	}
	for _, one := range held {
		if one.path == "/load/stays" {
			close(one.release)
		}
	}
	for _, conn := range stay {
		if told, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || told.StatusCode != http.StatusOK {
			t.Errorf("one that stayed got %v, %v", told, err)
		}
	}
	// The worker is called as before.
	last := m.send(t, "/load/last", "")
	close(worker.next(t).release)
	if told, err := http.ReadResponse(bufio.NewReader(last), nil); err != nil || told.StatusCode != http.StatusOK {
		t.Errorf("the last got %v, %v", told, err)
	}
	m.holds(t)
}

// The proxy that took a call ends while the call is under way: its worker is freed as by the caller itself.
func TestWorkersAreFreedWhenTheCallersProxyEnds(t *testing.T) {
	worker := startHeldWorker(t)
	m := startMesh(t, "", worker.address, 4)
	m.send(t, "/load/1", "")
	held := worker.next(t)
	m.here.End()
	if !happens(held.ended) {
		t.Error("the worker goes on for a proxy that is gone")
	}
	m.holds(t)
}

// A call that a worker makes in the course of another ends with it: callers, two proxies each, three deep.
func TestCallsOfCallsEndWithTheFirstCaller(t *testing.T) {
	leaf := startHeldWorker(t)
	meshes := []*mesh{startMesh(t, "", leaf.address, 4)}
	for range 2 {
		inner := meshes[len(meshes)-1]
		meshes = append(meshes, startMesh(t, "", startCallingWorker(t, inner.here.Callers), 4))
	}
	outer := meshes[len(meshes)-1]
	conn := outer.send(t, "/load/1", "")
	held := leaf.next(t)
	conn.Close()
	if !happens(held.ended) {
		t.Error("the last worker of the chain goes on")
	}
	for _, one := range meshes {
		one.holds(t)
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
	server := &http.Server{Handler: http.HandlerFunc(func(answer http.ResponseWriter, request *http.Request) {
		inner, err := http.NewRequestWithContext(request.Context(), request.Method, "http://"+next+request.URL.Path, nil)
		if err != nil {
			return
		}
		told, err := http.DefaultTransport.RoundTrip(inner)
		if err != nil {
			answer.WriteHeader(http.StatusInternalServerError)
			return
		}
		told.Body.Close()
		answer.WriteHeader(told.StatusCode)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func eventuallyHolds(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(eventually); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: not within %s", what, eventually)
		}
	}
}
