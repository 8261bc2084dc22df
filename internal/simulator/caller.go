package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"meadowhinge/internal/dispatch"
	"meadowhinge/internal/plan"
)

// callKind is a kind of call that callers make.
type callKind struct {
	caller, method, path, service string
	nonIdempotent                 bool    // the call must not run more than once
	weight                        float64 // fraction of all calls; the weights of callKinds sum to one
}

// callKinds lists the kinds of call. They match the routes of initialConfig.
var callKinds = []callKind{
	{"client", "POST", "/shop/buy", "shop", true, 0.25},
	{"client", "GET", "/shop/look", "shop", false, 0.3},
	{"client", "POST", "/saves/commit", "saves", true, 0.2},
	{"client", "GET", "/saves/load", "saves", false, 0.1},
	{"saves", "GET", "/shop/look", "shop", false, 0.15},
}

// drawCallKind draws a kind of call by weight.
func drawCallKind(random *rand.Rand) callKind {
	sample := random.Float64()
	chosen := callKinds[0]
	for _, kind := range callKinds {
		if chosen = kind; sample < kind.weight {
			break
		}
		sample -= kind.weight
	}
	return chosen
}

// Outcomes of an attempt as its caller sees it. An outcome may also be outcomeCancelled or, for a response from a
// worker, a name from dispatch.OutcomeName. The golden digests cover these strings.
const (
	outcomeUnsent      = "unsent"  // the proxy was down or admitted no callers
	outcomeNotExecuted = "not-run" // the proxy answered with an error
	outcomeUnknown     = "unknown" // the connection was lost or the caller timed out
)

// startCallers makes the callers of each proxy send calls in a Poisson process, which does not wait for the
// responses. The rate of all proxies together is Options.CallRate.
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
			id := w.nextID()
			callRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
			go w.makeCall(node, id, callRandom)
			untilNext := random.ExpFloat64() * float64(time.Second) * float64(len(w.proxies)) / w.Options.CallRate
			w.schedule(time.Duration(untilNext), startCall)
		}
		w.schedule(w.randomDuration(time.Second), startCall)
	}
}

// maxCallerRetries is the number of times that a caller retries a call under an idempotency key.
const maxCallerRetries = 4

// makeCall makes one call through a proxy. Three quarters of the non-idempotent calls have an idempotency key. A call
// with a key is retried through random proxies while its outcome is unknown or it was not sent, at most
// maxCallerRetries times.
func (w *World) makeCall(node *proxyNode, id int, random *rand.Rand) {
	kind := drawCallKind(random)
	keyed := kind.nonIdempotent && random.IntN(4) > 0
	operation := w.History.startOperation(fmt.Sprint("op-", id), kind, keyed)
	user := fmt.Sprint("user-", random.IntN(1000))
	for attemptNumber := 0; ; attemptNumber++ {
		outcome := w.attemptCall(node, operation, attemptNumber, kind.method, user)
		if !operation.keyed || attemptNumber == maxCallerRetries || (outcome != outcomeUnknown && outcome != outcomeUnsent) {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
		node = w.proxies[random.IntN(len(w.proxies))]
	}
}

// callerTimeout is how long a caller waits for the result of an attempt. It is longer than the deadline of any route,
// so a proxy that is up responds first.
const callerTimeout = 5 * time.Second

// attemptCall makes one attempt of a call through a proxy, records it, and returns its outcome.
func (w *World) attemptCall(node *proxyNode, operation *operation, attemptNumber int, method, user string) string {
	attempt := &callerAttempt{proxy: node, sentAt: w.time()}
	processRun, exited, up := w.processRunOf(&node.process)
	if !up || !node.acceptsCallers.Load() || node.draining.Load() {
		attempt.outcome = outcomeUnsent
		w.History.recordOutcome(w.time(), operation, attempt)
		return attempt.outcome
	}
	call := newCall(operation, attemptNumber, method, user)
	done := make(chan *dispatch.CallResult, 1)
	forwarder := node.forwarder
	ctx, cancel := context.WithCancel(callContext(fmt.Sprint(operation.id, "/", attemptNumber)))
	// In a world without cancelling callers, the proxy does not learn that the caller has given up, so the call goes on.
	defer func() {
		if w.Options.CallerCancelRate > 0 {
			cancel()
		}
	}()
	var callerCancels <-chan time.Time
	if delay, cancels := w.sampleCancel(operation, attemptNumber); cancels {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		callerCancels = timer.C
	}
	go func() {
		// Requests and responses wait at a frozen process.
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
	attempt.awaitOutcome(done, callerCancels, exited, cancel)
	w.History.recordOutcome(w.time(), operation, attempt)
	return attempt.outcome
}

// newCall returns one attempt of an operation as the proxy's listener passes it to the forwarder. The fake worker
// reads the id of the operation from X-Op and the number of the attempt from X-Ask.
func newCall(operation *operation, attemptNumber int, method, user string) *dispatch.Call {
	header := dispatch.AppendField(nil, "X-Op", operation.id)
	header = dispatch.AppendField(header, "X-Ask", strconv.Itoa(attemptNumber))
	header = dispatch.AppendField(header, "X-User", user)
	call := &dispatch.Call{
		Target:      operation.path,
		HeaderBlock: header,
		Request: plan.Request{
			Caller: operation.caller,
			Method: method,
			Path:   operation.path,
			Header: func(string) (string, bool) { return user, true },
		},
	}
	if method != "GET" {
		call.Body = []byte(operation.id)
	}
	if operation.keyed {
		call.Request.HasIdempotencyKey = true
		call.Request.IdempotencyKey = operation.id
	}
	return call
}

// awaitOutcome sets the outcome of an attempt by the first of these: the result, the cancellation by the caller, the
// end of the proxy's run, and the caller's timeout. On a cancellation it calls cancel.
func (a *callerAttempt) awaitOutcome(
	done <-chan *dispatch.CallResult, callerCancels <-chan time.Time, exited <-chan struct{}, cancel func(),
) {
	timeout := time.NewTimer(callerTimeout)
	defer timeout.Stop()
	select {
	case result := <-done:
		a.result = result
		a.outcome = outcomeNotExecuted
		if result.Response != nil {
			a.outcome = dispatch.OutcomeName(result.Response.Outcome)
		}
	case <-callerCancels:
		cancel()
		a.outcome = outcomeCancelled
	case <-exited:
		a.outcome = outcomeUnknown
	case <-timeout.C:
		a.outcome = outcomeUnknown
	}
}
