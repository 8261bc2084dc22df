package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// What a replica does as time passes and as messages come.

// Tick lets time pass.
func (s *Replica) Tick(now time.Duration) []Action {
	s.begin(now)
	s.tick()
	return s.actions
}

func (s *Replica) tick() {
	s.expireForwarded()
	if !s.member() {
		if s.phase != idle {
			s.stepDown()
		}
		if len(s.options.Order) > 0 && s.membership.Taken == nil && !s.joins {
			s.askToRead()
		} else {
			s.requestJoin()
		}
		return
	}
	// A leader that cannot reach a majority, or whose disk stalls, lets leadership go.
	if s.phase != idle && !s.reachesMajority(s.options.Name) {
		s.stepDown()
	}
	stuck := (s.phase == campaigning || s.phase == beginning) && s.now-s.phaseAt > s.options.Stall/campaignsPerStall
	// One try a silence bound keeps two members that see the links differently from racing.
	due := stuck || s.phase == idle && (s.now-s.phaseAt > s.options.Silence || s.phaseAt == 0)
	if due && len(s.newerMembers()) == 0 && s.preferredLeader() == s.options.Name && (stuck || s.caughtUp()) && !s.awaitsFounders() {
		s.campaign()
	}
	s.purge()
	s.reconcileMembership()
	if !s.sentHeartbeat || s.now-s.lastHeartbeat >= s.pause() {
		s.sendHeartbeats()
		s.resend()
	}
	s.sendNews()
	// Whoever reaches no majority may have missed who the members are now.
	if !s.reachesMajority(s.options.Name) && s.now-s.bornAt > s.options.Silence {
		s.requestJoin()
	}
}

// expireForwarded gives up tickets whose leader is no longer the leader, or stays silent: the
// registry asks again under the same change id, which is safe.
func (s *Replica) expireForwarded() {
	leader := s.leader()
	for _, ticket := range slices.Sorted(maps.Keys(s.forwarded)) {
		waiting := s.forwarded[ticket]
		if waiting.leader == leader && s.now-waiting.at <= s.options.Silence {
			continue
		}
		delete(s.forwarded, ticket)
		if waiting.pendingRead {
			s.actions = append(s.actions, ReadIndexReady{&schema.ReadIndexReply{Ticket: ticket, Undecided: true}})
		} else {
			s.actions = append(s.actions, Reply{&schema.ProposalReply{Ticket: ticket, Undecided: true}})
		}
	}
}

// Deliver takes a message from another replica.
func (s *Replica) Deliver(now time.Duration, message *schema.ReplicaMessage) []Action {
	s.begin(now)
	if message.To != s.options.Name || message.From == s.options.Name {
		return nil
	}
	if message.Address != "" {
		s.addresses[message.From] = message.Address
	}
	known, counted := s.sender(message)
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		if known == nil {
			s.tellMembers(message.From, body.Heartbeat.Membership)
		} else {
			s.onHeartbeat(message.From, known, body.Heartbeat)
		}
	case *schema.ReplicaMessage_VoteRequest:
		if known == nil {
			s.tellMembers(message.From, body.VoteRequest.Membership)
		} else {
			s.onVoteRequest(message.From, body.VoteRequest)
		}
	case *schema.ReplicaMessage_Vote:
		if counted {
			s.onVote(known, body.Vote)
		}
	case *schema.ReplicaMessage_BeginEpoch:
		s.onBeginEpoch(message.From, body.BeginEpoch)
	case *schema.ReplicaMessage_AppendEntries:
		s.onAppendEntries(message.From, body.AppendEntries)
	case *schema.ReplicaMessage_AppendReply:
		if known != nil {
			s.onAppendReply(message.From, known, counted, body.AppendReply)
		}
	case *schema.ReplicaMessage_StateRequest:
		s.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateReply{StateReply: &schema.StateReply{
			Round: body.StateRequest.Round, VotedEpoch: s.votedEpoch, Snapshot: &schema.Snapshot{Epoch: s.epoch, Sequence: s.seq}}}})
	case *schema.ReplicaMessage_StateReply:
		s.onStateReply(message.From, message.Incarnation, body.StateReply)
	case *schema.ReplicaMessage_SnapshotRequest:
		if s.committedEpoch != 0 {
			s.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_SnapshotReply{SnapshotReply: &schema.SnapshotReply{Snapshot: s.committedSnapshot()}}})
		}
	case *schema.ReplicaMessage_SnapshotReply:
		s.onSnapshotReply(body.SnapshotReply.Snapshot)
	case *schema.ReplicaMessage_Join:
		s.onJoin(message, body.Join)
	case *schema.ReplicaMessage_Membership:
		s.onMembership(body.Membership)
	case *schema.ReplicaMessage_Proposal:
		s.propose(body.Proposal, waiter{ticket: body.Proposal.Ticket, to: message.From})
	case *schema.ReplicaMessage_ProposalReply:
		delete(s.forwarded, body.ProposalReply.Ticket)
		s.actions = append(s.actions, Reply{body.ProposalReply})
	case *schema.ReplicaMessage_ReadIndex:
		s.readIndex(waiter{ticket: body.ReadIndex.Ticket, to: message.From})
	case *schema.ReplicaMessage_ReadIndexReply:
		delete(s.forwarded, body.ReadIndexReply.Ticket)
		s.actions = append(s.actions, ReadIndexReady{body.ReadIndexReply})
	case *schema.ReplicaMessage_Confirm:
		refused := body.Confirm.Epoch != s.votedEpoch || !s.member()
		s.send(message.From, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Confirmed{Confirmed: &schema.Confirmed{
			Epoch: body.Confirm.Epoch, Round: body.Confirm.Round, Refused: refused}}})
	case *schema.ReplicaMessage_Confirmed:
		if counted && s.phase == active && body.Confirmed.Epoch == s.epoch && !body.Confirmed.Refused {
			known.confirmed = max(known.confirmed, body.Confirmed.Round)
			s.settleReads()
		}
	}
	return s.actions
}

// sender finds who sent a message: one of the members, whose word is counted; or one that asks to
// become a member or knows newer ones, whose is not; or nobody known.
func (s *Replica) sender(message *schema.ReplicaMessage) (known *peer, counted bool) {
	if lists(s.membership, message.From, message.Incarnation, message.Founder) {
		known = s.peers[message.From]
		if known.incarnation != message.Incarnation {
			*known = peer{incarnation: message.Incarnation}
		}
		known.founder, known.heard, known.heardAt = message.Founder, true, s.now
		return known, true
	}
	var members *schema.Version
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		members = body.Heartbeat.Membership
	case *schema.ReplicaMessage_VoteRequest:
		members = body.VoteRequest.Membership
	}
	known = s.outsiders[message.From]
	// What was not taken into the state that this replica has under a later epoch came to nothing.
	if members != nil && members.Epoch >= s.epoch && setup.Newer(members, s.membership.Taken) && s.membership.Taken != nil {
		if known == nil || known.learns || known.incarnation != message.Incarnation {
			known = &peer{incarnation: message.Incarnation}
			s.outsiders[message.From] = known
		}
	} else if known == nil || known.incarnation != message.Incarnation {
		return nil, false
	} else if !known.learns && members != nil {
		delete(s.outsiders, message.From)
		return nil, false
	}
	known.heard, known.heardAt = true, s.now
	return known, false
}

func sequenceText(version *schema.Version) string {
	return strings.Join([]string{fmt.Sprint(version.Epoch), fmt.Sprint(version.Sequence)}, "-")
}
