package simulator

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// outcomeCancelled is the outcome of an asking whose caller left before it was answered.
const outcomeCancelled = "left"

// maxRunAfterCancel is how long a worker may go on with a repeatable call after its caller left.
const maxRunAfterCancel = 500 * time.Millisecond

// cancelDelayFactor is how long a leaving caller waits at most, as a multiple of what calls take.
const cancelDelayFactor = 2

// cancellations are the calls between proxies that can be called off, by dispatch.
type cancellations struct {
	lock      sync.Mutex
	cancels   map[string][]context.CancelFunc
	cancelled map[string]bool // called off, also where the call has not come yet
}

// sampleCancel draws whether the caller of an asking leaves, and after how long. A call under a key is asked for
// again instead.
func (w *World) sampleCancel(operation *operation, attemptNumber int) (time.Duration, bool) {
	if w.Options.CallerCancelRate == 0 || operation.keyed {
		return 0, false
	}
	random := w.derivedRandom(fmt.Sprint("leaves ", operation.id, "/", attemptNumber))
	cancels := random.Float64() < w.Options.CallerCancelRate
	return time.Duration(random.Int64N(int64(cancelDelayFactor * max(time.Millisecond, w.Options.MeanServiceTime)))), cancels
}

// cancellableContext is the context of a dispatch at the proxy that it came to: it ends when the proxy that sent it hangs up.
func (w *World) cancellableContext(request string) context.Context {
	ctx, cancel := context.WithCancel(callContext(request))
	w.cancellations.lock.Lock()
	defer w.cancellations.lock.Unlock()
	if w.cancellations.cancelled[request] {
		cancel()
		return ctx
	}
	if w.cancellations.cancels == nil {
		w.cancellations.cancels = map[string][]context.CancelFunc{}
		w.cancellations.cancelled = map[string]bool{}
	}
	w.cancellations.cancels[request] = append(w.cancellations.cancels[request], cancel)
	return ctx
}

// propagateCancel tells the proxy that a dispatch went to that nobody waits for it any more; the word may be lost with the
// link, and may overtake the dispatch.
func (w *World) propagateCancel(node *proxyNode, name, request string) {
	if w.Options.CallerCancelRate == 0 || w.seededFault == SeededCancelNotPropagated {
		return
	}
	for _, target := range w.proxies {
		if target.name != name {
			continue
		}
		delay, dropped := w.sampleLink(&node.process, &target.process, w.derivedRandom("hang up "+request))
		if dropped {
			return
		}
		w.schedule(delay, func() { w.scheduleOn(&target.process, 0, func() { w.cancellations.cancel(request) }) })
	}
}

func (l *cancellations) cancel(request string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.cancelled == nil {
		l.cancels, l.cancelled = map[string][]context.CancelFunc{}, map[string]bool{}
	}
	l.cancelled[request] = true
	for _, cancel := range l.cancels[request] {
		cancel()
	}
	delete(l.cancels, request)
}

// recordRunEnd notes when a worker was done with a call, or was freed of it.
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

// checkCancelled holds the runs of a call against the time when its caller left. Only a world without faults says how long
// word of it may take.
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
				h.recordBreach(RuleRunAfterCancel, "%s ran at %s from %v to %v, its caller left at %v", operation.id,
					run.worker.name, run.at, run.endedAt, attempt.finishedAt)
			}
		}
	}
}

// collectDisconnects takes a proxy's own counts at the end of its life.
func (h *History) collectDisconnects(node *proxyNode) {
	if node.runner == nil {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	counts := node.runner.Disconnects.Counts()
	h.Disconnects.Add(counts)
	if counts.Violations() > 0 {
		h.recordBreach(RuleRunAfterCancel, "%s counts %+v", node.name, counts)
	}
}
