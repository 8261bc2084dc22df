package store

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowhinge/schema"
)

// Heartbeats tell the other replicas whom this one hears and how far it is, in short where nothing has changed.

func (s *Replica) hears(known *peer) bool {
	return known.heard && s.now-known.heardAt <= s.options.Silence
}

// heartbeatInterval is the time from one round of heartbeats to the next.
func (s *Replica) pause() time.Duration {
	if !s.reachesMajority(s.options.Name) {
		return s.options.Silence / hurriesPerSilence
	}
	return s.options.Silence / heartbeatsPerSilence
}

func (s *Replica) sendHeartbeats() {
	s.sentHeartbeat, s.lastHeartbeat, s.lastNews = true, s.now, s.said()
	for _, name := range s.otherMembers {
		s.sendHeartbeat(name, s.peers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.outsiders)) {
		if one := s.outsiders[name]; s.hears(one) {
			s.sendHeartbeat(name, one)
		}
	}
}

// sendNews sends heartbeats at once when who hears whom, who is fit or who holds leadership has changed.
func (s *Replica) sendNews() {
	if s.member() && s.sentHeartbeat && s.now-s.lastHeartbeat >= s.options.Silence/newsPerSilence && s.said() != s.lastNews {
		s.sendHeartbeats()
	}
}

// news is what a heartbeat tells that must not wait for the next round.
func (s *Replica) said() string {
	heartbeat := s.heartbeat()
	return fmt.Sprint(heartbeat.Heard, heartbeat.Mutual, heartbeat.Unfit, heartbeat.Behind, heartbeat.Leader)
}

func (s *Replica) heartbeat() *schema.Heartbeat {
	heartbeat := &schema.Heartbeat{Mutual: s.mutual(), Unfit: s.unfit(), VotedEpoch: s.votedEpoch, Epoch: s.epoch, Sequence: s.seq,
		Committed: s.committed, CommittedEpoch: s.committedEpoch, Membership: s.membership.Taken, Behind: len(s.newerMembers()) > 0}
	for _, name := range s.otherMembers {
		if s.hears(s.peers[name]) {
			heartbeat.Heard = append(heartbeat.Heard, name)
		}
	}
	heartbeat.Heard = append(heartbeat.Heard, s.newerMembers()...)
	if s.phase == active {
		heartbeat.Leader = s.options.Name
	}
	return heartbeat
}

// abbreviatedMost is how often a heartbeat is said in short before it is said in full again.
const abbreviatedMost = 8

// sendHeartbeat tells another replica how things stand here, in short if they stand as they did.
func (s *Replica) sendHeartbeat(to string, known *peer) {
	heartbeat := s.heartbeat()
	if known.told != nil {
		heartbeat.Serial = known.told.Serial
	}
	if known.told != nil && known.abbreviated < abbreviatedMost && sameHeartbeat(heartbeat, known.told) {
		known.abbreviated++
		s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: &schema.Heartbeat{Serial: heartbeat.Serial}}})
		return
	}
	s.serial++
	heartbeat.Serial, known.told, known.abbreviated = s.serial, heartbeat, 0
	s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: heartbeat}})
}

func sameHeartbeat(a, b *schema.Heartbeat) bool {
	return slices.Equal(a.Mutual, b.Mutual) && slices.Equal(a.Heard, b.Heard) && a.Unfit == b.Unfit && a.VotedEpoch == b.VotedEpoch &&
		a.Epoch == b.Epoch && a.Sequence == b.Sequence && a.Committed == b.Committed && a.CommittedEpoch == b.CommittedEpoch && a.Leader == b.Leader &&
		a.Behind == b.Behind && a.Membership == b.Membership
}

// abbreviated tells that a heartbeat says no more than that nothing has changed.
func abbreviated(heartbeat *schema.Heartbeat) bool {
	return heartbeat.Membership == nil && heartbeat.Serial != 0
}

func (s *Replica) onHeartbeat(from string, known *peer, heartbeat *schema.Heartbeat) {
	if heartbeat.Unknown {
		if known.told = nil; s.member() {
			s.sendHeartbeat(from, known)
		}
		return
	}
	if abbreviated(heartbeat) {
		if known.heartbeat.GetSerial() != heartbeat.Serial {
			s.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_Heartbeat{Heartbeat: &schema.Heartbeat{Unknown: true}}})
			return
		}
		heartbeat = known.heartbeat
	}
	known.heartbeat = heartbeat
	if !heartbeat.Unfit {
		s.fresh.told(from, s.now, heartbeat.Sequence, s.committed)
	}
	known.have = &schema.Version{Epoch: heartbeat.Epoch, Sequence: heartbeat.Sequence}
	s.highest = max(s.highest, heartbeat.VotedEpoch)
	if heartbeat.CommittedEpoch == s.epoch {
		s.commitTo(heartbeat.Committed)
	}
	// A replica the leader cannot reach learns what is committed from any other that has it.
	behind := heartbeat.CommittedEpoch > s.epoch || (heartbeat.CommittedEpoch == s.epoch && heartbeat.Committed > s.seq)
	if s.member() && behind && s.phase == idle && !slices.Contains(s.mutual(), s.leader()) {
		s.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_SnapshotRequest{SnapshotRequest: &schema.SnapshotRequest{}}})
	}
	s.sendNews()
}
