package store

import "meadowhinge/schema"

// The first start of a core with a static member list. An empty replica asks every other one for its state: if all
// of them are empty too, the list is the first membership; if any has state, this replica joins the existing core.
// Without a static list the founders are known from the settings; see InitialRecord.

// mayBootstrap reports whether it is not known yet whether a core exists.
func (r *Replica) mayBootstrap() bool {
	return len(r.config.StaticMembers) > 0 && r.membership.EffectiveFrom == nil && !r.joinsExisting
}

// requestState begins a round of StateRequests. Only answers to the latest round count, so that all of them are of
// about the same time.
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

// onStateRequest reports whether this replica has voted or has content; the snapshot has no items.
func (r *Replica) onStateRequest(from string, request *schema.StateRequest) {
	r.send(from, stateReplyMessage(&schema.StateReply{
		Round:     request.Round,
		VotedTerm: r.votedTerm,
		Snapshot:  &schema.Snapshot{Term: r.term, Sequence: r.sequence},
	}))
}

// onStateReply counts a replica that is empty too, or finds that a core exists.
func (r *Replica) onStateReply(from string, incarnation uint64, reply *schema.StateReply) {
	if r.joinsExisting || r.membership.EffectiveFrom != nil || reply.Round != r.stateRequestID {
		return
	}
	if reply.VotedTerm > 0 || reply.Snapshot.Term > 0 || reply.Snapshot.Sequence > 0 {
		r.joinsExisting = true
		return
	}
	if r.outsiders[from] == nil {
		r.outsiders[from] = &peerState{}
	}
	r.outsiders[from].incarnation = incarnation
	r.outsiders[from].stateReply = reply
	r.bootstrapIfAllEmpty()
}

// bootstrapIfAllEmpty makes the static list the first membership once every other replica has answered this
// round that it is empty.
func (r *Replica) bootstrapIfAllEmpty() {
	for _, name := range r.config.StaticMembers {
		if name == r.config.Name {
			continue
		}
		peer := r.outsiders[name]
		if peer == nil || peer.stateReply == nil || peer.stateReply.Round != r.stateRequestID {
			return
		}
	}
	r.founder = true
	r.roleSince = 0 // it may campaign at once
	r.outsiders = map[string]*peerState{}
	r.restoreSnapshot(&schema.Snapshot{Membership: foundingMembership(r.config.StaticMembers)})
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
}
