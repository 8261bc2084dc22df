// Package store keeps the setup: admission under an epoch, majority sync, repair.
//
// Seat is a step function: an event and the time go in, actions come out. It does no
// I/O, so the daemon, the simulator and the interleaving checker all run this same code.
package store

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"meadowhinge/internal/setup"
	"meadowhinge/schema"
)

// Send is a letter for another seat.
type Send struct{ Letter *schema.SeatLetter }

// Persist asks for a record to be synced; Synced must be stepped with its mark afterwards,
// marks in the order they were given. Whole means that records before it may be dropped.
type Persist struct {
	Mark   uint64
	Record *schema.Record
	Whole  bool
}

// Reply ends a ticket given with Offer.
type Reply struct{ Submitted *schema.Submitted }

// ReplyBarrier ends a ticket given with Stand.
type ReplyBarrier struct{ Back *schema.BarrierBack }

// Action is one of Send, Persist, Reply, ReplyBarrier.
type Action any

// Options are the bounds a seat works within.
type Options struct {
	Name         string
	Order        []string
	Address      string
	Silence      time.Duration
	Stall        time.Duration
	EntriesMost  int
	OutcomesMost int
	BufferMost   int
	DroppedMost  int // tombstones that bear an operator's version and are kept
}

// Ratios to the bounds in Options.
const (
	pingsPerSilence   = 5 // pings that fit into the silence bound, so that single losses do not count
	campaignsPerStall = 1 // a campaign that takes longer than the stall bound starts again
)

type phase int

const (
	idle phase = iota
	campaigning
	installing
	active
)

type afterSync struct {
	mark    uint64
	at      time.Duration
	epoch   uint64
	seq     uint64
	letters []*schema.SeatLetter
	promise uint64
	digest  *schema.SeatLetter // a Promised letter whose digest is filled in once synced
}

type peer struct {
	address     string
	incarnation uint64
	heardAt     time.Duration
	heard       bool
	ping        *schema.Ping
	// what the holder knows of it under its epoch
	epoch, acked, sent uint64
	vote               *schema.Digest
	confirmed          uint64
	read               *schema.ReadBack
}

type waiter struct {
	ticket string
	to     string // seat to answer, empty for this process
}

// sentOn is a ticket of this machine's registry that waits for the holder's answer.
type sentOn struct {
	holder  string
	at      time.Duration
	barrier bool
}

type barrier struct {
	waiter
	round uint64
}

// Seat is one copy of the setup.
type Seat struct {
	options     Options
	incarnation uint64

	promised uint64
	counted  bool
	epoch    uint64
	seq      uint64
	state    setup.State
	baseSeq  uint64
	base     setup.State
	entries  []*schema.Entry // from baseSeq+1 to seq
	outcomes map[string]*schema.Outcome
	ordered  []string // change ids, oldest first

	syncedEpoch, syncedSeq uint64
	stable                 uint64
	stableEpoch            uint64
	stableState            setup.State
	sinceWhole             int
	purgeAt                uint64       // stable sequence from which the holder looks for tombstones again
	compiled               *setup.Setup // of the last change taken here, to compile the next one after

	nextMark uint64
	pending  []afterSync

	peers     map[string]*peer
	others    []string // the peers in the agreed order, so that a run can be replayed
	phase     phase
	phaseAt   time.Duration
	lastPing  time.Duration
	pinged    bool
	highest   uint64 // highest epoch seen anywhere
	round     uint64
	readRound uint64
	waiters   map[string][]waiter // by change id, at the holder
	barriers  []barrier
	sentOn    map[string]sentOn
	fresh     freshness
	failed    bool // the disk refused a write: this seat must never act again

	actions []Action
	now     time.Duration
}

// NewSeat makes a seat from what its disk held; records nil and a new incarnation make an empty one.
func NewSeat(options Options, incarnation uint64, records []*schema.Record) *Seat {
	s := &Seat{options: options, incarnation: incarnation, state: setup.State{}, base: setup.State{}, stableState: setup.State{},
		outcomes: map[string]*schema.Outcome{}, peers: map[string]*peer{}, waiters: map[string][]waiter{}, sentOn: map[string]sentOn{}}
	for _, name := range options.Order {
		if name != options.Name {
			s.peers[name] = &peer{}
			s.others = append(s.others, name)
		}
	}
	for _, record := range records {
		s.fold(record)
	}
	s.syncedEpoch, s.syncedSeq = s.epoch, s.seq
	s.highest = s.promised
	return s
}

// fold applies a record read back from disk.
func (s *Seat) fold(record *schema.Record) {
	if record.Incarnation != 0 {
		s.incarnation = record.Incarnation
	}
	s.promised = max(s.promised, record.Promised)
	s.counted = s.counted || record.Counted
	if record.Digest != nil {
		s.replace(record.Digest)
	}
	for _, entry := range record.Entries {
		if entry.Version.Sequence == s.seq+1 {
			s.append(entry)
		}
	}
}

