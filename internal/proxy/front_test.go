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

	"meadowhinge/internal/defect"
	"meadowhinge/internal/dispatch"
)

// took is a request as a front handed it on.
type took struct {
	Method, Host, Target, Body string
	Fields                     []Field
}

// counter is a front whose requests are told to the test, and answered with their target.
type counter struct {
	front     *front
	address   string
	leaving   atomic.Bool
	took      chan took
	held      chan struct{} // what is asked of /held waits for this
	carried   atomic.Int64  // bytes of answers that the machine's link had to carry
	calledOff atomic.Int64  // requests whose context ended while they were held
}

// patient bounds every wait of these tests: far more than any takes, also where the machine is overloaded.
const patient = time.Minute

func startFront(t *testing.T, limits bounds) *counter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	one := &counter{address: listener.Addr().String(), took: make(chan took, 64), held: make(chan struct{})}
	one.front = newFront(listener, 64, int64(limits.body), &one.leaving, func() bounds { return limits })
	one.front.refuse = func(_ *Head, err error, reply *Reply) {
		reply.Status, reply.Body = defect.Status(defect.KindOf(err)), []byte(defect.KindOf(err))
	}
	one.front.serve = func(ctx context.Context, head *Head, body []byte, _ time.Time, reply *Reply) {
		head.pass(func(name string) bool { return dispatch.OwnSpeech{}.Passes([]byte(name), false) })
		one.took <- took{head.Method, head.Host, head.Target, string(body), append([]Field(nil), head.kept...)}
		if head.Path == "/held" {
			stop := context.AfterFunc(ctx, func() { one.calledOff.Add(1) })
			defer stop()
			<-one.held
		}
		reply.Status, reply.Body = http.StatusOK, []byte(head.Target)
		if head.Path == "/large" {
			reply.Body = []byte(strings.Repeat("x", 4*joinMost))
		}
	}
	one.front.carried = func(bytes int) { one.carried.Add(int64(bytes)) }
	go one.front.run()
	t.Cleanup(func() {
		done := make(chan struct{})
		close(done)
		one.front.finish(done)
	})
	return one
}

func (c *counter) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(patient))
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// answer reads one answer: its status, its body, and whether the connection ends with it.
func answer(t *testing.T, reader *bufio.Reader, method string) (status int, body string, closes bool) {
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

var usual = bounds{head: 1 << 10, body: 1 << 16, headWait: patient, quiet: patient}

// What can be read in two ways, or breaks a bound, is refused, and nothing after it on the
// connection is taken for a request.
func TestDoubtfulRequestsAreRefused(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: b\r\n\r\n"
	post := func(fields, body string) string {
		return "POST /a HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body
	}
	for name, one := range map[string]struct {
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
		"a body that is too large":     {post(fmt.Sprintf("Content-Length: %d\r\n", usual.body+1), ""), 413},
		"chunks that are too large":    {post("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", usual.body+1)), 413},
		"a head that is too large":     {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", usual.head) + "\r\n\r\n", 431},
		"a target that is too long":    {"GET /" + strings.Repeat("x", usual.head) + " HTTP/1.1\r\nHost: a\r\n\r\n", 431},
		"a head without an end":        {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 4*usual.head), 431},
		"a trailer that is too large":  {post("Transfer-Encoding: chunked\r\n", "0\r\nX: "+strings.Repeat("x", usual.head)+"\r\n\r\n"), 431},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counter := startFront(t, usual)
			conn, reader := counter.dial(t)
			if _, err := io.WriteString(conn, one.text+smuggled); err != nil {
				t.Fatal(err)
			}
			if status, _, closes := answer(t, reader, "GET"); status != one.want || !closes {
				t.Errorf("status %d, closes %t; want %d and true", status, closes, one.want)
			}
			if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
				t.Errorf("then %q, %v", rest, err)
			}
			select {
			case got := <-counter.took:
				t.Errorf("taken: %+v", got)
			default:
			}
		})
	}
}

