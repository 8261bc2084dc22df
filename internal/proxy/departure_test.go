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
	for {
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
		return
	}
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

