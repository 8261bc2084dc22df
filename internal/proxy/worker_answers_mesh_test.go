package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/http1"
	"meadowhinge/schema"
)

// closeDelimitedCodec is the native codec for workers that may end a response by closing the connection.
type closeDelimitedCodec struct{ dispatch.NativeCodec }

// ReadHeader implements dispatch.WorkerCodec.
func (c closeDelimitedCodec) ReadHeader(head *http1.ResponseHead, request *schema.ForwardRequest) dispatch.ResponseInfo {
	info := c.NativeCodec.ReadHeader(head, request)
	info.EndsAtClose = true
	return info
}

// meshPath is a way of a response from a worker to a caller.
type meshPath struct {
	name          string
	codec         dispatch.WorkerCodec // kind of the worker
	workerIsLocal bool                 // whether the worker is beside the caller's proxy, or beside another one
	endsAtClose   bool                 // whether a response without a length is complete once the worker has closed the connection
}

// meshPaths are the ways of a response through one and two proxies, for both kinds of workers.
var meshPaths = []meshPath{
	{name: "native worker, one proxy", codec: dispatch.NativeCodec{}, workerIsLocal: true},
	{name: "native worker, two proxies", codec: dispatch.NativeCodec{}},
	{name: "close-delimited worker, one proxy", codec: closeDelimitedCodec{}, endsAtClose: true, workerIsLocal: true},
	{name: "close-delimited worker, two proxies", codec: closeDelimitedCodec{}, endsAtClose: true},
}

// uploadBytes is the size of a body that the kernel's socket buffers cannot hold, so that it is still being sent while
// its worker does not read it.
const uploadBytes = 16 << 20

// scriptedWorker is a worker that answers the request on each connection by a script.
type scriptedWorker struct {
	// answer gets the connection once the head of a request has been read. The connection is closed after it returns.
	answer func(conn *net.TCPConn, reader *bufio.Reader)
}

// start listens on the loopback interface until the test ends, and returns the worker's address.
func (w scriptedWorker) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // ends the goroutine below
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// serve reads the head of one request and runs the script.
func (w scriptedWorker) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }() // fails only if the script has closed the connection
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) == len("\r\n") {
			break
		}
	}
	w.answer(conn, reader)
}

// says returns a worker that answers a request with text, byte for byte, and keeps the connection open until the proxy
// closes it.
func says(text string) scriptedWorker {
	return scriptedWorker{func(conn *net.TCPConn, reader *bufio.Reader) {
		_, _ = io.WriteString(conn, text) // the proxy may have closed the connection
		_, _ = io.Copy(io.Discard, reader)
	}}
}

// saysAndCloses returns a worker that answers a request with text, byte for byte, and closes the connection.
func saysAndCloses(text string) scriptedWorker {
	return scriptedWorker{func(conn *net.TCPConn, _ *bufio.Reader) { _, _ = io.WriteString(conn, text) }}
}

// callerAnswer is what a caller got.
type callerAnswer struct {
	status int
	fields http.Header
	body   string
}

// defaultCallTime is the time that a caller gives its call.
const defaultCallTime = 30 * time.Second

// call sends a request to a worker along the path and returns the answer. A GET is sent if body is empty, otherwise a
// POST.
func (p meshPath) call(t *testing.T, worker scriptedWorker, body []byte) callerAnswer {
	t.Helper()
	return p.callWithin(t, worker, body, defaultCallTime)
}

