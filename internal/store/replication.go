package store

import (
	"slices"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// How a leader brings its content to the others, and commits what enough of them have on disk.
//
// A peer first gets the beginning of the term (BeginTerm): from then on its content is a prefix of the leader's,
// and AppendEntries extends it. Both are acknowledged by AppendReply with what is durable at the peer.

// appendAsLeader appends an entry of the leader's own and replicates it. The leader's copy counts for the
// commit once Persisted reports it, as any other's does.
func (r *Replica) appendAsLeader(entry *schema.Entry) {
	r.appendEntry(entry)
	r.persist(&schema.Record{Entries: []*schema.Entry{entry}}, pendingWrite{})
	r.replicateAll()
}

// replicateAll sends new entries, and the committed sequence, to every peer that has acknowledged the
// term's beginning. resendUnacknowledged sends the beginning to the rest; entries sent before it would be refused.
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

// replicate sends a peer what it lacks: the term's beginning first, then entries (without any, as a bare notice
// of the committed sequence).
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

// sendBeginTerm sends the beginning of this replica's term. A peer whose content is a prefix of the one that
// the term began with gets the entries after it, any other a snapshot, which may be large.
func (r *Replica) sendBeginTerm(name string, peer *peerState) {
	begin := &schema.BeginTerm{Term: r.term}
	switch {
	case r.isTermStartPrefix(peer.lastKnownVersion):
		begin.Base = peer.lastKnownVersion
		begin.Entries = r.entries[begin.Base.Sequence-r.baseSequence:]
	case !peer.versionReported && r.termStartVersion.Term != r.term && r.termStartVersion.Sequence >= r.baseSequence:
		// A probe (etcd: StateProbe): what is known of the peer may be outdated. It either has the
		// content that the term began with, or refuses and reports what it has, before a snapshot is sent.
		begin.Base = r.termStartVersion
		begin.Entries = r.entries[begin.Base.Sequence-r.baseSequence:]
	case peer.snapshotSentAt != 0 && r.now-peer.snapshotSentAt < r.config.HeartbeatTimeout && peer.sent != 0:
		return // a snapshot may still be on its way
	default:
		begin.Snapshot = r.snapshot()
		peer.snapshotSentAt = r.now
	}
	r.send(name, beginTermMessage(begin))
	peer.sent = r.sequence
}

// isTermStartPrefix reports whether content of a version is a prefix of the content that this replica's term
// began with, with the entries after it still retained. termStartVersion is of the leader's own term only after
// the founders were bound, when nobody else has a prefix of it.
func (r *Replica) isTermStartPrefix(version *schema.Version) bool {
	start := r.termStartVersion
	return version != nil &&
		start.Term != r.term &&
		version.Term == start.Term &&
		version.Sequence <= start.Sequence &&
		version.Sequence >= r.baseSequence
}

// onBeginTerm accepts the beginning of a leader's term, unless this replica voted in a higher one. A repeated message, or
// one whose base is not the content here, is answered with what is here.
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
		r.ackDurable(from) // it has begun here already
		return
	}
	if begin.Snapshot == nil && (begin.Base.GetTerm() != r.term || begin.Base.GetSequence() != r.sequence) {
		r.ackDurable(from) // the leader's guess was wrong: the reply reports the content here
		return
	}
	r.installTermStart(from, begin)
}

// installTermStart follows the leader of a new term, whose base is the content here unless it sent a snapshot. The
// leader gets its acknowledgement once the vote and the content are durable.
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

// onAppendEntries appends entries that follow the content here, and advances the commit.
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

// refuseAppend refuses a leader of a term below this replica's vote.
func (r *Replica) refuseAppend(from string) {
	r.send(from, appendReplyMessage(&schema.AppendReply{Refused: true, HigherTerm: r.votedTerm}))
}

// ackMessage acknowledges the whole content. It must not be sent before that is durable.
func (r *Replica) ackMessage(to string) *schema.ReplicaMessage {
	message := appendReplyMessage(&schema.AppendReply{Term: r.term, Sequence: r.sequence})
	message.To = to
	return message
}

// ackOnceDurable is a write whose completion acknowledges the content as it is now.
func (r *Replica) ackOnceDurable(to string) pendingWrite {
	return pendingWrite{messages: []*schema.ReplicaMessage{r.ackMessage(to)}}
}

