package store

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Who the seats are is part of the state. They change one at a time: a seat counts the latest
// seats it has taken, and the holder makes others only once those are stable under its own epoch.
// Two majorities of seats that differ by one have a seat in common, so nothing is decided twice.
//
// A seat is a name and the incarnation of its data folder. A folder that was lost leaves another
// seat of the same name: the old one is taken out and the new one, once it holds the state, is
// put in. So an empty folder never counts for what was on the lost one.

// Ratios to the silence bound and to the entries kept.
const (
	retireSilences = 2 // a seat unheard for so long gives its place to one that stands ready
	freshParts     = 2 // of the silence bound within which those must have been heard that are needed
	lagParts       = 8 // of the entries kept that one may lack and yet be ready
)

// founding is the first seats; their incarnations are bound as they are first counted.
func founding(names []string) *schema.Seats {
	seats := &schema.Seats{Wanted: uint32(len(names)), Taken: &schema.Version{}}
	for _, name := range names {
		seats.Seats = append(seats.Seats, &schema.Core{Seat: name})
	}
	return seats
}

func placeIn(seats *schema.Seats, name string) int {
	return slices.IndexFunc(seats.GetSeats(), func(one *schema.Core) bool { return one.Seat == name })
}

// lists tells whether a folder is one of the seats. A founder that is not bound yet may be only a
// folder that has been there since: one found empty later could have lost what it was counted for.
func lists(seats *schema.Seats, name string, incarnation uint64, founder bool) bool {
	place := placeIn(seats, name)
	if place < 0 {
		return false
	}
	bound := seats.Seats[place].Incarnation
	return bound == incarnation || bound == 0 && founder
}

// without and with are the seats after one change.
func without(seats *schema.Seats, name string) *schema.Seats {
	changed := proto.Clone(seats).(*schema.Seats)
	changed.Seats = slices.DeleteFunc(changed.Seats, func(one *schema.Core) bool { return one.Seat == name })
	return changed
}

func with(seats *schema.Seats, seat *schema.Core) *schema.Seats {
	changed := proto.Clone(seats).(*schema.Seats)
	if place := placeIn(changed, seat.Seat); place >= 0 {
		changed.Seats[place] = seat
	} else {
		changed.Seats = append(changed.Seats, seat)
	}
	return changed
}

// member tells whether this folder is one of the seats.
func (s *Seat) member() bool {
	return !s.takenOut() && lists(s.set, s.options.Name, s.incarnation, s.founder)
}

func (s *Seat) majority() int { return len(s.set.Seats)/2 + 1 }

// neededOf is how many synced copies make a change stable: a majority, and one more than may be lost.
func neededOf(seats *schema.Seats, losses int) int {
	return max(len(seats.Seats)/2+1, min(losses+1, len(seats.Seats)))
}

// reseat lets the peers be those of the seats taken.
func (s *Seat) reseat() {
	kept := map[string]*peer{}
	s.others = nil
	for _, seat := range s.set.Seats {
		if seat.Address != "" && seat.Seat != s.options.Name {
			s.addresses[seat.Seat] = seat.Address
		}
		if seat.Seat == s.options.Name {
			continue
		}
		s.others = append(s.others, seat.Seat)
		known := s.peers[seat.Seat]
		if guest := s.guests[seat.Seat]; guest != nil && seat.Incarnation == guest.incarnation {
			known = guest
			delete(s.guests, seat.Seat)
		}
		if known == nil || seat.Incarnation != 0 && known.incarnation != seat.Incarnation {
			known = &peer{incarnation: seat.Incarnation}
		}
		kept[seat.Seat] = known
	}
	s.peers = kept
	// Whoever has a place no longer asks for one.
	if s.raise && lists(s.set, s.options.Name, s.incarnation, s.founder) {
		s.raise = false
	}
}

// askToRead lets an empty seat of an order learn whether there is a setup already. Only if every
// other seat has none, these are the first seats.
func (s *Seat) askToRead() {
	if s.readRound != 0 && s.now-s.readAt < s.options.Silence/pingsPerSilence {
		return
	}
	s.readRound++
	s.readAt = s.now
	for _, name := range s.options.Order {
		if name != s.options.Name {
			s.send(name, &schema.SeatLetter{Body: &schema.SeatLetter_Read{Read: &schema.Read{Round: s.readRound}}})
		}
	}
	s.foundIfAllAreEmpty()
}

func (s *Seat) onReadBack(from string, incarnation uint64, back *schema.ReadBack) {
	if s.joins || s.set.Taken != nil || back.Round != s.readRound {
		return
	}
	if back.Promised > 0 || back.Digest.Epoch > 0 || back.Digest.Sequence > 0 {
		s.joins = true
		return
	}
	if s.guests[from] == nil {
		s.guests[from] = &peer{}
	}
	s.guests[from].incarnation, s.guests[from].read = incarnation, back
	s.foundIfAllAreEmpty()
}

