package store

import (
	"slices"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// How the leader hands entries to the others, and when what enough of them have on disk is committed.

// resend repeats whatever a lost message may have held up.
func (s *Replica) resend() {
	for _, name := range s.otherMembers {
		known := s.peers[name]
		if !s.hears(known) {
			continue
		}
		switch s.phase {
		case campaigning:
			if known.vote == nil && s.durableVote() >= s.votedEpoch {
				s.requestVote(name)
			}
		case beginning, active:
			if known.epoch != s.epoch || known.acked < s.seq {
				known.sent = known.acked
				s.replicate(name, known)
			}
		}
	}
	if s.phase == active && len(s.pendingReads) > 0 {
		s.sendConfirm()
	}
}

// appendFollowing takes entries that follow what is held.
func (s *Replica) appendFollowing(entries []*schema.Entry) (taken []*schema.Entry) {
	for _, entry := range entries {
		if entry.Version.Sequence == s.seq+1 {
			s.append(entry)
			taken = append(taken, entry)
		}
	}
	return taken
}

// replicate sends a peer what it lacks under this epoch: its beginning first, then entries.
func (s *Replica) replicate(name string, known *peer) {
	if known.epoch != s.epoch || known.acked < s.baseSeq {
		s.beginEpochAt(name, known)
		return
	}
	if known.sent < known.acked {
		known.sent = known.acked
	}
	var entries []*schema.Entry
	if known.sent < s.seq {
		entries = s.entries[known.sent-s.baseSeq:]
	}
	s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendEntries{AppendEntries: &schema.AppendEntries{Epoch: s.epoch, After: known.sent, Entries: entries, Committed: s.committed}}})
	known.sent = s.seq
}

// beginEpochAt begins this replica's epoch at another: upon the state that it holds, if that is a part of
// what the epoch began with here, else with the whole state, which may be large.
func (s *Replica) beginEpochAt(name string, known *peer) {
	beginEpochAt := &schema.BeginEpoch{Epoch: s.epoch}
	have := known.have
	within := have != nil && s.upon.Epoch != s.epoch && have.Epoch == s.upon.Epoch && have.Sequence <= s.upon.Sequence && have.Sequence >= s.baseSeq
	switch {
	case within:
		beginEpochAt.Upon, beginEpochAt.Entries = have, s.entries[have.Sequence-s.baseSeq:]
	case !known.tells && s.upon.Epoch != s.epoch && s.upon.Sequence >= s.baseSeq:
		// What it held may be long ago: it is asked by trying, before much is sent.
		beginEpochAt.Upon, beginEpochAt.Entries = s.upon, s.entries[s.upon.Sequence-s.baseSeq:]
	case known.wholeAt != 0 && s.now-known.wholeAt < s.options.Silence && known.sent != 0:
		return // it may be under way still
	default:
		beginEpochAt.Snapshot, known.wholeAt = s.snapshot(), s.now
	}
	s.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_BeginEpoch{BeginEpoch: beginEpochAt}})
	known.sent = s.seq
}

func (s *Replica) refuse(from string) {
	s.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Refused: true, Higher: s.votedEpoch}}})
}

func (s *Replica) ackMessage(to string) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{To: to, Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Epoch: s.epoch, Sequence: s.seq}}}
}

// ackSynced acknowledges what is on disk now, for messages that brought nothing new.
func (s *Replica) ackSynced(to string) {
	s.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Epoch: s.durableEpoch, Sequence: s.durableSeq, Have: s.holds()}}})
}

func (s *Replica) onBeginEpoch(from string, begin *schema.BeginEpoch) {
	if begin.Epoch < s.votedEpoch && s.excluded() {
		s.startAnew()
		return
	}
	if begin.Epoch < s.votedEpoch {
		s.refuse(from)
		return
	}
	if begin.Epoch == s.epoch && (begin.Snapshot == nil || s.seq >= begin.Snapshot.Sequence) {
		s.ackSynced(from)
		return
	}
	if upon := begin.Upon; begin.Snapshot == nil && (upon.GetEpoch() != s.epoch || upon.GetSequence() != s.seq) {
		s.ackSynced(from)
		return
	}
	if s.phase != idle {
		s.stepDown()
	}
	s.recordVote(begin.Epoch, from)
	if begin.Snapshot != nil {
		s.restore(begin.Snapshot)
		s.epoch = begin.Epoch
		s.persist(&schema.Record{Snapshot: s.snapshot()}, afterSync{messages: []*schema.ReplicaMessage{s.ackMessage(from)}})
		return
	}
	taken := s.appendFollowing(begin.Entries)
	s.epoch = begin.Epoch
	s.persist(&schema.Record{Entries: taken, Epoch: s.epoch, VotedEpoch: s.votedEpoch, VotedFor: from}, afterSync{messages: []*schema.ReplicaMessage{s.ackMessage(from)}})
}

