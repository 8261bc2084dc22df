package store

import (
	"maps"
	"slices"
	"time"
)

// Tick acts on the deadlines that have passed and returns the actions that follow. The owner calls it at NextTickAt at
// the latest; an earlier call is harmless.
func (r *Replica) Tick(now time.Duration) []Action {
	r.beginStep(now)
	r.tick()
	return r.actions
}

// tick is Tick within a step that has begun.
func (r *Replica) tick() {
	r.expireForwarded()
	if !r.isMember() {
		r.tickNonMember()
		return
	}
	// A candidate or leader that reaches no majority, or whose disk stalls, steps down.
	if r.role != roleFollower && !r.reachesMajority(r.config.Name) {
		r.becomeFollower()
	}
	if r.shouldCampaign() {
		r.becomeCandidate()
		r.campaign()
	}
	r.purgeTombstones()
	r.reconcileMembership()
	if !r.heartbeatSent || r.now-r.heartbeatSentAt >= r.heartbeatInterval() {
		r.sendHeartbeats()
		r.resendUnacknowledged()
	}
	r.sendUrgentHeartbeats()
	// A replica that reaches no majority may have missed a membership change.
	if !r.reachesMajority(r.config.Name) && r.now-r.clockStartedAt > r.config.HeartbeatTimeout {
		r.requestJoin()
	}
}

// tickNonMember is the tick of a replica that is no member: it bootstraps a core or asks to join one.
func (r *Replica) tickNonMember() {
	if r.role != roleFollower {
		r.becomeFollower()
	}
	if r.mayBootstrap() {
		r.requestState()
	} else {
		r.requestJoin()
	}
}

// expireForwarded answers a forwarded request as undecided if its leader has lost leadership or has not answered
// within the heartbeat timeout. The registry retries under the same change id, which is safe.
func (r *Replica) expireForwarded() {
	leader := r.leader()
	for _, ticket := range slices.Sorted(maps.Keys(r.forwardedRequests)) {
		request := r.forwardedRequests[ticket]
		if request.leader == leader && r.now-request.sentAt <= r.config.HeartbeatTimeout {
			continue
		}
		delete(r.forwardedRequests, ticket)
		if request.isRead {
			r.emit(ReadIndexReady{undecidedRead(ticket)})
		} else {
			r.emit(Reply{undecidedProposal(ticket)})
		}
	}
}

// NextTickAt returns the time, on the replica's clock, at which Tick is next needed if no other event comes before.
// It considers every deadline that tick acts on. A deadline added there must be added here too, unless it may wait for
// the next round of heartbeats, as the removal of an unresponsive member does.
func (r *Replica) NextTickAt() time.Duration {
	timeout := r.config.HeartbeatTimeout
	next := r.heartbeatSentAt + r.heartbeatInterval()
	if !r.isMember() {
		next = r.joinRequestedAt + timeout/heartbeatsPerTimeout
		if r.mayBootstrap() {
			next = r.stateRequestedAt + timeout/heartbeatsPerTimeout
		}
	}
	consider := func(at time.Duration) {
		if at > r.now {
			next = min(next, at)
		}
	}
	for _, peer := range r.peers {
		if r.recentlyHeard(peer) {
			consider(peer.heardAt + timeout + 1)
		}
	}
	if r.urgentState() != r.lastUrgentState {
		consider(r.heartbeatSentAt + timeout/urgentHeartbeatsPerTimeout)
	}
	if r.role != roleLeader {
		consider(r.roleSince + timeout + 1)
		consider(r.roleSince + r.config.StallTimeout/campaignsPerStallTimeout + 1)
	}
	if len(r.pendingWrites) > 0 {
		consider(r.pendingWrites[0].startedAt + r.config.StallTimeout + 1)
	}
	for _, request := range r.forwardedRequests {
		consider(request.sentAt + timeout + 1)
	}
	return max(next, r.now+1)
}
