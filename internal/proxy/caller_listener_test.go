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

// receivedRequest is a request as the handler of the listener received it.
type receivedRequest struct {
	Method, Host, Target, Body string
	Fields                     []HeaderField // forwarded fields
}

// listenerHarness is a caller listener whose handler passes each request to the test and answers with the target.
type listenerHarness struct {
	listener    *callerListener
	address     string
	draining    atomic.Bool
	received    chan receivedRequest // requests in the order of arrival
	release     chan struct{}        // closed by the test to answer requests for /held
	uplinkBytes atomic.Int64         // bytes of responses counted against the machine's uplink
	canceled    atomic.Int64         // requests for /held whose context ended before release
}

// testTimeout bounds every wait in these tests. It is far longer than any of them takes, even on an overloaded machine.
const testTimeout = time.Minute

// startListener starts a caller listener on the loopback interface. It ends with the test.
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
	harness.listener = newCallerListener(listener, 64, int64(limits.maxBodyBytes), &harness.draining, func() requestLimits { return limits })
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

// dial opens a connection to the listener with a deadline of testTimeout.
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

// writeText writes text to a connection and fails the test on an error.
func writeText(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// closeConn closes a connection that is still open and reports an error to the test.
func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// readResponse reads one response. It returns the status, the body, and whether the response announces the close of the
// connection.
func readResponse(t *testing.T, reader *bufio.Reader, method string) (status int, body string, closeAfter bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("read response header: %v", err)
	}
	defer func() { _ = response.Body.Close() }() // read to its end
	read, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("read response body: %v", err)
	}
	return response.StatusCode, string(read), response.Close
}

// requireInterimResponse reads the interim response with which the proxy probes a caller that closed its sending side.
func requireInterimResponse(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("read interim response: %v", err)
	}
	defer func() { _ = response.Body.Close() }() // an interim response has no body
	if response.StatusCode != http.StatusContinue {
		t.Fatalf("interim response: status %d, want %d", response.StatusCode, http.StatusContinue)
	}
}

// defaultLimits are the limits of tests that do not wait for a timeout.
var defaultLimits = requestLimits{maxHeaderBytes: 1 << 10, maxBodyBytes: 1 << 16, headerTimeout: testTimeout, idleTimeout: testTimeout}

