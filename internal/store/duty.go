package store

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// unfit tells that this seat must not hold the duty, nor be counted upon for now.
func (s *Seat) unfit() bool {
	stalled := len(s.pending) > 0 && s.now-s.pending[0].at > s.options.Stall
	return !s.member() || stalled || s.refused
}

func (s *Seat) hears(known *peer) bool {
	return known.heard && s.now-known.heardAt <= s.options.Silence
}

// elders are seats that know newer seats than this one has taken.
func (s *Seat) elders() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.guests)) {
		if one := s.guests[name]; !one.learns && s.hears(one) {
			names = append(names, name)
		}
	}
	return names
}

// mutual lists the fit seats heard here that hear this one.
func (s *Seat) mutual() []string {
	var names []string
	for _, name := range s.others {
		if s.linked(s.peers[name]) {
			names = append(names, name)
		}
	}
	for _, name := range s.elders() {
		if s.linked(s.guests[name]) {
			names = append(names, name)
		}
	}
	return names
}

func (s *Seat) linked(known *peer) bool {
	return s.hears(known) && known.ping != nil && !known.ping.Unfit && slices.Contains(known.ping.Heard, s.options.Name)
}

// live tells whether a seat has links in both directions to a majority, itself included.
// One-way links do not count, so a seat that can only speak or only listen gets no duty.
func (s *Seat) live(name string) bool {
	linked := map[string]bool{}
	mine := s.mutual()
	switch {
	case name == s.options.Name && s.unfit():
		return false
	case name == s.options.Name:
		for _, other := range mine {
			linked[other] = true
		}
	default:
		linked[s.options.Name] = slices.Contains(mine, name)
		for _, other := range s.others {
			known := s.peers[other]
			if !s.hears(known) || known.ping == nil {
				continue
			}
			if other == name {
				if known.ping.Unfit || known.ping.Behind {
					return false
				}
				for _, end := range known.ping.Mutual {
					linked[end] = true
				}
			} else if slices.Contains(known.ping.Mutual, name) {
				linked[other] = true
			}
		}
	}
	links := 0
	for _, seat := range s.set.Seats {
		if seat.Seat != name && linked[seat.Seat] {
			links++
		}
	}
	return links+1 >= s.majority()
}

// duty names the seat that should hold the admission duty: the first live one in the order.
func (s *Seat) duty() string {
	for _, seat := range s.set.Seats {
		if s.live(seat.Seat) {
			return seat.Seat
		}
	}
	return ""
}

// holder names the seat that does hold it, as far as is known here.
func (s *Seat) holder() string {
	name, epoch := "", uint64(0)
	if s.phase == active {
		name, epoch = s.options.Name, s.epoch
	}
	look := func(other string, known *peer) {
		if s.hears(known) && known.ping != nil && known.ping.Holder == other && known.ping.Epoch > epoch {
			name, epoch = other, known.ping.Epoch
		}
	}
	for _, other := range s.others {
		look(other, s.peers[other])
	}
	for _, other := range s.elders() {
		look(other, s.guests[other])
	}
	return name
}

// Tick lets time pass.
func (s *Seat) Tick(now time.Duration) []Action {
	s.begin(now)
	s.tick()
	return s.actions
}

func (s *Seat) tick() {
	s.endSentOn()
	if !s.member() {
		if s.phase != idle {
			s.stepDown()
		}
		if len(s.options.Order) > 0 && s.set.Taken == nil && !s.joins {
			s.askToRead()
		} else {
			s.knock()
		}
		return
	}
	// A holder that cannot reach a majority, or whose disk stalls, lets the duty go.
	if s.phase != idle && !s.live(s.options.Name) {
		s.stepDown()
	}
	stuck := (s.phase == campaigning || s.phase == installing) && s.now-s.phaseAt > s.options.Stall/campaignsPerStall
	// One try a silence bound keeps two seats that see the links differently from racing.
	due := stuck || s.phase == idle && (s.now-s.phaseAt > s.options.Silence || s.phaseAt == 0)
	if due && len(s.elders()) == 0 && s.duty() == s.options.Name && (stuck || s.level()) && !s.awaitsFounders() {
		s.campaign()
	}
	s.purge()
	s.tend()
	if !s.pinged || s.now-s.lastPing >= s.pause() {
		s.pingAll()
		s.resend()
	}
	s.tellNews()
	// Whoever reaches no majority may have missed who the seats are now.
	if !s.live(s.options.Name) && s.now-s.bornAt > s.options.Silence {
		s.knock()
	}
}

