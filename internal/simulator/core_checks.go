package simulator

import (
	"fmt"
	"slices"
	"time"

	"meadowhinge/internal/config"
)

// incompleteReason returns why the core is not complete, or "" if it is. A complete core has as many voting members
// as it should, and all its members are up and have stored durably what is acknowledged. A removed member that came
// back may have taken a free place.
func (w *CoreWorld) incompleteReason() string {
	// Changes acknowledged within the last second may still be in flight to some members.
	w.History.lock.Lock()
	acknowledged := w.History.acknowledgedAt(w.now - time.Second)
	w.History.lock.Unlock()
	votingMembers := 0
	for _, node := range w.members {
		if !node.up {
			if !node.removed {
				return node.name + " is down"
			}
			continue
		}
		status := node.replica.Status()
		if status.Member {
			votingMembers++
		}
		switch {
		case !status.Member && len(w.members) == w.options.Members:
			return node.name + " is not a voting member"
		case status.Durable < acknowledged:
			return fmt.Sprintf("%s has stored only up to %d; %d was acknowledged", node.name, status.Durable, acknowledged)
		case len(status.Membership.Members) != w.options.Members || int(status.Membership.TargetSize) != w.options.Members:
			return fmt.Sprintf("%s knows %d members of a target size of %d", node.name, len(status.Membership.Members),
				status.Membership.TargetSize)
		}
	}
	if votingMembers != w.options.Members {
		return fmt.Sprintf("%d voting members, want %d", votingMembers, w.options.Members)
	}
	return ""
}

// requireComplete checks that the core is complete within a bound from now. Another fault ends the check.
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
			w.History.recordViolation(ViolationCoreIncomplete, "%v: %s, %v after the last fault", w.now, reason, w.now-from)
			return true
		}
		return false
	})
}

// checkRead checks a configuration that was read at a member. Its operator versions must not be older than those
// acknowledged before the read began, and its contents must be those that operators sent.
func (w *CoreWorld) checkRead(node *memberNode, state config.State, acknowledged map[string]uint64) {
	for name, operatorVersion := range acknowledged {
		item := state[config.Key("segment", name)]
		if item.GetOperatorVersion() < operatorVersion {
			w.History.recordViolation(ViolationOperatorVersionLost, "%v: %s has %s at operator version %d; version %d was acknowledged",
				w.now, node.name, name, item.GetOperatorVersion(), operatorVersion)
		}
	}
	for _, item := range state {
		sent := w.sentContents[item.Name][item.OperatorVersion]
		if item.Kind == "segment" && !slices.Contains(sent, string(item.Body)) {
			w.History.recordViolation(ViolationContentMismatch, "%v: %s has %s at operator version %d with content %q, which no operator sent",
				w.now, node.name, item.Name, item.OperatorVersion, item.Body)
		}
		if w.History.invalidItems[config.Key(item.Kind, item.Name)] {
			w.History.recordViolation(ViolationInvalidConfig, "%v: %s has the invalid item %s", w.now, node.name, item.Name)
		}
	}
}

// checkLinearizable checks that the changes and reads of the operators are linearizable. It first records the
// unanswered changes as ones with an unknown outcome.
func (w *CoreWorld) checkLinearizable() {
	for _, recordUnanswered := range w.unanswered {
		recordUnanswered()
	}
	if err := w.calls.Check(linearizabilityTimeout); err != nil {
		w.History.recordViolation(ViolationNotLinearizable, "%v", err)
	}
}

// checkAtEnd checks that the core is complete and that every active member can be read. It runs the world for a
// second.
func (w *CoreWorld) checkAtEnd() {
	if reason := w.incompleteReason(); reason != "" {
		w.History.recordViolation(ViolationCoreIncomplete, "%v: at the end of the run: %s", w.now, reason)
	}
	reads := w.Reads
	for _, node := range w.activeMembers() {
		w.readAt(node)
	}
	w.Run(w.now + time.Second)
	if w.Reads < reads+len(w.activeMembers()) {
		w.History.recordViolation(ViolationAcknowledgedLost, "only %d of %d members could be read at the end of the run",
			w.Reads-reads, len(w.activeMembers()))
	}
}
