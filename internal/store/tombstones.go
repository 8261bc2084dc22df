package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// This file purges the tombstones of deleted items. The leader proposes a purge as a change of its own, and only for
// tombstones that every member has on disk.

// purgeDivisor divides two limits:
//   - MaxEntries, into the number of commits between two checks for tombstones. It is also the number of tombstones
//     without an operator version at which these are purged.
//   - MaxOperatorTombstones, into the number of tombstones with an operator version that a purge removes beyond the
//     excess, so that not every new tombstone causes a purge.
const purgeDivisor = 4

// purgeTombstones proposes a purge if there are enough tombstones. A replica that lags behind the purge gets a snapshot,
// so no deleted item comes back. Tombstones with an operator version are kept until there are too many of them: without
// its tombstone, an outdated change of an item would be taken for a new one.
func (r *Replica) purgeTombstones() {
	threshold := uint64(max(1, r.config.MaxEntries/purgeDivisor))
	if r.role != roleLeader || r.committedSequence < r.nextPurgeSequence {
		return
	}
	r.nextPurgeSequence = r.committedSequence + threshold
	purgeTo, allBegun := r.durableAtAllMembers()
	if !allBegun {
		return
	}
	count, operatorVersioned := r.committedState.Tombstones()
	operatorPurgeTo := min(r.operatorPurgeTarget(operatorVersioned), purgeTo)
	plainDue := uint64(count) >= threshold && purgeTo > r.committedState.PurgedUpTo()
	operatorDue := operatorPurgeTo > r.committedState.OperatorVersionedPurgedUpTo()
	if !plainDue && !operatorDue {
		return
	}
	r.admit(r.purgeChange(config.NewPurgeItem(purgeTo, operatorPurgeTo)))
}

// durableAtAllMembers returns the highest committed sequence that every member has on disk. allBegun is false while a
// member has not acknowledged the beginning of this term; the sequence is then not known.
func (r *Replica) durableAtAllMembers() (sequence uint64, allBegun bool) {
	sequence = r.committedSequence
	for _, name := range r.otherMembers {
		peer := r.peers[name]
		if peer.term != r.term {
			return 0, false
		}
		sequence = min(sequence, peer.acked)
	}
	return sequence, true
}

// operatorPurgeTarget returns the sequence up to which tombstones with an operator version should be purged, given their
// sequences in ascending order. It is the last purged sequence if at most MaxOperatorTombstones are retained.
func (r *Replica) operatorPurgeTarget(sequences []uint64) uint64 {
	purged := r.committedState.OperatorVersionedPurgedUpTo()
	limit := r.config.MaxOperatorTombstones
	if len(sequences) <= limit {
		return purged
	}
	excess := min(len(sequences)-limit+limit/purgeDivisor, len(sequences))
	return max(purged, sequences[excess-1])
}

// purgeChange returns a change that writes a purge item, under an id that no other change has.
func (r *Replica) purgeChange(item *schema.Item) *schema.Change {
	change := &schema.Change{Id: "purge-" + versionText(r.nextVersion()), Items: []*schema.Item{item}}
	if existing := r.state[config.Key(item.Kind, item.Name)]; existing != nil {
		change.Expected = []*schema.ExpectedVersion{{
			Kind:     item.Kind,
			Name:     item.Name,
			Sequence: existing.Version.Sequence,
		}}
	}
	return change
}
