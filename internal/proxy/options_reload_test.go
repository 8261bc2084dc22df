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

// startGatedWorker is a worker that answers a request only once it is let.
func startGatedWorker(t *testing.T) (address string, came chan struct{}, answer chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	came, answer = make(chan struct{}, 16), make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadString('\n')
					if err != nil {
						return
					}
					if line != "\r\n" {
						continue
					}
					came <- struct{}{}
					<-answer
					if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), came, answer
}

// startRequest sends a request on a connection of its own; what it is answered comes later.
func startRequest(t *testing.T, address string) chan string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
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

// await waits until a request is at the worker.
func await(t *testing.T, came chan struct{}, answered chan string) {
	t.Helper()
	select {
	case <-came:
	case got := <-answered:
		t.Fatalf("answered %q before it came to the worker", got)
	}
}

// Settings that change while calls are under way cut none of them; those that come later go by
// the new ones, and where registries are looked for moves too.
func TestSettingsChangeUnderCalls(t *testing.T) {
	worker, came, answer := startGatedWorker(t)
	here := startProxyPair(t, worker)
	first := startRequest(t, here.CallerAddress)
	await(t, came, first)
	here.ChangeOptions(func(given *schema.ProxyOptions) { given.Buffer, given.Seeds = 1, "127.0.0.1:9" })
	if got := <-startRequest(t, here.CallerAddress); !strings.HasPrefix(got, "503 ") {
		t.Errorf("the second call of one that may be in flight was answered %q", got)
	}
	here.ChangeOptions(func(given *schema.ProxyOptions) { given.Buffer, given.Seeds = 2, "127.0.0.1:9,127.0.0.1:10" })
	second := startRequest(t, here.CallerAddress)
	await(t, came, second)
	close(answer)
	for _, answered := range []chan string{first, second} {
		if got := <-answered; got != "200 OK" {
			t.Errorf("answered %q", got)
		}
	}
	if got := here.Registries(); !slices.Equal(got, []string{"127.0.0.1:9", "127.0.0.1:10"}) {
		t.Errorf("registries are looked for at %v", got)
	}
}

// How long a call may take at most follows the settings.
func TestMaxDeadlineFollowsSettings(t *testing.T) {
	worker, came, answer := startGatedWorker(t)
	defer close(answer)
	here := startProxyPair(t, worker)
	here.ChangeOptions(func(given *schema.ProxyOptions) { given.HorizonMost = int64(50e6) })
	late := startRequest(t, here.CallerAddress)
	await(t, came, late)
	if got := <-late; !strings.HasPrefix(got, "504 ") {
		t.Errorf("answered %q", got)
	}
}
