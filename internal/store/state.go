package store

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// replayRecord applies a record read back from disk.
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
	for _, entry := range record.Entries {
		if entry.Version.Sequence == r.sequence+1 {
			r.appendEntry(entry)
		}
	}
	r.term = max(r.term, record.Term)
}

// restoreSnapshot takes a snapshot as the whole working state.
func (r *Replica) restoreSnapshot(snapshot *schema.Snapshot) {
	r.term, r.sequence = snapshot.Term, snapshot.Sequence
	r.state = config.State{}.With(snapshot.Items)
	if r.membership = snapshot.Membership; r.membership == nil {
		r.membership = &schema.Membership{}
	}
	r.baseState, r.baseSequence, r.baseMembership, r.entries = r.state, r.sequence, r.membership, nil
	r.outcomes, r.outcomeOrder = map[string]*schema.ChangeOutcome{}, nil
	for _, outcome := range snapshot.Outcomes {
		r.recordOutcome(outcome)
	}
	r.applyMembership()
}

func (r *Replica) recordOutcome(outcome *schema.ChangeOutcome) {
	if _, known := r.outcomes[outcome.ChangeId]; !known {
		r.outcomeOrder = append(r.outcomeOrder, outcome.ChangeId)
	}
	r.outcomes[outcome.ChangeId] = outcome
	// The memory of outcomes is bounded; the oldest ids are forgotten first.
	for len(r.outcomeOrder) > r.config.MaxOutcomes {
		delete(r.outcomes, r.outcomeOrder[0])
		r.outcomeOrder = r.outcomeOrder[1:]
	}
}

func (r *Replica) appendEntry(entry *schema.Entry) {
	r.entries = append(r.entries, entry)
	r.sequence = entry.Version.Sequence
	if len(entry.Items) > 0 {
		r.state = r.state.With(entry.Items)
	}
	if entry.Membership != nil {
		r.membership = entry.Membership
		r.applyMembership()
	}
	r.recordOutcome(entry.Outcome)
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += proto.Size(entry)
}

// appendContiguous takes entries that follow what is held.
func (r *Replica) appendContiguous(entries []*schema.Entry) (appended []*schema.Entry) {
	for _, entry := range entries {
		if entry.Version.Sequence == r.sequence+1 {
			r.appendEntry(entry)
			appended = append(appended, entry)
		}
	}
	return appended
}

// lastVersion is what this replica has taken.
func (r *Replica) lastVersion() *schema.Version {
	return &schema.Version{Term: r.term, Sequence: r.sequence}
}

func versionText(version *schema.Version) string {
	return strings.Join([]string{fmt.Sprint(version.Term), fmt.Sprint(version.Sequence)}, "-")
}

func (r *Replica) snapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{Term: r.term, Sequence: r.sequence, Items: r.state.Items(), Membership: r.membership}
	for _, id := range r.outcomeOrder {
		snapshot.Outcomes = append(snapshot.Outcomes, r.outcomes[id])
	}
	return snapshot
}

// committedSnapshot is the state as shown outside; outcomes later than it are left out.
func (r *Replica) committedSnapshot() *schema.Snapshot {
	snapshot := &schema.Snapshot{Term: r.committedTerm, Sequence: r.committedSequence, Items: r.committedState.Items(), Membership: r.committedMembership}
	for _, id := range r.outcomeOrder {
		if outcome := r.outcomes[id]; outcome.Version.Sequence <= r.committedSequence {
			snapshot.Outcomes = append(snapshot.Outcomes, outcome)
		}
	}
	return snapshot
}

// commitTo moves the committed mark; seq must be committed under the epoch this replica is in.
func (r *Replica) commitTo(sequence uint64) {
	sequence = min(sequence, r.sequence)
	// A snapshot newer than the mark hides the states between: wait until the mark reaches it.
	if sequence < r.baseSequence || (sequence <= r.committedSequence && r.committedTerm == r.term) || sequence < r.committedSequence {
		return
	}
	state, membership, from := r.committedState, r.committedMembership, r.committedSequence
	if from < r.baseSequence || r.committedTerm != r.term {
		state, membership, from = r.baseState, r.baseMembership, r.baseSequence
	}
	var items []*schema.Item
	for _, entry := range r.entries {
		if entry.Version.Sequence > from && entry.Version.Sequence <= sequence {
			items = append(items, entry.Items...)
			if entry.Membership != nil {
				membership = entry.Membership
			}
		}
	}
	if len(items) > 0 {
		state = state.With(items)
	}
	r.committedState, r.committedMembership, r.committedSequence, r.committedTerm = state, membership, sequence, r.term
	r.compactEntries()
	r.answerCommittedProposals()
}

// compactEntries lets go of entries that are committed and beyond the bound.
func (r *Replica) compactEntries() {
	if len(r.entries) < 2*r.config.MaxEntries {
		return
	}
	compactTo := min(r.committedSequence, r.sequence-uint64(r.config.MaxEntries))
	count := 0
	var items []*schema.Item
	for count < len(r.entries) && r.entries[count].Version.Sequence <= compactTo {
		items = append(items, r.entries[count].Items...)
		if r.entries[count].Membership != nil {
			r.baseMembership = r.entries[count].Membership
		}
		count++
	}
	if count == 0 {
		return
	}
	r.baseState, r.baseSequence = r.baseState.With(items), r.entries[count-1].Version.Sequence
	r.entries = append([]*schema.Entry(nil), r.entries[count:]...)
}
