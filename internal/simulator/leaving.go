package simulator

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"time"
)

// outcomeLeft is the outcome of an asking whose caller left before it was answered.
const outcomeLeft = "left"

// goneBound is how long a worker may go on with a repeatable call after its caller left.
const goneBound = 500 * time.Millisecond

// leavesWithin is how long a leaving caller waits at most, as a multiple of what calls take.
const leavesWithin = 2

// leaving are the calls between proxies that can be called off, by dispatch.
type leaving struct {
	lock   sync.Mutex
	calls  map[string][]context.CancelFunc
	hungUp map[string]bool // called off, also where the call has not come yet
}

// leaveAfter draws whether the caller of an asking leaves, and after how long. A call under a key is asked for
// again instead.
func (w *World) leaveAfter(one *op, ask int) (time.Duration, bool) {
	if w.Options.Leaving == 0 || one.keyed {
		return 0, false
	}
	dice := w.own(fmt.Sprint("leaves ", one.id, "/", ask))
	leaves := dice.Float64() < w.Options.Leaving
	return time.Duration(dice.Int64N(int64(leavesWithin * max(time.Millisecond, w.Options.Work)))), leaves
}

// linkedCall is the context of a dispatch at the proxy that it came to: it ends when the proxy that sent it hangs up.
func (w *World) linkedCall(request string) context.Context {
	ctx, cancel := context.WithCancel(called(request))
	w.leaving.lock.Lock()
	defer w.leaving.lock.Unlock()
	if w.leaving.hungUp[request] {
		cancel()
		return ctx
	}
	if w.leaving.calls == nil {
		w.leaving.calls, w.leaving.hungUp = map[string][]context.CancelFunc{}, map[string]bool{}
	}
	w.leaving.calls[request] = append(w.leaving.calls[request], cancel)
	return ctx
}

// hangUp tells the proxy that a dispatch went to that nobody waits for it any more; the word may be lost with the
// link, and may overtake the dispatch.
func (w *World) hangUp(node *proxyNode, name, request string) {
	if w.Options.Leaving == 0 || w.plant == PlantIgnores {
		return
	}
	for _, target := range w.proxies {
		if target.name != name {
			continue
		}
		delay, dropped := w.passes(&node.machine, &target.machine, w.own("hang up "+request))
		if dropped {
			return
		}
		w.after(delay, func() { w.on(&target.machine, 0, func() { w.leaving.end(request) }) })
	}
}

func (l *leaving) end(request string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.hungUp == nil {
		l.calls, l.hungUp = map[string][]context.CancelFunc{}, map[string]bool{}
	}
	l.hungUp[request] = true
	for _, cancel := range l.calls[request] {
		cancel()
	}
	delete(l.calls, request)
}

// labour works for a time, or until the connection ends; it tells whether the work was done. A proxy sends nothing
// more before it has its answer.
func labour(reader *bufio.Reader, took time.Duration) (done bool, next chan struct{}) {
	ended := make(chan struct{})
	next = make(chan struct{})
	go func() {
		defer close(next)
		if _, err := reader.Peek(1); err != nil {
			close(ended)
		}
	}()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, next
	case <-ended:
		return false, next
	}
}

// ended notes when a worker was done with a call, or was freed of it.
func (h *History) ended(now time.Duration, op, request string) {
	h.lock.Lock()
	defer h.lock.Unlock()
	one := h.ops[op]
	if one == nil || h.over {
		return
	}
	for i := range one.runs {
		if one.runs[i].request == request {
			one.runs[i].ended = now
		}
	}
}

// judgeLeft holds the runs of a call against the time when its caller left. Only a world without faults says how long
// word of it may take.
func (h *History) judgeLeft(one *op) {
	if one.once || !h.world.Options.Quiet {
		return
	}
	for ask, entry := range one.asks {
		if entry.outcome != outcomeLeft {
			continue
		}
		for _, run := range one.runs {
			if run.ask == ask && run.ended > entry.got+goneBound {
				h.breach(RuleGone, "%s ran at %s from %v to %v, its caller left at %v", one.id, run.worker.name, run.at, run.ended, entry.got)
			}
		}
	}
}

// judgeDepartures takes a proxy's own counts at the end of its life.
func (h *History) judgeDepartures(node *proxyNode) {
	if node.runner == nil {
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	counts := node.runner.Disconnects.Counts()
	h.Departures.Add(counts)
	if counts.Violations() > 0 {
		h.breach(RuleGone, "%s counts %+v", node.name, counts)
	}
}
