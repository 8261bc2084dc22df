package store

import (
	"slices"

	"meadowhinge/schema"
)

// Who should lead: the first member, in their order, that is fit and reaches a majority in both directions. All
// members judge by the heartbeats that they exchange, so they seldom disagree; where they do, votes decide.

// shouldCampaign reports whether this member is the one to campaign now.
func (r *Replica) shouldCampaign() bool {
	campaigning := r.role == roleCandidate || r.role == roleLeaderElect
	campaignTimedOut := campaigning && r.now-r.roleSince > r.config.StallTimeout/campaignsPerStallTimeout
	// One campaign in each heartbeat timeout keeps two members that see the links differently from deposing each
	// other in turn. Where roleSince is 0 there was none yet to wait after.
	backoffElapsed := r.role == roleFollower && (r.now-r.roleSince > r.config.HeartbeatTimeout || r.roleSince == 0)
	return (campaignTimedOut || backoffElapsed) &&
		len(r.peersWithNewerMembership()) == 0 &&
		r.preferredLeader() == r.config.Name &&
		(campaignTimedOut || r.caughtUp()) &&
		!r.awaitsFounders()
}

// unfit reports whether this replica must not lead: it is no member, or its disk stalls or fails.
func (r *Replica) unfit() bool {
	stalled := len(r.pendingWrites) > 0 && r.now-r.pendingWrites[0].startedAt > r.config.StallTimeout
	return !r.isMember() || stalled || r.diskFailed
}

// preferredLeader names the member that should lead: the first in their order that reaches a majority;
// empty if none does.
func (r *Replica) preferredLeader() string {
	for _, member := range r.membership.Members {
		if r.reachesMajority(member.Id) {
			return member.Id
		}
	}
	return ""
}

// reachesMajority reports whether a member is fit and has links in both directions to a majority, itself
// included. One-way links do not count: a member that can only send or only receive must not lead.
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
		if r.reportsInability(name) {
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

// lastHeartbeatOf is the last complete heartbeat of another member that counts as alive, else nil.
func (r *Replica) lastHeartbeatOf(name string) *schema.Heartbeat {
	if peer := r.peers[name]; peer != nil && r.recentlyHeard(peer) {
		return peer.receivedHeartbeat
	}
	return nil
}

// reportsInability reports whether a live member must not lead, by its last heartbeat.
func (r *Replica) reportsInability(name string) bool {
	heartbeat := r.lastHeartbeatOf(name)
	return heartbeat != nil && (heartbeat.Unfit || heartbeat.MembershipBehind)
}

// collectLinksOf adds to linked the members that have a link in both directions to another member: by that
// member's own report, by this replica's view, and by the reports of the others.
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

// leader names the replica that does lead, as far as is known here: the one of the highest term that
// reports its own leadership; empty if there is none.
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
		consider(other, r.outsiders[other])
	}
	return name
}

// caughtUp reports whether this replica has everything that the current leader has committed, so that it takes
// over without copying state first. It is true where no other member leads.
func (r *Replica) caughtUp() bool {
	peer := r.peers[r.leader()]
	if peer == nil {
		return true
	}
	return peer.receivedHeartbeat.Term == r.term && r.sequence >= peer.receivedHeartbeat.Committed
}

// awaitsFounders reports whether, at the first start of a core, a founder may still appear. Founders that are
// heard when the first term begins are bound to their data folders by it; a later one needs a membership change.
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
