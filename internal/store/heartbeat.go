package store

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

// heartbeatInterval is the time from one round of heartbeats to the next.
func (r *Replica) heartbeatInterval() time.Duration {
	if !r.reachesMajority(r.config.Name) {
		return r.config.HeartbeatTimeout / isolatedHeartbeatsPerTimeout
	}
	return r.config.HeartbeatTimeout / heartbeatsPerTimeout
}

func (r *Replica) sendHeartbeats() {
	r.heartbeatSent, r.heartbeatSentAt, r.lastUrgentState = true, r.now, r.urgentState()
	for _, name := range r.otherMembers {
		r.sendHeartbeat(name, r.peers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.outsiders)) {
		if outsider := r.outsiders[name]; r.recentlyHeard(outsider) {
			r.sendHeartbeat(name, outsider)
		}
	}
}

// sendUrgentHeartbeats sends heartbeats at once when who hears whom, who is fit or who holds leadership has changed.
func (r *Replica) sendUrgentHeartbeats() {
	if r.isMember() && r.heartbeatSent && r.now-r.heartbeatSentAt >= r.config.HeartbeatTimeout/urgentHeartbeatsPerTimeout && r.urgentState() != r.lastUrgentState {
		r.sendHeartbeats()
	}
}

// news is what a heartbeat tells that must not wait for the next round.
func (r *Replica) urgentState() string {
	heartbeat := r.heartbeat()
	return fmt.Sprint(heartbeat.Heard, heartbeat.Mutual, heartbeat.Unfit, heartbeat.MembershipBehind, heartbeat.Leader)
}

func (r *Replica) heartbeat() *schema.Heartbeat {
	heartbeat := &schema.Heartbeat{Mutual: r.mutualPeers(), Unfit: r.unfit(), VotedTerm: r.votedTerm, Term: r.term, Sequence: r.sequence,
		Committed: r.committedSequence, CommittedTerm: r.committedTerm, Membership: r.membership.EffectiveFrom, MembershipBehind: len(r.newerMembers()) > 0}
	for _, name := range r.otherMembers {
		if r.recentlyHeard(r.peers[name]) {
			heartbeat.Heard = append(heartbeat.Heard, name)
		}
	}
	heartbeat.Heard = append(heartbeat.Heard, r.newerMembers()...)
	if r.role == roleLeader {
		heartbeat.Leader = r.config.Name
	}
	return heartbeat
}

// maxAbbreviatedHeartbeats is how often a heartbeat is said in short before it is said in full again.
const maxAbbreviatedHeartbeats = 8

// sendHeartbeat tells another replica how things stand here, in short if they stand as they did.
func (r *Replica) sendHeartbeat(to string, peer *peerState) {
	heartbeat := r.heartbeat()
	if peer.lastFullHeartbeat != nil {
		heartbeat.Serial = peer.lastFullHeartbeat.Serial
	}
	if peer.lastFullHeartbeat != nil && peer.abbreviatedCount < maxAbbreviatedHeartbeats && equalHeartbeats(heartbeat, peer.lastFullHeartbeat) {
		peer.abbreviatedCount++
		r.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: &schema.Heartbeat{Serial: heartbeat.Serial}}})
		return
	}
	r.heartbeatSerial++
	heartbeat.Serial, peer.lastFullHeartbeat, peer.abbreviatedCount = r.heartbeatSerial, heartbeat, 0
	r.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: heartbeat}})
}

func equalHeartbeats(a, b *schema.Heartbeat) bool {
	return slices.Equal(a.Mutual, b.Mutual) && slices.Equal(a.Heard, b.Heard) && a.Unfit == b.Unfit && a.VotedTerm == b.VotedTerm &&
		a.Term == b.Term && a.Sequence == b.Sequence && a.Committed == b.Committed && a.CommittedTerm == b.CommittedTerm && a.Leader == b.Leader &&
		a.MembershipBehind == b.MembershipBehind && a.Membership == b.Membership
}

// isAbbreviated tells that a heartbeat says no more than that nothing has changed.
func isAbbreviated(heartbeat *schema.Heartbeat) bool {
	return heartbeat.Membership == nil && heartbeat.Serial != 0
}

func (r *Replica) onHeartbeat(from string, peer *peerState, heartbeat *schema.Heartbeat) {
	if heartbeat.ResendFull {
		if peer.lastFullHeartbeat = nil; r.isMember() {
			r.sendHeartbeat(from, peer)
		}
		return
	}
	if isAbbreviated(heartbeat) {
		if peer.receivedHeartbeat.GetSerial() != heartbeat.Serial {
			r.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: &schema.Heartbeat{ResendFull: true}}})
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
	if heartbeat.CommittedTerm == r.term {
		r.commitTo(heartbeat.Committed)
	}
	// A replica the leader cannot reach learns what is committed from any other that has it.
	behind := heartbeat.CommittedTerm > r.term || (heartbeat.CommittedTerm == r.term && heartbeat.Committed > r.sequence)
	if r.isMember() && behind && r.role == roleFollower && !slices.Contains(r.mutualPeers(), r.leader()) {
		r.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_SnapshotRequest{SnapshotRequest: &schema.SnapshotRequest{}}})
	}
	r.sendUrgentHeartbeats()
}
