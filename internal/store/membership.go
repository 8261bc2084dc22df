package store

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Who the members are is part of the state. They change one at a time: a replica counts the latest
// members it has taken, and the leader makes others only once those are committed under its own epoch.
// Two majorities of members that differ by one have a member in common, so nothing is decided twice.
//
// A replica is a name and the incarnation of its data folder. A folder that was lost leaves another
// replica of the same name: the old one is taken out and the new one, once it holds the state, is
// put in. So an empty folder never counts for what was on the lost one.

// Ratios to the silence bound and to the entries kept.
const (
	removeAfterTimeouts  = 2 // a replica unheard for so long gives its place to one that stands ready
	recentTimeoutDivisor = 2 // of the silence bound within which those must have been heard that are needed
	maxLagDivisor        = 8 // of the entries kept that one may lack and yet be ready
)

// foundingMembership is the first members; their incarnations are bound as they are first counted.
func foundingMembership(names []string) *schema.Membership {
	members := &schema.Membership{TargetSize: uint32(len(names)), EffectiveFrom: &schema.Version{}}
	for _, name := range names {
		members.Members = append(members.Members, &schema.CoreMember{Id: name})
	}
	return members
}

func memberIndex(members *schema.Membership, name string) int {
	return slices.IndexFunc(members.GetMembers(), func(member *schema.CoreMember) bool { return member.Id == name })
}

// containsMember tells whether a folder is one of the members. A founder that is not bound yet may be only a
// folder that has been there since: one found empty later could have lost what it was counted for.
func containsMember(members *schema.Membership, name string, incarnation uint64, founder bool) bool {
	index := memberIndex(members, name)
	if index < 0 {
		return false
	}
	bound := members.Members[index].Incarnation
	return bound == incarnation || bound == 0 && founder
}

// withoutMember and with are the members after one change.
func withoutMember(members *schema.Membership, name string) *schema.Membership {
	changed := proto.Clone(members).(*schema.Membership)
	changed.Members = slices.DeleteFunc(changed.Members, func(member *schema.CoreMember) bool { return member.Id == name })
	return changed
}

func withMember(members *schema.Membership, member *schema.CoreMember) *schema.Membership {
	changed := proto.Clone(members).(*schema.Membership)
	if index := memberIndex(changed, member.Id); index >= 0 {
		changed.Members[index] = member
	} else {
		changed.Members = append(changed.Members, member)
	}
	return changed
}

// isMember tells whether this folder is one of the members.
func (r *Replica) isMember() bool {
	return !r.isExcluded() && containsMember(r.membership, r.config.Name, r.incarnation, r.founder)
}

func (r *Replica) majority() int { return len(r.membership.Members)/2 + 1 }

// commitQuorum is how many durable copies make a change committed: a majority, and one more than may be lost.
func commitQuorum(members *schema.Membership, losses int) int {
	return max(len(members.Members)/2+1, min(losses+1, len(members.Members)))
}

// applyMembership lets the peers be those of the members taken.
func (r *Replica) applyMembership() {
	peers := map[string]*peerState{}
	r.otherMembers = nil
	for _, member := range r.membership.Members {
		if member.Address != "" && member.Id != r.config.Name {
			r.addresses[member.Id] = member.Address
		}
		if member.Id == r.config.Name {
			continue
		}
		r.otherMembers = append(r.otherMembers, member.Id)
		peer := r.peers[member.Id]
		if outsider := r.outsiders[member.Id]; outsider != nil && member.Incarnation == outsider.incarnation {
			peer = outsider
			delete(r.outsiders, member.Id)
		}
		if peer == nil || member.Incarnation != 0 && peer.incarnation != member.Incarnation {
			peer = &peerState{incarnation: member.Incarnation}
		}
		peers[member.Id] = peer
	}
	r.peers = peers
	// Whoever has a place no longer asks for one.
	if r.expandsMembership && containsMember(r.membership, r.config.Name, r.incarnation, r.founder) {
		r.expandsMembership = false
	}
}

