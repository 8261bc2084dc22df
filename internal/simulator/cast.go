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
	lock  sync.Mutex
	open  []net.Conn
	ended bool
}

func (c *connections) add(conn net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.ended {
		conn.Close()
		return
	}
	c.open = append(c.open, conn)
}

func (c *connections) close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.ended = true
	for _, conn := range c.open {
		conn.Close()
	}
	c.open = nil
}

// workerNode is a stand-in worker.
type workerNode struct {
	name, address, service, version, token string
	beside                                 *proxyNode
	up, leaving                            bool // up is guarded by the world's lock
	conns                                  connections
	born                                   time.Duration
	warm                                   time.Duration // it is slow for so long after it began
	heir                                   *workerNode   // whose connections it took over
	loses, babbles                         bool          // does the work and loses the answer, or garbles it
}

// Illness is how a version behaves that is not sound.
type Illness struct {
	From  time.Duration
	Until time.Duration // 0 for ever
	Route string        // on one route only
	Fails float64       // part of its calls that it answers with 500
	Slow  time.Duration // added to each call
	Times float64       // what would fail takes so many times as long instead, 0 for not
	Load  int           // it is ill only while more calls than this are under way at it, which take ten times as long
}

const beat = time.Second

// spread is how the workers are spread: service, version.
var spread = [][2]string{{"shop", "1"}, {"shop", "2"}, {"saves", "1"}, {"shop", "1"}, {"saves", "2"}, {"shop", "2"}, {"saves", "1"}, {"saves", "2"}}

func (w *World) placeWorkers() {
	for i, one := range spread {
		w.startWorker(w.proxies[i%len(w.proxies)], one[0], one[1], "")
	}
}

// startWorker begins a worker beside a proxy, at a new address or at one that was freed.
func (w *World) startWorker(beside *proxyNode, service, version, address string) *workerNode {
	if address == "" {
		w.spares++
		address = fmt.Sprintf("127.0.0.1:%d", 10000+w.spares)
	}
	serial := w.next()
	one := &workerNode{name: fmt.Sprintf("w%d-%s", serial, service), address: address, service: service, version: version, token: fmt.Sprint("token-", serial), beside: beside, up: true, born: w.now}
	w.lock.Lock()
	w.places[address] = one
	w.workers = append(w.workers, one)
	w.lock.Unlock()
	var beats func()
	beats = func() {
		if !one.up {
			return
		}
		w.describe(one, false)
		w.after(beat, beats)
	}
	w.after(w.upTo(beat/2), beats)
	return one
}

// describe lets a worker say to its proxy what it is; a dead proxy does not hear it.
func (w *World) describe(one *workerNode, gone bool) {
	beside := one.beside
	if !beside.up {
		return
	}
	said := dispatch.WorkerDescription{Address: one.address, Service: one.service, Version: one.version, Token: one.token, HeartbeatMS: beat.Milliseconds(), Draining: one.leaving, Deregistered: gone}
	if w.plant == PlantUnheard {
		said.Draining = false
	}
	workers := beside.workers
	w.on(&beside.machine, time.Millisecond, func() { _, _ = workers.Register(said) })
}

// drain lets a worker say that it is emptying.
func (w *World) drain(one *workerNode) {
	one.leaving = true
	w.History.leaves(one.token, w.now)
	w.describe(one, false)
}

// endWorker ends a worker at once: every connection breaks.
func (w *World) endWorker(one *workerNode) {
	w.lock.Lock()
	was := one.up
	one.up = false
	if w.places[one.address] == one {
		delete(w.places, one.address)
	}
	w.lock.Unlock()
	if was {
		w.History.leaves(one.token, w.now)
		for ended := one; ended != nil; ended = ended.heir {
			ended.conns.close()
		}
	}
}

// supplant puts another worker at an address in a way that no connection to it shows, as where
// something in front of the workers keeps connections open.
func (w *World) supplant(old *workerNode, service string) *workerNode {
	w.lock.Lock()
	old.up = false
	w.lock.Unlock()
	w.History.leaves(old.token, w.now)
	fresh := w.startWorker(old.beside, service, "1", old.address)
	fresh.heir = old
	return fresh
}

// replace starts a successor, drains a worker and ends it, and gives its address to a worker of
// another service.
func (w *World) replace(old *workerNode) {
	w.startWorker(old.beside, old.service, old.version, "")
	w.after(300*time.Millisecond, func() {
		if !old.up {
			return
		}
		w.drain(old)
		w.after(time.Second, func() {
			w.describe(old, true)
			w.after(100*time.Millisecond, func() {
				w.endWorker(old)
				other := "saves"
				if old.service == other {
					other = "shop"
				}
				w.after(w.upTo(time.Second), func() {
					reuser := w.startWorker(old.beside, other, "1", old.address)
					// It goes again, so that the fleet does not grow with every replacement.
					w.after(10*time.Second, func() {
						if reuser.up {
							w.drain(reuser)
							w.after(2*time.Second, func() { w.endWorker(reuser) })
						}
					})
				})
			})
		})
	})
}

