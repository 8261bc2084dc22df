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

// fixtureConfig is the configuration of the fixture in the syntax of package configsource.
const fixtureConfig = `
service: shop: {versions: ["1", "2"], fallback: "1", callers: ["client", "saves"]}
service: saves: {versions: ["1"], fallback: "1", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"], class: "once"}
route: look: {service: "shop", prefix: "/shop/look", class: "repeatable"}
`

// fixtureItems is fixtureConfig, parsed only once because parsing CUE takes longer than most tests that use it.
var fixtureItems, fixtureFaults = configsource.Parse([]byte(fixtureConfig))

// compileConfig compiles fixtureConfig as the configuration of the given revision.
func compileConfig(tb testing.TB, revision uint64) *config.Snapshot {
	tb.Helper()
	items, faults := fixtureItems, fixtureFaults
	for _, item := range items {
		item.Version = &schema.Version{Term: 1, Sequence: 1}
	}
	snapshot, compileFaults := config.Compile(config.State{}.Merge(items), revision)
	if len(faults)+len(compileFaults) > 0 {
		tb.Fatalf("the fixture's configuration has faults: parsing %v, compiling %v", faults, compileFaults)
	}
	return snapshot
}

// workerRun records one request that a worker ran.
type workerRun struct {
	request, caller, service, version, token string
	at                                       time.Duration // start of the run, since the start of the fixture
}

// fakeWorker is a worker that is reached over pipes. The fixture records each request that it runs before it answers.
type fakeWorker struct {
	token, service, version string
	answer                  func(request string) string // returns raw HTTP; an empty answer closes the connection
}

// workerFixture is the runner of one proxy with its local workers.
type workerFixture struct {
	lock               sync.Mutex             // guards workersByAddress, conns and runs
	startedAt          time.Time              // start of the process clock
	workersByAddress   map[string]*fakeWorker // keyed by the address that the worker has now
	conns              map[string][]net.Conn  // both ends of all pipes, by the worker's address
	runs               []workerRun
	seededNoTokenCheck bool // seeded fault: workers run requests that lack their token
	workers            *Workers
	runner             *Runner
	view               *plan.View
}

// newWorkerFixture returns a fixture without workers. Its proxy has a lease and the configuration revision 5.
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
		// The timers of the connections expire on the virtual clock, so that no goroutine outlives the test.
		time.Sleep(time.Minute)
	})
	return fixture
}

// now returns the process clock.
func (f *workerFixture) now() time.Duration { return time.Since(f.startedAt) }

// dial opens a pipe to the worker at an address.
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

// jsonAnswer returns a complete HTTP response with a JSON body.
func jsonAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serve answers the requests on a connection as the worker that has the address at that time.
func (f *workerFixture) serve(address string, conn net.Conn) {
	defer func() { _ = conn.Close() }() // closing a pipe cannot fail
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		f.lock.Lock()
		worker := f.workersByAddress[address]
		accepted := worker != nil && (f.seededNoTokenCheck || request.Header.Get(HeaderToken) == worker.token)
		if accepted {
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
		if accepted {
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
		if accepted && worker.answer != nil && !strings.Contains(answer, "Content-Length") {
			return
		}
	}
}

// addWorker adds a worker at an address and registers it. It returns the instance of the registration and the worker.
func (f *workerFixture) addWorker(tb testing.TB, address, service, version, token string) (string, *fakeWorker) {
	tb.Helper()
	worker := &fakeWorker{token: token, service: service, version: version}
	f.lock.Lock()
	f.workersByAddress[address] = worker
	f.lock.Unlock()
	instance, err := f.workers.Register(f.describe(address, worker))
	if err != nil {
		tb.Fatalf("Register(%s): %v", address, err)
	}
	return instance, worker
}

// describe returns the description with which a worker at an address registers.
func (f *workerFixture) describe(address string, worker *fakeWorker) WorkerDescription {
	return WorkerDescription{Address: address, Service: worker.service, Version: worker.version, Token: worker.token, HeartbeatMS: 1000}
}

// close deregisters all workers and closes all connections, so that no goroutine outlives the test.
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

// recordedRuns returns a copy of the runs so far.
func (f *workerFixture) recordedRuns() []workerRun {
	f.lock.Lock()
	defer f.lock.Unlock()
	return append([]workerRun(nil), f.runs...)
}

// client is a peer proxy that may forward calls of the caller "client".
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
