package store

import (
	"slices"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// How the leader hands entries to the others, and when what enough of them have on disk is committed.

// resendUnacknowledged repeats whatever a lost message may have held up.
func (s *Replica) resendUnacknowledged() {
	for _, name := range s.otherMembers {
		peer := s.peers[name]
		if !s.recentlyHeard(peer) {
			continue
		}
		switch s.role {
		case roleCandidate:
			if peer.vote == nil && s.durableVotedTerm() >= s.votedTerm {
				s.requestVote(name)
			}
		case roleLeaderElect, roleLeader:
			if peer.term != s.term || peer.acked < s.sequence {
				peer.sent = peer.acked
				s.replicate(name, peer)
			}
		}
	}
	if s.role == roleLeader && len(s.pendingReads) > 0 {
		s.sendConfirm()
	}
}

// appendContiguous takes entries that follow what is held.
func (s *Replica) appendContiguous(entries []*schema.Entry) (appended []*schema.Entry) {
	for _, entry := range entries {
		if entry.Version.Sequence == s.sequence+1 {
			s.appendEntry(entry)
			appended = append(appended, entry)
		}
	}
	return appended
}

// replicate sends a peer what it lacks under this epoch: its beginning first, then entries.
func (s *Replica) replicate(name string, peer *peerState) {
	if peer.term != s.term || peer.acked < s.baseSequence {
		s.sendBeginTerm(name, peer)
		return
	}
	if peer.sent < peer.acked {
		peer.sent = peer.acked
	}
	var entries []*schema.Entry
	if peer.sent < s.sequence {
		entries = s.entries[peer.sent-s.baseSequence:]
	}
	s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendEntries{AppendEntries: &schema.AppendEntries{Term: s.term, PreviousSequence: peer.sent, Entries: entries, Committed: s.committedSequence}}})
	peer.sent = s.sequence
}

// sendBeginTerm begins this replica's epoch at another: upon the state that it holds, if that is a part of
// what the epoch began with here, else with the whole state, which may be large.
func (s *Replica) sendBeginTerm(name string, peer *peerState) {
	begin := &schema.BeginTerm{Term: s.term}
	reported := peer.lastKnownVersion
	isPrefix := reported != nil && s.termStartVersion.Term != s.term && reported.Term == s.termStartVersion.Term && reported.Sequence <= s.termStartVersion.Sequence && reported.Sequence >= s.baseSequence
	switch {
	case isPrefix:
		begin.Base, begin.Entries = reported, s.entries[reported.Sequence-s.baseSequence:]
	case !peer.versionReported && s.termStartVersion.Term != s.term && s.termStartVersion.Sequence >= s.baseSequence:
		// What it held may be long ago: it is asked by trying, before much is sent.
		begin.Base, begin.Entries = s.termStartVersion, s.entries[s.termStartVersion.Sequence-s.baseSequence:]
	case peer.snapshotSentAt != 0 && s.now-peer.snapshotSentAt < s.config.HeartbeatTimeout && peer.sent != 0:
		return // it may be under way still
	default:
		begin.Snapshot, peer.snapshotSentAt = s.snapshot(), s.now
	}
	s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_BeginTerm{BeginTerm: begin}})
	peer.sent = s.sequence
}

func (s *Replica) refuseAppend(from string) {
	s.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Refused: true, HigherTerm: s.votedTerm}}})
}

func (s *Replica) ackMessage(to string) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{To: to, Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Term: s.term, Sequence: s.sequence}}}
}

// ackDurable acknowledges what is on disk now, for messages that brought nothing new.
func (s *Replica) ackDurable(to string) {
	s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Term: s.durableTerm, Sequence: s.durableSequence, Appended: s.lastVersion()}}})
}

func (s *Replica) onBeginTerm(from string, begin *schema.BeginTerm) {
	if begin.Term < s.votedTerm && s.isExcluded() {
		s.restartAsNewIncarnation()
		return
	}
	if begin.Term < s.votedTerm {
		s.refuseAppend(from)
		return
	}
	if begin.Term == s.term && (begin.Snapshot == nil || s.sequence >= begin.Snapshot.Sequence) {
		s.ackDurable(from)
		return
	}
	if upon := begin.Base; begin.Snapshot == nil && (upon.GetTerm() != s.term || upon.GetSequence() != s.sequence) {
		s.ackDurable(from)
		return
	}
	if s.role != roleFollower {
		s.becomeFollower()
	}
	s.recordVote(begin.Term, from)
	if begin.Snapshot != nil {
		s.restoreSnapshot(begin.Snapshot)
		s.term = begin.Term
		s.persist(&schema.Record{Snapshot: s.snapshot()}, pendingWrite{messages: []*schema.ReplicaMessage{s.ackMessage(from)}})
		return
	}
	appended := s.appendContiguous(begin.Entries)
	s.term = begin.Term
	s.persist(&schema.Record{Entries: appended, Term: s.term, VotedTerm: s.votedTerm, VotedFor: from}, pendingWrite{messages: []*schema.ReplicaMessage{s.ackMessage(from)}})
}