// A request that two parsers could interpret differently, or that exceeds a limit, is rejected. The bytes that follow
// are not parsed as a request; otherwise a caller could smuggle a second request past the checks of the first one.
func TestAmbiguousAndOversizedRequestsAreRejected(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: b\r\n\r\n"
	largeTrailer := "0\r\nX: " + strings.Repeat("x", defaultLimits.maxHeaderBytes) + "\r\n\r\n"
	post := func(fields, body string) string {
		return "POST /a HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body
	}
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"Content-Length before Transfer-Encoding": {post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
		"Transfer-Encoding before Content-Length": {post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n"), 400},
		"two different lengths":                   {post("Content-Length: 4\r\nContent-Length: 5\r\n", "abcde"), 400},
		"the same length twice":                   {post("Content-Length: 4\r\nContent-Length: 4\r\n", "abcd"), 400},
		"list of lengths":                         {post("Content-Length: 4, 4\r\n", "abcd"), 400},
		"length with plus sign":                   {post("Content-Length: +4\r\n", "abcd"), 400},
		"hexadecimal length":                      {post("Content-Length: 0x4\r\n", "abcd"), 400},
		"negative length":                         {post("Content-Length: -4\r\n", "abcd"), 400},
		"length overflow":                         {post("Content-Length: 99999999999999999999\r\n", "abcd"), 400},
		"empty length":                            {post("Content-Length:\r\n", "abcd"), 400},
		"unsupported transfer encoding":           {post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400},
		"control character in transfer encoding":  {post("Transfer-Encoding: \x0bchunked\r\n", "0\r\n\r\n"), 400},
		"two transfer encodings":                  {post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
		"identity transfer encoding":              {post("Transfer-Encoding: identity\r\n", ""), 400},
		"chunked body in HTTP/1.0":                {"POST /a HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"chunk size not hexadecimal":              {post("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400},
		"chunk size with plus sign":               {post("Transfer-Encoding: chunked\r\n", "+4\r\nabcd\r\n0\r\n\r\n"), 400},
		"chunk size with 0x prefix":               {post("Transfer-Encoding: chunked\r\n", "0x4\r\nabcd\r\n0\r\n\r\n"), 400},
		"chunk size after space":                  {post("Transfer-Encoding: chunked\r\n", " 4\r\nabcd\r\n0\r\n\r\n"), 400},
		"chunk size overflow":                     {post("Transfer-Encoding: chunked\r\n", "10000000000000004\r\nabcd\r\n0\r\n\r\n"), 400},
		"empty chunk size":                        {post("Transfer-Encoding: chunked\r\n", "\r\nabcd\r\n0\r\n\r\n"), 400},
		"chunk longer than its size":              {post("Transfer-Encoding: chunked\r\n", "4\r\nabcdef\r\n0\r\n\r\n"), 400},
		"bare LF after chunk size":                {post("Transfer-Encoding: chunked\r\n", "4\nabcd\r\n0\r\n\r\n"), 400},
		"bare LF in chunk extension":              {post("Transfer-Encoding: chunked\r\n", "4;a\nabcd\r\n0\r\n\r\n"), 400},
		"bare LF after header line":               {"GET /a HTTP/1.1\r\nHost: a\nX: y\r\n\r\n", 400},
		"bare LF after all lines":                 {"GET /a HTTP/1.1\nHost: a\n\n", 400},
		"bare CR in header value":                 {"GET /a HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n", 400},
		"space before colon":                      {"GET /a HTTP/1.1\r\nHost: a\r\nContent-Length : 4\r\n\r\n", 400},
		"folded header line":                      {"GET /a HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n", 400},
		"folded first header line":                {"GET /a HTTP/1.1\r\n Host: a\r\n\r\n", 400},
		"header line without colon":               {"GET /a HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", 400},
		"header line without name":                {"GET /a HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", 400},
		"NUL in header value":                     {"GET /a HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", 400},
		"no Host":                                 {"GET /a HTTP/1.1\r\n\r\n", 400},
		"two Hosts":                               {"GET /a HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400},
		"invalid Host":                            {"GET /a HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
		"space in target":                         {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"two spaces before target":                {"GET  /a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"target without slash":                    {"GET a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"target in authority form":                {"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"unsupported protocol version":            {"GET /a HTTP/2.0\r\nHost: a\r\n\r\n", 400},
		"invalid method":                          {"G(T /a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"unsupported expectation":                 {post("Expect: 200-ok\r\nContent-Length: 4\r\n", "abcd"), 400},
		"Content-Length above the limit":          {post(fmt.Sprintf("Content-Length: %d\r\n", defaultLimits.maxBodyBytes+1), ""), 413},
		"chunk size above the limit":              {post("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", defaultLimits.maxBodyBytes+1)), 413},
		"header lines above the limit":            {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", defaultLimits.maxHeaderBytes) + "\r\n\r\n", 431},
		"request line above the limit":            {"GET /" + strings.Repeat("x", defaultLimits.maxHeaderBytes) + " HTTP/1.1\r\nHost: a\r\n\r\n", 431},
		"unterminated header above the limit":     {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 4*defaultLimits.maxHeaderBytes), 431},
		"trailer above the limit":                 {post("Transfer-Encoding: chunked\r\n", largeTrailer), 431},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := startListener(t, defaultLimits)
			conn, reader := harness.dial(t)
			if _, err := io.WriteString(conn, test.text+smuggled); err != nil {
				t.Fatal(err)
			}
			if status, _, closes := readResponse(t, reader, "GET"); status != test.want || !closes {
				t.Errorf("status %d, close announced %t; want %d, true", status, closes, test.want)
			}
			if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
				t.Errorf("after the response: %q, error %v; want the end of the connection", rest, err)
			}
			select {
			case got := <-harness.received:
				t.Errorf("handler received %+v, want no request", got)
			default:
			}
		})
	}
}

// The target, the names and order of the header fields, and the body of a valid request reach the handler unchanged, no
// matter how the bytes are split into writes.
func TestValidRequestsAreForwardedUnchanged(t *testing.T) {
	sentField := HeaderField{"X", "1"}
	largeBody := strings.Repeat("0123456789abcdef", 4096)
	longValue := strings.Repeat("x", defaultLimits.maxHeaderBytes-len("Host: a\r\nX: \r\n\r\n"))
	for name, test := range map[string]struct {
		text string
		want receivedRequest
	}{
		"no body": {
			"GET /a HTTP/1.1\r\nHost: a.b:80\r\nX: 1\r\n\r\n",
			receivedRequest{"GET", "a.b:80", "/a", "", []HeaderField{sentField}},
		},
		"target with dot segments and escapes": {
			"GET /a/../b//%2e%2F/%61?x=/../%20+&y HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"GET", "a", "/a/../b//%2e%2F/%61?x=/../%20+&y", "", nil},
		},
		"absolute target": {
			"GET HTTP://b.c/a?d HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"GET", "b.c", "/a?d", "", nil},
		},
		"absolute target without path": {
			"GET http://b.c?d HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"GET", "b.c", "/?d", "", nil},
		},
		"asterisk target": {
			"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"OPTIONS", "a", "*", "", nil},
		},
		"names and order of fields": {
			"GET /a HTTP/1.1\r\nhOsT: a\r\nx-B: 1\r\nX-a:2\r\nX-B: \t3 \r\nx-c:\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{{"x-B", "1"}, {"X-a", "2"}, {"X-B", "3"}, {"x-c", ""}}},
		},
		"hop-by-hop fields dropped": {
			"GET /a HTTP/1.1\r\nHost: a\r\nConnection: x-b , keep-alive\r\nX-B: 1\r\nKeep-Alive: 3\r\nTE: trailers\r\nUpgrade: x\r\nX: 1\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{sentField}},
		},
		"reserved Meadowhinge- field dropped": {
			"GET /a HTTP/1.1\r\nHost: a\r\nMeadowhinge-Caller: b\r\nX: 1\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{sentField}},
		},
		"body with Content-Length": {
			"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na\r\n\x00",
			receivedRequest{"PUT", "a", "/a", "a\r\n\x00", nil},
		},
		"chunked body": {
			"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0A;b=\"c\"\r\n0123456789\r\n000\r\nX: 1\r\n\r\n",
			receivedRequest{"PUT", "a", "/a", "a0123456789", nil},
		},
		"empty chunked body": {
			"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			receivedRequest{"PUT", "a", "/a", "", nil},
		},
		"empty line before request line": {
			"\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", nil},
		},
		"HTTP/1.0 without Host": {
			"GET /a HTTP/1.0\r\n\r\n",
			receivedRequest{"GET", "", "/a", "", nil},
		},
		"body at the limit": {
			"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n" + largeBody,
			receivedRequest{"PUT", "a", "/a", largeBody, nil},
		},
		"header at the limit": {
			"GET /a HTTP/1.1\r\nHost: a\r\nX: " + longValue + "\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{{"X", longValue}}},
		},
	} {
		for _, writeSize := range []int{1 << 20, 1, 7} {
			t.Run(fmt.Sprint(name, " in writes of ", writeSize), func(t *testing.T) {
				t.Parallel()
				// A large request is sent in parts of 100 bytes instead of single bytes.
				if writeSize == 1 && len(test.text) > 1<<12 {
					writeSize = 100
				}
				harness := startListener(t, defaultLimits)
				conn, reader := harness.dial(t)
				for rest := test.text; rest != ""; {
					part := rest[:min(writeSize, len(rest))]
					if _, err := io.WriteString(conn, part); err != nil {
						t.Fatal(err)
					}
					rest = rest[len(part):]
				}
				if status, body, _ := readResponse(t, reader, test.want.Method); status != 200 || body != test.want.Target {
					t.Fatalf("response: status %d, body %q; want 200, %q", status, body, test.want.Target)
				}
				if diff := cmp.Diff(test.want, <-harness.received); diff != "" {
					t.Errorf("request at the handler differs (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// Requests on one connection are answered in the order of arrival, even if they are pipelined. A request with
// Connection: close ends the connection.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
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
			t.Fatalf("%s: status %d, body of %d bytes, close announced %t; want 200, %d bytes %q, false",
				want.method, status, len(body), closes, want.length, want.body)
		}
	}
	// A caller that sends Expect: 100-continue gets an interim response before it sends the body.
	writeText(t, conn, "PUT /4 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n")
	if line, _ := reader.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("status line of the interim response: %q, want 100 Continue", line)
	}
	if line, err := reader.ReadString('\n'); line != "\r\n" {
		t.Fatalf("line after the interim status line: %q, error %v; want an empty line", line, err)
	}
	writeText(t, conn, "abc")
	if status, body, closes := readResponse(t, reader, "PUT"); status != 200 || body != "/4" || !closes {
		t.Errorf("PUT /4: status %d, body %q, close announced %t; want 200, \"/4\", true", status, body, closes)
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("after the last response: %q, error %v; want the end of the connection", rest, err)
	}
}

// Callers may keep connections open without using them again. At the connection limit a new connection evicts the one
// that has been idle for the longest time, never one with a call in flight.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
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
			t.Fatalf("GET %s: status %d, body %q; want 200, %q", path, status, body, path)
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
		t.Errorf("longest idle connection: read %q, error %v; want its end", got, err)
	}
	call(second, secondReader, "/again")
	close(harness.release)
	if status, body, _ := readResponse(t, busyReader, "GET"); status != 200 || body != "/held" {
		t.Errorf("connection with a call in flight: status %d, body %q; want 200, \"/held\"", status, body)
	}
}

// If all connections have a call in flight at the connection limit, a new connection is closed at once.
func TestConnectionsWithCallsAreNotEvicted(t *testing.T) {
	harness := startListener(t, defaultLimits)
	harness.listener.lock.Lock()
	harness.listener.maxConnections = 1
	harness.listener.lock.Unlock()
	busy, busyReader := harness.dial(t)
	writeText(t, busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	_, reader := harness.dial(t)
	if got, _ := io.ReadAll(reader); len(got) > 0 {
		t.Errorf("connection above the limit: read %q, want its end", got)
	}
	close(harness.release)
	if status, _, _ := readResponse(t, busyReader, "GET"); status != 200 {
		t.Errorf("connection with a call in flight: status %d, want 200", status)
	}
}

// A request whose header or body does not arrive in time is answered with 408. An idle connection is closed without a
// response.
func TestSlowRequestsTimeOut(t *testing.T) {
	const shortTimeout = 30 * time.Millisecond
	shortHeaderTimeout := requestLimits{maxHeaderBytes: 1 << 10, maxBodyBytes: 1 << 10, headerTimeout: shortTimeout, idleTimeout: testTimeout}
	shortIdleTimeout := requestLimits{maxHeaderBytes: 1 << 10, maxBodyBytes: 1 << 10, headerTimeout: testTimeout, idleTimeout: shortTimeout}
	for name, test := range map[string]struct {
		limits requestLimits
		text   string
		want   string
	}{
		"incomplete header":     {shortHeaderTimeout, "GET /a HTTP/1.1\r\nHo", "HTTP/1.1 408 "},
		"incomplete body":       {shortIdleTimeout, "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na", "HTTP/1.1 408 "},
		"incomplete chunk size": {shortIdleTimeout, "PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1", "HTTP/1.1 408 "},
		"idle connection":       {shortIdleTimeout, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := startListener(t, test.limits)
			conn, reader := harness.dial(t)
			writeText(t, conn, test.text)
			got, err := io.ReadAll(reader)
			if err != nil || !strings.HasPrefix(string(got), test.want) || (test.want == "") != (len(got) == 0) {
				t.Errorf("read %q, error %v; want a response that starts with %q", got, err, test.want)
			}
			if count := len(harness.received); count > 0 {
				t.Errorf("handler received %d requests, want none", count)
			}
		})
	}
}

// Large bodies share a bounded capacity. A body that exceeds it is rejected, and the capacity of a body is released once
// its request is answered.
func TestLargeBodiesShareCapacity(t *testing.T) {
	harness := startListener(t, requestLimits{maxHeaderBytes: 1 << 10, maxBodyBytes: 1 << 20, headerTimeout: testTimeout, idleTimeout: testTimeout})
	put := func(path string, size int) string {
		return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
	}
	first, firstReader := harness.dial(t)
	writeText(t, first, put("/held", 1<<20))
	<-harness.received
	second, secondReader := harness.dial(t)
	writeText(t, second, put("/small", smallBodyBytes))
	if status, _, _ := readResponse(t, secondReader, "PUT"); status != 200 {
		t.Errorf("small body: status %d, want 200", status)
	}
	// The write may fail because the connection is closed after the rejection.
	go func() { _, _ = io.WriteString(second, put("/large", smallBodyBytes+1)) }()
	if status, _, closes := readResponse(t, secondReader, "PUT"); status != 503 || !closes {
		t.Errorf("large body above the capacity: status %d, close announced %t; want 503, true", status, closes)
	}
	close(harness.release)
	readResponse(t, firstReader, "PUT")
	writeText(t, first, put("/large", 1<<20))
	if status, _, _ := readResponse(t, firstReader, "PUT"); status != 200 {
		t.Errorf("large body within the released capacity: status %d, want 200", status)
	}
}

// A disconnect of the caller cancels the context of its request. The handler may continue, and shutDown waits until it
// has returned.
func TestDisconnectCancelsContextAndShutDownWaits(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, _ := harness.dial(t)
	writeText(t, conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	closeConn(t, conn)
	waitFor(t, "context of the request canceled", func() bool { return harness.canceled.Load() == 1 })
	close(harness.release)
	until, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if !harness.listener.shutDown(until.Done()) {
		t.Errorf("shutDown = false, want true once the handler has returned (timeout %s)", testTimeout)
	}
}

// While draining is set, each response closes its connection, but new connections are accepted. shutDown closes idle
// connections and waits until received requests are answered.
func TestCallerListenerShutsDownGracefully(t *testing.T) {
	harness := startListener(t, defaultLimits)
	idle, idleReader := harness.dial(t)
	writeText(t, idle, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, idleReader, "GET")
	harness.draining.Store(true)
	fresh, freshReader := harness.dial(t)
	writeText(t, fresh, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _, closes := readResponse(t, freshReader, "GET"); status != 200 || !closes {
		t.Errorf("response while draining: status %d, close announced %t; want 200, true", status, closes)
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
		t.Errorf("idle connection during shutDown: read %q, error %v; want its end", rest, err)
	}
	close(harness.release)
	if status, _, _ := readResponse(t, busyReader, "GET"); status != 200 {
		t.Errorf("request in flight during shutDown: status %d, want 200", status)
	}
	if !<-ended {
		t.Error("shutDown = false, want true: all connections finished")
	}
	if _, err := net.Dial("tcp", harness.address); err == nil {
		t.Error("dial after shutDown succeeded, want an error")
	}
}

// Only responses to callers on other machines count against the machine's uplink.
func TestOnlyResponsesToOtherMachinesUseUplink(t *testing.T) {
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
				_ = response.Body.Close() // read to its end
				sent += len(body)
			}
			if got := harness.uplinkBytes.Load(); got > 0 != usesUplink || usesUplink && got < int64(sent/2) {
				t.Errorf("uplink bytes of responses to %s: %d; want use of the uplink %t, with at least %d bytes if true",
					from, got, usesUplink, sent/2)
			}
		})
	}
}
