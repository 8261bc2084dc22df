package store

import (
	"slices"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// This file replicates the leader's content to the other replicas, and commits what a commit quorum has on disk.
//
// A peer first gets the beginning of the term (BeginTerm). From then on its content is a prefix of the leader's, and
// AppendEntries extends it. The peer acknowledges both by an AppendReply with the version that is durable there.

// appendAsLeader appends an entry at the leader and replicates it. The leader's copy counts for the commit only once
// Persisted has reported it durable, like the copy of any other member.
func (r *Replica) appendAsLeader(entry *schema.Entry) {
	r.appendEntry(entry)
	r.persist(&schema.Record{Entries: []*schema.Entry{entry}}, pendingWrite{})
	r.replicateAll()
}

// replicateAll sends new entries and the committed sequence to every peer that has acknowledged the beginning of the
// term. The others would refuse entries; resendUnacknowledged sends them the beginning of the term.
func (r *Replica) replicateAll() {
	for _, name := range r.otherMembers {
		if peer := r.peers[name]; peer.term == r.term {
			r.replicate(name, peer)
		}
	}
	for _, name := range r.learners() {
		if peer := r.nonMembers[name]; peer.term == r.term {
			r.replicate(name, peer)
		}
	}
}

// replicate sends a peer the beginning of the term if it lacks that, else the entries that were not sent yet. If there
// are none, the message only reports the committed sequence.
func (r *Replica) replicate(name string, peer *peerState) {
	if peer.term != r.term || peer.acked < r.baseSequence {
		r.sendBeginTerm(name, peer)
		return
	}
	peer.sent = max(peer.sent, peer.acked)
	var entries []*schema.Entry
	if peer.sent < r.sequence {
		entries = r.entries[peer.sent-r.baseSequence:]
	}
	r.send(name, appendEntriesMessage(&schema.AppendEntries{
		Term:             r.term,
		PreviousSequence: peer.sent,
		Entries:          entries,
		Committed:        r.committedSequence,
	}))
	peer.sent = r.sequence
}

// sendBeginTerm sends the beginning of this replica's term. A peer whose content is a prefix of the content that the
// term began with gets the entries after that prefix. Any other peer gets a snapshot, which may be large.
func (r *Replica) sendBeginTerm(name string, peer *peerState) {
	begin := &schema.BeginTerm{Term: r.term}
	switch {
	case r.isTermStartPrefix(peer.lastKnownVersion):
		begin.Base = peer.lastKnownVersion
		begin.Entries = r.entries[begin.Base.Sequence-r.baseSequence:]
	case !peer.versionReported && r.termStartVersion.Term != r.term && r.termStartVersion.Sequence >= r.baseSequence:
		// A probe (etcd: StateProbe), as what is known of the peer may be outdated: either the peer has the content
		// that the term began with, or it refuses and reports its own version. That may make a snapshot unnecessary.
		begin.Base = r.termStartVersion
		begin.Entries = r.entries[begin.Base.Sequence-r.baseSequence:]
	case peer.snapshotSentAt != 0 && r.now-peer.snapshotSentAt < r.config.HeartbeatTimeout && peer.sent != 0:
		return // a snapshot may still be in flight
	default:
		begin.Snapshot = r.snapshot()
		peer.snapshotSentAt = r.now
	}
	r.send(name, beginTermMessage(begin))
	peer.sent = r.sequence
}

// isTermStartPrefix reports whether the content with a version is a prefix of the content that this replica's term
// began with, and the entries after that prefix are still retained. termStartVersion has the leader's own term only if
// persistTermStart has bound founders; no other replica has a prefix of that content.
func (r *Replica) isTermStartPrefix(version *schema.Version) bool {
	start := r.termStartVersion
	return version != nil &&
		start.Term != r.term &&
		version.Term == start.Term &&
		version.Sequence <= start.Sequence &&
		version.Sequence >= r.baseSequence
}

// onBeginTerm accepts the beginning of a leader's term, unless this replica has voted in a higher one. If the message is
// a repetition, or its base is not the content of this replica, the reply reports that content. An excluded replica that
// has voted in a higher term restarts as a new incarnation instead of refusing.
func (r *Replica) onBeginTerm(from string, begin *schema.BeginTerm) {
	if begin.Term < r.votedTerm {
		if r.isExcluded() {
			r.restartAsNewIncarnation()
		} else {
			r.refuseAppend(from)
		}
		return
	}
	if begin.Term == r.term && (begin.Snapshot == nil || r.sequence >= begin.Snapshot.Sequence) {
		r.ackDurable(from) // the term has already begun here
		return
	}
	if begin.Snapshot == nil && (begin.Base.GetTerm() != r.term || begin.Base.GetSequence() != r.sequence) {
		r.ackDurable(from) // the leader assumed another base; the reply reports the content of this replica
		return
	}
	r.installTermStart(from, begin)
}

// installTermStart makes this replica follow the leader of a new term. Unless the leader sent a snapshot, the base of
// its message is the content of this replica. The leader gets the acknowledgement once the vote and the content are
// durable.
func (r *Replica) installTermStart(from string, begin *schema.BeginTerm) {
	if r.role != roleFollower {
		r.becomeFollower()
	}
	r.recordVote(begin.Term, from)
	record := &schema.Record{}
	if begin.Snapshot != nil {
		r.restoreSnapshot(begin.Snapshot)
		r.term = begin.Term
		record.Snapshot = r.snapshot() // persist adds the vote
	} else {
		record.Entries = r.appendContiguous(begin.Entries)
		r.term = begin.Term
		record.Term, record.VotedTerm, record.VotedFor = r.term, r.votedTerm, from
	}
	r.persist(record, r.ackOnceDurable(from))
}

// onAppendEntries appends the entries that follow the content of this replica, and advances the committed content.
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
		r.persist(&schema.Record{Entries: appended}, r.ackOnceDurable(from))
	} else if len(request.Entries) > 0 {
		r.ackDurable(from)
	}
	r.commitTo(request.Committed)
}