func (s *Replica) onAppendEntries(from string, given *schema.AppendEntries) {
	if given.Epoch < s.votedEpoch {
		s.refuse(from)
		return
	}
	if given.Epoch != s.epoch || given.After > s.seq {
		s.ackSynced(from)
		return
	}
	if taken := s.appendFollowing(given.Entries); len(taken) > 0 {
		if s.has(plantEarlyAcknowledgement) {
			s.send(from, s.ackMessage(from))
		}
		s.persist(&schema.Record{Entries: taken}, afterSync{messages: []*schema.ReplicaMessage{s.ackMessage(from)}})
	} else if len(given.Entries) > 0 {
		s.ackSynced(from)
	}
	s.commitTo(given.Committed)
}

func (s *Replica) onAppendReply(from string, known *peer, counted bool, reply *schema.AppendReply) {
	if reply.Refused {
		s.highest = max(s.highest, reply.Higher)
		// Who is no member disturbs nobody, unless there is a place for it.
		wanted := counted || len(s.membership.Members) < int(s.membership.Wanted)
		if (s.phase == active || s.phase == beginning) && reply.Higher > s.epoch && wanted {
			s.stepDown()
		}
		return
	}
	if s.phase != beginning && s.phase != active {
		return
	}
	if reply.Epoch != s.epoch {
		// It lacks this epoch's beginning, and gets it upon what it says that it holds.
		if told := reply.Have; told != nil && told.Epoch != s.epoch {
			again := known.tells && known.have.GetEpoch() == told.Epoch && known.have.GetSequence() == told.Sequence
			if known.tells, known.have = true, told; !again {
				s.replicate(from, known)
			}
		}
		return
	}
	first := known.epoch != s.epoch
	known.epoch, known.acked = s.epoch, max(known.acked, reply.Sequence)
	s.advanceCommit()
	if first && known.acked < s.seq && s.phase == active {
		known.sent = known.acked
		s.replicate(from, known)
	}
	s.reconcileMembership()
}

// advanceCommit finds what enough members have on disk under this epoch; that much is committed.
func (s *Replica) advanceCommit() {
	if (s.phase != beginning && s.phase != active) || s.durableEpoch != s.epoch {
		return
	}
	reached := []uint64{s.durableSeq}
	for _, replica := range s.membership.Members {
		// A founder counts only once it is bound to its folder.
		if known := s.peers[replica.Seat]; known != nil && replica.Incarnation != 0 && known.epoch == s.epoch {
			reached = append(reached, known.acked)
		}
	}
	needed := neededOf(s.membership, s.options.Losses)
	if s.has(plantCountLearners) {
		for _, name := range s.learners() {
			if learner := s.outsiders[name]; learner.epoch == s.epoch {
				reached = append(reached, learner.acked)
			}
		}
	}
	if s.has(plantFoundersQuorum) {
		needed = min(needed, plantedFounders/2+1)
	}
	if len(reached) < needed {
		return
	}
	slices.Sort(reached)
	s.phase = active
	before, beforeEpoch := s.committed, s.committedEpoch
	s.commitTo(reached[len(reached)-needed])
	// Followers show a change only once they know it is committed, so they are told at once.
	if s.committed != before || s.committedEpoch != beforeEpoch {
		s.replicateAll()
		s.sendNews()
	}
}

// replicateAll sends everybody who has this epoch's beginning what is new. Whoever lacks it gets it by
// resend; entries before it would be wasted.
func (s *Replica) replicateAll() {
	for _, name := range s.otherMembers {
		if known := s.peers[name]; known.epoch == s.epoch {
			s.replicate(name, known)
		}
	}
	for _, name := range s.learners() {
		if known := s.outsiders[name]; known.epoch == s.epoch {
			s.replicate(name, known)
		}
	}
}

// appendOwn appends an entry of the leader's own and hands it to the others.
func (s *Replica) appendOwn(entry *schema.Entry) {
	s.append(entry)
	s.persist(&schema.Record{Entries: []*schema.Entry{entry}}, afterSync{})
	s.replicateAll()
}

func (s *Replica) onSnapshotReply(snapshot *schema.Snapshot) {
	if !s.member() || s.phase != idle || !setup.Newer(&schema.Version{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence}, s.holds()) {
		return
	}
	// Committed state may be taken even under a later vote: a majority has it already, so
	// whoever was voted for will read it too.
	if snapshot.Epoch > s.votedEpoch {
		s.recordVote(snapshot.Epoch, "")
	}
	s.restore(snapshot)
	s.persist(&schema.Record{Snapshot: s.snapshot()}, afterSync{})
	s.commitTo(snapshot.Sequence)
}