// replace takes a digest as the whole working state.
func (s *Seat) replace(digest *schema.Digest) {
	s.epoch, s.seq = digest.Epoch, digest.Sequence
	s.state = setup.State{}.With(digest.Items)
	s.base, s.baseSeq, s.entries = s.state, s.seq, nil
	s.outcomes, s.ordered = map[string]*schema.Outcome{}, nil
	for _, outcome := range digest.Outcomes {
		s.remember(outcome)
	}
}

func (s *Seat) remember(outcome *schema.Outcome) {
	if _, known := s.outcomes[outcome.ChangeId]; !known {
		s.ordered = append(s.ordered, outcome.ChangeId)
	}
	s.outcomes[outcome.ChangeId] = outcome
	// The memory of outcomes is bounded; the oldest ids are forgotten first.
	for len(s.ordered) > s.options.OutcomesMost {
		delete(s.outcomes, s.ordered[0])
		s.ordered = s.ordered[1:]
	}
}

func (s *Seat) append(entry *schema.Entry) {
	s.entries = append(s.entries, entry)
	s.seq = entry.Version.Sequence
	if len(entry.Items) > 0 {
		s.state = s.state.With(entry.Items)
	}
	s.remember(entry.Outcome)
	s.sinceWhole++
}

func (s *Seat) digest() *schema.Digest {
	digest := &schema.Digest{Epoch: s.epoch, Sequence: s.seq, Items: s.state.Items()}
	for _, id := range s.ordered {
		digest.Outcomes = append(digest.Outcomes, s.outcomes[id])
	}
	return digest
}

// stableDigest is the state as shown outside; outcomes later than it are left out.
func (s *Seat) stableDigest() *schema.Digest {
	digest := &schema.Digest{Epoch: s.stableEpoch, Sequence: s.stable, Items: s.stableState.Items()}
	for _, id := range s.ordered {
		if outcome := s.outcomes[id]; outcome.Version.Sequence <= s.stable {
			digest.Outcomes = append(digest.Outcomes, outcome)
		}
	}
	return digest
}

// advance moves the stable mark; seq must be stable under the epoch this seat is in.
func (s *Seat) advance(seq uint64) {
	seq = min(seq, s.seq)
	// A digest newer than the mark hides the states between: wait until the mark reaches it.
	if seq < s.baseSeq || (seq <= s.stable && s.stableEpoch == s.epoch) || seq < s.stable {
		return
	}
	state, from := s.stableState, s.stable
	if from < s.baseSeq || s.stableEpoch != s.epoch {
		state, from = s.base, s.baseSeq
	}
	var items []*schema.Item
	for _, entry := range s.entries {
		if entry.Version.Sequence > from && entry.Version.Sequence <= seq {
			items = append(items, entry.Items...)
		}
	}
	if len(items) > 0 {
		state = state.With(items)
	}
	s.stableState, s.stable, s.stableEpoch = state, seq, s.epoch
	s.trim()
	s.answerWaiters()
}

// trim lets go of entries that are stable and beyond the bound.
func (s *Seat) trim() {
	if len(s.entries) < 2*s.options.EntriesMost {
		return
	}
	keepFrom := min(s.stable, s.seq-uint64(s.options.EntriesMost))
	cut := 0
	var items []*schema.Item
	for cut < len(s.entries) && s.entries[cut].Version.Sequence <= keepFrom {
		items = append(items, s.entries[cut].Items...)
		cut++
	}
	if cut == 0 {
		return
	}
	s.base, s.baseSeq = s.base.With(items), s.entries[cut-1].Version.Sequence
	s.entries = append([]*schema.Entry(nil), s.entries[cut:]...)
}

// Stable gives the state that may be shown outside.
func (s *Seat) Stable() (uint64, setup.State) { return s.stable, s.stableState }

// OutcomeOf tells what became of a change, if it is settled here.
func (s *Seat) OutcomeOf(changeID string) (*schema.Outcome, bool) {
	outcome, found := s.outcomes[changeID]
	if !found || outcome.Version.Sequence > s.stable {
		return nil, false
	}
	return outcome, true
}

// Accepted tells what was decided of a change, whether or not that is stable yet.
func (s *Seat) Accepted(changeID string) (*schema.Outcome, bool) {
	outcome, found := s.outcomes[changeID]
	return outcome, found
}

// Reached is how far this seat has come: taken, synced and stable sequences.
func (s *Seat) Reached() [3]uint64 { return [3]uint64{s.seq, s.syncedSeq, s.stable} }

// Status is what an operator sees of the seat.
func (s *Seat) Status() *schema.SeatStatus {
	status := &schema.SeatStatus{Seat: s.options.Name, Holder: s.holder(), Epoch: s.epoch, Promised: s.promised, Sequence: s.seq,
		Synced: s.syncedSeq, Stable: s.stable, Counted: s.counted, Unfit: s.unfit()}
	for _, name := range s.options.Order {
		if known := s.peers[name]; known != nil && s.hears(known) {
			status.Heard = append(status.Heard, name)
		}
	}
	return status
}