// callWithin is like call, for a call that has callTime.
func (p meshPath) callWithin(t *testing.T, worker scriptedWorker, body []byte, callTime time.Duration) callerAnswer {
	t.Helper()
	callerSide, workerSide := "", worker.start(t)
	if p.workerIsLocal {
		callerSide, workerSide = workerSide, callerSide
	}
	m := startMeshOf(t, p.codec, callerSide, workerSide, 4)
	conn, err := net.Dial("tcp", m.callerProxy.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the answer has been read
	method := http.MethodGet
	if len(body) > 0 {
		method = http.MethodPost
	}
	go func() {
		// The proxy may answer before it has read all. The test then fails by the answer.
		_, _ = fmt.Fprintf(conn, "%s /commit/1 HTTP/1.1\r\nHost: a\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
			method, dispatch.HeaderDeadline, callTime.Milliseconds(), len(body))
		_, _ = conn.Write(body)
	}()
	return readAnswer(t, conn)
}

// readAnswer reads the answer to a caller's request.
func readAnswer(t *testing.T, conn net.Conn) callerAnswer {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("read the proxy's answer: %v", err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("read the body of the proxy's answer: %v", err)
	}
	return callerAnswer{response.StatusCode, response.Header, string(text)}
}

// checkRefused checks that a worker's answer did not reach the caller, who got the proxy's own error with one of the
// codes instead.
func checkRefused(t *testing.T, got callerAnswer, codes ...string) {
	t.Helper()
	for _, code := range codes {
		if got.status == http.StatusBadGateway && bytes.Contains([]byte(got.body), []byte(`"defect":"`+code+`"`)) {
			return
		}
	}
	t.Errorf("caller got status %d, fields %v and body %.200q, want 502 and one of the codes %q", got.status, got.fields, got.body, codes)
}

// checkReachesNoCaller checks that the answer of a worker reaches no caller on any path, and that each caller gets the
// proxy's own error with one of the codes instead. body is that of the request.
func checkReachesNoCaller(t *testing.T, name string, worker scriptedWorker, body []byte, codes ...string) {
	t.Helper()
	for _, path := range meshPaths {
		t.Run(name+"/"+path.name, func(t *testing.T) {
			t.Parallel()
			checkRefused(t, path.call(t, worker, body), codes...)
		})
	}
}

// A response whose status line is invalid reaches no caller.
func TestInvalidStatusLineReachesNoCaller(t *testing.T) {
	for name, statusLine := range map[string]string{
		"status 000":               "HTTP/1.1 000 None",
		"status below 100":         "HTTP/1.1 099 Low",
		"status above 599":         "HTTP/1.1 600 High",
		"status of two digits":     "HTTP/1.1 20 OK",
		"status of four digits":    "HTTP/1.1 2000 OK",
		"status with a sign":       "HTTP/1.1 +20 OK",
		"status followed by a tab": "HTTP/1.1 200\tOK",
		"control byte in reason":   "HTTP/1.1 200 O\x00K",
		"two blanks before status": "HTTP/1.1  200 OK",
		"another protocol":         "HTTP/2.0 200 OK",
		"protocol in lower case":   "http/1.1 200 OK",
		"empty line before it":     "\r\nHTTP/1.1 200 OK",
		"line feed before it":      "\nHTTP/1.1 200 OK",
	} {
		checkReachesNoCaller(t, name, says(statusLine+"\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"), nil, "BAD_ANSWER")
	}
}

// A response to an upload whose end was not seen, because the worker reset the connection while the upload was still
// being sent, reaches no caller.
func TestAnswerResetDuringUploadReachesNoCaller(t *testing.T) {
	for name, text := range map[string]string{
		"no length":             "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nthe first part of",
		"no length, no body":    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"part of its length":    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 99\r\n\r\nthe first part of",
		"no last chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"part of the last line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r",
		"part of its head":      "HTTP/1.1 200 OK\r\nContent-Le",
		"an interim response":   "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		worker := scriptedWorker{func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, text)
			_ = conn.SetLinger(0) // the close that follows resets the connection
		}}
		checkReachesNoCaller(t, name, worker, bytes.Repeat([]byte("x"), uploadBytes), "BAD_ANSWER", "WORKER_LOST")
	}
}

// A complete response to an upload reaches its caller, although the worker resets the connection afterwards while the
// upload is still being sent. A response without a length is complete once the worker has closed its side.
func TestCompleteAnswerDuringUploadReachesCaller(t *testing.T) {
	for name, text := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
		"last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"no length":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello",
	} {
		worker := scriptedWorker{func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, text)
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0) // the close that follows resets the connection
		}}
		for _, path := range meshPaths {
			t.Run(name+"/"+path.name, func(t *testing.T) {
				t.Parallel()
				got := path.call(t, worker, bytes.Repeat([]byte("x"), uploadBytes))
				if name == "no length" && !path.endsAtClose {
					checkRefused(t, got, "BAD_ANSWER")
					return
				}
				checkPassed(t, got, http.StatusOK, "hello")
			})
		}
	}
}

