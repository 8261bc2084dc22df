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
func (s *Replica) Tick(now time.Duration) []Action {
	s.beginStep(now)
	s.tick()
	return s.actions
}

func (s *Replica) tick() {
	s.expireForwarded()
	if !s.isMember() {
		if s.role != roleFollower {
			s.becomeFollower()
		}
		if len(s.config.StaticMembers) > 0 && s.membership.EffectiveFrom == nil && !s.joinsExisting {
			s.requestState()
		} else {
			s.requestJoin()
		}
		return
	}
	// A leader that cannot reach a majority, or whose disk stalls, lets leadership go.
	if s.role != roleFollower && !s.reachesMajority(s.config.Name) {
		s.becomeFollower()
	}
	stuck := (s.role == roleCandidate || s.role == roleLeaderElect) && s.now-s.roleSince > s.config.StallTimeout/campaignsPerStallTimeout
	// One try a silence bound keeps two members that see the links differently from racing.
	due := stuck || s.role == roleFollower && (s.now-s.roleSince > s.config.HeartbeatTimeout || s.roleSince == 0)
	if due && len(s.newerMembers()) == 0 && s.preferredLeader() == s.config.Name && (stuck || s.caughtUp()) && !s.awaitsFounders() {
		s.becomeCandidate()
	}
	s.purgeTombstones()
	s.reconcileMembership()
	if !s.heartbeatSent || s.now-s.heartbeatSentAt >= s.heartbeatInterval() {
		s.sendHeartbeats()
		s.resendUnacknowledged()
	}
	s.sendUrgentHeartbeats()
	// Whoever reaches no majority may have missed who the members are now.
	if !s.reachesMajority(s.config.Name) && s.now-s.clockStartedAt > s.config.HeartbeatTimeout {
		s.requestJoin()
	}
}

// expireForwarded gives up tickets whose leader is no longer the leader, or stays silent: the
// registry asks again under the same change id, which is safe.
func (s *Replica) expireForwarded() {
	leader := s.leader()
	for _, ticket := range slices.Sorted(maps.Keys(s.forwardedRequests)) {
		request := s.forwardedRequests[ticket]
		if request.leader == leader && s.now-request.sentAt <= s.config.HeartbeatTimeout {
			continue
		}
		delete(s.forwardedRequests, ticket)
		if request.isRead {
			s.actions = append(s.actions, ReadIndexReady{&schema.ReadIndexReply{Ticket: ticket, Undecided: true}})
		} else {
			s.actions = append(s.actions, Reply{&schema.ProposalReply{Ticket: ticket, Undecided: true}})
		}
	}
}

