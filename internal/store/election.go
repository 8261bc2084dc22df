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
func (r *Replica) unfit() bool {
	stalled := len(r.pendingWrites) > 0 && r.now-r.pendingWrites[0].startedAt > r.config.StallTimeout
	return !r.isMember() || stalled || r.diskFailed
}

// newerMembers are replicas that know a newer membership than this one has.
func (r *Replica) newerMembers() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.outsiders)) {
		if outsider := r.outsiders[name]; !outsider.isLearner && r.recentlyHeard(outsider) {
			names = append(names, name)
		}
	}
	return names
}

// mutualPeers lists the members that are heard here, hear this one and are fit.
func (r *Replica) mutualPeers() []string {
	var names []string
	for _, name := range r.otherMembers {
		if r.mutuallyReachable(r.peers[name]) {
			names = append(names, name)
		}
	}
	for _, name := range r.newerMembers() {
		if r.mutuallyReachable(r.outsiders[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (r *Replica) mutuallyReachable(peer *peerState) bool {
	return r.recentlyHeard(peer) && peer.receivedHeartbeat != nil && !peer.receivedHeartbeat.Unfit && slices.Contains(peer.receivedHeartbeat.Heard, r.config.Name)
}

// reachesMajority tells whether a replica has links in both directions to a majority, itself included.
// One-way links do not count, so a replica that can only speak or only listen gets no leadership.
func (r *Replica) reachesMajority(name string) bool {
	linked := map[string]bool{}
	ownLinks := r.mutualPeers()
	switch {
	case name == r.config.Name && r.unfit():
		return false
	case name == r.config.Name:
		for _, other := range ownLinks {
			linked[other] = true
		}
	default:
		linked[r.config.Name] = slices.Contains(ownLinks, name)
		for _, other := range r.otherMembers {
			peer := r.peers[other]
			if !r.recentlyHeard(peer) || peer.receivedHeartbeat == nil {
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
	for _, member := range r.membership.Members {
		if member.Id != name && linked[member.Id] {
			links++
		}
	}
	return links+1 >= r.majority()
}

// preferredLeader names the replica that should lead: the first in the order that reaches a majority.
func (r *Replica) preferredLeader() string {
	for _, member := range r.membership.Members {
		if r.reachesMajority(member.Id) {
			return member.Id
		}
	}
	return ""
}

// leader names the replica that does hold it, as far as is known here.
func (r *Replica) leader() string {
	name, term := "", uint64(0)
	if r.role == roleLeader {
		name, term = r.config.Name, r.term
	}
	consider := func(other string, peer *peerState) {
		if r.recentlyHeard(peer) && peer.receivedHeartbeat != nil && peer.receivedHeartbeat.Leader == other && peer.receivedHeartbeat.Term > term {
			name, term = other, peer.receivedHeartbeat.Term
		}
	}
	for _, other := range r.otherMembers {
		consider(other, r.peers[other])
	}
	for _, other := range r.newerMembers() {
		consider(other, r.outsiders[other])
	}
	return name
}

// awaitsFounders tells whether, at the first start of all, founders may yet come: those that are
// there as the first epoch begins need no change of the members of their own.
func (r *Replica) awaitsFounders() bool {
	if r.highestTerm > 0 || r.now-r.clockStartedAt > r.config.HeartbeatTimeout {
		return false
	}
	for _, name := range r.otherMembers {
		if peer := r.peers[name]; !peer.heard || !peer.founder {
			return true
		}
	}
	return false
}

// caughtUp tells whether this replica has what another leader has committed, so that it takes over
// without a gap.
func (r *Replica) caughtUp() bool {
	name := r.leader()
	peer := r.peers[name]
	return peer == nil || peer.receivedHeartbeat.Term == r.term && r.sequence >= peer.receivedHeartbeat.Committed
}

// durableVotedTerm is the highest epoch for which a vote is on disk.
func (r *Replica) durableVotedTerm() uint64 {
	for _, write := range r.pendingWrites {
		if write.votedTerm != 0 {
			return write.votedTerm - 1
		}
	}
	return r.votedTerm
}

func (r *Replica) becomeFollower() {
	r.role, r.roleSince = roleFollower, r.now
	for _, id := range slices.Sorted(maps.Keys(r.pendingProposals)) {
		requesters := r.pendingProposals[id]
		for _, request := range requesters {
			r.answerProposal(request, &schema.ProposalReply{Ticket: request.ticket, Undecided: true})
		}
		delete(r.pendingProposals, id)
	}
	for _, request := range r.pendingReads {
		r.answerRead(request.requester, &schema.ReadIndexReply{Ticket: request.ticket, Undecided: true})
	}
	r.pendingReads = nil
}

// recordVote lets no epoch below count here any more, and this one only for one replica.
func (r *Replica) recordVote(term uint64, candidate string) {
	r.votedTerm, r.votedFor, r.highestTerm = term, candidate, max(r.highestTerm, term)
}

// becomeCandidate asks a majority to vote for an epoch of this replica's own.
func (r *Replica) becomeCandidate() {
	r.becomeFollower()
	// Epochs are dealt out by replica, so that two members seldom ask for the same one.
	members := uint64(len(r.membership.Members))
	term := (max(r.highestTerm, r.votedTerm)/members+1)*members + uint64(max(0, memberIndex(r.membership, r.config.Name)))
	r.role, r.roleSince = roleCandidate, r.now
	r.recordVote(term, r.config.Name)
	for _, peer := range r.peers {
		peer.vote, peer.versionReported, peer.term, peer.acked, peer.sent, peer.confirmedRound = nil, false, 0, 0, 0, 0
	}
	for _, peer := range r.outsiders {
		peer.versionReported, peer.term, peer.acked, peer.sent = false, 0, 0, 0
	}
	write := pendingWrite{votedTerm: term}
	for _, name := range r.otherMembers {
		write.messages = append(write.messages, r.voteRequest(name))
	}
	r.persist(&schema.Record{VotedTerm: term, VotedFor: r.config.Name}, write)
}

func (r *Replica) voteRequest(to string) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{To: to, Body: &schema.ReplicaMessage_VoteRequest{VoteRequest: &schema.VoteRequest{Term: r.votedTerm, Last: r.lastVersion(), Membership: r.membership.EffectiveFrom}}}
}

func (r *Replica) requestVote(name string) { r.send(name, r.voteRequest(name)) }

// lastVersion is what this replica has taken.
func (r *Replica) lastVersion() *schema.Version {
	return &schema.Version{Term: r.term, Sequence: r.sequence}
}

func (r *Replica) onVoteRequest(from string, request *schema.VoteRequest) {
	if !r.isMember() {
		return
	}
	if request.Term < r.votedTerm || request.Term == r.votedTerm && r.votedFor != from {
		r.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Vote{Vote: &schema.Vote{Term: request.Term, Refused: true, HigherTerm: r.votedTerm}}})
		return
	}
	if request.Term == r.votedTerm && r.durableVotedTerm() >= r.votedTerm {
		r.sendVote(from, request)
		return
	}
	if request.Term > r.votedTerm {
		r.becomeFollower()
	}
	r.recordVote(request.Term, from)
	r.persist(&schema.Record{VotedTerm: request.Term, VotedFor: from}, pendingWrite{votedTerm: request.Term, voteRequest: request, candidate: from})
}

// sendVote tells a candidate that it has this replica's vote, and what it lacks of the state here.
func (r *Replica) sendVote(to string, request *schema.VoteRequest) {
	vote := &schema.Vote{Term: request.Term, Last: r.lastVersion()}
	switch {
	case !config.Newer(vote.Last, request.Last):
	case request.Last.GetTerm() == r.term && request.Last.GetSequence() >= r.baseSequence:
		vote.Entries = r.entries[request.Last.GetSequence()-r.baseSequence:]
	default:
		vote.Snapshot = r.snapshot()
	}
	r.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Vote{Vote: vote}})
}

func (r *Replica) onVote(peer *peerState, vote *schema.Vote) {
	if vote.Refused {
		r.highestTerm = max(r.highestTerm, vote.HigherTerm)
		return
	}
	if r.role == roleCandidate && vote.Term == r.votedTerm {
		peer.vote, peer.lastKnownVersion, peer.versionReported = vote, vote.Last, true
		r.countVotes()
	}
}

// countVotes counts the votes. The newest state among them is taken whole, and with it who the members
// are; with the votes of a majority of those, this replica's epoch begins upon that state.
func (r *Replica) countVotes() {
	if r.durableVotedTerm() < r.votedTerm {
		return
	}
	for _, name := range r.otherMembers {
		if peer := r.peers[name]; peer != nil && peer.vote != nil && config.Newer(peer.vote.Last, r.lastVersion()) && !r.hasFault(faultStaleLeader) {
			r.adoptVote(peer.vote)
		}
	}
	if !r.isMember() {
		r.becomeFollower()
		return
	}
	votes := 1
	for _, name := range r.otherMembers {
		if r.peers[name].vote != nil {
			votes++
		}
	}
	if votes < r.majority() {
		return
	}
	r.role, r.roleSince, r.termStartVersion = roleLeaderElect, r.now, r.lastVersion()
	r.term = r.votedTerm
	if members := r.bindFounders(); members == r.membership {
		r.persist(&schema.Record{Term: r.term}, pendingWrite{})
	} else {
		members.EffectiveFrom = r.lastVersion()
		snapshot := r.snapshot()
		snapshot.Membership = members
		r.restoreSnapshot(snapshot)
		r.termStartVersion = &schema.Version{Term: r.term, Sequence: r.sequence}
		r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
	}
	for _, name := range r.otherMembers {
		r.replicate(name, r.peers[name])
	}
}

// bindFounders is the members with every founder that is known bound to its folder; those that were
// counted must be.
func (r *Replica) bindFounders() *schema.Membership {
	members := r.membership
	for _, member := range r.membership.Members {
		incarnation := r.incarnation
		if member.Id != r.config.Name {
			peer := r.peers[member.Id]
			if peer.incarnation == 0 || !peer.founder {
				continue
			}
			incarnation = peer.incarnation
		}
		if member.Incarnation == 0 {
			members = withMember(members, &schema.CoreMember{Id: member.Id, Address: r.memberAddress(member.Id), Incarnation: incarnation})
		}
	}
	return members
}

// adoptVote takes from a vote what this replica lacks.
func (r *Replica) adoptVote(vote *schema.Vote) {
	if vote.Snapshot != nil {
		r.restoreSnapshot(vote.Snapshot)
		r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
		return
	}
	if appended := r.appendContiguous(vote.Entries); len(appended) > 0 {
		r.persist(&schema.Record{Entries: appended}, pendingWrite{})
	}
}