func (s *Seat) foundIfAllAreEmpty() {
	for _, name := range s.options.Order {
		if known := s.guests[name]; name != s.options.Name && (known == nil || known.read == nil || known.read.Round != s.readRound) {
			return
		}
	}
	s.founder, s.phaseAt = true, 0
	s.guests = map[string]*peer{}
	s.replace(&schema.Digest{Seats: founding(s.options.Order)})
	s.persist(&schema.Record{Digest: s.digest()}, afterSync{})
}

// knock asks for a seat: at the holder once it is known, else at everybody who may know it.
func (s *Seat) knock() {
	if s.knockedAt != 0 && s.now-s.knockedAt < s.options.Silence/pingsPerSilence {
		return
	}
	s.knockedAt = s.now
	asked := map[string]bool{}
	if holder := s.holder(); holder != "" {
		asked[holder] = true
	} else {
		for _, name := range slices.Concat(s.options.Seeds, s.options.Order) {
			asked[name] = true
		}
		for _, seats := range []*schema.Seats{s.set, s.toldSet} {
			for _, seat := range seats.GetSeats() {
				asked[seat.Seat] = true
			}
		}
	}
	delete(asked, s.options.Name)
	known := s.set.Taken
	if s.toldSet != nil && setup.Newer(s.toldSet.Stable, s.holds()) {
		known = s.toldSet.Taken
	}
	for _, name := range slices.Sorted(maps.Keys(asked)) {
		s.send(name, &schema.SeatLetter{Body: &schema.SeatLetter_Join{Join: &schema.Join{Raise: s.raise, Known: known}}})
	}
}

// tellSeats answers whoever knows other seats than the stable ones here, if those are older, or
// were taken under an older epoch and so came to nothing.
func (s *Seat) tellSeats(to string, known *schema.Version) {
	if s.stableEpoch == 0 || len(s.stableSet.Seats) == 0 || known.GetEpoch() > s.stableEpoch || proto.Equal(known, s.stableSet.Taken) {
		return
	}
	if setup.Newer(s.stableSet.Taken, known) || known.GetEpoch() < s.stableEpoch {
		told := proto.Clone(s.stableSet).(*schema.Seats)
		told.Stable = &schema.Version{Epoch: s.stableEpoch, Sequence: s.stable}
		s.send(to, &schema.SeatLetter{Body: &schema.SeatLetter_Seats{Seats: told}})
	}
}

func (s *Seat) onSeats(told *schema.Seats) {
	if s.toldSet != nil && !setup.Newer(told.Stable, s.toldSet.Stable) {
		return
	}
	was := s.member()
	s.toldSet = told
	for _, seat := range told.Seats {
		if seat.Address != "" && seat.Seat != s.options.Name {
			s.addresses[seat.Seat] = seat.Address
		}
	}
	if was && !s.member() {
		s.stepDown()
	}
	if !s.member() {
		s.knockedAt = 0
		s.knock()
	}
}

func (s *Seat) onJoin(letter *schema.SeatLetter, join *schema.Join) {
	s.tellSeats(letter.From, join.Known)
	if s.phase != active {
		return
	}
	if lists(s.set, letter.From, letter.Incarnation, letter.Founder) {
		// It has a place but does not know it yet.
		known := s.peers[letter.From]
		known.sent = known.acked
		s.feed(letter.From, known)
		return
	}
	guest := s.guests[letter.From]
	if guest == nil || guest.incarnation != letter.Incarnation {
		guest = &peer{incarnation: letter.Incarnation, have: &schema.Version{}}
		s.guests[letter.From] = guest
	}
	guest.learns, guest.raise, guest.heard, guest.heardAt = true, join.Raise, true, s.now
	if guest.epoch != s.epoch || guest.acked < s.seq {
		guest.sent = guest.acked
		s.feed(letter.From, guest)
	}
	s.sendPing(letter.From, guest)
	s.tend()
}

// renew lets this seat be another one, empty, of the same name. It is for a seat that was taken
// out while it was away and has since promised an epoch that no holder has: it could never be
// kept level again, and a promise must not be taken back. What it has said of before stays with
// its old incarnation, which counts for nothing: it was taken out after all that it holds.
func (s *Seat) renew() {
	options := s.options
	options.Founders, options.Raise = nil, false
	birth := Birth(options, options.Draw())
	fresh := NewSeat(options, 0, []*schema.Record{birth})
	fresh.addresses, fresh.toldSet, fresh.joins = s.addresses, s.toldSet, true
	fresh.born, fresh.bornAt, fresh.now, fresh.actions = true, s.bornAt, s.now, s.actions
	// Nothing is said any more of what the old one still had to sync.
	fresh.nextMark, fresh.sentOn = s.nextMark, s.sentOn
	*s = *fresh
	s.nextMark++
	s.pending = append(s.pending, afterSync{mark: s.nextMark, at: s.now})
	s.actions = append(s.actions, Persist{Mark: s.nextMark, Record: birth, Whole: true})
	s.knock()
}

