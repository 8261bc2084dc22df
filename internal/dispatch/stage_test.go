package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"meadowhinge/internal/defect"
	"meadowhinge/internal/link"
	"meadowhinge/internal/plan"
	"meadowhinge/internal/setup"
	"meadowhinge/internal/statement"
	"meadowhinge/schema"
)

const stageSetup = `
service: shop: {versions: ["1", "2"], fallback: "1", callers: ["client", "saves"]}
service: saves: {versions: ["1"], fallback: "1", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"], class: "once"}
route: look: {service: "shop", prefix: "/shop/look", class: "repeatable"}
`

// stageItems is read once: reading CUE takes longer than most of what is tried with it.
var stageItems, stageFaults = statement.Read([]byte(stageSetup))

func compiled(t testing.TB, sequence uint64) *setup.Setup {
	t.Helper()
	items, faults := stageItems, stageFaults
	for _, item := range items {
		item.Version = &schema.Version{Epoch: 1, Sequence: 1}
	}
	made, more := setup.Compile(setup.State{}.With(items), sequence)
	if len(faults)+len(more) > 0 {
		t.Fatal(faults, more)
	}
	return made
}

// ran is one request as a worker ran it.
type ran struct {
	request, caller, service, version, token string
	at                                       time.Duration
}

// actor is a worker behind pipes: what it runs is written down before it answers.
type actor struct {
	token, service, version string
	answer                  func(request string) string // raw HTTP; empty closes the connection
}

// stage is one proxy's worker side with its workers, on the clock it is given.
type stage struct {
	lock    sync.Mutex
	began   time.Time
	actors  map[string]*actor // by address
	conns   map[string][]net.Conn
	runs    []ran
	lax     bool // planted: workers run what does not bear their token
	workers *Workers
	runner  *Runner
	view    *plan.View
}

func newStage(t testing.TB) *stage {
	s := &stage{began: time.Now(), actors: map[string]*actor{}, conns: map[string][]net.Conn{}}
	s.view = &plan.View{Setup: compiled(t, 5), Directory: plan.Directory{}}
	s.workers = NewWorkers(WorkersOptions{Proxy: "p", Incarnation: 1, Silence: 3, Most: 16, ConnsMost: 64, BodyMost: 4096, Now: s.now, Dial: s.dial}, func() {})
	s.runner = NewRunner(Runner{Workers: s.workers, View: func() *plan.View { return s.view }, AwaitSetup: func(context.Context, uint64) {},
		Outdated: func(sequence uint64) bool { return sequence < 4 }, Leased: func() bool { return true }, Now: s.now}, 1024)
	t.Cleanup(func() {
		s.close()
		// The client's own housekeeping ends once its connections have: on the virtual clock.
		time.Sleep(time.Minute)
	})
	return s
}

func (s *stage) now() time.Duration { return time.Since(s.began) }

func (s *stage) dial(address string) (net.Conn, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.actors[address] == nil {
		return nil, defect.New(defect.WorkerUnopened, address)
	}
	near, far := net.Pipe()
	s.conns[address] = append(s.conns[address], near, far)
	go s.serve(address, far)
	return near, nil
}

func whole(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (s *stage) serve(address string, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.lock.Lock()
		who := s.actors[address]
		meant := who != nil && (s.lax || request.Header.Get(HeaderToken) == who.token)
		if meant {
			s.runs = append(s.runs, ran{request.Header.Get(HeaderRequest), request.Header.Get(HeaderCaller), who.service, who.version, who.token, s.now()})
		}
		s.lock.Unlock()
		answer := "HTTP/1.1 421 Misdirected\r\n" + HeaderRefused + ": token\r\nContent-Length: 0\r\n\r\n"
		if meant {
			answer = whole(`{"request":"` + request.Header.Get(HeaderRequest) + `"}`)
			if who.answer != nil {
				answer = who.answer(request.Header.Get(HeaderRequest))
			}
		}
		if answer == "" {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil || len(answer) < 15 || request.Close {
			return
		}
		// An answer without a length ends with its connection.
		if meant && who.answer != nil && !contains(answer, "Content-Length") {
			return
		}
	}
}

func contains(text, part string) bool {
	for i := 0; i+len(part) <= len(text); i++ {
		if text[i:i+len(part)] == part {
			return true
		}
	}
	return false
}

// enter puts an actor at an address and describes it to the proxy; it gives the instance.
func (s *stage) enter(t testing.TB, address, service, version, token string) (string, *actor) {
	t.Helper()
	who := &actor{token: token, service: service, version: version}
	s.lock.Lock()
	s.actors[address] = who
	s.lock.Unlock()
	instance, err := s.workers.Describe(s.saying(address, who))
	if err != nil {
		t.Fatal(err)
	}
	return instance, who
}

func (s *stage) saying(address string, who *actor) Description {
	return Description{Address: address, Service: who.service, Version: who.version, Token: who.token, BeatMS: 1000}
}

// close ends every connection, so that no goroutine outlives the test.
func (s *stage) close() {
	s.lock.Lock()
	addresses := s.actors
	s.actors = map[string]*actor{}
	var open []net.Conn
	for _, conns := range s.conns {
		open = append(open, conns...)
	}
	s.lock.Unlock()
	for address, who := range addresses {
		gone := s.saying(address, who)
		gone.Gone = true
		_, _ = s.workers.Describe(gone)
	}
	for _, conn := range open {
		conn.Close()
	}
}

func (s *stage) ledger() []ran {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]ran(nil), s.runs...)
}

var client = link.Local("proxy", "q", map[string]bool{"client": true})

func carry(request, instance string) *schema.Carry {
	body := []byte(`{"a":1}`)
	return &schema.Carry{Request: request, Caller: "client", Service: "shop", Version: "1", Instance: instance, Method: "POST", Target: "/shop/buy?n=1",
		Body: body, Checksum: crc32.ChecksumIEEE(body), LeftNanos: int64(time.Second), Setup: 5, Once: true, Route: "buy"}
}
