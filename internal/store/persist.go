package store

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/schema"
)

// What must be on disk before it is acted upon or sent.

// pendingWrite is a record handed to the owner as a Persist, with what waits for it to be durable.
type pendingWrite struct {
	writeID   uint64
	startedAt time.Duration
	// The content with which the record was written; durable once the write is.
	term     uint64
	sequence uint64
	// messages are sent once the write is durable.
	messages []*schema.ReplicaMessage
	// votedTerm is the term of the vote in the record, 0 if it has none. If another replica requested that
	// vote, voteRequest is its request and candidate its name, to be answered once the write is durable.
	votedTerm   uint64
	voteRequest *schema.VoteRequest
	candidate   string
}

// persist emits a record to be written and keeps what must wait for it; the caller leaves writeID, startedAt, term
// and sequence of write unset. Where a snapshot is due, a complete one is written in place of the record, which it
// includes: the content already has the record's entries, and the snapshot record has the latest vote.
func (r *Replica) persist(record *schema.Record, write pendingWrite) {
	r.lastWriteID++
	replacesLog := record.Snapshot != nil
	if !replacesLog && r.snapshotDue() {
		record, replacesLog = &schema.Record{Snapshot: r.snapshot()}, true
	}
	if replacesLog {
		r.completeSnapshotRecord(record)
	}
	write.writeID, write.startedAt = r.lastWriteID, r.now
	write.term, write.sequence = r.term, r.sequence
	r.pendingWrites = append(r.pendingWrites, write)
	r.emit(Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: replacesLog})
}

// snapshotDue reports whether the log on disk has grown enough to be replaced by a snapshot.
func (r *Replica) snapshotDue() bool {
	maxBytes := max(minSnapshotLogBytes, snapshotLogFactor*r.snapshotBytes)
	return r.entriesSinceSnapshot >= r.config.MaxEntries || r.bytesSinceSnapshot >= maxBytes
}

// completeSnapshotRecord adds to a snapshot's record the identity and the vote, as the records that held
// them before may be dropped.
func (r *Replica) completeSnapshotRecord(record *schema.Record) {
	record.Incarnation = r.incarnation
	record.VotedTerm = r.votedTerm
	record.VotedFor = r.votedFor
	record.Founder = r.founder
	record.RaiseTargetSize = r.expandsMembership
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	r.snapshotBytes = proto.Size(record)
}

// Persisted reports that every record up to writeID is durable.
func (r *Replica) Persisted(now time.Duration, writeID uint64) []Action {
	r.beginStep(now)
	r.diskFailed = false
	for len(r.pendingWrites) > 0 && r.pendingWrites[0].writeID <= writeID {
		done := r.pendingWrites[0]
		r.pendingWrites = r.pendingWrites[1:]
		r.completeWrite(done)
	}
	r.reconcileMembership()
	return r.actions
}

// completeWrite does what waited for a write.
func (r *Replica) completeWrite(done pendingWrite) {
	// Within a term the durable sequence only grows. A write of an earlier term proves nothing of this
	// term's content, and the first one of a new term starts the durable sequence afresh.
	if done.term == r.term && (r.durableTerm != done.term || done.sequence > r.durableSequence) {
		r.durableTerm, r.durableSequence = done.term, done.sequence
	}
	for _, message := range done.messages {
		r.send(message.To, message)
	}
	if done.voteRequest != nil && r.votedTerm == done.votedTerm {
		r.sendVote(done.candidate, done.voteRequest)
	}
	if r.role == roleCandidate {
		r.countVotes()
	}
	r.advanceCommit()
}

// DiskFailed reports that a write failed. What waits for it stays unsent, and this replica is unfit to
// lead until a RewriteSnapshot is durable.
func (r *Replica) DiskFailed(now time.Duration) []Action {
	r.beginStep(now)
	r.diskFailed = true
	r.becomeFollower()
	return r.actions
}

// RewriteSnapshot asks for a complete snapshot in place of every record whose write has failed or is still
// waiting. It repeats the last write id, so its Persisted completes all pending writes.
func (r *Replica) RewriteSnapshot(now time.Duration) []Action {
	r.beginStep(now)
	record := &schema.Record{Snapshot: r.snapshot()}
	r.completeSnapshotRecord(record)
	r.emit(Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: true})
	return r.actions
}
