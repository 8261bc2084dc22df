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
	"meadowhinge/internal/plan"
	"meadowhinge/schema"
)

// testCodec is a codec with a header for everything that a worker may report.
type testCodec struct{ NativeCodec }

func (testCodec) WriteHeaders(request *fasthttp.Request, forward *schema.ForwardRequest, _ WorkerRegistration, _ time.Duration) {
	request.Header.SetHost(forward.Host)
	request.Header.Set("X-Id", forward.Request)
}

func (testCodec) ReadHeader(header *fasthttp.ResponseHeader, request *schema.ForwardRequest) ResponseInfo {
	id := string(header.Peek("X-Id"))
	return ResponseInfo{
		WrongRequest:     id != "" && id != request.Request,
		NotExecuted:      len(header.Peek("X-Unrun")) > 0,
		WrongWorker:      header.StatusCode() == http.StatusMisdirectedRequest,
		ClosesConnection: header.ConnectionClose(),
		EndsAtClose:      true,
	}
}

// socketFixture is a runner with one worker on a loopback socket.
type socketFixture struct {
	runner  *Runner
	workers *Workers
	opened  atomic.Int32 // connections that the worker accepted
	address string
}

// newSocketFixture returns a fixture whose worker serves each connection by serve. connNumber is 1 for the first one.
func newSocketFixture(tb testing.TB, serve func(conn *net.TCPConn, reader *bufio.Reader, connNumber int)) *socketFixture {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() }) // the test is over
	fixture := &socketFixture{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connNumber := int(fixture.opened.Add(1))
			go func() {
				defer func() { _ = conn.Close() }() // the test has reset or closed it already where that matters
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
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		_, _ = fixture.workers.Register(WorkerDescription{ID: "w", Address: fixture.address, Deregistered: true})
	})
	return fixture
}

// run runs a request on the worker, after change if it is not nil.
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

// idOf reads a request and returns its id, empty at the end of the connection.
func idOf(reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("X-Id")
}

