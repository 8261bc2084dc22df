package store

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

// This file sends and handles heartbeats. They report which replicas a replica hears, whether it is fit to lead, and the
// versions of its content. Most of the messages sent are heartbeats, so a heartbeat that equals the last complete one is
// abbreviated to its serial.

// maxAbbreviatedHeartbeats is the number of abbreviated heartbeats after which a complete one is sent again.
const maxAbbreviatedHeartbeats = 8

// heartbeatInterval returns the time between two rounds of heartbeats.
func (r *Replica) heartbeatInterval() time.Duration {
	if !r.reachesMajority(r.config.Name) {
		return r.config.HeartbeatTimeout / isolatedHeartbeatsPerTimeout
	}
	return r.config.HeartbeatTimeout / heartbeatsPerTimeout
}

// sendHeartbeats sends a round of heartbeats: to every other member, and to the nonMembers that count as alive.
func (r *Replica) sendHeartbeats() {
	r.heartbeatSent, r.heartbeatSentAt = true, r.now
	r.lastUrgentState = r.urgentState()
	for _, name := range r.otherMembers {
		r.sendHeartbeat(name, r.peers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.nonMembers)) {
		if nonMember := r.nonMembers[name]; r.recentlyHeard(nonMember) {
			r.sendHeartbeat(name, nonMember)
		}
	}
}

// sendUrgentHeartbeats sends a round of heartbeats before it is due, if the urgent state has changed since the last one.
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

// urgentState returns, as text to compare, the part of a heartbeat whose change must not wait for the next round: the
// links, the fitness to lead and the leader.
func (r *Replica) urgentState() string {
	heartbeat := r.heartbeat()
	return fmt.Sprint(heartbeat.Heard, heartbeat.Mutual, heartbeat.Unfit, heartbeat.MembershipBehind, heartbeat.Leader)
}

// heartbeat returns a complete heartbeat, without a serial.
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

// sendHeartbeat sends a heartbeat to one replica. It is abbreviated if it equals the last complete one sent there.
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

// equalHeartbeats reports whether two complete heartbeats of this replica are equal except for the serial. Membership
// versions are compared by pointer: r.membership is replaced, never modified, so equal pointers mean the same
// membership. A pointer that differs needlessly costs only a complete heartbeat.
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

// isAbbreviated reports whether a heartbeat has only a serial, and so stands for the complete one with that serial.
func isAbbreviated(heartbeat *schema.Heartbeat) bool {
	return heartbeat.Membership == nil && heartbeat.Serial != 0
}

// onHeartbeat handles a heartbeat from a member, or from one of the nonMembers.
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
		r.freshness.recordReport(from, r.now, heartbeat.Sequence, r.committedSequence)
	}
	peer.lastKnownVersion = &schema.Version{Term: heartbeat.Term, Sequence: heartbeat.Sequence}
	r.highestTerm = max(r.highestTerm, heartbeat.VotedTerm)
	// Of two contents of one term, one is a prefix of the other, so what is committed there is committed here too.
	if heartbeat.CommittedTerm == r.term {
		r.commitTo(heartbeat.Committed)
	}
	if r.needsSnapshotFrom(heartbeat) {
		r.send(from, snapshotRequestMessage(&schema.SnapshotRequest{}))
	}
	r.sendUrgentHeartbeats()
}

// needsSnapshotFrom reports whether this replica lags behind the committed content of a peer and has no link in both
// directions to the leader, so that it must get that content from the peer.
func (r *Replica) needsSnapshotFrom(heartbeat *schema.Heartbeat) bool {
	behind := heartbeat.CommittedTerm > r.term || (heartbeat.CommittedTerm == r.term && heartbeat.Committed > r.sequence)
	return r.isMember() && behind && r.role == roleFollower && !slices.Contains(r.mutualPeers(), r.leader())
}