// ackDurable acknowledges what is durable already and reports what is appended, in answer to a message that
// brought nothing new or did not fit.
func (r *Replica) ackDurable(to string) {
	r.send(to, appendReplyMessage(&schema.AppendReply{
		Term:     r.durableTerm,
		Sequence: r.durableSequence,
		Appended: r.lastVersion(),
	}))
}

// onAppendReply handles a peer's answer to BeginTerm or AppendEntries.
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
	firstUnderTerm := peer.term != r.term // it has just acknowledged the term's beginning
	peer.term, peer.acked = r.term, max(peer.acked, reply.Sequence)
	r.advanceCommit()
	// A new learner's or member's first entries need not wait for the next heartbeats.
	if firstUnderTerm && peer.acked < r.sequence && r.role == roleLeader {
		peer.sent = peer.acked
		r.replicate(from, peer)
	}
	r.reconcileMembership()
}

// onAppendRefused gives up a term that a peer has voted above. A replica that is no member, and for which there
// is no place, cannot depose the leader.
func (r *Replica) onAppendRefused(isMember bool, reply *schema.AppendReply) {
	r.highestTerm = max(r.highestTerm, reply.HigherTerm)
	mayJoin := isMember || len(r.membership.Members) < int(r.membership.TargetSize)
	if r.leads() && reply.HigherTerm > r.term && mayJoin {
		r.becomeFollower()
	}
}

// onTermNotBegun handles the reply of a peer at which the term has not begun: it gets the beginning again, upon
// the content that it reports. A repeated report changes nothing: that beginning is on its way.
func (r *Replica) onTermNotBegun(from string, peer *peerState, reported *schema.Version) {
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

// advanceCommit commits what a commit quorum has on disk under this replica's term, and completes the election
// the first time that there is one.
//
// Invariant (thesis, section 3.6.2): only copies under the leader's own term are counted. Content of earlier
// terms is committed with the beginning of this one, which includes it.
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
	// Followers show a change only once they know that it is committed, so they are notified at once.
	if r.committedSequence != sequence || r.committedTerm != term {
		r.replicateAll()
		r.sendUrgentHeartbeats()
	}
}

// durableSequences lists, for each member that has the term's beginning on disk, the highest sequence that it has
// there; this replica's own comes first. A founder counts only once it is bound to its data folder.
func (r *Replica) durableSequences() []uint64 {
	durable := []uint64{r.durableSequence}
	for _, member := range r.membership.Members {
		if peer := r.peers[member.Id]; peer != nil && member.Incarnation != 0 && peer.term == r.term {
			durable = append(durable, peer.acked)
		}
	}
	if r.hasFault(faultCountLearners) {
		for _, name := range r.learners() {
			if learner := r.outsiders[name]; learner.term == r.term {
				durable = append(durable, learner.acked)
			}
		}
	}
	return durable
}

// resendUnacknowledged repeats, with each round of heartbeats, whatever a lost message may have delayed.
func (r *Replica) resendUnacknowledged() {
	for _, name := range r.otherMembers {
		peer := r.peers[name]
		if !r.recentlyHeard(peer) {
			continue
		}
		switch r.role {
		case roleFollower:
			// A follower has nothing under way.
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

// onSnapshotRequest sends the committed content to a member that the leader does not reach.
func (r *Replica) onSnapshotRequest(from string) {
	if r.committedTerm != 0 {
		r.send(from, snapshotReplyMessage(&schema.SnapshotReply{Snapshot: r.committedSnapshot()}))
	}
}

// onSnapshotReply installs committed content that is newer than the content here.
func (r *Replica) onSnapshotReply(snapshot *schema.Snapshot) {
	version := &schema.Version{Term: snapshot.Term, Sequence: snapshot.Sequence}
	if !r.isMember() || r.role != roleFollower || !config.Newer(version, r.lastVersion()) {
		return
	}
	// Committed content is accepted even under a vote for a later term: a majority has it already, so that
	// term's leader will read it too.
	if snapshot.Term > r.votedTerm {
		r.recordVote(snapshot.Term, "")
	}
	r.restoreSnapshot(snapshot)
	r.persist(&schema.Record{Snapshot: r.snapshot()}, pendingWrite{})
	r.commitTo(snapshot.Sequence)
}
