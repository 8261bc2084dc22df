package store

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

// Heartbeats report whom this replica hears, whether it may lead and how far it is. One that is equal to the last
// complete one is abbreviated to its serial: heartbeats are most of what is sent.

// maxAbbreviatedHeartbeats is how many abbreviated heartbeats are sent before a complete one again.
const maxAbbreviatedHeartbeats = 8

// heartbeatInterval is the time between two rounds of heartbeats.
func (r *Replica) heartbeatInterval() time.Duration {
	if !r.reachesMajority(r.config.Name) {
		return r.config.HeartbeatTimeout / isolatedHeartbeatsPerTimeout
	}
	return r.config.HeartbeatTimeout / heartbeatsPerTimeout
}

// sendHeartbeats sends a round of heartbeats: to every member, and to the outsiders that are alive.
func (r *Replica) sendHeartbeats() {
	r.heartbeatSent, r.heartbeatSentAt = true, r.now
	r.lastUrgentState = r.urgentState()
	for _, name := range r.otherMembers {
		r.sendHeartbeat(name, r.peers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.outsiders)) {
		if outsider := r.outsiders[name]; r.recentlyHeard(outsider) {
			r.sendHeartbeat(name, outsider)
		}
	}
}

// sendUrgentHeartbeats sends a round before it is due if the urgent state has changed since the last one.
func (r *Replica) sendUrgentHeartbeats() {
	if !r.isMember() || !r.heartbeatSent {
		return
	}
	if r.now-r.heartbeatSentAt < r.config.HeartbeatTimeout/urgentHeartbeatsPerTimeout {
		return
	}
	if r.urgentState() != r.lastUrgentState {
		r.sendHeartbeats()
	}
}

// urgentState is the part of a heartbeat, as text to compare, whose change must not wait for the next round: who
// hears whom, who is fit and who leads.
func (r *Replica) urgentState() string {
	heartbeat := r.heartbeat()
	return fmt.Sprint(heartbeat.Heard, heartbeat.Mutual, heartbeat.Unfit, heartbeat.MembershipBehind, heartbeat.Leader)
}

// heartbeat is a complete heartbeat, without its serial.
func (r *Replica) heartbeat() *schema.Heartbeat {
	withNewerMembership := r.peersWithNewerMembership()
	heartbeat := &schema.Heartbeat{
		Mutual:           r.mutualPeers(),
		Heard:            append(r.heardMembers(), withNewerMembership...),
		Unfit:            r.unfit(),
		VotedTerm:        r.votedTerm,
		Term:             r.term,
		Sequence:         r.sequence,
		Committed:        r.committedSequence,
		CommittedTerm:    r.committedTerm,
		Membership:       r.membership.EffectiveFrom,
		MembershipBehind: len(withNewerMembership) > 0,
	}
	if r.role == roleLeader {
		heartbeat.Leader = r.config.Name
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat to one replica, abbreviated if it has the same content already.
func (r *Replica) sendHeartbeat(to string, peer *peerState) {
	heartbeat := r.heartbeat()
	last := peer.lastFullHeartbeat
	if last != nil && peer.abbreviatedCount < maxAbbreviatedHeartbeats && equalHeartbeats(heartbeat, last) {
		peer.abbreviatedCount++
		r.send(to, heartbeatMessage(&schema.Heartbeat{Serial: last.Serial}))
		return
	}
	r.heartbeatSerial++
	heartbeat.Serial = r.heartbeatSerial
	peer.lastFullHeartbeat, peer.abbreviatedCount = heartbeat, 0
	r.send(to, heartbeatMessage(heartbeat))
}

// equalHeartbeats reports whether two complete heartbeats of this replica differ in nothing but the serial.
// Membership versions are compared by pointer: r.membership is replaced, never changed, so equal pointers mean
// the same membership, and a needless difference costs only a complete heartbeat.
func equalHeartbeats(a, b *schema.Heartbeat) bool {
	return slices.Equal(a.Mutual, b.Mutual) &&
		slices.Equal(a.Heard, b.Heard) &&
		a.Unfit == b.Unfit &&
		a.VotedTerm == b.VotedTerm &&
		a.Term == b.Term &&
		a.Sequence == b.Sequence &&
		a.Committed == b.Committed &&
		a.CommittedTerm == b.CommittedTerm &&
		a.Leader == b.Leader &&
		a.MembershipBehind == b.MembershipBehind &&
		a.Membership == b.Membership
}

// isAbbreviated reports whether a heartbeat has a serial alone, and so means the last complete one with that serial.
func isAbbreviated(heartbeat *schema.Heartbeat) bool {
	return heartbeat.Membership == nil && heartbeat.Serial != 0
}

// onHeartbeat handles a heartbeat of a member or an outsider.
func (r *Replica) onHeartbeat(from string, peer *peerState, heartbeat *schema.Heartbeat) {
	if heartbeat.ResendFull {
		peer.lastFullHeartbeat = nil
		if r.isMember() {
			r.sendHeartbeat(from, peer)
		}
		return
	}
	if isAbbreviated(heartbeat) {
		if peer.receivedHeartbeat.GetSerial() != heartbeat.Serial {
			r.send(from, heartbeatMessage(&schema.Heartbeat{ResendFull: true}))
			return
		}
		heartbeat = peer.receivedHeartbeat
	}
	peer.receivedHeartbeat = heartbeat
	if !heartbeat.Unfit {
		r.freshness.observe(from, r.now, heartbeat.Sequence, r.committedSequence)
	}
	peer.lastKnownVersion = &schema.Version{Term: heartbeat.Term, Sequence: heartbeat.Sequence}
	r.highestTerm = max(r.highestTerm, heartbeat.VotedTerm)
	// Contents of one term are prefixes of one another, so what is committed there is committed here too.
	if heartbeat.CommittedTerm == r.term {
		r.commitTo(heartbeat.Committed)
	}
	if r.needsSnapshotFrom(heartbeat) {
		r.send(from, snapshotRequestMessage(&schema.SnapshotRequest{}))
	}
	r.sendUrgentHeartbeats()
}

// needsSnapshotFrom reports whether this replica lags behind a peer's committed content and cannot be reached by
// the leader, so that it must get that content from whichever peer has it.
func (r *Replica) needsSnapshotFrom(heartbeat *schema.Heartbeat) bool {
	behind := heartbeat.CommittedTerm > r.term || (heartbeat.CommittedTerm == r.term && heartbeat.Committed > r.sequence)
	return r.isMember() && behind && r.role == roleFollower && !slices.Contains(r.mutualPeers(), r.leader())
}
