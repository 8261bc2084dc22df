package store

import (
	"slices"
)

// unfit tells that this replica must not hold leadership, nor be counted upon for now.
func (r *Replica) unfit() bool {
	stalled := len(r.pendingWrites) > 0 && r.now-r.pendingWrites[0].startedAt > r.config.StallTimeout
	return !r.isMember() || stalled || r.diskFailed
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
