package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/internal/configsource"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/transport"
	"meadowhinge/schema"
)

const fixtureConfig = `
service: shop: {versions: ["1", "2"], fallback: "1", callers: ["client", "saves"]}
service: saves: {versions: ["1"], fallback: "1", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"], class: "once"}
route: look: {service: "shop", prefix: "/shop/look", class: "repeatable"}
`

// fixtureItems is parsed once: parsing CUE takes longer than most tests that use it.
var fixtureItems, fixtureFaults = configsource.Parse([]byte(fixtureConfig))

func compileConfig(tb testing.TB, sequence uint64) *config.Snapshot {
	tb.Helper()
	items, faults := fixtureItems, fixtureFaults
	for _, item := range items {
		item.Version = &schema.Version{Term: 1, Sequence: 1}
	}
	snapshot, more := config.Compile(config.State{}.With(items), sequence)
	if len(faults)+len(more) > 0 {
		tb.Fatal(faults, more)
	}
	return snapshot
}

// workerRun is one request as a worker ran it.
type workerRun struct {
	request, caller, service, version, token string
	at                                       time.Duration
}

// fakeWorker is a worker behind pipes. Each request that it runs is recorded before it answers.
type fakeWorker struct {
	token, service, version string
	answer                  func(request string) string // raw HTTP; empty closes the connection
}

// workerFixture is the runner of one proxy and the workers beside it.
type workerFixture struct {
	lock               sync.Mutex
	startedAt          time.Time
	workersByAddress   map[string]*fakeWorker
	conns              map[string][]net.Conn
	runs               []workerRun
	seededNoTokenCheck bool // seeded fault: workers run requests without their token
	workers            *Workers
	runner             *Runner
	view               *plan.View
}

func newWorkerFixture(tb testing.TB) *workerFixture {
	tb.Helper()
	fixture := &workerFixture{startedAt: time.Now(), workersByAddress: map[string]*fakeWorker{}, conns: map[string][]net.Conn{}}
	fixture.view = &plan.View{Config: compileConfig(tb, 5), Directory: plan.Directory{}}
	fixture.workers = NewWorkers(WorkersOptions{
		Proxy:               "p",
		Incarnation:         1,
		MaxMissedHeartbeats: 3,
		MaxWorkers:          16,
		MaxConns:            64,
		MaxBodyBytes:        4096,
		Now:                 fixture.now,
		Dial:                fixture.dial,
	}, func() {})
	fixture.runner = NewRunner(Runner{
		Workers:          fixture.workers,
		View:             func() *plan.View { return fixture.view },
		AwaitConfig:      func(context.Context, uint64) {},
		RevisionOutdated: func(revision uint64) bool { return revision < 4 },
		HasLease:         func() bool { return true },
		Now:              fixture.now,
	}, 1024)
	tb.Cleanup(func() {
		fixture.close()
		// Timers of the connections run out on the virtual clock, so that no goroutine outlives the test.
		time.Sleep(time.Minute)
	})
	return fixture
}

func (f *workerFixture) now() time.Duration { return time.Since(f.startedAt) }

func (f *workerFixture) dial(address string) (net.Conn, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.workersByAddress[address] == nil {
		return nil, errs.New(errs.WorkerConnectFailed, address)
	}
	near, far := net.Pipe()
	f.conns[address] = append(f.conns[address], near, far)
	go f.serve(address, far)
	return near, nil
}

func jsonAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (f *workerFixture) serve(address string, conn net.Conn) {
	defer func() { _ = conn.Close() }() // the reader has ended, or nothing more is to be sent
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		f.lock.Lock()
		worker := f.workersByAddress[address]
		meant := worker != nil && (f.seededNoTokenCheck || request.Header.Get(HeaderToken) == worker.token)
		if meant {
			f.runs = append(f.runs, workerRun{
				request: request.Header.Get(HeaderRequest),
				caller:  request.Header.Get(HeaderCaller),
				service: worker.service,
				version: worker.version,
				token:   worker.token,
				at:      f.now(),
			})
		}
		f.lock.Unlock()
		answer := "HTTP/1.1 421 Misdirected\r\n" + HeaderRefused + ": token\r\nContent-Length: 0\r\n\r\n"
		if meant {
			answer = jsonAnswer(`{"request":"` + request.Header.Get(HeaderRequest) + `"}`)
			if worker.answer != nil {
				answer = worker.answer(request.Header.Get(HeaderRequest))
			}
		}
		if answer == "" {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil || len(answer) < 15 || request.Close {
			return
		}
		// A response without a length ends with its connection.
		if meant && worker.answer != nil && !strings.Contains(answer, "Content-Length") {
			return
		}
	}
}

// addWorker adds a worker at an address and registers it. It returns the instance.
func (f *workerFixture) addWorker(tb testing.TB, address, service, version, token string) (string, *fakeWorker) {
	tb.Helper()
	worker := &fakeWorker{token: token, service: service, version: version}
	f.lock.Lock()
	f.workersByAddress[address] = worker
	f.lock.Unlock()
	instance, err := f.workers.Register(f.describe(address, worker))
	if err != nil {
		tb.Fatal(err)
	}
	return instance, worker
}

func (f *workerFixture) describe(address string, worker *fakeWorker) WorkerDescription {
	return WorkerDescription{Address: address, Service: worker.service, Version: worker.version, Token: worker.token, HeartbeatMS: 1000}
}

// close closes every connection, so that no goroutine outlives the test.
func (f *workerFixture) close() {
	f.lock.Lock()
	addresses := f.workersByAddress
	f.workersByAddress = map[string]*fakeWorker{}
	var open []net.Conn
	for _, conns := range f.conns {
		open = append(open, conns...)
	}
	f.lock.Unlock()
	for address, worker := range addresses {
		deregistration := f.describe(address, worker)
		deregistration.Deregistered = true
		_, _ = f.workers.Register(deregistration)
	}
	for _, conn := range open {
		_ = conn.Close() // a pipe cannot fail to close
	}
}

func (f *workerFixture) recordedRuns() []workerRun {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]workerRun(nil), f.runs...)
}

// client is a proxy that may call as the service kind "client".
var client = transport.LocalPeer("proxy", "q", map[string]bool{"client": true})

// newForwardRequest returns a non-idempotent request that the fixture's configuration allows.
func newForwardRequest(request, instance string) *schema.ForwardRequest {
	body := []byte(`{"a":1}`)
	return &schema.ForwardRequest{
		Request:       request,
		Caller:        "client",
		Service:       "shop",
		Version:       "1",
		Instance:      instance,
		Method:        "POST",
		Target:        "/shop/buy?n=1",
		Body:          body,
		Checksum:      crc32.ChecksumIEEE(body),
		TimeLeftNanos: int64(time.Second),
		Revision:      5,
		NonIdempotent: true,
		Route:         "buy",
	}
}
