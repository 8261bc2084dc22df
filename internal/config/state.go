package config

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"meadowhinge/schema"
)

// Key joins kind and name.
func Key(kind, name string) string { return schema.Key(kind, name) }

// State is the items of a configuration by Key, tombstones of removed items included. It is the unit of
// replication: stores, registries and proxies merge the items that they receive into it with With.
type State map[string]*schema.Item

// KindPurged is the kind of the item that says up to which sequence tombstones have been purged. It travels
// like any other item; only the store's leader writes it.
const KindPurged = "purged"

// purgeName is the name of the one item of KindPurged.
const purgeName = "tombstones"

type tombstonePurge struct {
	UpTo                  uint64 `json:"to"`
	OperatorVersionedUpTo uint64 `json:"given,omitempty"`
}

// NewPurgeItem makes the item that purges tombstones up to a sequence. Tombstones with an operator version
// are retained longer, up to a sequence of their own, because an older write of the operator may still arrive.
func NewPurgeItem(upTo, operatorVersionedUpTo uint64) *schema.Item {
	body := fmt.Sprintf(`{"to":%d,"given":%d}`, upTo, operatorVersionedUpTo)
	return &schema.Item{Kind: KindPurged, Name: purgeName, Body: []byte(body)}
}

// PurgedUpTo is the sequence up to which tombstones have been purged. A copy whose state is older than that
// may still have items that were removed, which no delta would tell it: it needs the complete state.
func (s State) PurgedUpTo() uint64 { return s.purge().UpTo }

// OperatorVersionedPurgedUpTo is the same for the tombstones with an operator version.
func (s State) OperatorVersionedPurgedUpTo() uint64 { return s.purge().OperatorVersionedUpTo }

// purge decodes the state's purge item, all zero for none.
func (s State) purge() tombstonePurge {
	if item := s[Key(KindPurged, purgeName)]; item != nil {
		return decodePurge(item)
	}
	return tombstonePurge{}
}

func decodePurge(item *schema.Item) tombstonePurge {
	decoded := tombstonePurge{}
	if decodeStrict(item.Body, &decoded) != nil {
		return tombstonePurge{}
	}
	return decoded
}

// covers tells whether an item is a tombstone that the purge removes.
func (p tombstonePurge) covers(item *schema.Item) bool {
	sequence := item.Version.GetSequence()
	if !item.Deleted {
		return false
	}
	return sequence <= p.OperatorVersionedUpTo || item.OperatorVersion == 0 && sequence <= p.UpTo
}

// Tombstones counts the tombstones without an operator version, and gives the sequences of those with one,
// in ascending order.
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

// ChangesAfter gives what a copy lacks that has the state of a sequence: the newer items, or, if complete is
// true, every item, which then replaces what the copy has.
func (s State) ChangesAfter(sequence uint64) (items []*schema.Item, complete bool) {
	complete = sequence == 0 || sequence < s.PurgedUpTo()
	for _, item := range s.Items() {
		if complete || item.Version.GetSequence() > sequence {
			items = append(items, item)
		}
	}
	return items, complete
}

// Apply gives the state of a copy after it received what ChangesAfter gave.
func (s State) Apply(items []*schema.Item, complete bool) State {
	if complete {
		return State{}.With(items)
	}
	return s.With(items)
}

// With gives a copy with items merged in: of two versions of an item the newer stays.
func (s State) With(items []*schema.Item) State {
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
	// Purges come last, since one may be listed before the tombstones that it removes.
	for _, item := range items {
		if item.Kind == KindPurged {
			purge := decodePurge(item)
			maps.DeleteFunc(merged, func(_ string, candidate *schema.Item) bool { return purge.covers(candidate) })
		}
	}
	return merged
}

// Newer tells whether version a is newer than b: by term, then by sequence.
func Newer(a, b *schema.Version) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() > b.GetTerm()
	}
	return a.GetSequence() > b.GetSequence()
}

// Items lists the state ordered by Key.
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
