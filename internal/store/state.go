package store

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// This file holds the replicated content: replay, append, snapshot and commit.

// replayRecord applies a record read back from the log.
func (r *Replica) replayRecord(record *schema.Record) {
	if record.Incarnation != 0 {
		r.incarnation = record.Incarnation
	}
	if record.VotedTerm > r.votedTerm {
		r.votedTerm, r.votedFor = record.VotedTerm, record.VotedFor
	}
	r.founder = r.founder || record.Founder
	r.expandsMembership = r.expandsMembership || record.RaiseTargetSize
	if record.Snapshot != nil {
		r.expandsMembership = record.RaiseTargetSize
		r.restoreSnapshot(record.Snapshot)
	}
	r.appendContiguous(record.Entries)
	r.term = max(r.term, record.Term)
}

// restoreSnapshot replaces the content with that of a snapshot, which becomes the base content too. The committed
// content stays as it is until commitTo advances it.
func (r *Replica) restoreSnapshot(snapshot *schema.Snapshot) {
	r.term, r.sequence = snapshot.Term, snapshot.Sequence
	r.state = config.State{}.Merge(snapshot.Items)
	if r.membership = snapshot.Membership; r.membership == nil {
		r.membership = &schema.Membership{}
	}
	r.baseState, r.baseSequence, r.baseMembership = r.state, r.sequence, r.membership
	r.entries = nil
	r.outcomes, r.outcomeOrder = map[string]*schema.ChangeOutcome{}, nil
	for _, outcome := range snapshot.Outcomes {
		r.recordOutcome(outcome)
	}
	r.applyMembership()
}

// recordOutcome stores the outcome of a change id, so that a repeated proposal gets the same answer. Beyond
// MaxOutcomes the oldest ids are dropped.
func (r *Replica) recordOutcome(outcome *schema.ChangeOutcome) {
	if _, exists := r.outcomes[outcome.ChangeId]; !exists {
		r.outcomeOrder = append(r.outcomeOrder, outcome.ChangeId)
	}
	r.outcomes[outcome.ChangeId] = outcome
	for len(r.outcomeOrder) > r.config.MaxOutcomes {
		delete(r.outcomes, r.outcomeOrder[0])
		r.outcomeOrder = r.outcomeOrder[1:]
	}
}

// appendEntry appends the entry after the last sequence and applies it to the content at once. The committed
// content is kept separately; see commitTo.
func (r *Replica) appendEntry(entry *schema.Entry) {
	r.entries = append(r.entries, entry)
	r.sequence = entry.Version.Sequence
	if len(entry.Items) > 0 {
		r.state = r.state.Merge(entry.Items)
	}
	if entry.Membership != nil {
		r.membership = entry.Membership
		r.applyMembership()
	}
	r.recordOutcome(entry.Outcome)
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += proto.Size(entry)
}

// appendContiguous appends those entries that follow the content without a gap, and returns them.
func (r *Replica) appendContiguous(entries []*schema.Entry) (appended []*schema.Entry) {
	for _, entry := range entries {
		if entry.Version.Sequence == r.sequence+1 {
			r.appendEntry(entry)
			appended = append(appended, entry)
		}
	}
	return appended
}

// lastVersion returns the version that identifies the content of this replica.
func (r *Replica) lastVersion() *schema.Version {
	return &schema.Version{Term: r.term, Sequence: r.sequence}
}

// nextVersion returns the version of the leader's next entry.
func (r *Replica) nextVersion() *schema.Version {
	return &schema.Version{Term: r.term, Sequence: r.sequence + 1}
}

// versionText formats a version for the ids of changes that the leader itself proposes.
func versionText(version *schema.Version) string {
	return fmt.Sprintf("%d-%d", version.Term, version.Sequence)
}

// snapshot returns the whole content of this replica, committed or not.
func (r *Replica) snapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{
		Term:       r.term,
		Sequence:   r.sequence,
		Items:      r.state.Items(),
		Membership: r.membership,
	}
	for _, id := range r.outcomeOrder {
		snapshot.Outcomes = append(snapshot.Outcomes, r.outcomes[id])
	}
	return snapshot
}

// committedSnapshot returns the committed content; it leaves out the outcomes of later sequences.
func (r *Replica) committedSnapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{
		Term:       r.committedTerm,
		Sequence:   r.committedSequence,
		Items:      r.committedState.Items(),
		Membership: r.committedMembership,
	}
	for _, id := range r.outcomeOrder {
		if outcome := r.outcomes[id]; outcome.Version.Sequence <= r.committedSequence {
			snapshot.Outcomes = append(snapshot.Outcomes, outcome)
		}
	}
	return snapshot
}

// commitTo advances the committed content to a sequence, at most to the end of the content. The caller guarantees
// that everything up to that sequence is committed under this replica's term.
func (r *Replica) commitTo(sequence uint64) {
	sequence = min(sequence, r.sequence)
	alreadyCommitted := sequence <= r.committedSequence && r.committedTerm == r.term
	// States below baseSequence are not retained. So after a snapshot is installed, the committed content cannot
	// advance until the committed sequence reaches the snapshot's.
	if sequence < r.baseSequence || alreadyCommitted || sequence < r.committedSequence {
		return
	}
	// The entries after the committed content are applied to it. If some of them are no longer retained, or the
	// committed content is of another term, it is rebuilt from the base content, all of which is committed by now.
	state, membership, from := r.committedState, r.committedMembership, r.committedSequence
	if from < r.baseSequence || r.committedTerm != r.term {
		state, membership, from = r.baseState, r.baseMembership, r.baseSequence
	}
	items, changed := r.effectBetween(from, sequence)
	if len(items) > 0 {
		state = state.Merge(items)
	}
	if changed != nil {
		membership = changed
	}
	r.committedState, r.committedMembership = state, membership
	r.committedSequence, r.committedTerm = sequence, r.term
	r.compactEntries()
	r.answerCommittedProposals()
}

// compactEntries moves committed entries into the base content, except for the last MaxEntries entries. It acts only
// once 2*MaxEntries are retained, which spreads the cost of copying over MaxEntries appends.
func (r *Replica) compactEntries() {
	if len(r.entries) < 2*r.config.MaxEntries {
		return
	}
	compactTo := min(r.committedSequence, r.sequence-uint64(r.config.MaxEntries))
	if compactTo <= r.baseSequence {
		return
	}
	items, changed := r.effectBetween(r.baseSequence, compactTo)
	if changed != nil {
		r.baseMembership = changed
	}
	r.entries = append([]*schema.Entry(nil), r.entries[compactTo-r.baseSequence:]...)
	r.baseState, r.baseSequence = r.baseState.Merge(items), compactTo
}

// effectBetween returns what the retained entries after the sequence above, up to and including upTo, write: their
// items in order, and their last membership, or nil if none of them changes it.
func (r *Replica) effectBetween(above, upTo uint64) (items []*schema.Item, membership *schema.Membership) {
	for _, entry := range r.entries {
		if entry.Version.Sequence <= above || entry.Version.Sequence > upTo {
			continue
		}
		items = append(items, entry.Items...)
		if entry.Membership != nil {
			membership = entry.Membership
		}
	}
	return items, membership
}
