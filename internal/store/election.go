package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

func (r *Replica) voteRequest(to string) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{To: to, Body: &schema.ReplicaMessage_VoteRequest{VoteRequest: &schema.VoteRequest{Term: r.votedTerm, Last: r.lastVersion(), Membership: r.membership.EffectiveFrom}}}
}

func (r *Replica) requestVote(name string) { r.send(name, r.voteRequest(name)) }

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
