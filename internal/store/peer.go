package store

import (
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// peerState is what this replica knows of one other replica: whether it is alive, and, while this one is
// candidate or leader, how far it has come under the current term. It is reset when the peer's
// incarnation changes.
type peerState struct {
	// Identity, from the headers of its messages.
	incarnation uint64
	founder     bool // its data folder has existed since the first membership

	// Liveness.
	heard             bool
	heardAt           time.Duration
	receivedHeartbeat *schema.Heartbeat // the last complete one

	// Heartbeats to it: an unchanged one is abbreviated to the serial of the last complete one.
	lastFullHeartbeat *schema.Heartbeat
	abbreviatedCount  int // abbreviated heartbeats since lastFullHeartbeat

	// Replication progress, set by a candidate or leader and cleared by resetForTerm (etcd: Progress).
	term  uint64 // the last term whose beginning it acknowledged; acked counts only if it is r.term
	acked uint64 // the highest sequence that it has on disk under term
	sent  uint64 // the highest sequence sent optimistically; falls back to acked when messages may be lost
	// lastKnownVersion is its content as last reported; a hint, so a wrong one costs only a refusal.
	lastKnownVersion *schema.Version
	versionReported  bool          // it reported lastKnownVersion itself since resetForTerm, so no probe is needed
	snapshotSentAt   time.Duration // when the last complete snapshot was sent to it

	// Votes and reads.
	vote                 *schema.Vote // its vote for this replica's current campaign
	confirmedReadIndexID uint64       // the highest read-index id that it confirmed

	// A replica that is no member.
	stateReply        *schema.StateReply // its answer to the last StateRequest, at bootstrap
	isLearner         bool               // it asked to join; false for one that knows a newer membership
	expandsMembership bool               // its joining raises the target size
}

// resetForTerm forgets votes and progress, which count only under the term they were made in.
func (p *peerState) resetForTerm() {
	p.vote = nil
	p.versionReported = false
	p.term = 0
	p.acked = 0
	p.sent = 0
	p.confirmedReadIndexID = 0
}

// recentlyHeard reports whether a peer counts as alive.
func (r *Replica) recentlyHeard(peer *peerState) bool {
	return peer.heard && r.now-peer.heardAt <= r.config.HeartbeatTimeout
}

// mutuallyReachable reports whether a peer is heard here, hears this replica and is fit to lead.
func (r *Replica) mutuallyReachable(peer *peerState) bool {
	heartbeat := peer.receivedHeartbeat
	return r.recentlyHeard(peer) && heartbeat != nil && !heartbeat.Unfit && slices.Contains(heartbeat.Heard, r.config.Name)
}

// mutualPeers lists the members and newer members that are mutually reachable.
func (r *Replica) mutualPeers() []string {
	var names []string
	for _, name := range r.otherMembers {
		if r.mutuallyReachable(r.peers[name]) {
			names = append(names, name)
		}
	}
	for _, name := range r.peersWithNewerMembership() {
		if r.mutuallyReachable(r.outsiders[name]) {
			names = append(names, name)
		}
	}
	return names
}

// heardMembers lists the members that count as alive, but for this one.
func (r *Replica) heardMembers() []string {
	var names []string
	for _, name := range r.otherMembers {
		if r.recentlyHeard(r.peers[name]) {
			names = append(names, name)
		}
	}
	return names
}

// peersWithNewerMembership lists the live replicas outside the membership here that know a newer membership.
func (r *Replica) peersWithNewerMembership() []string { return r.liveOutsiders(false) }

// learners lists the live replicas that asked to join: the leader keeps them up to date, but they
// count neither for votes nor for commits.
func (r *Replica) learners() []string { return r.liveOutsiders(true) }

func (r *Replica) liveOutsiders(learners bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.outsiders)) {
		if outsider := r.outsiders[name]; outsider.isLearner == learners && r.recentlyHeard(outsider) {
			names = append(names, name)
		}
	}
	return names
}

// trackSender returns the state kept of a message's sender, after it has marked it as heard. It is nil for a replica that is
// neither a member nor one of the outsiders; only a member's votes and confirmations count.
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
	peer = r.trackOutsider(message)
	if peer != nil {
		peer.heard, peer.heardAt = true, r.now
	}
	return peer, false
}

// trackOutsider returns the state kept of a sender that is no member here, after it has added or dropped it if need be. A sender with a
// newer membership is added; one that is known as such but no longer has a newer one is dropped.
func (r *Replica) trackOutsider(message *schema.ReplicaMessage) *peerState {
	membershipVersion := membershipVersionIn(message)
	outsider := r.outsiders[message.From]
	known := outsider != nil && outsider.incarnation == message.Incarnation
	if r.isNewerMembership(membershipVersion) {
		if !known || outsider.isLearner {
			outsider = &peerState{incarnation: message.Incarnation}
			r.outsiders[message.From] = outsider
		}
		return outsider
	}
	if !known {
		return nil
	}
	if !outsider.isLearner && membershipVersion != nil {
		delete(r.outsiders, message.From)
		return nil
	}
	return outsider
}

// membershipVersionIn is the version of the sender's membership, nil if the message does not carry it.
func membershipVersionIn(message *schema.ReplicaMessage) *schema.Version {
	switch body := message.Body.(type) {
	case *schema.ReplicaMessage_Heartbeat:
		return body.Heartbeat.Membership
	case *schema.ReplicaMessage_VoteRequest:
		return body.VoteRequest.Membership
	}
	return nil
}

// isNewerMembership reports whether a membership version is newer than the one here. One of a term below this
// replica's is not: its entry did not get into the content that this later term began with, so it was discarded.
func (r *Replica) isNewerMembership(version *schema.Version) bool {
	current := r.membership.EffectiveFrom
	return version != nil && current != nil && version.Term >= r.term && config.Newer(version, current)
}
