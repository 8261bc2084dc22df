package store

import (
	"slices"
	"time"
)

// freshness tells when this replica last knew its committed setup to be the newest that anyone was
// promised. What was promised is durable at a majority; so once each of a majority has told how
// far it is, and all of that is committed here, nothing promised before they told is missing here.
// It is a step function of what members tell and how far this one is.
type freshness struct {
	members map[string]*vouching
}

// vouching is what one replica's word is worth.
type vouching struct {
	known bool
	at    time.Duration // when it last told of nothing that is not committed here
	since time.Duration // when it told of something that is not committed here yet
	until uint64        // that: a sequence, 0 for nothing
}

// told notes how far a replica says it is. The first word that goes beyond what is committed here is
// kept until that is committed: under a stream of changes the last one never would be.
func (f *freshness) told(replica string, now time.Duration, sequence, committed uint64) {
	if f.members == nil {
		f.members = map[string]*vouching{}
	}
	held := f.members[replica]
	if held == nil {
		held = &vouching{}
		f.members[replica] = held
	}
	f.moved(committed)
	switch {
	case sequence <= committed:
		held.known, held.at, held.until = true, now, 0
	// A replica that was repaired has let go of what it told of before.
	case held.until == 0 || sequence < held.until:
		held.since, held.until = now, sequence
	}
}

// moved notes that more is committed here.
func (f *freshness) moved(committed uint64) {
	for _, held := range f.members {
		if held.until != 0 && held.until <= committed {
			held.known, held.at, held.until = true, held.since, 0
		}
	}
}

// at is the latest time of which a majority has vouched; false if none ever has.
func (f *freshness) at(members []string, majority int) (time.Duration, bool) {
	var times []time.Duration
	for _, replica := range members {
		if held := f.members[replica]; held != nil && held.known {
			times = append(times, held.at)
		}
	}
	if len(times) < majority {
		return 0, false
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return int(b - a) })
	return times[majority-1], true
}

// Fresh tells how long ago this replica last knew its committed setup to be the newest that anyone
// was promised; false if it never has.
func (s *Replica) Fresh(now time.Duration) (age time.Duration, known bool) {
	// An empty replica's word counts for nothing, not even to itself.
	if !s.member() {
		return 0, false
	}
	s.fresh.told(s.options.Name, now, s.seq, s.committed)
	at, known := s.fresh.at(append([]string{s.options.Name}, s.otherMembers...), s.majority())
	return now - at, known
}
