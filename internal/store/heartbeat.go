package store

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

// Heartbeats tell the other replicas whom this one hears and how far it is, in short where nothing has changed.

func (s *Replica) recentlyHeard(peer *peerState) bool {
	return peer.heard && s.now-peer.heardAt <= s.config.HeartbeatTimeout
}

// heartbeatInterval is the time from one round of heartbeats to the next.
func (s *Replica) heartbeatInterval() time.Duration {
	if !s.reachesMajority(s.config.Name) {
		return s.config.HeartbeatTimeout / isolatedHeartbeatsPerTimeout
	}
	return s.config.HeartbeatTimeout / heartbeatsPerTimeout
}

func (s *Replica) sendHeartbeats() {
	s.heartbeatSent, s.heartbeatSentAt, s.lastUrgentState = true, s.now, s.urgentState()
	for _, name := range s.otherMembers {
		s.sendHeartbeat(name, s.peers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.outsiders)) {
		if outsider := s.outsiders[name]; s.recentlyHeard(outsider) {
			s.sendHeartbeat(name, outsider)
		}
	}
}

// sendUrgentHeartbeats sends heartbeats at once when who hears whom, who is fit or who holds leadership has changed.
func (s *Replica) sendUrgentHeartbeats() {
	if s.isMember() && s.heartbeatSent && s.now-s.heartbeatSentAt >= s.config.HeartbeatTimeout/urgentHeartbeatsPerTimeout && s.urgentState() != s.lastUrgentState {
		s.sendHeartbeats()
	}
}

// news is what a heartbeat tells that must not wait for the next round.
func (s *Replica) urgentState() string {
	heartbeat := s.heartbeat()
	return fmt.Sprint(heartbeat.Heard, heartbeat.Mutual, heartbeat.Unfit, heartbeat.MembershipBehind, heartbeat.Leader)
}

func (s *Replica) heartbeat() *schema.Heartbeat {
	heartbeat := &schema.Heartbeat{Mutual: s.mutualPeers(), Unfit: s.unfit(), VotedTerm: s.votedTerm, Term: s.term, Sequence: s.sequence,
		Committed: s.committedSequence, CommittedTerm: s.committedTerm, Membership: s.membership.EffectiveFrom, MembershipBehind: len(s.newerMembers()) > 0}
	for _, name := range s.otherMembers {
		if s.recentlyHeard(s.peers[name]) {
			heartbeat.Heard = append(heartbeat.Heard, name)
		}
	}
	heartbeat.Heard = append(heartbeat.Heard, s.newerMembers()...)
	if s.role == roleLeader {
		heartbeat.Leader = s.config.Name
	}
	return heartbeat
}

// maxAbbreviatedHeartbeats is how often a heartbeat is said in short before it is said in full again.
const maxAbbreviatedHeartbeats = 8

// sendHeartbeat tells another replica how things stand here, in short if they stand as they did.
func (s *Replica) sendHeartbeat(to string, peer *peerState) {
	heartbeat := s.heartbeat()
	if peer.lastFullHeartbeat != nil {
		heartbeat.Serial = peer.lastFullHeartbeat.Serial
	}
	if peer.lastFullHeartbeat != nil && peer.abbreviatedCount < maxAbbreviatedHeartbeats && equalHeartbeats(heartbeat, peer.lastFullHeartbeat) {
		peer.abbreviatedCount++
		s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: &schema.Heartbeat{Serial: heartbeat.Serial}}})
		return
	}
	s.heartbeatSerial++
	heartbeat.Serial, peer.lastFullHeartbeat, peer.abbreviatedCount = s.heartbeatSerial, heartbeat, 0
	s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: heartbeat}})
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

func (s *Replica) onHeartbeat(from string, peer *peerState, heartbeat *schema.Heartbeat) {
	if heartbeat.ResendFull {
		if peer.lastFullHeartbeat = nil; s.isMember() {
			s.sendHeartbeat(from, peer)
		}
		return
	}
	if isAbbreviated(heartbeat) {
		if peer.receivedHeartbeat.GetSerial() != heartbeat.Serial {
			s.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: &schema.Heartbeat{ResendFull: true}}})
			return
		}
		heartbeat = peer.receivedHeartbeat
	}
	peer.receivedHeartbeat = heartbeat
	if !heartbeat.Unfit {
		s.freshness.observe(from, s.now, heartbeat.Sequence, s.committedSequence)
	}
	peer.lastKnownVersion = &schema.Version{Term: heartbeat.Term, Sequence: heartbeat.Sequence}
	s.highestTerm = max(s.highestTerm, heartbeat.VotedTerm)
	if heartbeat.CommittedTerm == s.term {
		s.commitTo(heartbeat.Committed)
	}
	// A replica the leader cannot reach learns what is committed from any other that has it.
	behind := heartbeat.CommittedTerm > s.term || (heartbeat.CommittedTerm == s.term && heartbeat.Committed > s.sequence)
	if s.isMember() && behind && s.role == roleFollower && !slices.Contains(s.mutualPeers(), s.leader()) {
		s.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_SnapshotRequest{SnapshotRequest: &schema.SnapshotRequest{}}})
	}
	s.sendUrgentHeartbeats()
}
