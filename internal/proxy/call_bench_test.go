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

// startFakeWorker answers every request that comes on its connections, at small cost.
func startFakeWorker(t testing.TB, fields, body string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer, have := make([]byte, 16<<10), 0
				out := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body))
				for {
					count, err := conn.Read(buffer[have:])
					if err != nil {
						return
					}
					if have += count; bytes.HasSuffix(buffer[:have], []byte("\r\n\r\n")) {
						have = 0
						if _, err := conn.Write(out); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// startProxyPair starts two proxies, of which the second has a worker of the service that the first calls.
func startProxyPair(t testing.TB, worker string) *proxy.StandaloneProxy {
	t.Helper()
	given := func(name string) *schema.ProxyOptions {
		return &schema.ProxyOptions{Name: name, Area: "a", Buffer: 2048, CallersMost: 64, BodyMost: 1 << 20, HorizonMost: int64(10 * time.Second), Lease: int64(8 * time.Second),
			MembersMost: 64, ExtraRatio: 0.2, ExtraFloor: 60, Remembered: 12000, Silence: 3, FailuresMost: 5, Ejection: int64(5 * time.Second), Trial: int64(time.Second),
			TrialFailures: 40, TrialTimes: 2, TrialExcess: 0.02, TrialSlow: 10}
	}
	here := proxy.StartStandaloneProxy(t, given("here"), "shop")
	there := proxy.StartStandaloneProxy(t, given("there"), "saves")
	if _, err := there.Workers().Register(dispatch.WorkerDescription{Address: worker, Service: "saves", Version: "v1", HeartbeatMS: 60000, Token: "i-1"}); err != nil {
		t.Fatal(err)
	}
	item := func(kind, name, body string) *schema.Item {
		return &schema.Item{Kind: kind, Name: name, Body: []byte(body), Version: &schema.Version{Term: 1, Sequence: 1}}
	}
	items := []*schema.Item{
		item("service", "saves", `{"versions":["v1"],"fallback":"v1"}`),
		item("route", "r", `{"service":"saves","prefix":"/saves/","class":"repeatable","horizon":"9s"}`),
	}
	there.Apply(1, items)
	here.Apply(1, items, there.Source())
	return here
}

const (
	request = "GET /saves/2f HTTP/1.1\r\nHost: saves.example\r\nMeadowhinge-Horizon-Ms: 9000\r\nX-Player: 9c41d07be2a35f68\r\nAccept: */*\r\nUser-Agent: client\r\n\r\n"
	fields  = "X-Player: 9c41d07be2a35f68\r\nEtag: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,18\r\nContent-Type: text/plain\r\n"
)

func processCPUTime() time.Duration {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// sendRequests sends requests on one connection, one after the other.
func sendRequests(t testing.TB, address string, times int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range times {
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		length := 0
		for first := true; ; first = false {
			line, err := reader.ReadString('\n')
			if err != nil || (first && line != "HTTP/1.1 200 OK\r\n") {
				rest, _ := reader.Peek(min(300, reader.Buffered()))
				t.Fatalf("%q, %v, %s", line, err, rest)
			}
			if line == "\r\n" {
				break
			}
			if value, found := strings.CutPrefix(line, "Content-Length: "); found {
				_, _ = fmt.Sscan(value, &length)
			}
		}
		if _, err := reader.Discard(length); err != nil {
			t.Fatal(err)
		}
	}
}

// BenchmarkCall is the processor's time for a call from a caller through two proxies to a
// worker, all in this process; /direct is what caller and worker take of that. Run it with
// -cpu 1, for that is what an edge machine has.
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