// Addresses tells where each other seat was last heard from.
func (s *Seat) Addresses() map[string]string {
	addresses := map[string]string{}
	for _, name := range s.others {
		known := s.peers[name]
		if known.address != "" {
			addresses[name] = known.address
		}
	}
	return addresses
}

func (s *Seat) majority() int { return len(s.options.Order)/2 + 1 }

func (s *Seat) begin(now time.Duration) {
	s.now, s.actions = now, nil
}

func (s *Seat) send(to string, letter *schema.SeatLetter) {
	letter.From, letter.To, letter.Address, letter.Incarnation = s.options.Name, to, s.options.Address, s.incarnation
	s.actions = append(s.actions, Send{letter})
}

// persist asks for a sync and keeps what must wait for it.
func (s *Seat) persist(record *schema.Record, then afterSync) {
	s.nextMark++
	whole := record.Digest != nil
	// Every so many entries the whole state is written, so that the log in front can go.
	if !whole && s.sinceWhole >= s.options.EntriesMost {
		record, whole = &schema.Record{Digest: s.digest()}, true
	}
	if whole {
		record.Incarnation, record.Promised, record.Counted = s.incarnation, s.promised, s.counted
		s.sinceWhole = 0
	}
	then.mark, then.at, then.epoch, then.seq = s.nextMark, s.now, s.epoch, s.seq
	s.pending = append(s.pending, then)
	s.actions = append(s.actions, Persist{Mark: s.nextMark, Record: record, Whole: whole})
}

// unfit tells that this seat must not hold the duty.
func (s *Seat) unfit() bool {
	stalled := len(s.pending) > 0 && s.now-s.pending[0].at > s.options.Stall
	return !s.counted || stalled || s.failed
}

func (s *Seat) hears(known *peer) bool {
	return known.heard && s.now-known.heardAt <= s.options.Silence
}

func contains(names []string, name string) bool {
	for _, listed := range names {
		if listed == name {
			return true
		}
	}
	return false
}

// mutual lists the fit seats heard here that hear this one.
func (s *Seat) mutual() []string {
	var names []string
	for _, name := range s.options.Order {
		if known := s.peers[name]; known != nil && s.hears(known) && known.ping != nil && !known.ping.Unfit && contains(known.ping.Heard, s.options.Name) {
			names = append(names, name)
		}
	}
	return names
}

// live tells whether a seat has links in both directions to a majority, itself included.
// One-way links do not count, so a seat that can only speak or only listen gets no duty.
func (s *Seat) live(name string) bool {
	mine := s.mutual()
	if name == s.options.Name {
		return !s.unfit() && len(mine)+1 >= s.majority()
	}
	linked := map[string]bool{}
	if contains(mine, name) {
		linked[s.options.Name] = true
	}
	for _, other := range s.others {
		known := s.peers[other]
		if !s.hears(known) || known.ping == nil {
			continue
		}
		if other == name {
			if known.ping.Unfit {
				return false
			}
			for _, end := range known.ping.Mutual {
				linked[end] = true
			}
		} else if contains(known.ping.Mutual, name) {
			linked[other] = true
		}
	}
	return len(linked)+1 >= s.majority()
}

