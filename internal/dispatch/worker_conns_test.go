package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/http1"
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// testCodec is a codec that reads the fields of a ResponseInfo that the tests need from the headers and the status.
type testCodec struct{ NativeCodec }

// WriteHeaders sets the host that the caller called and the request id.
func (testCodec) WriteHeaders(request *fasthttp.Request, forward *schema.ForwardRequest, _ WorkerRegistration, _ time.Duration) {
	request.Header.SetHost(forward.Host)
	request.Header.Set("X-Id", forward.Request)
}

// ReadHeader implements WorkerCodec. A response without a length ends with its connection.
func (testCodec) ReadHeader(head *http1.ResponseHead, request *schema.ForwardRequest) ResponseInfo {
	id := string(head.Value("X-Id"))
	return ResponseInfo{
		WrongRequest:     id != "" && id != request.Request,
		NotExecuted:      len(head.Value("X-Unrun")) > 0,
		WrongWorker:      head.Status == http.StatusMisdirectedRequest,
		ClosesConnection: head.ClosesConnection,
		EndsAtClose:      true,
	}
}

// socketFixture is a runner with one worker on a loopback socket.
type socketFixture struct {
	runner  *Runner
	workers *Workers
	opened  atomic.Int32 // connections that the worker has accepted
	address string       // address of the worker
}

// newSocketFixture returns a fixture whose worker handles each connection with serve. connNumber counts the connections
// from 1.
func newSocketFixture(tb testing.TB, serve func(conn *net.TCPConn, reader *bufio.Reader, connNumber int)) *socketFixture {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("net.Listen: %v", err)
	}
	tb.Cleanup(func() { _ = listener.Close() }) // an error does not matter after the test
	fixture := &socketFixture{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connNumber := int(fixture.opened.Add(1))
			go func() {
				defer func() { _ = conn.Close() }() // fails only if serve has closed the connection already
				serve(conn.(*net.TCPConn), bufio.NewReader(conn), connNumber)
			}()
		}
	}()
	startedAt := time.Now()
	now := func() time.Duration { return time.Since(startedAt) }
	fixture.workers = NewWorkers(WorkersOptions{
		Proxy:               "p",
		MaxMissedHeartbeats: 3,
		MaxWorkers:          4,
		MaxConns:            64,
		MaxBodyBytes:        1 << 20,
		Now:                 now,
		NoLivenessConn:      true,
		Dial:                func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) },
	}, func() {})
	view := &plan.View{Config: compileConfig(tb, 5)}
	fixture.runner = NewRunner(Runner{
		Workers:          fixture.workers,
		Codec:            testCodec{},
		View:             func() *plan.View { return view },
		AwaitConfig:      func(context.Context, uint64) {},
		RevisionOutdated: func(uint64) bool { return false },
		HasLease:         func() bool { return true },
		Now:              now,
	}, 1<<16)
	if _, err := fixture.workers.Register(WorkerDescription{ID: "w", Address: fixture.address, Service: "shop", Version: "1", HeartbeatMS: 60000, Slots: 64}); err != nil {
		tb.Fatalf("Register: %v", err)
	}
	tb.Cleanup(func() {
		_, _ = fixture.workers.Register(WorkerDescription{ID: "w", Address: fixture.address, Deregistered: true})
	})
	return fixture
}

// run runs a request on the worker. change, if not nil, changes the request before.
func (f *socketFixture) run(tb testing.TB, id string, change func(*schema.ForwardRequest)) *schema.ForwardResponse {
	tb.Helper()
	request := newForwardRequest(id, "w")
	request.Host = "shop.example"
	request.TimeLeftNanos = int64(10 * time.Second)
	if change != nil {
		change(request)
	}
	return f.runner.Run(tb.Context(), client, request)
}

// readRequestID reads a request and returns its id. It is empty at the end of the connection.
func readRequestID(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("X-Id")
}

