package simulator

import (
	"fmt"
	"time"

	"meadowhinge/internal/registry"
	"meadowhinge/schema"
)

// Durations and counts of calls that are sent in copies.
const (
	copiedCallInterval = 4 * time.Second        // longest time between two pairs of calls
	enablerDelay       = 3 * time.Second        // longest time from a dependent call to the call that makes it valid
	callPatience       = time.Second            // silence after which an operator sends a call to another member
	maxCopyDelay       = 25 * time.Second       // longest time that a copy spends in the network
	copyRetryInterval  = 200 * time.Millisecond // interval at which a registry proposes a copy until it is decided
	maxCopyProposals   = 50                     // proposals after which a registry gives a copy up
)

// copiedCall is a call without an id of an operator who sends it to one member after the other until it is decided.
type copiedCall struct {
	change *schema.Change
	ended  bool // the operator got a ruling
	onEnd  func(schema.Ruling)
}

// sendCopiedCalls sends a pair of calls of two operators, at random intervals: a route of a service that nobody has sent
// yet, and soon after it that service. If the route is refused, it must never be in force, whenever its copies arrive.
func (w *CoreWorld) sendCopiedCalls() {
	id := w.nextID()
	service, route := fmt.Sprint("late", id), fmt.Sprint("dependent", id)
	call := func(kind, name, body string, onEnd func(schema.Ruling)) *copiedCall {
		return &copiedCall{
			change: &schema.Change{
				ByOperatorVersion: true,
				Items:             []*schema.Item{{Kind: kind, Name: name, OperatorVersion: 1, Body: []byte(body)}},
			},
			onEnd: onEnd,
		}
	}
	w.sendCopy(call("route", route, fmt.Sprintf(`{"service":%q,"prefix":"/%s/","horizon":"1s"}`, service, route), func(ruling schema.Ruling) {
		if ruling != schema.Ruling_RULING_ACCEPTED {
			w.RefusedCalls++
			w.History.addInvalidItem("route/" + route)
		}
	}))
	w.schedule(w.randomDuration(enablerDelay), func() {
		w.sendCopy(call("service", service, `{"callers":["client"]}`, func(schema.Ruling) {}))
	})
	w.schedule(w.randomDuration(copiedCallInterval), w.sendCopiedCalls)
}

// sendCopy sends a copy of a call to a random member, and the next one after callPatience, until the call has ended. A
// third of the copies are delayed in the network. The operator does not wait for them, but they arrive.
func (w *CoreWorld) sendCopy(call *copiedCall) {
	if call.ended {
		return
	}
	delay := time.Duration(0)
	if w.randomInt(3) == 0 {
		delay = w.randomDuration(maxCopyDelay)
	}
	node := w.randomMember()
	w.schedule(delay, func() { w.proposeCopy(node, call) })
	w.schedule(callPatience, func() { w.sendCopy(call) })
}

// proposeCopy proposes a copy of a call at a member until it is decided, like the registry there. While the member is
// frozen the copy waits; it is lost when the member ends.
func (w *CoreWorld) proposeCopy(node *memberNode, call *copiedCall) {
	copied := &schema.Change{Id: registry.CallID(call.change), ByOperatorVersion: true, Items: call.change.Items}
	if w.seededFault == SeededCopiesDecidedAnew {
		copied.Id = fmt.Sprint("copy-", w.nextID())
	}
	processRun, _, up := w.processRunOf(&node.process)
	decided, proposals := !up, 0
	w.retryEvery(copyRetryInterval, func() bool {
		currentRun, _, up := w.processRunOf(&node.process)
		if decided || !up || currentRun != processRun || proposals >= maxCopyProposals {
			return true
		}
		if !w.isResponsive(&node.process) {
			return false
		}
		proposals++
		w.propose(node, copied, func(ruling schema.Ruling) {
			if decided {
				return
			}
			decided = true
			w.endCopiedCall(call, ruling)
		})
		return false
	})
}

// endCopiedCall ends a call with the ruling on one of its copies. The ruling on a later copy only counts.
func (w *CoreWorld) endCopiedCall(call *copiedCall, ruling schema.Ruling) {
	if call.ended {
		w.LateCopies++
		return
	}
	call.ended = true
	call.onEnd(ruling)
}
