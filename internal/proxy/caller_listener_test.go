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

// receivedRequest is a request as a front handed it on.
type receivedRequest struct {
	Method, Host, Target, Body string
	Fields                     []HeaderField
}

// listenerHarness is a front whose requests are told to the test, and answered with their target.
type listenerHarness struct {
	listener    *callerListener
	address     string
	draining    atomic.Bool
	received    chan receivedRequest
	release     chan struct{} // what is asked of /held waits for this
	uplinkBytes atomic.Int64  // bytes of answers that the machine's link had to carry
	canceled    atomic.Int64  // requests whose context ended while they were held
}

// testTimeout bounds every wait of these tests: far more than any takes, also where the machine is overloaded.
const testTimeout = time.Minute

func startListener(t *testing.T, limits requestLimits) *listenerHarness {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	harness := &listenerHarness{address: listener.Addr().String(), received: make(chan receivedRequest, 64), release: make(chan struct{})}
	harness.listener = newCallerListener(listener, 64, int64(limits.bodyBytes), &harness.draining, func() requestLimits { return limits })
	harness.listener.writeError = func(_ *RequestHeader, err error, response *Response) {
		response.Status, response.Body = errs.HTTPStatus(errs.CodeOf(err)), []byte(errs.CodeOf(err))
	}
	harness.listener.handle = func(ctx context.Context, header *RequestHeader, body []byte, _ time.Time, response *Response) {
		header.selectForwarded(func(name string) bool { return dispatch.NativeCodec{}.PassesHeader([]byte(name), false) })
		harness.received <- receivedRequest{header.Method, header.Host, header.Target, string(body), append([]HeaderField(nil), header.forwarded...)}
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
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// readResponse reads one answer: its status, its body, and whether the connection ends with it.
func readResponse(t *testing.T, reader *bufio.Reader, method string) (status int, body string, closeAfter bool) {
	t.Helper()
	got, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer got.Body.Close()
	read, err := io.ReadAll(got.Body)
	if err != nil {
		t.Fatalf("answer cut short: %v", err)
	}
	return got.StatusCode, string(read), got.Close
}

var defaultLimits = requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 16, headerTimeout: testTimeout, idleTimeout: testTimeout}

// What can be read in two ways, or breaks a bound, is refused, and nothing after it on the
// connection is taken for a request.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: b\r\n\r\n"
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
		"a trailer that is too large":  {post("Transfer-Encoding: chunked\r\n", "0\r\nX: "+strings.Repeat("x", defaultLimits.headerBytes)+"\r\n\r\n"), 431},
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
				t.Errorf("taken: %+v", got)
			default:
			}
		})
	}
}