// awaitsFounders tells whether, at the first start of all, founders may yet come: those that are
// there as the first epoch begins need no change of the seats of their own.
func (s *Seat) awaitsFounders() bool {
	if s.highest > 0 || s.now-s.bornAt > s.options.Silence {
		return false
	}
	for _, name := range s.others {
		if known := s.peers[name]; !known.heard || !known.founder {
			return true
		}
	}
	return false
}

// level tells whether this seat has what another holder has made stable, so that it takes the
// duty over without a gap.
func (s *Seat) level() bool {
	name := s.holder()
	known := s.peers[name]
	return known == nil || known.ping.Epoch == s.epoch && s.seq >= known.ping.Stable
}

// pause is the time from one round of pings to the next.
func (s *Seat) pause() time.Duration {
	if !s.live(s.options.Name) {
		return s.options.Silence / hurriesPerSilence
	}
	return s.options.Silence / pingsPerSilence
}

func (s *Seat) pingAll() {
	s.pinged, s.lastPing, s.saidLast = true, s.now, s.said()
	for _, name := range s.others {
		s.sendPing(name, s.peers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.guests)) {
		if one := s.guests[name]; s.hears(one) {
			s.sendPing(name, one)
		}
	}
}

// tellNews pings at once when who hears whom, who is fit or who holds the duty has changed.
func (s *Seat) tellNews() {
	if s.member() && s.pinged && s.now-s.lastPing >= s.options.Silence/newsPerSilence && s.said() != s.saidLast {
		s.pingAll()
	}
}

// said is what a ping tells that must not wait for the next round.
func (s *Seat) said() string {
	ping := s.ping()
	return fmt.Sprint(ping.Heard, ping.Mutual, ping.Unfit, ping.Behind, ping.Holder)
}

func (s *Seat) ping() *schema.Ping {
	ping := &schema.Ping{Mutual: s.mutual(), Unfit: s.unfit(), Promised: s.promised, Epoch: s.epoch, Sequence: s.seq,
		Stable: s.stable, StableEpoch: s.stableEpoch, Seats: s.set.Taken, Behind: len(s.elders()) > 0}
	for _, name := range s.others {
		if s.hears(s.peers[name]) {
			ping.Heard = append(ping.Heard, name)
		}
	}
	ping.Heard = append(ping.Heard, s.elders()...)
	if s.phase == active {
		ping.Holder = s.options.Name
	}
	return ping
}

// shortMost is how often a ping is said in short before it is said in full again.
const shortMost = 8

// sendPing tells another seat how things stand here, in short if they stand as they did.
func (s *Seat) sendPing(to string, known *peer) {
	ping := s.ping()
	if known.told != nil {
		ping.Serial = known.told.Serial
	}
	if known.told != nil && known.inShort < shortMost && samePing(ping, known.told) {
		known.inShort++
		s.send(to, &schema.SeatLetter{Body: &schema.SeatLetter_Ping{Ping: &schema.Ping{Serial: ping.Serial}}})
		return
	}
	s.serial++
	ping.Serial, known.told, known.inShort = s.serial, ping, 0
	s.send(to, &schema.SeatLetter{Body: &schema.SeatLetter_Ping{Ping: ping}})
}

