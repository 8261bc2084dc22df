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
	for until := time.Now().Add(patient); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: not within %s", what, patient)
		}
	}
}

// A caller that closes or resets its connection while its call is under way is found gone before the call ends.
func TestLeavingCallersAreNoticed(t *testing.T) {
	for name, one := range map[string]struct {
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
			counter := startFront(t, usual)
			conn, _ := counter.dial(t)
			fmt.Fprint(conn, one.text)
			for took := range counter.took {
				if took.Target == "/held" {
					break
				}
			}
			one.end(conn)
			await(t, "noticed", func() bool { return counter.front.departures.Noticed.Load() == 1 })
			close(counter.held)
		})
	}
}

// A caller that has ended only its sending side gets its answer, after an interim one; then the connection ends.
func TestHalfClosedCallersAreAnswered(t *testing.T) {
	counter := startFront(t, usual)
	conn, reader := counter.dial(t)
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-counter.took
	_ = conn.(*net.TCPConn).CloseWrite()
	told, err := http.ReadResponse(reader, nil)
	if err != nil || told.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v instead of an interim answer", told, err)
	}
	close(counter.held)
	if status, body, closes := answer(t, reader, "GET"); status != 200 || body != "/held" || !closes {
		t.Errorf("answered %d %q, closes %t", status, body, closes)
	}
	if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
		t.Errorf("after the answer: %q, %v", rest, err)
	}
	if counts := counter.front.departures.Counts(); counts.Noticed != 0 || counts.HalfClosed != 1 {
		t.Errorf("counted %+v", counts)
	}
}

// Whoever sends its next request while one is under way is there, and gets both answers in order.
func TestNextRequestIsNoDeparture(t *testing.T) {
	counter := startFront(t, usual)
	conn, reader := counter.dial(t)
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-counter.took
	fmt.Fprint(conn, "GET /next HTTP/1.1\r\nHost: a\r\n")
	close(counter.held)
	if _, body, _ := answer(t, reader, "GET"); body != "/held" {
		t.Errorf("first came %q", body)
	}
	fmt.Fprint(conn, "\r\n")
	if _, body, _ := answer(t, reader, "GET"); body != "/next" {
		t.Errorf("second came %q", body)
	}
	if counts := counter.front.departures.Counts(); counts.Noticed != 0 || counts.HalfClosed != 0 {
		t.Errorf("counted %+v", counts)
	}
}

// A call may take longer than a caller may be quiet: the watch goes on, and the time for the next request
// begins with the answer.
func TestCallsOutlastTheQuietBound(t *testing.T) {
	limits := usual
	limits.quiet = 20 * time.Millisecond
	counter := startFront(t, limits)
	conn, reader := counter.dial(t)
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-counter.took
	// The interim answer to a half close proves that the watch outlived the bound.
	time.AfterFunc(5*limits.quiet, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	if told, err := http.ReadResponse(reader, nil); err != nil || told.StatusCode != http.StatusContinue {
		t.Fatalf("%v, %v instead of an interim answer", told, err)
	}
	close(counter.held)
	if status, _, _ := answer(t, reader, "GET"); status != 200 {
		t.Errorf("answered %d", status)
	}
}

// Callers that leave as they are answered, in all the orders that chance gives: nobody is answered twice, and a
// kept connection goes on.
func TestAnswersCrossDepartures(t *testing.T) {
	counter := startFront(t, usual)
	close(counter.held)
	go func() {
		for range counter.took {
		}
	}()
	for round := range 200 {
		conn, err := net.Dial("tcp", counter.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(patient))
		reader := bufio.NewReader(conn)
		for range round % 3 {
			fmt.Fprint(conn, "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n")
			if status, _, closes := answer(t, reader, "GET"); status != 200 || closes {
				t.Fatalf("round %d: answered %d, closes %t", round, status, closes)
			}
		}
		fmt.Fprint(conn, "GET /last HTTP/1.1\r\nHost: a\r\n\r\n")
		_ = conn.(*net.TCPConn).CloseWrite()
		finals := 0
		for {
			told, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, told.Body)
			if told.StatusCode == http.StatusContinue {
				if finals > 0 {
					t.Fatalf("round %d: an interim answer after the final one", round)
				}
				continue
			}
			finals++
		}
		if finals != 1 {
			t.Fatalf("round %d: %d final answers", round, finals)
		}
		conn.Close()
	}
}
