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

// startFakeWorker starts a worker that answers every request with the given header lines and body, at small cost.
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

// answerRequests answers each request without a body on a connection, until it ends.
func answerRequests(conn net.Conn, response []byte) {
	defer func() { _ = conn.Close() }() // the other side has ended it
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

// standaloneOptions are the options of a standalone proxy in these tests.
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

// newItem is a configuration item of the first revision.
func newItem(kind, name, body string) *schema.Item {
	return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Term: 1, Sequence: 1}}
}

// startProxyPair starts two proxies. It returns the callers' one; the worker of the service that they call is beside
// the other.
func startProxyPair(tb testing.TB, worker string) *proxy.StandaloneProxy {
	tb.Helper()
	callerProxy := proxy.StartStandaloneProxy(tb, standaloneOptions("here"), "shop")
	workerProxy := proxy.StartStandaloneProxy(tb, standaloneOptions("there"), "saves")
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
	// request is the request that sendRequests sends.
	request = "GET /saves/2f HTTP/1.1\r\nHost: saves.example\r\nMeadowhinge-Horizon-Ms: 9000\r\n" +
		"X-Player: 9c41d07be2a35f68\r\nAccept: */*\r\nUser-Agent: client\r\n\r\n"
	// fields are the header lines of the worker's response.
	fields = "X-Player: 9c41d07be2a35f68\r\nEtag: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,18\r\nContent-Type: text/plain\r\n"
)

// processCPUTime is the processor time that this process has used.
func processCPUTime() time.Duration {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used) // it fails for wrong arguments only
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// sendRequests sends requests on one connection, one after the other.
func sendRequests(tb testing.TB, address string, times int) {
	tb.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // every response has been read
	reader := bufio.NewReader(conn)
	for range times {
		if _, err := io.WriteString(conn, request); err != nil {
			tb.Fatal(err)
		}
		length := 0
		for first := true; ; first = false {
			line, err := reader.ReadString('\n')
			if err != nil || (first && line != "HTTP/1.1 200 OK\r\n") {
				rest, _ := reader.Peek(min(300, reader.Buffered()))
				tb.Fatalf("%q, %v, %s", line, err, rest)
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

// BenchmarkCall measures the processor time of a call from a caller through two proxies to a worker, all in this
// process; /direct is the part of caller and worker. Run it with -cpu 1, which is what an edge machine has.
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