func samePing(a, b *schema.Ping) bool {
	return slices.Equal(a.Mutual, b.Mutual) && slices.Equal(a.Heard, b.Heard) && a.Unfit == b.Unfit && a.Promised == b.Promised &&
		a.Epoch == b.Epoch && a.Sequence == b.Sequence && a.Stable == b.Stable && a.StableEpoch == b.StableEpoch && a.Holder == b.Holder &&
		a.Behind == b.Behind && a.Seats == b.Seats
}

// inShort tells that a ping says no more than that nothing has changed.
func inShort(ping *schema.Ping) bool { return ping.Seats == nil && ping.Serial != 0 }

func (s *Seat) onPing(from string, known *peer, ping *schema.Ping) {
	if ping.Unknown {
		if known.told = nil; s.member() {
			s.sendPing(from, known)
		}
		return
	}
	if inShort(ping) {
		if known.ping.GetSerial() != ping.Serial {
			s.send(from, &schema.SeatLetter{Body: &schema.SeatLetter_Ping{Ping: &schema.Ping{Unknown: true}}})
			return
		}
		ping = known.ping
	}
	known.ping = ping
	if !ping.Unfit {
		s.fresh.told(from, s.now, ping.Sequence, s.stable)
	}
	known.have = &schema.Version{Epoch: ping.Epoch, Sequence: ping.Sequence}
	s.highest = max(s.highest, ping.Promised)
	if ping.StableEpoch == s.epoch {
		s.advance(ping.Stable)
	}
	// A seat the holder cannot reach learns what is stable from any other that has it.
	behind := ping.StableEpoch > s.epoch || (ping.StableEpoch == s.epoch && ping.Stable > s.seq)
	if s.member() && behind && s.phase == idle && !slices.Contains(s.mutual(), s.holder()) {
		s.send(from, &schema.SeatLetter{Body: &schema.SeatLetter_Fetch{Fetch: &schema.Fetch{}}})
	}
	s.tellNews()
}

// endSentOn gives up tickets whose holder is no longer the holder, or stays silent: the
// registry asks again under the same change id, which is safe.
func (s *Seat) endSentOn() {
	holder := s.holder()
	for _, ticket := range slices.Sorted(maps.Keys(s.sentOn)) {
		waiting := s.sentOn[ticket]
		if waiting.holder == holder && s.now-waiting.at <= s.options.Silence {
			continue
		}
		delete(s.sentOn, ticket)
		if waiting.barrier {
			s.actions = append(s.actions, ReplyBarrier{&schema.BarrierBack{Ticket: ticket, Undecided: true}})
		} else {
			s.actions = append(s.actions, Reply{&schema.Submitted{Ticket: ticket, Undecided: true}})
		}
	}
}

// resend repeats whatever a lost letter may have held up.
func (s *Seat) resend() {
	for _, name := range s.others {
		known := s.peers[name]
		if !s.hears(known) {
			continue
		}
		switch s.phase {
		case campaigning:
			if known.vote == nil && s.syncedPromise() >= s.promised {
				s.askToPromise(name)
			}
		case installing, active:
			if known.epoch != s.epoch || known.acked < s.seq {
				known.sent = known.acked
				s.feed(name, known)
			}
		}
	}
	if s.phase == active && len(s.barriers) > 0 {
		s.sendConfirm()
	}
}

// syncedPromise is the highest epoch promised on disk.
func (s *Seat) syncedPromise() uint64 {
	for _, waiting := range s.pending {
		if waiting.promise != 0 {
			return waiting.promise - 1
		}
	}
	return s.promised
}

func (s *Seat) stepDown() {
	s.phase, s.phaseAt = idle, s.now
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		waiting := s.waiters[id]
		for _, one := range waiting {
			s.answer(one, &schema.Submitted{Ticket: one.ticket, Undecided: true})
		}
		delete(s.waiters, id)
	}
	for _, one := range s.barriers {
		s.answerBarrier(one.waiter, &schema.BarrierBack{Ticket: one.ticket, Undecided: true})
	}
	s.barriers = nil
}

