package store

import (
	"maps"
	"slices"
)

// role is what a replica does in the current term. Only the become functions of this file set it.
type role int

const (
	// roleFollower accepts entries of whoever leads. A replica that is no member is a follower too.
	roleFollower role = iota
	// roleCandidate asks a majority for votes for a term of its own.
	roleCandidate
	// roleLeaderElect has the votes and replicates its term's beginning, but decides nothing yet: the
	// beginning is not on enough disks (in Raft: a leader before the first entry of its term commits).
	roleLeaderElect
	// roleLeader admits changes and answers reads.
	roleLeader
)

// leads reports whether this replica replicates a term of its own.
func (r *Replica) leads() bool { return r.role == roleLeaderElect || r.role == roleLeader }

// becomeFollower gives up a campaign or leadership. Proposals and reads that wait are answered as
// undecided: a later leader may still commit the proposals.
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

// becomeCandidate votes for this replica itself under a term of its own. The caller then campaigns.
func (r *Replica) becomeCandidate() {
	r.becomeFollower()
	r.role, r.roleSince = roleCandidate, r.now
	r.recordVote(r.nextOwnTerm(), r.config.Name)
	for _, peer := range r.peers {
		peer.resetForTerm()
	}
	for _, outsider := range r.outsiders {
		outsider.resetForTerm()
	}
}

// nextOwnTerm is the lowest term above all seen whose remainder by the number of members is this
// member's index, so that two members seldom campaign for the same one.
func (r *Replica) nextOwnTerm() uint64 {
	members := uint64(len(r.membership.Members))
	index := uint64(max(0, memberIndex(r.membership, r.config.Name)))
	return (max(r.highestTerm, r.votedTerm)/members+1)*members + index
}

// becomeLeaderElect begins the term that a majority voted for, upon the content that this replica holds
// now. The caller has adopted the newest content among the votes.
func (r *Replica) becomeLeaderElect() {
	r.role, r.roleSince = roleLeaderElect, r.now
	r.termStartVersion = r.lastVersion()
	r.term = r.votedTerm
}

// becomeLeader completes an election: the term's beginning is durable at a commit quorum. roleSince
// stays at the time of the election; no deadline of a leader depends on it.
func (r *Replica) becomeLeader() { r.role = roleLeader }

// recordVote votes for a candidate in a term. Invariant: votedTerm never falls, and within one term votedFor
// changes at most to the replica that was elected in it. The caller persists the vote before it is sent.
func (r *Replica) recordVote(term uint64, candidate string) {
	r.votedTerm, r.votedFor = term, candidate
	r.highestTerm = max(r.highestTerm, term)
}

// durableVotedTerm is a bound on the terms that this replica's votes on disk exclude: every vote up to it is
// durable. Votes are cast in ascending terms and written in order, so all below the first that still
// waits to be written are on disk.
func (r *Replica) durableVotedTerm() uint64 {
	for _, write := range r.pendingWrites {
		if write.votedTerm != 0 {
			return write.votedTerm - 1
		}
	}
	return r.votedTerm
}
