package testbed

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

// maxInFlight bounds the requests in flight of one caller.
const maxInFlight = 256

// callerTimeout is longer than any deadline, so that the proxy answers first.
const callerTimeout = 5 * time.Second

// Caller is a fake caller at one listener of a proxy. It sends at a steady rate, whatever the responses, and
// records what it got.
type Caller struct {
	name, proxy string
	client      *fasthttp.HostClient
	alternates  []*Caller // the same caller at other proxies, for retries
	routes      []RouteSpec
	rate        float64 // requests a second
	history     *History
	now         func() time.Duration
	serial      atomic.Uint64
}

// NewCaller makes a caller of some routes, each by its weight, at a rate in requests a second.
func NewCaller(name, proxy, address string, routes []RouteSpec, rate float64, history *History, now func() time.Duration) *Caller {
	return &Caller{name: name, proxy: proxy, routes: routes, rate: rate, history: history, now: now,
		client: &fasthttp.HostClient{Addr: address, MaxConns: maxInFlight, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}}
}

// Run sends until stop closes, then waits for the requests in flight.
func (c *Caller) Run(stop <-chan struct{}, rng *rand.Rand) {
	var waiting sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	begin := time.Now()
	for sent := 0; ; sent++ {
		due := begin.Add(time.Duration(float64(sent) / c.rate * float64(time.Second)))
		select {
		case <-stop:
			waiting.Wait()
			return
		case <-time.After(time.Until(due)):
		}
		route := c.pickRoute(rng.Float64())
		user := rng.IntN(10000)
		select {
		case slots <- struct{}{}:
		default:
			continue // a caller beyond its bound drops the request
		}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			c.call(route, user)
			<-slots
		}()
	}
}

// pickRoute picks the route at a point from 0 to 1 of the routes' weights.
func (c *Caller) pickRoute(point float64) RouteSpec {
	total := 0.0
	for _, route := range c.routes {
		total += route.Weight
	}
	point *= total
	for _, route := range c.routes {
		if point -= route.Weight; point < 0 {
			return route
		}
	}
	return c.routes[len(c.routes)-1]
}

// unkeyedOneIn is which part of the non-idempotent requests has no idempotency key: one in so many.
const unkeyedOneIn = 4

// maxCallerRetries is how often a request under an idempotency key is retried; callerRetryBackoff is between two
// attempts.
const (
	maxCallerRetries   = 4
	callerRetryBackoff = 300 * time.Millisecond
)

// call makes one call. One under an idempotency key is retried, at another proxy each time, for as long as its
// outcome is unknown.
func (c *Caller) call(route RouteSpec, user int) {
	serial := c.serial.Add(1)
	operation := fmt.Sprintf("%s@%s-%d", c.name, c.proxy, serial)
	keyed := route.NonIdempotent && serial%unkeyedOneIn != 0
	for retry, target := 0, c; ; retry++ {
		entry := target.send(route, user, operation, keyed, retry)
		if !keyed || retry == maxCallerRetries || entry.Outcome == "answered" || entry.Outcome == "not-run" || len(c.alternates) == 0 {
			return
		}
		time.Sleep(callerRetryBackoff)
		target = c.alternates[(int(serial)+retry)%len(c.alternates)]
	}
}

// send makes one attempt and records it.
func (c *Caller) send(route RouteSpec, user int, operation string, keyed bool, retry int) CallEntry {
	entry := CallEntry{
		Operation:     operation,
		Caller:        c.name,
		Proxy:         c.proxy,
		Service:       route.Service,
		Route:         route.Name,
		NonIdempotent: route.NonIdempotent,
		Keyed:         keyed,
		CallerRetry:   retry,
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://mesh" + route.Prefix + "?n=1")
	request.Header.SetMethod(route.Method)
	request.Header.Set(operationHeader, entry.Operation)
	if keyed {
		request.Header.Set("Idempotency-Key", operation)
		request.Header.Set(callerRetryHeader, strconv.Itoa(retry))
	}
	request.Header.Set("X-User", "user-"+strconv.Itoa(user))
	// A forged identity, which must never reach a worker.
	request.Header.Set(dispatch.HeaderCaller, "somebody-else")
	if route.Method == fasthttp.MethodPost {
		request.SetBodyString(`{"op":"` + entry.Operation + `","filler":"0123456789012345678901234567890123456789"}`)
		request.Header.SetContentType("application/json")
	}
	entry.Sent = c.now()
	err := c.client.DoTimeout(request, response, callerTimeout)
	entry.Received = c.now()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		entry.Outcome = "unsent"
	case err != nil:
		entry.Outcome = "unknown"
	default:
		entry.readResponse(response.StatusCode(), func(name string) string { return string(response.Header.Peek(name)) }, response.Body())
	}
	appendEntry(c.history, &c.history.Calls, entry)
	return entry
}

// readResponse takes the outcome from the proxy's headers and, of an answered call, checks the response itself.
func (e *CallEntry) readResponse(status int, header func(name string) string, body []byte) {
	e.Status = status
	e.Outcome = header(dispatch.HeaderOutcome)
	e.Version = header(dispatch.HeaderVersion)
	// Without one of these headers its field stays 0.
	e.ConfigRevision, _ = strconv.ParseUint(header(dispatch.HeaderConfigRevision), 10, 64)
	e.Attempts, _ = strconv.Atoi(header(dispatch.HeaderAttempts))
	if e.Outcome == "answered" {
		var reply fakebackend.Reply
		if json.Unmarshal(body, &reply) == nil {
			e.Echoed = reply.Operation
			e.Worker = reply.Worker
			e.Intact = reply.IsIntact()
		}
		return
	}
	var rejection struct {
		ErrorCode string `json:"defect"`
		Outcome   string `json:"outcome"`
	}
	_ = json.Unmarshal(body, &rejection) // a body that is none leaves the outcome empty, which is no known one
	e.ErrorCode = rejection.ErrorCode
	e.Outcome = rejection.Outcome
}