// checkPassed checks that a caller got the worker's answer.
func checkPassed(t *testing.T, got callerAnswer, status int, body string) {
	t.Helper()
	if got.status != status || got.body != body || got.fields.Get(dispatch.HeaderOutcome) != "answered" {
		t.Errorf("caller got status %d, fields %v and body %.200q, want the worker's answer with status %d and body %q",
			got.status, got.fields, got.body, status, body)
	}
}

// A response in which a field line of the head or of the trailer is invalid reaches no caller.
func TestInvalidFieldReachesNoCaller(t *testing.T) {
	const plainEnd = "Content-Length: 5\r\n\r\nhello"
	for name, text := range map[string]string{
		"blank in a name":                 "X Odd: 1\r\n" + plainEnd,
		"blank in the name of the length": "Content Length: 3\r\n" + plainEnd,
		"blank in the name of the coding": "Transfer Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"blank before the colon":          "Content-Length : 5\r\n\r\nhello",
		"blank before a name":             "X-Even: 1\r\n X-Odd: 1\r\n" + plainEnd,
		"tab before the length":           "X-Even: 1\r\n\tContent-Length: 3\r\n" + plainEnd,
		"line feed before a name":         "X-Even: 1\r\n\nContent-Length: 3\r\n" + plainEnd,
		"line feed before the first name": "\nX-Odd: 1\r\n" + plainEnd,
		"line ended by a line feed":       "X-Even: 1\n" + plainEnd,
		"tab in a name":                   "X-\tOdd: 1\r\n" + plainEnd,
		"NUL in a name":                   "X-Odd\x00: 1\r\n" + plainEnd,
		"escape in a name":                "X-\x1bOdd: 1\r\n" + plainEnd,
		"DEL in a name":                   "X-\x7fOdd: 1\r\n" + plainEnd,
		"carriage return in a name":       "X-\rOdd: 1\r\n" + plainEnd,
		"byte above ASCII in a name":      "X-\xfcOdd: 1\r\n" + plainEnd,
		"no name":                         ": 1\r\n" + plainEnd,
		"no colon":                        "X-Odd\r\n" + plainEnd,
		"control byte in a value":         "X-Odd: a\x01b\r\n" + plainEnd,
		"carriage return in a value":      "X-Odd: a\rContent-Length: 3\r\n" + plainEnd,
		"blank in a trailer's name":       "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Odd: 1\r\n\r\n",
		"control byte in a trailer":       "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-\x01Odd: 1\r\n\r\n",
		"line feed in a trailer":          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Odd: 1\n\r\n",
		"length in a trailer":             "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n",
	} {
		checkReachesNoCaller(t, name, says("HTTP/1.1 200 OK\r\n"+text), nil, "BAD_ANSWER")
	}
	interim := says("HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + plainEnd)
	checkReachesNoCaller(t, "blank in a name of an interim response", interim, nil, "BAD_ANSWER")
}

// A response whose length or coding is not sound reaches no caller.
func TestInvalidFramingReachesNoCaller(t *testing.T) {
	const (
		chunked = "Transfer-Encoding: chunked\r\n"
		chunks  = "5\r\nhello\r\n0\r\n\r\n"
	)
	for name, text := range map[string]string{
		"coding of HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + chunked + "\r\n" + chunks,
		"coding of HTTP/1.0, length":    "HTTP/1.0 200 OK\r\n" + chunked + "Content-Length: 15\r\n\r\n" + chunks,
		"coding and length":             "HTTP/1.1 200 OK\r\n" + chunked + "Content-Length: 5\r\n\r\n" + chunks,
		"length and coding":             "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n" + chunked + "\r\n" + chunks,
		"chunked twice":                 "HTTP/1.1 200 OK\r\n" + chunked + chunked + "\r\n" + chunks,
		"chunked twice in a list":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n" + chunks,
		"another coding before chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
		"another coding":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello",
		"coding with a parameter":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;a=b\r\n\r\n" + chunks,
		"empty coding":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\nContent-Length: 5\r\n\r\nhello",
		"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
		"two lengths in a list":         "HTTP/1.1 200 OK\r\nContent-Length: 5, 4\r\n\r\nhello",
		"empty length":                  "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nhello",
		"length with a sign":            "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nhello",
		"negative length":               "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
		"hexadecimal length":            "HTTP/1.1 200 OK\r\nContent-Length: 0x5\r\n\r\nhello",
		"length that overflows":         "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551621\r\n\r\nhello",
		"size ended by a line feed":     "HTTP/1.1 200 OK\r\n" + chunked + "\r\n5\nhello\r\n0\r\n\r\n",
		"last size ended by line feed":  "HTTP/1.1 200 OK\r\n" + chunked + "\r\n5\r\nhello\r\n0\n\r\n",
		"control byte in an extension":  "HTTP/1.1 200 OK\r\n" + chunked + "\r\n5;a=\x01\r\nhello\r\n0\r\n\r\n",
		"line feed in an extension":     "HTTP/1.1 200 OK\r\n" + chunked + "\r\n5;a\nhello\r\n0\r\n\r\n",
		"blank before a size":           "HTTP/1.1 200 OK\r\n" + chunked + "\r\n 5\r\nhello\r\n0\r\n\r\n",
		"size with a prefix":            "HTTP/1.1 200 OK\r\n" + chunked + "\r\n0x5\r\nhello\r\n0\r\n\r\n",
		"size with a sign":              "HTTP/1.1 200 OK\r\n" + chunked + "\r\n+5\r\nhello\r\n0\r\n\r\n",
		"no size":                       "HTTP/1.1 200 OK\r\n" + chunked + "\r\n\r\nhello\r\n0\r\n\r\n",
		"size that overflows":           "HTTP/1.1 200 OK\r\n" + chunked + "\r\n10000000000000005\r\nhello\r\n0\r\n\r\n",
		"chunk longer than its size":    "HTTP/1.1 200 OK\r\n" + chunked + "\r\n4\r\nhello\r\n0\r\n\r\n",
	} {
		checkReachesNoCaller(t, name, saysAndCloses(text), nil, "BAD_ANSWER")
	}
}

// A complete response to an upload reaches its caller within the time of the call, although the worker reads nothing of
// the upload, and keeps the connection open until the proxy closes it.
func TestAnswerBeforeUnreadUploadReachesCaller(t *testing.T) {
	for name, text := range map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
		"length, and close": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello",
		"interim responses": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
		"last chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"no length":         "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello",
	} {
		for _, path := range meshPaths {
			if name == "no length" && !path.endsAtClose {
				continue
			}
			t.Run(name+"/"+path.name, func(t *testing.T) {
				t.Parallel()
				done := make(chan struct{})
				t.Cleanup(func() { close(done) })
				worker := scriptedWorker{func(conn *net.TCPConn, _ *bufio.Reader) {
					_, _ = io.WriteString(conn, text)
					if name == "no length" {
						_ = conn.CloseWrite()
					}
					<-done
				}}
				checkPassed(t, path.call(t, worker, bytes.Repeat([]byte("x"), uploadBytes)), http.StatusOK, "hello")
			})
		}
	}
}

