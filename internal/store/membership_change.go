package store

import (
	"meadowhinge/schema"
)

// Ratios to the silence bound and to the entries kept.
const (
	removeAfterTimeouts  = 2 // a replica unheard for so long gives its place to one that stands ready
	recentTimeoutDivisor = 2 // of the silence bound within which those must have been heard that are needed
	maxLagDivisor        = 8 // of the entries kept that one may lack and yet be ready
)

// reconcileMembership makes the next change of the members that is due, as the leader. One is made only once the
// members before it are committed under this epoch.
func (r *Replica) reconcileMembership() {
	if r.role != roleLeader || r.unfit() || r.committedTerm != r.term || r.committedSequence < r.membership.EffectiveFrom.GetSequence() {
		return
	}
	for _, member := range r.membership.Members {
		if peer := r.peers[member.Id]; member.Incarnation == 0 && peer != nil && r.recentlyHeard(peer) && peer.founder {
			r.proposeMembership(withMember(r.membership, &schema.CoreMember{Id: member.Id, Address: r.memberAddress(member.Id), Incarnation: peer.incarnation}))
			return
		}
	}
	for _, name := range r.learners() {
		outsider := r.outsiders[name]
		if outsider.term != r.term || outsider.acked+uint64(r.config.MaxEntries/maxLagDivisor) < r.sequence {
			continue
		}
		member := &schema.CoreMember{Id: name, Address: r.memberAddress(name), Incarnation: outsider.incarnation}
		switch {
		case memberIndex(r.membership, name) >= 0:
			// Its folder of before is gone: it no longer counts for what was on it.
			r.removeMember(name)
		case outsider.expandsMembership:
			expanded := withMember(r.membership, member)
			expanded.TargetSize++
			r.proposeMembership(expanded)
		case len(r.membership.Members) < int(r.membership.TargetSize):
			r.proposeMembership(withMember(r.membership, member))
		default:
			if longestSilent := r.longestUnresponsive(); longestSilent != "" {
				r.removeMember(longestSilent)
			}
		}
		return
	}
}

// removeMember lets a replica count no more, if as many of the others as are then needed were heard just
// now: fewer members need each other more, so it is not done while another is being lost.
func (r *Replica) removeMember(name string) {
	remaining := withoutMember(r.membership, name)
	heard := 1
	for _, other := range r.otherMembers {
		if peer := r.peers[other]; other != name && peer.heard && r.now-peer.heardAt <= r.config.HeartbeatTimeout/recentTimeoutDivisor {
			heard++
		}
	}
	if heard >= commitQuorum(remaining, r.config.ToleratedLosses) {
		r.proposeMembership(remaining)
	}
}

// longestUnresponsive names the replica that has not been heard for longest, if for too long.
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

// proposeMembership lets other members count from the next place in the order on.
func (r *Replica) proposeMembership(members *schema.Membership) {
	version := &schema.Version{Term: r.term, Sequence: r.sequence + 1}
	members.EffectiveFrom = version
	id := "members-" + versionText(version)
	r.appendAsLeader(&schema.Entry{Version: version, ChangeId: id, Membership: members,
		Outcome: &schema.ChangeOutcome{ChangeId: id, Version: version, Ruling: schema.Ruling_RULING_ACCEPTED}})
}
