package store

import (
	"maps"
	"slices"

	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Committed gives the state that may be shown outside.
func (r *Replica) Committed() (uint64, config.State) { return r.committedSequence, r.committedState }

// CommittedOutcome tells what became of a change, if it is settled here.
func (r *Replica) CommittedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := r.outcomes[changeID]
	if !found || outcome.Version.Sequence > r.committedSequence {
		return nil, false
	}
	return outcome, true
}

// AppendedOutcome tells what was decided of a change, whether or not that is committed yet.
func (r *Replica) AppendedOutcome(changeID string) (*schema.ChangeOutcome, bool) {
	outcome, found := r.outcomes[changeID]
	return outcome, found
}

// Members lists the members as far as they are committed, where they agree on them themselves.
func (r *Replica) Members() []*schema.CoreMember {
	if len(r.config.StaticMembers) > 0 {
		return nil
	}
	return r.committedMembership.Members
}

// Progress is how far this replica has come: appended, durable and committed sequences.
func (r *Replica) Progress() [3]uint64 {
	return [3]uint64{r.sequence, r.durableSequence, r.committedSequence}
}

// Status is what an operator sees of the replica.
func (r *Replica) Status() *schema.ReplicaStatus {
	status := &schema.ReplicaStatus{Replica: r.config.Name, Leader: r.leader(), Term: r.term, VotedTerm: r.votedTerm, Sequence: r.sequence,
		Durable: r.durableSequence, Committed: r.committedSequence, Member: r.isMember(), Unfit: r.unfit(), Membership: r.membership, DiskFailed: r.diskFailed}
	for _, name := range r.otherMembers {
		if r.recentlyHeard(r.peers[name]) {
			status.Heard = append(status.Heard, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.outsiders)) {
		if outsider := r.outsiders[name]; outsider.isLearner && r.recentlyHeard(outsider) {
			status.Learners = append(status.Learners, name)
		}
	}
	return status
}

// Addresses tells where each other replica was last heard from, or is said to stand.
func (r *Replica) Addresses() map[string]string { return r.addresses }
