package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Stages of an entry at one replica, as indices of Progress.
const (
	stageAppended = iota
	stageDurable
	stageCommitted
	stageCount
)

// Committed returns the committed sequence and state, the only ones that may be shown outside. The state is
// never changed afterwards.
func (r *Replica) Committed() (uint64, config.State) { return r.committedSequence, r.committedState }

// CommittedOutcome returns the outcome of a change id, if it is committed as far as this replica knows.
func (r *Replica) CommittedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := r.outcomes[changeID]
	if !found || outcome.Version.Sequence > r.committedSequence {
		return nil, false
	}
	return outcome, true
}

// AppendedOutcome returns the outcome of a change id whether or not it is committed; an uncommitted one
// may still be discarded by a later leader.
func (r *Replica) AppendedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := r.outcomes[changeID]
	return outcome, found
}

// Members lists the committed members, with the addresses by which others find them; nil where an operator
// fixes the list (Config.StaticMembers), since everyone then has it already. The result is read-only.
func (r *Replica) Members() []*schema.CoreMember {
	if len(r.config.StaticMembers) > 0 {
		return nil
	}
	return r.committedMembership.Members
}

// Progress returns the last sequence in each stage, in this order: appended, durable, committed.
func (r *Replica) Progress() [stageCount]uint64 {
	return [stageCount]uint64{
		stageAppended:  r.sequence,
		stageDurable:   r.durableSequence,
		stageCommitted: r.committedSequence,
	}
}

// Status is the replica as shown to operators. StalenessKnown, StalenessNanos and RefusedPeers are the
// Server's to fill in.
func (r *Replica) Status() *schema.ReplicaStatus {
	return &schema.ReplicaStatus{
		Replica:    r.config.Name,
		Leader:     r.leader(),
		Term:       r.term,
		VotedTerm:  r.votedTerm,
		Sequence:   r.sequence,
		Durable:    r.durableSequence,
		Committed:  r.committedSequence,
		Member:     r.isMember(),
		Unfit:      r.unfit(),
		Membership: r.membership,
		DiskFailed: r.diskFailed,
		Heard:      r.heardMembers(),
		Learners:   r.learners(),
	}
}

// Addresses returns where each other replica was last heard from, or is reported to be, by name. It is the
// replica's own map: the caller reads it before the next step and does not change it.
func (r *Replica) Addresses() map[string]string { return r.addresses }
