package dispatch

import (
	"sync"
)

// RecentIDs is a set of the last ids that were added, of bounded size. It is safe for concurrent use.
type RecentIDs struct {
	lock sync.Mutex // guards the fields below
	ids  map[string]struct{}
	ring []string // the ids in the order in which they were added
	next int      // where in the ring the next id goes, in place of the oldest
}

// NewRecentIDs returns a set that retains the last limit ids.
func NewRecentIDs(limit int) *RecentIDs {
	return &RecentIDs{ids: map[string]struct{}{}, ring: make([]string, limit)}
}

// AddIfNew adds an id and reports whether it was new.
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

// Contains reports whether an id is retained.
func (r *RecentIDs) Contains(id string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, found := r.ids[id]
	return found
}