// takenOut tells whether this seat is not among the seats of a stable state that is newer than all
// it holds. Either it was taken out while it was away, or it was put in by an entry that only it and
// too few others took, and that came to nothing: in both cases what it takes for the seats is void.
func (s *Seat) takenOut() bool {
	if s.has(plantInsists) && s.toldSet != nil && !setup.Newer(s.toldSet.Taken, s.set.Taken) {
		return false
	}
	return s.toldSet != nil && setup.Newer(s.toldSet.Stable, s.holds()) && !lists(s.toldSet, s.options.Name, s.incarnation, s.founder)
}

// learners are those that are kept level by the holder though they have no seat.
func (s *Seat) learners() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.guests)) {
		if one := s.guests[name]; one.learns && s.hears(one) {
			names = append(names, name)
		}
	}
	return names
}

// tend makes the next change of the seats that is due, as the holder. One is made only once the
// seats before it are stable under this epoch.
func (s *Seat) tend() {
	if s.phase != active || s.unfit() || s.stableEpoch != s.epoch || s.stable < s.set.Taken.GetSequence() {
		return
	}
	for _, seat := range s.set.Seats {
		if known := s.peers[seat.Seat]; seat.Incarnation == 0 && known != nil && s.hears(known) && known.founder {
			s.change(with(s.set, &schema.Core{Seat: seat.Seat, Address: s.placeOf(seat.Seat), Incarnation: known.incarnation}))
			return
		}
	}
	for _, name := range s.learners() {
		guest := s.guests[name]
		if guest.epoch != s.epoch || guest.acked+uint64(s.options.EntriesMost/lagParts) < s.seq {
			continue
		}
		seat := &schema.Core{Seat: name, Address: s.placeOf(name), Incarnation: guest.incarnation}
		switch {
		case placeIn(s.set, name) >= 0:
			// Its folder of before is gone: it no longer counts for what was on it.
			s.takeOut(name)
		case guest.raise:
			raised := with(s.set, seat)
			raised.Wanted++
			s.change(raised)
		case len(s.set.Seats) < int(s.set.Wanted):
			s.change(with(s.set, seat))
		default:
			if silent := s.silent(); silent != "" {
				s.takeOut(silent)
			}
		}
		return
	}
}

// takeOut lets a seat count no more, if as many of the others as are then needed were heard just
// now: fewer seats need each other more, so it is not done while another is being lost.
func (s *Seat) takeOut(name string) {
	left := without(s.set, name)
	heard := 1
	for _, other := range s.others {
		if known := s.peers[other]; other != name && known.heard && s.now-known.heardAt <= s.options.Silence/freshParts {
			heard++
		}
	}
	if heard >= neededOf(left, s.options.Losses) {
		s.change(left)
	}
}

// placeOf is where a seat is reached, if seats are found by that and not by an order.
func (s *Seat) placeOf(name string) string {
	if len(s.options.Order) > 0 {
		return ""
	}
	if name == s.options.Name {
		return s.options.Address
	}
	return s.addresses[name]
}

// silent names the seat that has not been heard for longest, if for too long.
func (s *Seat) silent() (name string) {
	longest := retireSilences * s.options.Silence
	for _, other := range s.others {
		since := s.bornAt
		if known := s.peers[other]; known.heard {
			since = known.heardAt
		}
		if unheard := s.now - since; unheard > longest {
			name, longest = other, unheard
		}
	}
	return name
}

// change lets other seats count from the next place in the order on.
func (s *Seat) change(seats *schema.Seats) {
	version := &schema.Version{Epoch: s.epoch, Sequence: s.seq + 1}
	seats.Taken = version
	id := "seats-" + sequenceText(version)
	s.take(&schema.Entry{Version: version, ChangeId: id, Seats: seats,
		Outcome: &schema.Outcome{ChangeId: id, Version: version, Ruling: schema.Ruling_RULING_ACCEPTED}})
}

// Wakes tells when Tick is next needed, if nothing else happens.
func (s *Seat) Wakes() time.Duration {
	wakes := s.lastPing + s.pause()
	earlier := func(at time.Duration) {
		if at > s.now {
			wakes = min(wakes, at)
		}
	}
	if !s.member() {
		wakes = s.knockedAt + s.options.Silence/pingsPerSilence
		if len(s.options.Order) > 0 && s.set.Taken == nil && !s.joins {
			wakes = s.readAt + s.options.Silence/pingsPerSilence
		}
	}
	for _, known := range s.peers {
		if s.hears(known) {
			earlier(known.heardAt + s.options.Silence + 1)
		}
	}
	if s.said() != s.saidLast {
		earlier(s.lastPing + s.options.Silence/newsPerSilence)
	}
	if s.phase == idle || s.phase == campaigning || s.phase == installing {
		earlier(s.phaseAt + s.options.Silence + 1)
		earlier(s.phaseAt + s.options.Stall/campaignsPerStall + 1)
	}
	if len(s.pending) > 0 {
		earlier(s.pending[0].at + s.options.Stall + 1)
	}
	for _, waiting := range s.sentOn {
		earlier(waiting.at + s.options.Silence + 1)
	}
	return max(wakes, s.now+1)
}
