package store

import (
	"slices"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// appendAsLeader appends an entry of the leader's own and hands it to the others.
func (r *Replica) appendAsLeader(entry *schema.Entry) {
	r.appendEntry(entry)
	r.persist(&schema.Record{Entries: []*schema.Entry{entry}}, pendingWrite{})
	r.replicateAll()
}

// replicateAll sends everybody who has this epoch's beginning what is new. Whoever lacks it gets it by
// resend; entries before it would be wasted.
func (r *Replica) replicateAll() {
	for _, name := range r.otherMembers {
		if peer := r.peers[name]; peer.term == r.term {
			r.replicate(name, peer)
		}
	}
	for _, name := range r.learners() {
		if peer := r.outsiders[name]; peer.term == r.term {
			r.replicate(name, peer)
		}
	}
}

// replicate sends a peer what it lacks under this epoch: its beginning first, then entries.
func (r *Replica) replicate(name string, peer *peerState) {
	if peer.term != r.term || peer.acked < r.baseSequence {
		r.sendBeginTerm(name, peer)
		return
	}
	if peer.sent < peer.acked {
		peer.sent = peer.acked
	}
	var entries []*schema.Entry
	if peer.sent < r.sequence {
		entries = r.entries[peer.sent-r.baseSequence:]
	}
	r.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendEntries{AppendEntries: &schema.AppendEntries{Term: r.term, PreviousSequence: peer.sent, Entries: entries, Committed: r.committedSequence}}})
	peer.sent = r.sequence
}

// sendBeginTerm begins this replica's epoch at another: upon the state that it holds, if that is a part of
// what the epoch began with here, else with the whole state, which may be large.
func (r *Replica) sendBeginTerm(name string, peer *peerState) {
	begin := &schema.BeginTerm{Term: r.term}
	reported := peer.lastKnownVersion
	isPrefix := reported != nil && r.termStartVersion.Term != r.term && reported.Term == r.termStartVersion.Term && reported.Sequence <= r.termStartVersion.Sequence && reported.Sequence >= r.baseSequence
	switch {
	case isPrefix:
		begin.Base, begin.Entries = reported, r.entries[reported.Sequence-r.baseSequence:]
	case !peer.versionReported && r.termStartVersion.Term != r.term && r.termStartVersion.Sequence >= r.baseSequence:
		// What it held may be long ago: it is asked by trying, before much is sent.
		begin.Base, begin.Entries = r.termStartVersion, r.entries[r.termStartVersion.Sequence-r.baseSequence:]
	case peer.snapshotSentAt != 0 && r.now-peer.snapshotSentAt < r.config.HeartbeatTimeout && peer.sent != 0:
		return // it may be under way still
	default:
		begin.Snapshot, peer.snapshotSentAt = r.snapshot(), r.now
	}
	r.send(name, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_BeginTerm{BeginTerm: begin}})
	peer.sent = r.sequence
}

func (r *Replica) onBeginTerm(from string, begin *schema.BeginTerm) {
	if begin.Term < r.votedTerm && r.isExcluded() {
		r.restartAsNewIncarnation()
		return
	}
	if begin.Term < r.votedTerm {
		r.refuseAppend(from)
		return
	}
	if begin.Term == r.term && (begin.Snapshot == nil || r.sequence >= begin.Snapshot.Sequence) {
		r.ackDurable(from)
		return
	}
	if upon := begin.Base; begin.Snapshot == nil && (upon.GetTerm() != r.term || upon.GetSequence() != r.sequence) {
		r.ackDurable(from)
		return
	}
	if r.role != roleFollower {
		r.becomeFollower()
	}
	r.recordVote(begin.Term, from)
	if begin.Snapshot != nil {
		r.restoreSnapshot(begin.Snapshot)
		r.term = begin.Term
		r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{messages: []*schema.ReplicaMessage{r.ackMessage(from)}})
		return
	}
	appended := r.appendContiguous(begin.Entries)
	r.term = begin.Term
	r.persist(&schema.Record{Entries: appended, Term: r.term, VotedTerm: r.votedTerm, VotedFor: from}, pendingWrite{messages: []*schema.ReplicaMessage{r.ackMessage(from)}})
}

func (r *Replica) onAppendEntries(from string, request *schema.AppendEntries) {
	if request.Term < r.votedTerm {
		r.refuseAppend(from)
		return
	}
	if request.Term != r.term || request.PreviousSequence > r.sequence {
		r.ackDurable(from)
		return
	}
	if appended := r.appendContiguous(request.Entries); len(appended) > 0 {
		if r.hasFault(faultEarlyAcknowledgement) {
			r.send(from, r.ackMessage(from))
		}
		r.persist(&schema.Record{Entries: appended}, pendingWrite{messages: []*schema.ReplicaMessage{r.ackMessage(from)}})
	} else if len(request.Entries) > 0 {
		r.ackDurable(from)
	}
	r.commitTo(request.Committed)
}