// What is proper goes on as it came: target, names and order of headers, and the body.
func TestValidRequestsAreForwardedUnchanged(t *testing.T) {
	host := HeaderField{"X", "1"}
	for name, test := range map[string]struct {
		text string
		want receivedRequest
	}{
		"plain":           {"GET /a HTTP/1.1\r\nHost: a.b:80\r\nX: 1\r\n\r\n", receivedRequest{"GET", "a.b:80", "/a", "", []HeaderField{host}}},
		"a target":        {"GET /a/../b//%2e%2F/%61?x=/../%20+&y HTTP/1.1\r\nHost: a\r\n\r\n", receivedRequest{"GET", "a", "/a/../b//%2e%2F/%61?x=/../%20+&y", "", nil}},
		"an absolute one": {"GET HTTP://b.c/a?d HTTP/1.1\r\nHost: a\r\n\r\n", receivedRequest{"GET", "b.c", "/a?d", "", nil}},
		"a bare host":     {"GET http://b.c?d HTTP/1.1\r\nHost: a\r\n\r\n", receivedRequest{"GET", "b.c", "/?d", "", nil}},
		"a star":          {"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", receivedRequest{"OPTIONS", "a", "*", "", nil}},
		"names and order": {"GET /a HTTP/1.1\r\nhOsT: a\r\nx-B: 1\r\nX-a:2\r\nX-B: \t3 \r\nx-c:\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{{"x-B", "1"}, {"X-a", "2"}, {"X-B", "3"}, {"x-c", ""}}}},
		"of one connection": {"GET /a HTTP/1.1\r\nHost: a\r\nConnection: x-b , keep-alive\r\nX-B: 1\r\nKeep-Alive: 3\r\nTE: trailers\r\nUpgrade: x\r\nX: 1\r\n\r\n",
			receivedRequest{"GET", "a", "/a", "", []HeaderField{host}}},
		"our own namespace": {"GET /a HTTP/1.1\r\nHost: a\r\nMeadowhinge-Caller: b\r\nX: 1\r\n\r\n", receivedRequest{"GET", "a", "/a", "", []HeaderField{host}}},
		"a length":          {"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na\r\n\x00", receivedRequest{"PUT", "a", "/a", "a\r\n\x00", nil}},
		"chunks": {"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0A;b=\"c\"\r\n0123456789\r\n000\r\nX: 1\r\n\r\n",
			receivedRequest{"PUT", "a", "/a", "a0123456789", nil}},
		"empty chunks":      {"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", receivedRequest{"PUT", "a", "/a", "", nil}},
		"ends before":       {"\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n", receivedRequest{"GET", "a", "/a", "", nil}},
		"the old protocol":  {"GET /a HTTP/1.0\r\n\r\n", receivedRequest{"GET", "", "/a", "", nil}},
		"a large body":      {"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("0123456789abcdef", 4096), receivedRequest{"PUT", "a", "/a", strings.Repeat("0123456789abcdef", 4096), nil}},
		"a head at a bound": {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", defaultLimits.headerBytes-len("Host: a\r\nX: \r\n\r\n")) + "\r\n\r\n", receivedRequest{"GET", "a", "/a", "", []HeaderField{{"X", strings.Repeat("x", defaultLimits.headerBytes-len("Host: a\r\nX: \r\n\r\n"))}}}},
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

// Requests on one connection are answered in the order in which they came, also when the later
// ones did not wait; the last one gives the connection back.
func TestConnectionsAreReused(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, reader := harness.dial(t)
	text := "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + "HEAD /2 HTTP/1.1\r\nHost: a\r\n\r\n" + "PUT /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" +
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
	// Whoever waits for word before it sends the body gets it.
	fmt.Fprint(conn, "PUT /4 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n")
	if line, _ := reader.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("interim answer %q", line)
	}
	_, _ = reader.ReadString('\n')
	fmt.Fprint(conn, "abc")
	if status, body, closes := readResponse(t, reader, "PUT"); status != 200 || body != "/4" || !closes {
		t.Errorf("%d %q %t", status, body, closes)
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("then %q, %v", rest, err)
	}
}

// Callers keep connections that they do not use again: the one that has been quiet the longest makes
// room for a new one, never one that is owed an answer.
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
	ask := func(conn net.Conn, reader *bufio.Reader, path string) {
		t.Helper()
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		if status, body, _ := readResponse(t, reader, "GET"); status != 200 || body != path {
			t.Fatalf("%s: %d %q", path, status, body)
		}
	}
	busy, busyReader := harness.dial(t)
	fmt.Fprint(busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	first, firstReader := harness.dial(t)
	ask(first, firstReader, "/first")
	for idleCount() < 1 {
		runtime.Gosched()
	}
	second, secondReader := harness.dial(t)
	ask(second, secondReader, "/second")
	for idleCount() < 2 {
		runtime.Gosched()
	}
	third, thirdReader := harness.dial(t)
	ask(third, thirdReader, "/third")
	if got, err := io.ReadAll(firstReader); len(got) > 0 || err != nil {
		t.Errorf("the longest quiet got %q, %v", got, err)
	}
	ask(second, secondReader, "/again")
	close(harness.release)
	if status, body, _ := readResponse(t, busyReader, "GET"); status != 200 || body != "/held" {
		t.Errorf("the one at work got %d %q", status, body)
	}
}

// Where every connection is at a request a new one is closed at once.
func TestBusyConnectionsMakeNoRoom(t *testing.T) {
	harness := startListener(t, defaultLimits)
	harness.listener.lock.Lock()
	harness.listener.maxConnections = 1
	harness.listener.lock.Unlock()
	busy, busyReader := harness.dial(t)
	fmt.Fprint(busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	_, reader := harness.dial(t)
	if got, _ := io.ReadAll(reader); len(got) > 0 {
		t.Errorf("got %q", got)
	}
	close(harness.release)
	if status, _, _ := readResponse(t, busyReader, "GET"); status != 200 {
		t.Errorf("the one at work got %d", status)
	}
}

// A head or a body that does not come in time is refused; a quiet connection just ends.
func TestSlowCallersTimeOut(t *testing.T) {
	const soon = 30 * time.Millisecond
	for name, test := range map[string]struct {
		limits requestLimits
		text   string
		want   string
	}{
		"head":  {requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 10, headerTimeout: soon, idleTimeout: testTimeout}, "GET /a HTTP/1.1\r\nHo", "HTTP/1.1 408 "},
		"body":  {requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 10, headerTimeout: testTimeout, idleTimeout: soon}, "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na", "HTTP/1.1 408 "},
		"chunk": {requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 10, headerTimeout: testTimeout, idleTimeout: soon}, "PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1", "HTTP/1.1 408 "},
		"quiet": {requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 10, headerTimeout: testTimeout, idleTimeout: soon}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := startListener(t, test.limits)
			conn, reader := harness.dial(t)
			fmt.Fprint(conn, test.text)
			got, err := io.ReadAll(reader)
			if err != nil || !strings.HasPrefix(string(got), test.want) || (test.want == "") != (len(got) == 0) {
				t.Errorf("got %q, %v", got, err)
			}
			if len(harness.received) > 0 {
				t.Error("it was taken for a request")
			}
		})
	}
}

