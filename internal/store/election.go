package store

import (
	"maps"
	"slices"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Who leads: the first member, in their order, that reaches a majority; and how it gets the votes of
// one, the newest state among them, and an epoch of its own.

// unfit tells that this replica must not hold leadership, nor be counted upon for now.
func (s *Replica) unfit() bool {
	stalled := len(s.pendingWrites) > 0 && s.now-s.pendingWrites[0].startedAt > s.config.StallTimeout
	return !s.isMember() || stalled || s.diskFailed
}

// newerMembers are replicas that know a newer membership than this one has.
func (s *Replica) newerMembers() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.outsiders)) {
		if outsider := s.outsiders[name]; !outsider.isLearner && s.recentlyHeard(outsider) {
			names = append(names, name)
		}
	}
	return names
}

// mutualPeers lists the members that are heard here, hear this one and are fit.
func (s *Replica) mutualPeers() []string {
	var names []string
	for _, name := range s.otherMembers {
		if s.mutuallyReachable(s.peers[name]) {
			names = append(names, name)
		}
	}
	for _, name := range s.newerMembers() {
		if s.mutuallyReachable(s.outsiders[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (s *Replica) mutuallyReachable(peer *peerState) bool {
	return s.recentlyHeard(peer) && peer.receivedHeartbeat != nil && !peer.receivedHeartbeat.Unfit && slices.Contains(peer.receivedHeartbeat.Heard, s.config.Name)
}

// reachesMajority tells whether a replica has links in both directions to a majority, itself included.
// One-way links do not count, so a replica that can only speak or only listen gets no leadership.
func (s *Replica) reachesMajority(name string) bool {
	linked := map[string]bool{}
	ownLinks := s.mutualPeers()
	switch {
	case name == s.config.Name && s.unfit():
		return false
	case name == s.config.Name:
		for _, other := range ownLinks {
			linked[other] = true
		}
	default:
		linked[s.config.Name] = slices.Contains(ownLinks, name)
		for _, other := range s.otherMembers {
			peer := s.peers[other]
			if !s.recentlyHeard(peer) || peer.receivedHeartbeat == nil {
				continue
			}
			if other == name {
				if peer.receivedHeartbeat.Unfit || peer.receivedHeartbeat.MembershipBehind {
					return false
				}
				for _, linkedName := range peer.receivedHeartbeat.Mutual {
					linked[linkedName] = true
				}
			} else if slices.Contains(peer.receivedHeartbeat.Mutual, name) {
				linked[other] = true
			}
		}
	}
	links := 0
	for _, member := range s.membership.Members {
		if member.Id != name && linked[member.Id] {
			links++
		}
	}
	return links+1 >= s.majority()
}

// preferredLeader names the replica that should lead: the first in the order that reaches a majority.
func (s *Replica) preferredLeader() string {
	for _, member := range s.membership.Members {
		if s.reachesMajority(member.Id) {
			return member.Id
		}
	}
	return ""
}

// leader names the replica that does hold it, as far as is known here.
func (s *Replica) leader() string {
	name, term := "", uint64(0)
	if s.role == roleLeader {
		name, term = s.config.Name, s.term
	}
	consider := func(other string, peer *peerState) {
		if s.recentlyHeard(peer) && peer.receivedHeartbeat != nil && peer.receivedHeartbeat.Leader == other && peer.receivedHeartbeat.Term > term {
			name, term = other, peer.receivedHeartbeat.Term
		}
	}
	for _, other := range s.otherMembers {
		consider(other, s.peers[other])
	}
	for _, other := range s.newerMembers() {
		consider(other, s.outsiders[other])
	}
	return name
}

// awaitsFounders tells whether, at the first start of all, founders may yet come: those that are
// there as the first epoch begins need no change of the members of their own.
func (s *Replica) awaitsFounders() bool {
	if s.highestTerm > 0 || s.now-s.clockStartedAt > s.config.HeartbeatTimeout {
		return false
	}
	for _, name := range s.otherMembers {
		if peer := s.peers[name]; !peer.heard || !peer.founder {
			return true
		}
	}
	return false
}

// caughtUp tells whether this replica has what another leader has committed, so that it takes over
// without a gap.
func (s *Replica) caughtUp() bool {
	name := s.leader()
	peer := s.peers[name]
	return peer == nil || peer.receivedHeartbeat.Term == s.term && s.sequence >= peer.receivedHeartbeat.Committed
}

// durableVotedTerm is the highest epoch for which a vote is on disk.
func (s *Replica) durableVotedTerm() uint64 {
	for _, write := range s.pendingWrites {
		if write.votedTerm != 0 {
			return write.votedTerm - 1
		}
	}
	return s.votedTerm
}

func (s *Replica) becomeFollower() {
	s.role, s.roleSince = roleFollower, s.now
	for _, id := range slices.Sorted(maps.Keys(s.pendingProposals)) {
		requesters := s.pendingProposals[id]
		for _, request := range requesters {
			s.answerProposal(request, &schema.ProposalReply{Ticket: request.ticket, Undecided: true})
		}
		delete(s.pendingProposals, id)
	}
	for _, request := range s.pendingReads {
		s.answerRead(request.requester, &schema.ReadIndexReply{Ticket: request.ticket, Undecided: true})
	}
	s.pendingReads = nil
}

// recordVote lets no epoch below count here any more, and this one only for one replica.
func (s *Replica) recordVote(term uint64, candidate string) {
	s.votedTerm, s.votedFor, s.highestTerm = term, candidate, max(s.highestTerm, term)
}

// becomeCandidate asks a majority to vote for an epoch of this replica's own.
func (s *Replica) becomeCandidate() {
	s.becomeFollower()
	// Epochs are dealt out by replica, so that two members seldom ask for the same one.
	members := uint64(len(s.membership.Members))
	term := (max(s.highestTerm, s.votedTerm)/members+1)*members + uint64(max(0, memberIndex(s.membership, s.config.Name)))
	s.role, s.roleSince = roleCandidate, s.now
	s.recordVote(term, s.config.Name)
	for _, peer := range s.peers {
		peer.vote, peer.versionReported, peer.term, peer.acked, peer.sent, peer.confirmedRound = nil, false, 0, 0, 0, 0
	}
	for _, peer := range s.outsiders {
		peer.versionReported, peer.term, peer.acked, peer.sent = false, 0, 0, 0
	}
	write := pendingWrite{votedTerm: term}
	for _, name := range s.otherMembers {
		write.messages = append(write.messages, s.voteRequest(name))
	}
	s.persist(&schema.Record{VotedTerm: term, VotedFor: s.config.Name}, write)
}

func (s *Replica) voteRequest(to string) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{To: to, Body: &schema.ReplicaMessage_VoteRequest{VoteRequest: &schema.VoteRequest{Term: s.votedTerm, Last: s.lastVersion(), Membership: s.membership.EffectiveFrom}}}
}

func (s *Replica) requestVote(name string) { s.send(name, s.voteRequest(name)) }

// lastVersion is what this replica has taken.
func (s *Replica) lastVersion() *schema.Version {
	return &schema.Version{Term: s.term, Sequence: s.sequence}
}

func (s *Replica) onVoteRequest(from string, request *schema.VoteRequest) {
	if !s.isMember() {
		return
	}
	if request.Term < s.votedTerm || request.Term == s.votedTerm && s.votedFor != from {
		s.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Vote{Vote: &schema.Vote{Term: request.Term, Refused: true, HigherTerm: s.votedTerm}}})
		return
	}
	if request.Term == s.votedTerm && s.durableVotedTerm() >= s.votedTerm {
		s.sendVote(from, request)
		return
	}
	if request.Term > s.votedTerm {
		s.becomeFollower()
	}
	s.recordVote(request.Term, from)
	s.persist(&schema.Record{VotedTerm: request.Term, VotedFor: from}, pendingWrite{votedTerm: request.Term, voteRequest: request, candidate: from})
}

// sendVote tells a candidate that it has this replica's vote, and what it lacks of the state here.
func (s *Replica) sendVote(to string, request *schema.VoteRequest) {
	vote := &schema.Vote{Term: request.Term, Last: s.lastVersion()}
	switch {
	case !config.Newer(vote.Last, request.Last):
	case request.Last.GetTerm() == s.term && request.Last.GetSequence() >= s.baseSequence:
		vote.Entries = s.entries[request.Last.GetSequence()-s.baseSequence:]
	default:
		vote.Snapshot = s.snapshot()
	}
	s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Vote{Vote: vote}})
}

