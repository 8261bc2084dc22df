package store

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

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
