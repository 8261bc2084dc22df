package store

import (
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/schema"
)

type pendingWrite struct {
	writeID     uint64
	startedAt   time.Duration
	term        uint64
	sequence    uint64
	messages    []*schema.ReplicaMessage
	votedTerm   uint64
	voteRequest *schema.VoteRequest // by whom the promise was asked for; answered once synced
	candidate   string
}

// persist asks for a sync and keeps what must wait for it.
func (r *Replica) persist(record *schema.Record, write pendingWrite) {
	r.lastWriteID++
	replacesLog := record.Snapshot != nil
	// Every so many entries or bytes the whole state is written, so that the log in front can go.
	if !replacesLog && (r.entriesSinceSnapshot >= r.config.MaxEntries || r.bytesSinceSnapshot >= max(minSnapshotLogBytes, snapshotLogFactor*r.snapshotBytes)) {
		record, replacesLog = &schema.Record{Snapshot: r.snapshot()}, true
	}
	if replacesLog {
		r.completeSnapshotRecord(record)
	}
	write.writeID, write.startedAt, write.term, write.sequence = r.lastWriteID, r.now, r.term, r.sequence
	r.pendingWrites = append(r.pendingWrites, write)
	r.actions = append(r.actions, Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: replacesLog})
}

// completeSnapshotRecord adds to the whole state what else a folder must hold once everything before it may go.
func (r *Replica) completeSnapshotRecord(record *schema.Record) {
	record.Incarnation, record.VotedTerm, record.VotedFor, record.Founder, record.RaiseTargetSize = r.incarnation, r.votedTerm, r.votedFor, r.founder, r.expandsMembership
	r.entriesSinceSnapshot, r.bytesSinceSnapshot, r.snapshotBytes = 0, 0, proto.Size(record)
}

// Persisted tells that every record up to mark is on disk.
func (r *Replica) Persisted(now time.Duration, writeID uint64) []Action {
	r.beginStep(now)
	r.diskFailed = false
	for len(r.pendingWrites) > 0 && r.pendingWrites[0].writeID <= writeID {
		done := r.pendingWrites[0]
		r.pendingWrites = r.pendingWrites[1:]
		if done.term == r.term {
			// Within an epoch the synced mark only grows; a new epoch starts it afresh.
			if r.durableTerm != done.term || done.sequence > r.durableSequence {
				r.durableTerm, r.durableSequence = done.term, done.sequence
			}
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
	r.reconcileMembership()
	return r.actions
}

// DiskFailed tells that the disk refused a write. Nothing that waits for it is said, and leadership
// goes to another replica, until Rewrite has succeeded.
func (r *Replica) DiskFailed(now time.Duration) []Action {
	r.beginStep(now)
	r.diskFailed = true
	r.becomeFollower()
	return r.actions
}

// RewriteSnapshot asks for the whole state to be written in place of all that the disk has refused.
func (r *Replica) RewriteSnapshot(now time.Duration) []Action {
	r.beginStep(now)
	record := &schema.Record{Snapshot: r.snapshot()}
	r.completeSnapshotRecord(record)
	return append(r.actions, Persist{WriteID: r.lastWriteID, Record: record, ReplacesLog: true})
}
