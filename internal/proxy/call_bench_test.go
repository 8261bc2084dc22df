package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/proxy"
	"meadowhinge/schema"
)

// startFakeWorker starts a worker that answers every request with the given header lines and body, with little overhead.
// It returns the address of the worker.
func startFakeWorker(tb testing.TB, fields, body string) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() }) // ends the goroutine below
	response := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerRequests(conn, response)
		}
	}()
	return listener.Addr().String()
}

// answerRequests answers each request on a connection until the connection ends. Requests must not have a body.
func answerRequests(conn net.Conn, response []byte) {
	defer func() { _ = conn.Close() }() // the peer has closed it
	buffer, received := make([]byte, 16<<10), 0
	for {
		count, err := conn.Read(buffer[received:])
		if err != nil {
			return
		}
		if received += count; bytes.HasSuffix(buffer[:received], []byte("\r\n\r\n")) {
			received = 0
			if _, err := conn.Write(response); err != nil {
				return
			}
		}
	}
}

// standaloneOptions returns the options of a standalone proxy in these tests.
func standaloneOptions(name string) *schema.ProxyOptions {
	return &schema.ProxyOptions{
		Name:          name,
		Area:          "a",
		Buffer:        2048,
		CallersMost:   64,
		BodyMost:      1 << 20,
		HorizonMost:   int64(10 * time.Second),
		Lease:         int64(8 * time.Second),
		MembersMost:   64,
		ExtraRatio:    0.2,
		ExtraFloor:    60,
		Remembered:    12000,
		Silence:       3,
		FailuresMost:  5,
		Ejection:      int64(5 * time.Second),
		Trial:         int64(time.Second),
		TrialFailures: 40,
		TrialTimes:    2,
		TrialExcess:   0.02,
		TrialSlow:     10,
	}
}

// newItem returns a configuration item of the first revision.
func newItem(kind, name, body string) *schema.Item {
	return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Term: 1, Sequence: 1}}
}

// startProxyPair starts a proxy for callers and a proxy for the worker at the address worker, which it registers there.
// It returns the proxy for callers.
func startProxyPair(tb testing.TB, worker string) *proxy.StandaloneProxy {
	tb.Helper()
	callerProxy := proxy.StartStandaloneProxy(tb, standaloneOptions("caller-proxy"), "shop")
	workerProxy := proxy.StartStandaloneProxy(tb, standaloneOptions("worker-proxy"), "saves")
	description := dispatch.WorkerDescription{Address: worker, Service: "saves", Version: "v1", HeartbeatMS: 60000, Token: "i-1"}
	if _, err := workerProxy.Workers().Register(description); err != nil {
		tb.Fatal(err)
	}
	items := []*schema.Item{
		newItem("service", "saves", `{"versions":["v1"],"fallback":"v1"}`),
		newItem("route", "r", `{"service":"saves","prefix":"/saves/","class":"repeatable","horizon":"9s"}`),
	}
	workerProxy.Apply(1, items)
	callerProxy.Apply(1, items, workerProxy.Source())
	return callerProxy
}

const (
	// request is a GET request of the caller "shop" without a body.
	request = "GET /saves/2f HTTP/1.1\r\nHost: saves.example\r\nMeadowhinge-Horizon-Ms: 9000\r\n" +
		"X-Player: 9c41d07be2a35f68\r\nAccept: */*\r\nUser-Agent: client\r\n\r\n"
	// fields are the header lines of the worker's response.
	fields = "X-Player: 9c41d07be2a35f68\r\nEtag: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,18\r\nContent-Type: text/plain\r\n"
)

// processCPUTime returns the user and system CPU time that this process has used.
func processCPUTime() time.Duration {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used) // fails only for invalid arguments
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// sendRequests sends the given number of requests on one connection, one after the other, and reads their responses.
func sendRequests(tb testing.TB, address string, count int) {
	tb.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // every response has been read
	reader := bufio.NewReader(conn)
	for range count {
		if _, err := io.WriteString(conn, request); err != nil {
			tb.Fatal(err)
		}
		length := 0
		for first := true; ; first = false {
			line, err := reader.ReadString('\n')
			if err != nil || (first && line != "HTTP/1.1 200 OK\r\n") {
				rest, _ := reader.Peek(min(300, reader.Buffered()))
				tb.Fatalf("response line %q, error %v, next bytes %q; want a response with status 200", line, err, rest)
			}
			if line == "\r\n" {
				break
			}
			if value, found := strings.CutPrefix(line, "Content-Length: "); found {
				_, _ = fmt.Sscan(value, &length)
			}
		}
		if _, err := reader.Discard(length); err != nil {
			tb.Fatal(err)
		}
	}
}

// BenchmarkCall measures the CPU time of a call from a caller through two proxies to a worker, all in this process. The
// case direct measures caller and worker alone. Run it with -cpu 1, because edge machines have one CPU.
func BenchmarkCall(b *testing.B) {
	worker := startFakeWorker(b, fields, strings.Repeat("x", 600))
	for name, address := range map[string]string{"proxies": startProxyPair(b, worker).CallerAddress, "direct": worker} {
		b.Run(name, func(b *testing.B) {
			sendRequests(b, address, 100)
			b.ReportAllocs()
			before := processCPUTime()
			sendRequests(b, address, b.N)
			b.ReportMetric(float64((processCPUTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}
