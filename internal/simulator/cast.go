package simulator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/errs"
	"meadowhinge/internal/fakebackend"
	"meadowhinge/internal/plan"
)

// connections are the open ends that close with a life.
type connections struct {
	lock   sync.Mutex
	open   []net.Conn
	closed bool
}

func (c *connections) add(conn net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.open = append(c.open, conn)
}

func (c *connections) close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	for _, conn := range c.open {
		conn.Close()
	}
	c.open = nil
}

// workerNode is a stand-in worker.
type workerNode struct {
	name, address, service, version, token string
	proxy                                  *proxyNode
	up, draining                           bool // up is guarded by the world's lock
	conns                                  connections
	startedAt                              time.Duration
	warmup                                 time.Duration // it is slow for so long after it began
	predecessor                            *workerNode   // whose connections it took over
	dropsResponses, truncatesResponses     bool          // does the work and loses the answer, or garbles it
}

// Degradation is how a version behaves that is not sound.
type Degradation struct {
	From           time.Duration
	Until          time.Duration // 0 for ever
	Route          string        // on one route only
	FailureRate    float64       // part of its calls that it answers with 500
	ExtraLatency   time.Duration // added to each call
	SlowdownFactor float64       // what would fail takes so many times as long instead, 0 for not
	LoadThreshold  int           // it is ill only while more calls than this are under way at it, which take ten times as long
}

const heartbeatInterval = time.Second

// initialWorkers is how the workers are spread: service, version.
var initialWorkers = [][2]string{{"shop", "1"}, {"shop", "2"}, {"saves", "1"}, {"shop", "1"}, {"saves", "2"}, {"shop", "2"}, {"saves", "1"}, {"saves", "2"}}

func (w *World) startInitialWorkers() {
	for i, worker := range initialWorkers {
		w.startWorker(w.proxies[i%len(w.proxies)], worker[0], worker[1], "")
	}
}

// startWorker begins a worker beside a proxy, at a new address or at one that was freed.
func (w *World) startWorker(proxy *proxyNode, service, version, address string) *workerNode {
	if address == "" {
		w.addressesUsed++
		address = fmt.Sprintf("127.0.0.1:%d", 10000+w.addressesUsed)
	}
	id := w.nextID()
	worker := &workerNode{name: fmt.Sprintf("w%d-%s", id, service), address: address, service: service, version: version, token: fmt.Sprint("token-", id), proxy: proxy, up: true, startedAt: w.now}
	w.lock.Lock()
	w.workersByAddress[address] = worker
	w.workers = append(w.workers, worker)
	w.lock.Unlock()
	var sendHeartbeat func()
	sendHeartbeat = func() {
		if !worker.up {
			return
		}
		w.describeWorker(worker, false)
		w.schedule(heartbeatInterval, sendHeartbeat)
	}
	w.schedule(w.randomDuration(heartbeatInterval/2), sendHeartbeat)
	return worker
}

// describeWorker lets a worker say to its proxy what it is; a dead proxy does not hear it.
func (w *World) describeWorker(worker *workerNode, terminated bool) {
	proxy := worker.proxy
	if !proxy.up {
		return
	}
	description := dispatch.WorkerDescription{Address: worker.address, Service: worker.service, Version: worker.version, Token: worker.token, HeartbeatMS: heartbeatInterval.Milliseconds(), Draining: worker.draining, Deregistered: terminated}
	if w.seededFault == SeededDrainIgnored {
		description.Draining = false
	}
	workers := proxy.workers
	w.scheduleOn(&proxy.process, time.Millisecond, func() { _, _ = workers.Register(description) })
}

// drainWorker lets a worker say that it is emptying.
func (w *World) drainWorker(worker *workerNode) {
	worker.draining = true
	w.History.recordDeparture(worker.token, w.now)
	w.describeWorker(worker, false)
}

