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

// callerTimeout bounds each attempt of a caller. It is longer than any deadline of a route, so that the proxy answers
// first.
const callerTimeout = 5 * time.Second

// Caller is a fake caller at one listener of a proxy. It sends requests at a constant rate, whatever the responses, and
// records each attempt in a history.
type Caller struct {
	name       string // clientCaller or the name of a service
	proxy      string // name of the proxy
	client     *fasthttp.HostClient
	alternates []*Caller   // callers of the same name at other proxies, through which calls are retried
	routes     []RouteSpec // routes that are called, each in proportion to its weight
	rate       float64     // requests per second
	history    *History
	now        func() time.Duration // time since the run began
	serial     atomic.Uint64        // number of calls so far; the operation of a call contains its number
}

// NewCaller returns a caller at the given address of a proxy's listener. It calls the routes in proportion to their
// weights, at a total rate in requests per second. The caller does not send before Run is called.
func NewCaller(name, proxy, address string, routes []RouteSpec, rate float64, history *History, now func() time.Duration) *Caller {
	return &Caller{name: name, proxy: proxy, routes: routes, rate: rate, history: history, now: now,
		client: &fasthttp.HostClient{Addr: address, MaxConns: maxInFlight, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}}
}

// Run sends requests until stop closes, then waits for those in flight. Requests that are due while maxInFlight are in
// flight are dropped.
func (c *Caller) Run(stop <-chan struct{}, rng *rand.Rand) {
	var inFlight sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	begin := time.Now()
	for sent := 0; ; sent++ {
		due := begin.Add(time.Duration(float64(sent) / c.rate * float64(time.Second)))
		select {
		case <-stop:
			inFlight.Wait()
			return
		case <-time.After(time.Until(due)):
		}
		route := c.pickRoute(rng.Float64())
		user := rng.IntN(10000)
		select {
		case slots <- struct{}{}:
		default:
			continue // too many requests in flight: this one is dropped
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			c.call(route, user)
			<-slots
		}()
	}
}

// pickRoute returns a route for a point from 0 to 1, so that uniformly distributed points yield the routes in proportion
// to their weights.
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

// unkeyedInterval determines which non-idempotent calls have no idempotency key: those whose serial number is a multiple
// of it.
const unkeyedInterval = 4

// Retries of calls that have an idempotency key.
const (
	maxCallerRetries   = 4                      // largest number of retries of one call
	callerRetryBackoff = 300 * time.Millisecond // time between two attempts
)

// call makes one call. A call with an idempotency key is retried through the alternates, up to maxCallerRetries times,
// until its outcome is answered or not-run.
func (c *Caller) call(route RouteSpec, user int) {
	serial := c.serial.Add(1)
	operation := fmt.Sprintf("%s@%s-%d", c.name, c.proxy, serial)
	keyed := route.NonIdempotent && serial%unkeyedInterval != 0
	for retry, target := 0, c; ; retry++ {
		entry := target.send(route, user, operation, keyed, retry)
		if !keyed || retry == maxCallerRetries || entry.Outcome == "answered" || entry.Outcome == "not-run" || len(c.alternates) == 0 {
			return
		}
		time.Sleep(callerRetryBackoff)
		target = c.alternates[(int(serial)+retry)%len(c.alternates)]
	}
}

// send makes one attempt of a call, records it and returns its entry. The outcome is unsent if the proxy refused the
// connection, and unknown if there was no response.
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
	// The caller forges another caller's identity. The proxy must replace it.
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

// readResponse fills in the entry from a response. An answered call has its outcome in the headers, and a body that is
// checked. Any other call has its outcome and error code in the body.
func (e *CallEntry) readResponse(status int, header func(name string) string, body []byte) {
	e.Status = status
	e.Outcome = header(dispatch.HeaderOutcome)
	e.Version = header(dispatch.HeaderVersion)
	// A header that is missing leaves its field 0.
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
	_ = json.Unmarshal(body, &rejection) // a malformed body leaves the outcome empty, which counts as a rejection
	e.ErrorCode = rejection.ErrorCode
	e.Outcome = rejection.Outcome
}