// dial opens a connection from a proxy to whoever stands at an address now.
func (w *World) dial(address string, from *connections) (net.Conn, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	one := w.places[address]
	if one == nil || !one.up || w.quit {
		return nil, errs.New(errs.WorkerConnectFailed, address)
	}
	near, far := net.Pipe()
	from.add(near)
	one.conns.add(far)
	go w.work(address, far)
	return near, nil
}

// occupant is the worker that stands at an address now.
func (w *World) occupant(address string) *workerNode {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.places[address]
}

// work answers the requests that come over one connection to an address.
func (w *World) work(address string, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		one := w.occupant(address)
		if one == nil {
			return
		}
		if request.Header.Get(dispatch.HeaderToken) != one.token && w.plant != PlantLax {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected\r\n%s: token\r\nContent-Length: 0\r\n\r\n", dispatch.HeaderRefused); err != nil {
				return
			}
			continue
		}
		ask, _ := strconv.Atoi(request.Header.Get("X-Ask"))
		op := request.Header.Get("X-Op")
		fails, took := w.ailing(one, request.URL.Path, w.own(request.Header.Get(dispatch.HeaderRequest)))
		w.History.ran(w.time(), one, op, ask, request.Header.Get(dispatch.HeaderCaller), request.Header.Get(dispatch.HeaderRequest), fails || took > 200*time.Millisecond)
		if w.observed != nil {
			w.lock.Lock()
			w.observed(one, fails)
			w.lock.Unlock()
		}
		next := make(chan struct{})
		if w.Options.Leaving > 0 {
			done := false
			done, next = labour(reader, took)
			w.History.ended(w.time(), op, request.Header.Get(dispatch.HeaderRequest))
			if !done {
				w.eased(one)
				return
			}
		} else {
			close(next)
			time.Sleep(took)
		}
		w.eased(one)
		body, _ := json.Marshal(fakebackend.NewReply(op, one.name, "xxxxxxxxxxxxxxxxxxxx"))
		status := "200 OK"
		if fails {
			status = "500 Ill"
		}
		switch {
		case one.loses:
			return
		case one.babbles:
			body = body[:len(body)/2]
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body); err != nil {
			return
		}
		<-next
	}
}

// ailing draws how a call goes at a worker.
func (w *World) ailing(one *workerNode, path string, dice *rand.Rand) (fails bool, took time.Duration) {
	now := w.time()
	w.lock.Lock()
	defer w.lock.Unlock()
	took = time.Millisecond + time.Duration(dice.Int64N(int64(4*time.Millisecond)))
	if w.Options.Work > 0 {
		took = time.Duration(float64(w.Options.Work) * math.Exp(workSpread*dice.NormFloat64()-workSpread*workSpread/2))
	}
	fails = dice.Float64() < w.Options.Errors
	if now-one.born < one.warm {
		took += 200 * time.Millisecond
	}
	under := w.History.begin(one)
	ill := w.ills[[2]string{one.service, one.version}]
	if w.halfIll != nil && one.service == "shop" && one.version == "2" && len(one.name)%2 == int(one.name[1])%2 {
		ill = w.halfIll
	}
	if ill != nil && ill.Load > 0 && w.Options.Work == 0 {
		took *= 10
	}
	if ill == nil || now < ill.From || (ill.Until > 0 && now >= ill.Until) || (ill.Route != "" && !strings.HasPrefix(path, ill.Route)) || under <= ill.Load {
		return fails, took
	}
	took += ill.Slow
	if dice.Float64() >= ill.Fails {
		return fails, took
	}
	if ill.Times > 0 {
		return fails, time.Duration(float64(took) * ill.Times)
	}
	return true, took
}

// workSpread is the spread of the logarithm of how long calls take.
const workSpread = 0.7

func (w *World) eased(one *workerNode) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.History.under[one.service+one.version]--
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

const firstSetup = `
service: shop: {versions: ["1", "2"], fallback: "1", callers: ["client", "saves"]}
service: saves: {versions: ["1", "2"], fallback: "1", callers: ["client"]}
route: buy: {service: "shop", prefix: "/shop/buy", methods: ["POST"], class: "once", key: "X-User"}
route: look: {service: "shop", prefix: "/shop/look", class: "repeatable", key: "X-User"}
route: commit: {service: "saves", prefix: "/saves/commit", methods: ["POST"], class: "once", key: "X-User"}
route: load: {service: "saves", prefix: "/saves/load", class: "repeatable", key: "X-User"}
flag: "release.shop": {on: true, salt: "s", variations: ["1", "2"], offVariation: 0, fallthrough: rollout: variations: [{variation: 0, weight: 100000}, {variation: 1, weight: 0}]}
flag: "release.saves": {on: true, salt: "s", variations: ["1", "2"], offVariation: 0, fallthrough: rollout: variations: [{variation: 0, weight: 70000}, {variation: 1, weight: 30000}]}
`

