package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// reset ends a connection so that the other side is told at once.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// await waits until a condition holds; the wait is bounded, and ends as soon as it does.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: not within %s", what, testTimeout)
		}
	}
}

// A caller that closes or resets its connection while its call is under way is found gone before the call ends.
func TestDisconnectedCallersAreDetected(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		end  func(net.Conn)
	}{
		"closed":                  {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", func(conn net.Conn) { conn.Close() }},
		"reset":                   {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", reset},
		"closed, with a body":     {"POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", func(conn net.Conn) { conn.Close() }},
		"closed, chunked":         {"POST /held HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", func(conn net.Conn) { conn.Close() }},
		"closed, HTTP/1.0":        {"GET /held HTTP/1.0\r\n\r\n", func(conn net.Conn) { conn.Close() }},
		"closed in halves":        {"GET /held HTTP/1.1\r\nHost: a\r\n\r\n", func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite(); conn.Close() }},
		"the last of many":        {"GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /held HTTP/1.1\r\nHost: a\r\n\r\n", func(conn net.Conn) { conn.Close() }},
		"reset after the request": {"PUT /held HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", reset},
	} {
		t.Run(name, func(t *testing.T) {
			harness := startListener(t, defaultLimits)
			conn, _ := harness.dial(t)
			fmt.Fprint(conn, test.text)
			for received := range harness.received {
				if received.Target == "/held" {
					break
				}
			}
			test.end(conn)
			await(t, "noticed", func() bool { return harness.listener.disconnects.Detected.Load() == 1 })
			close(harness.release)
		})
	}
}

// A caller that has ended only its sending side gets its answer, after an interim one; then the connection ends.
func TestHalfClosedCallersAreAnswered(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, reader := harness.dial(t)
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	_ = conn.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v instead of an interim answer", response, err)
	}
	close(harness.release)
	if status, body, closes := readResponse(t, reader, "GET"); status != 200 || body != "/held" || !closes {
		t.Errorf("answered %d %q, closes %t", status, body, closes)
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("after the answer: %q, %v", rest, err)
	}
	if counts := harness.listener.disconnects.Counts(); counts.Detected != 0 || counts.HalfClosed != 1 {
		t.Errorf("counted %+v", counts)
	}
}

// Whoever sends its next request while one is under way is there, and gets both answers in order.
func TestNextRequestIsNoDisconnect(t *testing.T) {
	harness := startListener(t, defaultLimits)
	conn, reader := harness.dial(t)
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	fmt.Fprint(conn, "GET /next HTTP/1.1\r\nHost: a\r\n")
	close(harness.release)
	if _, body, _ := readResponse(t, reader, "GET"); body != "/held" {
		t.Errorf("first came %q", body)
	}
	fmt.Fprint(conn, "\r\n")
	if _, body, _ := readResponse(t, reader, "GET"); body != "/next" {
		t.Errorf("second came %q", body)
	}
	if counts := harness.listener.disconnects.Counts(); counts.Detected != 0 || counts.HalfClosed != 0 {
		t.Errorf("counted %+v", counts)
	}
}

// A call may take longer than a caller may be quiet: the watch goes on, and the time for the next request
// begins with the answer.
func TestCallsOutlastTheIdleTimeout(t *testing.T) {
	limits := defaultLimits
	limits.idleTimeout = 20 * time.Millisecond
	harness := startListener(t, limits)
	conn, reader := harness.dial(t)
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-harness.received
	// The interim answer to a half close proves that the watch outlived the bound.
	time.AfterFunc(5*limits.idleTimeout, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v instead of an interim answer", response, err)
	}
	close(harness.release)
	if status, _, _ := readResponse(t, reader, "GET"); status != 200 {
		t.Errorf("answered %d", status)
	}
}

// Callers that leave as they are answered, in all the orders that chance gives: nobody is answered twice, and a
// kept connection goes on.
func TestResponsesCrossDisconnects(t *testing.T) {
	harness := startListener(t, defaultLimits)
	close(harness.release)
	go func() {
		for range harness.received {
		}
	}()
	for round := range 200 {
		conn, err := net.Dial("tcp", harness.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		reader := bufio.NewReader(conn)
		for range round % 3 {
			fmt.Fprint(conn, "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n")
			if status, _, closes := readResponse(t, reader, "GET"); status != 200 || closes {
				t.Fatalf("round %d: answered %d, closes %t", round, status, closes)
			}
		}
		fmt.Fprint(conn, "GET /last HTTP/1.1\r\nHost: a\r\n\r\n")
		_ = conn.(*net.TCPConn).CloseWrite()
		finalResponses := 0
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if response.StatusCode == http.StatusContinue {
				if finalResponses > 0 {
					t.Fatalf("round %d: an interim answer after the final one", round)
				}
				continue
			}
			finalResponses++
		}
		if finalResponses != 1 {
			t.Fatalf("round %d: %d final answers", round, finalResponses)
		}
		conn.Close()
	}
}