// Large bodies share a room: one that finds none is refused, and the room is given back.
func TestLargeBodiesShareCapacity(t *testing.T) {
	harness := startListener(t, requestLimits{headerBytes: 1 << 10, bodyBytes: 1 << 20, headerTimeout: testTimeout, idleTimeout: testTimeout})
	put := func(path string, size int) string {
		return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
	}
	first, firstReader := harness.dial(t)
	fmt.Fprint(first, put("/held", 1<<20))
	<-harness.received
	second, secondReader := harness.dial(t)
	fmt.Fprint(second, put("/small", smallBodyBytes))
	if status, _, _ := readResponse(t, secondReader, "PUT"); status != 200 {
		t.Errorf("a small body got %d", status)
	}
	go func() { fmt.Fprint(second, put("/large", smallBodyBytes+1)) }()
	if status, _, closes := readResponse(t, secondReader, "PUT"); status != 503 || !closes {
		t.Errorf("a large body without room got %d, closes %t", status, closes)
	}
	close(harness.release)
	readResponse(t, firstReader, "PUT")
	fmt.Fprint(first, put("/large", 1<<20))
	if status, _, _ := readResponse(t, firstReader, "PUT"); status != 200 {
		t.Errorf("a large body with room again got %d", status)
	}
}

// A caller that goes away ends its request's context; what is done then is the request's matter, and the front
// waits for it to come to its end.
func TestRequestsOutliveTheirConnection(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, _ := harness.dial(t)
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	conn.Close()
	await(t, "told that its caller left", func() bool { return harness.canceled.Load() == 1 })
	close(harness.release)
	until, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if !harness.listener.shutDown(until.Done()) {
		t.Error("the request did not come to its end")
	}
}

// Before the end, connections are given back with an answer but new ones are taken; at the end,
// idle ones are closed and what was read is answered.
func TestCallerListenerShutsDownInOrder(t *testing.T) {
	harness := startListener(t, defaultLimits)
	idle, idleReader := harness.dial(t)
	fmt.Fprint(idle, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, idleReader, "GET")
	harness.draining.Store(true)
	fresh, freshReader := harness.dial(t)
	fmt.Fprint(fresh, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _, closes := readResponse(t, freshReader, "GET"); status != 200 || !closes {
		t.Errorf("%d, closes %t", status, closes)
	}
	busy, busyReader := harness.dial(t)
	fmt.Fprint(busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
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
		t.Error("it did not end in order")
	}
	if _, err := net.Dial("tcp", harness.address); err == nil {
		t.Error("connections are still taken")
	}
}

// What callers on this machine are answered does not take its link; what others are, does.
func TestOnlyResponsesThatLeaveTheMachineUseItsUplink(t *testing.T) {
	for from, wanted := range map[string]bool{"127.0.0.1": false, "127.0.0.2": true} {
		harness := startListener(t, defaultLimits)
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		conn, err := dialer.DialContext(t.Context(), "tcp", harness.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		reader, sent := bufio.NewReader(conn), 0
		// The first answer is counted before the second request of its connection is read.
		for range 2 {
			if _, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(answer.Body)
			sent += len(body)
		}
		if got := harness.uplinkBytes.Load(); got > 0 != wanted || wanted && got < int64(sent/2) {
			t.Errorf("answers to %s took %d bytes of the link", from, got)
		}
		conn.Close()
	}
}
