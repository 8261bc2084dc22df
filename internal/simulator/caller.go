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
			id := w.nextID()
			callRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
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
	operation := w.History.startOperation(fmt.Sprint("op-", id), chosen.caller, chosen.service, chosen.path, chosen.once,
		chosen.once && random.IntN(4) > 0)
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
	header := dispatch.AppendField(dispatch.AppendField(dispatch.AppendField(nil, "X-Op", operation.id), "X-Ask",
		strconv.Itoa(attemptNumber)),
		"X-User", user)
	call := &dispatch.Call{
		Target:      operation.path,
		HeaderBlock: header,
		Body:        []byte(operation.id),
		Request: plan.Request{Caller: operation.caller, Method: method, Path: operation.path,
			Header: func(string) (string, bool) { return user, true }},
	}
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
