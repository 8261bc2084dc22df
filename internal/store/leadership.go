package store

import (
	"slices"

	"meadowhinge/schema"
)

// This file determines which member should lead: the first in member order that is fit to lead and reaches a majority
// in both directions. All members decide from the heartbeats that they exchange, so they seldom disagree. If they do,
// the votes decide.

// shouldCampaign reports whether this member should campaign now.
func (r *Replica) shouldCampaign() bool {
	campaigning := r.role == roleCandidate || r.role == roleLeaderElect
	campaignTimedOut := campaigning && r.now-r.roleSince > r.config.StallTimeout/campaignsPerStallTimeout
	// At most one campaign per heartbeat timeout prevents two members that see the links differently from deposing
	// each other in turn. If roleSince is 0, there is no earlier campaign to wait for.
	backoffElapsed := r.role == roleFollower && (r.now-r.roleSince > r.config.HeartbeatTimeout || r.roleSince == 0)
	return (campaignTimedOut || backoffElapsed) &&
		len(r.peersWithNewerMembership()) == 0 &&
		r.preferredLeader() == r.config.Name &&
		(campaignTimedOut || r.caughtUp()) &&
		!r.awaitsFounders()
}

// unfit reports whether this replica must not lead, because it is not a member or its disk stalls or fails.
func (r *Replica) unfit() bool {
	stalled := len(r.pendingWrites) > 0 && r.now-r.pendingWrites[0].startedAt > r.config.StallTimeout
	return !r.isMember() || stalled || r.diskFailed
}

// preferredLeader returns the name of the member that should lead, which is the first in member order that reaches a
// majority; empty if none does.
func (r *Replica) preferredLeader() string {
	for _, member := range r.membership.Members {
		if r.reachesMajority(member.Id) {
			return member.Id
		}
	}
	return ""
}

// reachesMajority reports whether a member is fit to lead and has links in both directions to a majority, counting
// itself. One-way links do not count: a member that can only send or only receive must not lead.
func (r *Replica) reachesMajority(name string) bool {
	linked := map[string]bool{}
	if name == r.config.Name {
		if r.unfit() {
			return false
		}
		for _, other := range r.mutualPeers() {
			linked[other] = true
		}
	} else {
		if r.reportsUnfit(name) {
			return false
		}
		r.collectLinksOf(name, linked)
	}
	links := 0
	for _, member := range r.membership.Members {
		if member.Id != name && linked[member.Id] {
			links++
		}
	}
	return links+1 >= r.majority()
}

// lastHeartbeatOf returns the last complete heartbeat of another member, or nil if that member does not count as alive.
func (r *Replica) lastHeartbeatOf(name string) *schema.Heartbeat {
	if peer := r.peers[name]; peer != nil && r.recentlyHeard(peer) {
		return peer.receivedHeartbeat
	}
	return nil
}

// reportsUnfit reports whether the last heartbeat of a live member says that it must not lead.
func (r *Replica) reportsUnfit(name string) bool {
	heartbeat := r.lastHeartbeatOf(name)
	return heartbeat != nil && (heartbeat.Unfit || heartbeat.MembershipBehind)
}

// collectLinksOf adds to linked every member that has a link in both directions to the named member, according to that
// member, to this replica or to the member at the other end.
func (r *Replica) collectLinksOf(name string, linked map[string]bool) {
	linked[r.config.Name] = slices.Contains(r.mutualPeers(), name)
	for _, other := range r.otherMembers {
		heartbeat := r.lastHeartbeatOf(other)
		switch {
		case heartbeat == nil:
		case other == name:
			for _, linkedName := range heartbeat.Mutual {
				linked[linkedName] = true
			}
		case slices.Contains(heartbeat.Mutual, name):
			linked[other] = true
		}
	}
}

// leader returns the name of the replica that leads, as far as this replica knows: of those that report their own
// leadership, the one with the highest term. It is empty if there is none.
func (r *Replica) leader() string {
	name, term := "", uint64(0)
	if r.role == roleLeader {
		name, term = r.config.Name, r.term
	}
	consider := func(other string, peer *peerState) {
		heartbeat := peer.receivedHeartbeat
		if r.recentlyHeard(peer) && heartbeat != nil && heartbeat.Leader == other && heartbeat.Term > term {
			name, term = other, heartbeat.Term
		}
	}
	for _, other := range r.otherMembers {
		consider(other, r.peers[other])
	}
	for _, other := range r.peersWithNewerMembership() {
		consider(other, r.nonMembers[other])
	}
	return name
}

// caughtUp reports whether this replica has everything that the current leader has committed, so that it can take over
// without copying state first. It is true if no other member leads.
func (r *Replica) caughtUp() bool {
	peer := r.peers[r.leader()]
	if peer == nil {
		return true
	}
	return peer.receivedHeartbeat.Term == r.term && r.sequence >= peer.receivedHeartbeat.Committed
}

// awaitsFounders reports whether to delay the first campaign of a core because a founder may still appear. The first
// term binds the founders heard so far to their data folders, while binding a later one takes a membership change. The
// delay ends one heartbeat timeout after the start.
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