// refuseAppend refuses a leader whose term is lower than the term that this replica last voted in.
func (r *Replica) refuseAppend(from string) {
	r.send(from, appendReplyMessage(&schema.AppendReply{Refused: true, HigherTerm: r.votedTerm}))
}

// ackMessage returns an acknowledgement of the whole content. It must not be sent before that content is durable.
func (r *Replica) ackMessage(to string) *schema.ReplicaMessage {
	message := appendReplyMessage(&schema.AppendReply{Term: r.term, Sequence: r.sequence})
	message.To = to
	return message
}

// ackOnceDurable returns a pendingWrite that acknowledges the current content once the write is durable.
func (r *Replica) ackOnceDurable(to string) pendingWrite {
	return pendingWrite{messages: []*schema.ReplicaMessage{r.ackMessage(to)}}
}

// ackDurable acknowledges the content that is already durable and reports what is appended. It answers a message with
// nothing new, or one that does not follow the content of this replica.
func (r *Replica) ackDurable(to string) {
	r.send(to, appendReplyMessage(&schema.AppendReply{
		Term:     r.durableTerm,
		Sequence: r.durableSequence,
		Appended: r.lastVersion(),
	}))
}

// onAppendReply handles a peer's reply to BeginTerm or AppendEntries.
func (r *Replica) onAppendReply(from string, peer *peerState, isMember bool, reply *schema.AppendReply) {
	if reply.Refused {
		r.onAppendRefused(isMember, reply)
		return
	}
	if !r.leads() {
		return
	}
	if reply.Term != r.term {
		r.onTermNotBegun(from, peer, reply.Appended)
		return
	}
	firstUnderTerm := peer.term != r.term // this reply acknowledges the beginning of the term
	peer.term, peer.acked = r.term, max(peer.acked, reply.Sequence)
	r.advanceCommit()
	// The first entries for a new learner or member need not wait for the next round of heartbeats.
	if firstUnderTerm && peer.acked < r.sequence && r.role == roleLeader {
		peer.sent = peer.acked
		r.replicate(from, peer)
	}
	r.reconcileMembership()
}

// onAppendRefused makes a leader step down if a peer has voted in a higher term. A replica that is not a member cannot
// depose the leader if the membership has no place for it.
func (r *Replica) onAppendRefused(isMember bool, reply *schema.AppendReply) {
	r.highestTerm = max(r.highestTerm, reply.HigherTerm)
	mayJoin := isMember || len(r.membership.Members) < int(r.membership.TargetSize)
	if r.leads() && reply.HigherTerm > r.term && mayJoin {
		r.becomeFollower()
	}
}