// promise lets no epoch below count here any more, and this one only for one seat.
func (s *Seat) promise(epoch uint64, to string) {
	s.promised, s.promisedTo, s.highest = epoch, to, max(s.highest, epoch)
}

// campaign asks a majority to promise an epoch of this seat's own.
func (s *Seat) campaign() {
	s.stepDown()
	// Epochs are dealt out by seat, so that two seats seldom ask for the same one.
	seats := uint64(len(s.set.Seats))
	epoch := (max(s.highest, s.promised)/seats+1)*seats + uint64(max(0, placeIn(s.set, s.options.Name)))
	s.phase, s.phaseAt = campaigning, s.now
	s.promise(epoch, s.options.Name)
	for _, known := range s.peers {
		known.vote, known.tells, known.epoch, known.acked, known.sent, known.confirmed = nil, false, 0, 0, 0, 0
	}
	for _, known := range s.guests {
		known.tells, known.epoch, known.acked, known.sent = false, 0, 0, 0
	}
	then := afterSync{promise: epoch}
	for _, name := range s.others {
		then.letters = append(then.letters, s.promiseLetter(name))
	}
	s.persist(&schema.Record{Promised: epoch, PromisedTo: s.options.Name}, then)
}

func (s *Seat) promiseLetter(to string) *schema.SeatLetter {
	return &schema.SeatLetter{To: to, Body: &schema.SeatLetter_Promise{Promise: &schema.Promise{Epoch: s.promised, Have: s.holds(), Seats: s.set.Taken}}}
}

func (s *Seat) askToPromise(name string) { s.send(name, s.promiseLetter(name)) }

// holds is what this seat has taken.
func (s *Seat) holds() *schema.Version { return &schema.Version{Epoch: s.epoch, Sequence: s.seq} }

func (s *Seat) onPromise(from string, promise *schema.Promise) {
	if !s.member() {
		return
	}
	if promise.Epoch < s.promised || promise.Epoch == s.promised && s.promisedTo != from {
		s.send(from, &schema.SeatLetter{Body: &schema.SeatLetter_Promised{Promised: &schema.Promised{Epoch: promise.Epoch, Refused: true, Higher: s.promised}}})
		return
	}
	if promise.Epoch == s.promised && s.syncedPromise() >= s.promised {
		s.vote(from, promise)
		return
	}
	if promise.Epoch > s.promised {
		s.stepDown()
	}
	s.promise(promise.Epoch, from)
	s.persist(&schema.Record{Promised: promise.Epoch, PromisedTo: from}, afterSync{promise: promise.Epoch, asked: promise, from: from})
}

// vote tells a candidate that its epoch is promised, and what it lacks of the state here.
func (s *Seat) vote(to string, asked *schema.Promise) {
	promised := &schema.Promised{Epoch: asked.Epoch, Have: s.holds()}
	switch {
	case !setup.Newer(promised.Have, asked.Have):
	case asked.Have.GetEpoch() == s.epoch && asked.Have.GetSequence() >= s.baseSeq:
		promised.Entries = s.entries[asked.Have.GetSequence()-s.baseSeq:]
	default:
		promised.Digest = s.digest()
	}
	s.send(to, &schema.SeatLetter{Body: &schema.SeatLetter_Promised{Promised: promised}})
}

func (s *Seat) onPromised(known *peer, promised *schema.Promised) {
	if promised.Refused {
		s.highest = max(s.highest, promised.Higher)
		return
	}
	if s.phase == campaigning && promised.Epoch == s.promised {
		known.vote, known.have, known.tells = promised, promised.Have, true
		s.tally()
	}
}