// Step takes a message from another replica.
func (s *Replica) Step(now time.Duration, message *schema.ReplicaMessage) []Action {
	s.beginStep(now)
	if message.To != s.config.Name || message.From == s.config.Name {
		return nil
	}
	if message.Address != "" {
		s.addresses[message.From] = message.Address
	}
	peer, counted := s.sender(message)
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		if peer == nil {
			s.sendMembership(message.From, body.Heartbeat.Membership)
		} else {
			s.onHeartbeat(message.From, peer, body.Heartbeat)
		}
	case *schema.ReplicaMessage_VoteRequest:
		if peer == nil {
			s.sendMembership(message.From, body.VoteRequest.Membership)
		} else {
			s.onVoteRequest(message.From, body.VoteRequest)
		}
	case *schema.ReplicaMessage_Vote:
		if counted {
			s.onVote(peer, body.Vote)
		}
	case *schema.ReplicaMessage_BeginTerm:
		s.onBeginTerm(message.From, body.BeginTerm)
	case *schema.ReplicaMessage_AppendEntries:
		s.onAppendEntries(message.From, body.AppendEntries)
	case *schema.ReplicaMessage_AppendReply:
		if peer != nil {
			s.onAppendReply(message.From, peer, counted, body.AppendReply)
		}
	case *schema.ReplicaMessage_StateRequest:
		s.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateReply{StateReply: &schema.StateReply{
			Round: body.StateRequest.Round, VotedTerm: s.votedTerm, Snapshot: &schema.Snapshot{Term: s.term, Sequence: s.sequence}}}})
	case *schema.ReplicaMessage_StateReply:
		s.onStateReply(message.From, message.Incarnation, body.StateReply)
	case *schema.ReplicaMessage_SnapshotRequest:
		if s.committedTerm != 0 {
			s.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_SnapshotReply{SnapshotReply: &schema.SnapshotReply{Snapshot: s.committedSnapshot()}}})
		}
	case *schema.ReplicaMessage_SnapshotReply:
		s.onSnapshotReply(body.SnapshotReply.Snapshot)
	case *schema.ReplicaMessage_Join:
		s.onJoin(message, body.Join)
	case *schema.ReplicaMessage_Membership:
		s.onMembership(body.Membership)
	case *schema.ReplicaMessage_Proposal:
		s.propose(body.Proposal, requester{ticket: body.Proposal.Ticket, replica: message.From})
	case *schema.ReplicaMessage_ProposalReply:
		delete(s.forwardedRequests, body.ProposalReply.Ticket)
		s.actions = append(s.actions, Reply{body.ProposalReply})
	case *schema.ReplicaMessage_ReadIndex:
		s.readIndex(requester{ticket: body.ReadIndex.Ticket, replica: message.From})
	case *schema.ReplicaMessage_ReadIndexReply:
		delete(s.forwardedRequests, body.ReadIndexReply.Ticket)
		s.actions = append(s.actions, ReadIndexReady{body.ReadIndexReply})
	case *schema.ReplicaMessage_ConfirmLeadership:
		refused := body.ConfirmLeadership.Term != s.votedTerm || !s.isMember()
		s.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_ConfirmLeadershipReply{ConfirmLeadershipReply: &schema.ConfirmLeadershipReply{
			Term: body.ConfirmLeadership.Term, Round: body.ConfirmLeadership.Round, Refused: refused}}})
	case *schema.ReplicaMessage_ConfirmLeadershipReply:
		if counted && s.role == roleLeader && body.ConfirmLeadershipReply.Term == s.term && !body.ConfirmLeadershipReply.Refused {
			peer.confirmedRound = max(peer.confirmedRound, body.ConfirmLeadershipReply.Round)
			s.resolveReads()
		}
	}
	return s.actions
}

// sender finds who sent a message: one of the members, whose word is counted; or one that asks to
// become a member or knows newer ones, whose is not; or nobody known.
func (s *Replica) sender(message *schema.ReplicaMessage) (peer *peerState, counted bool) {
	if containsMember(s.membership, message.From, message.Incarnation, message.Founder) {
		peer = s.peers[message.From]
		if peer.incarnation != message.Incarnation {
			*peer = peerState{incarnation: message.Incarnation}
		}
		peer.founder, peer.heard, peer.heardAt = message.Founder, true, s.now
		return peer, true
	}
	var membershipVersion *schema.Version
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		membershipVersion = body.Heartbeat.Membership
	case *schema.ReplicaMessage_VoteRequest:
		membershipVersion = body.VoteRequest.Membership
	}
	peer = s.outsiders[message.From]
	// What was not taken into the state that this replica has under a later epoch came to nothing.
	if membershipVersion != nil && membershipVersion.Term >= s.term && config.Newer(membershipVersion, s.membership.EffectiveFrom) && s.membership.EffectiveFrom != nil {
		if peer == nil || peer.isLearner || peer.incarnation != message.Incarnation {
			peer = &peerState{incarnation: message.Incarnation}
			s.outsiders[message.From] = peer
		}
	} else if peer == nil || peer.incarnation != message.Incarnation {
		return nil, false
	} else if !peer.isLearner && membershipVersion != nil {
		delete(s.outsiders, message.From)
		return nil, false
	}
	peer.heard, peer.heardAt = true, s.now
	return peer, false
}

func versionText(version *schema.Version) string {
	return strings.Join([]string{fmt.Sprint(version.Term), fmt.Sprint(version.Sequence)}, "-")
}