func (s *Replica) onVote(peer *peerState, vote *schema.Vote) {
	if vote.Refused {
		s.highestTerm = max(s.highestTerm, vote.HigherTerm)
		return
	}
	if s.role == roleCandidate && vote.Term == s.votedTerm {
		peer.vote, peer.lastKnownVersion, peer.versionReported = vote, vote.Last, true
		s.countVotes()
	}
}

// countVotes counts the votes. The newest state among them is taken whole, and with it who the members
// are; with the votes of a majority of those, this replica's epoch begins upon that state.
func (s *Replica) countVotes() {
	if s.durableVotedTerm() < s.votedTerm {
		return
	}
	for _, name := range s.otherMembers {
		if peer := s.peers[name]; peer != nil && peer.vote != nil && config.Newer(peer.vote.Last, s.lastVersion()) && !s.hasFault(faultStaleLeader) {
			s.adoptVote(peer.vote)
		}
	}
	if !s.isMember() {
		s.becomeFollower()
		return
	}
	votes := 1
	for _, name := range s.otherMembers {
		if s.peers[name].vote != nil {
			votes++
		}
	}
	if votes < s.majority() {
		return
	}
	s.role, s.roleSince, s.termStartVersion = roleLeaderElect, s.now, s.lastVersion()
	s.term = s.votedTerm
	if members := s.bindFounders(); members == s.membership {
		s.persist(&schema.Record{Term: s.term}, pendingWrite{})
	} else {
		members.EffectiveFrom = s.lastVersion()
		snapshot := s.snapshot()
		snapshot.Membership = members
		s.restoreSnapshot(snapshot)
		s.termStartVersion = &schema.Version{Term: s.term, Sequence: s.sequence}
		s.persist(&schema.Record{Snapshot: s.snapshot()}, pendingWrite{})
	}
	for _, name := range s.otherMembers {
		s.replicate(name, s.peers[name])
	}
}

// bindFounders is the members with every founder that is known bound to its folder; those that were
// counted must be.
func (s *Replica) bindFounders() *schema.Membership {
	members := s.membership
	for _, member := range s.membership.Members {
		incarnation := s.incarnation
		if member.Id != s.config.Name {
			peer := s.peers[member.Id]
			if peer.incarnation == 0 || !peer.founder {
				continue
			}
			incarnation = peer.incarnation
		}
		if member.Incarnation == 0 {
			members = withMember(members, &schema.CoreMember{Id: member.Id, Address: s.memberAddress(member.Id), Incarnation: incarnation})
		}
	}
	return members
}

// adoptVote takes from a vote what this replica lacks.
func (s *Replica) adoptVote(vote *schema.Vote) {
	if vote.Snapshot != nil {
		s.restoreSnapshot(vote.Snapshot)
		s.persist(&schema.Record{Snapshot: s.snapshot()}, pendingWrite{})
		return
	}
	if appended := s.appendContiguous(vote.Entries); len(appended) > 0 {
		s.persist(&schema.Record{Entries: appended}, pendingWrite{})
	}
}