// tally counts promises. The newest state among them is taken whole, and with it who the seats
// are; with promises of a majority of those, this seat's epoch begins upon that state.
func (s *Seat) tally() {
	if s.syncedPromise() < s.promised {
		return
	}
	for _, name := range s.others {
		if known := s.peers[name]; known != nil && known.vote != nil && setup.Newer(known.vote.Have, s.holds()) && !s.has(plantStaleLeader) {
			s.adopt(known.vote)
		}
	}
	if !s.member() {
		s.stepDown()
		return
	}
	votes := 1
	for _, name := range s.others {
		if s.peers[name].vote != nil {
			votes++
		}
	}
	if votes < s.majority() {
		return
	}
	s.phase, s.phaseAt, s.upon = installing, s.now, s.holds()
	s.epoch = s.promised
	if seats := s.bound(); seats == s.set {
		s.persist(&schema.Record{Epoch: s.epoch}, afterSync{})
	} else {
		seats.Taken = s.holds()
		digest := s.digest()
		digest.Seats = seats
		s.replace(digest)
		s.upon = &schema.Version{Epoch: s.epoch, Sequence: s.seq}
		s.persist(&schema.Record{Digest: s.digest()}, afterSync{})
	}
	for _, name := range s.others {
		s.feed(name, s.peers[name])
	}
}

// bound is the seats with every founder that is known bound to its folder; those that were
// counted must be.
func (s *Seat) bound() *schema.Seats {
	seats := s.set
	for _, seat := range s.set.Seats {
		incarnation := s.incarnation
		if seat.Seat != s.options.Name {
			known := s.peers[seat.Seat]
			if known.incarnation == 0 || !known.founder {
				continue
			}
			incarnation = known.incarnation
		}
		if seat.Incarnation == 0 {
			seats = with(seats, &schema.Core{Seat: seat.Seat, Address: s.placeOf(seat.Seat), Incarnation: incarnation})
		}
	}
	return seats
}

// adopt takes from a vote what this seat lacks.
func (s *Seat) adopt(vote *schema.Promised) {
	if vote.Digest != nil {
		s.replace(vote.Digest)
		s.persist(&schema.Record{Digest: s.digest()}, afterSync{})
		return
	}
	if taken := s.takeAll(vote.Entries); len(taken) > 0 {
		s.persist(&schema.Record{Entries: taken}, afterSync{})
	}
}

// takeAll takes entries that follow what is held.
func (s *Seat) takeAll(entries []*schema.Entry) (taken []*schema.Entry) {
	for _, entry := range entries {
		if entry.Version.Sequence == s.seq+1 {
			s.append(entry)
			taken = append(taken, entry)
		}
	}
	return taken
}

// feed sends a peer what it lacks under this epoch: its beginning first, then entries.
func (s *Seat) feed(name string, known *peer) {
	if known.epoch != s.epoch || known.acked < s.baseSeq {
		s.install(name, known)
		return
	}
	if known.sent < known.acked {
		known.sent = known.acked
	}
	var entries []*schema.Entry
	if known.sent < s.seq {
		entries = s.entries[known.sent-s.baseSeq:]
	}
	s.send(name, &schema.SeatLetter{Body: &schema.SeatLetter_Append{Append: &schema.Append{Epoch: s.epoch, After: known.sent, Entries: entries, Stable: s.stable}}})
	known.sent = s.seq
}

// install begins this seat's epoch at another: upon the state that it holds, if that is a part of
// what the epoch began with here, else with the whole state, which may be large.
func (s *Seat) install(name string, known *peer) {
	install := &schema.Install{Epoch: s.epoch}
	have := known.have
	within := have != nil && s.upon.Epoch != s.epoch && have.Epoch == s.upon.Epoch && have.Sequence <= s.upon.Sequence && have.Sequence >= s.baseSeq
	switch {
	case within:
		install.Upon, install.Entries = have, s.entries[have.Sequence-s.baseSeq:]
	case !known.tells && s.upon.Epoch != s.epoch && s.upon.Sequence >= s.baseSeq:
		// What it held may be long ago: it is asked by trying, before much is sent.
		install.Upon, install.Entries = s.upon, s.entries[s.upon.Sequence-s.baseSeq:]
	case known.wholeAt != 0 && s.now-known.wholeAt < s.options.Silence && known.sent != 0:
		return // it may be under way still
	default:
		install.Digest, known.wholeAt = s.digest(), s.now
	}
	s.send(name, &schema.SeatLetter{Body: &schema.SeatLetter_Install{Install: install}})
	known.sent = s.seq
}