// A worker that answers an upload completely before it reads it, and then reads it slowly, gets all of it.
func TestUploadContinuesAfterAnswer(t *testing.T) {
	const (
		callTime = 32 * time.Second // an upload of which nothing is taken for a sixteenth of it, 2 s, ends
		readTime = 3 * time.Second  // time that the worker takes to read the upload
		pieces   = 64               // parts in which it reads it
	)
	for _, path := range meshPaths {
		t.Run(path.name, func(t *testing.T) {
			t.Parallel()
			received := make(chan int64, 1)
			worker := scriptedWorker{func(conn *net.TCPConn, reader *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello")
				total, err := int64(0), error(nil)
				ticker := time.NewTicker(readTime / pieces)
				defer ticker.Stop()
				for err == nil && total < uploadBytes {
					<-ticker.C
					count := int64(0)
					count, err = io.CopyN(io.Discard, reader, uploadBytes/pieces)
					total += count
				}
				received <- total
				_, _ = io.Copy(io.Discard, reader)
			}}
			checkPassed(t, path.callWithin(t, worker, bytes.Repeat([]byte("x"), uploadBytes), callTime), http.StatusOK, "hello")
			if got := <-received; got != uploadBytes {
				t.Errorf("worker got %d bytes of the upload, want %d", got, uploadBytes)
			}
		})
	}
}

