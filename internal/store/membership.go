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
func (s *Replica) isMember() bool {
	return !s.isExcluded() && containsMember(s.membership, s.config.Name, s.incarnation, s.founder)
}

func (s *Replica) majority() int { return len(s.membership.Members)/2 + 1 }

// commitQuorum is how many durable copies make a change committed: a majority, and one more than may be lost.
func commitQuorum(members *schema.Membership, losses int) int {
	return max(len(members.Members)/2+1, min(losses+1, len(members.Members)))
}

// applyMembership lets the peers be those of the members taken.
func (s *Replica) applyMembership() {
	peers := map[string]*peerState{}
	s.otherMembers = nil
	for _, member := range s.membership.Members {
		if member.Address != "" && member.Id != s.config.Name {
			s.addresses[member.Id] = member.Address
		}
		if member.Id == s.config.Name {
			continue
		}
		s.otherMembers = append(s.otherMembers, member.Id)
		peer := s.peers[member.Id]
		if outsider := s.outsiders[member.Id]; outsider != nil && member.Incarnation == outsider.incarnation {
			peer = outsider
			delete(s.outsiders, member.Id)
		}
		if peer == nil || member.Incarnation != 0 && peer.incarnation != member.Incarnation {
			peer = &peerState{incarnation: member.Incarnation}
		}
		peers[member.Id] = peer
	}
	s.peers = peers
	// Whoever has a place no longer asks for one.
	if s.expandsMembership && containsMember(s.membership, s.config.Name, s.incarnation, s.founder) {
		s.expandsMembership = false
	}
}

// requestState lets an empty replica of an order learn whether there is a setup already. Only if every
// other replica has none, these are the first members.
func (s *Replica) requestState() {
	if s.stateRequestRound != 0 && s.now-s.stateRequestedAt < s.config.HeartbeatTimeout/heartbeatsPerTimeout {
		return
	}
	s.stateRequestRound++
	s.stateRequestedAt = s.now
	for _, name := range s.config.StaticMembers {
		if name != s.config.Name {
			s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_StateRequest{StateRequest: &schema.StateRequest{Round: s.stateRequestRound}}})
		}
	}
	s.bootstrapIfAllEmpty()
}

func (s *Replica) onStateReply(from string, incarnation uint64, reply *schema.StateReply) {
	if s.joinsExisting || s.membership.EffectiveFrom != nil || reply.Round != s.stateRequestRound {
		return
	}
	if reply.VotedTerm > 0 || reply.Snapshot.Term > 0 || reply.Snapshot.Sequence > 0 {
		s.joinsExisting = true
		return
	}
	if s.outsiders[from] == nil {
		s.outsiders[from] = &peerState{}
	}
	s.outsiders[from].incarnation, s.outsiders[from].stateReply = incarnation, reply
	s.bootstrapIfAllEmpty()
}

func (s *Replica) bootstrapIfAllEmpty() {
	for _, name := range s.config.StaticMembers {
		if peer := s.outsiders[name]; name != s.config.Name && (peer == nil || peer.stateReply == nil || peer.stateReply.Round != s.stateRequestRound) {
			return
		}
	}
	s.founder, s.roleSince = true, 0
	s.outsiders = map[string]*peerState{}
	s.restoreSnapshot(&schema.Snapshot{Membership: foundingMembership(s.config.StaticMembers)})
	s.persist(&schema.Record{Snapshot: s.snapshot()}, pendingWrite{})
}

// requestJoin asks to become a member: at the leader once it is known, else at everybody who may know it.
func (s *Replica) requestJoin() {
	if s.joinRequestedAt != 0 && s.now-s.joinRequestedAt < s.config.HeartbeatTimeout/heartbeatsPerTimeout {
		return
	}
	s.joinRequestedAt = s.now
	targets := map[string]bool{}
	if leader := s.leader(); leader != "" {
		targets[leader] = true
	} else {
		for _, name := range slices.Concat(s.config.Seeds, s.config.StaticMembers) {
			targets[name] = true
		}
		for _, members := range []*schema.Membership{s.membership, s.reportedMembership} {
			for _, member := range members.GetMembers() {
				targets[member.Id] = true
			}
		}
	}
	delete(targets, s.config.Name)
	knownVersion := s.membership.EffectiveFrom
	if s.reportedMembership != nil && config.Newer(s.reportedMembership.Committed, s.lastVersion()) {
		knownVersion = s.reportedMembership.EffectiveFrom
	}
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Join{Join: &schema.Join{RaiseTargetSize: s.expandsMembership, KnownMembership: knownVersion}}})
	}
}