// answered returns a complete response to a request.
func answered(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Whatever a worker sends, two successive requests end as they should, and each answer belongs to its own request.
func TestOddWorkers(t *testing.T) {
	answeredEnding, notRunEnding, unknownEnding := schema.CallOutcome_CALL_OUTCOME_ANSWERED, schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED, schema.CallOutcome_CALL_OUTCOME_UNKNOWN
	always := func(text string) func(string) string { return func(string) string { return text } }
	for name, test := range map[string]struct {
		first  func(id string) string // the answer to the first request
		ends   bool                   // the worker then closes
		resets bool                   // it does so by a reset
		second func(id string) string // the answer to the second, on the same connection
		change func(*schema.ForwardRequest)
		want   [2]schema.CallOutcome
		code   errs.Code // of the first
		opened int32
	}{
		"plain":                     {want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"an empty body":             {first: func(id string) string { return answered(id, "") }, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"in chunks":                 {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"), want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"in chunks, with a trailer": {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n3\r\none\r\n0\r\nX-End: 1\r\n\r\n"), want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"interim answers": {first: func(id string) string {
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answered(id, "one")
		}, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"no content":                         {first: always("HTTP/1.1 204 No Content\r\n\r\n"), want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"not modified":                       {first: always("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"), want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"the header alone":                   {first: always("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), change: func(c *schema.ForwardRequest) { c.Method = "HEAD" }, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"closes the connection":              {first: always("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"), want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 2},
		"closes while idle":                  {ends: true, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 2},
		"sends more":                         {first: func(id string) string { return answered(id, "one") + "and more" }, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 2},
		"sends a second response":            {first: func(id string) string { return answered(id, "one") + answered(id, "one") }, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 2},
		"sends a response late":              {second: func(id string) string { return answered("first", "one") + answered(id, id) }, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"sends only a late response":         {second: func(string) string { return answered("first", "one") }, want: [2]schema.CallOutcome{answeredEnding, unknownEnding}, opened: 1},
		"refuses":                            {first: always("HTTP/1.1 503 No\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n"), want: [2]schema.CallOutcome{notRunEnding, answeredEnding}, code: errs.QueueFull, opened: 1},
		"refuses, truncated":                 {first: always("HTTP/1.1 503 No\r\nX-Unrun: 1\r\nContent-Length: 5\r\n\r\n"), ends: true, want: [2]schema.CallOutcome{notRunEnding, answeredEnding}, code: errs.QueueFull, opened: 2},
		"is another worker":                  {first: always("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"), want: [2]schema.CallOutcome{notRunEnding, notRunEnding}, code: errs.WrongInstance, opened: 1},
		"an error of its own":                {first: always("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"), want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"closes instead of a response":       {first: always(""), ends: true, want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.WorkerConnectionLost, opened: 2},
		"truncated in the header":            {first: always("HTTP/1.1 200 OK\r\nContent-Le"), ends: true, want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, opened: 2},
		"truncated in the body":              {first: always("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none"), ends: true, want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.WorkerConnectionLost, opened: 2},
		"truncated in a chunk":               {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\none"), ends: true, want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, opened: 2},
		"truncated before the trailer":       {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n"), ends: true, want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, opened: 2},
		"chunks with extensions and padding": {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\none\r\n0003 \r\ntwo\r\n0\r\n\r\n"), want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 1},
		"a chunk with no size":               {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\none\r\n0\r\n\r\n"), want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.InvalidResponse, opened: 2},
		"a chunk too long":                   {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\none\r\n0\r\n\r\n"), want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.InvalidResponse, opened: 2},
		"chunks too large":                   {first: always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\none"), want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.InvalidResponse, opened: 2},
		"to the end":                         {first: always("HTTP/1.1 200 OK\r\n\r\none"), ends: true, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 2},
		"nothing to the end":                 {first: always("HTTP/1.1 200 OK\r\n\r\n"), ends: true, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 2},
		"much to the end":                    {first: always("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20)), ends: true, want: [2]schema.CallOutcome{answeredEnding, answeredEnding}, opened: 2},
		"too much to the end":                {first: always("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20+1)), ends: true, want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.InvalidResponse, opened: 2},
		"reset before the end":               {first: always("HTTP/1.1 200 OK\r\n\r\none"), ends: true, resets: true, want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.WorkerConnectionLost, opened: 2},
		"unresponsive before the end": {first: always("HTTP/1.1 200 OK\r\n\r\none"), change: func(c *schema.ForwardRequest) { c.TimeLeftNanos = int64(20 * time.Millisecond) }, want: [2]schema.CallOutcome{unknownEnding, answeredEnding},
			code: errs.DeadlineExceeded, opened: 2},
		"two lengths":      {first: always("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\none"), want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.InvalidResponse, opened: 2},
		"no answer":        {first: always("no answer at all\r\n\r\n"), want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.InvalidResponse, opened: 2},
		"changes protocol": {first: always("HTTP/1.1 101 Switching\r\n\r\n"), want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.InvalidResponse, opened: 2},
		"too much":         {first: always("HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n"), want: [2]schema.CallOutcome{unknownEnding, answeredEnding}, code: errs.InvalidResponse, opened: 2},
		"unresponsive": {first: always("HTTP/1.1 200 OK\r\n"), change: func(c *schema.ForwardRequest) { c.TimeLeftNanos = int64(20 * time.Millisecond) }, want: [2]schema.CallOutcome{unknownEnding, answeredEnding},
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
			result := make(chan bool, 1)
			fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, connNumber int) {
				for {
					id := idOf(reader)
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
						_ = conn.Close() // the second request finds out
						result <- true
						return
					}
					// The runner reads no more than the one late response.
					if id == "second" && test.want[1] == unknownEnding {
						return
					}
				}
			})
			first := fixture.run(t, "first", test.change)
			if first.Outcome != test.want[0] || (test.code != "" && first.ErrorCode != string(test.code)) {
				t.Errorf("the first ended %v with %s, want %v with %s", first.Outcome, first.ErrorCode, test.want[0], test.code)
			}
			if test.ends {
				<-result
			}
			second := fixture.run(t, "second", nil)
			if second.Outcome != test.want[1] || (test.want[1] == answeredEnding && string(second.Body) != "second") {
				t.Errorf("the second ended %v with %s and %q, want %v", second.Outcome, second.ErrorCode, second.Body, test.want[1])
			}
			if first.Outcome == answeredEnding && strings.HasSuffix(name, "to the end") {
				sent := test.first("first")
				if want := sent[strings.Index(sent, "\r\n\r\n")+4:]; string(first.Body) != want {
					t.Errorf("%d bytes came of %d", len(first.Body), len(want))
				}
			}
			if got := fixture.opened.Load(); got != test.opened {
				t.Errorf("%d connections, want %d", got, test.opened)
			}
		})
	}
}

// A connection on which bytes arrive while no request is under way is not used again.
func TestUnaskedBytesEndAConnection(t *testing.T) {
	fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, connNumber int) {
		for id := idOf(reader); id != ""; id = idOf(reader) {
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
		// The peek has consumed the bytes, so the connection is closed for takeIdle to find it unusable.
		_ = conns.idle[0].Close() // it is open until now
	}
	if got := fixture.run(t, "second", nil); string(got.Body) != "second" || fixture.opened.Load() != 2 {
		t.Errorf("ended %v with %q over %d connections", got.Outcome, got.Body, fixture.opened.Load())
	}
}

// A worker that resets a connection may have run the request; one that does not listen any more has not.
func TestResetAndDeadWorkers(t *testing.T) {
	fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
		idOf(reader)
		_ = conn.SetLinger(0)
	})
	if got := fixture.run(t, "first", nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN || got.ErrorCode != string(errs.WorkerConnectionLost) {
		t.Errorf("ended %v with %s", got.Outcome, got.ErrorCode)
	}
	fixture.workers.byInstance["w"].conns.address = "127.0.0.1:1"
	for _, want := range []errs.Code{errs.WorkerConnectFailed, errs.WrongInstance} {
		if got := fixture.run(t, string(want), nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_NOT_EXECUTED || got.ErrorCode != string(want) {
			t.Errorf("ended %v with %s, want %s", got.Outcome, got.ErrorCode, want)
		}
	}
	// A worker that registers again gets requests again.
	if _, err := fixture.workers.Register(WorkerDescription{ID: "w", Address: fixture.address, Service: "shop", Version: "1", HeartbeatMS: 60000}); err != nil {
		t.Fatal(err)
	}
	if got := fixture.run(t, "third", nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN {
		t.Errorf("ended %v with %s", got.Outcome, got.ErrorCode)
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
		line := FieldOf(got.HeaderBlock, "X-Line")
		if string(got.Body) != body || line != "PUT /a//b/../%7e?x=%20y&&z shop.example" {
			t.Errorf("%d bytes came back as %d, of %q", size, len(got.Body), line)
		}
	}
	if fixture.opened.Load() != 1 {
		t.Errorf("%d connections", fixture.opened.Load())
	}
}

// A worker may answer before it has read a body, keep the connection and read on later: it then finds the rest of that body
// and, after it, the next request.
func TestAnsweredBeforeTheBodyIsRead(t *testing.T) {
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
			t.Errorf("%s ended %v with %s and %q", id, got.Outcome, got.ErrorCode, got.Body)
		}
		if rest := <-read; rest != body {
			t.Errorf("%s: the worker read %d bytes of %d", id, len(rest), len(body))
		}
	}
}

// Large bodies wait for each other where their memory does not suffice for all at once.
func TestLargeAnswersTakeTurns(t *testing.T) {
	const size = 1 << 20
	body, begun, resume := strings.Repeat("x", size), make(chan bool), make(chan bool)
	fixture := newSocketFixture(t, func(conn *net.TCPConn, reader *bufio.Reader, _ int) {
		for id := idOf(reader); id != ""; id = idOf(reader) {
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
	// The first has acquired its memory once it has read more than one chunk: the second then finds none.
	for fixture.workers.bodyMemory.TryAcquire(size) {
		fixture.workers.bodyMemory.Release(size)
		runtime.Gosched()
	}
	hasty := fixture.run(t, "hasty", func(c *schema.ForwardRequest) { c.TimeLeftNanos = int64(50 * time.Millisecond) })
	if hasty.Outcome != schema.CallOutcome_CALL_OUTCOME_UNKNOWN || hasty.ErrorCode != string(errs.DeadlineExceeded) {
		t.Errorf("ended %v with %s beside another", hasty.Outcome, hasty.ErrorCode)
	}
	close(resume)
	if got := <-first; got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || len(got.Body) != size {
		t.Errorf("the first ended %v with %d bytes", got.Outcome, len(got.Body))
	}
	if got := fixture.run(t, "third", nil); got.Outcome != schema.CallOutcome_CALL_OUTCOME_ANSWERED || len(got.Body) != size || !fixture.workers.bodyMemory.TryAcquire(size) {
		t.Errorf("the third ended %v with %d bytes, or its memory is not released", got.Outcome, len(got.Body))
	}
}

// BenchmarkHop measures the worker's side of a call. Most of it is the sockets.
func BenchmarkHop(b *testing.B) {
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
			b.Fatal(got)
		}
	}
}