// onTermNotBegun handles the reply of a peer that lacks the beginning of the term: the leader sends it again, based on
// the content that the peer reports. A repeated report is ignored, since that beginning has been sent already.
func (r *Replica) onTermNotBegun(from string, peer *peerState, reported *schema.Version) {
	// Without a report the reply acknowledges another term. A report of this term means that the peer has appended the
	// beginning, and will acknowledge it once it is durable.
	if reported == nil || reported.Term == r.term {
		return
	}
	known := peer.lastKnownVersion
	repeated := peer.versionReported && known.GetTerm() == reported.Term && known.GetSequence() == reported.Sequence
	peer.lastKnownVersion, peer.versionReported = reported, true
	if !repeated {
		r.replicate(from, peer)
	}
}

// advanceCommit commits what a commit quorum has on disk under this replica's term. The first commit of a term
// completes the election.
//
// Invariant (thesis, section 3.6.2): only copies under the leader's own term are counted. Content of earlier terms is
// committed together with the beginning of this term, which includes it.
func (r *Replica) advanceCommit() {
	if !r.leads() || r.durableTerm != r.term {
		return
	}
	durable := r.durableSequences()
	needed := commitQuorum(r.membership, r.config.ToleratedLosses)
	if r.hasFault(faultFoundersQuorum) {
		needed = min(needed, faultFounderCount/2+1)
	}
	if len(durable) < needed {
		return
	}
	if r.role == roleLeaderElect {
		r.becomeLeader()
	}
	slices.Sort(durable)
	sequence, term := r.committedSequence, r.committedTerm
	r.commitTo(durable[len(durable)-needed])
	// Followers make a change visible only once they know that it is committed, so they are notified at once.
	if r.committedSequence != sequence || r.committedTerm != term {
		r.replicateAll()
		r.sendUrgentHeartbeats()
	}
}

// durableSequences returns the highest sequence on disk for each member that has the beginning of the term on disk, this
// replica first. A founder counts only once it is bound to its data folder.
func (r *Replica) durableSequences() []uint64 {
	durable := []uint64{r.durableSequence}
	for _, member := range r.membership.Members {
		if peer := r.peers[member.Id]; peer != nil && member.Incarnation != 0 && peer.term == r.term {
			durable = append(durable, peer.acked)
		}
	}
	if r.hasFault(faultCountLearners) {
		for _, name := range r.learners() {
			if learner := r.nonMembers[name]; learner.term == r.term {
				durable = append(durable, learner.acked)
			}
		}
	}
	return durable
}

// resendUnacknowledged resends, with each round of heartbeats, whatever has not been acknowledged: the messages that
// carried it may have been lost.
func (r *Replica) resendUnacknowledged() {
	for _, name := range r.otherMembers {
		peer := r.peers[name]
		if !r.recentlyHeard(peer) {
			continue
		}
		switch r.role {
		case roleFollower:
			// A follower waits for no acknowledgement.
		case roleCandidate:
			if peer.vote == nil && r.durableVotedTerm() >= r.votedTerm {
				r.send(name, r.voteRequest(name))
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

// onSnapshotRequest sends the committed content to a member that the leader cannot reach.
func (r *Replica) onSnapshotRequest(from string) {
	if r.committedTerm != 0 {
		r.send(from, snapshotReplyMessage(&schema.SnapshotReply{Snapshot: r.committedSnapshot()}))
	}
}

// onSnapshotReply installs committed content that is newer than the content of this replica.
func (r *Replica) onSnapshotReply(snapshot *schema.Snapshot) {
	version := &schema.Version{Term: snapshot.Term, Sequence: snapshot.Sequence}
	if !r.isMember() || r.role != roleFollower || !config.Newer(version, r.lastVersion()) {
		return
	}
	// Committed content is accepted even if this replica has voted in a later term: a majority has it, so the leader
	// of that term will adopt it too.
	if snapshot.Term > r.votedTerm {
		r.recordVote(snapshot.Term, "")
	}
	r.restoreSnapshot(snapshot)
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
	r.commitTo(snapshot.Sequence)
}
