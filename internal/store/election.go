package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// This file collects the votes of a majority for a candidate and, with them, the newest content among the voters.
// Everything committed is on the disks of a majority, and therefore on the disk of at least one voter.

// campaign persists the vote that becomeCandidate cast, and requests the votes of the other members once it is durable.
func (r *Replica) campaign() {
	write := pendingWrite{votedTerm: r.votedTerm}
	for _, name := range r.otherMembers {
		write.messages = append(write.messages, r.voteRequest(name))
	}
	r.persist(&schema.Record{VotedTerm: r.votedTerm, VotedFor: r.config.Name}, write)
}

// voteRequest returns a request for a member's vote. Its receiver is set, so that it can wait in a pendingWrite.
func (r *Replica) voteRequest(to string) *schema.ReplicaMessage {
	message := voteRequestMessage(&schema.VoteRequest{
		Term:       r.votedTerm,
		Last:       r.lastVersion(),
		Membership: r.membership.EffectiveFrom,
	})
	message.To = to
	return message
}

// onVoteRequest votes for a candidate, unless this replica has already voted for another one in that term, or in a
// higher term. A replica that is not a member does not answer.
func (r *Replica) onVoteRequest(from string, request *schema.VoteRequest) {
	if !r.isMember() {
		return
	}
	if request.Term < r.votedTerm || request.Term == r.votedTerm && r.votedFor != from {
		r.send(from, voteMessage(&schema.Vote{Term: request.Term, Refused: true, HigherTerm: r.votedTerm}))
		return
	}
	if request.Term == r.votedTerm && r.durableVotedTerm() >= r.votedTerm {
		r.sendVote(from, request) // a repeated request: the earlier answer may have been lost
		return
	}
	if request.Term > r.votedTerm {
		r.becomeFollower()
	}
	r.recordVote(request.Term, from)
	record := &schema.Record{VotedTerm: request.Term, VotedFor: from}
	r.persist(record, pendingWrite{votedTerm: request.Term, voteRequest: request, candidate: from})
}

// sendVote sends a vote that is durable, with the part of this replica's content that the candidate lacks.
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

// onVote handles a member's answer to a VoteRequest of this replica.
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

// countVotes adopts the newest content among the votes. If it then has the votes of a majority, by the membership in
// that content, it begins this replica's term. A candidate calls it after each vote and each finished write. Its own
// vote counts only once it is durable.
func (r *Replica) countVotes() {
	if r.durableVotedTerm() < r.votedTerm {
		return
	}
	for _, name := range r.otherMembers {
		// Adopting a vote may have changed the membership, so a name may no longer have a peer.
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

// adoptVote installs the content from a vote that this replica lacks.
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

// persistTermStart persists the beginning of the term in which this replica was elected. If that binds founders to
// their data folders, the membership changes, and a snapshot is written because no entry carries the new membership.
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
	// The content of the others is no longer a prefix of this one, so they get the snapshot.
	r.termStartVersion = r.lastVersion()
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
}

// withFoundersBound returns a copy of the membership in which every founder heard so far is bound to the incarnation of
// its data folder, or the membership itself if nothing changes. A founder whose vote counted must be bound: otherwise
// its folder could be lost and come back empty as the same member.
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