// requestState lets an empty replica of an order learn whether there is a setup already. Only if every
// other replica has none, these are the first members.
func (r *Replica) requestState() {
	if r.stateRequestRound != 0 && r.now-r.stateRequestedAt < r.config.HeartbeatTimeout/heartbeatsPerTimeout {
		return
	}
	r.stateRequestRound++
	r.stateRequestedAt = r.now
	for _, name := range r.config.StaticMembers {
		if name != r.config.Name {
			r.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateRequest{StateRequest: &schema.StateRequest{Round: r.stateRequestRound}}})
		}
	}
	r.bootstrapIfAllEmpty()
}

func (r *Replica) onStateReply(from string, incarnation uint64, reply *schema.StateReply) {
	if r.joinsExisting || r.membership.EffectiveFrom != nil || reply.Round != r.stateRequestRound {
		return
	}
	if reply.VotedTerm > 0 || reply.Snapshot.Term > 0 || reply.Snapshot.Sequence > 0 {
		r.joinsExisting = true
		return
	}
	if r.outsiders[from] == nil {
		r.outsiders[from] = &peerState{}
	}
	r.outsiders[from].incarnation, r.outsiders[from].stateReply = incarnation, reply
	r.bootstrapIfAllEmpty()
}

func (r *Replica) bootstrapIfAllEmpty() {
	for _, name := range r.config.StaticMembers {
		if peer := r.outsiders[name]; name != r.config.Name && (peer == nil || peer.stateReply == nil || peer.stateReply.Round != r.stateRequestRound) {
			return
		}
	}
	r.founder, r.roleSince = true, 0
	r.outsiders = map[string]*peerState{}
	r.restoreSnapshot(&schema.Snapshot{Membership: foundingMembership(r.config.StaticMembers)})
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
}

// requestJoin asks to become a member: at the leader once it is known, else at everybody who may know it.
func (r *Replica) requestJoin() {
	if r.joinRequestedAt != 0 && r.now-r.joinRequestedAt < r.config.HeartbeatTimeout/heartbeatsPerTimeout {
		return
	}
	r.joinRequestedAt = r.now
	targets := map[string]bool{}
	if leader := r.leader(); leader != "" {
		targets[leader] = true
	} else {
		for _, name := range slices.Concat(r.config.Seeds, r.config.StaticMembers) {
			targets[name] = true
		}
		for _, members := range []*schema.Membership{r.membership, r.reportedMembership} {
			for _, member := range members.GetMembers() {
				targets[member.Id] = true
			}
		}
	}
	delete(targets, r.config.Name)
	knownVersion := r.membership.EffectiveFrom
	if r.reportedMembership != nil && config.Newer(r.reportedMembership.Committed, r.lastVersion()) {
		knownVersion = r.reportedMembership.EffectiveFrom
	}
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		r.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Join{Join: &schema.Join{RaiseTargetSize: r.expandsMembership, KnownMembership: knownVersion}}})
	}
}

// sendMembership answers whoever knows other members than the committed ones here, if those are older, or
// were taken under an older epoch and so came to nothing.
func (r *Replica) sendMembership(to string, knownVersion *schema.Version) {
	if r.committedTerm == 0 || len(r.committedMembership.Members) == 0 || knownVersion.GetTerm() > r.committedTerm || proto.Equal(knownVersion, r.committedMembership.EffectiveFrom) {
		return
	}
	if config.Newer(r.committedMembership.EffectiveFrom, knownVersion) || knownVersion.GetTerm() < r.committedTerm {
		membership := proto.Clone(r.committedMembership).(*schema.Membership)
		membership.Committed = &schema.Version{Term: r.committedTerm, Sequence: r.committedSequence}
		r.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Membership{Membership: membership}})
	}
}

