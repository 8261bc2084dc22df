package store

import (
	"maps"
	"slices"

	"meadowhinge/schema"
)

type role int

const (
	roleFollower role = iota
	roleCandidate
	roleLeaderElect
	roleLeader
)

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

// recordVote lets no epoch below count here any more, and this one only for one replica.
func (r *Replica) recordVote(term uint64, candidate string) {
	r.votedTerm, r.votedFor, r.highestTerm = term, candidate, max(r.highestTerm, term)
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
