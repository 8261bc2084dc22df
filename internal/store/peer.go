package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// peerState holds what this replica knows of one other replica, the peer: whether it is alive and, while this replica is
// a candidate or leader, its replication progress in the current term. It is reset when the peer's incarnation changes.
type peerState struct {
	// Identity, from the headers of the peer's messages.
	incarnation uint64 // identifies the peer's data folder; 0 for a founder that has not been heard yet
	founder     bool   // the peer's data folder has existed since the first membership

	// Liveness.
	heard             bool              // a message has come from the peer; heardAt is valid
	heardAt           time.Duration     // time of the last message from the peer
	receivedHeartbeat *schema.Heartbeat // the last complete heartbeat from the peer; nil for none

	// Heartbeats sent to the peer. One that equals lastFullHeartbeat is abbreviated to its serial.
	lastFullHeartbeat *schema.Heartbeat // the last complete one; nil makes the next one complete
	abbreviatedCount  int               // number of abbreviated ones sent since lastFullHeartbeat

	// Replication progress, set by a candidate or leader (etcd: Progress).
	term             uint64          // the last term whose beginning the peer acknowledged; 0 for none
	acked            uint64          // the highest sequence that the peer acknowledged as durable in term
	sent             uint64          // the highest sequence sent, acknowledged or not; reset to acked before a resend
	lastKnownVersion *schema.Version // the peer's content as last reported; a hint: a wrong one costs only a refusal
	versionReported  bool            // a Vote or AppendReply reported a version since resetForTerm: no probe is needed
	snapshotSentAt   time.Duration   // time at which the last complete snapshot was sent to the peer; 0 for never

	// Votes and reads.
	vote                 *schema.Vote // the peer's vote in this replica's current campaign; nil for none
	confirmedReadIndexID uint64       // the highest readIndexID that the peer has confirmed; 0 for none

	// Fields of a replica that is not a member.
	stateReply        *schema.StateReply // the peer's last reply to a StateRequest, at bootstrap
	isLearner         bool               // the peer asked to join; false for a peer with a newer membership
	expandsMembership bool               // the peer's joining raises the target size
}

// resetForTerm clears votes, confirmations and progress, which are valid only in the term they were made in.
func (p *peerState) resetForTerm() {
	p.vote = nil
	p.versionReported = false
	p.term = 0
	p.acked = 0
	p.sent = 0
	p.confirmedReadIndexID = 0
}

// recentlyHeard reports whether a peer counts as alive, which means heard within the heartbeat timeout.
func (r *Replica) recentlyHeard(peer *peerState) bool {
	return peer.heard && r.now-peer.heardAt <= r.config.HeartbeatTimeout
}

// mutuallyReachable reports whether this replica hears a peer, and the peer hears this replica and is fit to lead.
func (r *Replica) mutuallyReachable(peer *peerState) bool {
	heartbeat := peer.receivedHeartbeat
	return r.recentlyHeard(peer) && heartbeat != nil && !heartbeat.Unfit && slices.Contains(heartbeat.Heard, r.config.Name)
}

// mutualPeers returns the other members, and the peers with a newer membership, that are mutually reachable.
func (r *Replica) mutualPeers() []string {
	var names []string
	for _, name := range r.otherMembers {
		if r.mutuallyReachable(r.peers[name]) {
			names = append(names, name)
		}
	}
	for _, name := range r.peersWithNewerMembership() {
		if r.mutuallyReachable(r.nonMembers[name]) {
			names = append(names, name)
		}
	}
	return names
}

// heardMembers returns the other members that count as alive.
func (r *Replica) heardMembers() []string {
	var names []string
	for _, name := range r.otherMembers {
		if r.recentlyHeard(r.peers[name]) {
			names = append(names, name)
		}
	}
	return names
}

// peersWithNewerMembership returns the live replicas that are not in this replica's membership and have a newer one.
func (r *Replica) peersWithNewerMembership() []string { return r.liveNonMembers(false) }

// learners returns the live replicas that asked to join. The leader keeps them up to date, but they count neither for
// votes nor for commits.
func (r *Replica) learners() []string { return r.liveNonMembers(true) }

// liveNonMembers returns the live nonMembers that are learners, or those that are not, in the order of their names.
func (r *Replica) liveNonMembers(learners bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.nonMembers)) {
		if nonMember := r.nonMembers[name]; nonMember.isLearner == learners && r.recentlyHeard(nonMember) {
			names = append(names, name)
		}
	}
	return names
}

// trackSender marks the sender of a message as heard and returns its peerState, which is nil for a replica that is
// neither in peers nor in nonMembers. isMember reports whether the sender is a member: only a member's votes and
// confirmations count.
func (r *Replica) trackSender(message *schema.ReplicaMessage) (peer *peerState, isMember bool) {
	if containsMember(r.membership, message.From, message.Incarnation, message.Founder) {
		peer = r.peers[message.From]
		if peer.incarnation != message.Incarnation {
			*peer = peerState{incarnation: message.Incarnation}
		}
		peer.founder = message.Founder
		peer.heard, peer.heardAt = true, r.now
		return peer, true
	}
	peer = r.trackNonMember(message)
	if peer != nil {
		peer.heard, peer.heardAt = true, r.now
	}
	return peer, false
}

// trackNonMember returns the peerState of a sender that is not a member here, nil if it is not in nonMembers. A sender
// with a newer membership is added to nonMembers. One that was added for that reason, and reports a membership that is
// no longer newer, is removed.
func (r *Replica) trackNonMember(message *schema.ReplicaMessage) *peerState {
	membershipVersion := membershipVersionIn(message)
	nonMember := r.nonMembers[message.From]
	known := nonMember != nil && nonMember.incarnation == message.Incarnation
	if r.isNewerMembership(membershipVersion) {
		if !known || nonMember.isLearner {
			nonMember = &peerState{incarnation: message.Incarnation}
			r.nonMembers[message.From] = nonMember
		}
		return nonMember
	}
	if !known {
		return nil
	}
	if !nonMember.isLearner && membershipVersion != nil {
		delete(r.nonMembers, message.From)
		return nil
	}
	return nonMember
}

// membershipVersionIn returns the version of the sender's membership, or nil if the message does not carry one.
func membershipVersionIn(message *schema.ReplicaMessage) *schema.Version {
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		return body.Heartbeat.Membership
	case *schema.ReplicaMessage_VoteRequest:
		return body.VoteRequest.Membership
	}
	return nil
}

// isNewerMembership reports whether a membership version is newer than that of this replica's membership. A version of a
// term before this replica's never is: its entry is not in the content that this replica's term began with, so it was
// discarded.
func (r *Replica) isNewerMembership(version *schema.Version) bool {
	current := r.membership.EffectiveFrom
	return version != nil && current != nil && version.Term >= r.term && config.Newer(version, current)
}
