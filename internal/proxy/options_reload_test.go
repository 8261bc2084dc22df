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

// startGatedWorker starts a worker that answers requests once the test closes release; arrived gets one value for each
// request that reaches it.
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
				defer func() { _ = conn.Close() }() // the other side has ended it
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

// startRequest sends a request on a connection of its own. The channel gets the status of its response, or the error.
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

// awaitRequest waits until a request has reached the worker.
func awaitRequest(t *testing.T, arrived chan struct{}, answered chan string) {
	t.Helper()
	select {
	case <-arrived:
	case got := <-answered:
		t.Fatalf("answered %q before it reached the worker", got)
	}
}

// Options that change while calls are under way cancel none of them. Later calls go by the new options, and the
// addresses of the registries change too.
func TestSettingsChangeUnderCalls(t *testing.T) {
	worker, arrived, release := startGatedWorker(t)
	here := startProxyPair(t, worker)
	first := startRequest(t, here.CallerAddress)
	awaitRequest(t, arrived, first)
	here.ChangeOptions(func(opts *schema.ProxyOptions) { opts.Buffer, opts.Seeds = 1, "127.0.0.1:9" })
	if got := <-startRequest(t, here.CallerAddress); !strings.HasPrefix(got, "503 ") {
		t.Errorf("a second call, where one may be in flight, was answered %q", got)
	}
	here.ChangeOptions(func(opts *schema.ProxyOptions) { opts.Buffer, opts.Seeds = 2, "127.0.0.1:9,127.0.0.1:10" })
	second := startRequest(t, here.CallerAddress)
	awaitRequest(t, arrived, second)
	close(release)
	for _, answered := range []chan string{first, second} {
		if got := <-answered; got != "200 OK" {
			t.Errorf("answered %q", got)
		}
	}
	if got := here.Registries(); !slices.Equal(got, []string{"127.0.0.1:9", "127.0.0.1:10"}) {
		t.Errorf("addresses of the registries: %v", got)
	}
}

// The longest deadline of a call follows the options.
func TestMaxDeadlineFollowsSettings(t *testing.T) {
	worker, arrived, release := startGatedWorker(t)
	defer close(release)
	here := startProxyPair(t, worker)
	here.ChangeOptions(func(opts *schema.ProxyOptions) { opts.HorizonMost = int64(50e6) })
	late := startRequest(t, here.CallerAddress)
	awaitRequest(t, arrived, late)
	if got := <-late; !strings.HasPrefix(got, "504 ") {
		t.Errorf("answered %q", got)
	}
}
