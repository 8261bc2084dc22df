package store

import (
	"slices"
	"time"
)

// freshness tells when this seat last knew its stable setup to be the newest that anyone was
// promised. What was promised is synced at a majority; so once each of a majority has told how
// far it is, and all of that is stable here, nothing promised before they told is missing here.
// It is a step function of what seats tell and how far this one is.
type freshness struct {
	seats map[string]*vouching
}

// vouching is what one seat's word is worth.
type vouching struct {
	known bool
	at    time.Duration // when it last told of nothing that is not stable here
	since time.Duration // when it told of something that is not stable here yet
	until uint64        // that: a sequence, 0 for nothing
}

// told notes how far a seat says it is. The first word that goes beyond what is stable here is
// kept until that is stable: under a stream of changes the last one never would be.
func (f *freshness) told(seat string, now time.Duration, sequence, stable uint64) {
	if f.seats == nil {
		f.seats = map[string]*vouching{}
	}
	held := f.seats[seat]
	if held == nil {
		held = &vouching{}
		f.seats[seat] = held
	}
	f.moved(stable)
	switch {
	case sequence <= stable:
		held.known, held.at, held.until = true, now, 0
	// A seat that was repaired has let go of what it told of before.
	case held.until == 0 || sequence < held.until:
		held.since, held.until = now, sequence
	}
}

// moved notes that more is stable here.
func (f *freshness) moved(stable uint64) {
	for _, held := range f.seats {
		if held.until != 0 && held.until <= stable {
			held.known, held.at, held.until = true, held.since, 0
		}
	}
}

// at is the latest time of which a majority has vouched; false if none ever has.
func (f *freshness) at(seats []string, majority int) (time.Duration, bool) {
	var times []time.Duration
	for _, seat := range seats {
		if held := f.seats[seat]; held != nil && held.known {
			times = append(times, held.at)
		}
	}
	if len(times) < majority {
		return 0, false
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return int(b - a) })
	return times[majority-1], true
}

// Fresh tells how long ago this seat last knew its stable setup to be the newest that anyone
// was promised; false if it never has.
func (s *Seat) Fresh(now time.Duration) (age time.Duration, known bool) {
	// An empty seat's word counts for nothing, not even to itself.
	if !s.member() {
		return 0, false
	}
	s.fresh.told(s.options.Name, now, s.seq, s.stable)
	at, known := s.fresh.at(append([]string{s.options.Name}, s.others...), s.majority())
	return now - at, known
}