// callers send at a steady rate from every edge, whatever the answers.
func (w *World) callers() {
	for _, node := range w.proxies {
		own := rand.New(rand.NewPCG(uint64(w.roll(1<<30)), uint64(node.index)))
		var next func()
		next = func() {
			w.lock.Lock()
			over := w.quit
			w.lock.Unlock()
			if over {
				return
			}
			serial, dice := w.next(), rand.New(rand.NewPCG(own.Uint64(), own.Uint64()))
			go w.call(node, serial, dice)
			w.after(time.Duration(own.ExpFloat64()*float64(time.Second)*float64(len(w.proxies))/w.Options.Rate), next)
		}
		w.after(w.upTo(time.Second), next)
	}
}

// asksMost is how often a call under a key is asked for.
const asksMost = 4

// call makes one call. One under a key is asked for again elsewhere while its outcome is unknown.
func (w *World) call(node *proxyNode, serial int, dice *rand.Rand) {
	at := dice.Float64()
	chosen := routes[0]
	for _, route := range routes {
		if chosen = route; at < route.share {
			break
		}
		at -= route.share
	}
	one := w.History.opens(fmt.Sprint("op-", serial), chosen.caller, chosen.service, chosen.path, chosen.once, chosen.once && dice.IntN(4) > 0)
	user := fmt.Sprint("user-", dice.IntN(1000))
	for ask := 0; ; ask++ {
		outcome := w.ask(node, one, ask, chosen.method, user)
		if !one.keyed || ask == asksMost || (outcome != "unknown" && outcome != "unsent") {
			return
		}
		time.Sleep(time.Duration(dice.Int64N(int64(3 * time.Second))))
		node = w.proxies[dice.IntN(len(w.proxies))]
	}
}

// callerTimeout is longer than any horizon, so that the proxy answers first.
const callerTimeout = 5 * time.Second

func (w *World) ask(node *proxyNode, one *op, ask int, method, user string) string {
	entry := &askEntry{proxy: node, sent: w.time()}
	life, died, up := w.lifeOf(&node.machine)
	if !up || !node.open.Load() || node.politely.Load() {
		entry.outcome = "unsent"
		w.History.asked(w.time(), one, entry)
		return entry.outcome
	}
	head := dispatch.AppendField(dispatch.AppendField(dispatch.AppendField(nil, "X-Op", one.id), "X-Ask", strconv.Itoa(ask)), "X-User", user)
	call := &dispatch.Call{Target: one.path, HeaderBlock: head, Body: []byte(one.id), Request: plan.Request{Caller: one.caller, Method: method, Path: one.path,
		Header: func(string) (string, bool) { return user, true }}}
	if method == "GET" {
		call.Body = nil
	}
	if one.keyed {
		call.Request.HasIdempotencyKey, call.Request.IdempotencyKey = true, one.id
	}
	done := make(chan *dispatch.CallResult, 1)
	carrier := node.carrier
	ctx, leave := context.WithCancel(called(fmt.Sprint(one.id, "/", ask)))
	// Elsewhere what a caller gave up goes on, as its proxy cannot tell.
	defer func() {
		if w.Options.Leaving > 0 {
			leave()
		}
	}()
	var leaves <-chan time.Time
	if after, does := w.leaveAfter(one, ask); does {
		timer := time.NewTimer(after)
		defer timer.Stop()
		leaves = timer.C
	}
	go func() {
		// What comes to a frozen machine waits there, and so does what it would answer.
		if !w.thawed(&node.machine, life) {
			return
		}
		if w.time() > entry.sent {
			w.stagger(ctx)
		}
		ended := carrier.Forward(ctx, call)
		if w.thawed(&node.machine, life) {
			done <- ended
		}
	}()
	patience := time.NewTimer(callerTimeout)
	defer patience.Stop()
	select {
	case ended := <-done:
		entry.ended = ended
		entry.outcome = "not-run"
		if ended.Response != nil {
			entry.outcome = dispatch.OutcomeName(ended.Response.Outcome)
		}
	case <-leaves:
		leave()
		entry.outcome = outcomeLeft
	case <-died:
		entry.outcome = "unknown"
	case <-patience.C:
		entry.outcome = "unknown"
	}
	w.History.asked(w.time(), one, entry)
	return entry.outcome
}
