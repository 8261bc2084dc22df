package store

import "meadowhinge/schema"

// How the leader changes the membership.

const (
	// removeAfterTimeouts is how many heartbeat timeouts a member may be unheard before a learner that is ready
	// may replace it.
	removeAfterTimeouts = 2
	// recentTimeoutDivisor divides the heartbeat timeout into the time within which the members that remain
	// must have been heard for one to be removed.
	recentTimeoutDivisor = 2
	// maxLagDivisor divides MaxEntries into the number of entries that a learner may lack and yet be added.
	maxLagDivisor = 8
)

// reconcileMembership proposes the next membership change that is due, if there is one. It binds founders to their
// data folders first; then it makes room for, or adds, the first learner that has caught up.
//
// Invariant (thesis, section 4.1, and the erratum of 2015): a change is proposed only once the membership before it
// is committed and the leader has committed in its own term.
func (r *Replica) reconcileMembership() {
	if r.role != roleLeader || r.unfit() {
		return
	}
	if r.committedTerm != r.term || r.committedSequence < r.membership.EffectiveFrom.GetSequence() {
		return
	}
	if bound := r.withOneFounderBound(); bound != nil {
		r.proposeMembership(bound)
		return
	}
	for _, name := range r.learners() {
		if learner := r.outsiders[name]; r.hasCaughtUp(learner) {
			r.reconcileLearner(name, learner)
			return
		}
	}
}

// withOneFounderBound is the membership with one more founder bound to its data folder, or nil.
func (r *Replica) withOneFounderBound() *schema.Membership {
	for _, member := range r.membership.Members {
		peer := r.peers[member.Id]
		if member.Incarnation == 0 && peer != nil && r.recentlyHeard(peer) && peer.founder {
			return withMember(r.membership, r.newMember(member.Id, peer.incarnation))
		}
	}
	return nil
}

// hasCaughtUp reports whether a learner has this term's beginning, and nearly all entries, on disk.
func (r *Replica) hasCaughtUp(learner *peerState) bool {
	return learner.term == r.term && learner.acked+uint64(r.config.MaxEntries/maxLagDivisor) >= r.sequence
}

// reconcileLearner makes one step towards adding a learner that has caught up.
func (r *Replica) reconcileLearner(name string, learner *peerState) {
	switch {
	case memberIndex(r.membership, name) >= 0:
		// The member of this name came back with another data folder, so it no longer counts for what the old one held.
		r.removeMember(name)
	case learner.expandsMembership:
		expanded := withMember(r.membership, r.newMember(name, learner.incarnation))
		expanded.TargetSize++
		r.proposeMembership(expanded)
	case len(r.membership.Members) < int(r.membership.TargetSize):
		r.proposeMembership(withMember(r.membership, r.newMember(name, learner.incarnation)))
	default:
		if unresponsive := r.longestUnresponsive(); unresponsive != "" {
			r.removeMember(unresponsive)
		}
	}
}

// removeMember proposes a membership without a member, if a commit quorum of the remaining ones was heard just now:
// with fewer members each of them is needed more, so none is removed while another is being lost.
func (r *Replica) removeMember(name string) {
	remaining := withoutMember(r.membership, name)
	heard := 1
	for _, other := range r.otherMembers {
		peer := r.peers[other]
		if other != name && peer.heard && r.now-peer.heardAt <= r.config.HeartbeatTimeout/recentTimeoutDivisor {
			heard++
		}
	}
	if heard >= commitQuorum(remaining, r.config.ToleratedLosses) {
		r.proposeMembership(remaining)
	}
}

// longestUnresponsive names the member that has been unheard for longest, and for more than
// removeAfterTimeouts; empty if there is none.
func (r *Replica) longestUnresponsive() (name string) {
	longest := removeAfterTimeouts * r.config.HeartbeatTimeout
	for _, other := range r.otherMembers {
		since := r.clockStartedAt
		if peer := r.peers[other]; peer.heard {
			since = peer.heardAt
		}
		if unheard := r.now - since; unheard > longest {
			name, longest = other, unheard
		}
	}
	return name
}

// proposeMembership appends a membership, a copy of the caller's own, which counts from this entry on.
func (r *Replica) proposeMembership(membership *schema.Membership) {
	version := r.nextVersion()
	membership.EffectiveFrom = version
	id := "members-" + versionText(version)
	r.appendAsLeader(&schema.Entry{
		Version:    version,
		ChangeId:   id,
		Membership: membership,
		Outcome:    &schema.ChangeOutcome{ChangeId: id, Version: version, Ruling: schema.Ruling_RULING_ACCEPTED},
	})
}
