package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
)

// receivedRequest is a request as the listener handed it to its handler.
type receivedRequest struct {
	Method, Host, Target, Body string
	Fields                     []HeaderField
}

// listenerHarness is a caller listener whose handler shows each request to the test and answers with its target.
type listenerHarness struct {
	listener    *callerListener
	address     string
	draining    atomic.Bool
	received    chan receivedRequest
	release     chan struct{} // a request of /held waits until the test closes this
	uplinkBytes atomic.Int64  // bytes of responses that used the machine's uplink
	canceled    atomic.Int64  // requests of /held whose context ended while they waited
}

// testTimeout bounds every wait of these tests. It is far longer than any takes, also on an overloaded machine.
const testTimeout = time.Minute

func startListener(t *testing.T, limits requestLimits) *listenerHarness {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	harness := &listenerHarness{
		address:  listener.Addr().String(),
		received: make(chan receivedRequest, 64),
		release:  make(chan struct{}),
	}
	harness.listener = newCallerListener(listener, 64, int64(limits.bodyBytes), &harness.draining, func() requestLimits { return limits })
	harness.listener.writeError = func(_ *RequestHeader, err error, response *Response) {
		response.Status, response.Body = errs.HTTPStatus(errs.CodeOf(err)), []byte(errs.CodeOf(err))
	}
	harness.listener.handle = func(ctx context.Context, header *RequestHeader, body []byte, _ time.Time, response *Response) {
		header.selectForwarded(func(name string) bool { return dispatch.NativeCodec{}.PassesHeader([]byte(name), false) })
		harness.received <- receivedRequest{
			Method: header.Method,
			Host:   header.Host,
			Target: header.Target,
			Body:   string(body),
			Fields: append([]HeaderField(nil), header.forwarded...),
		}
		if header.Path == "/held" {
			stop := context.AfterFunc(ctx, func() { harness.canceled.Add(1) })
			defer stop()
			<-harness.release
		}
		response.Status, response.Body = http.StatusOK, []byte(header.Target)
		if header.Path == "/large" {
			response.Body = []byte(strings.Repeat("x", 4*maxCombinedWriteBytes))
		}
	}
	harness.listener.onWritten = func(bytes int) { harness.uplinkBytes.Add(int64(bytes)) }
	go harness.listener.acceptLoop()
	t.Cleanup(func() {
		done := make(chan struct{})
		close(done)
		harness.listener.shutDown(done)
	})
	return harness
}

func (h *listenerHarness) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn, bufio.NewReader(conn)
}

// writeText writes a text to a connection, all of it.
func writeText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// closeConn closes a connection that the test has not closed yet.
func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// readResponse reads one response: its status, its body, and whether the connection ends with it.
func readResponse(t *testing.T, reader *bufio.Reader, method string) (status int, body string, closeAfter bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer func() { _ = response.Body.Close() }() // it is read to its end
	read, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("response cut short: %v", err)
	}
	return response.StatusCode, string(read), response.Close
}

// requireInterimResponse reads the interim response with which the proxy probes a caller that sends nothing more.
func requireInterimResponse(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("%v instead of an interim response", err)
	}
	defer func() { _ = response.Body.Close() }() // it is empty
	if response.StatusCode != http.StatusContinue {
		t.Fatalf("status %d instead of an interim response", response.StatusCode)
	}
}

var defaultLimits = requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 16, headerTimeout: testTimeout, idleTimeout: testTimeout}