func (s *Seat) refuse(from string) {
	s.send(from, &schema.SeatLetter{Body: &schema.SeatLetter_Synced{Synced: &schema.Synced{Refused: true, Higher: s.promised}}})
}

func (s *Seat) ackLetter(to string) *schema.SeatLetter {
	return &schema.SeatLetter{To: to, Body: &schema.SeatLetter_Synced{Synced: &schema.Synced{Epoch: s.epoch, Sequence: s.seq}}}
}

// ackSynced acknowledges what is on disk now, for letters that brought nothing new.
func (s *Seat) ackSynced(to string) {
	s.send(to, &schema.SeatLetter{Body: &schema.SeatLetter_Synced{Synced: &schema.Synced{Epoch: s.syncedEpoch, Sequence: s.syncedSeq, Have: s.holds()}}})
}

func (s *Seat) onInstall(from string, install *schema.Install) {
	if install.Epoch < s.promised && s.takenOut() {
		s.renew()
		return
	}
	if install.Epoch < s.promised {
		s.refuse(from)
		return
	}
	if install.Epoch == s.epoch && (install.Digest == nil || s.seq >= install.Digest.Sequence) {
		s.ackSynced(from)
		return
	}
	if upon := install.Upon; install.Digest == nil && (upon.GetEpoch() != s.epoch || upon.GetSequence() != s.seq) {
		s.ackSynced(from)
		return
	}
	if s.phase != idle {
		s.stepDown()
	}
	s.promise(install.Epoch, from)
	if install.Digest != nil {
		s.replace(install.Digest)
		s.epoch = install.Epoch
		s.persist(&schema.Record{Digest: s.digest()}, afterSync{letters: []*schema.SeatLetter{s.ackLetter(from)}})
		return
	}
	taken := s.takeAll(install.Entries)
	s.epoch = install.Epoch
	s.persist(&schema.Record{Entries: taken, Epoch: s.epoch, Promised: s.promised, PromisedTo: from}, afterSync{letters: []*schema.SeatLetter{s.ackLetter(from)}})
}

func (s *Seat) onAppend(from string, given *schema.Append) {
	if given.Epoch < s.promised {
		s.refuse(from)
		return
	}
	if given.Epoch != s.epoch || given.After > s.seq {
		s.ackSynced(from)
		return
	}
	if taken := s.takeAll(given.Entries); len(taken) > 0 {
		if s.has(plantEarlyAcknowledgement) {
			s.send(from, s.ackLetter(from))
		}
		s.persist(&schema.Record{Entries: taken}, afterSync{letters: []*schema.SeatLetter{s.ackLetter(from)}})
	} else if len(given.Entries) > 0 {
		s.ackSynced(from)
	}
	s.advance(given.Stable)
}

func (s *Seat) onSynced(from string, known *peer, counted bool, synced *schema.Synced) {
	if synced.Refused {
		s.highest = max(s.highest, synced.Higher)
		// Who has no seat disturbs nobody, unless there is one for it.
		wanted := counted || len(s.set.Seats) < int(s.set.Wanted)
		if (s.phase == active || s.phase == installing) && synced.Higher > s.epoch && wanted {
			s.stepDown()
		}
		return
	}
	if s.phase != installing && s.phase != active {
		return
	}
	if synced.Epoch != s.epoch {
		// It lacks this epoch's beginning, and gets it upon what it says that it holds.
		if told := synced.Have; told != nil && told.Epoch != s.epoch {
			again := known.tells && known.have.GetEpoch() == told.Epoch && known.have.GetSequence() == told.Sequence
			if known.tells, known.have = true, told; !again {
				s.feed(from, known)
			}
		}
		return
	}
	first := known.epoch != s.epoch
	known.epoch, known.acked = s.epoch, max(known.acked, synced.Sequence)
	s.settle()
	if first && known.acked < s.seq && s.phase == active {
		known.sent = known.acked
		s.feed(from, known)
	}
	s.tend()
}

