package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// peerState is another replica, as far as it is known here.
type peerState struct {
	incarnation       uint64
	founder           bool
	heardAt           time.Duration
	heard             bool
	receivedHeartbeat *schema.Heartbeat
	lastFullHeartbeat *schema.Heartbeat // the last heartbeat in full to it, and how often it was said in short since
	abbreviatedCount  int
	// what a candidate or the leader knows of it under its epoch
	term, acked, sent            uint64
	lastKnownVersion             *schema.Version // what it held when it was last told of; a hint
	versionReported              bool            // it told so itself under this epoch
	snapshotSentAt               time.Duration   // when the whole state was last sent to it
	vote                         *schema.Vote
	confirmedRound               uint64
	stateReply                   *schema.StateReply
	isLearner, expandsMembership bool // asks to become a member
}

func (r *Replica) recentlyHeard(peer *peerState) bool {
	return peer.heard && r.now-peer.heardAt <= r.config.HeartbeatTimeout
}

func (r *Replica) mutuallyReachable(peer *peerState) bool {
	return r.recentlyHeard(peer) && peer.receivedHeartbeat != nil && !peer.receivedHeartbeat.Unfit && slices.Contains(peer.receivedHeartbeat.Heard, r.config.Name)
}

// mutualPeers lists the members that are heard here, hear this one and are fit.
func (r *Replica) mutualPeers() []string {
	var names []string
	for _, name := range r.otherMembers {
		if r.mutuallyReachable(r.peers[name]) {
			names = append(names, name)
		}
	}
	for _, name := range r.newerMembers() {
		if r.mutuallyReachable(r.outsiders[name]) {
			names = append(names, name)
		}
	}
	return names
}

// newerMembers are replicas that know a newer membership than this one has.
func (r *Replica) newerMembers() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.outsiders)) {
		if outsider := r.outsiders[name]; !outsider.isLearner && r.recentlyHeard(outsider) {
			names = append(names, name)
		}
	}
	return names
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

// sender finds who sent a message: one of the members, whose word is counted; or one that asks to
// become a member or knows newer ones, whose is not; or nobody known.
func (r *Replica) sender(message *schema.ReplicaMessage) (peer *peerState, counted bool) {
	if containsMember(r.membership, message.From, message.Incarnation, message.Founder) {
		peer = r.peers[message.From]
		if peer.incarnation != message.Incarnation {
			*peer = peerState{incarnation: message.Incarnation}
		}
		peer.founder, peer.heard, peer.heardAt = message.Founder, true, r.now
		return peer, true
	}
	var membershipVersion *schema.Version
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		membershipVersion = body.Heartbeat.Membership
	case *schema.ReplicaMessage_VoteRequest:
		membershipVersion = body.VoteRequest.Membership
	}
	peer = r.outsiders[message.From]
	// What was not taken into the state that this replica has under a later epoch came to nothing.
	if membershipVersion != nil && membershipVersion.Term >= r.term && config.Newer(membershipVersion, r.membership.EffectiveFrom) && r.membership.EffectiveFrom != nil {
		if peer == nil || peer.isLearner || peer.incarnation != message.Incarnation {
			peer = &peerState{incarnation: message.Incarnation}
			r.outsiders[message.From] = peer
		}
	} else if peer == nil || peer.incarnation != message.Incarnation {
		return nil, false
	} else if !peer.isLearner && membershipVersion != nil {
		delete(r.outsiders, message.From)
		return nil, false
	}
	peer.heard, peer.heardAt = true, r.now
	return peer, false
}
