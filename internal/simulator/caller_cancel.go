package simulator

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// outcomeCancelled is the outcome of an attempt that its caller cancelled before it had the response. The golden
// digests cover this string.
const outcomeCancelled = "left"

// maxRunAfterCancel is how long a worker may go on with an idempotent call after the caller cancelled it.
const maxRunAfterCancel = 500 * time.Millisecond

// cancelDelayFactor is the upper bound of the time after which a caller cancels, as a multiple of the mean service
// time or of 1 ms, whichever is longer.
const cancelDelayFactor = 2

// cancellations holds the cancel functions of the peer RPCs that proxies have received. Its lock is not World.lock,
// because cancel functions are called with the lock held.
type cancellations struct {
	lock      sync.Mutex                      // guards the fields below
	cancels   map[string][]context.CancelFunc // cancel functions of the RPCs of each request, kept until it is cancelled
	cancelled map[string]bool                 // cancelled requests, including those that have not arrived yet
}

// sampleCancel draws whether the caller of an attempt cancels it, and after how long. Calls under an idempotency key
// are never cancelled; they are retried instead.
func (w *World) sampleCancel(operation *operation, attemptNumber int) (time.Duration, bool) {
	if w.Options.CallerCancelRate == 0 || operation.keyed {
		return 0, false
	}
	random := w.derivedRandom(fmt.Sprint("leaves ", operation.id, "/", attemptNumber))
	cancels := random.Float64() < w.Options.CallerCancelRate
	maxDelay := cancelDelayFactor * max(time.Millisecond, w.Options.MeanServiceTime)
	return time.Duration(random.Int64N(int64(maxDelay))), cancels
}

// cancellableContext returns a context for a request at the proxy that received it. propagateCancel cancels the
// context.
func (w *World) cancellableContext(request string) context.Context {
	ctx, cancel := context.WithCancel(callContext(request))
	w.cancellations.add(request, cancel)
	return ctx
}

// propagateCancel notifies the proxy that a request was sent to of its cancellation. The link may lose the
// notification, and the notification may overtake the request.
func (w *World) propagateCancel(node *proxyNode, name, request string) {
	if w.Options.CallerCancelRate == 0 || w.seededFault == SeededCancelNotPropagated {
		return
	}
	target := w.proxyNamed(name)
	if target == nil {
		return
	}
	delay, dropped := w.sampleLink(&node.process, &target.process, w.derivedRandom("hang up "+request))
	if dropped {
		return
	}
	w.schedule(delay, func() {
		w.scheduleOn(&target.process, 0, func() { w.cancellations.cancel(request) })
	})
}

// add registers a cancel function of a request. It calls the function at once if the request is cancelled already.
func (c *cancellations) add(request string, cancel context.CancelFunc) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.cancelled[request] {
		cancel()
		return
	}
	c.init()
	c.cancels[request] = append(c.cancels[request], cancel)
}

// cancel cancels a request at once or, if it has not arrived yet, when it arrives.
func (c *cancellations) cancel(request string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.init()
	c.cancelled[request] = true
	for _, cancel := range c.cancels[request] {
		cancel()
	}
	delete(c.cancels, request)
}

// init creates the maps on first use. The caller holds the lock.
func (c *cancellations) init() {
	if c.cancelled == nil {
		c.cancels = map[string][]context.CancelFunc{}
		c.cancelled = map[string]bool{}
	}
}

// recordRunEnd records that a worker finished a call or stopped because of its cancellation.
func (h *History) recordRunEnd(now time.Duration, id, requestID string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	operation := h.operations[id]
	if operation == nil || h.closed {
		return
	}
	for i := range operation.runs {
		if operation.runs[i].requestID == requestID {
			operation.runs[i].endedAt = now
		}
	}
}

// checkCancelled checks how long the runs of an idempotent operation went on after its caller cancelled it. It checks
// nothing under faults, because then the notification may take any time. The caller holds History.lock.
func (h *History) checkCancelled(operation *operation) {
	if operation.nonIdempotent || !h.world.Options.NoFaults {
		return
	}
	for attemptNumber, attempt := range operation.attempts {
		if attempt.outcome != outcomeCancelled {
			continue
		}
		for _, run := range operation.runs {
			if run.attemptNumber == attemptNumber && run.endedAt > attempt.finishedAt+maxRunAfterCancel {
				h.recordViolation(ViolationRunAfterCancel, "%s ran at %s from %v to %v; its caller cancelled at %v",
					operation.id, run.worker.name, run.at, run.endedAt, attempt.finishedAt)
			}
		}
	}
}

// collectDisconnects adds the counts of disconnected callers of a proxy's run to the totals, and checks that they
// show no violation. It is called when the proxy stops.
func (h *History) collectDisconnects(node *proxyNode) {
	if node.runner == nil {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	counts := node.runner.Disconnects.Counts()
	h.Disconnects.Add(counts)
	if counts.Violations() > 0 {
		h.recordViolation(ViolationRunAfterCancel, "the runner of %s counted %d violations after its callers disconnected: %+v", node.name, counts.Violations(), counts)
	}
}
