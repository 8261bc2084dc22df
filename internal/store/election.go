package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// How a candidate gets the votes of a majority and, with them, the newest content among the voters. Everything
// committed is on the disks of a majority, and so on that of at least one voter.

// campaign persists the vote that becomeCandidate cast, and requests the others' votes once it is durable.
func (r *Replica) campaign() {
	write := pendingWrite{votedTerm: r.votedTerm}
	for _, name := range r.otherMembers {
		write.messages = append(write.messages, r.voteRequest(name))
	}
	r.persist(&schema.Record{VotedTerm: r.votedTerm, VotedFor: r.config.Name}, write)
}

// voteRequest is a request for a vote, addressed so that it can wait in a pendingWrite.
func (r *Replica) voteRequest(to string) *schema.ReplicaMessage {
	message := voteRequestMessage(&schema.VoteRequest{
		Term:       r.votedTerm,
		Last:       r.lastVersion(),
		Membership: r.membership.EffectiveFrom,
	})
	message.To = to
	return message
}

// onVoteRequest votes for a candidate, unless this replica has voted for another one or a higher term.
func (r *Replica) onVoteRequest(from string, request *schema.VoteRequest) {
	if !r.isMember() {
		return
	}
	if request.Term < r.votedTerm || request.Term == r.votedTerm && r.votedFor != from {
		r.send(from, voteMessage(&schema.Vote{Term: request.Term, Refused: true, HigherTerm: r.votedTerm}))
		return
	}
	if request.Term == r.votedTerm && r.durableVotedTerm() >= r.votedTerm {
		r.sendVote(from, request) // a repeated request; the vote before it may have been lost
		return
	}
	if request.Term > r.votedTerm {
		r.becomeFollower()
	}
	r.recordVote(request.Term, from)
	record := &schema.Record{VotedTerm: request.Term, VotedFor: from}
	r.persist(record, pendingWrite{votedTerm: request.Term, voteRequest: request, candidate: from})
}

// sendVote sends a durable vote, with whatever of this replica's content the candidate lacks.
func (r *Replica) sendVote(to string, request *schema.VoteRequest) {
	vote := &schema.Vote{Term: request.Term, Last: r.lastVersion()}
	switch {
	case !config.Newer(vote.Last, request.Last):
		// The candidate lacks nothing.
	case request.Last.GetTerm() == r.term && request.Last.GetSequence() >= r.baseSequence:
		vote.Entries = r.entries[request.Last.GetSequence()-r.baseSequence:]
	default:
		vote.Snapshot = r.snapshot()
	}
	r.send(to, voteMessage(vote))
}

// onVote handles the answer of a member to this replica's VoteRequest.
func (r *Replica) onVote(peer *peerState, vote *schema.Vote) {
	if vote.Refused {
		r.highestTerm = max(r.highestTerm, vote.HigherTerm)
		return
	}
	if r.role != roleCandidate || vote.Term != r.votedTerm {
		return
	}
	peer.vote = vote
	peer.lastKnownVersion, peer.versionReported = vote.Last, true
	r.countVotes()
}

// countVotes adopts the newest content among the votes and, with the votes of a majority of the members in that
// content, begins this replica's term. It runs at each vote and each finished write of a candidate; the
// candidate's own vote counts only once it is durable.
func (r *Replica) countVotes() {
	if r.durableVotedTerm() < r.votedTerm {
		return
	}
	for _, name := range r.otherMembers {
		// Adopting a vote may change the members, so a name may have no peer any more.
		peer := r.peers[name]
		if peer != nil && peer.vote != nil && config.Newer(peer.vote.Last, r.lastVersion()) && !r.hasFault(faultStaleLeader) {
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
	r.becomeLeaderElect()
	r.persistTermStart()
	for _, name := range r.otherMembers {
		r.replicate(name, r.peers[name])
	}
}

// adoptVote takes over from a vote the content that this replica lacks.
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

// persistTermStart persists the beginning of a term that this replica was elected in. Founders that become bound
// by it change the membership, which takes a snapshot: there is no entry to carry it.
func (r *Replica) persistTermStart() {
	bound := r.withFoundersBound()
	if bound == r.membership {
		r.persist(&schema.Record{Term: r.term}, pendingWrite{})
		return
	}
	bound.EffectiveFrom = r.lastVersion()
	snapshot := r.snapshot()
	snapshot.Membership = bound
	r.restoreSnapshot(snapshot)
	// The others' content is no prefix of this one any more: they get the snapshot.
	r.termStartVersion = r.lastVersion()
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
}

// withFoundersBound returns the membership with every founder heard so far bound to the incarnation of its data
// folder, or the membership itself if nothing changes. A founder whose vote counted must be bound, so that its
// folder, once lost, does not come back empty as the same member.
func (r *Replica) withFoundersBound() *schema.Membership {
	bound := r.membership
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
			bound = withMember(bound, r.newMember(member.Id, incarnation))
		}
	}
	return bound
}
