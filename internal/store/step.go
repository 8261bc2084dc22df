package store

import (
	"time"

	"meadowhinge/schema"
)

// Step takes a message from another replica.
func (r *Replica) Step(now time.Duration, message *schema.ReplicaMessage) []Action {
	r.beginStep(now)
	if message.To != r.config.Name || message.From == r.config.Name {
		return nil
	}
	if message.Address != "" {
		r.addresses[message.From] = message.Address
	}
	peer, counted := r.sender(message)
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		if peer == nil {
			r.sendMembership(message.From, body.Heartbeat.Membership)
		} else {
			r.onHeartbeat(message.From, peer, body.Heartbeat)
		}
	case *schema.ReplicaMessage_VoteRequest:
		if peer == nil {
			r.sendMembership(message.From, body.VoteRequest.Membership)
		} else {
			r.onVoteRequest(message.From, body.VoteRequest)
		}
	case *schema.ReplicaMessage_Vote:
		if counted {
			r.onVote(peer, body.Vote)
		}
	case *schema.ReplicaMessage_BeginTerm:
		r.onBeginTerm(message.From, body.BeginTerm)
	case *schema.ReplicaMessage_AppendEntries:
		r.onAppendEntries(message.From, body.AppendEntries)
	case *schema.ReplicaMessage_AppendReply:
		if peer != nil {
			r.onAppendReply(message.From, peer, counted, body.AppendReply)
		}
	case *schema.ReplicaMessage_StateRequest:
		r.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateReply{StateReply: &schema.StateReply{
			Round: body.StateRequest.Round, VotedTerm: r.votedTerm, Snapshot: &schema.Snapshot{Term: r.term, Sequence: r.sequence}}}})
	case *schema.ReplicaMessage_StateReply:
		r.onStateReply(message.From, message.Incarnation, body.StateReply)
	case *schema.ReplicaMessage_SnapshotRequest:
		if r.committedTerm != 0 {
			r.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_SnapshotReply{SnapshotReply: &schema.SnapshotReply{Snapshot: r.committedSnapshot()}}})
		}
	case *schema.ReplicaMessage_SnapshotReply:
		r.onSnapshotReply(body.SnapshotReply.Snapshot)
	case *schema.ReplicaMessage_Join:
		r.onJoin(message, body.Join)
	case *schema.ReplicaMessage_Membership:
		r.onMembership(body.Membership)
	case *schema.ReplicaMessage_Proposal:
		r.propose(body.Proposal, requester{ticket: body.Proposal.Ticket, replica: message.From})
	case *schema.ReplicaMessage_ProposalReply:
		delete(r.forwardedRequests, body.ProposalReply.Ticket)
		r.actions = append(r.actions, Reply{body.ProposalReply})
	case *schema.ReplicaMessage_ReadIndex:
		r.readIndex(requester{ticket: body.ReadIndex.Ticket, replica: message.From})
	case *schema.ReplicaMessage_ReadIndexReply:
		delete(r.forwardedRequests, body.ReadIndexReply.Ticket)
		r.actions = append(r.actions, ReadIndexReady{body.ReadIndexReply})
	case *schema.ReplicaMessage_ConfirmLeadership:
		refused := body.ConfirmLeadership.Term != r.votedTerm || !r.isMember()
		r.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ConfirmLeadershipReply{ConfirmLeadershipReply: &schema.ConfirmLeadershipReply{
			Term: body.ConfirmLeadership.Term, Round: body.ConfirmLeadership.Round, Refused: refused}}})
	case *schema.ReplicaMessage_ConfirmLeadershipReply:
		if counted && r.role == roleLeader && body.ConfirmLeadershipReply.Term == r.term && !body.ConfirmLeadershipReply.Refused {
			peer.confirmedRound = max(peer.confirmedRound, body.ConfirmLeadershipReply.Round)
			r.resolveReads()
		}
	}
	return r.actions
}
