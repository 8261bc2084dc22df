package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"meadowhinge/internal/socket"
)

// Sizes and times of the tests with slow readers. A response must be larger than what the kernel keeps for both ends.
const (
	slowIdleTimeout  = time.Second
	slowBodyBytes    = 24 << 20
	slowReadBytes    = 64 << 10             // bytes that a slow reader takes at a time
	slowReadInterval = 8 * time.Millisecond // so that a response takes three idle timeouts
	stalledReadBytes = 4 << 20              // bytes that a reader takes before it stops
	shortReadTimeout = 10 * time.Second     // time in which a response that is sent at once must arrive
	stallTolerance   = 20 * slowIdleTimeout // time in which a machine under load must have noticed that a reader stopped
	longCallTime     = testTimeout          // time of a call that does not end before its response is read
	shortCallTime    = 2 * slowIdleTimeout  // time of a call that ends before its response is read
)

// slowReaderHarness is a caller listener that answers every request with a large body, and tells when that was written.
type slowReaderHarness struct {
	address string
	written chan time.Time // times at which the writing of a response ended
}

// startSlowReaderListener starts a listener whose calls have callTime from when they arrive.
func startSlowReaderListener(t *testing.T, callTime time.Duration) *slowReaderHarness {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	harness := &slowReaderHarness{address: listener.Addr().String(), written: make(chan time.Time, 4)}
	limits := requestLimits{maxHeaderBytes: 1 << 10, maxBodyBytes: 1 << 10, headerTimeout: testTimeout, idleTimeout: slowIdleTimeout}
	started := newCallerListener(listener, 4, 1<<20, &atomic.Bool{}, func() requestLimits { return limits })
	body := make([]byte, slowBodyBytes)
	started.handle = func(_ context.Context, _ *RequestHeader, _ []byte, receivedAt time.Time, response *Response) {
		response.Status, response.Body = http.StatusOK, body
		response.deadline = receivedAt.Add(callTime)
	}
	accept := func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			accepted := &connection{listener: started, conn: socket.Wrap(raw)}
			started.admit(accepted)
			go func() {
				accepted.serve()
				harness.written <- time.Now()
			}()
		}
	}
	go accept()
	t.Cleanup(func() {
		done := make(chan struct{})
		close(done)
		started.shutDown(done)
	})
	return harness
}

// request sends a number of requests at once, and returns the connection and a reader of it.
func (h *slowReaderHarness) request(t *testing.T, requests int) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	if err := errors.Join(conn.SetDeadline(time.Now().Add(testTimeout)), conn.(*net.TCPConn).SetReadBuffer(slowReadBytes)); err != nil {
		t.Fatal(err)
	}
	for range requests {
		writeText(t, conn, "GET /save HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	return conn.(*net.TCPConn), bufio.NewReaderSize(conn, slowReadBytes)
}

// readSlowly reads up to limit bytes of a response body at the pace of a slow reader. It returns the number of bytes that
// it has read, and the error that ended the body.
func readSlowly(reader *bufio.Reader, limit int64) (int64, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // the connection is closed by the test
	pace := time.NewTicker(slowReadInterval)
	defer pace.Stop()
	for total := int64(0); ; {
		count, err := io.CopyN(io.Discard, response.Body, min(slowReadBytes, limit-total))
		total += count
		if err != nil || total == limit {
			return total, err
		}
		<-pace.C
	}
}

// A caller that reads its responses slowly gets them whole, also pipelined ones, although each takes several idle
// timeouts. Before, a response was cut off one idle timeout after its writing began.
func TestSlowReaderGetsWholeResponses(t *testing.T) {
	for name, requests := range map[string]int{"one request": 1, "pipelined requests": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, reader := startSlowReaderListener(t, longCallTime).request(t, requests)
			for number := range requests {
				if count, err := readSlowly(reader, slowBodyBytes); err != nil || count != slowBodyBytes {
					t.Errorf("response %d: read %d bytes with error %v, want all %d bytes", number, count, err, slowBodyBytes)
				}
			}
		})
	}
}