func (s *Replica) onAppendEntries(from string, request *schema.AppendEntries) {
	if request.Term < s.votedTerm {
		s.refuseAppend(from)
		return
	}
	if request.Term != s.term || request.PreviousSequence > s.sequence {
		s.ackDurable(from)
		return
	}
	if appended := s.appendContiguous(request.Entries); len(appended) > 0 {
		if s.hasFault(faultEarlyAcknowledgement) {
			s.send(from, s.ackMessage(from))
		}
		s.persist(&schema.Record{Entries: appended}, pendingWrite{messages: []*schema.ReplicaMessage{s.ackMessage(from)}})
	} else if len(request.Entries) > 0 {
		s.ackDurable(from)
	}
	s.commitTo(request.Committed)
}

func (s *Replica) onAppendReply(from string, peer *peerState, counted bool, reply *schema.AppendReply) {
	if reply.Refused {
		s.highestTerm = max(s.highestTerm, reply.HigherTerm)
		// Who is no member disturbs nobody, unless there is a place for it.
		mayJoin := counted || len(s.membership.Members) < int(s.membership.TargetSize)
		if (s.role == roleLeader || s.role == roleLeaderElect) && reply.HigherTerm > s.term && mayJoin {
			s.becomeFollower()
		}
		return
	}
	if s.role != roleLeaderElect && s.role != roleLeader {
		return
	}
	if reply.Term != s.term {
		// It lacks this epoch's beginning, and gets it upon what it says that it holds.
		if reported := reply.Appended; reported != nil && reported.Term != s.term {
			repeated := peer.versionReported && peer.lastKnownVersion.GetTerm() == reported.Term && peer.lastKnownVersion.GetSequence() == reported.Sequence
			if peer.versionReported, peer.lastKnownVersion = true, reported; !repeated {
				s.replicate(from, peer)
			}
		}
		return
	}
	first := peer.term != s.term
	peer.term, peer.acked = s.term, max(peer.acked, reply.Sequence)
	s.advanceCommit()
	if first && peer.acked < s.sequence && s.role == roleLeader {
		peer.sent = peer.acked
		s.replicate(from, peer)
	}
	s.reconcileMembership()
}

// advanceCommit finds what enough members have on disk under this epoch; that much is committed.
func (s *Replica) advanceCommit() {
	if (s.role != roleLeaderElect && s.role != roleLeader) || s.durableTerm != s.term {
		return
	}
	durable := []uint64{s.durableSequence}
	for _, member := range s.membership.Members {
		// A founder counts only once it is bound to its folder.
		if peer := s.peers[member.Id]; peer != nil && member.Incarnation != 0 && peer.term == s.term {
			durable = append(durable, peer.acked)
		}
	}
	needed := commitQuorum(s.membership, s.config.ToleratedLosses)
	if s.hasFault(faultCountLearners) {
		for _, name := range s.learners() {
			if learner := s.outsiders[name]; learner.term == s.term {
				durable = append(durable, learner.acked)
			}
		}
	}
	if s.hasFault(faultFoundersQuorum) {
		needed = min(needed, faultFounderCount/2+1)
	}
	if len(durable) < needed {
		return
	}
	slices.Sort(durable)
	s.role = roleLeader
	before, beforeTerm := s.committedSequence, s.committedTerm
	s.commitTo(durable[len(durable)-needed])
	// Followers show a change only once they know it is committed, so they are told at once.
	if s.committedSequence != before || s.committedTerm != beforeTerm {
		s.replicateAll()
		s.sendUrgentHeartbeats()
	}
}

// replicateAll sends everybody who has this epoch's beginning what is new. Whoever lacks it gets it by
// resend; entries before it would be wasted.
func (s *Replica) replicateAll() {
	for _, name := range s.otherMembers {
		if peer := s.peers[name]; peer.term == s.term {
			s.replicate(name, peer)
		}
	}
	for _, name := range s.learners() {
		if peer := s.outsiders[name]; peer.term == s.term {
			s.replicate(name, peer)
		}
	}
}

// appendAsLeader appends an entry of the leader's own and hands it to the others.
func (s *Replica) appendAsLeader(entry *schema.Entry) {
	s.appendEntry(entry)
	s.persist(&schema.Record{Entries: []*schema.Entry{entry}}, pendingWrite{})
	s.replicateAll()
}

func (s *Replica) onSnapshotReply(snapshot *schema.Snapshot) {
	if !s.isMember() || s.role != roleFollower || !config.Newer(&schema.Version{Term: snapshot.Term, Sequence: snapshot.Sequence}, s.lastVersion()) {
		return
	}
	// Committed state may be taken even under a later vote: a majority has it already, so
	// whoever was voted for will read it too.
	if snapshot.Term > s.votedTerm {
		s.recordVote(snapshot.Term, "")
	}
	s.restoreSnapshot(snapshot)
	s.persist(&schema.Record{Snapshot: s.snapshot()}, pendingWrite{})
	s.commitTo(snapshot.Sequence)
}
