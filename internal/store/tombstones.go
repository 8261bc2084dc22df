package store

import (
	"meadowhinge/internal/config"
	"meadowhinge/schema"
)

// purgeDivisor is the part of the entries kept in which the leader looks for tombstones once, and
// the number of them, of the same bound, that it lets stand.
const purgeDivisor = 4

// purgeTombstones lets tombstones go that every replica has on disk. Whoever is further behind is told the
// whole state, so nothing that was removed comes back. Those that bear an operator's version go
// only once there are too many: without them an older order would be taken for a new one.
func (r *Replica) purgeTombstones() {
	threshold := uint64(max(1, r.config.MaxEntries/purgeDivisor))
	if r.role != roleLeader || r.committedSequence < r.nextPurgeSequence {
		return
	}
	r.nextPurgeSequence = r.committedSequence + threshold
	purgeTo := r.committedSequence
	for _, name := range r.otherMembers {
		peer := r.peers[name]
		if peer.term != r.term {
			return
		}
		purgeTo = min(purgeTo, peer.acked)
	}
	count, dropped := r.committedState.Tombstones()
	operatorVersion := r.committedState.OperatorVersionedPurgedUpTo()
	if len(dropped) > r.config.MaxOperatorTombstones {
		// The oldest go, a part of the bound more than they must, so that it is not done each time.
		operatorVersion = max(operatorVersion, dropped[min(len(dropped)-r.config.MaxOperatorTombstones+r.config.MaxOperatorTombstones/purgeDivisor, len(dropped))-1])
	}
	operatorVersion = min(operatorVersion, purgeTo)
	if (uint64(count) < threshold || purgeTo <= r.committedState.PurgedUpTo()) && operatorVersion <= r.committedState.OperatorVersionedPurgedUpTo() {
		return
	}
	item := config.NewPurgeItem(purgeTo, operatorVersion)
	change := &schema.Change{Id: "purge-" + versionText(&schema.Version{Term: r.term, Sequence: r.sequence + 1}), Items: []*schema.Item{item}}
	if existing := r.state[config.Key(item.Kind, item.Name)]; existing != nil {
		change.Expected = []*schema.ExpectedVersion{{Kind: item.Kind, Name: item.Name, Sequence: existing.Version.Sequence}}
	}
	r.admit(change)
}