// settle finds what enough seats have on disk under this epoch; that much is stable.
func (s *Seat) settle() {
	if (s.phase != installing && s.phase != active) || s.syncedEpoch != s.epoch {
		return
	}
	reached := []uint64{s.syncedSeq}
	for _, seat := range s.set.Seats {
		// A founder counts only once it is bound to its folder.
		if known := s.peers[seat.Seat]; known != nil && seat.Incarnation != 0 && known.epoch == s.epoch {
			reached = append(reached, known.acked)
		}
	}
	needed := neededOf(s.set, s.options.Losses)
	if s.has(plantCountLearners) {
		for _, name := range s.learners() {
			if learner := s.guests[name]; learner.epoch == s.epoch {
				reached = append(reached, learner.acked)
			}
		}
	}
	if s.has(plantFoundersQuorum) {
		needed = min(needed, plantedFounders/2+1)
	}
	if len(reached) < needed {
		return
	}
	slices.Sort(reached)
	s.phase = active
	before, beforeEpoch := s.stable, s.stableEpoch
	s.advance(reached[len(reached)-needed])
	// Followers show a change only once they know it is stable, so they are told at once.
	if s.stable != before || s.stableEpoch != beforeEpoch {
		s.feedAll()
		s.tellNews()
	}
}

// feedAll sends everybody who has this epoch's beginning what is new. Whoever lacks it gets it by
// resend; entries before it would be wasted.
func (s *Seat) feedAll() {
	for _, name := range s.others {
		if known := s.peers[name]; known.epoch == s.epoch {
			s.feed(name, known)
		}
	}
	for _, name := range s.learners() {
		if known := s.guests[name]; known.epoch == s.epoch {
			s.feed(name, known)
		}
	}
}

// take appends an entry of the holder's own and hands it to the others.
func (s *Seat) take(entry *schema.Entry) {
	s.append(entry)
	s.persist(&schema.Record{Entries: []*schema.Entry{entry}}, afterSync{})
	s.feedAll()
}

func (s *Seat) onFetched(digest *schema.Digest) {
	if !s.member() || s.phase != idle || !setup.Newer(&schema.Version{Epoch: digest.Epoch, Sequence: digest.Sequence}, s.holds()) {
		return
	}
	// Stable state may be taken even under a later promise: a majority has it already, so
	// whoever was promised will read it too.
	if digest.Epoch > s.promised {
		s.promise(digest.Epoch, "")
	}
	s.replace(digest)
	s.persist(&schema.Record{Digest: s.digest()}, afterSync{})
	s.advance(digest.Sequence)
}