// killWorker ends a worker at once: every connection breaks.
func (w *World) killWorker(worker *workerNode) {
	w.lock.Lock()
	wasUp := worker.up
	worker.up = false
	if w.workersByAddress[worker.address] == worker {
		delete(w.workersByAddress, worker.address)
	}
	w.lock.Unlock()
	if wasUp {
		w.History.recordDeparture(worker.token, w.now)
		for owner := worker; owner != nil; owner = owner.predecessor {
			owner.conns.close()
		}
	}
}

// takeOverConnections puts another worker at an address in a way that no connection to it shows, as where
// something in front of the workers keeps connections open.
func (w *World) takeOverConnections(old *workerNode, service string) *workerNode {
	w.lock.Lock()
	old.up = false
	w.lock.Unlock()
	w.History.recordDeparture(old.token, w.now)
	replacement := w.startWorker(old.proxy, service, "1", old.address)
	replacement.predecessor = old
	return replacement
}

// replaceWorker starts a successor, drains a worker and ends it, and gives its address to a worker of
// another service.
func (w *World) replaceWorker(old *workerNode) {
	w.startWorker(old.proxy, old.service, old.version, "")
	w.schedule(300*time.Millisecond, func() {
		if !old.up {
			return
		}
		w.drainWorker(old)
		w.schedule(time.Second, func() {
			w.describeWorker(old, true)
			w.schedule(100*time.Millisecond, func() {
				w.killWorker(old)
				other := "saves"
				if old.service == other {
					other = "shop"
				}
				w.schedule(w.randomDuration(time.Second), func() {
					addressReuser := w.startWorker(old.proxy, other, "1", old.address)
					// It goes again, so that the fleet does not grow with every replacement.
					w.schedule(10*time.Second, func() {
						if addressReuser.up {
							w.drainWorker(addressReuser)
							w.schedule(2*time.Second, func() { w.killWorker(addressReuser) })
						}
					})
				})
			})
		})
	})
}

// dial opens a connection from a proxy to whoever stands at an address now.
func (w *World) dial(address string, conns *connections) (net.Conn, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	worker := w.workersByAddress[address]
	if worker == nil || !worker.up || w.closed {
		return nil, errs.New(errs.WorkerConnectFailed, address)
	}
	near, far := net.Pipe()
	conns.add(near)
	worker.conns.add(far)
	go w.serveConn(address, far)
	return near, nil
}

// workerAt is the worker that stands at an address now.
func (w *World) workerAt(address string) *workerNode {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.workersByAddress[address]
}

// serveConn answers the requests that come over one connection to an address.
func (w *World) serveConn(address string, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		worker := w.workerAt(address)
		if worker == nil {
			return
		}
		if request.Header.Get(dispatch.HeaderToken) != worker.token && w.seededFault != SeededTokenIgnored {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected\r\n%s: token\r\nContent-Length: 0\r\n\r\n", dispatch.HeaderRefused); err != nil {
				return
			}
			continue
		}
		attemptNumber, _ := strconv.Atoi(request.Header.Get("X-Ask"))
		operationID := request.Header.Get("X-Op")
		fails, serviceTime := w.sampleWorkerCall(worker, request.URL.Path, w.derivedRandom(request.Header.Get(dispatch.HeaderRequest)))
		w.History.recordRun(w.time(), worker, operationID, attemptNumber, request.Header.Get(dispatch.HeaderCaller), request.Header.Get(dispatch.HeaderRequest), fails || serviceTime > 200*time.Millisecond)
		if w.onWorkerCall != nil {
			w.lock.Lock()
			w.onWorkerCall(worker, fails)
			w.lock.Unlock()
		}
		connReadable := make(chan struct{})
		if w.Options.CallerCancelRate > 0 {
			done := false
			done, connReadable = simulateWork(reader, serviceTime)
			w.History.recordRunEnd(w.time(), operationID, request.Header.Get(dispatch.HeaderRequest))
			if !done {
				w.endWorkerCall(worker)
				return
			}
		} else {
			close(connReadable)
			time.Sleep(serviceTime)
		}
		w.endWorkerCall(worker)
		body, _ := json.Marshal(fakebackend.NewReply(operationID, worker.name, "xxxxxxxxxxxxxxxxxxxx"))
		status := "200 OK"
		if fails {
			status = "500 Ill"
		}
		switch {
		case worker.dropsResponses:
			return
		case worker.truncatesResponses:
			body = body[:len(body)/2]
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body); err != nil {
			return
		}
		<-connReadable
	}
}

