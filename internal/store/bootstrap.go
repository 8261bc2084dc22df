package store

import "meadowhinge/schema"

// This file handles the first start of a core with a static member list. An empty replica asks every other one for its
// state. If all of them are empty too, the list becomes the first membership. If any of them has state, this replica
// joins the existing core. Without a static list the settings name the founders; see InitialRecord.

// mayBootstrap reports whether this replica has a static member list but no membership, and has not found an existing
// core so far.
func (r *Replica) mayBootstrap() bool {
	return len(r.config.StaticMembers) > 0 && r.membership.EffectiveFrom == nil && !r.coreExists
}

// requestState sends a new round of StateRequests if the interval since the last one has passed. Only replies to the
// latest round count, so that all of them describe about the same time.
func (r *Replica) requestState() {
	if r.stateRequestID != 0 && r.now-r.stateRequestedAt < r.config.HeartbeatTimeout/heartbeatsPerTimeout {
		return
	}
	r.stateRequestID++
	r.stateRequestedAt = r.now
	for _, name := range r.config.StaticMembers {
		if name != r.config.Name {
			r.send(name, stateRequestMessage(&schema.StateRequest{Round: r.stateRequestID}))
		}
	}
	r.bootstrapIfAllEmpty()
}

// onStateRequest replies with this replica's voted term and the version of its content. The snapshot in the reply has
// no items.
func (r *Replica) onStateRequest(from string, request *schema.StateRequest) {
	r.send(from, stateReplyMessage(&schema.StateReply{
		Round:     request.Round,
		VotedTerm: r.votedTerm,
		Snapshot:  &schema.Snapshot{Term: r.term, Sequence: r.sequence},
	}))
}

// onStateReply records that another replica is empty too, or that a core exists already.
func (r *Replica) onStateReply(from string, incarnation uint64, reply *schema.StateReply) {
	if r.coreExists || r.membership.EffectiveFrom != nil || reply.Round != r.stateRequestID {
		return
	}
	if reply.VotedTerm > 0 || reply.Snapshot.Term > 0 || reply.Snapshot.Sequence > 0 {
		r.coreExists = true
		return
	}
	if r.nonMembers[from] == nil {
		r.nonMembers[from] = &peerState{}
	}
	r.nonMembers[from].incarnation = incarnation
	r.nonMembers[from].stateReply = reply
	r.bootstrapIfAllEmpty()
}

// bootstrapIfAllEmpty makes the static list the first membership once every other replica has replied to the latest
// round that it is empty.
func (r *Replica) bootstrapIfAllEmpty() {
	for _, name := range r.config.StaticMembers {
		if name == r.config.Name {
			continue
		}
		peer := r.nonMembers[name]
		if peer == nil || peer.stateReply == nil || peer.stateReply.Round != r.stateRequestID {
			return
		}
	}
	r.founder = true
	r.roleSince = 0 // lets this replica campaign at once
	r.nonMembers = map[string]*peerState{}
	r.restoreSnapshot(&schema.Snapshot{Membership: foundingMembership(r.config.StaticMembers)})
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
}
