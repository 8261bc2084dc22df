package store

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/schema"
)

// This file writes records to disk, and holds back whatever may only be sent once they are durable.

// pendingWrite is a record handed to the owner as a Persist, with the messages that wait until it is durable.
type pendingWrite struct {
	writeID     uint64                   // the id in the Persist
	startedAt   time.Duration            // time of the Persist, on the replica's clock; see Config.StallTimeout
	term        uint64                   // term of the content that is durable once the write is
	sequence    uint64                   // last sequence of that content
	messages    []*schema.ReplicaMessage // sent once the write is durable
	votedTerm   uint64                   // term of the vote cast by the record; 0 if the record casts none
	voteRequest *schema.VoteRequest      // answered by the vote once the write is durable; nil if there is none to answer
	candidate   string                   // name of the replica that sent voteRequest
}

// persist emits a record to be written, and stores write until the record is durable. The caller leaves the fields
// writeID, startedAt, term and sequence of write unset.
//
// If a snapshot is due, a complete one is written instead of the record and includes it: the content already has the
// record's entries, and the snapshot record has the latest vote.
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

// snapshotDue reports whether the log on disk has grown so large that a snapshot is to replace it.
func (r *Replica) snapshotDue() bool {
	maxBytes := max(minSnapshotLogBytes, snapshotLogFactor*r.snapshotBytes)
	return r.entriesSinceSnapshot >= r.config.MaxEntries || r.bytesSinceSnapshot >= maxBytes
}

// completeSnapshotRecord adds this replica's identity and vote to the record of a snapshot, since the earlier records
// that hold them may be dropped.
func (r *Replica) completeSnapshotRecord(record *schema.Record) {
	record.Incarnation = r.incarnation
	record.VotedTerm = r.votedTerm
	record.VotedFor = r.votedFor
	record.Founder = r.founder
	record.RaiseTargetSize = r.expandsMembership
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	r.snapshotBytes = proto.Size(record)
}

// Persisted handles the owner's report that every record up to writeID is durable, and returns the actions that follow.
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

// completeWrite sends what has waited for a write, and counts the write for the election or the commit.
func (r *Replica) completeWrite(done pendingWrite) {
	// Within a term the durable sequence only grows. A write of an earlier term proves nothing about the content of
	// this term, and the first write of a new term resets the durable sequence.
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

// DiskFailed handles the owner's report that a write failed, and returns the actions that follow. Messages that wait
// for the write stay unsent, and this replica is unfit to lead until the record of a RewriteSnapshot is durable.
func (r *Replica) DiskFailed(now time.Duration) []Action {
	r.beginStep(now)
	r.diskFailed = true
	r.becomeFollower()
	return r.actions
}

// RewriteSnapshot returns a Persist of a complete snapshot as its only action. The snapshot replaces every record whose
// write has failed or is still pending. It reuses the last write id, so that its Persisted completes all pending writes.
func (r *Replica) RewriteSnapshot(now time.Duration) []Action {
	r.beginStep(now)
	record := &schema.Record{Snapshot: r.snapshot()}
	r.completeSnapshotRecord(record)
	r.emit(Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: true})
	return r.actions
}