// A response ends early when its caller stops reading for the idle timeout, leaves, or is still reading at the end of
// both the call's time and one idle timeout. Otherwise slow callers could keep any number of responses in memory.
func TestResponseToSlowReaderIsBounded(t *testing.T) {
	for name, test := range map[string]struct {
		callTime time.Duration
		read     int64 // bytes that the caller reads
		leave    bool  // whether the caller closes the connection then
		atLeast  time.Duration
		atMost   time.Duration
	}{
		"caller stops reading":               {longCallTime, stalledReadBytes, false, slowIdleTimeout, stallTolerance},
		"caller leaves":                      {longCallTime, stalledReadBytes, true, 0, stallTolerance},
		"time of the call ends":              {shortCallTime, slowBodyBytes, false, shortCallTime, stallTolerance},
		"call has ended before the response": {0, slowBodyBytes, false, slowIdleTimeout, stallTolerance},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := startSlowReaderListener(t, test.callTime)
			startedAt := time.Now()
			conn, reader := harness.request(t, 1)
			count, err := readSlowly(reader, test.read)
			if test.read == slowBodyBytes && err == nil {
				t.Errorf("read all %d bytes, want the response cut off", count)
			}
			if test.leave {
				closeConn(t, conn)
			}
			select {
			case endedAt := <-harness.written:
				if took := endedAt.Sub(startedAt); took < test.atLeast || took > test.atMost {
					t.Errorf("response took %v until it was given up, want %v to %v", took, test.atLeast, test.atMost)
				}
			case <-time.After(testTimeout):
				t.Errorf("response is still being written after %v", testTimeout)
			}
		})
	}
}

// The progress of a caller is what the kernel has accepted where it does not tell what the caller has acknowledged. A
// response goes on while that grows, and is cut off after an idle timeout without growth or at its end.
func TestWriteProgressWithoutKernelSupport(t *testing.T) {
	conn, peer := net.Pipe()
	t.Cleanup(func() { _ = errors.Join(conn.Close(), peer.Close()) }) // closing a pipe never fails
	start := time.Unix(1000, 0)
	const idleTimeout = 4 * time.Second
	progress := &writeProgress{conn: conn, idleTimeout: idleTimeout, end: start.Add(10 * time.Second), takenAt: start}
	for _, check := range []struct {
		after   time.Duration // time since the writing began
		written int64         // bytes that the kernel has accepted
		want    time.Duration // next deadline since the writing began; 0 if the response is cut off
	}{
		{1 * time.Second, 100, 2 * time.Second},
		{4 * time.Second, 100, 5 * time.Second},
		{4500 * time.Millisecond, 101, 5500 * time.Millisecond},
		{8 * time.Second, 101, 9 * time.Second},
		{8500 * time.Millisecond, 101, 0},
		{9500 * time.Millisecond, 102, 10 * time.Second},
		{10 * time.Second, 103, 0},
	} {
		deadline, mayContinue := progress.nextDeadline(start.Add(check.after), check.written)
		if mayContinue != (check.want != 0) || (mayContinue && deadline.Sub(start) != check.want) {
			t.Errorf("nextDeadline after %v with %d bytes = %v, %t; want %v",
				check.after, check.written, deadline.Sub(start), mayContinue, check.want)
		}
	}
}

// A kept connection still gets the interim response that asks for a body when the write deadline of an earlier response
// has passed. Before, the request ended without an answer.
func TestContinueIsSentAfterEarlierDeadline(t *testing.T) {
	server, caller := net.Pipe()
	t.Cleanup(func() { _ = errors.Join(server.Close(), caller.Close()) }) // closing a pipe never fails
	kept := &connection{listener: startListener(t, defaultLimits).listener, conn: server, buffer: make([]byte, initialBufferSize)}
	kept.moveWriteDeadline(pastDeadline)
	kept.header.expectsContinue, kept.header.contentLength = true, 2
	received := make(chan string, 1)
	go func() {
		body, err := kept.readBody(defaultLimits)
		received <- fmt.Sprint(string(body), " ", err)
	}()
	if err := caller.SetDeadline(time.Now().Add(shortReadTimeout)); err != nil {
		t.Fatal(err)
	}
	requireInterimResponse(t, bufio.NewReader(caller))
	writeText(t, caller, "hi")
	if got := <-received; got != "hi <nil>" {
		t.Errorf("readBody after the interim response = %q, want the body without an error", got)
	}
}
