package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// Tombstones of deleted items are purged by a change of the leader's own, once every member has them on disk.

// purgeDivisor makes, of MaxEntries, the number of commits between two looks for tombstones and the number of
// plain tombstones that may stay; and, of MaxOperatorTombstones, the number purged beyond the excess, so that not
// every new tombstone takes a purge.
const purgeDivisor = 4

// purgeTombstones proposes a purge if enough tombstones have gathered. A replica that lags behind the purge gets a
// snapshot, so no deleted item comes back. Tombstones that bear an operator version stay until there are too many:
// without them an older order for the same item would pass for a new one.
func (r *Replica) purgeTombstones() {
	threshold := uint64(max(1, r.config.MaxEntries/purgeDivisor))
	if r.role != roleLeader || r.committedSequence < r.nextPurgeSequence {
		return
	}
	r.nextPurgeSequence = r.committedSequence + threshold
	purgeTo, allBegun := r.durableEverywhere()
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

// durableEverywhere is the highest committed sequence that every member has on disk; false while a member has not
// acknowledged the beginning of this term.
func (r *Replica) durableEverywhere() (sequence uint64, allBegun bool) {
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

// operatorPurgeTarget is the sequence up to which tombstones with an operator version should go, given their
// sequences in ascending order: as far as purged before, or far enough that MaxOperatorTombstones hold.
func (r *Replica) operatorPurgeTarget(sequences []uint64) uint64 {
	purged := r.committedState.OperatorVersionedPurgedUpTo()
	limit := r.config.MaxOperatorTombstones
	if len(sequences) <= limit {
		return purged
	}
	excess := min(len(sequences)-limit+limit/purgeDivisor, len(sequences))
	return max(purged, sequences[excess-1])
}

// purgeChange is the change that writes a purge item, with an id that no other change has.
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
