package dispatch

import (
	"sync"
)

// RecentIDs is a bounded set of request ids.
type RecentIDs struct {
	lock sync.Mutex
	ids  map[string]struct{}
	ring []string
	next int
}

// NewRecentIDs keeps the last so many ids.
func NewRecentIDs(limit int) *RecentIDs {
	return &RecentIDs{ids: map[string]struct{}{}, ring: make([]string, limit)}
}

// AddIfNew tells whether an id is new, and keeps it.
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

// Contains tells whether an id was kept.
func (r *RecentIDs) Contains(id string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, found := r.ids[id]
	return found
}
