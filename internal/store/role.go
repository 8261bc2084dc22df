package store

import (
	"maps"
	"slices"
)

// role is the part that a replica plays in the current term. Only the become functions of this file change it.
type role int

const (
	// roleFollower accepts entries from the leader. A replica that is no member is a follower too.
	roleFollower role = iota
	// roleCandidate requests votes for a new term of its own.
	roleCandidate
	// roleLeaderElect has the votes of a majority and replicates the beginning of its term. It admits no changes
	// until a commit quorum has that beginning on disk (Raft: a leader before the first entry of its term commits).
	roleLeaderElect
	// roleLeader admits changes and answers reads.
	roleLeader
)

// leads reports whether this replica was elected in its term, and so replicates its content to the others.
func (r *Replica) leads() bool { return r.role == roleLeaderElect || r.role == roleLeader }

// becomeFollower ends a campaign or leadership. Pending proposals and reads are answered as undecided: a later
// leader may still commit the proposals.
func (r *Replica) becomeFollower() {
	r.role, r.roleSince = roleFollower, r.now
	for _, id := range slices.Sorted(maps.Keys(r.pendingProposals)) {
		for _, request := range r.pendingProposals[id] {
			r.answerProposal(request, undecidedProposal(request.ticket))
		}
		delete(r.pendingProposals, id)
	}
	for _, read := range r.pendingReads {
		r.answerRead(read.requester, undecidedRead(read.ticket))
	}
	r.pendingReads = nil
}

// becomeCandidate makes this replica vote for itself in a new term. The caller then calls campaign.
func (r *Replica) becomeCandidate() {
	r.becomeFollower()
	r.role, r.roleSince = roleCandidate, r.now
	r.recordVote(r.nextCampaignTerm(), r.config.Name)
	for _, peer := range r.peers {
		peer.resetForTerm()
	}
	for _, nonMember := range r.nonMembers {
		nonMember.resetForTerm()
	}
}

// nextCampaignTerm returns the term for this replica's next campaign, which is above every term seen. The term modulo
// the number of members is this member's index, so that two members seldom campaign in the same term.
func (r *Replica) nextCampaignTerm() uint64 {
	members := uint64(len(r.membership.Members))
	index := uint64(max(0, memberIndex(r.membership, r.config.Name)))
	return (max(r.highestTerm, r.votedTerm)/members+1)*members + index
}

// becomeLeaderElect begins the term that a majority voted for, with the current content of this replica. The caller
// has adopted the newest content among the votes.
func (r *Replica) becomeLeaderElect() {
	r.role, r.roleSince = roleLeaderElect, r.now
	r.termStartVersion = r.lastVersion()
	r.term = r.votedTerm
}

// becomeLeader completes an election once the beginning of the term is durable at a commit quorum. roleSince remains
// the time of the election; no deadline of a leader depends on it.
func (r *Replica) becomeLeader() { r.role = roleLeader }

// recordVote votes for a candidate in a term. The caller persists the vote before it is sent.
//
// Invariant: votedTerm never decreases, and within one term votedFor changes at most to the replica that was elected
// in that term.
func (r *Replica) recordVote(term uint64, candidate string) {
	r.votedTerm, r.votedFor = term, candidate
	r.highestTerm = max(r.highestTerm, term)
}

// durableVotedTerm returns a term such that every vote that this replica cast in that term or an earlier one is durable.
// Votes are cast in ascending terms and written in order, so all votes before the first pending one are on disk.
func (r *Replica) durableVotedTerm() uint64 {
	for _, write := range r.pendingWrites {
		if write.votedTerm != 0 {
			return write.votedTerm - 1
		}
	}
	return r.votedTerm
}
