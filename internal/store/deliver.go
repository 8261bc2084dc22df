package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// What a replica does as time passes and as messages come.

// Tick lets time pass.
func (r *Replica) Tick(now time.Duration) []Action {
	r.beginStep(now)
	r.tick()
	return r.actions
}

func (r *Replica) tick() {
	r.expireForwarded()
	if !r.isMember() {
		if r.role != roleFollower {
			r.becomeFollower()
		}
		if len(r.config.StaticMembers) > 0 && r.membership.EffectiveFrom == nil && !r.joinsExisting {
			r.requestState()
		} else {
			r.requestJoin()
		}
		return
	}
	// A leader that cannot reach a majority, or whose disk stalls, lets leadership go.
	if r.role != roleFollower && !r.reachesMajority(r.config.Name) {
		r.becomeFollower()
	}
	stuck := (r.role == roleCandidate || r.role == roleLeaderElect) && r.now-r.roleSince > r.config.StallTimeout/campaignsPerStallTimeout
	// One try a silence bound keeps two members that see the links differently from racing.
	due := stuck || r.role == roleFollower && (r.now-r.roleSince > r.config.HeartbeatTimeout || r.roleSince == 0)
	if due && len(r.newerMembers()) == 0 && r.preferredLeader() == r.config.Name && (stuck || r.caughtUp()) && !r.awaitsFounders() {
		r.becomeCandidate()
	}
	r.purgeTombstones()
	r.reconcileMembership()
	if !r.heartbeatSent || r.now-r.heartbeatSentAt >= r.heartbeatInterval() {
		r.sendHeartbeats()
		r.resendUnacknowledged()
	}
	r.sendUrgentHeartbeats()
	// Whoever reaches no majority may have missed who the members are now.
	if !r.reachesMajority(r.config.Name) && r.now-r.clockStartedAt > r.config.HeartbeatTimeout {
		r.requestJoin()
	}
}

// expireForwarded gives up tickets whose leader is no longer the leader, or stays silent: the
// registry asks again under the same change id, which is safe.
func (r *Replica) expireForwarded() {
	leader := r.leader()
	for _, ticket := range slices.Sorted(maps.Keys(r.forwardedRequests)) {
		request := r.forwardedRequests[ticket]
		if request.leader == leader && r.now-request.sentAt <= r.config.HeartbeatTimeout {
			continue
		}
		delete(r.forwardedRequests, ticket)
		if request.isRead {
			r.actions = append(r.actions, ReadIndexReady{&schema.ReadIndexReply{Ticket: ticket, Undecided: true}})
		} else {
			r.actions = append(r.actions, Reply{&schema.ProposalReply{Ticket: ticket, Undecided: true}})
		}
	}
}

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

// sender finds who sent a message: one of the members, whose word is counted; or one that asks to
// become a member or knows newer ones, whose is not; or nobody known.
func (r *Replica) sender(message *schema.ReplicaMessage) (peer *peerState, counted bool) {
	if containsMember(r.membership, message.From, message.Incarnation, message.Founder) {
		peer = r.peers[message.From]
		if peer.incarnation != message.Incarnation {
			*peer = peerState{incarnation: message.Incarnation}
		}
		peer.founder, peer.heard, peer.heardAt = message.Founder, true, r.now
		return peer, true
	}
	var membershipVersion *schema.Version
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		membershipVersion = body.Heartbeat.Membership
	case *schema.ReplicaMessage_VoteRequest:
		membershipVersion = body.VoteRequest.Membership
	}
	peer = r.outsiders[message.From]
	// What was not taken into the state that this replica has under a later epoch came to nothing.
	if membershipVersion != nil && membershipVersion.Term >= r.term && config.Newer(membershipVersion, r.membership.EffectiveFrom) && r.membership.EffectiveFrom != nil {
		if peer == nil || peer.isLearner || peer.incarnation != message.Incarnation {
			peer = &peerState{incarnation: message.Incarnation}
			r.outsiders[message.From] = peer
		}
	} else if peer == nil || peer.incarnation != message.Incarnation {
		return nil, false
	} else if !peer.isLearner && membershipVersion != nil {
		delete(r.outsiders, message.From)
		return nil, false
	}
	peer.heard, peer.heardAt = true, r.now
	return peer, false
}

func versionText(version *schema.Version) string {
	return strings.Join([]string{fmt.Sprint(version.Term), fmt.Sprint(version.Sequence)}, "-")
}
