package simulator

import (
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/config"
)

// incompleteReason tells what the core lacks: as many seats as there should be, all up, each holding what is
// acknowledged. A machine that was away for good and is back may have taken a seat that was free.
func (w *coreWorld) incompleteReason() string {
	// What was acknowledged this moment may still be under way to some.
	w.History.lock.Lock()
	acknowledged := w.History.acknowledgedAt(w.now - time.Second)
	w.History.lock.Unlock()
	countedMembers := 0
	for _, node := range w.members {
		if !node.up {
			if !node.removed {
				return node.name + " is down"
			}
			continue
		}
		status := node.replica.Status()
		if status.Member {
			countedMembers++
		}
		switch {
		case !status.Member && len(w.members) == w.options.Members:
			return node.name + " does not count"
		case status.Durable < acknowledged:
			return node.name + " has not synced what is acknowledged"
		case len(status.Membership.Members) != w.options.Members || int(status.Membership.TargetSize) != w.options.Members:
			return fmt.Sprintf("%s knows %d seats of %d", node.name, len(status.Membership.Members), status.Membership.TargetSize)
		}
	}
	if countedMembers != w.options.Members {
		return fmt.Sprintf("%d seats count", countedMembers)
	}
	return ""
}

// requireComplete breaches unless the core is whole within a bound, if nothing else goes wrong.
func (w *coreWorld) requireComplete(bound time.Duration) {
	from := w.now
	var check func()
	check = func() {
		if w.lastFaultAt > from || w.activeFaults > 0 {
			return // something else has gone wrong
		}
		reason := w.incompleteReason()
		if reason == "" {
			return
		}
		if w.now-from >= bound {
			w.History.recordBreach(RuleCoreIncomplete, "%v: %s, %v after the last trouble", w.now, reason, w.now-from)
			return
		}
		w.schedule(100*time.Millisecond, check)
	}
	check()
}

// checkRead holds what was read against what had been acknowledged before it was asked for.
func (w *coreWorld) checkRead(node *memberNode, state config.State, acknowledged map[string]uint64) {
	for name, operatorVersion := range acknowledged {
		item := state[config.Key("segment", name)]
		if item.GetOperatorVersion() < operatorVersion {
			w.History.recordBreach(RuleOperatorVersionLost, "%v: %s shows %s under %d; %d was acknowledged", w.now, node.name,
				name, item.GetOperatorVersion(), operatorVersion)
		}
	}
	for _, item := range state {
		if item.Kind == "segment" && !slices.Contains(w.sentContents[item.Name][item.OperatorVersion], string(item.Body)) {
			w.History.recordBreach(RuleContentMismatch, "%v: %s shows %s under %d as %q", w.now, node.name, item.Name,
				item.OperatorVersion, item.Body)
		}
		if w.History.invalidItems[config.Key(item.Kind, item.Name)] {
			w.History.recordBreach(RuleInvalidConfig, "%v: %s holds %s", w.now, node.name, item.Name)
		}
	}
}

// checkLinearizable looks for an order of all calls that explains what the operators were told.
func (w *coreWorld) checkLinearizable() {
	for _, recordUnanswered := range w.unanswered {
		recordUnanswered()
	}
	if err := w.calls.Check(linearizabilityTimeout); err != nil {
		w.History.recordBreach(RuleNotLinearizable, "%v", err)
	}
}

// checkAtEnd reads everything back at every seat.
func (w *coreWorld) checkAtEnd() {
	if reason := w.incompleteReason(); reason != "" {
		w.History.recordBreach(RuleCoreIncomplete, "%v: at the end %s", w.now, reason)
	}
	reads := w.Reads
	for _, node := range w.activeMembers() {
		w.readAt(node)
	}
	w.Run(w.now + time.Second)
	if w.Reads < reads+len(w.activeMembers()) {
		w.History.recordBreach(RuleAcknowledgedLost, "only %d of %d seats could be read at the end", w.Reads-reads, len(w.activeMembers()))
	}
}