// duty names the seat that should hold the admission duty: the first live one in the order.
func (s *Seat) duty() string {
	for _, name := range s.options.Order {
		if s.live(name) {
			return name
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
	for _, other := range s.others {
		known := s.peers[other]
		if s.hears(known) && known.ping != nil && known.ping.Holder == other && known.ping.Epoch > epoch {
			name, epoch = other, known.ping.Epoch
		}
	}
	return name
}

// Tick lets time pass.
func (s *Seat) Tick(now time.Duration) []Action {
	s.begin(now)
	if s.failed {
		return nil
	}
	s.tick()
	return s.actions
}

func (s *Seat) tick() {
	if !s.counted {
		s.askToRead()
	}
	// A holder that cannot reach a majority, or whose disk stalls, lets the duty go.
	if s.phase != idle && !s.live(s.options.Name) {
		s.stepDown()
	}
	stuck := (s.phase == campaigning || s.phase == installing) && s.now-s.phaseAt > s.options.Stall/campaignsPerStall
	if (s.phase == idle || stuck) && s.duty() == s.options.Name {
		// One try a silence bound keeps two seats that see the links differently from racing.
		if stuck || s.now-s.phaseAt > s.options.Silence || s.phaseAt == 0 {
			s.campaign()
		}
	}
	s.endSentOn()
	s.purge()
	if !s.pinged || s.now-s.lastPing >= s.options.Silence/pingsPerSilence {
		s.pinged, s.lastPing = true, s.now
		for _, name := range s.others {
			s.sendPing(name)
		}
		s.resend()
	}
}

func (s *Seat) sendPing(to string) {
	ping := &schema.Ping{Mutual: s.mutual(), Unfit: s.unfit(), Promised: s.promised, Epoch: s.epoch, Sequence: s.seq,
		Stable: s.stable, StableEpoch: s.stableEpoch}
	for _, name := range s.others {
		known := s.peers[name]
		if s.hears(known) {
			ping.Heard = append(ping.Heard, name)
		}
	}
	if s.phase == active {
		ping.Holder = s.options.Name
	}
	s.send(to, &schema.SeatLetter{Body: &schema.SeatLetter_Ping{Ping: ping}})
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
				s.send(name, &schema.SeatLetter{Body: &schema.SeatLetter_Promise{Promise: &schema.Promise{Epoch: s.promised}}})
			}
		case installing, active:
			known.sent = known.acked
			s.feed(name, known)
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

func (s *Seat) askToRead() {
	if s.readRound != 0 && s.now-s.phaseAt < s.options.Silence/pingsPerSilence {
		return
	}
	s.readRound++
	s.phaseAt = s.now
	for _, name := range s.others {
		s.send(name, &schema.SeatLetter{Body: &schema.SeatLetter_Read{Read: &schema.Read{Round: s.readRound}}})
	}
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

// campaign asks a majority to promise an epoch of this seat's own.
func (s *Seat) campaign() {
	s.stepDown()
	place := uint64(0)
	for i, name := range s.options.Order {
		if name == s.options.Name {
			place = uint64(i)
		}
	}
	seats := uint64(len(s.options.Order))
	// Epochs are dealt out by seat, so that no two seats ever act under the same one.
	epoch := (max(s.highest, s.promised)/seats+1)*seats + place
	s.phase, s.phaseAt, s.promised, s.highest = campaigning, s.now, epoch, epoch
	for _, name := range s.others {
		known := s.peers[name]
		known.vote, known.epoch, known.acked, known.sent, known.confirmed = nil, 0, 0, 0, 0
	}
	then := afterSync{promise: epoch}
	for _, name := range s.others {
		then.letters = append(then.letters, &schema.SeatLetter{To: name, Body: &schema.SeatLetter_Promise{Promise: &schema.Promise{Epoch: epoch}}})
	}
	s.persist(&schema.Record{Promised: epoch}, then)
}

// Synced tells that every record up to mark is on disk.
func (s *Seat) Synced(now time.Duration, mark uint64) []Action {
	s.begin(now)
	for len(s.pending) > 0 && s.pending[0].mark <= mark {
		done := s.pending[0]
		s.pending = s.pending[1:]
		if done.epoch == s.epoch {
			// Within an epoch the synced mark only grows; a new epoch starts it afresh.
			if s.syncedEpoch != done.epoch || done.seq > s.syncedSeq {
				s.syncedEpoch, s.syncedSeq = done.epoch, done.seq
			}
		}
		for _, letter := range done.letters {
			s.send(letter.To, letter)
		}
		if done.digest != nil && s.promised == done.digest.GetPromised().Epoch {
			done.digest.GetPromised().Digest = s.digest()
			s.send(done.digest.To, done.digest)
		}
		if s.phase == campaigning {
			s.tally()
		}
		s.settle()
	}
	return s.actions
}

// DiskFailed ends this seat's part: a disk that refused a write cannot be trusted with a yes.
func (s *Seat) DiskFailed(now time.Duration) []Action {
	s.begin(now)
	s.stepDown()
	s.failed = true
	return s.actions
}

// Deliver takes a letter from another seat.
func (s *Seat) Deliver(now time.Duration, letter *schema.SeatLetter) []Action {
	s.begin(now)
	known := s.peers[letter.From]
	if known == nil || letter.To != s.options.Name || s.failed {
		return nil
	}
	if letter.Incarnation < known.incarnation {
		return nil
	}
	// A new incarnation has lost its disk: whatever it had synced no longer counts.
	if letter.Incarnation > known.incarnation {
		*known = peer{incarnation: letter.Incarnation}
	}
	known.address, known.heard, known.heardAt = letter.Address, true, now
	switch body := letter.Body.(type) {
	case *schema.SeatLetter_Ping:
		s.onPing(letter.From, known, body.Ping)
	case *schema.SeatLetter_Promise:
		s.onPromise(letter.From, body.Promise)
	case *schema.SeatLetter_Promised:
		s.onPromised(known, body.Promised)
	case *schema.SeatLetter_Install:
		s.onInstall(letter.From, body.Install)
	case *schema.SeatLetter_Append:
		s.onAppend(letter.From, body.Append)
	case *schema.SeatLetter_Synced:
		s.onSynced(letter.From, known, body.Synced)
	case *schema.SeatLetter_Read:
		s.send(letter.From, &schema.SeatLetter{Body: &schema.SeatLetter_ReadBack{ReadBack: &schema.ReadBack{
			Round: body.Read.Round, Promised: s.promised, Digest: s.digest()}}})
	case *schema.SeatLetter_ReadBack:
		s.onReadBack(known, body.ReadBack)
	case *schema.SeatLetter_Fetch:
		if s.stableEpoch != 0 {
			s.send(letter.From, &schema.SeatLetter{Body: &schema.SeatLetter_Fetched{Fetched: &schema.Fetched{Digest: s.stableDigest()}}})
		}
	case *schema.SeatLetter_Fetched:
		s.onFetched(body.Fetched.Digest)
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
		refused := body.Confirm.Epoch != s.promised || !s.counted
		s.send(letter.From, &schema.SeatLetter{Body: &schema.SeatLetter_Confirmed{Confirmed: &schema.Confirmed{
			Epoch: body.Confirm.Epoch, Round: body.Confirm.Round, Refused: refused}}})
	case *schema.SeatLetter_Confirmed:
		if s.phase == active && body.Confirmed.Epoch == s.epoch && !body.Confirmed.Refused {
			known.confirmed = max(known.confirmed, body.Confirmed.Round)
			s.settleBarriers()
		}
	}
	return s.actions
}

func (s *Seat) onPing(from string, known *peer, ping *schema.Ping) {
	known.ping = ping
	if !ping.Unfit {
		s.fresh.told(from, s.now, ping.Sequence, s.stable)
	}
	s.highest = max(s.highest, ping.Promised)
	if ping.StableEpoch == s.epoch {
		s.advance(ping.Stable)
	}
	// A seat the holder cannot reach learns what is stable from any other that has it.
	behind := ping.StableEpoch > s.epoch || (ping.StableEpoch == s.epoch && ping.Stable > s.seq)
	if s.counted && behind && s.phase == idle && !contains(s.mutual(), s.holder()) {
		s.send(from, &schema.SeatLetter{Body: &schema.SeatLetter_Fetch{Fetch: &schema.Fetch{}}})
	}
}

func (s *Seat) onPromise(from string, promise *schema.Promise) {
	if !s.counted {
		return
	}
	if promise.Epoch < s.promised {
		s.send(from, &schema.SeatLetter{Body: &schema.SeatLetter_Promised{Promised: &schema.Promised{Epoch: promise.Epoch, Refused: true, Higher: s.promised}}})
		return
	}
	if promise.Epoch > s.promised {
		s.stepDown()
	}
	s.promised, s.highest = promise.Epoch, max(s.highest, promise.Epoch)
	then := afterSync{promise: promise.Epoch, digest: &schema.SeatLetter{To: from, Body: &schema.SeatLetter_Promised{Promised: &schema.Promised{Epoch: promise.Epoch}}}}
	s.persist(&schema.Record{Promised: promise.Epoch}, then)
}

func (s *Seat) onPromised(known *peer, promised *schema.Promised) {
	if promised.Refused {
		s.highest = max(s.highest, promised.Higher)
		return
	}
	if s.phase == campaigning && promised.Epoch == s.promised {
		known.vote = promised.Digest
		s.tally()
	}
}

// tally counts promises; with a majority the newest state among them is taken whole.
func (s *Seat) tally() {
	if s.syncedPromise() < s.promised {
		return
	}
	votes, best := 1, s.digest()
	for _, name := range s.others {
		known := s.peers[name]
		if known.vote == nil {
			continue
		}
		votes++
		if known.vote.Epoch > best.Epoch || (known.vote.Epoch == best.Epoch && known.vote.Sequence > best.Sequence) {
			best = known.vote
		}
	}
	if votes < s.majority() {
		return
	}
	best.Epoch = s.promised
	s.replace(best)
	s.phase, s.phaseAt = installing, s.now
	s.persist(&schema.Record{Digest: s.digest()}, afterSync{})
	for _, name := range s.others {
		known := s.peers[name]
		s.feed(name, known)
	}
}

// feed sends a peer what it lacks under this epoch: the digest first, then entries.
func (s *Seat) feed(name string, known *peer) {
	if known.epoch != s.epoch || known.acked < s.baseSeq {
		s.send(name, &schema.SeatLetter{Body: &schema.SeatLetter_Install{Install: &schema.Install{Epoch: s.epoch, Digest: s.digest()}}})
		known.sent = s.seq
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

func (s *Seat) refuse(from string) {
	s.send(from, &schema.SeatLetter{Body: &schema.SeatLetter_Synced{Synced: &schema.Synced{Refused: true, Higher: s.promised}}})
}

func (s *Seat) ackLetter(to string) *schema.SeatLetter {
	return &schema.SeatLetter{To: to, Body: &schema.SeatLetter_Synced{Synced: &schema.Synced{Epoch: s.epoch, Sequence: s.seq}}}
}

// ackSynced acknowledges what is on disk now, for letters that brought nothing new.
func (s *Seat) ackSynced(to string) {
	epoch, seq := s.syncedEpoch, s.syncedSeq
	s.send(to, &schema.SeatLetter{Body: &schema.SeatLetter_Synced{Synced: &schema.Synced{Epoch: epoch, Sequence: seq}}})
}

func (s *Seat) onInstall(from string, install *schema.Install) {
	if !s.counted {
		return
	}
	if install.Epoch < s.promised {
		s.refuse(from)
		return
	}
	if install.Epoch == s.epoch && s.seq >= install.Digest.Sequence {
		s.ackSynced(from)
		return
	}
	if s.phase != idle {
		s.stepDown()
	}
	s.promised, s.highest = install.Epoch, max(s.highest, install.Epoch)
	s.replace(install.Digest)
	s.epoch = install.Epoch
	s.persist(&schema.Record{Digest: s.digest()}, afterSync{letters: []*schema.SeatLetter{s.ackLetter(from)}})
}

func (s *Seat) onAppend(from string, given *schema.Append) {
	if !s.counted {
		return
	}
	if given.Epoch < s.promised {
		s.refuse(from)
		return
	}
	if given.Epoch != s.epoch || given.After > s.seq {
		s.ackSynced(from)
		return
	}
	var taken []*schema.Entry
	for _, entry := range given.Entries {
		if entry.Version.Sequence == s.seq+1 {
			s.append(entry)
			taken = append(taken, entry)
		}
	}
	if len(taken) > 0 {
		s.persist(&schema.Record{Entries: taken}, afterSync{letters: []*schema.SeatLetter{s.ackLetter(from)}})
	} else {
		s.ackSynced(from)
	}
	s.advance(given.Stable)
}

func (s *Seat) onSynced(from string, known *peer, synced *schema.Synced) {
	if synced.Refused {
		s.highest = max(s.highest, synced.Higher)
		if (s.phase == active || s.phase == installing) && synced.Higher > s.epoch {
			s.stepDown()
		}
		return
	}
	if s.phase != installing && s.phase != active {
		return
	}
	if synced.Epoch != s.epoch {
		return // it lacks the digest; the next resend brings it
	}
	first := known.epoch != s.epoch
	known.epoch, known.acked = s.epoch, max(known.acked, synced.Sequence)
	s.settle()
	if first && s.phase == active && known.acked < s.seq {
		known.sent = known.acked
		s.feed(from, known)
	}
}

// settle finds what a majority has on disk under this epoch; that much is stable.
func (s *Seat) settle() {
	if (s.phase != installing && s.phase != active) || s.syncedEpoch != s.epoch {
		return
	}
	// The sequence that a majority has reached is the majority-th highest.
	reached := []uint64{s.syncedSeq}
	for _, name := range s.others {
		known := s.peers[name]
		if known.epoch == s.epoch {
			reached = append(reached, known.acked)
		}
	}
	if len(reached) < s.majority() {
		return
	}
	for i := range reached {
		for j := i + 1; j < len(reached); j++ {
			if reached[j] > reached[i] {
				reached[i], reached[j] = reached[j], reached[i]
			}
		}
	}
	s.phase = active
	before, beforeEpoch := s.stable, s.stableEpoch
	s.advance(reached[s.majority()-1])
	// Followers show a change only once they know it is stable, so they are told at once.
	if s.stable != before || s.stableEpoch != beforeEpoch {
		for _, name := range s.others {
			known := s.peers[name]
			if known.epoch == s.epoch {
				s.feed(name, known)
			}
		}
	}
}

// onReadBack lets an empty seat count again once it has read both others.
func (s *Seat) onReadBack(known *peer, back *schema.ReadBack) {
	if s.counted || back.Round != s.readRound {
		return
	}
	known.read = back
	promised, best := s.promised, s.digest()
	for _, name := range s.others {
		other := s.peers[name]
		if other.read == nil || other.read.Round != s.readRound {
			return
		}
		promised = max(promised, other.read.Promised)
		digest := other.read.Digest
		if digest.Epoch > best.Epoch || (digest.Epoch == best.Epoch && digest.Sequence > best.Sequence) {
			best = digest
		}
	}
	s.counted, s.promised, s.highest = true, promised, max(s.highest, promised)
	s.replace(best)
	s.phaseAt = 0
	s.persist(&schema.Record{Digest: s.digest()}, afterSync{promise: promised})
}

func (s *Seat) onFetched(digest *schema.Digest) {
	newer := digest.Epoch > s.epoch || (digest.Epoch == s.epoch && digest.Sequence > s.seq)
	if !s.counted || s.phase != idle || !newer {
		return
	}
	// Stable state may be taken even under a later promise: a majority has it already, so
	// whoever was promised will read it too.
	s.promised, s.highest = max(s.promised, digest.Epoch), max(s.highest, digest.Epoch)
	s.replace(digest)
	s.persist(&schema.Record{Digest: s.digest()}, afterSync{})
	s.advance(digest.Sequence)
}

// Offer takes a change from this machine's registry.
func (s *Seat) Offer(now time.Duration, submit *schema.Submit) []Action {
	s.begin(now)
	if outcome, settled := s.OutcomeOf(submit.Change.Id); settled {
		s.actions = append(s.actions, Reply{&schema.Submitted{Ticket: submit.Ticket, Outcome: outcome}})
		return s.actions
	}
	holder := s.holder()
	switch holder {
	case s.options.Name:
		s.offer(submit, waiter{ticket: submit.Ticket})
	case "":
		s.actions = append(s.actions, Reply{&schema.Submitted{Ticket: submit.Ticket, Undecided: true}})
	default:
		s.sentOn[submit.Ticket] = sentOn{holder: holder, at: now}
		s.send(holder, &schema.SeatLetter{Body: &schema.SeatLetter_Submit{Submit: submit}})
	}
	return s.actions
}

// Stand asks for the stable sequence that no later yes can lie below.
func (s *Seat) Stand(now time.Duration, ticket string) []Action {
	s.begin(now)
	holder := s.holder()
	switch holder {
	case s.options.Name:
		s.stand(waiter{ticket: ticket})
	case "":
		s.actions = append(s.actions, ReplyBarrier{&schema.BarrierBack{Ticket: ticket, Undecided: true}})
	default:
		s.sentOn[ticket] = sentOn{holder: holder, at: now, barrier: true}
		s.send(holder, &schema.SeatLetter{Body: &schema.SeatLetter_Barrier{Barrier: &schema.Barrier{Ticket: ticket}}})
	}
	return s.actions
}

func (s *Seat) answer(to waiter, submitted *schema.Submitted) {
	if to.to == "" {
		s.actions = append(s.actions, Reply{submitted})
		return
	}
	s.send(to.to, &schema.SeatLetter{Body: &schema.SeatLetter_Submitted{Submitted: submitted}})
}

func (s *Seat) answerBarrier(to waiter, back *schema.BarrierBack) {
	if to.to == "" {
		s.actions = append(s.actions, ReplyBarrier{back})
		return
	}
	s.send(to.to, &schema.SeatLetter{Body: &schema.SeatLetter_BarrierBack{BarrierBack: back}})
}

// offer admits a change, as the holder.
func (s *Seat) offer(submit *schema.Submit, from waiter) {
	unsettled := int(s.seq - s.stable)
	// Refused before it is admitted, so nothing of it can come into force later.
	if s.phase != active || s.unfit() || unsettled >= s.options.BufferMost {
		s.answer(from, &schema.Submitted{Ticket: submit.Ticket, Undecided: true})
		return
	}
	if outcome, settled := s.OutcomeOf(submit.Change.Id); settled {
		s.answer(from, &schema.Submitted{Ticket: submit.Ticket, Outcome: outcome})
		return
	}
	s.waiters[submit.Change.Id] = append(s.waiters[submit.Change.Id], from)
	if _, accepted := s.outcomes[submit.Change.Id]; accepted {
		return
	}
	s.admit(submit.Change)
}

// admit gives a change the next sequence and hands it to the others.
func (s *Seat) admit(change *schema.Change) {
	var entry *schema.Entry
	entry, s.compiled = Accept(s.state, s.compiled, change, &schema.Version{Epoch: s.epoch, Sequence: s.seq + 1})
	s.append(entry)
	s.persist(&schema.Record{Entries: []*schema.Entry{entry}}, afterSync{})
	for _, name := range s.others {
		known := s.peers[name]
		// A peer without this epoch's digest gets it by resend; entries before it would be wasted.
		if known.epoch == s.epoch {
			s.feed(name, known)
		}
	}
}

// purgeParts is the part of the entries kept in which the holder looks for tombstones once, and
// the number of them, of the same bound, that it lets stand.
const purgeParts = 4

// purge lets tombstones go that every seat has on disk. Whoever is further behind is told the
// whole state, so nothing that was removed comes back. Those that bear an operator's version go
// only once there are too many: without them an older order would be taken for a new one.
func (s *Seat) purge() {
	few := uint64(max(1, s.options.EntriesMost/purgeParts))
	if s.phase != active || s.stable < s.purgeAt {
		return
	}
	s.purgeAt = s.stable + few
	to := s.stable
	for _, name := range s.others {
		known := s.peers[name]
		if known.epoch != s.epoch {
			return
		}
		to = min(to, known.acked)
	}
	count, dropped := s.stableState.Tombstones()
	given := s.stableState.PurgedGiven()
	if len(dropped) > s.options.DroppedMost {
		// The oldest go, a part of the bound more than they must, so that it is not done each time.
		given = max(given, dropped[min(len(dropped)-s.options.DroppedMost+s.options.DroppedMost/purgeParts, len(dropped))-1])
	}
	given = min(given, to)
	if (uint64(count) < few || to <= s.stableState.PurgedTo()) && given <= s.stableState.PurgedGiven() {
		return
	}
	item := setup.Purge(to, given)
	change := &schema.Change{Id: fmt.Sprintf("purge-%d-%d", s.epoch, s.seq+1), Items: []*schema.Item{item}}
	if held := s.state[setup.Key(item.Kind, item.Name)]; held != nil {
		change.Expected = []*schema.Expected{{Kind: item.Kind, Name: item.Name, Sequence: held.Version.Sequence}}
	}
	s.admit(change)
}

func (s *Seat) answerWaiters() {
	for _, id := range slices.Sorted(maps.Keys(s.waiters)) {
		waiting := s.waiters[id]
		outcome, settled := s.OutcomeOf(id)
		if !settled {
			continue
		}
		for _, one := range waiting {
			s.answer(one, &schema.Submitted{Ticket: one.ticket, Outcome: outcome})
		}
		delete(s.waiters, id)
	}
}

func (s *Seat) stand(from waiter) {
	if s.phase != active {
		s.answerBarrier(from, &schema.BarrierBack{Ticket: from.ticket, Undecided: true})
		return
	}
	s.round++
	s.barriers = append(s.barriers, barrier{from, s.round})
	s.sendConfirm()
}

func (s *Seat) sendConfirm() {
	for _, name := range s.others {
		s.send(name, &schema.SeatLetter{Body: &schema.SeatLetter_Confirm{Confirm: &schema.Confirm{Epoch: s.epoch, Round: s.round}}})
	}
}

func (s *Seat) settleBarriers() {
	var left []barrier
	for _, one := range s.barriers {
		confirmed := 1
		for _, name := range s.others {
			known := s.peers[name]
			if known.confirmed >= one.round {
				confirmed++
			}
		}
		if confirmed >= s.majority() {
			s.answerBarrier(one.waiter, &schema.BarrierBack{Ticket: one.ticket, Stable: s.stable})
		} else {
			left = append(left, one)
		}
	}
	s.barriers = left
}

// faultsMost bounds the reasons that are kept with a refusal: an operator mends them in turn.
const faultsMost = 32

// Accept decides a change against a state: taken whole, or refused whole with every reason.
// It compiles after an earlier setup, nil for none, and gives the one that it made of a change it took.
func Accept(state setup.State, before *setup.Setup, change *schema.Change, version *schema.Version) (*schema.Entry, *setup.Setup) {
	entry := &schema.Entry{Version: version, ChangeId: change.Id, Outcome: &schema.Outcome{ChangeId: change.Id, Version: version}}
	written := change.Items
	if change.ByGiven {
		written = newest(state, change.Items)
	} else if entry.Outcome.Current = unexpected(state, change); len(entry.Outcome.Current) > 0 {
		entry.Outcome.Ruling = schema.Ruling_RULING_CONFLICT
		return entry, before
	}
	// A duty that has passed on may not write what its successor has written under a later epoch.
	for _, item := range written {
		if held := state[setup.Key(item.Kind, item.Name)]; item.Kind == "progress" && !item.Deleted && held != nil && !held.Deleted && setup.DutyOf(item) < setup.DutyOf(held) {
			entry.Outcome.Ruling = schema.Ruling_RULING_STALE
			return entry, before
		}
	}
	var items []*schema.Item
	for _, item := range written {
		// Whoever writes an item without a version of an operator's leaves the one that it had: it
		// must not go down, or an older order could take the item back.
		given := max(item.Given, state[setup.Key(item.Kind, item.Name)].GetGiven())
		items = append(items, &schema.Item{Kind: item.Kind, Name: item.Name, Body: item.Body, Deleted: item.Deleted, Version: version, Change: change.Id, Given: given, Said: item.Said})
	}
	// What brings nothing new leaves the state as it was, which was valid.
	if len(items) == 0 {
		entry.Outcome.Ruling = schema.Ruling_RULING_ACCEPTED
		return entry, before
	}
	compiled, faults := setup.CompileAfter(before, state.With(items), version.Sequence)
	if len(faults) > 0 {
		entry.Outcome.Ruling, entry.Outcome.Faults = schema.Ruling_RULING_INVALID, faults[:min(len(faults), faultsMost)]
		return entry, before
	}
	entry.Items, entry.Outcome.Ruling = items, schema.Ruling_RULING_ACCEPTED
	return entry, compiled
}

// unexpected lists the items of a change that do not stand as the writer expected.
func unexpected(state setup.State, change *schema.Change) (current []*schema.Expected) {
	expected := map[string]uint64{}
	for _, one := range change.Expected {
		expected[setup.Key(one.Kind, one.Name)] = one.Sequence
	}
	for _, item := range change.Items {
		key := setup.Key(item.Kind, item.Name)
		sequence := uint64(0)
		if held := state[key]; held != nil && !held.Deleted {
			sequence = held.Version.Sequence
		}
		if expected[key] != sequence {
			current = append(current, &schema.Expected{Kind: item.Kind, Name: item.Name, Sequence: sequence})
		}
	}
	return current
}

// newest lists the items whose given version is higher than the held one's, tombstones included;
// of two under one name the higher, of equals the first.
func newest(state setup.State, given []*schema.Item) (written []*schema.Item) {
	place := map[string]int{}
	for _, item := range given {
		key := setup.Key(item.Kind, item.Name)
		if held := state[key]; held != nil && held.Given >= item.Given {
			continue
		}
		if at, twice := place[key]; !twice {
			place[key] = len(written)
			written = append(written, item)
		} else if written[at].Given < item.Given {
			written[at] = item
		}
	}
	return written
}