// What is proper goes on as it came: target, names and order of headers, and the body.
func TestProperRequestsGoOnAsTheyCame(t *testing.T) {
	host := Field{"X", "1"}
	for name, one := range map[string]struct {
		text string
		want took
	}{
		"plain":           {"GET /a HTTP/1.1\r\nHost: a.b:80\r\nX: 1\r\n\r\n", took{"GET", "a.b:80", "/a", "", []Field{host}}},
		"a target":        {"GET /a/../b//%2e%2F/%61?x=/../%20+&y HTTP/1.1\r\nHost: a\r\n\r\n", took{"GET", "a", "/a/../b//%2e%2F/%61?x=/../%20+&y", "", nil}},
		"an absolute one": {"GET HTTP://b.c/a?d HTTP/1.1\r\nHost: a\r\n\r\n", took{"GET", "b.c", "/a?d", "", nil}},
		"a bare host":     {"GET http://b.c?d HTTP/1.1\r\nHost: a\r\n\r\n", took{"GET", "b.c", "/?d", "", nil}},
		"a star":          {"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", took{"OPTIONS", "a", "*", "", nil}},
		"names and order": {"GET /a HTTP/1.1\r\nhOsT: a\r\nx-B: 1\r\nX-a:2\r\nX-B: \t3 \r\nx-c:\r\n\r\n",
			took{"GET", "a", "/a", "", []Field{{"x-B", "1"}, {"X-a", "2"}, {"X-B", "3"}, {"x-c", ""}}}},
		"of one connection": {"GET /a HTTP/1.1\r\nHost: a\r\nConnection: x-b , keep-alive\r\nX-B: 1\r\nKeep-Alive: 3\r\nTE: trailers\r\nUpgrade: x\r\nX: 1\r\n\r\n",
			took{"GET", "a", "/a", "", []Field{host}}},
		"our own namespace": {"GET /a HTTP/1.1\r\nHost: a\r\nMeadowhinge-Caller: b\r\nX: 1\r\n\r\n", took{"GET", "a", "/a", "", []Field{host}}},
		"a length":          {"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na\r\n\x00", took{"PUT", "a", "/a", "a\r\n\x00", nil}},
		"chunks": {"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0A;b=\"c\"\r\n0123456789\r\n000\r\nX: 1\r\n\r\n",
			took{"PUT", "a", "/a", "a0123456789", nil}},
		"empty chunks":      {"PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", took{"PUT", "a", "/a", "", nil}},
		"ends before":       {"\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n", took{"GET", "a", "/a", "", nil}},
		"the old protocol":  {"GET /a HTTP/1.0\r\n\r\n", took{"GET", "", "/a", "", nil}},
		"a large body":      {"PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("0123456789abcdef", 4096), took{"PUT", "a", "/a", strings.Repeat("0123456789abcdef", 4096), nil}},
		"a head at a bound": {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", usual.head-len("Host: a\r\nX: \r\n\r\n")) + "\r\n\r\n", took{"GET", "a", "/a", "", []Field{{"X", strings.Repeat("x", usual.head-len("Host: a\r\nX: \r\n\r\n"))}}}},
	} {
		for _, step := range []int{1 << 20, 1, 7} {
			t.Run(fmt.Sprint(name, " by ", step), func(t *testing.T) {
				t.Parallel()
				if step == 1 && len(one.text) > 1<<12 {
					step = 100
				}
				counter := startFront(t, usual)
				conn, reader := counter.dial(t)
				for rest := one.text; rest != ""; {
					some := rest[:min(step, len(rest))]
					if _, err := io.WriteString(conn, some); err != nil {
						t.Fatal(err)
					}
					rest = rest[len(some):]
				}
				if status, body, _ := answer(t, reader, one.want.Method); status != 200 || body != one.want.Target {
					t.Fatalf("status %d, body %q", status, body)
				}
				if diff := cmp.Diff(one.want, <-counter.took); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// Requests on one connection are answered in the order in which they came, also when the later
// ones did not wait; the last one gives the connection back.
func TestConnectionsAreKept(t *testing.T) {
	counter := startFront(t, usual)
	conn, reader := counter.dial(t)
	text := "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" + "HEAD /2 HTTP/1.1\r\nHost: a\r\n\r\n" + "PUT /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" +
		"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []struct {
		method, body string
		length       int
	}{{"GET", "/1", 2}, {"HEAD", "", 0}, {"PUT", "/3", 2}, {"GET", "", 4 * joinMost}} {
		status, body, closes := answer(t, reader, want.method)
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
	if status, body, closes := answer(t, reader, "PUT"); status != 200 || body != "/4" || !closes {
		t.Errorf("%d %q %t", status, body, closes)
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("then %q, %v", rest, err)
	}
}

// Callers keep connections that they do not use again: the one that has been quiet the longest makes
// room for a new one, never one that is owed an answer.
func TestQuietConnectionsMakeRoom(t *testing.T) {
	counter := startFront(t, usual)
	counter.front.lock.Lock()
	counter.front.most = 3
	counter.front.lock.Unlock()
	quiet := func() (count int) {
		counter.front.lock.Lock()
		defer counter.front.lock.Unlock()
		for one := range counter.front.connections {
			if one.idleSince.Load() != 0 {
				count++
			}
		}
		return count
	}
	ask := func(conn net.Conn, reader *bufio.Reader, path string) {
		t.Helper()
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		if status, body, _ := answer(t, reader, "GET"); status != 200 || body != path {
			t.Fatalf("%s: %d %q", path, status, body)
		}
	}
	busy, busyReader := counter.dial(t)
	fmt.Fprint(busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-counter.took
	first, firstReader := counter.dial(t)
	ask(first, firstReader, "/first")
	for quiet() < 1 {
		runtime.Gosched()
	}
	second, secondReader := counter.dial(t)
	ask(second, secondReader, "/second")
	for quiet() < 2 {
		runtime.Gosched()
	}
	third, thirdReader := counter.dial(t)
	ask(third, thirdReader, "/third")
	if got, err := io.ReadAll(firstReader); len(got) > 0 || err != nil {
		t.Errorf("the longest quiet got %q, %v", got, err)
	}
	ask(second, secondReader, "/again")
	close(counter.held)
	if status, body, _ := answer(t, busyReader, "GET"); status != 200 || body != "/held" {
		t.Errorf("the one at work got %d %q", status, body)
	}
}

// Where every connection is at a request a new one is closed at once.
func TestBusyConnectionsMakeNoRoom(t *testing.T) {
	counter := startFront(t, usual)
	counter.front.lock.Lock()
	counter.front.most = 1
	counter.front.lock.Unlock()
	busy, busyReader := counter.dial(t)
	fmt.Fprint(busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-counter.took
	_, reader := counter.dial(t)
	if got, _ := io.ReadAll(reader); len(got) > 0 {
		t.Errorf("got %q", got)
	}
	close(counter.held)
	if status, _, _ := answer(t, busyReader, "GET"); status != 200 {
		t.Errorf("the one at work got %d", status)
	}
}

// A head or a body that does not come in time is refused; a quiet connection just ends.
func TestSlowCallersAreLetGo(t *testing.T) {
	const soon = 30 * time.Millisecond
	for name, one := range map[string]struct {
		limits bounds
		text   string
		want   string
	}{
		"head":  {bounds{head: 1 << 10, body: 1 << 10, headWait: soon, quiet: patient}, "GET /a HTTP/1.1\r\nHo", "HTTP/1.1 408 "},
		"body":  {bounds{head: 1 << 10, body: 1 << 10, headWait: patient, quiet: soon}, "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na", "HTTP/1.1 408 "},
		"chunk": {bounds{head: 1 << 10, body: 1 << 10, headWait: patient, quiet: soon}, "PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1", "HTTP/1.1 408 "},
		"quiet": {bounds{head: 1 << 10, body: 1 << 10, headWait: patient, quiet: soon}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counter := startFront(t, one.limits)
			conn, reader := counter.dial(t)
			fmt.Fprint(conn, one.text)
			got, err := io.ReadAll(reader)
			if err != nil || !strings.HasPrefix(string(got), one.want) || (one.want == "") != (len(got) == 0) {
				t.Errorf("got %q, %v", got, err)
			}
			if len(counter.took) > 0 {
				t.Error("it was taken for a request")
			}
		})
	}
}

// Large bodies share a room: one that finds none is refused, and the room is given back.
func TestLargeBodiesShareRoom(t *testing.T) {
	counter := startFront(t, bounds{head: 1 << 10, body: 1 << 20, headWait: patient, quiet: patient})
	put := func(path string, size int) string {
		return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
	}
	first, firstReader := counter.dial(t)
	fmt.Fprint(first, put("/held", 1<<20))
	<-counter.took
	second, secondReader := counter.dial(t)
	fmt.Fprint(second, put("/small", bodyStep))
	if status, _, _ := answer(t, secondReader, "PUT"); status != 200 {
		t.Errorf("a small body got %d", status)
	}
	go func() { fmt.Fprint(second, put("/large", bodyStep+1)) }()
	if status, _, closes := answer(t, secondReader, "PUT"); status != 503 || !closes {
		t.Errorf("a large body without room got %d, closes %t", status, closes)
	}
	close(counter.held)
	answer(t, firstReader, "PUT")
	fmt.Fprint(first, put("/large", 1<<20))
	if status, _, _ := answer(t, firstReader, "PUT"); status != 200 {
		t.Errorf("a large body with room again got %d", status)
	}
}

// A caller that goes away ends its request's context; what is done then is the request's matter, and the front
// waits for it to come to its end.
func TestRequestsOutliveTheirConnection(t *testing.T) {
	counter := startFront(t, usual)
	conn, _ := counter.dial(t)
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-counter.took
	conn.Close()
	await(t, "told that its caller left", func() bool { return counter.calledOff.Load() == 1 })
	close(counter.held)
	until, cancel := context.WithTimeout(t.Context(), patient)
	defer cancel()
	if !counter.front.finish(until.Done()) {
		t.Error("the request did not come to its end")
	}
}

// Before the end, connections are given back with an answer but new ones are taken; at the end,
// idle ones are closed and what was read is answered.
func TestFrontEndsInOrder(t *testing.T) {
	counter := startFront(t, usual)
	kept, keptReader := counter.dial(t)
	fmt.Fprint(kept, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	answer(t, keptReader, "GET")
	counter.leaving.Store(true)
	fresh, freshReader := counter.dial(t)
	fmt.Fprint(fresh, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	if status, _, closes := answer(t, freshReader, "GET"); status != 200 || !closes {
		t.Errorf("%d, closes %t", status, closes)
	}
	busy, busyReader := counter.dial(t)
	fmt.Fprint(busy, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	for one := range counter.took {
		if one.Target == "/held" {
			break
		}
	}
	ended := make(chan bool, 1)
	go func() { ended <- counter.front.finish(nil) }()
	if rest, err := io.ReadAll(keptReader); len(rest) > 0 || err != nil {
		t.Errorf("an idle connection ended with %q, %v", rest, err)
	}
	close(counter.held)
	if status, _, _ := answer(t, busyReader, "GET"); status != 200 {
		t.Errorf("the last request got %d", status)
	}
	if !<-ended {
		t.Error("it did not end in order")
	}
	if _, err := net.Dial("tcp", counter.address); err == nil {
		t.Error("connections are still taken")
	}
}

// What callers on this machine are answered does not take its link; what others are, does.
func TestOnlyAnswersThatLeaveTheMachineTakeItsLink(t *testing.T) {
	for from, wanted := range map[string]bool{"127.0.0.1": false, "127.0.0.2": true} {
		one := startFront(t, usual)
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		conn, err := dialer.DialContext(t.Context(), "tcp", one.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(patient))
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
		if got := one.carried.Load(); got > 0 != wanted || wanted && got < int64(sent/2) {
			t.Errorf("answers to %s took %d bytes of the link", from, got)
		}
		conn.Close()
	}
}
