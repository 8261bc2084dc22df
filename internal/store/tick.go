package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

// Tick lets time pass.
func (r *Replica) Tick(now time.Duration) []Action {
	r.beginStep(now)
	r.tick()
	return r.actions
}

func (r *Replica) tick() {
	r.expireForwarded()
	if !r.isMember() {
		if r.role != roleFollower {
			r.becomeFollower()
		}
		if len(r.config.StaticMembers) > 0 && r.membership.EffectiveFrom == nil && !r.joinsExisting {
			r.requestState()
		} else {
			r.requestJoin()
		}
		return
	}
	// A leader that cannot reach a majority, or whose disk stalls, lets leadership go.
	if r.role != roleFollower && !r.reachesMajority(r.config.Name) {
		r.becomeFollower()
	}
	stuck := (r.role == roleCandidate || r.role == roleLeaderElect) && r.now-r.roleSince > r.config.StallTimeout/campaignsPerStallTimeout
	// One try a silence bound keeps two members that see the links differently from racing.
	due := stuck || r.role == roleFollower && (r.now-r.roleSince > r.config.HeartbeatTimeout || r.roleSince == 0)
	if due && len(r.newerMembers()) == 0 && r.preferredLeader() == r.config.Name && (stuck || r.caughtUp()) && !r.awaitsFounders() {
		r.becomeCandidate()
	}
	r.purgeTombstones()
	r.reconcileMembership()
	if !r.heartbeatSent || r.now-r.heartbeatSentAt >= r.heartbeatInterval() {
		r.sendHeartbeats()
		r.resendUnacknowledged()
	}
	r.sendUrgentHeartbeats()
	// Whoever reaches no majority may have missed who the members are now.
	if !r.reachesMajority(r.config.Name) && r.now-r.clockStartedAt > r.config.HeartbeatTimeout {
		r.requestJoin()
	}
}

// expireForwarded gives up tickets whose leader is no longer the leader, or stays silent: the
// registry asks again under the same change id, which is safe.
func (r *Replica) expireForwarded() {
	leader := r.leader()
	for _, ticket := range slices.Sorted(maps.Keys(r.forwardedRequests)) {
		request := r.forwardedRequests[ticket]
		if request.leader == leader && r.now-request.sentAt <= r.config.HeartbeatTimeout {
			continue
		}
		delete(r.forwardedRequests, ticket)
		if request.isRead {
			r.actions = append(r.actions, ReadIndexReady{&schema.ReadIndexReply{Ticket: ticket, Undecided: true}})
		} else {
			r.actions = append(r.actions, Reply{&schema.ProposalReply{Ticket: ticket, Undecided: true}})
		}
	}
}

// NextTickAt tells when Tick is next needed, if nothing else happens.
func (r *Replica) NextTickAt() time.Duration {
	next := r.heartbeatSentAt + r.heartbeatInterval()
	earlier := func(at time.Duration) {
		if at > r.now {
			next = min(next, at)
		}
	}
	if !r.isMember() {
		next = r.joinRequestedAt + r.config.HeartbeatTimeout/heartbeatsPerTimeout
		if len(r.config.StaticMembers) > 0 && r.membership.EffectiveFrom == nil && !r.joinsExisting {
			next = r.stateRequestedAt + r.config.HeartbeatTimeout/heartbeatsPerTimeout
		}
	}
	for _, peer := range r.peers {
		if r.recentlyHeard(peer) {
			earlier(peer.heardAt + r.config.HeartbeatTimeout + 1)
		}
	}
	if r.urgentState() != r.lastUrgentState {
		earlier(r.heartbeatSentAt + r.config.HeartbeatTimeout/urgentHeartbeatsPerTimeout)
	}
	if r.role == roleFollower || r.role == roleCandidate || r.role == roleLeaderElect {
		earlier(r.roleSince + r.config.HeartbeatTimeout + 1)
		earlier(r.roleSince + r.config.StallTimeout/campaignsPerStallTimeout + 1)
	}
	if len(r.pendingWrites) > 0 {
		earlier(r.pendingWrites[0].startedAt + r.config.StallTimeout + 1)
	}
	for _, request := range r.forwardedRequests {
		earlier(request.sentAt + r.config.HeartbeatTimeout + 1)
	}
	return max(next, r.now+1)
}
