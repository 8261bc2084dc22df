package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// These are the stages that an entry goes through at one replica, as indices into the result of Progress.
const (
	stageAppended = iota
	stageDurable
	stageCommitted
	stageCount // the number of stages
)

// Committed returns the committed sequence and state, the only ones that may be shown outside. The returned state is
// never modified.
func (r *Replica) Committed() (uint64, config.State) { return r.committedSequence, r.committedState }

// CommittedOutcome returns the outcome of a change id, and whether this replica has it and knows that it is committed.
func (r *Replica) CommittedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := r.outcomes[changeID]
	if !found || outcome.Version.Sequence > r.committedSequence {
		return nil, false
	}
	return outcome, true
}

// AppendedOutcome returns the outcome of a change id, committed or not, and whether this replica has one. A later leader
// may still discard an uncommitted outcome.
func (r *Replica) AppendedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := r.outcomes[changeID]
	return outcome, found
}

// Members returns the committed members with their addresses. It returns nil if the operator fixes the list
// (Config.StaticMembers), as every replica then has the list from its settings. The result is read-only.
func (r *Replica) Members() []*schema.CoreMember {
	if len(r.config.StaticMembers) > 0 {
		return nil
	}
	return r.committedMembership.Members
}

// Progress returns the last sequence that has reached each stage, in this order: appended, durable, committed.
func (r *Replica) Progress() [stageCount]uint64 {
	return [stageCount]uint64{
		stageAppended:  r.sequence,
		stageDurable:   r.durableSequence,
		stageCommitted: r.committedSequence,
	}
}

// Status returns the status shown to operators. Server sets StalenessKnown, StalenessNanos and RefusedPeers.
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

// Addresses returns, by replica name, the address that each other replica last sent or that a membership lists for it.
// The caller must not modify the map or use it after the next step.
func (r *Replica) Addresses() map[string]string { return r.addresses }