// Deliver takes a letter from another seat.
func (s *Seat) Deliver(now time.Duration, letter *schema.SeatLetter) []Action {
	s.begin(now)
	if letter.To != s.options.Name || letter.From == s.options.Name {
		return nil
	}
	if letter.Address != "" {
		s.addresses[letter.From] = letter.Address
	}
	known, counted := s.sender(letter)
	switch body := letter.Body.(type) {
	case *schema.SeatLetter_Ping:
		if known == nil {
			s.tellSeats(letter.From, body.Ping.Seats)
		} else {
			s.onPing(letter.From, known, body.Ping)
		}
	case *schema.SeatLetter_Promise:
		if known == nil {
			s.tellSeats(letter.From, body.Promise.Seats)
		} else {
			s.onPromise(letter.From, body.Promise)
		}
	case *schema.SeatLetter_Promised:
		if counted {
			s.onPromised(known, body.Promised)
		}
	case *schema.SeatLetter_Install:
		s.onInstall(letter.From, body.Install)
	case *schema.SeatLetter_Append:
		s.onAppend(letter.From, body.Append)
	case *schema.SeatLetter_Synced:
		if known != nil {
			s.onSynced(letter.From, known, counted, body.Synced)
		}
	case *schema.SeatLetter_Read:
		s.send(letter.From, &schema.SeatLetter{Body: &schema.SeatLetter_ReadBack{ReadBack: &schema.ReadBack{
			Round: body.Read.Round, Promised: s.promised, Digest: &schema.Digest{Epoch: s.epoch, Sequence: s.seq}}}})
	case *schema.SeatLetter_ReadBack:
		s.onReadBack(letter.From, letter.Incarnation, body.ReadBack)
	case *schema.SeatLetter_Fetch:
		if s.stableEpoch != 0 {
			s.send(letter.From, &schema.SeatLetter{Body: &schema.SeatLetter_Fetched{Fetched: &schema.Fetched{Digest: s.stableDigest()}}})
		}
	case *schema.SeatLetter_Fetched:
		s.onFetched(body.Fetched.Digest)
	case *schema.SeatLetter_Join:
		s.onJoin(letter, body.Join)
	case *schema.SeatLetter_Seats:
		s.onSeats(body.Seats)
	case *schema.SeatLetter_Submit:
		s.offer(body.Submit, waiter{ticket: body.Submit.Ticket, to: letter.From})
	case *schema.SeatLetter_Submitted:
		delete(s.sentOn, body.Submitted.Ticket)
		s.actions = append(s.actions, Reply{body.Submitted})
	case *schema.SeatLetter_Barrier:
		s.stand(waiter{ticket: body.Barrier.Ticket, to: letter.From})
	case *schema.SeatLetter_BarrierBack:
		delete(s.sentOn, body.BarrierBack.Ticket)
		s.actions = append(s.actions, ReplyBarrier{body.BarrierBack})
	case *schema.SeatLetter_Confirm:
		refused := body.Confirm.Epoch != s.promised || !s.member()
		s.send(letter.From, &schema.SeatLetter{Body: &schema.SeatLetter_Confirmed{Confirmed: &schema.Confirmed{
			Epoch: body.Confirm.Epoch, Round: body.Confirm.Round, Refused: refused}}})
	case *schema.SeatLetter_Confirmed:
		if counted && s.phase == active && body.Confirmed.Epoch == s.epoch && !body.Confirmed.Refused {
			known.confirmed = max(known.confirmed, body.Confirmed.Round)
			s.settleBarriers()
		}
	}
	return s.actions
}

// sender finds who sent a letter: one of the seats, whose word is counted; or one that asks for a
// seat or knows newer seats, whose is not; or nobody known.
func (s *Seat) sender(letter *schema.SeatLetter) (known *peer, counted bool) {
	if lists(s.set, letter.From, letter.Incarnation, letter.Founder) {
		known = s.peers[letter.From]
		if known.incarnation != letter.Incarnation {
			*known = peer{incarnation: letter.Incarnation}
		}
		known.founder, known.heard, known.heardAt = letter.Founder, true, s.now
		return known, true
	}
	var seats *schema.Version
	switch body := letter.Body.(type) {
	case *schema.SeatLetter_Ping:
		seats = body.Ping.Seats
	case *schema.SeatLetter_Promise:
		seats = body.Promise.Seats
	}
	known = s.guests[letter.From]
	// What was not taken into the state that this seat has under a later epoch came to nothing.
	if seats != nil && seats.Epoch >= s.epoch && setup.Newer(seats, s.set.Taken) && s.set.Taken != nil {
		if known == nil || known.learns || known.incarnation != letter.Incarnation {
			known = &peer{incarnation: letter.Incarnation}
			s.guests[letter.From] = known
		}
	} else if known == nil || known.incarnation != letter.Incarnation {
		return nil, false
	} else if !known.learns && seats != nil {
		delete(s.guests, letter.From)
		return nil, false
	}
	known.heard, known.heardAt = true, s.now
	return known, false
}

func sequenceText(version *schema.Version) string {
	return strings.Join([]string{fmt.Sprint(version.Epoch), fmt.Sprint(version.Sequence)}, "-")
}