func (r *Replica) refuseAppend(from string) {
	r.send(from, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Refused: true, HigherTerm: r.votedTerm}}})
}

func (r *Replica) ackMessage(to string) *schema.ReplicaMessage {
	return &schema.ReplicaMessage{To: to, Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Term: r.term, Sequence: r.sequence}}}
}

// ackDurable acknowledges what is on disk now, for messages that brought nothing new.
func (r *Replica) ackDurable(to string) {
	r.send(to, &schema.ReplicaMessage{Body: &schema.ReplicaMessage_AppendReply{AppendReply: &schema.AppendReply{Term: r.durableTerm, Sequence: r.durableSequence, Appended: r.lastVersion()}}})
}

func (r *Replica) onAppendReply(from string, peer *peerState, counted bool, reply *schema.AppendReply) {
	if reply.Refused {
		r.highestTerm = max(r.highestTerm, reply.HigherTerm)
		// Who is no member disturbs nobody, unless there is a place for it.
		mayJoin := counted || len(r.membership.Members) < int(r.membership.TargetSize)
		if (r.role == roleLeader || r.role == roleLeaderElect) && reply.HigherTerm > r.term && mayJoin {
			r.becomeFollower()
		}
		return
	}
	if r.role != roleLeaderElect && r.role != roleLeader {
		return
	}
	if reply.Term != r.term {
		// It lacks this epoch's beginning, and gets it upon what it says that it holds.
		if reported := reply.Appended; reported != nil && reported.Term != r.term {
			repeated := peer.versionReported && peer.lastKnownVersion.GetTerm() == reported.Term && peer.lastKnownVersion.GetSequence() == reported.Sequence
			if peer.versionReported, peer.lastKnownVersion = true, reported; !repeated {
				r.replicate(from, peer)
			}
		}
		return
	}
	first := peer.term != r.term
	peer.term, peer.acked = r.term, max(peer.acked, reply.Sequence)
	r.advanceCommit()
	if first && peer.acked < r.sequence && r.role == roleLeader {
		peer.sent = peer.acked
		r.replicate(from, peer)
	}
	r.reconcileMembership()
}

// advanceCommit finds what enough members have on disk under this epoch; that much is committed.
func (r *Replica) advanceCommit() {
	if (r.role != roleLeaderElect && r.role != roleLeader) || r.durableTerm != r.term {
		return
	}
	durable := []uint64{r.durableSequence}
	for _, member := range r.membership.Members {
		// A founder counts only once it is bound to its folder.
		if peer := r.peers[member.Id]; peer != nil && member.Incarnation != 0 && peer.term == r.term {
			durable = append(durable, peer.acked)
		}
	}
	needed := commitQuorum(r.membership, r.config.ToleratedLosses)
	if r.hasFault(faultCountLearners) {
		for _, name := range r.learners() {
			if learner := r.outsiders[name]; learner.term == r.term {
				durable = append(durable, learner.acked)
			}
		}
	}
	if r.hasFault(faultFoundersQuorum) {
		needed = min(needed, faultFounderCount/2+1)
	}
	if len(durable) < needed {
		return
	}
	slices.Sort(durable)
	r.role = roleLeader
	before, beforeTerm := r.committedSequence, r.committedTerm
	r.commitTo(durable[len(durable)-needed])
	// Followers show a change only once they know it is committed, so they are told at once.
	if r.committedSequence != before || r.committedTerm != beforeTerm {
		r.replicateAll()
		r.sendUrgentHeartbeats()
	}
}

// resendUnacknowledged repeats whatever a lost message may have held up.
func (r *Replica) resendUnacknowledged() {
	for _, name := range r.otherMembers {
		peer := r.peers[name]
		if !r.recentlyHeard(peer) {
			continue
		}
		switch r.role {
		case roleCandidate:
			if peer.vote == nil && r.durableVotedTerm() >= r.votedTerm {
				r.requestVote(name)
			}
		case roleLeaderElect, roleLeader:
			if peer.term != r.term || peer.acked < r.sequence {
				peer.sent = peer.acked
				r.replicate(name, peer)
			}
		}
	}
	if r.role == roleLeader && len(r.pendingReads) > 0 {
		r.sendConfirm()
	}
}

func (r *Replica) onSnapshotReply(snapshot *schema.Snapshot) {
	if !r.isMember() || r.role != roleFollower || !config.Newer(&schema.Version{Term: snapshot.Term, Sequence: snapshot.Sequence}, r.lastVersion()) {
		return
	}
	// Committed state may be taken even under a later vote: a majority has it already, so
	// whoever was voted for will read it too.
	if snapshot.Term > r.votedTerm {
		r.recordVote(snapshot.Term, "")
	}
	r.restoreSnapshot(snapshot)
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
	r.commitTo(snapshot.Sequence)
}
