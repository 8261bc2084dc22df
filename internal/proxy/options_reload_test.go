package proxy_test

import (
	"bufio"
	"io"
	"net"
	"slices"
	"strings"
	"testing"

	"meadowhinge/schema"
)

// startGatedWorker starts a worker that answers requests only after the test closes release. arrived receives one value
// for each request that reaches the worker.
func startGatedWorker(t *testing.T) (address string, arrived chan struct{}, release chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // ends the goroutine below
	arrived, release = make(chan struct{}, 16), make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the peer has closed it
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					if line != "\r\n" {
						continue
					}
					arrived <- struct{}{}
					<-release
					if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), arrived, release
}

// startRequest sends a request on a new connection. The returned channel receives the status of the response, or the
// text of the read error.
func startRequest(t *testing.T, address string) chan string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // ends the goroutine below
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	answered := make(chan string, 1)
	go func() {
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil {
			line = err.Error()
		}
		answered <- strings.TrimSpace(strings.TrimPrefix(line, "HTTP/1.1 "))
	}()
	return answered
}

// awaitRequest waits until a request has reached the worker. It fails the test if the request is answered before.
func awaitRequest(t *testing.T, arrived chan struct{}, answered chan string) {
	t.Helper()
	select {
	case <-arrived:
	case got := <-answered:
		t.Fatalf("request was answered with %q before it reached the worker", got)
	}
}

// A change of options cancels no call in flight. It applies to later calls, and to the addresses of the registries.
func TestOptionChangeKeepsCallsInFlight(t *testing.T) {
	worker, arrived, release := startGatedWorker(t)
	callerProxy := startProxyPair(t, worker)
	first := startRequest(t, callerProxy.CallerAddress)
	awaitRequest(t, arrived, first)
	callerProxy.ChangeOptions(func(opts *schema.ProxyOptions) { opts.Buffer, opts.Seeds = 1, "127.0.0.1:9" })
	if got := <-startRequest(t, callerProxy.CallerAddress); !strings.HasPrefix(got, "503 ") {
		t.Errorf("second call with a limit of one call in flight: status %q, want 503", got)
	}
	callerProxy.ChangeOptions(func(opts *schema.ProxyOptions) { opts.Buffer, opts.Seeds = 2, "127.0.0.1:9,127.0.0.1:10" })
	second := startRequest(t, callerProxy.CallerAddress)
	awaitRequest(t, arrived, second)
	close(release)
	for i, answered := range []chan string{first, second} {
		if got := <-answered; got != "200 OK" {
			t.Errorf("call %d: status %q, want \"200 OK\"", i+1, got)
		}
	}
	want := []string{"127.0.0.1:9", "127.0.0.1:10"}
	if got := callerProxy.Registries(); !slices.Equal(got, want) {
		t.Errorf("addresses of the registries: %v, want %v", got, want)
	}
}

// The maximum deadline of a call follows a change of options.
func TestMaxDeadlineFollowsOptions(t *testing.T) {
	worker, arrived, release := startGatedWorker(t)
	defer close(release)
	callerProxy := startProxyPair(t, worker)
	// The option is in nanoseconds: 50ms.
	callerProxy.ChangeOptions(func(opts *schema.ProxyOptions) { opts.HorizonMost = int64(50e6) })
	late := startRequest(t, callerProxy.CallerAddress)
	awaitRequest(t, arrived, late)
	if got := <-late; !strings.HasPrefix(got, "504 ") {
		t.Errorf("call beyond the maximum deadline of 50ms: status %q, want 504", got)
	}
}
