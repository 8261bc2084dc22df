package store

import "meadowhinge/schema"

// This file changes the membership, which only the leader does.

const (
	// removeAfterTimeouts is the number of heartbeat timeouts after which a learner that has caught up may replace a
	// member that is not heard.
	removeAfterTimeouts = 2
	// recentTimeoutDivisor divides the heartbeat timeout into the time within which the remaining members must have
	// been heard before one is removed.
	recentTimeoutDivisor = 2
	// maxLagDivisor divides MaxEntries into the number of entries that a learner may lack when it is added.
	maxLagDivisor = 8
)

// reconcileMembership proposes the next membership change that is due, if any. It first binds founders to their data
// folders. Then it adds the first learner that has caught up, or removes a member to make room for it.
//
// Invariant (thesis, section 4.1, and the erratum of 2015): a change is proposed only once the previous membership is
// committed and the leader has committed in its own term.
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
		if learner := r.nonMembers[name]; r.hasCaughtUp(learner) {
			r.reconcileLearner(name, learner)
			return
		}
	}
}

// withOneFounderBound returns a copy of the membership with one more founder bound to its data folder, or nil if no
// unbound founder is heard.
func (r *Replica) withOneFounderBound() *schema.Membership {
	for _, member := range r.membership.Members {
		peer := r.peers[member.Id]
		if member.Incarnation == 0 && peer != nil && r.recentlyHeard(peer) && peer.founder {
			return withMember(r.membership, r.newMember(member.Id, peer.incarnation))
		}
	}
	return nil
}

// hasCaughtUp reports whether a learner has the beginning of this term and nearly all entries on disk; see
// maxLagDivisor.
func (r *Replica) hasCaughtUp(learner *peerState) bool {
	return learner.term == r.term && learner.acked+uint64(r.config.MaxEntries/maxLagDivisor) >= r.sequence
}

// reconcileLearner takes one step towards adding a learner that has caught up.
func (r *Replica) reconcileLearner(name string, learner *peerState) {
	switch {
	case memberIndex(r.membership, name) >= 0:
		// The member of this name came back with another data folder, so it must not count for what the old one held.
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

// removeMember proposes a membership without a member, if a commit quorum of the remaining members has been heard
// recently. With fewer members the core depends more on each of them, so none is removed while another may be failing.
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

// longestUnresponsive returns the name of the member that has not been heard for the longest time, if that is more than
// removeAfterTimeouts heartbeat timeouts; empty if there is none.
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

// proposeMembership appends an entry with a new membership, which is in force from this entry on. The membership must
// not be part of the content yet: proposeMembership modifies it.
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
