package store

import (
	"time"

	"meadowhinge/schema"
)

// Step handles a message from another replica and returns the actions that follow. The owner has authenticated
// message.From. A message addressed to another replica is ignored: a sender that does not know where a replica runs
// sends to every seed. A message in this replica's own name is ignored too.
func (r *Replica) Step(now time.Duration, message *schema.ReplicaMessage) []Action {
	r.beginStep(now)
	if message.To != r.config.Name || message.From == r.config.Name {
		return nil
	}
	// The address of every authenticated replica is stored, member or not: a learner must be answered too.
	if message.Address != "" {
		r.addresses[message.From] = message.Address
	}
	peer, isMember := r.trackSender(message)
	r.dispatchMessage(message, peer, isMember)
	return r.actions
}

// dispatchMessage calls the handler for the kind of a message. peer and isMember are the results of trackSender.
func (r *Replica) dispatchMessage(message *schema.ReplicaMessage, peer *peerState, isMember bool) {
	from := message.From
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		if peer == nil {
			r.sendMembership(from, body.Heartbeat.Membership)
			return
		}
		r.onHeartbeat(from, peer, body.Heartbeat)
	case *schema.ReplicaMessage_VoteRequest:
		if peer == nil {
			r.sendMembership(from, body.VoteRequest.Membership)
			return
		}
		r.onVoteRequest(from, body.VoteRequest)
	case *schema.ReplicaMessage_Vote:
		if isMember {
			r.onVote(peer, body.Vote)
		}
	case *schema.ReplicaMessage_BeginTerm:
		r.onBeginTerm(from, body.BeginTerm)
	case *schema.ReplicaMessage_AppendEntries:
		r.onAppendEntries(from, body.AppendEntries)
	case *schema.ReplicaMessage_AppendReply:
		if peer != nil {
			r.onAppendReply(from, peer, isMember, body.AppendReply)
		}
	case *schema.ReplicaMessage_StateRequest:
		r.onStateRequest(from, body.StateRequest)
	case *schema.ReplicaMessage_StateReply:
		r.onStateReply(from, message.Incarnation, body.StateReply)
	case *schema.ReplicaMessage_SnapshotRequest:
		r.onSnapshotRequest(from)
	case *schema.ReplicaMessage_SnapshotReply:
		r.onSnapshotReply(body.SnapshotReply.Snapshot)
	case *schema.ReplicaMessage_Join:
		r.onJoin(message, body.Join)
	case *schema.ReplicaMessage_Membership:
		r.onMembership(body.Membership)
	case *schema.ReplicaMessage_Proposal:
		r.proposeAsLeader(body.Proposal, requester{ticket: body.Proposal.Ticket, replica: from})
	case *schema.ReplicaMessage_ProposalReply:
		r.onProposalReply(body.ProposalReply)
	case *schema.ReplicaMessage_ReadIndex:
		r.readIndexAsLeader(requester{ticket: body.ReadIndex.Ticket, replica: from})
	case *schema.ReplicaMessage_ReadIndexReply:
		r.onReadIndexReply(body.ReadIndexReply)
	case *schema.ReplicaMessage_ConfirmLeadership:
		r.onConfirmLeadership(from, body.ConfirmLeadership)
	case *schema.ReplicaMessage_ConfirmLeadershipReply:
		if isMember {
			r.onConfirmLeadershipReply(peer, body.ConfirmLeadershipReply)
		}
	}
}
