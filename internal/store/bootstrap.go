package store

import (
	"meadowhinge/schema"
)

// requestState lets an empty replica of an order learn whether there is a setup already. Only if every
// other replica has none, these are the first members.
func (r *Replica) requestState() {
	if r.stateRequestRound != 0 && r.now-r.stateRequestedAt < r.config.HeartbeatTimeout/heartbeatsPerTimeout {
		return
	}
	r.stateRequestRound++
	r.stateRequestedAt = r.now
	for _, name := range r.config.StaticMembers {
		if name != r.config.Name {
			r.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateRequest{StateRequest: &schema.StateRequest{Round: r.stateRequestRound}}})
		}
	}
	r.bootstrapIfAllEmpty()
}

func (r *Replica) onStateReply(from string, incarnation uint64, reply *schema.StateReply) {
	if r.joinsExisting || r.membership.EffectiveFrom != nil || reply.Round != r.stateRequestRound {
		return
	}
	if reply.VotedTerm > 0 || reply.Snapshot.Term > 0 || reply.Snapshot.Sequence > 0 {
		r.joinsExisting = true
		return
	}
	if r.outsiders[from] == nil {
		r.outsiders[from] = &peerState{}
	}
	r.outsiders[from].incarnation, r.outsiders[from].stateReply = incarnation, reply
	r.bootstrapIfAllEmpty()
}

func (r *Replica) bootstrapIfAllEmpty() {
	for _, name := range r.config.StaticMembers {
		if peer := r.outsiders[name]; name != r.config.Name && (peer == nil || peer.stateReply == nil || peer.stateReply.Round != r.stateRequestRound) {
			return
		}
	}
	r.founder, r.roleSince = true, 0
	r.outsiders = map[string]*peerState{}
	r.restoreSnapshot(&schema.Snapshot{Membership: foundingMembership(r.config.StaticMembers)})
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
}