// sampleWorkerCall draws how a call goes at a worker.
func (w *World) sampleWorkerCall(worker *workerNode, path string, random *rand.Rand) (fails bool, serviceTime time.Duration) {
	now := w.time()
	w.lock.Lock()
	defer w.lock.Unlock()
	serviceTime = time.Millisecond + time.Duration(random.Int64N(int64(4*time.Millisecond)))
	if w.Options.MeanServiceTime > 0 {
		serviceTime = time.Duration(float64(w.Options.MeanServiceTime) * math.Exp(serviceTimeSigma*random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
	}
	fails = random.Float64() < w.Options.ErrorRate
	if now-worker.startedAt < worker.warmup {
		serviceTime += 200 * time.Millisecond
	}
	inFlight := w.History.beginWorkerCall(worker)
	degradation := w.degradations[[2]string{worker.service, worker.version}]
	if w.halfDegradation != nil && worker.service == "shop" && worker.version == "2" && len(worker.name)%2 == int(worker.name[1])%2 {
		degradation = w.halfDegradation
	}
	if degradation != nil && degradation.LoadThreshold > 0 && w.Options.MeanServiceTime == 0 {
		serviceTime *= 10
	}
	if degradation == nil || now < degradation.From || (degradation.Until > 0 && now >= degradation.Until) || (degradation.Route != "" && !strings.HasPrefix(path, degradation.Route)) || inFlight <= degradation.LoadThreshold {
		return fails, serviceTime
	}
	serviceTime += degradation.ExtraLatency
	if random.Float64() >= degradation.FailureRate {
		return fails, serviceTime
	}
	if degradation.SlowdownFactor > 0 {
		return fails, time.Duration(float64(serviceTime) * degradation.SlowdownFactor)
	}
	return true, serviceTime
}

// serviceTimeSigma is the spread of the logarithm of how long calls take.
const serviceTimeSigma = 0.7

func (w *World) endWorkerCall(worker *workerNode) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.History.inFlight[worker.service+worker.version]--
}

// routes that callers use: caller, method, path, once, share.
var routes = []struct {
	caller, method, path, service string
	once                          bool
	share                         float64
}{
	{"client", "POST", "/shop/buy", "shop", true, 0.25},
	{"client", "GET", "/shop/look", "shop", false, 0.3},
	{"client", "POST", "/saves/commit", "saves", true, 0.2},
	{"client", "GET", "/saves/load", "saves", false, 0.1},
	{"saves", "GET", "/shop/look", "shop", false, 0.15},
}

const initialConfig = `
service: shop: {versions: ["1", "2"], fallback: "1", callers: ["client", "saves"]}
service: saves: {versions: ["1", "2"], fallback: "1", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"], class: "once", key: "X-User"}
route: look: {service: "shop", prefix: "/shop/look", class: "repeatable", key: "X-User"}
route: commit: {service: "saves", prefix: "/saves/commit", methods: ["POST"], class: "once", key: "X-User"}
route: load: {service: "saves", prefix: "/saves/load", class: "repeatable", key: "X-User"}
flag: "release.shop": {on: true, salt: "s", variations: ["1", "2"], offVariation: 0, fallthrough: rollout: variations: [{variation: 0, weight: 100000}, {variation: 1, weight: 0}]}
flag: "release.saves": {on: true, salt: "s", variations: ["1", "2"], offVariation: 0, fallthrough: rollout: variations: [{variation: 0, weight: 70000}, {variation: 1, weight: 30000}]}
`

// startCallers send at a steady rate from every edge, whatever the answers.
func (w *World) startCallers() {
	for _, node := range w.proxies {
		random := rand.New(rand.NewPCG(uint64(w.randomInt(1<<30)), uint64(node.index)))
		var startCall func()
		startCall = func() {
			w.lock.Lock()
			closed := w.closed
			w.lock.Unlock()
			if closed {
				return
			}
			id, callRandom := w.nextID(), rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
			go w.makeCall(node, id, callRandom)
			w.schedule(time.Duration(random.ExpFloat64()*float64(time.Second)*float64(len(w.proxies))/w.Options.CallRate), startCall)
		}
		w.schedule(w.randomDuration(time.Second), startCall)
	}
}

// maxCallerRetries is how often a call under a key is asked for.
const maxCallerRetries = 4

// makeCall makes one call. One under a key is asked for again elsewhere while its outcome is unknown.
func (w *World) makeCall(node *proxyNode, id int, random *rand.Rand) {
	sample := random.Float64()
	chosen := routes[0]
	for _, route := range routes {
		if chosen = route; sample < route.share {
			break
		}
		sample -= route.share
	}
	operation := w.History.startOperation(fmt.Sprint("op-", id), chosen.caller, chosen.service, chosen.path, chosen.once, chosen.once && random.IntN(4) > 0)
	user := fmt.Sprint("user-", random.IntN(1000))
	for attemptNumber := 0; ; attemptNumber++ {
		outcome := w.attemptCall(node, operation, attemptNumber, chosen.method, user)
		if !operation.keyed || attemptNumber == maxCallerRetries || (outcome != "unknown" && outcome != "unsent") {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		node = w.proxies[random.IntN(len(w.proxies))]
	}
}

// callerTimeout is longer than any horizon, so that the proxy answers first.
const callerTimeout = 5 * time.Second

func (w *World) attemptCall(node *proxyNode, operation *operation, attemptNumber int, method, user string) string {
	attempt := &callerAttempt{proxy: node, sentAt: w.time()}
	processRun, exited, up := w.processRunOf(&node.process)
	if !up || !node.acceptsCallers.Load() || node.draining.Load() {
		attempt.outcome = "unsent"
		w.History.recordOutcome(w.time(), operation, attempt)
		return attempt.outcome
	}
	header := dispatch.AppendField(dispatch.AppendField(dispatch.AppendField(nil, "X-Op", operation.id), "X-Ask", strconv.Itoa(attemptNumber)), "X-User", user)
	call := &dispatch.Call{Target: operation.path, HeaderBlock: header, Body: []byte(operation.id), Request: plan.Request{Caller: operation.caller, Method: method, Path: operation.path,
		Header: func(string) (string, bool) { return user, true }}}
	if method == "GET" {
		call.Body = nil
	}
	if operation.keyed {
		call.Request.HasIdempotencyKey, call.Request.IdempotencyKey = true, operation.id
	}
	done := make(chan *dispatch.CallResult, 1)
	forwarder := node.forwarder
	ctx, cancel := context.WithCancel(callContext(fmt.Sprint(operation.id, "/", attemptNumber)))
	// Elsewhere what a caller gave up goes on, as its proxy cannot tell.
	defer func() {
		if w.Options.CallerCancelRate > 0 {
			cancel()
		}
	}()
	var callerLeaves <-chan time.Time
	if delay, cancels := w.sampleCancel(operation, attemptNumber); cancels {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		callerLeaves = timer.C
	}
	go func() {
		// What comes to a frozen machine waits there, and so does what it would answer.
		if !w.awaitThaw(&node.process, processRun) {
			return
		}
		if w.time() > attempt.sentAt {
			w.stagger(ctx)
		}
		result := forwarder.Forward(ctx, call)
		if w.awaitThaw(&node.process, processRun) {
			done <- result
		}
	}()
	timeout := time.NewTimer(callerTimeout)
	defer timeout.Stop()
	select {
	case result := <-done:
		attempt.result = result
		attempt.outcome = "not-run"
		if result.Response != nil {
			attempt.outcome = dispatch.OutcomeName(result.Response.Outcome)
		}
	case <-callerLeaves:
		cancel()
		attempt.outcome = outcomeCancelled
	case <-exited:
		attempt.outcome = "unknown"
	case <-timeout.C:
		attempt.outcome = "unknown"
	}
	w.History.recordOutcome(w.time(), operation, attempt)
	return attempt.outcome
}