// A request that two readers could understand differently, or that exceeds a limit, is rejected, and nothing after it
// on the connection is taken for a request: otherwise a caller could smuggle a request past the checks of the first.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: b\r\n\r\n"
	largeTrailer := "0\r\nX: " + strings.Repeat("x", defaultLimits.headerBytes) + "\r\n\r\n"
	post := func(fields, body string) string {
		return "POST /a HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body
	}
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"length and chunks":            {post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
		"chunks and length":            {post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n"), 400},
		"two lengths":                  {post("Content-Length: 4\r\nContent-Length: 5\r\n", "abcde"), 400},
		"the same length twice":        {post("Content-Length: 4\r\nContent-Length: 4\r\n", "abcd"), 400},
		"a list of lengths":            {post("Content-Length: 4, 4\r\n", "abcd"), 400},
		"a signed length":              {post("Content-Length: +4\r\n", "abcd"), 400},
		"a hexadecimal length":         {post("Content-Length: 0x4\r\n", "abcd"), 400},
		"a negative length":            {post("Content-Length: -4\r\n", "abcd"), 400},
		"a length beyond all numbers":  {post("Content-Length: 99999999999999999999\r\n", "abcd"), 400},
		"an empty length":              {post("Content-Length:\r\n", "abcd"), 400},
		"an encoding not known":        {post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400},
		"an encoding spelled oddly":    {post("Transfer-Encoding: \x0bchunked\r\n", "0\r\n\r\n"), 400},
		"two encodings":                {post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
		"identity":                     {post("Transfer-Encoding: identity\r\n", ""), 400},
		"chunks in the old protocol":   {"POST /a HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"a chunk size that is none":    {post("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400},
		"a chunk size with a sign":     {post("Transfer-Encoding: chunked\r\n", "+4\r\nabcd\r\n0\r\n\r\n"), 400},
		"a chunk size with a prefix":   {post("Transfer-Encoding: chunked\r\n", "0x4\r\nabcd\r\n0\r\n\r\n"), 400},
		"a chunk size after a space":   {post("Transfer-Encoding: chunked\r\n", " 4\r\nabcd\r\n0\r\n\r\n"), 400},
		"a chunk size beyond numbers":  {post("Transfer-Encoding: chunked\r\n", "10000000000000004\r\nabcd\r\n0\r\n\r\n"), 400},
		"an empty chunk size":          {post("Transfer-Encoding: chunked\r\n", "\r\nabcd\r\n0\r\n\r\n"), 400},
		"a chunk longer than its size": {post("Transfer-Encoding: chunked\r\n", "4\r\nabcdef\r\n0\r\n\r\n"), 400},
		"a bare end of a chunk":        {post("Transfer-Encoding: chunked\r\n", "4\nabcd\r\n0\r\n\r\n"), 400},
		"a bare end in an extension":   {post("Transfer-Encoding: chunked\r\n", "4;a\nabcd\r\n0\r\n\r\n"), 400},
		"a bare line end":              {"GET /a HTTP/1.1\r\nHost: a\nX: y\r\n\r\n", 400},
		"bare line ends alone":         {"GET /a HTTP/1.1\nHost: a\n\n", 400},
		"a bare carriage return":       {"GET /a HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n", 400},
		"a space before the colon":     {"GET /a HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\n", 400},
		"a folded line":                {"GET /a HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n", 400},
		"a first line that is folded":  {"GET /a HTTP/1.1\r\n Host: a\r\n\r\n", 400},
		"a line without a colon":       {"GET /a HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", 400},
		"a nameless line":              {"GET /a HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", 400},
		"a zero byte":                  {"GET /a HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", 400},
		"no host":                      {"GET /a HTTP/1.1\r\n\r\n", 400},
		"two hosts":                    {"GET /a HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400},
		"a host that is none":          {"GET /a HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
		"a space in the target":        {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"two spaces":                   {"GET  /a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"a target that is none":        {"GET a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"an authority":                 {"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"another protocol":             {"GET /a HTTP/2.0\r\nHost: a\r\n\r\n", 400},
		"a method that is none":        {"G(T /a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"an expectation not known":     {post("Expect: 200-ok\r\nContent-Length: 4\r\n", "abcd"), 400},
		"a body that is too large":     {post(fmt.Sprintf("Content-Length: %d\r\n", defaultLimits.bodyBytes+1), ""), 413},
		"chunks that are too large":    {post("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", defaultLimits.bodyBytes+1)), 413},
		"a head that is too large":     {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", defaultLimits.headerBytes) + "\r\n\r\n", 431},
		"a target that is too long":    {"GET /" + strings.Repeat("x", defaultLimits.headerBytes) + " HTTP/1.1\r\nHost: a\r\n\r\n", 431},
		"a head without an end":        {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 4*defaultLimits.headerBytes), 431},
		"a trailer that is too large":  {post("Transfer-Encoding: chunked\r\n", largeTrailer), 431},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := startListener(t, defaultLimits)
			conn, reader := harness.dial(t)
			if _, err := io.WriteString(conn, test.text+smuggled); err != nil {
				t.Fatal(err)
			}
			if status, _, closes := readResponse(t, reader, "GET"); status != test.want || !closes {
				t.Errorf("status %d, closes %t; want %d and true", status, closes, test.want)
			}
			if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
				t.Errorf("then %q, %v", rest, err)
			}
			select {
			case got := <-harness.received:
				t.Errorf("the handler received %+v", got)
			default:
			}
		})
	}
}

// A valid request reaches the handler as it was sent: target, names and order of header fields, and body, however its
// bytes are split into writes.
func TestValidRequestsAreForwardedUnchanged(t *testing.T) {
	sentField := HeaderField{"X", "1"}
	largeBody := strings.Repeat("0123456789abcdef", 4096)
	longValue := strings.Repeat("x", defaultLimits.headerBytes-len("Host: a\r\nX: \r\n\r\n"))
	for name, test := range map[string]struct {
		text string
		want receivedRequest
	}{
		"plain": {
			"GET /a HTTP/1.1\r\nHost: a.b:80\r\nX: 1\r\n\r\n",
			receivedRequest{"GET", "a.b:80", "/a", "", []HeaderField{sentField}},
		},
		"a target": {
			"GET /a/../b//%2e%2F/%61?x=/../%20+&y HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"GET", "a", "/a/../b//%2e%2F/%61?x=/../%20+&y", "", nil},
		},
		"an absolute one": {
			"GET HTTP://b.c/a?d HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"GET", "b.c", "/a?d", "", nil},
		},
		"a bare host": {
			"GET http://b.c?d HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"GET", "b.c", "/?d", "", nil},
		},
		"a star": {
			"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"OPTIONS", "a", "*", "", nil},
		},
		"names and order": {
			"GET /a HTTP/1.1\r\nhOsT: a\r\nx-B: 1\r\nX-a:2\r\nX-B: \t3 \r\nx-c:\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{{"x-B", "1"}, {"X-a", "2"}, {"X-B", "3"}, {"x-c", ""}}},
		},
		"of one connection": {
			"GET /a HTTP/1.1\r\nHost: a\r\nConnection: x-b , keep-alive\r\nX-B: 1\r\nKeep-Alive: 3\r\nTE: trailers\r\nUpgrade: x\r\nX: 1\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{sentField}},
		},
		"our own namespace": {
			"GET /a HTTP/1.1\r\nHost: a\r\nMeadowhinge-Caller: b\r\nX: 1\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{sentField}},
		},
		"a length": {
			"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na\r\n\x00",
			receivedRequest{"PUT", "a", "/a", "a\r\n\x00", nil},
		},
		"chunks": {
			"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0A;b=\"c\"\r\n0123456789\r\n000\r\nX: 1\r\n\r\n",
			receivedRequest{"PUT", "a", "/a", "a0123456789", nil},
		},
		"empty chunks": {
			"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			receivedRequest{"PUT", "a", "/a", "", nil},
		},
		"ends before": {
			"\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", nil},
		},
		"the old protocol": {
			"GET /a HTTP/1.0\r\n\r\n",
			receivedRequest{"GET", "", "/a", "", nil},
		},
		"a large body": {
			"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n" + largeBody,
			receivedRequest{"PUT", "a", "/a", largeBody, nil},
		},
		"a head at a bound": {
			"GET /a HTTP/1.1\r\nHost: a\r\nX: " + longValue + "\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{{"X", longValue}}},
		},
	} {
		for _, step := range []int{1 << 20, 1, 7} {
			t.Run(fmt.Sprint(name, " by ", step), func(t *testing.T) {
				t.Parallel()
				if step == 1 && len(test.text) > 1<<12 {
					step = 100
				}
				harness := startListener(t, defaultLimits)
				conn, reader := harness.dial(t)
				for rest := test.text; rest != ""; {
					part := rest[:min(step, len(rest))]
					if _, err := io.WriteString(conn, part); err != nil {
						t.Fatal(err)
					}
					rest = rest[len(part):]
				}
				if status, body, _ := readResponse(t, reader, test.want.Method); status != 200 || body != test.want.Target {
					t.Fatalf("status %d, body %q", status, body)
				}
				if diff := cmp.Diff(test.want, <-harness.received); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// Requests on one connection are answered in the order in which they arrive, also if the caller sends the next before
// it has the response to the last. A request with Connection: close ends the connection.
func TestConnectionsAreReused(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, reader := harness.dial(t)
	text := "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" +
		"HEAD /2 HTTP/1.1\r\nHost: a\r\n\r\n" +
		"PUT /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" +
		"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []struct {
		method, body string
		length       int
	}{{"GET", "/1", 2}, {"HEAD", "", 0}, {"PUT", "/3", 2}, {"GET", "", 4 * maxCombinedWriteBytes}} {
		status, body, closes := readResponse(t, reader, want.method)
		if status != 200 || len(body) != want.length || (want.body != "" && body != want.body) || closes {
			t.Fatalf("%s: %d, %d bytes, closes %t", want.method, status, len(body), closes)
		}
	}
	// A caller that expects an interim response before it sends the body gets one.
	writeText(t, conn, "PUT /4 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n")
	if line, _ := reader.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("interim response %q", line)
	}
	if line, err := reader.ReadString('\n'); line != "\r\n" {
		t.Fatalf("interim response ends with %q, %v", line, err)
	}
	writeText(t, conn, "abc")
	if status, body, closes := readResponse(t, reader, "PUT"); status != 200 || body != "/4" || !closes {
		t.Errorf("%d %q %t", status, body, closes)
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("then %q, %v", rest, err)
	}
}

// Callers keep connections that they do not use again. A new connection replaces the one that has been idle the
// longest, never one with a call under way.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	harness := startListener(t, defaultLimits)
	harness.listener.lock.Lock()
	harness.listener.maxConnections = 3
	harness.listener.lock.Unlock()
	idleCount := func() (count int) {
		harness.listener.lock.Lock()
		defer harness.listener.lock.Unlock()
		for open := range harness.listener.connections {
			if open.idleSince.Load() != 0 {
				count++
			}
		}
		return count
	}
	call := func(conn net.Conn, reader *bufio.Reader, path string) {
		t.Helper()
		writeText(t, conn, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path))
		if status, body, _ := readResponse(t, reader, "GET"); status != 200 || body != path {
			t.Fatalf("%s: %d %q", path, status, body)
		}
	}
	busy, busyReader := harness.dial(t)
	writeText(t, busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	first, firstReader := harness.dial(t)
	call(first, firstReader, "/first")
	for idleCount() < 1 {
		runtime.Gosched()
	}
	second, secondReader := harness.dial(t)
	call(second, secondReader, "/second")
	for idleCount() < 2 {
		runtime.Gosched()
	}
	third, thirdReader := harness.dial(t)
	call(third, thirdReader, "/third")
	if got, err := io.ReadAll(firstReader); len(got) > 0 || err != nil {
		t.Errorf("the connection idle for the longest time got %q, %v", got, err)
	}
	call(second, secondReader, "/again")
	close(harness.release)
	if status, body, _ := readResponse(t, busyReader, "GET"); status != 200 || body != "/held" {
		t.Errorf("the connection with a call got %d %q", status, body)
	}
}

// If every connection has a call under way, a new connection is closed at once.
func TestBusyConnectionsMakeNoRoom(t *testing.T) {
	harness := startListener(t, defaultLimits)
	harness.listener.lock.Lock()
	harness.listener.maxConnections = 1
	harness.listener.lock.Unlock()
	busy, busyReader := harness.dial(t)
	writeText(t, busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	_, reader := harness.dial(t)
	if got, _ := io.ReadAll(reader); len(got) > 0 {
		t.Errorf("got %q", got)
	}
	close(harness.release)
	if status, _, _ := readResponse(t, busyReader, "GET"); status != 200 {
		t.Errorf("the connection with a call got %d", status)
	}
}

// A header or body that does not arrive in time is rejected; an idle connection ends without a response.
func TestSlowCallersTimeOut(t *testing.T) {
	const soon = 30 * time.Millisecond
	shortHeaderTimeout := requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 10, headerTimeout: soon, idleTimeout: testTimeout}
	shortIdleTimeout := requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 10, headerTimeout: testTimeout, idleTimeout: soon}
	for name, test := range map[string]struct {
		limits requestLimits
		text   string
		want   string
	}{
		"head":  {shortHeaderTimeout, "GET /a HTTP/1.1\r\nHo", "HTTP/1.1 408 "},
		"body":  {shortIdleTimeout, "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na", "HTTP/1.1 408 "},
		"chunk": {shortIdleTimeout, "PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1", "HTTP/1.1 408 "},
		"quiet": {shortIdleTimeout, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := startListener(t, test.limits)
			conn, reader := harness.dial(t)
			writeText(t, conn, test.text)
			got, err := io.ReadAll(reader)
			if err != nil || !strings.HasPrefix(string(got), test.want) || (test.want == "") != (len(got) == 0) {
				t.Errorf("got %q, %v", got, err)
			}
			if len(harness.received) > 0 {
				t.Error("the handler received it")
			}
		})
	}
}

// Large bodies share a bounded capacity: a body that exceeds it is rejected, and the capacity of a body is free again
// once its request is answered.
func TestLargeBodiesShareCapacity(t *testing.T) {
	harness := startListener(t, requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 20, headerTimeout: testTimeout, idleTimeout: testTimeout})
	put := func(path string, size int) string {
		return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
	}
	first, firstReader := harness.dial(t)
	writeText(t, first, put("/held", 1<<20))
	<-harness.received
	second, secondReader := harness.dial(t)
	writeText(t, second, put("/small", smallBodyBytes))
	if status, _, _ := readResponse(t, secondReader, "PUT"); status != 200 {
		t.Errorf("a small body got %d", status)
	}
	// The rejection may cut the write short.
	go func() { _, _ = io.WriteString(second, put("/large", smallBodyBytes+1)) }()
	if status, _, closes := readResponse(t, secondReader, "PUT"); status != 503 || !closes {
		t.Errorf("a large body beyond the capacity got %d, closes %t", status, closes)
	}
	close(harness.release)
	readResponse(t, firstReader, "PUT")
	writeText(t, first, put("/large", 1<<20))
	if status, _, _ := readResponse(t, firstReader, "PUT"); status != 200 {
		t.Errorf("a large body with free capacity got %d", status)
	}
}

// A caller that disconnects ends its request's context. The handler decides what that means, and shutDown waits until
// it has returned.
func TestRequestsOutliveTheirConnection(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, _ := harness.dial(t)
	writeText(t, conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	closeConn(t, conn)
	waitFor(t, "the end of the request's context", func() bool { return harness.canceled.Load() == 1 })
	close(harness.release)
	until, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if !harness.listener.shutDown(until.Done()) {
		t.Error("the request did not end")
	}
}

// While draining is set each response ends its connection, but new connections are accepted. shutDown closes idle
// connections and lets requests that were read be answered.
func TestCallerListenerShutsDownInOrder(t *testing.T) {
	harness := startListener(t, defaultLimits)
	idle, idleReader := harness.dial(t)
	writeText(t, idle, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, idleReader, "GET")
	harness.draining.Store(true)
	fresh, freshReader := harness.dial(t)
	writeText(t, fresh, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _, closes := readResponse(t, freshReader, "GET"); status != 200 || !closes {
		t.Errorf("%d, closes %t", status, closes)
	}
	busy, busyReader := harness.dial(t)
	writeText(t, busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	for received := range harness.received {
		if received.Target == "/held" {
			break
		}
	}
	ended := make(chan bool, 1)
	go func() { ended <- harness.listener.shutDown(nil) }()
	if rest, err := io.ReadAll(idleReader); len(rest) > 0 || err != nil {
		t.Errorf("an idle connection ended with %q, %v", rest, err)
	}
	close(harness.release)
	if status, _, _ := readResponse(t, busyReader, "GET"); status != 200 {
		t.Errorf("the last request got %d", status)
	}
	if !<-ended {
		t.Error("not all connections finished")
	}
	if _, err := net.Dial("tcp", harness.address); err == nil {
		t.Error("connections are still accepted")
	}
}

// Only responses to callers on other machines count against the machine's uplink.
func TestOnlyResponsesThatLeaveTheMachineUseItsUplink(t *testing.T) {
	for from, usesUplink := range map[string]bool{"127.0.0.1": false, "127.0.0.2": true} {
		t.Run(from, func(t *testing.T) {
			harness := startListener(t, defaultLimits)
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
			conn, err := dialer.DialContext(t.Context(), "tcp", harness.address)
			if err != nil {
				t.Fatal(err)
			}
			defer closeConn(t, conn)
			if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			reader, sent := bufio.NewReader(conn), 0
			// The first response is counted before the second request of its connection is read.
			for range 2 {
				if _, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response.Body)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close() // it is read to its end
				sent += len(body)
			}
			if got := harness.uplinkBytes.Load(); got > 0 != usesUplink || usesUplink && got < int64(sent/2) {
				t.Errorf("responses to %s used %d bytes of the uplink", from, got)
			}
		})
	}
}