func (r *Replica) onMembership(membership *schema.Membership) {
	if r.reportedMembership != nil && !config.Newer(membership.Committed, r.reportedMembership.Committed) {
		return
	}
	wasMember := r.isMember()
	r.reportedMembership = membership
	for _, member := range membership.Members {
		if member.Address != "" && member.Id != r.config.Name {
			r.addresses[member.Id] = member.Address
		}
	}
	if wasMember && !r.isMember() {
		r.becomeFollower()
	}
	if !r.isMember() {
		r.joinRequestedAt = 0
		r.requestJoin()
	}
}

func (r *Replica) onJoin(message *schema.ReplicaMessage, join *schema.Join) {
	r.sendMembership(message.From, join.KnownMembership)
	if r.role != roleLeader {
		return
	}
	if containsMember(r.membership, message.From, message.Incarnation, message.Founder) {
		// It has a place but does not know it yet.
		peer := r.peers[message.From]
		peer.sent = peer.acked
		r.replicate(message.From, peer)
		return
	}
	outsider := r.outsiders[message.From]
	if outsider == nil || outsider.incarnation != message.Incarnation {
		outsider = &peerState{incarnation: message.Incarnation, lastKnownVersion: &schema.Version{}}
		r.outsiders[message.From] = outsider
	}
	outsider.isLearner, outsider.expandsMembership, outsider.heard, outsider.heardAt = true, join.RaiseTargetSize, true, r.now
	if outsider.term != r.term || outsider.acked < r.sequence {
		outsider.sent = outsider.acked
		r.replicate(message.From, outsider)
	}
	r.sendHeartbeat(message.From, outsider)
	r.reconcileMembership()
}

// restartAsNewIncarnation lets this replica be another one, empty, of the same name. It is for a replica that was taken
// out while it was away and has since voted for an epoch that no leader has: it could never be
// kept up to date again, and a vote must not be taken back. What it has said of before stays with
// its old incarnation, which counts for nothing: it was taken out after all that it holds.
func (r *Replica) restartAsNewIncarnation() {
	cfg := r.config
	cfg.Founders, cfg.ExpandsMembership = nil, false
	record := InitialRecord(cfg, cfg.NewIncarnation())
	successor := NewReplica(cfg, 0, []*schema.Record{record})
	successor.addresses, successor.reportedMembership, successor.joinsExisting = r.addresses, r.reportedMembership, true
	successor.clockStarted, successor.clockStartedAt, successor.now, successor.actions = true, r.clockStartedAt, r.now, r.actions
	// Nothing is said any more of what the old one still had to sync.
	successor.lastWriteID, successor.forwardedRequests = r.lastWriteID, r.forwardedRequests
	*r = *successor
	r.lastWriteID++
	r.pendingWrites = append(r.pendingWrites, pendingWrite{writeID: r.lastWriteID, startedAt: r.now})
	r.actions = append(r.actions, Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: true})
	r.requestJoin()
}

// isExcluded tells whether this replica is not among the members of a committed state that is newer than all
// it holds. Either it was taken out while it was away, or it was put in by an entry that only it and
// too few others took, and that came to nothing: in both cases what it takes for the members is void.
func (r *Replica) isExcluded() bool {
	if r.hasFault(faultIgnoresExclusion) && r.reportedMembership != nil && !config.Newer(r.reportedMembership.EffectiveFrom, r.membership.EffectiveFrom) {
		return false
	}
	return r.reportedMembership != nil && config.Newer(r.reportedMembership.Committed, r.lastVersion()) && !containsMember(r.reportedMembership, r.config.Name, r.incarnation, r.founder)
}

// learners are those that are kept up to date by the leader though they are no members.
func (r *Replica) learners() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.outsiders)) {
		if outsider := r.outsiders[name]; outsider.isLearner && r.recentlyHeard(outsider) {
			names = append(names, name)
		}
	}
	return names
}

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

// memberAddress is where a replica is reached, if members are found by that and not by an order.
func (r *Replica) memberAddress(name string) string {
	if len(r.config.StaticMembers) > 0 {
		return ""
	}
	if name == r.config.Name {
		return r.config.Address
	}
	return r.addresses[name]
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