// sendMembership answers whoever knows other members than the committed ones here, if those are older, or
// were taken under an older epoch and so came to nothing.
func (s *Replica) sendMembership(to string, knownVersion *schema.Version) {
	if s.committedTerm == 0 || len(s.committedMembership.Members) == 0 || knownVersion.GetTerm() > s.committedTerm || proto.Equal(knownVersion, s.committedMembership.EffectiveFrom) {
		return
	}
	if config.Newer(s.committedMembership.EffectiveFrom, knownVersion) || knownVersion.GetTerm() < s.committedTerm {
		membership := proto.Clone(s.committedMembership).(*schema.Membership)
		membership.Committed = &schema.Version{Term: s.committedTerm, Sequence: s.committedSequence}
		s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Membership{Membership: membership}})
	}
}

func (s *Replica) onMembership(membership *schema.Membership) {
	if s.reportedMembership != nil && !config.Newer(membership.Committed, s.reportedMembership.Committed) {
		return
	}
	wasMember := s.isMember()
	s.reportedMembership = membership
	for _, member := range membership.Members {
		if member.Address != "" && member.Id != s.config.Name {
			s.addresses[member.Id] = member.Address
		}
	}
	if wasMember && !s.isMember() {
		s.becomeFollower()
	}
	if !s.isMember() {
		s.joinRequestedAt = 0
		s.requestJoin()
	}
}

func (s *Replica) onJoin(message *schema.ReplicaMessage, join *schema.Join) {
	s.sendMembership(message.From, join.KnownMembership)
	if s.role != roleLeader {
		return
	}
	if containsMember(s.membership, message.From, message.Incarnation, message.Founder) {
		// It has a place but does not know it yet.
		peer := s.peers[message.From]
		peer.sent = peer.acked
		s.replicate(message.From, peer)
		return
	}
	outsider := s.outsiders[message.From]
	if outsider == nil || outsider.incarnation != message.Incarnation {
		outsider = &peerState{incarnation: message.Incarnation, lastKnownVersion: &schema.Version{}}
		s.outsiders[message.From] = outsider
	}
	outsider.isLearner, outsider.expandsMembership, outsider.heard, outsider.heardAt = true, join.RaiseTargetSize, true, s.now
	if outsider.term != s.term || outsider.acked < s.sequence {
		outsider.sent = outsider.acked
		s.replicate(message.From, outsider)
	}
	s.sendHeartbeat(message.From, outsider)
	s.reconcileMembership()
}

// restartAsNewIncarnation lets this replica be another one, empty, of the same name. It is for a replica that was taken
// out while it was away and has since voted for an epoch that no leader has: it could never be
// kept up to date again, and a vote must not be taken back. What it has said of before stays with
// its old incarnation, which counts for nothing: it was taken out after all that it holds.
func (s *Replica) restartAsNewIncarnation() {
	cfg := s.config
	cfg.Founders, cfg.ExpandsMembership = nil, false
	record := InitialRecord(cfg, cfg.NewIncarnation())
	successor := NewReplica(cfg, 0, []*schema.Record{record})
	successor.addresses, successor.reportedMembership, successor.joinsExisting = s.addresses, s.reportedMembership, true
	successor.clockStarted, successor.clockStartedAt, successor.now, successor.actions = true, s.clockStartedAt, s.now, s.actions
	// Nothing is said any more of what the old one still had to sync.
	successor.lastWriteID, successor.forwardedRequests = s.lastWriteID, s.forwardedRequests
	*s = *successor
	s.lastWriteID++
	s.pendingWrites = append(s.pendingWrites, pendingWrite{writeID: s.lastWriteID, startedAt: s.now})
	s.actions = append(s.actions, Persist{WriteID: s.lastWriteID, Record: record, ReplacesLog: true})
	s.requestJoin()
}

// isExcluded tells whether this replica is not among the members of a committed state that is newer than all
// it holds. Either it was taken out while it was away, or it was put in by an entry that only it and
// too few others took, and that came to nothing: in both cases what it takes for the members is void.
func (s *Replica) isExcluded() bool {
	if s.hasFault(faultIgnoresExclusion) && s.reportedMembership != nil && !config.Newer(s.reportedMembership.EffectiveFrom, s.membership.EffectiveFrom) {
		return false
	}
	return s.reportedMembership != nil && config.Newer(s.reportedMembership.Committed, s.lastVersion()) && !containsMember(s.reportedMembership, s.config.Name, s.incarnation, s.founder)
}

// learners are those that are kept up to date by the leader though they are no members.
func (s *Replica) learners() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.outsiders)) {
		if outsider := s.outsiders[name]; outsider.isLearner && s.recentlyHeard(outsider) {
			names = append(names, name)
		}
	}
	return names
}

