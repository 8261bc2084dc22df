package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// reset closes a connection so that the other side receives a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // without it the test would not see a reset
	_ = conn.Close()                     // the tests find out what the proxy sees of it
}

// closeBoth closes a connection in both directions.
func closeBoth(conn net.Conn) {
	_ = conn.Close() // the tests find out what the proxy sees of it
}

// closeInTurn closes first the sending side and then the whole connection.
func closeInTurn(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite() // closed in any case by the next line
	closeBoth(conn)
}

// waitFor waits until a condition holds, at most testTimeout.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: not within %s", what, testTimeout)
		}
	}
}

// A caller that closes or resets its connection while its call is under way is detected before the call ends, whatever
// the request looks like.
func TestDisconnectedCallersAreDetected(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		end  func(net.Conn)
	}{
		"closed":                  {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", closeBoth},
		"reset":                   {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", reset},
		"closed, with a body":     {"POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", closeBoth},
		"closed, chunked":         {"POST /held HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", closeBoth},
		"closed, HTTP/1.0":        {"GET /held HTTP/1.0\r\n\r\n", closeBoth},
		"closed in halves":        {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", closeInTurn},
		"the last of many":        {"GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /held HTTP/1.1\r\nHost: a\r\n\r\n", closeBoth},
		"reset after the request": {"PUT /held HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", reset},
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
			test.end(conn)
			waitFor(t, "the disconnect is detected", func() bool { return harness.listener.disconnects.Detected.Load() == 1 })
			close(harness.release)
		})
	}
}

// A caller that has closed only its sending side gets an interim response and then the final one; then the connection
// ends. It counts as half closed, not as disconnected.
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
		t.Errorf("answered %d %q, closes %t", status, body, closes)
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("after the response: %q, %v", rest, err)
	}
	if counts := harness.listener.disconnects.Counts(); counts.Detected != 0 || counts.HalfClosed != 1 {
		t.Errorf("counted %+v", counts)
	}
}

// A caller that sends its next request while one is under way has not disconnected, and gets both responses in order.
func TestNextRequestIsNoDisconnect(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, reader := harness.dial(t)
	writeText(t, conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	writeText(t, conn, "GET /next HTTP/1.1\r\nHost: a\r\n")
	close(harness.release)
	if _, body, _ := readResponse(t, reader, "GET"); body != "/held" {
		t.Errorf("first came %q", body)
	}
	writeText(t, conn, "\r\n")
	if _, body, _ := readResponse(t, reader, "GET"); body != "/next" {
		t.Errorf("second came %q", body)
	}
	if counts := harness.listener.disconnects.Counts(); counts.Detected != 0 || counts.HalfClosed != 0 {
		t.Errorf("counted %+v", counts)
	}
}

// A call may take longer than the idle timeout: the watch goes on, and the timeout for the next request begins with
// the response.
func TestCallsOutlastTheIdleTimeout(t *testing.T) {
	limits := defaultLimits
	limits.idleTimeout = 20 * time.Millisecond
	harness := startListener(t, limits)
	conn, reader := harness.dial(t)
	writeText(t, conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	// The interim response to a half close proves that the watch outlived the timeout.
	// Without the half close the wait below fails.
	time.AfterFunc(5*limits.idleTimeout, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	requireInterimResponse(t, reader)
	close(harness.release)
	if status, _, _ := readResponse(t, reader, "GET"); status != 200 {
		t.Errorf("answered %d", status)
	}
}

// Callers that close their sending side just as they are answered, in every order that chance gives, get exactly one
// final response and no interim one after it, and an open connection goes on.
func TestResponsesCrossDisconnects(t *testing.T) {
	harness := startListener(t, defaultLimits)
	close(harness.release)
	go func() {
		for range harness.received { //nolint:revive // draining the channel is all there is to do
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
				t.Fatalf("attempt %d: answered %d, closes %t", attempt, status, closes)
			}
		}
		writeText(t, conn, "GET /last HTTP/1.1\r\nHost: a\r\n\r\n")
		_ = conn.(*net.TCPConn).CloseWrite() // what follows holds without it too
		finalResponses := 0
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, response.Body) // a connection cut short fails at the next read
			_ = response.Body.Close()
			if response.StatusCode == http.StatusContinue {
				if finalResponses > 0 {
					t.Fatalf("attempt %d: an interim response after the final one", attempt)
				}
				continue
			}
			finalResponses++
		}
		if finalResponses != 1 {
			t.Fatalf("attempt %d: %d final responses", attempt, finalResponses)
		}
		closeConn(t, conn)
	}
}
