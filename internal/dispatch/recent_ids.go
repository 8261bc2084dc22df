package dispatch

import (
	"sync"
)

// RecentIDs is a set of bounded size that holds the ids added last. It is safe for concurrent use.
type RecentIDs struct {
	lock sync.Mutex          // guards the fields below
	ids  map[string]struct{} // the ids in the set
	ring []string            // the ids in the order in which they were added; empty strings until it is full
	next int                 // index in ring of the oldest id, which the next one replaces
}

// NewRecentIDs returns a set that retains the last limit ids. limit must be greater than 0.
func NewRecentIDs(limit int) *RecentIDs {
	return &RecentIDs{ids: map[string]struct{}{}, ring: make([]string, limit)}
}

// AddIfNew adds an id unless the set contains it, and reports whether it was added.
func (r *RecentIDs) AddIfNew(id string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if _, found := r.ids[id]; found {
		return false
	}
	delete(r.ids, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % len(r.ring)
	r.ids[id] = struct{}{}
	return true
}

// Contains reports whether the set contains an id.
func (r *RecentIDs) Contains(id string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, found := r.ids[id]
	return found
}