// reconcileMembership makes the next change of the members that is due, as the leader. One is made only once the
// members before it are committed under this epoch.
func (s *Replica) reconcileMembership() {
	if s.role != roleLeader || s.unfit() || s.committedTerm != s.term || s.committedSequence < s.membership.EffectiveFrom.GetSequence() {
		return
	}
	for _, member := range s.membership.Members {
		if peer := s.peers[member.Id]; member.Incarnation == 0 && peer != nil && s.recentlyHeard(peer) && peer.founder {
			s.proposeMembership(withMember(s.membership, &schema.CoreMember{Id: member.Id, Address: s.memberAddress(member.Id), Incarnation: peer.incarnation}))
			return
		}
	}
	for _, name := range s.learners() {
		outsider := s.outsiders[name]
		if outsider.term != s.term || outsider.acked+uint64(s.config.MaxEntries/maxLagDivisor) < s.sequence {
			continue
		}
		member := &schema.CoreMember{Id: name, Address: s.memberAddress(name), Incarnation: outsider.incarnation}
		switch {
		case memberIndex(s.membership, name) >= 0:
			// Its folder of before is gone: it no longer counts for what was on it.
			s.removeMember(name)
		case outsider.expandsMembership:
			expanded := withMember(s.membership, member)
			expanded.TargetSize++
			s.proposeMembership(expanded)
		case len(s.membership.Members) < int(s.membership.TargetSize):
			s.proposeMembership(withMember(s.membership, member))
		default:
			if longestSilent := s.longestUnresponsive(); longestSilent != "" {
				s.removeMember(longestSilent)
			}
		}
		return
	}
}

// removeMember lets a replica count no more, if as many of the others as are then needed were heard just
// now: fewer members need each other more, so it is not done while another is being lost.
func (s *Replica) removeMember(name string) {
	remaining := withoutMember(s.membership, name)
	heard := 1
	for _, other := range s.otherMembers {
		if peer := s.peers[other]; other != name && peer.heard && s.now-peer.heardAt <= s.config.HeartbeatTimeout/recentTimeoutDivisor {
			heard++
		}
	}
	if heard >= commitQuorum(remaining, s.config.ToleratedLosses) {
		s.proposeMembership(remaining)
	}
}

// memberAddress is where a replica is reached, if members are found by that and not by an order.
func (s *Replica) memberAddress(name string) string {
	if len(s.config.StaticMembers) > 0 {
		return ""
	}
	if name == s.config.Name {
		return s.config.Address
	}
	return s.addresses[name]
}

// longestUnresponsive names the replica that has not been heard for longest, if for too long.
func (s *Replica) longestUnresponsive() (name string) {
	longest := removeAfterTimeouts * s.config.HeartbeatTimeout
	for _, other := range s.otherMembers {
		since := s.clockStartedAt
		if peer := s.peers[other]; peer.heard {
			since = peer.heardAt
		}
		if unheard := s.now - since; unheard > longest {
			name, longest = other, unheard
		}
	}
	return name
}

// proposeMembership lets other members count from the next place in the order on.
func (s *Replica) proposeMembership(members *schema.Membership) {
	version := &schema.Version{Term: s.term, Sequence: s.sequence + 1}
	members.EffectiveFrom = version
	id := "members-" + versionText(version)
	s.appendAsLeader(&schema.Entry{Version: version, ChangeId: id, Membership: members,
		Outcome: &schema.ChangeOutcome{ChangeId: id, Version: version, Ruling: schema.Ruling_RULING_ACCEPTED}})
}

// NextTickAt tells when Tick is next needed, if nothing else happens.
func (s *Replica) NextTickAt() time.Duration {
	next := s.heartbeatSentAt + s.heartbeatInterval()
	earlier := func(at time.Duration) {
		if at > s.now {
			next = min(next, at)
		}
	}
	if !s.isMember() {
		next = s.joinRequestedAt + s.config.HeartbeatTimeout/heartbeatsPerTimeout
		if len(s.config.StaticMembers) > 0 && s.membership.EffectiveFrom == nil && !s.joinsExisting {
			next = s.stateRequestedAt + s.config.HeartbeatTimeout/heartbeatsPerTimeout
		}
	}
	for _, peer := range s.peers {
		if s.recentlyHeard(peer) {
			earlier(peer.heardAt + s.config.HeartbeatTimeout + 1)
		}
	}
	if s.urgentState() != s.lastUrgentState {
		earlier(s.heartbeatSentAt + s.config.HeartbeatTimeout/urgentHeartbeatsPerTimeout)
	}
	if s.role == roleFollower || s.role == roleCandidate || s.role == roleLeaderElect {
		earlier(s.roleSince + s.config.HeartbeatTimeout + 1)
		earlier(s.roleSince + s.config.StallTimeout/campaignsPerStallTimeout + 1)
	}
	if len(s.pendingWrites) > 0 {
		earlier(s.pendingWrites[0].startedAt + s.config.StallTimeout + 1)
	}
	for _, request := range s.forwardedRequests {
		earlier(request.sentAt + s.config.HeartbeatTimeout + 1)
	}
	return max(next, s.now+1)
}
