package rehearsal

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/fakebackend"
)

// inFlightMost bounds the calls of one caller that wait for an answer.
const inFlightMost = 256

// callerTimeout is longer than any horizon, so that the proxy answers first.
const callerTimeout = 5 * time.Second

// Caller is a stand-in caller at one listener of a proxy. It sends at a steady rate,
// whatever the answers, and writes down what it got.
type Caller struct {
	name, proxy string
	client      *fasthttp.HostClient
	elsewhere   []*Caller // the same caller at other proxies, to be asked when this one failed
	routes      []RoutePlan
	rate        float64
	ledger      *Ledger
	now         func() time.Duration
	serial      atomic.Uint64
}

// NewCaller makes a caller of the routes, each by its share.
func NewCaller(name, proxy, address string, routes []RoutePlan, rate float64, ledger *Ledger, now func() time.Duration) *Caller {
	return &Caller{name: name, proxy: proxy, routes: routes, rate: rate, ledger: ledger, now: now,
		client: &fasthttp.HostClient{Addr: address, MaxConns: inFlightMost, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}}
}

// Run sends until stop is closed, then waits for what is in flight.
func (c *Caller) Run(stop <-chan struct{}, dice *rand.Rand) {
	var waiting sync.WaitGroup
	slots := make(chan struct{}, inFlightMost)
	begin := time.Now()
	for sent := 0; ; sent++ {
		due := begin.Add(time.Duration(float64(sent) / c.rate * float64(time.Second)))
		select {
		case <-stop:
			waiting.Wait()
			return
		case <-time.After(time.Until(due)):
		}
		route := c.draw(dice.Float64())
		user := dice.IntN(10000)
		select {
		case slots <- struct{}{}:
		default:
			continue // a caller has no more than so many calls open at once
		}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			c.call(route, user)
			<-slots
		}()
	}
}

func (c *Caller) draw(at float64) RoutePlan {
	total := 0.0
	for _, route := range c.routes {
		total += route.Share
	}
	at *= total
	for _, route := range c.routes {
		if at -= route.Share; at < 0 {
			return route
		}
	}
	return c.routes[len(c.routes)-1]
}

// keyedParts is the part of the once calls that have no idempotency key.
const keyedParts = 4

// asksMost is how often a call under a key is asked for; askPause is between two asks.
const (
	asksMost = 4
	askPause = 300 * time.Millisecond
)

// call makes one call. One under a key is asked for again, at another proxy each time, for as
// long as its outcome is not known.
func (c *Caller) call(route RoutePlan, user int) {
	serial := c.serial.Add(1)
	op := fmt.Sprintf("%s@%s-%d", c.name, c.proxy, serial)
	keyed := route.Once && serial%keyedParts != 0
	for ask, at := 0, c; ; ask++ {
		entry := at.ask(route, user, op, keyed, ask)
		if !keyed || ask == asksMost || entry.Outcome == "answered" || entry.Outcome == "not-run" || len(c.elsewhere) == 0 {
			return
		}
		time.Sleep(askPause)
		at = c.elsewhere[(int(serial)+ask)%len(c.elsewhere)]
	}
}

func (c *Caller) ask(route RoutePlan, user int, op string, keyed bool, ask int) CallEntry {
	entry := CallEntry{Op: op, Caller: c.name, Proxy: c.proxy, Service: route.Service, Route: route.Name, Once: route.Once, Keyed: keyed, Ask: ask}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://mesh" + route.Prefix + "?n=1")
	request.Header.SetMethod(route.Method)
	request.Header.Set(opHeader, entry.Op)
	if keyed {
		request.Header.Set("Idempotency-Key", op)
		request.Header.Set(askHeader, strconv.Itoa(ask))
	}
	request.Header.Set("X-User", "user-"+strconv.Itoa(user))
	// A false claim of identity, which must never reach a worker.
	request.Header.Set(dispatch.HeaderCaller, "somebody-else")
	if route.Method == fasthttp.MethodPost {
		request.SetBodyString(`{"op":"` + entry.Op + `","filler":"0123456789012345678901234567890123456789"}`)
		request.Header.SetContentType("application/json")
	}
	entry.Sent = c.now()
	err := c.client.DoTimeout(request, response, callerTimeout)
	entry.Got = c.now()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		entry.Outcome = "unsent"
	case err != nil:
		entry.Outcome = "unknown"
	default:
		entry.read(response.StatusCode(), func(name string) string { return string(response.Header.Peek(name)) }, response.Body())
	}
	note(c.ledger, &c.ledger.Calls, entry)
	return entry
}

// read takes the proxy's word for what happened, and checks the answer itself.
func (e *CallEntry) read(status int, header func(name string) string, body []byte) {
	e.Status, e.Outcome, e.Version = status, header(dispatch.HeaderOutcome), header(dispatch.HeaderVersion)
	e.Setup, _ = strconv.ParseUint(header(dispatch.HeaderConfigRevision), 10, 64)
	e.Tries, _ = strconv.Atoi(header(dispatch.HeaderAttempts))
	if e.Outcome == "answered" {
		var got fakebackend.Reply
		if json.Unmarshal(body, &got) == nil {
			e.Echoed, e.Worker, e.Whole = got.Operation, got.Worker, got.IsIntact()
		}
		return
	}
	var refusal struct{ Defect, Outcome string }
	_ = json.Unmarshal(body, &refusal)
	e.Defect, e.Outcome = refusal.Defect, refusal.Outcome
}
