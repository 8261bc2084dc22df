package simulator

import (
	"fmt"

	"meadowhinge/internal/registry"
	"meadowhinge/schema"
)

// submitChange proposes a change at a registry, as the registry's daemon does. It calls onRuling with the ruling and
// the sequence of the change: for an accepted change once it is acknowledged, for any other once it is decided. If
// the registry or its member does not respond, the proposal stays undecided, or acknowledge gives up, it never calls
// onRuling. With Options.ServeStale a change is acknowledged once it is committed.
func (w *World) submitChange(node *registryNode, change *schema.Change, onRuling func(ruling schema.Ruling, sequence uint64)) {
	if !w.isResponsive(&node.process) || !w.isResponsive(&node.member.process) {
		return
	}
	ticket := fmt.Sprint("offer-", w.nextID())
	node.member.pendingRulings[ticket] = func(reply *schema.ProposalReply) {
		if reply.Undecided {
			return
		}
		w.scheduleOn(&node.process, 0, func() {
			ruling, sequence := reply.Outcome.Ruling, reply.Outcome.Version.Sequence
			w.History.recordRuling(w.now, change.Id, ruling)
			if ruling != schema.Ruling_RULING_ACCEPTED {
				onRuling(ruling, sequence)
				return
			}
			if w.seededFault == SeededEarlyAcknowledgement || w.Options.ServeStale {
				w.History.recordAcknowledgement(w.now, sequence)
				onRuling(ruling, sequence)
				return
			}
			w.acknowledge(node, sequence, func() { onRuling(ruling, sequence) })
		})
	}
	proposal := &schema.Proposal{Ticket: ticket, Change: change}
	w.execute(node.member, node.member.replica.Propose(node.member.clock.at(w.now), proposal))
}

// acknowledge sets a fence for a committed change at all registries and repeats it at every pollInterval. Once a
// majority of the registries confirm that no proxy holds a lease under an older configuration, it calls onAcknowledged,
// only one time. It gives up after three lease durations.
func (w *World) acknowledge(node *registryNode, sequence uint64, onAcknowledged func()) {
	acknowledgement := registry.NewAcknowledgement(memberCount)
	done := false
	deadline := w.now + 3*leaseDuration
	addReply := func(reply *schema.FenceReply) {
		if !done && acknowledgement.Record(reply) {
			done = true
			w.History.recordAcknowledgement(w.now, sequence)
			onAcknowledged()
		}
	}
	var sendFences func()
	sendFences = func() {
		if done || w.now > deadline {
			return
		}
		addReply(node.table.SetFence(w.uptime(node), sequence))
		for _, other := range w.registries {
			if other != node {
				w.send(&node.process, &other.process, func() {
					reply := other.table.SetFence(w.uptime(other), sequence)
					w.send(&other.process, &node.process, func() { addReply(reply) })
				})
			}
		}
		w.scheduleOn(&node.process, pollInterval, sendFences)
	}
	sendFences()
}
