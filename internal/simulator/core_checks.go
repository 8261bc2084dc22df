package simulator

import (
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/config"
)

// incompleteReason returns what the core lacks, or "" if it has as many members as it should and all of them are up and
// hold what is acknowledged. A removed member that came back may have taken a free place.
func (w *CoreWorld) incompleteReason() string {
	// What was acknowledged within the last second may still be in flight to some members.
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

// requireComplete checks that the core is complete within a bound. Another fault ends the check.
func (w *CoreWorld) requireComplete(bound time.Duration) {
	from := w.now
	w.retryEvery(100*time.Millisecond, func() bool {
		if w.lastFaultAt > from || w.activeFaults > 0 {
			return true
		}
		reason := w.incompleteReason()
		if reason == "" {
			return true
		}
		if w.now-from >= bound {
			w.History.recordViolation(ViolationCoreIncomplete, "%v: %s, %v after the last trouble", w.now, reason, w.now-from)
			return true
		}
		return false
	})
}

// checkRead checks a configuration that was read against what had been acknowledged before the read began, and against
// what operators sent.
func (w *CoreWorld) checkRead(node *memberNode, state config.State, acknowledged map[string]uint64) {
	for name, operatorVersion := range acknowledged {
		item := state[config.Key("segment", name)]
		if item.GetOperatorVersion() < operatorVersion {
			w.History.recordViolation(ViolationOperatorVersionLost, "%v: %s shows %s under %d; %d was acknowledged",
				w.now, node.name, name, item.GetOperatorVersion(), operatorVersion)
		}
	}
	for _, item := range state {
		sent := w.sentContents[item.Name][item.OperatorVersion]
		if item.Kind == "segment" && !slices.Contains(sent, string(item.Body)) {
			w.History.recordViolation(ViolationContentMismatch, "%v: %s shows %s under %d as %q",
				w.now, node.name, item.Name, item.OperatorVersion, item.Body)
		}
		if w.History.invalidItems[config.Key(item.Kind, item.Name)] {
			w.History.recordViolation(ViolationInvalidConfig, "%v: %s holds %s", w.now, node.name, item.Name)
		}
	}
}

// checkLinearizable checks that some order of all calls explains what the operators learned.
func (w *CoreWorld) checkLinearizable() {
	for _, recordUnanswered := range w.unanswered {
		recordUnanswered()
	}
	if err := w.calls.Check(linearizabilityTimeout); err != nil {
		w.History.recordViolation(ViolationNotLinearizable, "%v", err)
	}
}

// checkAtEnd checks that the core is complete and that every member can be read.
func (w *CoreWorld) checkAtEnd() {
	if reason := w.incompleteReason(); reason != "" {
		w.History.recordViolation(ViolationCoreIncomplete, "%v: at the end %s", w.now, reason)
	}
	reads := w.Reads
	for _, node := range w.activeMembers() {
		w.readAt(node)
	}
	w.Run(w.now + time.Second)
	if w.Reads < reads+len(w.activeMembers()) {
		w.History.recordViolation(ViolationAcknowledgedLost, "only %d of %d seats could be read at the end",
			w.Reads-reads, len(w.activeMembers()))
	}
}