// A field that a response declares to be meant for one connection reaches no caller, and neither do the fields that
// always are.
func TestFieldsOfOneConnectionReachNoCaller(t *testing.T) {
	worker := says("HTTP/1.1 200 OK\r\nX-Hop: 1\r\nConnection: x-hop ,, X-Second\r\nx-second: 2\r\nKeep-Alive: timeout=5\r\nX-Stays: 3\r\n" +
		"Proxy-Connection: close\r\nContent-Length: 5\r\n\r\nhello")
	for _, path := range meshPaths {
		t.Run(path.name, func(t *testing.T) {
			t.Parallel()
			got := path.call(t, worker, nil)
			checkPassed(t, got, http.StatusOK, "hello")
			for _, name := range []string{"X-Hop", "X-Second", "Connection", "Keep-Alive", "Proxy-Connection"} {
				if value := got.fields.Get(name); value != "" {
					t.Errorf("caller got the field %s: %s, want it left out", name, value)
				}
			}
			if got.fields.Get("X-Stays") != "3" {
				t.Errorf("caller got fields %v, want X-Stays: 3 among them", got.fields)
			}
		})
	}
}

// A response that is unusual but valid reaches its caller, with its status, its fields and its whole body.
func TestUnusualAnswerReachesCaller(t *testing.T) {
	const end = "Content-Length: 5\r\n\r\nhello"
	for name, test := range map[string]struct {
		text        string
		status      int               // wanted status
		fields      map[string]string // wanted values
		endsAtClose bool              // the response has no length and ends with the connection
	}{
		"no reason phrase":            {text: "HTTP/1.1 200 \r\n" + end, status: 200},
		"no blank before the reason":  {text: "HTTP/1.1 200\r\n" + end, status: 200},
		"reason with high bytes":      {text: "HTTP/1.1 200 \t\xfc fine\r\n" + end, status: 200},
		"status without a name":       {text: "HTTP/1.1 299 Odd\r\n" + end, status: 299},
		"highest status":              {text: "HTTP/1.1 599 Odd\r\n" + end, status: 599},
		"HTTP/1.0":                    {text: "HTTP/1.0 200 OK\r\n" + end, status: 200},
		"later minor version":         {text: "HTTP/1.2 200 OK\r\n" + end, status: 200},
		"interim responses":           {text: "HTTP/1.1 100\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + end, status: 200},
		"odd names":                   {text: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: odd\r\nx: lower\r\n" + end, status: 200, fields: map[string]string{"!#$%&'*+-.^_`|~09": "odd", "x": "lower"}},
		"odd values":                  {text: "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-High: a\t\xff\r\nX-Colon:b:c, \"d\\\"\t \r\n" + end, status: 200, fields: map[string]string{"X-High": "a\t\xff", "X-Colon": "b:c, \"d\\\""}},
		"fields of one name":          {text: "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nServer: s\r\nSet-Cookie: b=2\r\n" + end, status: 200, fields: map[string]string{"Set-Cookie": "a=1", "Server": "s"}},
		"length in lower case":        {text: "HTTP/1.1 200 OK\r\ncontent-length:\t005 \r\n\r\nhello", status: 200},
		"one length twice":            {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + end, status: 200},
		"list of one length":          {text: "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\nhello", status: 200},
		"chunks":                      {text: "HTTP/1.1 200 OK\r\ntransfer-encoding: , CHUNKED\r\n\r\n0002 ;a=\"b;c\"\r\nhe\r\n3\r\nllo\r\n000\r\n\r\n", status: 200},
		"chunks with a trailer":       {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", status: 200},
		"clean end":                   {text: "HTTP/1.1 200 OK\r\n\r\nhello", status: 200, endsAtClose: true},
		"clean end of HTTP/1.0":       {text: "HTTP/1.0 200 OK\r\nX-Odd: 1\r\n\r\nhello", status: 200, endsAtClose: true, fields: map[string]string{"X-Odd": "1"}},
		"clean end, other connection": {text: "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nhello", status: 200, endsAtClose: true},
	} {
		worker := says(test.text)
		if test.endsAtClose {
			worker = saysAndCloses(test.text)
		}
		for _, path := range meshPaths {
			if test.endsAtClose && !path.endsAtClose {
				continue
			}
			t.Run(name+"/"+path.name, func(t *testing.T) {
				t.Parallel()
				got := path.call(t, worker, nil)
				checkPassed(t, got, test.status, "hello")
				for fieldName, want := range test.fields {
					if value := got.fields.Get(fieldName); value != want {
						t.Errorf("caller got the field %s: %q, want %q", fieldName, value, want)
					}
				}
			})
		}
	}
}