// answered returns a complete response to a request, as raw HTTP.
func answered(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// A worker may send anything in response to two successive requests. Each request has the outcome that the response
// proves, and gets a body only if the body belongs to it. A case name begins with the outcome of the first request.
func TestUnusualWorkerResponsesHaveProvedOutcome(t *testing.T) {
	answeredOutcome, notRun, unknown := schema.CallOutcome_CALL_OUTCOME_ANSWERED, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, schema.CallOutcome_CALL_OUTCOME_UNKNOWN
	always := func(text string) func(string) string { return func(string) string { return text } }
	for name, test := range map[string]struct {
		first  func(id string) string       // returns the response to the first request; nil for a plain one
		ends   bool                         // the worker closes the connection after the first response
		resets bool                         // the worker closes the connection by a reset
		second func(id string) string       // returns the response to the second request; nil for a plain one
		change func(*schema.ForwardRequest) // changes the first request; nil for no change
		want   [2]schema.CallOutcome        // wanted outcomes of both requests
		code   errs.Code                    // wanted code of the first request's response; any if empty
		opened int32                        // wanted number of connections
	}{
		"answered: plain response":             {want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: empty body":                 {first: func(id string) string { return answered(id, "") }, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: chunked body":               {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: chunked body, with trailer": {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n3\r\none\r\n0\r\nX-End: 1\r\n\r\n"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: interim responses": {first: func(id string) string {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answered(id, "one")
		}, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: 204 without a body":                              {first: always("HTTP/1.1 204 No Content\r\n\r\n"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: 304 with a length":                               {first: always("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: HEAD with a length":                              {first: always("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), change: func(c *schema.ForwardRequest) { c.Method = "HEAD" }, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: announces the close":                             {first: always("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"answered: closes while idle":                               {ends: true, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"answered: sends bytes after the response":                  {first: func(id string) string { return answered(id, "one") + "and more" }, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"answered: sends a second response":                         {first: func(id string) string { return answered(id, "one") + answered(id, "one") }, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"answered: late response before that to the second request": {second: func(id string) string { return answered("first", "one") + answered(id, id) }, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: only a late response to the second request":      {second: func(string) string { return answered("first", "one") }, want: [2]schema.CallOutcome{answeredOutcome, unknown}, opened: 1},
		"not executed: refusal":                                     {first: always("HTTP/1.1 503 No\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n"), want: [2]schema.CallOutcome{notRun, answeredOutcome}, code: errs.QueueFull, opened: 1},
		"not executed: refusal, truncated":                          {first: always("HTTP/1.1 503 No\r\nX-Unrun: 1\r\nContent-Length: 5\r\n\r\n"), ends: true, want: [2]schema.CallOutcome{notRun, answeredOutcome}, code: errs.QueueFull, opened: 2},
		"not executed: another worker at the address":               {first: always("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"), want: [2]schema.CallOutcome{notRun, notRun}, code: errs.WrongInstance, opened: 1},
		"answered: error status":                                    {first: always("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"unknown: closes instead of a response":                     {first: always(""), ends: true, want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.WorkerConnectionLost, opened: 2},
		"unknown: truncated in the header":                          {first: always("HTTP/1.1 200 OK\r\nContent-Le"), ends: true, want: [2]schema.CallOutcome{unknown, answeredOutcome}, opened: 2},
		"unknown: truncated in the body":                            {first: always("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none"), ends: true, want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.WorkerConnectionLost, opened: 2},
		"unknown: truncated in a chunk":                             {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\none"), ends: true, want: [2]schema.CallOutcome{unknown, answeredOutcome}, opened: 2},
		"unknown: truncated before the trailer":                     {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n"), ends: true, want: [2]schema.CallOutcome{unknown, answeredOutcome}, opened: 2},
		"answered: chunks with extensions and padding":              {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\none\r\n0003 \r\ntwo\r\n0\r\n\r\n"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"unknown: chunk with a negative size":                       {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\none\r\n0\r\n\r\n"), want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"unknown: chunk longer than its size":                       {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\none\r\n0\r\n\r\n"), want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"unknown: chunk above the body limit":                       {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\none"), want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"answered: body to the end":                                 {first: always("HTTP/1.1 200 OK\r\n\r\none"), ends: true, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"answered: empty body to the end":                           {first: always("HTTP/1.1 200 OK\r\n\r\n"), ends: true, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"answered: largest body to the end":                         {first: always("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20)), ends: true, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"unknown: body above the limit to the end":                  {first: always("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20+1)), ends: true, want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"unknown: reset before the end":                             {first: always("HTTP/1.1 200 OK\r\n\r\none"), ends: true, resets: true, want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.WorkerConnectionLost, opened: 2},
		"unknown: unresponsive before the end": {first: always("HTTP/1.1 200 OK\r\n\r\none"), change: func(c *schema.ForwardRequest) { c.TimeLeftNanos = int64(20 * time.Millisecond) }, want: [2]schema.CallOutcome{unknown, answeredOutcome},
			code: errs.DeadlineExceeded, opened: 2},
		"unknown: two lengths":               {first: always("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\none"), want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"unknown: not HTTP":                  {first: always("no answer at all\r\n\r\n"), want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"unknown: 101 switches the protocol": {first: always("HTTP/1.1 101 Switching\r\n\r\n"), want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"unknown: success of CONNECT":        {first: always("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"), change: func(c *schema.ForwardRequest) { c.Method = "CONNECT" }, want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"answered: refusal of CONNECT":       {first: always("HTTP/1.1 405 No\r\nContent-Length: 3\r\n\r\none"), change: func(c *schema.ForwardRequest) { c.Method = "CONNECT" }, want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 1},
		"answered: 204 with a length":        {first: always("HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"answered: 204 with a coding":        {first: always("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"), want: [2]schema.CallOutcome{answeredOutcome, answeredOutcome}, opened: 2},
		"unknown: length above the limit":    {first: always("HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n"), want: [2]schema.CallOutcome{unknown, answeredOutcome}, code: errs.InvalidResponse, opened: 2},
		"unknown: unresponsive in the header": {first: always("HTTP/1.1 200 OK\r\n"), change: func(c *schema.ForwardRequest) { c.TimeLeftNanos = int64(20 * time.Millisecond) }, want: [2]schema.CallOutcome{unknown, answeredOutcome},
			code: errs.DeadlineExceeded, opened: 2},
	} {
		t.Run(name, func(t *testing.T) {
			plain := func(id string) string { return answered(id, id) }
			if test.first == nil {
				test.first = plain
			}
			if test.second == nil {
				test.second = plain
			}
			closed := make(chan bool, 1)
			fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, connNumber int) {
				for {
					id := readRequestID(reader)
					text := test.second(id)
					if id == "first" {
						text = test.first(id)
					}
					if id == "" {
						return
					}
					_, _ = conn.Write([]byte(text))
					if test.resets && connNumber == 1 {
						_ = conn.SetLinger(0)
					}
					if connNumber == 1 && test.ends {
						_ = conn.Close() // the second request detects the close
						closed <- true
						return
					}
					// The runner reads nothing after the late response, so the connection is closed.
					if id == "second" && test.want[1] == unknown {
						return
					}
				}
			})
			first := fixture.run(t, "first", test.change)
			if first.Outcome != test.want[0] || (test.code != "" && first.ErrorCode != string(test.code)) {
				t.Errorf("first request: got %v with code %q, want %v with code %q (any if empty)", first.Outcome, first.ErrorCode, test.want[0], test.code)
			}
			if test.ends {
				<-closed
			}
			second := fixture.run(t, "second", nil)
			if second.Outcome != test.want[1] || (test.want[1] == answeredOutcome && string(second.Body) != "second") {
				t.Errorf("second request: got %v with code %q and body %q, want %v, with the body %q if answered",
					second.Outcome, second.ErrorCode, second.Body, test.want[1], "second")
			}
			if first.Outcome == answeredOutcome && strings.HasSuffix(name, "to the end") {
				sent := test.first("first")
				if want := sent[strings.Index(sent, "\r\n\r\n")+4:]; string(first.Body) != want {
					t.Errorf("first request: got a body of %d bytes, want the %d bytes that were sent", len(first.Body), len(want))
				}
			}
			if got := fixture.opened.Load(); got != test.opened {
				t.Errorf("connections to the worker: got %d, want %d", got, test.opened)
			}
		})
	}
}

// A connection on which bytes arrive while it is idle is not used again.
func TestBytesOnIdleConnectionEndIt(t *testing.T) {
	fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, connNumber int) {
		for id := readRequestID(reader); id != ""; id = readRequestID(reader) {
			_, _ = conn.Write([]byte(answered(id, id)))
			if connNumber == 1 {
				_, _ = conn.Write([]byte(answered(id, id)))
			}
		}
	})
	fixture.run(t, "first", nil)
	conns := fixture.workers.byInstance["w"].conns
	if len(conns.idle) > 0 {
		for conns.idle[0].alive() {
			runtime.Gosched()
		}
		// The probe has consumed the bytes, so the connection is closed here for takeIdle to find it unusable.
		_ = conns.idle[0].Close() // the connection is open, so an error is not expected
	}
	if got := fixture.run(t, "second", nil); string(got.Body) != "second" || fixture.opened.Load() != 2 {
		t.Errorf("second request: got %v with body %q over %d connections, want the body %q over 2", got.Outcome, got.Body, fixture.opened.Load(), "second")
	}
}

// A worker that resets a connection may have run the request. A worker that does not listen any more has not run it,
// and its registration ends until it registers again.
func TestResetIsUnknownAndDeadWorkerRunsNothing(t *testing.T) {
	fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
		readRequestID(reader)
		_ = conn.SetLinger(0)
	})
	if got := fixture.run(t, "first", nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN || got.ErrorCode != string(errs.WorkerConnectionLost) {
		t.Errorf("request on a connection that is reset: got %v with code %q, want CALL_OUTCOME_UNKNOWN with code %q", got.Outcome, got.ErrorCode, errs.WorkerConnectionLost)
	}
	fixture.workers.byInstance["w"].conns.address = "127.0.0.1:1"
	for _, want := range []errs.Code{errs.WorkerConnectFailed, errs.WrongInstance} {
		if got := fixture.run(t, string(want), nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || got.ErrorCode != string(want) {
			t.Errorf("request to a worker that does not listen: got %v with code %q, want CALL_OUTCOME_NOT_EXECUTED with code %q", got.Outcome, got.ErrorCode, want)
		}
	}
	// A worker that registers again gets requests again.
	if _, err := fixture.workers.Register(WorkerDescription{ID: "w", Address: fixture.address, Service: "shop", Version: "1", HeartbeatMS: 60000}); err != nil {
		t.Fatalf("Register: %v", err)
	}
	if got := fixture.run(t, "third", nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN {
		t.Errorf("request after the new registration: got %v with code %q, want CALL_OUTCOME_UNKNOWN", got.Outcome, got.ErrorCode)
	}
}

// Requests and responses pass unchanged, whatever their size.
func TestBodiesPassUnchanged(t *testing.T) {
	fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Line: %s %s %s\r\nContent-Length: %d\r\n\r\n%s", request.Method, request.RequestURI, request.Host, len(body), body)
		}
	})
	for _, size := range []int{0, 1, 4095, 65536, 65537, 1 << 20} {
		body := strings.Repeat("x", size)
		got := fixture.run(t, fmt.Sprint(size), func(c *schema.ForwardRequest) {
			c.Method, c.Target, c.Body = "PUT", "/a//b/../%7e?x=%20y&&z", []byte(body)
			c.Checksum = crc32.ChecksumIEEE(c.Body)
		})
		line := FieldValue(got.HeaderBlock, "X-Line")
		if string(got.Body) != body || line != "PUT /a//b/../%7e?x=%20y&&z shop.example" {
			t.Errorf("request with a body of %d bytes: got a body of %d bytes back and the request line %q, want both unchanged", size, len(got.Body), line)
		}
	}
	if fixture.opened.Load() != 1 {
		t.Errorf("connections to the worker: got %d, want 1", fixture.opened.Load())
	}
}

// A worker may answer before it has read the body of a request, and keep the connection. It must then find the rest of
// that body on the connection and, after it, the next request.
func TestAnswerBeforeBodyIsRead(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<16)
	read := make(chan string, 2)
	fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("X-Id")
			_, _ = conn.Write([]byte(answered(id, id)))
			rest, err := io.ReadAll(request.Body)
			read <- string(rest)
			if err != nil {
				return
			}
		}
	})
	for _, id := range []string{"first", "second"} {
		got := fixture.run(t, id, func(c *schema.ForwardRequest) {
			c.Method, c.Body = "PUT", []byte(body)
			c.Checksum = crc32.ChecksumIEEE(c.Body)
		})
		if got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || string(got.Body) != id {
			t.Errorf("%s request: got %v with code %q and body %q, want an answer with the body %q", id, got.Outcome, got.ErrorCode, got.Body, id)
		}
		if rest := <-read; rest != body {
			t.Errorf("%s request: the worker read a body of %d bytes, want the %d bytes that were sent", id, len(rest), len(body))
		}
	}
}

// Large response bodies wait for each other if the memory does not suffice for all of them at once.
func TestLargeBodiesShareMemory(t *testing.T) {
	const size = 1 << 20
	body, begun, resume := strings.Repeat("x", size), make(chan bool), make(chan bool)
	fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
		for id := readRequestID(reader); id != ""; id = readRequestID(reader) {
			text := answered(id, body)
			if id == "first" {
				_, _ = conn.Write([]byte(text[:size/2]))
				begun <- true
				<-resume
				text = text[size/2:]
			}
			_, _ = conn.Write([]byte(text))
		}
	})
	fixture.workers.bodyMemory = semaphore.NewWeighted(size)
	first := make(chan *schema.ForwardResponse)
	go func() { first <- fixture.run(t, "first", nil) }()
	<-begun
	// The first body has acquired its memory once more than one buffer of it is read. The second then finds none left.
	for fixture.workers.bodyMemory.TryAcquire(size) {
		fixture.workers.bodyMemory.Release(size)
		runtime.Gosched()
	}
	second := fixture.run(t, "second", func(c *schema.ForwardRequest) { c.TimeLeftNanos = int64(50 * time.Millisecond) })
	if second.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN || second.ErrorCode != string(errs.DeadlineExceeded) {
		t.Errorf("second request, without memory left for 50ms: got %v with code %q, want CALL_OUTCOME_UNKNOWN with code %q",
			second.Outcome, second.ErrorCode, errs.DeadlineExceeded)
	}
	close(resume)
	if got := <-first; got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || len(got.Body) != size {
		t.Errorf("first request: got %v with a body of %d bytes, want an answer with %d", got.Outcome, len(got.Body), size)
	}
	if got := fixture.run(t, "third", nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || len(got.Body) != size || !fixture.workers.bodyMemory.TryAcquire(size) {
		t.Errorf("third request: got %v with a body of %d bytes, want an answer with %d and all memory released", got.Outcome, len(got.Body), size)
	}
}

// BenchmarkRun measures the worker's side of a call over a loopback socket. The sockets account for most of the time.
func BenchmarkRun(b *testing.B) {
	fixture := newSocketFixture(b, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
		text, request := []byte(answered("", strings.Repeat("x", 400))), make([]byte, 4096)
		for {
			if _, err := reader.Read(request); err != nil {
				return
			}
			_, _ = conn.Write(text)
		}
	})
	b.ReportAllocs()
	for i := range b.N {
		if got := fixture.run(b, fmt.Sprint(i), nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED {
			b.Fatalf("Run(%d): got %v with code %q, want CALL_OUTCOME_ANSWERED", i, got.Outcome, got.ErrorCode)
		}
	}
}
