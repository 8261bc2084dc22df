package config

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"meadowhinge/schema"
)

// Key returns the key of an item in a State.
func Key(kind, name string) string { return schema.Key(kind, name) }

// State holds the items of a configuration by Key, with a tombstone for each removed item. Stores, registries and
// proxies replicate it: each merges the items that it receives into its own copy with Merge or Apply.
type State map[string]*schema.Item

// KindTombstonePurge is the kind of the item that records up to which sequence tombstones have been purged. The item is
// replicated like any other; only the leader of the stores writes it.
const KindTombstonePurge = "purged"

// purgeName is the name of the only item of KindTombstonePurge.
const purgeName = "tombstones"

// tombstonePurge is the body of the item of KindTombstonePurge. All zero means that no tombstone has been purged.
type tombstonePurge struct {
	UpTo                  uint64 `json:"to"`              // sequence up to which tombstones without an operator version are purged
	OperatorVersionedUpTo uint64 `json:"given,omitempty"` // sequence up to which tombstones with an operator version are purged too
}

// NewPurgeItem returns the item that purges tombstones up to sequence upTo. Tombstones with an operator version are
// purged only up to operatorVersionedUpTo: they are kept longer, because an older write of the operator may still
// arrive. The item has no version; the leader sets it.
func NewPurgeItem(upTo, operatorVersionedUpTo uint64) *schema.Item {
	body := fmt.Sprintf(`{"to":%d,"given":%d}`, upTo, operatorVersionedUpTo)
	return &schema.Item{Kind: KindTombstonePurge, Name: purgeName, Body: []byte(body)}
}

// PurgedUpTo returns the sequence up to which tombstones without an operator version have been purged. A replica
// whose state is older may still hold items that were removed, and a delta no longer contains their tombstones. The
// replica therefore needs the complete state.
func (s State) PurgedUpTo() uint64 { return s.purge().UpTo }

// OperatorVersionedPurgedUpTo returns the sequence up to which tombstones with an operator version have been purged.
func (s State) OperatorVersionedPurgedUpTo() uint64 { return s.purge().OperatorVersionedUpTo }

// purge returns the decoded purge item of the state, all zero if there is none.
func (s State) purge() tombstonePurge {
	if item := s[Key(KindTombstonePurge, purgeName)]; item != nil {
		return decodePurge(item)
	}
	return tombstonePurge{}
}

// decodePurge decodes a purge item. The result is all zero if the body cannot be decoded.
func decodePurge(item *schema.Item) tombstonePurge {
	decoded := tombstonePurge{}
	if decodeStrict(item.Body, &decoded) != nil {
		return tombstonePurge{}
	}
	return decoded
}

// covers reports whether an item is a tombstone that the purge removes.
func (p tombstonePurge) covers(item *schema.Item) bool {
	sequence := item.Version.GetSequence()
	if !item.Deleted {
		return false
	}
	return sequence <= p.OperatorVersionedUpTo || item.OperatorVersion == 0 && sequence <= p.UpTo
}

// Tombstones returns the number of tombstones without an operator version, and the sequences of those with an
// operator version, in ascending order.
func (s State) Tombstones() (count int, operatorVersioned []uint64) {
	for _, item := range s {
		switch {
		case item.Deleted && item.OperatorVersion == 0:
			count++
		case item.Deleted:
			operatorVersioned = append(operatorVersioned, item.Version.GetSequence())
		}
	}
	slices.Sort(operatorVersioned)
	return count, operatorVersioned
}

// ChangesAfter returns the items that a replica needs if it has the state as of a sequence. If complete is false, they
// are the newer items, which the replica merges into its state. If complete is true, they are all items, which replace
// its state. A replica with sequence 0, or with one before PurgedUpTo, gets the complete state.
func (s State) ChangesAfter(sequence uint64) (items []*schema.Item, complete bool) {
	complete = sequence == 0 || sequence < s.PurgedUpTo()
	for _, item := range s.Items() {
		if complete || item.Version.GetSequence() > sequence {
			items = append(items, item)
		}
	}
	return items, complete
}

// Apply returns the state of a replica after it received the items that ChangesAfter returned elsewhere.
func (s State) Apply(items []*schema.Item, complete bool) State {
	if complete {
		return State{}.Merge(items)
	}
	return s.Merge(items)
}

// Merge returns a copy of the state with items merged in. Of two versions of an item the newer one is kept. Tombstones
// that a purge among the items covers are removed.
func (s State) Merge(items []*schema.Item) State {
	merged := make(State, len(s)+len(items))
	for key, item := range s {
		merged[key] = item
	}
	for _, item := range items {
		key := Key(item.Kind, item.Name)
		if existing, found := merged[key]; !found || Newer(item.Version, existing.Version) {
			merged[key] = item
		}
	}
	// Purges are applied last, since a purge may be listed before the tombstones that it removes.
	for _, item := range items {
		if item.Kind == KindTombstonePurge {
			purge := decodePurge(item)
			maps.DeleteFunc(merged, func(_ string, candidate *schema.Item) bool { return purge.covers(candidate) })
		}
	}
	return merged
}

// Newer reports whether version a is newer than b. Versions are compared by term, then by sequence.
func Newer(a, b *schema.Version) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() > b.GetTerm()
	}
	return a.GetSequence() > b.GetSequence()
}

// Items returns the items of the state, tombstones included, ordered by Key.
func (s State) Items() []*schema.Item {
	keys := make([]string, 0, len(s))
	for key := range s {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	items := make([]*schema.Item, len(keys))
	for i, key := range keys {
		items[i] = s[key]
	}
	return items
}
