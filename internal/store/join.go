package store

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// This file lets a replica that is not a member ask to join, and lets replicas report newer memberships to each other.

// requestJoin asks to become a member. It sends a Join to the leader if that is known, else to every replica that may
// know the leader, at most once per third of the heartbeat timeout (heartbeatsPerTimeout).
func (r *Replica) requestJoin() {
	if r.joinRequestedAt != 0 && r.now-r.joinRequestedAt < r.config.HeartbeatTimeout/heartbeatsPerTimeout {
		return
	}
	r.joinRequestedAt = r.now
	knownVersion := r.membership.EffectiveFrom
	if r.reportedMembership != nil && config.Newer(r.reportedMembership.Committed, r.lastVersion()) {
		knownVersion = r.reportedMembership.EffectiveFrom
	}
	for _, name := range r.joinTargets() {
		r.send(name, joinMessage(&schema.Join{
			RaiseTargetSize: r.expandsMembership,
			KnownMembership: knownVersion,
		}))
	}
}

// joinTargets returns the replicas that a Join is sent to, in the order of their names.
func (r *Replica) joinTargets() []string {
	targets := map[string]bool{}
	if leader := r.leader(); leader != "" {
		targets[leader] = true
	} else {
		for _, name := range slices.Concat(r.config.Seeds, r.config.StaticMembers) {
			targets[name] = true
		}
		for _, membership := range []*schema.Membership{r.membership, r.reportedMembership} {
			for _, member := range membership.GetMembers() {
				targets[member.Id] = true
			}
		}
	}
	delete(targets, r.config.Name)
	return slices.Sorted(maps.Keys(targets))
}

// onJoin handles the request of a replica to become a member. Any replica answers with its committed membership if the
// sender has an outdated one. The leader also makes the sender a learner and replicates to it.
func (r *Replica) onJoin(message *schema.ReplicaMessage, join *schema.Join) {
	r.sendMembership(message.From, join.KnownMembership)
	if r.role != roleLeader {
		return
	}
	if containsMember(r.membership, message.From, message.Incarnation, message.Founder) {
		// The sender is a member already, but has not received the entry that made it one.
		peer := r.peers[message.From]
		peer.sent = peer.acked
		r.replicate(message.From, peer)
		return
	}
	learner := r.nonMembers[message.From]
	if learner == nil || learner.incarnation != message.Incarnation {
		learner = &peerState{incarnation: message.Incarnation, lastKnownVersion: &schema.Version{}}
		r.nonMembers[message.From] = learner
	}
	learner.isLearner = true
	learner.expandsMembership = join.RaiseTargetSize
	learner.heard, learner.heardAt = true, r.now
	if learner.term != r.term || learner.acked < r.sequence {
		learner.sent = learner.acked
		r.replicate(message.From, learner)
	}
	r.sendHeartbeat(message.From, learner)
	r.reconcileMembership()
}

// sendMembership reports the committed membership to a replica whose membership has the version knownVersion, if that
// one is older, or was appended under an earlier term and never committed.
func (r *Replica) sendMembership(to string, knownVersion *schema.Version) {
	committed := r.committedMembership
	if r.committedTerm == 0 || len(committed.Members) == 0 {
		return
	}
	if knownVersion.GetTerm() > r.committedTerm || proto.Equal(knownVersion, committed.EffectiveFrom) {
		return
	}
	if config.Newer(committed.EffectiveFrom, knownVersion) || knownVersion.GetTerm() < r.committedTerm {
		report := proto.Clone(committed).(*schema.Membership)
		report.Committed = &schema.Version{Term: r.committedTerm, Sequence: r.committedSequence}
		r.send(to, membershipMessage(report))
	}
}

// onMembership stores a committed membership that another replica reports, if it is the newest so far. A member that is
// missing from it steps down. A replica that is not a member asks to join at once.
func (r *Replica) onMembership(membership *schema.Membership) {
	if r.reportedMembership != nil && !config.Newer(membership.Committed, r.reportedMembership.Committed) {
		return
	}
	wasMember := r.isMember()
	r.reportedMembership = membership
	r.learnAddresses(membership)
	if wasMember && !r.isMember() {
		r.becomeFollower()
	}
	if !r.isMember() {
		r.joinRequestedAt = 0
		r.requestJoin()
	}
}

// restartAsNewIncarnation turns this replica into an empty one with the same name and a new incarnation.
//
// It serves a replica that was removed while it was unreachable and has voted in a term higher than the leader's. A vote
// must not be taken back, so the replica would refuse the leader and could never catch up. What it acknowledged was
// acknowledged by its old incarnation. That incarnation no longer counts: the membership that removed it is newer than
// all of its content.
func (r *Replica) restartAsNewIncarnation() {
	cfg := r.config
	cfg.Founders, cfg.ExpandsMembership = nil, false
	record := InitialRecord(cfg, cfg.NewIncarnation())
	replacement := NewReplica(cfg, 0, []*schema.Record{record})
	replacement.addresses = r.addresses
	replacement.reportedMembership = r.reportedMembership
	replacement.coreExists = true
	replacement.clockStarted, replacement.clockStartedAt = true, r.clockStartedAt
	replacement.now, replacement.actions = r.now, r.actions
	// Pending writes are dropped with the messages that wait for them: the old incarnation sends nothing any more. Write
	// ids continue, so that a late Persisted for one of those writes is not taken for the new record's.
	replacement.lastWriteID = r.lastWriteID
	replacement.forwardedRequests = r.forwardedRequests
	*r = *replacement
	r.lastWriteID++
	r.pendingWrites = append(r.pendingWrites, pendingWrite{writeID: r.lastWriteID, startedAt: r.now})
	r.emit(Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: true})
	r.requestJoin()
}
