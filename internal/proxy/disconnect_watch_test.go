package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// reset closes a connection so that the peer receives a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // if this fails, the connection closes without a reset
	_ = conn.Close()                     // the test checks the effect at the proxy
}

// closeBoth closes a connection in both directions.
func closeBoth(conn net.Conn) {
	_ = conn.Close() // the test checks the effect at the proxy
}

// closeSendingSideFirst closes first the sending side and then the whole connection.
func closeSendingSideFirst(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite() // the next line closes it in any case
	closeBoth(conn)
}

// waitFor waits until a condition holds, at most testTimeout. condition describes it in the failure message.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition %q does not hold after %s", condition, testTimeout)
		}
	}
}

// A caller that closes or resets its connection while its call is in flight is detected before the call ends, for every
// form of request.
func TestDisconnectedCallersAreDetected(t *testing.T) {
	for name, test := range map[string]struct {
		text       string
		disconnect func(net.Conn)
	}{
		"closed":                           {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", closeBoth},
		"reset":                            {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", reset},
		"closed, body with Content-Length": {"POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", closeBoth},
		"closed, chunked body":             {"POST /held HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", closeBoth},
		"closed, HTTP/1.0":                 {"GET /held HTTP/1.0\r\n\r\n", closeBoth},
		"sending side closed first":        {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", closeSendingSideFirst},
		"closed, second of two pipelined requests": {"GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /held HTTP/1.1\r\nHost: a\r\n\r\n", closeBoth},
		"reset, PUT with an empty body":            {"PUT /held HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", reset},
	} {
		t.Run(name, func(t *testing.T) {
			harness := startListener(t, defaultLimits)
			conn, _ := harness.dial(t)
			writeText(t, conn, test.text)
			for received := range harness.received {
				if received.Target == "/held" {
					break
				}
			}
			test.disconnect(conn)
			waitFor(t, "disconnect detected", func() bool { return harness.listener.disconnects.Detected.Load() == 1 })
			close(harness.release)
		})
	}
}

// A caller that closed only its sending side gets an interim response and the final response, after which the connection
// ends. It is counted as half-closed, not as disconnected.
func TestHalfClosedCallersAreAnswered(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, reader := harness.dial(t)
	writeText(t, conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	requireInterimResponse(t, reader)
	close(harness.release)
	if status, body, closes := readResponse(t, reader, "GET"); status != 200 || body != "/held" || !closes {
		t.Errorf("final response: status %d, body %q, close announced %t; want 200, \"/held\", true", status, body, closes)
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("after the final response: read %q, error %v; want the end of the connection", rest, err)
	}
	if counts := harness.listener.disconnects.Counts(); counts.Detected != 0 || counts.HalfClosed != 1 {
		t.Errorf("counts %+v, want Detected 0, HalfClosed 1", counts)
	}
}

// A caller that sends its next request while one is in flight is not taken to be disconnected, and gets both responses
// in order.
func TestPipelinedRequestIsNoDisconnect(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, reader := harness.dial(t)
	writeText(t, conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	writeText(t, conn, "GET /next HTTP/1.1\r\nHost: a\r\n")
	close(harness.release)
	if _, body, _ := readResponse(t, reader, "GET"); body != "/held" {
		t.Errorf("first response: body %q, want \"/held\"", body)
	}
	writeText(t, conn, "\r\n")
	if _, body, _ := readResponse(t, reader, "GET"); body != "/next" {
		t.Errorf("second response: body %q, want \"/next\"", body)
	}
	if counts := harness.listener.disconnects.Counts(); counts.Detected != 0 || counts.HalfClosed != 0 {
		t.Errorf("counts %+v, want Detected 0, HalfClosed 0", counts)
	}
}

// A call may take longer than the idle timeout. The watch continues, and the timeout for the next request starts with
// the response.
func TestCallsOutlastTheIdleTimeout(t *testing.T) {
	limits := defaultLimits
	limits.idleTimeout = 20 * time.Millisecond
	harness := startListener(t, limits)
	conn, reader := harness.dial(t)
	writeText(t, conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	// The interim response after the half-close proves that the watch outlived the timeout. If the half-close fails, the
	// wait below fails.
	time.AfterFunc(5*limits.idleTimeout, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	requireInterimResponse(t, reader)
	close(harness.release)
	if status, _, _ := readResponse(t, reader, "GET"); status != 200 {
		t.Errorf("call longer than the idle timeout: status %d, want 200", status)
	}
}

// A half-close may race with the response. The caller then gets exactly one final response and no interim response after
// it. Connections without a half-close stay open.
func TestHalfCloseDuringResponse(t *testing.T) {
	harness := startListener(t, defaultLimits)
	close(harness.release)
	go func() {
		for range harness.received { //nolint:revive // the loop only drains the channel
		}
	}()
	for attempt := range 200 {
		conn, err := net.Dial("tcp", harness.address)
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(conn)
		for range attempt % 3 {
			writeText(t, conn, "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n")
			if status, _, closes := readResponse(t, reader, "GET"); status != 200 || closes {
				t.Fatalf("attempt %d: status %d, close announced %t; want 200, false", attempt, status, closes)
			}
		}
		writeText(t, conn, "GET /last HTTP/1.1\r\nHost: a\r\n\r\n")
		_ = conn.(*net.TCPConn).CloseWrite() // the checks below hold without it too
		finalResponses := 0
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, response.Body) // a truncated response fails at the next read
			_ = response.Body.Close()
			if response.StatusCode == http.StatusContinue {
				if finalResponses > 0 {
					t.Fatalf("attempt %d: interim response after the final response", attempt)
				}
				continue
			}
			finalResponses++
		}
		if finalResponses != 1 {
			t.Fatalf("attempt %d: %d final responses, want 1", attempt, finalResponses)
		}
		closeConn(t, conn)
	}
}
